//! Creates the parts of the process, connects them and spawns their tasks.

use super::descriptors::Descriptors;
use super::error::StartError;
use super::phases::Phases;
use super::standstill::StandstillDetector;
use super::supervise::supervise;
use crate::clock::Clock;
use crate::config::operator::OperatorConfig;
use crate::config::reload::{self, References, Reloader};
use crate::config::server_config::{LoadedConfig, ServerConfig};
use crate::fleet::transport::{self, GossipTransport, TransportContext};
use crate::ingress::amqp::{AmqpConsumer, ConsumerContext};
use crate::ingress::gateway::GatewayServer;
use crate::ingress::gateway::{MAX_OVERDUE, MAX_TIMEOUT_FACTOR};
use crate::request::deduplication::Deduplication;
use crate::request::dispatcher::Dispatcher;
use crate::request::lifecycle::Services;
use crate::upstream::dependency::DependencyClient;
use crate::upstream::endpoints::UpstreamEndpoints;
use crate::upstream::registry::HealthReporter;
use crate::upstream::worker::{WorkerLink, WorkerStatus};
use hazelspur::{AdmissionController, Catalog};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;

/// Divisor of the process's memory that gives the bound on stored results for retries.
const RESULT_MEMORY_DIVISOR: usize = 8;

/// The parts of the process.
pub(super) struct Server {
    pub(super) config: Rc<ServerConfig>,
    pub(super) phases: Rc<Phases>,
    pub(super) services: Rc<Services>,
    pub(super) standstills: Rc<StandstillDetector>,
    pub(super) queues: Option<Rc<AmqpConsumer>>,
    pub(super) gossip: Option<Rc<GossipTransport>>,
    catalog: Rc<RefCell<Catalog>>,
    endpoints: Rc<UpstreamEndpoints>,
    descriptors: Descriptors,
}

impl Server {
    pub(super) async fn new(
        loaded: LoadedConfig,
        operator: &OperatorConfig,
        clock: Rc<Clock>,
    ) -> Result<Self, StartError> {
        let LoadedConfig { config, catalog } = loaded;
        let descriptors = Descriptors::allowed(config.max_sockets);
        let phases = Rc::new(Phases::default());
        let dispatcher = Rc::new(Dispatcher::new(clock));
        dispatcher.deduplication.replace(deduplication(&config, &catalog));
        let standstills = Rc::new(StandstillDetector::new(dispatcher.clock.now()));
        let endpoints = Rc::new(UpstreamEndpoints::new(config.addresses));
        let gauge_names = config.gauge_names.clone();
        let services = Rc::new(Services {
            dispatcher: dispatcher.clone(),
            worker: Rc::new(WorkerLink::new(dispatcher, endpoints.clone(), gauge_names)),
            dependency: Rc::new(DependencyClient::new(endpoints.clone(), descriptors.calls)),
        });
        let mut server = Self {
            config: Rc::new(config),
            phases,
            services,
            standstills,
            queues: None,
            gossip: None,
            catalog: Rc::new(RefCell::new(catalog)),
            endpoints,
            descriptors,
        };
        server.queues = server.queue_consumer(operator);
        server.gossip = server.join_fleet(operator).await?;
        Ok(server)
    }

    fn queue_consumer(&self, operator: &OperatorConfig) -> Option<Rc<AmqpConsumer>> {
        let amqp = operator.amqp.as_ref()?;
        let context = ConsumerContext {
            services: self.services.clone(),
            phases: self.phases.clone(),
            catalog: self.catalog.clone(),
            server_name: self.config.name.clone(),
            seed: self.config.seed,
        };
        Some(AmqpConsumer::new(context, amqp, operator))
    }

    async fn join_fleet(&self, operator: &OperatorConfig) -> Result<Option<Rc<GossipTransport>>, StartError> {
        let Some(fleet) = &operator.fleet else { return Ok(None) };
        let context = TransportContext {
            dispatcher: self.services.dispatcher.clone(),
            endpoints: self.endpoints.clone(),
            phases: self.phases.clone(),
            catalog: self.catalog.clone(),
        };
        let ServerConfig { name, seed, .. } = &*self.config;
        let transport = Rc::new(GossipTransport::bind(fleet, name, *seed, context).await?);
        self.services.dependency.observe(transport.clone());
        Ok(Some(transport))
    }

    pub(super) fn gateways(&self, listener: TcpListener) -> Rc<GatewayServer> {
        let (services, phases) = (self.services.clone(), self.phases.clone());
        Rc::new(GatewayServer::new(services, phases, self.catalog.clone(), listener, self.descriptors))
    }

    pub(super) fn reloader(&self, operator: &OperatorConfig, operator_file: Option<String>) -> Rc<Reloader> {
        Rc::new(Reloader {
            endpoints: self.endpoints.clone(),
            running: self.config.clone(),
            dispatcher: self.services.dispatcher.clone(),
            catalog: self.catalog.clone(),
            operator_file,
            queues: self.queues.clone(),
            settings_may_change: operator.reload.settings,
            references: RefCell::new(References::of(operator)),
        })
    }

    pub(super) fn log_start(&self, operator: &OperatorConfig) {
        let ServerConfig { name, listen, shutdown_timeout, .. } = &*self.config;
        let request_classes = self.catalog.borrow().request_class_count();
        let tenants = self.catalog.borrow().tenant_count();
        log::info!(name = name.as_str(), listen:%, stop_ms = shutdown_timeout.us() / 1000,
            op_types = request_classes, tenants, queues = operator.queues.len(), connections = self.descriptors.gateways,
            calls = self.descriptors.calls; "start");
    }

    pub(super) fn spawn_tasks(&self, gateways: &Rc<GatewayServer>, hangup: Signal, reloader: Rc<Reloader>) {
        let Services { dispatcher, worker, .. } = &*self.services;
        let hangup = Rc::new(RefCell::new(hangup));
        supervise("reload", &hangup, move |hangup| reload::on_hangup(hangup, reloader.clone()));
        if let Some(queues) = &self.queues {
            supervise("queues", queues, AmqpConsumer::run);
        }
        if let Some(transport) = &self.gossip {
            transport::start(transport);
        }
        supervise("accept", gateways, GatewayServer::accept_connections);
        supervise("connections", gateways, GatewayServer::maintain_connections);
        supervise("runtime", worker, WorkerLink::run);
        supervise("tick", worker, WorkerLink::run_timer);
        supervise("dispatcher", dispatcher, Dispatcher::run);
        let clock = dispatcher.clone();
        supervise("standstills", &self.standstills, move |standstills| {
            let clock = clock.clone();
            standstills.run(move || clock.clock.now())
        });
        self.spawn_health_reporter();
    }

    fn spawn_health_reporter(&self) {
        let (config, endpoints) = (self.config.clone(), self.endpoints.clone());
        let dispatcher = self.services.dispatcher.clone();
        supervise("control", &self.phases, move |phases| {
            let (endpoints, dispatcher) = (endpoints.clone(), dispatcher.clone());
            HealthReporter::new(&config.name, config.seed, endpoints, dispatcher, phases).run()
        });
    }

    pub(super) fn start_controller(&self, worker: WorkerStatus) {
        let WorkerStatus { is_warm, uptime } = worker;
        let dispatcher = &self.services.dispatcher;
        let started_at = dispatcher.clock.now().saturating_sub(uptime);
        let catalog = self.catalog.clone();
        dispatcher.start(AdmissionController::with_shared_catalog(
            catalog,
            !is_warm,
            self.config.seed,
            started_at,
        ));
        log::info!(cold = !is_warm, up_ms = uptime.us() / 1000; "worker state known, requests admitted");
    }
}

/// Creates the store of idempotency keys and shared reads. After its window a key is kept for the longest
/// time that a client may wait for a response, since a retry may be received that late.
fn deduplication(config: &ServerConfig, catalog: &Catalog) -> Deduplication {
    let receipt_delay = catalog.max_request_timeout().scaled(MAX_TIMEOUT_FACTOR) + MAX_OVERDUE;
    let max_bytes = config.max_memory_bytes / RESULT_MEMORY_DIVISOR;
    Deduplication::new(config.read_freshness, receipt_delay, max_bytes)
}
