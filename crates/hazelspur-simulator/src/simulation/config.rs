//! What one simulation plays: the fleet's size, its load, and how its servers coordinate.

use hazelspur::config::entries::EntryVisitor;
use hazelspur::{Catalog, ControllerSettings, Duration, Idempotency, RequestClass};

/// Mean work of one request over both request classes, in core seconds.
pub(super) const MEAN_WORK_S: f64 = 0.010;
/// Mean work of a request of each request class, in core seconds.
pub(super) const WORK_BY_CLASS_S: [f64; 2] = [0.008, 0.012];
/// Time from a request's first attempt to its deadline.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_ms(2000);
/// Running requests for each core past which every request slows down.
pub(super) const CONTENTION_THRESHOLD_PER_CORE: f64 = 8.0;
/// Cores of one server unless a study says otherwise.
const DEFAULT_CORES: f64 = 2.0;
/// Dependency slots for each server unless a study says otherwise.
const DEFAULT_SLOTS_PER_SERVER: f64 = 8.0;
/// Duration of an unhindered ledger call unless a study says otherwise.
const DEFAULT_CALL_DURATION: Duration = Duration::from_ms(10);
/// Guaranteed part of shared limits unless a study says otherwise.
const DEFAULT_GUARANTEED_FRACTION: f64 = 0.2;
/// Memory that the configuration grants a server, in kB.
const MEMORY_KB: f64 = 1e6;
/// Priority weight of the idempotent request class.
const IDEMPOTENT_WEIGHT: f64 = 1.0;
/// Priority weight of the non-idempotent request class.
const NON_IDEMPOTENT_WEIGHT: f64 = 3.0;

/// What one simulation plays.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Servers of the fleet, those that start later included.
    pub servers: usize,
    /// Cores of each server.
    pub cores: f64,
    /// Seed of all random draws.
    pub seed: u64,
    /// Demand over the capacity of all servers' cores, without the time at calls.
    pub load: f64,
    /// Dependency slots for each server, and the configured call concurrency limit of each.
    pub slots_per_server: f64,
    /// Duration of an unhindered call.
    pub call_duration: Duration,
    /// Fraction of all requests that go to the first third of the servers only.
    pub skewed_fraction: f64,
    /// How servers coordinate.
    pub coordination: Coordination,
    /// Fraction of shared limits that is guaranteed to servers without a lease.
    pub guaranteed_fraction: f64,
    /// Servers that run from the start; a script starts the others.
    pub initial_servers: usize,
}

impl SimulationConfig {
    /// A fleet of two-core servers that all run from the start and do not coordinate.
    pub fn new(servers: usize, seed: u64, load: f64) -> Self {
        Self {
            servers,
            cores: DEFAULT_CORES,
            seed,
            load,
            slots_per_server: DEFAULT_SLOTS_PER_SERVER,
            call_duration: DEFAULT_CALL_DURATION,
            skewed_fraction: 0.0,
            coordination: Coordination::None,
            guaranteed_fraction: DEFAULT_GUARANTEED_FRACTION,
            initial_servers: servers,
        }
    }

    /// Dependency slots of the whole fleet.
    pub fn dependency_slots(&self) -> f64 {
        self.slots_per_server * self.servers as f64
    }

    /// Requests a second that put `load` on all cores.
    pub(super) fn request_rate(&self) -> f64 {
        self.load * self.cores * self.servers as f64 / MEAN_WORK_S
    }
}

/// How servers coordinate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coordination {
    /// Each server uses its configuration and its own observations only.
    None,
    /// Each server has fleet guidance of its own, without gossip.
    Local,
    /// Servers gossip and lease quota.
    Gossip,
    /// An oracle guides all servers by the true state, a little late.
    Oracle,
}

impl Coordination {
    /// All kinds, in the order of the tables.
    pub const ALL: [Self; 4] = [Self::None, Self::Local, Self::Gossip, Self::Oracle];

    /// Its name in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "apart",
            Self::Local => "without talk",
            Self::Gossip => "with talk",
            Self::Oracle => "oracle",
        }
    }
}

/// The configuration of each simulated server: two request classes, one idempotent and one not.
pub(super) fn catalog(config: &SimulationConfig, starts_cold: bool) -> Catalog {
    let mut catalog = Catalog::with_settings(controller_settings(config, starts_cold));
    let classes = [
        request_class(IDEMPOTENT_WEIGHT, Idempotency::Idempotent),
        request_class(NON_IDEMPOTENT_WEIGHT, Idempotency::NonIdempotent),
    ];
    for class in classes {
        catalog.visit_request_class(class).expect("two request classes are within the bound");
    }
    catalog
}

fn controller_settings(config: &SimulationConfig, starts_cold: bool) -> ControllerSettings {
    ControllerSettings {
        servers: config.servers as f64,
        cores: config.cores,
        memory_kb: MEMORY_KB,
        run_memory_factor: 8.0,
        starts_cold,
        call_concurrency_limit: config.slots_per_server,
        call_overload_tolerance: Duration::from_ms(5000),
        concurrency_limit_per_core: 8.0,
        warm_up_initial_share: 0.2,
        warm_up: Duration::from_ms(10_000),
        retry_after_supported: true,
        max_retry_after: Duration::from_ms(1000),
        ..ControllerSettings::default()
    }
}

fn request_class(priority_weight: f64, idempotency: Idempotency) -> RequestClass {
    RequestClass {
        latency_objective: Duration::from_ms(1000),
        request_timeout: REQUEST_TIMEOUT,
        priority_weight,
        idempotency,
        ..RequestClass::default()
    }
}
