//! The settings that the decisions read, as typed figures: one field for each key, with its unit and default.

use crate::Duration;
use crate::config::facts::Facts;

/// What the runtime does with a running request that is to leave the cores.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// It drops the work done.
    #[default]
    Drop,
    /// It keeps the request in memory and can resume it.
    Pause,
    /// It cannot take a request off the cores.
    Unsupported,
}

/// What the capacity figure sent with each response means to the clients.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CapacitySignal {
    /// No figure is sent.
    #[default]
    None,
    /// How many requests a client may have outstanding here.
    Credit,
    /// The share of a client's requests that it should send here.
    Weight,
}

/// In what the operator counts the value of served requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueUnit {
    /// A request counts alike whatever it costs.
    #[default]
    Request,
    /// A request counts by its work.
    Work,
}

/// Figures of the settings other than request classes and tenants.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerSettings {
    /// Cores of the runtime (`server.cores`).
    pub cores: f64,
    /// Memory of the runtime, in kB (`server.memory_kb`).
    pub memory_kb: f64,
    /// Memory of a running request over that of a queued one (`server.run_factor`).
    pub run_memory_factor: f64,
    /// Memory of one stored idempotency key, in kB (`server.key_kb`).
    pub key_memory_kb: f64,
    /// What becomes of preempted work (`server.stop`).
    pub preemption: Preemption,
    /// What the advertised figure means (`server.value`).
    pub capacity_signal: CapacitySignal,
    /// When clients close idle connections; zero where that is not known (`server.caller_idle_us`).
    pub client_idle_timeout: Duration,
    /// How long a cancelled call goes on loading the dependency (`server.lingers_us`).
    pub call_residual_load: Duration,
    /// Concurrent calls that this server may have on the shared dependency (`server.calls_bound`).
    pub call_concurrency_limit: f64,
    /// How long the dependency survives calls over the limit (`server.calls_over_us`).
    pub call_overload_tolerance: Duration,
    /// For how long results of idempotent reads are shared; zero where they are not (`server.share_reads_us`).
    pub read_sharing_window: Duration,
    /// Requests on the cores that they survive, over the number of cores (`rules.crowd_multiple`).
    pub concurrency_limit_per_core: f64,
    /// The part of a warm server's limit that holds at a cold start (`rules.cold_share`).
    pub warm_up_initial_share: f64,
    /// How long a server warms up (`rules.cold_us`).
    pub warm_up: Duration,
    /// How long after a shutdown notice arriving requests are still served (`rules.drain_grace_us`).
    pub drain_grace_period: Duration,
    /// Whether clients heed a Retry-After (`limits.retry_after`).
    pub retry_after_supported: bool,
    /// The longest Retry-After (`limits.max_retry_after_us`).
    pub max_retry_after: Duration,
    /// What the value of a request is counted by (`counted_by`).
    pub value_unit: ValueUnit,
    /// Value of a request past its tenant's quota, of one within it (`over_share_worth`).
    pub over_quota_value: f64,
    /// Servers of the fleet (`servers`).
    pub servers: f64,
}

impl Default for ControllerSettings {
    fn default() -> Self {
        Self::from_facts(&Facts::default())
    }
}

impl ControllerSettings {
    /// Reads the figures; absent keys and keys of another kind give the defaults.
    pub fn from_facts(facts: &Facts) -> Self {
        let duration = |name: &str| Duration::from_us(facts.num(name, 0.0) as u64);
        Self {
            cores: facts.num("server.cores", 1.0),
            memory_kb: facts.num("server.memory_kb", f64::MAX),
            run_memory_factor: facts.num("server.run_factor", 8.0),
            key_memory_kb: facts.num("server.key_kb", 0.0),
            preemption: match facts.text("server.stop") {
                "pause" => Preemption::Pause,
                "none" => Preemption::Unsupported,
                _ => Preemption::Drop,
            },
            capacity_signal: match facts.text("server.value") {
                "credit" => CapacitySignal::Credit,
                "weight" => CapacitySignal::Weight,
                _ => CapacitySignal::None,
            },
            client_idle_timeout: duration("server.caller_idle_us"),
            call_residual_load: duration("server.lingers_us"),
            call_concurrency_limit: facts.num("server.calls_bound", 1e9),
            call_overload_tolerance: Duration::from_us(facts.num("server.calls_over_us", 5e6) as u64),
            read_sharing_window: duration("server.share_reads_us"),
            concurrency_limit_per_core: facts.num("rules.crowd_multiple", 3.0),
            warm_up_initial_share: facts.num("rules.cold_share", 0.2),
            warm_up: duration("rules.cold_us"),
            drain_grace_period: duration("rules.drain_grace_us"),
            retry_after_supported: facts.num("limits.retry_after", 0.0) > 0.0,
            max_retry_after: duration("limits.max_retry_after_us"),
            value_unit: match facts.text("counted_by") {
                "work" => ValueUnit::Work,
                _ => ValueUnit::Request,
            },
            over_quota_value: facts.num("over_share_worth", 1.0),
            servers: facts.num("servers", 1.0),
        }
    }
}
