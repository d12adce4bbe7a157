//! Health reports to the registry (the configuration's `control`), whose list of servers the gateways use.

use crate::clock::Clock;
use crate::process::phases::{Phase, Phases};
use crate::request::dispatcher::Dispatcher;
use crate::upstream::endpoints::UpstreamEndpoints;
use crate::upstream::http_exchange::{ExchangeError, exchange};
use hazelspur::Duration;
use hazelspur::pcg::Pcg;
use hazelspur_parsers::http;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use thiserror::Error;
use tokio::net::TcpStream;

/// A time between two bounds, drawn at random.
struct RandomInterval {
    min: Duration,
    max: Duration,
}

impl RandomInterval {
    fn draw(&self, random: &mut Pcg) -> Duration {
        self.min + (self.max - self.min).scaled(random.draw_fraction())
    }
}

/// Between reports; an entry expires 3 s after the last. Random, so that servers which a restart of the
/// registry has synchronized do not stay so.
const REPORT_INTERVAL: RandomInterval =
    RandomInterval { min: Duration::from_ms(640), max: Duration::from_ms(960) };
/// Between attempts while reports fail.
const RETRY_INTERVAL: RandomInterval =
    RandomInterval { min: Duration::from_ms(125), max: Duration::from_ms(375) };
/// How long the first connection attempt of a report may take.
const CONNECT_TIMEOUT: Duration = Duration::from_ms(10_000);
/// How often a further connection attempt starts beside the first, and how long it may take: an attempt from
/// an outage notices only late that the outage is over.
const FURTHER_CONNECT_TIMEOUT: Duration = Duration::from_ms(700);
/// How long a reply may take at first; doubled after each that timed out.
const REPLY_TIMEOUT: Duration = Duration::from_ms(700);
/// The longest time that a reply may take.
const MAX_REPLY_TIMEOUT: Duration = Duration::from_ms(5600);
/// So many failures in a row are logged: a report may count though its reply is missing.
const FAILURES_TO_LOG: u32 = 3;
/// The status of a report that was taken.
const STATUS_NO_CONTENT: u16 = 204;

/// Why a report failed.
#[derive(Debug, Error)]
enum ReportError {
    #[error("no answer in time")]
    TimedOut,
    #[error(transparent)]
    Connect(std::io::Error),
    #[error(transparent)]
    Exchange(ExchangeError),
    #[error("status {0}")]
    Status(u16),
}

/// Reports this server's health for as long as it serves, so that its entry expires in a shutdown.
pub struct HealthReporter {
    endpoints: Rc<UpstreamEndpoints>,
    dispatcher: Rc<Dispatcher>,
    phases: Rc<Phases>,
    path: String,
    random: Pcg,
    failures: u32,
    reply_timeout: Duration,
}

impl HealthReporter {
    /// A reporter for the server of this name.
    pub fn new(
        name: &str,
        seed: u64,
        endpoints: Rc<UpstreamEndpoints>,
        dispatcher: Rc<Dispatcher>,
        phases: Rc<Phases>,
    ) -> Self {
        let random = Pcg::new(seed ^ dispatcher.clock.now().us());
        let path = format!("/v2/endpoints/{name}");
        Self { endpoints, dispatcher, phases, path, random, failures: 0, reply_timeout: REPLY_TIMEOUT }
    }

    /// Reports from the start of serving until the shutdown notice.
    pub async fn run(mut self) {
        let (endpoints, phases) = (self.endpoints.clone(), self.phases.clone());
        phases.reached(|phase| phase != Phase::Waiting).await;
        while phases.current() == Phase::Serving {
            let registry = endpoints.current().registry;
            let Some(address) = registry else {
                endpoints.moved_from(|at| at.registry, registry).await;
                continue;
            };
            let result = tokio::select! {
                result = self.report(address) => result,
                () = endpoints.moved_from(|at| at.registry, registry) => continue,
                () = phases.reached(|phase| phase != Phase::Serving) => return,
            };
            self.note(result);
            let (clock, interval) = (self.dispatcher.clock.clone(), self.next_interval());
            tokio::select! {
                () = clock.sleep(interval) => {}
                () = endpoints.moved_from(|at| at.registry, registry) => {}
            }
        }
    }

    fn next_interval(&mut self) -> Duration {
        let interval = if self.failures == 0 { REPORT_INTERVAL } else { RETRY_INTERVAL };
        interval.draw(&mut self.random)
    }

    /// Adapts the timeout and logs when the registry becomes unreachable, and reachable again.
    fn note(&mut self, result: Result<Duration, ReportError>) {
        match result {
            Ok(took) => {
                self.reply_timeout = (took + took).max(REPLY_TIMEOUT);
                if self.failures >= FAILURES_TO_LOG {
                    log::info!(missed = self.failures; "registry reachable again");
                }
                self.failures = 0;
            }
            Err(why) => {
                if matches!(why, ReportError::TimedOut) {
                    self.reply_timeout = (self.reply_timeout + self.reply_timeout).min(MAX_REPLY_TIMEOUT);
                }
                self.failures += 1;
                if self.failures == FAILURES_TO_LOG {
                    log::warn!(missed = self.failures, why:%; "registry unreachable");
                }
            }
        }
    }

    /// Sends one report on a new connection, so that nothing left over from another spoils it. Returns how
    /// long the reply took.
    async fn report(&self, address: SocketAddr) -> Result<Duration, ReportError> {
        let condition = if self.dispatcher.healthy.get() { "Ready" } else { "NotReady" };
        let body = format!("{{\"condition\":\"{condition}\"}}");
        let mut message = Vec::new();
        http::write_request(&mut message, "PUT", &self.path, &address.to_string(), &[], body.as_bytes());
        let clock = &self.dispatcher.clock;
        let mut stream = connect(clock, address).await.map_err(ReportError::Connect)?;
        let sent_at = Instant::now();
        match clock.timeout(self.reply_timeout, exchange(&mut stream, &message, "")).await {
            Err(_) => Err(ReportError::TimedOut),
            Ok(Err(why)) => Err(ReportError::Exchange(why)),
            Ok(Ok(reply)) if reply.status == STATUS_NO_CONTENT => {
                Ok(Duration::from_us(sent_at.elapsed().as_micros() as u64))
            }
            Ok(Ok(reply)) => Err(ReportError::Status(reply.status)),
        }
    }
}

async fn connect(clock: &Clock, address: SocketAddr) -> std::io::Result<TcpStream> {
    let further_attempts = async {
        loop {
            clock.sleep(FURTHER_CONNECT_TIMEOUT).await;
            let connecting = clock.timeout(FURTHER_CONNECT_TIMEOUT, TcpStream::connect(address));
            if let Ok(Ok(stream)) = connecting.await {
                return stream;
            }
        }
    };
    tokio::select! {
        biased;
        first = TcpStream::connect(address) => first,
        stream = further_attempts => Ok(stream),
        () = clock.sleep(CONNECT_TIMEOUT) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}
