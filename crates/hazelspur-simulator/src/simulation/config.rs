//! Configuration of a simulation: size and load of the fleet, the coordination of its servers, and the
//! controller settings of each server.

use hazelspur::config::entries::EntryVisitor;
use hazelspur::{Catalog, ControllerSettings, Duration, Idempotency, RequestClass};

/// Mean work of a request over both request classes, in core seconds.
pub(super) const MEAN_WORK_S: f64 = 0.010;
/// Mean work of a request of each request class, in core seconds.
pub(super) const WORK_BY_CLASS_S: [f64; 2] = [0.008, 0.012];
/// Time from a request's first attempt to its deadline.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_ms(2000);
/// Running requests for each core above which all requests of a server slow down.
pub(super) const CONTENTION_THRESHOLD_PER_CORE: f64 = 8.0;
/// Default number of cores of a server.
const DEFAULT_CORES: f64 = 2.0;
/// Default number of dependency slots for each server.
const DEFAULT_SLOTS_PER_SERVER: f64 = 8.0;
/// Default duration of a dependency call without contention.
const DEFAULT_CALL_DURATION: Duration = Duration::from_ms(10);
/// Default fraction of shared limits that is guaranteed to servers without a lease.
const DEFAULT_GUARANTEED_FRACTION: f64 = 0.2;
/// Configured memory of a server, in kB.
const MEMORY_KB: f64 = 1e6;
/// Priority weight of the idempotent request class.
const IDEMPOTENT_WEIGHT: f64 = 1.0;
/// Priority weight of the non-idempotent request class.
const NON_IDEMPOTENT_WEIGHT: f64 = 3.0;

/// Configuration of one simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Number of servers of the fleet, those that start later included.
    pub servers: usize,
    /// Number of cores of each server.
    pub cores: f64,
    /// Seed of all random draws of the simulation.
    pub seed: u64,
    /// Demand divided by the capacity of all servers' cores; time in dependency calls does not count.
    pub load: f64,
    /// Dependency slots for each server, which is also the configured call concurrency limit of each server.
    pub slots_per_server: f64,
    /// Duration of a dependency call without contention.
    pub call_duration: Duration,
    /// Fraction of requests whose first attempt goes to the first third of the servers.
    pub skewed_fraction: f64,
    /// Coordination of the servers.
    pub coordination: Coordination,
    /// Fraction of shared limits that is guaranteed to servers without a lease.
    pub guaranteed_fraction: f64,
    /// Number of servers that run from the start; the script may start the others.
    pub initial_servers: usize,
}

impl SimulationConfig {
    /// Returns the configuration of a fleet of two-core servers that all run from the start and do not
    /// coordinate.
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

    /// Returns the dependency slots of the whole fleet.
    pub fn dependency_slots(&self) -> f64 {
        self.slots_per_server * self.servers as f64
    }

    /// Returns the requests a second that put `load` on all cores.
    pub(super) fn request_rate(&self) -> f64 {
        self.load * self.cores * self.servers as f64 / MEAN_WORK_S
    }
}

/// Coordination of the servers of a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coordination {
    /// None: each server uses only its configuration and its own observations.
    None,
    /// Guidance that each server derives from its own observations, without gossip.
    Local,
    /// Guidance from gossip and leased quota, as in `hazelspur-server`.
    Gossip,
    /// Guidance from an oracle that knows the true state of the fleet a quarter of a second late.
    Oracle,
}

impl Coordination {
    /// All kinds in the order of the printed tables.
    pub const ALL: [Self; 4] = [Self::None, Self::Local, Self::Gossip, Self::Oracle];

    /// Returns the name in the printed tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "apart",
            Self::Local => "without talk",
            Self::Gossip => "with talk",
            Self::Oracle => "oracle",
        }
    }
}

/// Returns the catalog of each simulated server, with one idempotent and one non-idempotent request class.
pub(super) fn catalog(config: &SimulationConfig, starts_cold: bool) -> Catalog {
    let mut catalog = Catalog::with_settings(controller_settings(config, starts_cold));
    let classes = [
        request_class(IDEMPOTENT_WEIGHT, Idempotency::Idempotent),
        request_class(NON_IDEMPOTENT_WEIGHT, Idempotency::NonIdempotent),
    ];
    for class in classes {
        catalog.visit_request_class(class).expect("a catalog takes at least two request classes");
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
