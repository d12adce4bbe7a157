//! Connection to the worker process.
//!
//! The link connects, waits for the replay of notices and sends unanswered commands again. It repeats this
//! whenever the connection breaks or the configured address changes.
//!
//! Invariant: commands are sent only while the connection is synchronized, which it is after the replay.
//! Until then they wait in the run table.

use super::command_queue::CommandQueue;
use super::notices::Notices;
use super::replay::Replay;
use super::runs::{CallReply, LinkProgress};
use super::state::{LinkState, WorkerStatus};
use crate::clock::Clock;
use crate::request::dispatcher::Dispatcher;
use crate::upstream::endpoints::UpstreamEndpoints;
use hazelspur::{Duration, RequestId, RuntimeGauges};
use hazelspur_parsers::{Buffer, runtime};
use std::cell::Cell;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::sync::Notify;

/// First pause before a reconnect, doubled after each.
const RECONNECT_PAUSE: Duration = Duration::from_ms(20);
/// Maximum pause before a reconnect.
const MAX_RECONNECT_PAUSE: Duration = Duration::from_ms(500);
/// Initial timeout of a connection attempt, doubled after each timeout. Only one attempt is made at a time,
/// since the worker closes its connection when another arrives.
const CONNECT_TIMEOUT: Duration = Duration::from_ms(3000);
/// Maximum timeout of a connection attempt.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_ms(12_000);
/// Timeout of a replay.
const REPLAY_TIMEOUT: Duration = Duration::from_ms(2000);
/// Maximum time without data on a synchronized connection. Gauges are queried more often than that.
const IDLE_TIMEOUT: Duration = Duration::from_ms(2500);
/// Maximum time without data on a connection that is not synchronized yet, after which it counts as dead.
const UNREADY_IDLE_TIMEOUT: Duration = Duration::from_ms(4000);
/// Time for which the controller's timer waits for gauges.
const GAUGES_TIMEOUT: Duration = Duration::from_ms(2);
/// Name of the gauge for the number of requests on the worker's cores.
const REQUESTS_ON_CORES_GAUGE: &str = "on_cores";

/// Error that ended a connection.
#[derive(Debug, Error)]
enum LinkError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("connection closed by the worker")]
    Closed,
    #[error(transparent)]
    InvalidNotice(#[from] runtime::RuntimeProtocolError),
    #[error("replay timed out")]
    ReplayTimedOut,
}

/// Link to the worker process.
pub struct WorkerLink {
    state: LinkState,
    endpoints: Rc<UpstreamEndpoints>,
    /// Names of the gauges, in the order of the worker's values.
    gauge_names: Vec<String>,
    /// Whether the replay of the connection has ended, so that commands are sent at once.
    is_synchronized: Cell<bool>,
    synchronized_notification: Notify,
    commands: CommandQueue,
}

impl WorkerLink {
    /// Creates a link; `gauge_names` are the gauges in the order in which the worker sends their values.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        endpoints: Rc<UpstreamEndpoints>,
        gauge_names: Vec<String>,
    ) -> Self {
        Self {
            state: LinkState::new(dispatcher),
            endpoints,
            gauge_names,
            is_synchronized: Cell::new(false),
            synchronized_notification: Notify::new(),
            commands: CommandQueue::default(),
        }
    }

    /// Waits until the worker is ready and returns its status.
    pub async fn ready(&self) -> WorkerStatus {
        self.state.ready().await
    }

    /// Returns whether a command that is issued now is sent at once.
    pub fn is_synchronized(&self) -> bool {
        self.is_synchronized.get()
    }

    /// Waits until commands are sent at once.
    pub async fn synchronized(&self) {
        // All tasks run on one thread, so that the link cannot become synchronized between check and wait.
        while !self.is_synchronized.get() {
            self.synchronized_notification.notified().await;
        }
    }

    /// Commands the worker to start the run of a request.
    pub fn start(&self, request: RequestId, class: Arc<str>, body: Rc<[u8]>) {
        self.send(|out| runtime::write_start(out, &request.to_string(), &class, &body));
        self.state.runs.borrow_mut().record_start(request, class, body, self.is_synchronized.get());
    }

    /// Commands the worker to stop the run of a request.
    pub fn stop(&self, request: RequestId) {
        self.send(|out| runtime::write_stop(out, &request.to_string()));
        self.state.runs.borrow_mut().record_stop(request);
    }

    /// Sends the reply of a dependency call to the run that requested it.
    pub fn send_call_reply(&self, request: RequestId, reply: Vec<u8>) {
        self.send(|out| runtime::write_call_reply(out, &request.to_string(), &reply));
        let reply = CallReply {
            body: reply,
            batch: self.commands.current_batch(),
            latest_gauge_query: self.state.gauge_query.latest(),
        };
        self.state.runs.borrow_mut().record_call_reply(request, reply);
    }

    fn clock(&self) -> &Clock {
        &self.state.dispatcher.clock
    }

    fn send(&self, write: impl FnOnce(&mut Vec<u8>)) {
        if self.is_synchronized.get() {
            self.commands.append(write);
        }
    }

    /// Keeps the link connected forever, and reconnects at once if the configured address of the worker
    /// changes.
    pub async fn run(self: Rc<Self>) {
        loop {
            let address = self.endpoints.current().worker;
            tokio::select! {
                () = self.keep_connected(address) => {}
                () = self.endpoints.moved_from(|at| at.worker, address) => {
                    self.is_synchronized.set(false);
                    let new_address = self.endpoints.current().worker;
                    log::info!(last = self.state.last_notice(), to:% = new_address; "worker address changed");
                }
            }
        }
    }

    async fn keep_connected(&self, address: SocketAddr) {
        let mut pause = RECONNECT_PAUSE;
        let mut connect_timeout = CONNECT_TIMEOUT;
        loop {
            match self.clock().timeout(connect_timeout, TcpStream::connect(address)).await {
                Ok(Ok(stream)) => {
                    let error = self.serve(stream).await;
                    // The pause keeps growing if the connection was never synchronized: a worker that accepts
                    // and closes at once is handled like one that refuses.
                    if self.is_synchronized.replace(false) {
                        pause = RECONNECT_PAUSE;
                    }
                    log::warn!(last = self.state.last_notice(), why:% = error; "worker link broke");
                }
                Ok(Err(_)) => log::debug!("worker connection attempt failed"),
                Err(_) => connect_timeout = (connect_timeout + connect_timeout).min(MAX_CONNECT_TIMEOUT),
            }
            self.clock().sleep(pause).await;
            pause = (pause + pause).min(MAX_RECONNECT_PAUSE);
        }
    }

    /// Serves one connection until it ends, and returns the error that ended it.
    async fn serve(&self, mut stream: TcpStream) -> LinkError {
        let _ = stream.set_nodelay(true);
        let connection = self.state.replay.begin();
        let (read, mut write) = stream.split();
        // Unanswered commands are in the run table.
        self.commands.discard();
        let mut out = Vec::new();
        runtime::write_sync(&mut out, self.state.last_notice());
        if let Err(error) = write.write_all(&out).await {
            return error.into();
        }
        let result = tokio::select! {
            result = self.read_notices(read) => result,
            result = self.write_commands(write, connection) => result,
        };
        match result {
            Ok(infallible) => match infallible {},
            Err(error) => error,
        }
    }

    async fn read_notices(&self, mut read: ReadHalf<'_>) -> Result<Infallible, LinkError> {
        let mut buffer = Buffer::default();
        loop {
            let idle_timeout = if self.is_synchronized.get() { IDLE_TIMEOUT } else { UNREADY_IDLE_TIMEOUT };
            let reading = self.clock().timeout(idle_timeout, read.read_buf(buffer.spare_capacity()));
            let count = reading.await.unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))?;
            if count == 0 {
                return Err(LinkError::Closed);
            }
            if self.is_synchronized.get() {
                self.state.record_received();
            }
            self.handle_notices(&mut buffer)?;
        }
    }

    fn handle_notices(&self, buffer: &mut Buffer) -> Result<(), LinkError> {
        loop {
            let read = runtime::read(buffer.unread(), &mut Notices(&self.state));
            match read? {
                Some(length) => buffer.consume(length),
                None => return Ok(()),
            }
        }
    }

    async fn write_commands(
        &self,
        mut write: WriteHalf<'_>,
        connection: u64,
    ) -> Result<Infallible, LinkError> {
        self.ready().await;
        let mut out = Vec::new();
        runtime::write_gauges_request(&mut out, &Replay::tag(connection));
        write.write_all(&out).await?;
        out.clear();
        let replay = self.clock().timeout(REPLAY_TIMEOUT, self.state.replay.ended(connection));
        replay.await.map_err(|_| LinkError::ReplayTimedOut)?;
        self.resend(&mut out);
        self.is_synchronized.set(true);
        self.synchronized_notification.notify_waiters();
        loop {
            write.write_all(&out).await?;
            out.clear();
            self.commands.take_batch(&mut out).await;
        }
    }

    /// Writes the commands that the replayed notices have not answered, as a batch of their own.
    fn resend(&self, out: &mut Vec<u8>) {
        let mut runs = self.state.runs.borrow_mut();
        let progress = LinkProgress {
            current_batch: self.commands.current_batch(),
            last_answered_gauge_query: self.state.gauge_query.last_answered(),
        };
        let counts = runs.resend(out, &progress);
        self.commands.end_batch();
        log::info!(last = self.state.last_notice(), runs = runs.len(), again = counts.resent,
            unproven_replies = counts.unproven_replies; "worker link up");
    }

    /// Reports each due timer to the controller, with the worker's gauges if they arrive in time.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            let Some(at) = self.state.dispatcher.timer.take() else {
                self.state.dispatcher.timer_set.notified().await;
                continue;
            };
            self.clock().sleep_until(at).await;
            let values = self.clock().timeout(GAUGES_TIMEOUT, self.query_gauges()).await.unwrap_or_default();
            let mut gauges = self.gauge_names.iter().zip(values);
            let on_cores = gauges.find(|(name, _)| *name == REQUESTS_ON_CORES_GAUGE);
            let gauges = RuntimeGauges { requests_on_cores: on_cores.map(|(_, value)| value) };
            self.state.dispatcher.report(|controller, now| controller.timer_tick(now, gauges));
        }
    }

    async fn query_gauges(&self) -> Vec<f64> {
        let query = self.state.gauge_query.begin();
        self.send(|out| runtime::write_gauges_request(out, &query.to_string()));
        self.state.gauge_query.values().await
    }
}
