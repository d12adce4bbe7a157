//! State of the AMQP consumer, its connection attempts, the reload of its brokers and its shutdown.

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

/// Maximum time for establishing a TCP connection to a broker.
const CONNECT_TIMEOUT: Duration = Duration::from_ms(2000);
/// Maximum time between two checks of the timeouts and of the prefetch windows.
pub(super) const MAX_WAIT: Duration = Duration::from_ms(250);
/// Microseconds per millisecond.
pub(super) const US_PER_MS: u64 = 1000;

/// Parts of the server that a consumer uses.
pub struct ConsumerContext {
    /// Dispatcher, worker link and client of the dependency.
    pub services: Rc<Services>,
    /// Phase of the process.
    pub phases: Rc<Phases>,
    /// Request classes and tenants of the configuration in force.
    pub catalog: Rc<RefCell<Catalog>>,
    /// Name of the server, sent to the broker as the connection's name.
    pub server_name: String,
    /// Seed of the random delays of connection attempts.
    pub seed: u64,
}

/// Failure to establish a connection to a broker, or the end of an established one.
pub(super) struct ConnectionFailure {
    /// Reason, for the log.
    pub(super) reason: String,
    /// Whether the broker refused the credentials, the virtual host or the connection settings.
    pub(super) refused: bool,
}

/// Consumer of the queues that the operator's file names.
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
    /// Counts of the responses of all ingresses at the last sample for the windows.
    pub(super) sampled_counts: Cell<ResponseCounts>,
    pub(super) messages: RefCell<BTreeMap<DeliveryId, StoredMessage>>,
    /// Requests that the controller has decided to run and whose permission the tracker has not yet resolved.
    pub(super) awaiting_permission: RefCell<BTreeMap<DeliveryId, oneshot::Sender<bool>>>,
    /// Notified when the tracker may have new actions.
    pub(super) input_notification: Notify,
    /// Number of the latest connection.
    pub(super) connection_number: Cell<ConnectionNumber>,
    last_request_number: Cell<u64>,
    started_at: Timestamp,
    /// Whether a reload has removed the broker in use from the operator's file.
    pub(super) broker_removed: Cell<bool>,
    pub(super) shutting_down: Cell<bool>,
    finished: Cell<bool>,
    weak_reference: Weak<Self>,
}

fn new_tracker(config: &AmqpConfig, queues: &[QueueConfig]) -> DeliveryTracker {
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
    /// Creates a consumer. The caller runs `run` as its task.
    pub fn new(context: ConsumerContext, config: &AmqpConfig, operator: &OperatorConfig) -> Rc<Self> {
        let now = context.services.dispatcher.clock.now();
        let queues = operator.queues.clone();
        let spread = Duration::from_secs(config.reconnect_spread_s);
        // The start time is mixed in: servers that start together must not draw the same random delays.
        let seed = context.seed ^ now.us();
        let window =
            |queue: &QueueConfig| PrefetchWindow::new(queue.prefetch_rule(), queue.max_unsettled, now);
        Rc::new_cyclic(|weak_reference| Self {
            services: context.services,
            phases: context.phases,
            catalog: context.catalog,
            config: config.clone(),
            server_name: context.server_name,
            tracker: RefCell::new(new_tracker(config, &queues)),
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
            weak_reference: weak_reference.clone(),
        })
    }

    /// Returns whether `run` is complete: no delivery is in progress and the last connection is closed.
    pub fn is_finished(&self) -> bool {
        self.finished.get()
    }

    /// Applies the broker list of a changed operator's file; other changes apply at the next start. If the
    /// broker in use was removed, its deliveries in progress are settled with it for up to
    /// `BROKER_REMOVAL_TIMEOUT`.
    pub fn reload(&self, operator: &OperatorConfig) {
        let Some(config) = &operator.amqp else {
            return log::warn!("operator's file without amqp(...): consumer unchanged until the next start");
        };
        let without_brokers = |config: &AmqpConfig| AmqpConfig { brokers: Vec::new(), ..config.clone() };
        if without_brokers(config) != without_brokers(&self.config) || operator.queues != self.queues {
            log::warn!("changes of queues and of amqp except its brokers apply at the next start");
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

    /// Keeps a connection to a broker from the phase `Serving` until the shutdown, and then while deliveries
    /// are in progress or replies are to be published.
    pub async fn run(self: Rc<Self>) {
        self.phases.reached(|phase| phase != Phase::Waiting).await;
        // A previous task of this consumer may have failed while it was connected.
        self.disconnected();
        while self.wait_for_next_attempt().await {
            let address = self.brokers.borrow().address();
            let connecting = self.clock().timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
            let failure = match connecting.await {
                Ok(Ok(stream)) => self.serve_connection(stream).await,
                Ok(Err(error)) => ConnectionFailure { reason: error.to_string(), refused: false },
                Err(_) => ConnectionFailure { reason: "connect timed out".into(), refused: false },
            };
            if self.shutting_down.get() && self.tracker.borrow().active() == 0 {
                break;
            }
            self.connection_failed(address, &failure);
        }
        self.finished.set(true);
    }

    /// Schedules the next connection attempt, possibly to another broker, and logs it.
    fn connection_failed(&self, address: SocketAddr, failure: &ConnectionFailure) {
        let (in_hand, counters) = (self.tracker.borrow().active(), self.tracker.borrow().counters());
        let mut brokers = self.brokers.borrow_mut();
        let was_removed = self.broker_removed.take();
        let moved_on = !was_removed && brokers.connection_failed(self.now(), failure.refused);
        let wait_ms = (brokers.next_attempt() - self.now()).us() / US_PER_MS;
        let next = brokers.address();
        log::warn!(address:%, why:% = failure.reason, in_hand, read = counters.received, next:%, moved_on, wait_ms;
            "broker connection failed or lost");
    }

    /// Logs the counters of all deliveries, at the end of the process. Requests that still wait for the
    /// answer to their fence never run and are counted as acknowledged without a run.
    pub fn log_counters(&self) {
        self.disconnected();
        let (counters, in_hand) = (self.tracker.borrow().counters(), self.tracker.borrow().active());
        log::info!(in_hand, read = counters.received, acked = counters.acked, rejected = counters.rejected,
            requeued = counters.requeued, retried = counters.retried, replies_lost = counters.replies_lost,
            unproven = counters.acked_without_run;
            "delivery counts at shutdown");
    }

    /// Waits for the time of the next connection attempt. Returns false once the server is shutting down and
    /// no delivery is in progress.
    async fn wait_for_next_attempt(&self) -> bool {
        loop {
            self.detect_shutdown();
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

    /// Notifies the tracker of the shutdown, once.
    pub(super) fn detect_shutdown(&self) {
        if is_shutting_down(self.phases.current()) && !self.shutting_down.replace(true) {
            self.tracker.borrow_mut().shutdown_notice();
        }
    }

    /// Notifies the tracker that the latest connection and its publishing channel are lost.
    pub(super) fn disconnected(&self) {
        let mut tracker = self.tracker.borrow_mut();
        tracker.connection_lost(self.connection_number.get());
        tracker.set_publishing_ready(false);
    }

    /// Returns a reference for a task that may outlive the borrow of `self`.
    pub(super) fn strong_reference(&self) -> Rc<Self> {
        self.weak_reference.upgrade().expect("the consumer is borrowed, so it exists")
    }

    /// Returns a request id that is unique among all servers: the consumer's start time and a counter.
    pub(super) fn next_request_id(&self) -> RequestId {
        self.last_request_number.set(self.last_request_number.get() + 1);
        let text = format!("q{:x}-{:x}", self.started_at.us(), self.last_request_number.get());
        RequestId::padded(&text).expect("at most 36 characters")
    }
}

pub(super) fn is_shutting_down(phase: Phase) -> bool {
    !matches!(phase, Phase::Waiting | Phase::Serving)
}
