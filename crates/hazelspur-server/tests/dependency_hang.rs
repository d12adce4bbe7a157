//! Test of a dependency that accepts calls and never answers.

mod harness;

use harness::*;
use std::net::TcpListener;

/// Number of requests in a batch; two batches of unanswered calls open the circuit breaker.
const BATCH: u32 = 6;

/// Returns the operator's file of a server that is the only one of its fleet.
fn fleet_of_one(name: &str) -> String {
    let address = listener().1;
    let key = config_file(name).with_extension("key");
    std::fs::write(&key, [7; 32]).expect("a file");
    operator_file(
        name,
        &format!(
            "fleet(installation = \"one\", site = \"east\", at = \"{address}\", key_file = {key:?}, most = 4, together = True)\n"
        ),
    )
}

/// Worker's end of the link, with the number of the last notice that it sent.
struct Worker {
    link: Peer,
    last_notice: u32,
}

impl Worker {
    fn notify(&mut self, encode: impl Fn(u32) -> String) {
        self.last_notice += 1;
        self.link.send(&encode(self.last_notice));
    }

    /// Reads commands until a run is started, then requests a call for it. Ends the runs that are stopped.
    fn start_run_with_call(&mut self) {
        loop {
            let command = self.link.record_next(&mut String::new());
            match command.split(' ').collect::<Vec<_>>()[..] {
                ["start", request, ..] => {
                    return self.notify(|number| format!("wants {number} {request} 3\r\nask\r\n"));
                }
                ["stop", request] => {
                    self.notify(|number| format!("end {number} {request} cancelled 9 0\r\n\r\n"))
                }
                _ => panic!("{command}"),
            }
        }
    }
}

/// Sends a batch of requests whose calls get no answer, and checks that each request fails.
fn run_unanswered_batch(server: &ServerHarness, worker: &mut Worker, gateway: &mut Peer, first_number: u32) {
    let mut open_calls = Vec::new();
    for number in first_number..first_number + BATCH {
        gateway.send(&format!("{}\n", request(number, number, "view", "").replace(":4000,", ":1500,")));
        worker.start_run_with_call();
        open_calls.push(accept(&server.ledger));
    }
    for _ in 0..BATCH {
        let response = gateway.read_line();
        assert!(response.contains("-32000"), "{response}");
    }
}

/// Accepts the next call, which must be a probe for a run that does not exist.
fn accept_probe(ledger: &TcpListener) -> Peer {
    let mut probe = Peer::new("ledger", accept(ledger));
    let mut trace = String::new();
    probe.record_call(&mut trace);
    assert_eq!(trace, "ledger < POST /post HTTP/1.1 p-n1 \n");
    probe
}

/// Guards against sending further calls to a dependency that hangs, where each waits for its whole timeout.
#[test]
fn unanswered_calls_open_the_breaker_until_a_probe_is_answered() {
    let (mut server, link) = ServerHarness::new("hang", &fleet_of_one("hang"));
    let lines = LogLines::of(&mut server.server);
    let mut worker = Worker { link, last_notice: 0 };
    let mut gateway = server.connect_gateway();
    for first_number in [1, 1 + BATCH] {
        run_unanswered_batch(&server, &mut worker, &mut gateway, first_number);
    }
    let opened = lines.next(&["circuit breaker"]);
    assert!(opened.contains("shared dependency does not answer, circuit breaker open"), "{opened}");
    let unanswered = accept_probe(&server.ledger);
    let mut answered = accept_probe(&server.ledger);
    answered.send("HTTP/1.1 409 Conflict\r\nX-Untouched: 1\r\nContent-Length: 0\r\n\r\n");
    let closed = lines.next(&["circuit breaker"]);
    assert!(closed.contains("circuit breaker closed"), "{closed}");
    drop(unanswered);
}
