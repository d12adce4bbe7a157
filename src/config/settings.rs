//! The settings beside request classes and tenants, as typed figures. This is the one mapping from dotted keys to
//! fields: unknown keys, and keys whose value is of another kind, are ignored; absent keys keep their defaults.

use crate::Duration;
use crate::config::flat_settings::{FlatSettings, SettingValue};

/// Keys that a reload may change, since each server applies them to itself alone; all others need a restart.
pub(crate) const RELOADABLE_KEYS: [&str; 5] = [
    "limits.max_retry_after_us",
    "limits.retry_after",
    "over_share_worth",
    "rules.crowd_multiple",
    "servers",
];

/// Memory of a running request over that of a queued one, by default.
const DEFAULT_RUN_MEMORY_FACTOR: f64 = 8.0;
/// The limit of concurrent dependency calls by default, which is none in effect.
const DEFAULT_CALL_CONCURRENCY_LIMIT: f64 = 1e9;
/// How long the dependency tolerates calls over its limit, by default.
const DEFAULT_CALL_OVERLOAD_TOLERANCE: Duration = Duration::from_ms(5000);
/// Running requests per core above which the cores lose throughput, by default.
const DEFAULT_CONCURRENCY_LIMIT_PER_CORE: f64 = 3.0;
/// The part of a warm server's limit that applies at a cold start, by default.
const DEFAULT_WARM_UP_INITIAL_SHARE: f64 = 0.2;

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
    /// Cores of the worker process, the platform's runtime (`server.cores`).
    pub cores: f64,
    /// Memory of the worker process, in kB (`server.memory_kb`).
    pub memory_kb: f64,
    /// Memory of a running request over that of a queued one (`server.run_factor`).
    pub run_memory_factor: f64,
    /// Memory of one stored idempotency key, in kB (`server.key_kb`).
    pub key_memory_kb: f64,
    /// Whether the server starts cold and warms up (`server.cold`).
    pub starts_cold: bool,
    /// Names of the gauges that the runtime reports, in its order (`server.meters.0` and on).
    pub gauge_names: Vec<String>,
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
    /// How long the dependency tolerates calls over the limit (`server.calls_over_us`).
    pub call_overload_tolerance: Duration,
    /// For how long results of idempotent reads are shared; zero where they are not (`server.share_reads_us`).
    pub read_sharing_window: Duration,
    /// Running requests per core above which the cores lose throughput (`rules.crowd_multiple`).
    pub concurrency_limit_per_core: f64,
    /// The part of a warm server's limit that applies at a cold start (`rules.cold_share`).
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
    /// Reads the figures of dotted keys; absent keys and keys whose value is of another kind give the defaults.
    pub fn from_flat(flat: &FlatSettings) -> Self {
        Self::default().overridden_by(flat)
    }

    /// These figures with those of dotted keys in their place.
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

/// The names from `server.meters.0` on, up to the first index that is absent, empty or no text.
fn gauge_names(flat: &FlatSettings) -> Vec<String> {
    let name = |index: usize| flat.text_or_empty(&format!("server.meters.{index}")).to_string();
    (0..flat.len()).map(name).take_while(|name| !name.is_empty()).collect()
}

impl Preemption {
    /// Reads the setting's word; unknown words stand for the default.
    fn parse(text: &str) -> Self {
        match text {
            "pause" => Self::Pause,
            "none" => Self::Unsupported,
            _ => Self::Drop,
        }
    }
}

impl CapacitySignal {
    /// Reads the setting's word; unknown words stand for the default.
    fn parse(text: &str) -> Self {
        match text {
            "credit" => Self::Credit,
            "weight" => Self::Weight,
            _ => Self::None,
        }
    }
}

impl ValueUnit {
    /// Reads the setting's word; unknown words stand for the default.
    fn parse(text: &str) -> Self {
        match text {
            "work" => Self::Work,
            _ => Self::Request,
        }
    }
}
