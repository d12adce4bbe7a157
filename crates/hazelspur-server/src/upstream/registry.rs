//! Health reports to the registry, which the configuration calls `control`. Gateways read the list of servers
//! there.

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

/// Random interval between two bounds.
struct RandomInterval {
    min: Duration,
    max: Duration,
}

impl RandomInterval {
    fn draw_duration(&self, random: &mut Pcg) -> Duration {
        self.min + (self.max - self.min).scaled(random.draw_fraction())
    }
}

/// Interval between reports. The registry removes the entry of a server 3 s after its last report. The
/// interval is random, so that the reports of servers do not stay synchronized after a restart of the
/// registry.
const REPORT_INTERVAL: RandomInterval =
    RandomInterval { min: Duration::from_ms(640), max: Duration::from_ms(960) };
/// Interval between reports while they fail.
const RETRY_INTERVAL: RandomInterval =
    RandomInterval { min: Duration::from_ms(125), max: Duration::from_ms(375) };
/// Timeout of the first connection attempt of a report.
const FIRST_CONNECT_TIMEOUT: Duration = Duration::from_ms(10_000);
/// Timeout of each further connection attempt, and the pause before it. Further attempts run beside the
/// first, since an attempt that was started during an outage notices the end of the outage only late.
const FURTHER_CONNECT_TIMEOUT: Duration = Duration::from_ms(700);
/// Initial timeout of the reply, doubled after each timeout.
const INITIAL_REPLY_TIMEOUT: Duration = Duration::from_ms(700);
/// Maximum timeout of the reply.
const MAX_REPLY_TIMEOUT: Duration = Duration::from_ms(5600);
/// Number of consecutive failures that is logged. Fewer are not, since a report may count although its reply
/// is missing.
const LOGGED_FAILURE_COUNT: u32 = 3;
/// Status of the reply to an accepted report.
const STATUS_NO_CONTENT: u16 = 204;

/// Error of a failed report.
#[derive(Debug, Error)]
enum ReportError {
    #[error("reply timed out")]
    TimedOut,
    #[error(transparent)]
    Connect(std::io::Error),
    #[error(transparent)]
    Exchange(ExchangeError),
    #[error("status {0}, expected 204")]
    Status(u16),
}

/// Reporter of the health of this server. It reports only while the server serves, so that the entry expires
/// during a shutdown.
pub struct HealthReporter {
    endpoints: Rc<UpstreamEndpoints>,
    dispatcher: Rc<Dispatcher>,
    phases: Rc<Phases>,
    path: String,
    random: Pcg,
    consecutive_failures: u32,
    reply_timeout: Duration,
}

impl HealthReporter {
    /// Creates a reporter for the server with this name; `seed` varies its random intervals.
    pub fn new(
        name: &str,
        seed: u64,
        endpoints: Rc<UpstreamEndpoints>,
        dispatcher: Rc<Dispatcher>,
        phases: Rc<Phases>,
    ) -> Self {
        let random = Pcg::new(seed ^ dispatcher.clock.now().us());
        let path = format!("/v2/endpoints/{name}");
        Self {
            endpoints,
            dispatcher,
            phases,
            path,
            random,
            consecutive_failures: 0,
            reply_timeout: INITIAL_REPLY_TIMEOUT,
        }
    }

    /// Reports from the start of serving until the shutdown begins.
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
            self.record_result(result);
            let (clock, interval) = (self.dispatcher.clock.clone(), self.next_interval());
            tokio::select! {
                () = clock.sleep(interval) => {}
                () = endpoints.moved_from(|at| at.registry, registry) => {}
            }
        }
    }

    fn next_interval(&mut self) -> Duration {
        let interval = if self.consecutive_failures == 0 { REPORT_INTERVAL } else { RETRY_INTERVAL };
        interval.draw_duration(&mut self.random)
    }

    /// Adapts the reply timeout, and logs when the registry becomes unreachable or reachable again.
    fn record_result(&mut self, result: Result<Duration, ReportError>) {
        match result {
            Ok(reply_time) => {
                self.reply_timeout = (reply_time + reply_time).max(INITIAL_REPLY_TIMEOUT);
                if self.consecutive_failures >= LOGGED_FAILURE_COUNT {
                    log::info!(missed = self.consecutive_failures; "registry reachable again");
                }
                self.consecutive_failures = 0;
            }
            Err(error) => {
                if matches!(error, ReportError::TimedOut) {
                    self.reply_timeout = (self.reply_timeout + self.reply_timeout).min(MAX_REPLY_TIMEOUT);
                }
                self.consecutive_failures += 1;
                if self.consecutive_failures == LOGGED_FAILURE_COUNT {
                    log::warn!(missed = self.consecutive_failures, why:% = error; "registry unreachable");
                }
            }
        }
    }

    /// Sends one report on a new connection, so that no data of an earlier report can be taken for its reply.
    /// Returns the time until the reply.
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
            Ok(Err(error)) => Err(ReportError::Exchange(error)),
            Ok(Ok(reply)) if reply.status == STATUS_NO_CONTENT => {
                Ok(Duration::from_us(sent_at.elapsed().as_micros() as u64))
            }
            Ok(Ok(reply)) => Err(ReportError::Status(reply.status)),
        }
    }
}

/// Connects to the registry, with further attempts beside the first one while that is pending.
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
        () = clock.sleep(FIRST_CONNECT_TIMEOUT) => Err(std::io::ErrorKind::TimedOut.into()),
    }
}
