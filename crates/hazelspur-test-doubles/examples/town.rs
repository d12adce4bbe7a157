//! The peers of a server that is started with examples/config.json and examples/queues.star: a broker, a
//! worker, a dependency and a registry. An order is published to the queue every second; its settlement and
//! its answer are printed.

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::AMQPValue;
use hazelspur_test_doubles::broker::Broker;
use hazelspur_test_doubles::http::HttpServer;
use hazelspur_test_doubles::worker::{Worker, WorkerSettings};
use std::thread::sleep;
use std::time::Duration;

fn main() {
    let broker = Broker::start_at("127.0.0.1:5672".parse().expect("valid address"));
    broker.declare("orders-dead", None);
    broker.declare("orders", Some("orders-dead"));
    broker.declare("orders-later", Some("orders"));
    broker.declare("answers", None);
    let _worker = Worker::start(
        "127.0.0.1:7300",
        WorkerSettings { run_ms: 80, makes_calls: true, ..WorkerSettings::default() },
    );
    let dependency = HttpServer::start("127.0.0.1:9042", "200 OK", "noted");
    let _registry = HttpServer::start("127.0.0.1:7946", "204 No Content", "");
    println!("town: a broker on {}; waiting for a server", broker.address);
    for number in 1u64.. {
        let name = format!("order-{number}");
        let properties = AMQPProperties::default()
            .with_type("order".into())
            .with_message_id(name.as_str().into())
            .with_reply_to("answers".into());
        broker.publish("orders", properties, format!("set 40 loaves, {name}").as_bytes());
        let (ready, unsettled) = {
            let state = broker.state();
            (state.ready("orders"), state.unsettled())
        };
        println!("published {name}: {ready} ready, {unsettled} unsettled");
        let answered = broker.wait_until(Duration::from_secs(1), |state| state.ready("answers") > 0);
        let mut state = broker.state();
        let answers = state.queues.get_mut("answers").map(|queue| std::mem::take(&mut queue.ready));
        for answer in answers.into_iter().flatten().filter(|_| answered) {
            let headers = answer.properties.headers().clone().unwrap_or_default();
            let outcome = match headers.inner().get("x-outcome") {
                Some(AMQPValue::LongString(outcome)) => outcome.to_string(),
                _ => "no outcome".into(),
            };
            let id = answer.properties.correlation_id().as_ref().map_or("?", |id| id.as_str()).to_string();
            println!("answered {id}: {outcome}, {:?}", String::from_utf8_lossy(&answer.body));
        }
        println!("acked {}, calls to the ledger {}", state.acks, dependency.calls().len());
        drop(state);
        sleep(Duration::from_secs(1));
    }
}
