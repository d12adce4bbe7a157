//! The settings other than request classes and tenants as typed fields.
//!
//! This is the only mapping from dotted keys to fields. Unknown keys and keys with a value of the wrong type
//! are ignored; absent keys keep their defaults.

use crate::Duration;
use crate::config::flat_settings::{FlatSettings, SettingValue};

/// Keys that a reload may change, because each server applies them to itself alone. All other keys need a
/// restart.
pub(crate) const RELOADABLE_KEYS: [&str; 5] = [
    "limits.max_retry_after_us",
    "limits.retry_after",
    "over_share_worth",
    "rules.crowd_multiple",
    "servers",
];

/// Default memory of a running request, in multiples of the memory of a queued one.
const DEFAULT_RUN_MEMORY_FACTOR: f64 = 8.0;
/// Default limit of concurrent dependency calls; so high that it does not limit.
const DEFAULT_CALL_CONCURRENCY_LIMIT: f64 = 1e9;
/// Default time for which the dependency tolerates calls over its limit.
const DEFAULT_CALL_OVERLOAD_TOLERANCE: Duration = Duration::from_ms(5000);
/// Default number of running requests per core above which the cores lose throughput.
const DEFAULT_CONCURRENCY_LIMIT_PER_CORE: f64 = 3.0;
/// Default fraction of a warm server's concurrency limit that applies at a cold start.
const DEFAULT_WARM_UP_INITIAL_SHARE: f64 = 0.2;

/// The behaviour of the worker when a running request is preempted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// The worker discards the work done.
    #[default]
    Drop,
    /// The worker keeps the request in memory and can resume it.
    Pause,
    /// The worker cannot preempt a request.
    Unsupported,
}

/// The meaning to clients of the capacity number sent with each response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CapacitySignal {
    /// No number is sent.
    #[default]
    None,
    /// Number of requests that a client may have outstanding at this server.
    Credit,
    /// Share of a client's requests that it should send to this server.
    Weight,
}

/// The unit in which the operator counts the value of served requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ValueUnit {
    /// Every request counts the same, whatever it costs.
    #[default]
    Request,
    /// A request counts in proportion to its work.
    Work,
}

/// The settings other than request classes and tenants. Each field names its dotted key.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerSettings {
    /// Number of cores of the worker process (`server.cores`).
    pub cores: f64,
    /// Memory of the worker process, in kB (`server.memory_kb`).
    pub memory_kb: f64,
    /// Memory of a running request, in multiples of the memory of a queued one (`server.run_factor`).
    pub run_memory_factor: f64,
    /// Memory of one stored idempotency key, in kB (`server.key_kb`).
    pub key_memory_kb: f64,
    /// Whether the server starts cold and warms up (`server.cold`).
    pub starts_cold: bool,
    /// Names of the gauges that the worker reports, in the order of its reports (`server.meters.0` and up).
    pub gauge_names: Vec<String>,
    /// Behaviour of the worker when a request is preempted (`server.stop`).
    pub preemption: Preemption,
    /// Meaning of the advertised capacity (`server.value`).
    pub capacity_signal: CapacitySignal,
    /// Idle time after which clients close a connection; zero where it is not known
    /// (`server.caller_idle_us`).
    pub client_idle_timeout: Duration,
    /// Time for which a cancelled call still loads the dependency (`server.lingers_us`).
    pub call_residual_load: Duration,
    /// Maximum number of this server's concurrent calls to the shared dependency (`server.calls_bound`).
    pub call_concurrency_limit: f64,
    /// Time for which the dependency tolerates calls over the limit (`server.calls_over_us`).
    pub call_overload_tolerance: Duration,
    /// Time for which results of idempotent reads are shared; zero where they are not
    /// (`server.share_reads_us`).
    pub read_sharing_window: Duration,
    /// Number of running requests per core above which the cores lose throughput (`rules.crowd_multiple`).
    pub concurrency_limit_per_core: f64,
    /// Fraction of a warm server's concurrency limit that applies at a cold start (`rules.cold_share`).
    pub warm_up_initial_share: f64,
    /// Duration of the warm-up (`rules.cold_us`).
    pub warm_up: Duration,
    /// Time after a shutdown notice for which arriving requests are still served (`rules.drain_grace_us`).
    pub drain_grace_period: Duration,
    /// Whether clients respect Retry-After (`limits.retry_after`).
    pub retry_after_supported: bool,
    /// Maximum Retry-After (`limits.max_retry_after_us`).
    pub max_retry_after: Duration,
    /// Unit in which the value of a request is counted (`counted_by`).
    pub value_unit: ValueUnit,
    /// Value of a request past its tenant's quota, relative to one within it (`over_share_worth`).
    pub over_quota_value: f64,
    /// Number of servers in the fleet (`servers`).
    pub servers: f64,
}

impl Default for ControllerSettings {
    fn default() -> Self {
        Self {
            cores: 1.0,
            memory_kb: f64::MAX,
            run_memory_factor: DEFAULT_RUN_MEMORY_FACTOR,
            key_memory_kb: 0.0,
            starts_cold: false,
            gauge_names: Vec::new(),
            preemption: Preemption::default(),
            capacity_signal: CapacitySignal::default(),
            client_idle_timeout: Duration::ZERO,
            call_residual_load: Duration::ZERO,
            call_concurrency_limit: DEFAULT_CALL_CONCURRENCY_LIMIT,
            call_overload_tolerance: DEFAULT_CALL_OVERLOAD_TOLERANCE,
            read_sharing_window: Duration::ZERO,
            concurrency_limit_per_core: DEFAULT_CONCURRENCY_LIMIT_PER_CORE,
            warm_up_initial_share: DEFAULT_WARM_UP_INITIAL_SHARE,
            warm_up: Duration::ZERO,
            drain_grace_period: Duration::ZERO,
            retry_after_supported: false,
            max_retry_after: Duration::ZERO,
            value_unit: ValueUnit::default(),
            over_quota_value: 1.0,
            servers: 1.0,
        }
    }
}

impl ControllerSettings {
    /// Reads the settings from dotted keys. Absent keys and keys with a value of the wrong type give the
    /// defaults.
    pub fn from_flat(flat: &FlatSettings) -> Self {
        Self::default().overridden_by(flat)
    }

    /// Returns these settings with the values of the dotted keys in their place.
    pub fn overridden_by(&self, flat: &FlatSettings) -> Self {
        let mut settings = self.clone();
        for (key, value) in flat.iter() {
            match value {
                SettingValue::Number(number) => settings.set_number(key, *number),
                SettingValue::Text(text) => settings.set_text(key, text),
            }
        }
        let gauge_names = gauge_names(flat);
        if !gauge_names.is_empty() {
            settings.gauge_names = gauge_names;
        }
        settings
    }

    fn set_number(&mut self, key: &str, number: f64) {
        let duration = Duration::from_us(number as u64);
        match key {
            "server.cores" => self.cores = number,
            "server.memory_kb" => self.memory_kb = number,
            "server.run_factor" => self.run_memory_factor = number,
            "server.key_kb" => self.key_memory_kb = number,
            "server.cold" => self.starts_cold = number > 0.0,
            "server.caller_idle_us" => self.client_idle_timeout = duration,
            "server.lingers_us" => self.call_residual_load = duration,
            "server.calls_bound" => self.call_concurrency_limit = number,
            "server.calls_over_us" => self.call_overload_tolerance = duration,
            "server.share_reads_us" => self.read_sharing_window = duration,
            "rules.crowd_multiple" => self.concurrency_limit_per_core = number,
            "rules.cold_share" => self.warm_up_initial_share = number,
            "rules.cold_us" => self.warm_up = duration,
            "rules.drain_grace_us" => self.drain_grace_period = duration,
            "limits.retry_after" => self.retry_after_supported = number > 0.0,
            "limits.max_retry_after_us" => self.max_retry_after = duration,
            "over_share_worth" => self.over_quota_value = number,
            "servers" => self.servers = number,
            _ => {}
        }
    }

    fn set_text(&mut self, key: &str, text: &str) {
        match key {
            "server.stop" => self.preemption = Preemption::parse(text),
            "server.value" => self.capacity_signal = CapacitySignal::parse(text),
            "counted_by" => self.value_unit = ValueUnit::parse(text),
            _ => {}
        }
    }
}

/// Returns the names from `server.meters.0` up to the first index that is absent, empty or not a text.
fn gauge_names(flat: &FlatSettings) -> Vec<String> {
    let name = |index: usize| flat.text_or_empty(&format!("server.meters.{index}")).to_string();
    (0..flat.len()).map(name).take_while(|name| !name.is_empty()).collect()
}

impl Preemption {
    /// Reads the value of the setting; an unknown value gives the default.
    fn parse(text: &str) -> Self {
        match text {
            "pause" => Self::Pause,
            "none" => Self::Unsupported,
            _ => Self::Drop,
        }
    }
}

impl CapacitySignal {
    /// Reads the value of the setting; an unknown value gives the default.
    fn parse(text: &str) -> Self {
        match text {
            "credit" => Self::Credit,
            "weight" => Self::Weight,
            _ => Self::None,
        }
    }
}

impl ValueUnit {
    /// Reads the value of the setting; an unknown value gives the default.
    fn parse(text: &str) -> Self {
        match text {
            "work" => Self::Work,
            _ => Self::Request,
        }
    }
}
