//! Tests of decisions about requests whose deadline passes during a standstill of the process.

use super::run_in_event_loop;
use hazelspur::{AdmissionController, Catalog, ClientId, Duration, RequestId, Timestamp};
use hazelspur_server::clock::{Clock, to_std};
use hazelspur_server::config::server_config::{self, LoadedConfig};
use hazelspur_server::request::dispatcher::Dispatcher;
use hazelspur_server::request::lifecycle::{ReceivedRequest, RequestLifecycle, Services};
use hazelspur_server::request::responder::{Responder, ResponseSink};
use hazelspur_server::upstream::dependency::DependencyClient;
use hazelspur_server::upstream::endpoints::UpstreamEndpoints;
use hazelspur_server::upstream::worker::WorkerLink;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Time from the sending of the request to its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_ms(1500);
/// Time past the deadline for which the process stands still.
const TIME_PAST_DEADLINE: Duration = Duration::from_ms(200);
/// Maximum number of descriptors for dependency calls.
const CALL_DESCRIPTORS: usize = 16;
const SETTINGS: &str = r#"{"family-info":{"n-cores":2,"mem-limit-kb":100000,"run-factor":8,"stop-mode":"drop",
 "meters":["core_use","on_cores"],"calls-out":50,"calls-over-us":5000000,"passes-deadline":true},
 "lanes":[{"name":"view","aim-us":3000000,"deadline-us":4000000,"semantics":"safe","importance":1}],
 "rules":{"fall-multiple":8,"cold-share":0.2,"cold-us":10000000,"drain-grace-us":300000},
 "limits":{"retry-after":true,"max-retry-after-us":1000000},"servers":1}"#;

/// Number of configuration files that this process has created, since tests run concurrently.
static CREATED_FILES: AtomicU32 = AtomicU32::new(0);

/// Final response of the request; `Unanswered` if it ended without one.
#[derive(Debug, PartialEq)]
enum Response {
    Success(Vec<u8>),
    Rejected,
    Failed,
    UnknownToWorker,
    Unanswered,
}

/// Sink that passes the final response to the test.
struct RecordingSink(Option<oneshot::Sender<Response>>);

impl RecordingSink {
    fn respond(&mut self, response: Response) {
        self.0.take().expect("one response").send(response).expect("the test waits");
    }
}

impl ResponseSink for RecordingSink {
    fn success(&mut self, result: &[u8]) {
        self.respond(Response::Success(result.to_vec()));
    }

    fn rejected(&mut self, _retry_after: Duration, _do_not_retry_elsewhere: bool) {
        self.respond(Response::Rejected);
    }

    fn failed(&mut self) {
        self.respond(Response::Failed);
    }

    fn unknown_to_worker(&mut self) {
        self.respond(Response::UnknownToWorker);
    }

    fn ended_without_response(&mut self) {
        self.respond(Response::Unanswered);
    }
}

fn load_config(worker: &TcpListener) -> LoadedConfig {
    let worker = worker.local_addr().expect("an address");
    let text =
        format!(r#"{{"name":"n1","listen":"127.0.0.1:1","runtime":"{worker}","settings":{SETTINGS}}}"#);
    let number = CREATED_FILES.fetch_add(1, Ordering::Relaxed);
    let file =
        std::env::temp_dir().join(format!("hazelspur-{}-event-loop-{number}.json", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    let path = file.to_str().expect("text").to_owned();
    let loaded = server_config::load(|name| (name == "ROUTER_CONFIG").then(|| path.clone()));
    std::fs::remove_file(&file).expect("it was written");
    loaded.expect("a valid configuration")
}

/// Server without ingress, whose tasks are started.
struct TestServer {
    services: Rc<Services>,
    catalog: Rc<RefCell<Catalog>>,
}

impl TestServer {
    fn start(clock: &Rc<Clock>, worker: &TcpListener) -> Self {
        let LoadedConfig { config, catalog } = load_config(worker);
        let dispatcher = Rc::new(Dispatcher::new(clock.clone()));
        let endpoints = Rc::new(UpstreamEndpoints::new(config.addresses));
        let worker = Rc::new(WorkerLink::new(dispatcher.clone(), endpoints.clone(), config.gauge_names));
        let dependency = Rc::new(DependencyClient::new(endpoints, CALL_DESCRIPTORS));
        spawn_local(worker.clone().run());
        spawn_local(worker.clone().run_timer());
        spawn_local(dispatcher.clone().run());
        let catalog = Rc::new(RefCell::new(catalog));
        dispatcher.start(AdmissionController::with_shared_catalog(catalog.clone(), false, 1, clock.now()));
        Self { services: Rc::new(Services { dispatcher, worker, dependency }), catalog }
    }

    /// Submits a request whose deadline is `REQUEST_TIMEOUT` after `now`.
    fn submit(&self, now: Timestamp) -> oneshot::Receiver<Response> {
        let dispatcher = &self.services.dispatcher;
        let (sender, response) = oneshot::channel();
        let request = RequestId::padded("1").expect("a short id");
        let (request_class, class) =
            self.catalog.borrow().find_request_class("view").expect("in the settings");
        let (tenant, _) = self.catalog.borrow().find_tenant(None).expect("the default tenant");
        let received = ReceivedRequest {
            request_class,
            tenant,
            session: None,
            client: ClientId(1),
            deadline: Some(now + REQUEST_TIMEOUT),
            size_kb: 1.0,
            sent_at: now,
        };
        let lifecycle = RequestLifecycle {
            services: self.services.clone(),
            request,
            deadline: received.response_due(&class),
            class,
            body: Rc::from(&b"hello"[..]),
            retry_of: None,
            may_have_run: false,
            responder: Responder::new(RecordingSink(Some(sender)), dispatcher.clone()),
            events: dispatcher.register(request).expect("a new id"),
        };
        spawn_local(lifecycle.submit(&received).run());
        response
    }
}

/// Accepts and synchronizes the link to the worker, and returns it once the run of the request was started.
async fn started_run(listener: &TcpListener) -> BufReader<TcpStream> {
    let mut link = BufReader::new(listener.accept().await.expect("the link").0);
    let mut line = String::new();
    while !line.starts_with("start") {
        line.clear();
        link.read_line(&mut line).await.expect("a command");
        if line.starts_with("sync") {
            link.write_all(b"ready hot 1000\r\n").await.expect("written");
        }
        if let Some(tag) = line.strip_prefix("gauges ") {
            let gauges = format!("load {} 0 0\r\n", tag.trim());
            link.write_all(gauges.as_bytes()).await.expect("written");
        }
    }
    link
}

/// Guards against a decision for a later time than that up to which input was read.
#[test]
fn run_end_in_the_socket_at_the_deadline_counts_as_success() {
    let response = run_in_event_loop(async |clock: Rc<Clock>| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let server = TestServer::start(&clock, &listener);
        let response = server.submit(clock.now());
        let link = started_run(&listener).await;
        let dispatcher = server.services.dispatcher.clone();
        // Wakes the dispatcher, as any input does, in the turn in which the process stands still.
        dispatcher.report(|_, _| {});
        link.get_ref().try_write(b"end 1 1 complete 5 4\r\ndone\r\n").expect("written");
        std::thread::sleep(to_std(REQUEST_TIMEOUT + TIME_PAST_DEADLINE));
        response.await.expect("a response")
    });
    assert_eq!(response, Response::Success(b"done".to_vec()));
}

/// Guards against starting a request past its deadline, when the process stood still after the time of the
/// decision.
#[test]
fn request_past_its_deadline_is_rejected_and_never_starts() {
    let (response, commands) = run_in_event_loop(async |clock: Rc<Clock>| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let server = TestServer::start(&clock, &listener);
        let (mut link, _) = listener.accept().await.expect("the link");
        link.write_all(b"ready hot 1000\r\nload link1 0 0\r\n").await.expect("written");
        server.services.worker.synchronized().await;
        let response = server.submit(clock.now());
        std::thread::sleep(to_std(REQUEST_TIMEOUT + TIME_PAST_DEADLINE));
        let response = response.await.expect("a response");
        clock.sleep(Duration::from_ms(20)).await;
        let mut commands = vec![0; 4096];
        let count = link.try_read(&mut commands).expect("commands");
        (response, String::from_utf8_lossy(&commands[..count]).into_owned())
    });
    assert_eq!(response, Response::Rejected);
    assert!(commands.starts_with("sync 0") && !commands.contains("start"), "{commands}");
}

#[test]
fn request_whose_run_outlasts_the_deadline_fails() {
    let response = run_in_event_loop(async |clock: Rc<Clock>| {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let server = TestServer::start(&clock, &listener);
        let response = server.submit(clock.now());
        let _link = started_run(&listener).await;
        response.await.expect("a response")
    });
    assert_eq!(response, Response::Failed);
}
