//! The consumer: its state, its reconnects and its shutdown.

use super::message::StoredMessage;
use crate::clock::Clock;
use crate::config::operator::{AmqpConfig, OperatorConfig, QueueConfig, SettleOrder};
use crate::process::phases::{Phase, Phases};
use crate::request::dispatcher::ResponseCounts;
use crate::request::lifecycle::Services;
use hazelspur::{Catalog, Duration, RequestId, Timestamp};
use hazelspur_deliveries::{
    BrokerSelector, ConnectionNumber, DeliveryId, DeliveryTracker, MessageCache, MessageCacheLimits,
    PrefetchWindow, QueueSettings,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};

/// Time within which a broker accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_ms(2000);
/// Longest wait until timeouts and windows are checked again.
pub(super) const MAX_WAIT: Duration = Duration::from_ms(250);
/// Microseconds of a millisecond.
pub(super) const US_PER_MS: u64 = 1000;

/// What a consumer shares with the rest of the server.
pub struct ConsumerContext {
    /// Dispatcher and upstreams.
    pub services: Rc<Services>,
    /// Phases of the process.
    pub phases: Rc<Phases>,
    /// Request classes and tenants.
    pub catalog: Rc<RefCell<Catalog>>,
    /// Name of the server, shown by the broker.
    pub server_name: String,
    /// Seed of the random delays.
    pub seed: u64,
}

/// Why a connection to a broker ended, or was not established.
pub(super) struct ConnectionFailure {
    pub(super) reason: String,
    /// Whether the broker refused the login, the virtual host or the settings.
    pub(super) refused: bool,
}

/// Consumes the queues of the operator's file.
pub struct AmqpConsumer {
    pub(super) services: Rc<Services>,
    pub(super) phases: Rc<Phases>,
    pub(super) catalog: Rc<RefCell<Catalog>>,
    pub(super) config: AmqpConfig,
    pub(super) queues: Vec<QueueConfig>,
    pub(super) server_name: String,
    pub(super) tracker: RefCell<DeliveryTracker>,
    pub(super) brokers: RefCell<BrokerSelector>,
    pub(super) windows: RefCell<Vec<PrefetchWindow>>,
    pub(super) windows_sampled_at: Cell<Timestamp>,
    /// Responses of all ingresses at the last sample of the windows.
    pub(super) sampled_counts: Cell<ResponseCounts>,
    pub(super) messages: RefCell<BTreeMap<DeliveryId, StoredMessage>>,
    /// Requests that were chosen to run and wait for the permission.
    pub(super) awaiting_permission: RefCell<BTreeMap<DeliveryId, oneshot::Sender<bool>>>,
    /// The tracker may have actions.
    pub(super) input_notification: Notify,
    pub(super) connection_number: Cell<ConnectionNumber>,
    last_request_number: Cell<u64>,
    started_at: Timestamp,
    /// Whether the broker in use is no longer in the operator's file.
    pub(super) broker_removed: Cell<bool>,
    pub(super) shutting_down: Cell<bool>,
    finished: Cell<bool>,
    this: Weak<Self>,
}

fn tracker(config: &AmqpConfig, queues: &[QueueConfig]) -> DeliveryTracker {
    let settings = queues.iter().map(|queue| QueueSettings {
        settlements: queue.settlement_table(),
        settle_before_run: queue.settle == SettleOrder::Before,
    });
    let limits = MessageCacheLimits {
        retention: Duration::from_secs(config.deduplication_window_s),
        max_entries: config.max_deduplication_entries,
        max_bytes: config.max_deduplication_bytes,
    };
    DeliveryTracker::new(settings.collect(), MessageCache::new(limits))
}

impl AmqpConsumer {
    /// Creates a consumer; `run` is its task.
    pub fn new(context: ConsumerContext, config: &AmqpConfig, operator: &OperatorConfig) -> Rc<Self> {
        let now = context.services.dispatcher.clock.now();
        let queues = operator.queues.clone();
        let spread = Duration::from_secs(config.reconnect_spread_s);
        // Servers that start together must not draw the same random delays.
        let seed = context.seed ^ now.us();
        let window =
            |queue: &QueueConfig| PrefetchWindow::new(queue.prefetch_rule(), queue.max_unsettled, now);
        Rc::new_cyclic(|this| Self {
            services: context.services,
            phases: context.phases,
            catalog: context.catalog,
            config: config.clone(),
            server_name: context.server_name,
            tracker: RefCell::new(tracker(config, &queues)),
            brokers: RefCell::new(BrokerSelector::new(&config.brokers, spread, seed, now)),
            windows: RefCell::new(queues.iter().map(window).collect()),
            windows_sampled_at: Cell::new(now),
            sampled_counts: Cell::default(),
            queues,
            messages: RefCell::default(),
            awaiting_permission: RefCell::default(),
            input_notification: Notify::new(),
            connection_number: Cell::default(),
            last_request_number: Cell::new(0),
            started_at: now,
            broker_removed: Cell::new(false),
            shutting_down: Cell::new(false),
            finished: Cell::new(false),
            this: this.clone(),
        })
    }

    /// Whether nothing is in progress any more and the last connection is closed.
    pub fn is_finished(&self) -> bool {
        self.finished.get()
    }

    /// Takes over the brokers of a changed operator's file. Deliveries in progress are settled with the old
    /// broker if that is quick.
    pub fn reload(&self, operator: &OperatorConfig) {
        let Some(config) = &operator.amqp else {
            return log::warn!("consumer unchanged until the next start: no amqp(...) in the file");
        };
        let without_brokers = |config: &AmqpConfig| AmqpConfig { brokers: Vec::new(), ..config.clone() };
        if without_brokers(config) != without_brokers(&self.config) || operator.queues != self.queues {
            log::warn!("changes of amqp and queues other than amqp.brokers apply at the next start");
        }
        let moved = self.brokers.borrow_mut().replace_addresses(self.now(), &config.brokers);
        self.broker_removed.set(self.broker_removed.get() || moved);
        log::info!(brokers = config.brokers.len(), moved; "brokers reloaded");
        self.input_notification.notify_one();
    }

    pub(super) fn now(&self) -> Timestamp {
        self.clock().now()
    }

    pub(super) fn clock(&self) -> &Clock {
        &self.services.dispatcher.clock
    }

    /// Keeps a connection to a broker while the server serves, and then while deliveries are unsettled or replies
    /// are to be published.
    pub async fn run(self: Rc<Self>) {
        self.phases.reached(|phase| phase != Phase::Waiting).await;
        // A task before this one may have failed while it was connected.
        self.disconnected();
        while self.until_next_attempt().await {
            let address = self.brokers.borrow().address();
            let connecting = self.clock().timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
            let failure = match connecting.await {
                Ok(Ok(stream)) => self.serve_connection(stream).await,
                Ok(Err(error)) => ConnectionFailure { reason: error.to_string(), refused: false },
                Err(_) => ConnectionFailure { reason: "no connection in time".into(), refused: false },
            };
            if self.shutting_down.get() && self.tracker.borrow().active() == 0 {
                break;
            }
            self.connection_failed(address, &failure);
        }
        self.finished.set(true);
    }

    fn connection_failed(&self, address: SocketAddr, failure: &ConnectionFailure) {
        let (in_hand, counters) = (self.tracker.borrow().active(), self.tracker.borrow().counters());
        let mut brokers = self.brokers.borrow_mut();
        let was_removed = self.broker_removed.take();
        let moved_on = !was_removed && brokers.connection_failed(self.now(), failure.refused);
        let wait_ms = (brokers.next_attempt() - self.now()).us() / US_PER_MS;
        let next = brokers.address();
        log::warn!(address:%, why:% = failure.reason, in_hand, read = counters.received, next:%, moved_on, wait_ms;
            "broker connection lost");
    }

    /// Logs the counters of all deliveries. What still awaits its fence never runs and is counted as such.
    pub fn log_counters(&self) {
        self.disconnected();
        let (counters, in_hand) = (self.tracker.borrow().counters(), self.tracker.borrow().active());
        log::info!(in_hand, read = counters.received, acked = counters.acked, rejected = counters.rejected,
            requeued = counters.requeued, retried = counters.retried, replies_lost = counters.replies_lost,
            unproven = counters.acked_without_run;
            "deliveries at the end");
    }

    /// Waits for the time of the next attempt; returns false once nothing is left to do with any broker.
    async fn until_next_attempt(&self) -> bool {
        loop {
            self.note_shutdown();
            self.carry_out_actions(None);
            let shutting_down = self.shutting_down.get();
            if shutting_down && self.tracker.borrow().active() == 0 {
                return false;
            }
            let needs_connection = !shutting_down || self.tracker.borrow().has_pending_replies();
            if shutting_down {
                self.brokers.borrow_mut().shorten_delay(self.now());
            }
            let (now, next_attempt) = (self.now(), self.brokers.borrow().next_attempt());
            if needs_connection && next_attempt <= now {
                return true;
            }
            let wait = if needs_connection { next_attempt - now } else { MAX_WAIT };
            tokio::select! {
                () = self.input_notification.notified() => {}
                () = self.phases.reached(is_shutting_down), if !shutting_down => {}
                () = self.clock().sleep(wait.min(MAX_WAIT)) => {}
            }
        }
    }

    pub(super) fn note_shutdown(&self) {
        if is_shutting_down(self.phases.current()) && !self.shutting_down.replace(true) {
            self.tracker.borrow_mut().shutdown_notice();
        }
    }

    pub(super) fn disconnected(&self) {
        let mut tracker = self.tracker.borrow_mut();
        tracker.connection_lost(self.connection_number.get());
        tracker.set_publishing_ready(false);
    }

    /// A reference for a task that outlives the present call.
    pub(super) fn this(&self) -> Rc<Self> {
        self.this.upgrade().expect("it is alive: this is its method")
    }

    /// A request id that is unique among all servers: start time and number.
    pub(super) fn next_request_id(&self) -> RequestId {
        self.last_request_number.set(self.last_request_number.get() + 1);
        let text = format!("q{:x}-{:x}", self.started_at.us(), self.last_request_number.get());
        RequestId::padded(&text).expect("under 36 characters")
    }
}

pub(super) fn is_shutting_down(phase: Phase) -> bool {
    !matches!(phase, Phase::Waiting | Phase::Serving)
}
