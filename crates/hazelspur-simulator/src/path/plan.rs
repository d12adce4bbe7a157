//! What is played: the size of a server's settings, the file that says them, and arrivals fixed beforehand.

use hazelspur::Duration;
use hazelspur::pcg::Pcg;
use serde_json::json;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// More of either is no size of ours.
const MAX_ENTRIES: usize = 1_000_000;
/// Arrivals of one play.
pub const MAX_ARRIVALS: usize = 1_000_000;
/// Cores of the runtime by the settings: the server admits by them, and is not to refuse here.
const WORKER_CORES: u32 = 16;
/// Latency objective of each request class, in microseconds.
const LATENCY_OBJECTIVE_US: u64 = 1_000_000;
/// Request timeout of each request class, in microseconds.
const REQUEST_TIMEOUT_US: u64 = 3_000_000;
/// Quota of each tenant, in requests a second.
const QUOTA_PER_S: u32 = 10;
/// From the notice to leave until the process ends.
const STOP_DURATION_MS: u64 = 400;

/// How many request classes and tenants a server's settings name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableSize {
    pub request_classes: usize,
    pub tenants: usize,
}

impl fmt::Display for TableSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x{}", self.request_classes, self.tenants)
    }
}

/// A text that is no size of tables.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}: not op types x tenants, as in 87x420, each 1 to {MAX_ENTRIES}")]
pub struct TableSizeError(String);

/// A rate and length of which no plan follows.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("{rate_per_s} ops a second for {length_s} s: not 0 to {MAX_ARRIVALS} ops")]
pub struct ArrivalsError {
    /// Requests a second.
    pub rate_per_s: f64,
    /// Length of the plan, in seconds.
    pub length_s: f64,
}

impl FromStr for TableSize {
    type Err = TableSizeError;

    fn from_str(text: &str) -> Result<Self, TableSizeError> {
        let error = || TableSizeError(text.to_string());
        let (request_classes, tenants) = text.split_once('x').ok_or_else(error)?;
        let entries = |text: &str| text.parse().ok().filter(|n| (1..=MAX_ENTRIES).contains(n));
        Ok(Self {
            request_classes: entries(request_classes).ok_or_else(error)?,
            tenants: entries(tenants).ok_or_else(error)?,
        })
    }
}

/// The name of a request class by its number.
pub fn request_class_name(number: usize) -> String {
    format!("route-{number}")
}

/// The name of a tenant by its number.
pub fn tenant_name(number: usize) -> String {
    format!("tenant-{number}")
}

/// Where a server listens and what it connects to.
#[derive(Clone, Copy, Debug)]
pub struct ServerAddresses {
    pub listen: SocketAddr,
    pub worker: SocketAddr,
    pub registry: SocketAddr,
}

/// The platform's configuration of a server with tables of this size, in the form of `examples/config.json`
/// without white space. All request classes may be repeated; `servers` is the size of the fleet that quotas are for.
pub fn configuration(size: TableSize, addresses: ServerAddresses, servers: usize, seed: u64) -> String {
    let request_class = |i| {
        json!({"name": request_class_name(i), "aim-us": LATENCY_OBJECTIVE_US,
            "deadline-us": REQUEST_TIMEOUT_US, "semantics": "safe", "importance": 1 + i % 5})
    };
    let request_classes: Vec<_> = (0..size.request_classes).map(request_class).collect();
    let tenant = |i| json!({"name": tenant_name(i), "quota-rps": QUOTA_PER_S});
    let tenants: Vec<_> = (0..size.tenants).map(tenant).collect();
    json!({
        "name": "n1", "listen": addresses.listen.to_string(), "runtime": addresses.worker.to_string(),
        "control": addresses.registry.to_string(), "seed": format!("{seed:016x}"),
        "stop_ms": STOP_DURATION_MS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "family-info": {"n-cores": WORKER_CORES, "mem-limit-kb": 1_000_000, "run-factor": 8,
                "stop-mode": "drop", "meters": ["core_use", "on_cores", "heap_share", "links"], "calls-out": 1000,
                "calls-over-us": 5_000_000, "passes-deadline": true},
            "lanes": request_classes,
            "orgs": tenants,
            "rules": {"fall-multiple": 8, "cold-share": 0.2, "cold-us": 10_000_000, "drain-grace-us": 100_000},
            "limits": {"retry-after": true, "max-retry-after-us": 1_000_000},
            "servers": servers,
        },
    })
    .to_string()
}

/// How many distinct request classes and tenants are met, spread evenly over the whole tables; all where `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct DistinctEntries {
    pub request_classes: Option<usize>,
    pub tenants: Option<usize>,
}

/// One request that is to be sent at its time, whatever became of those before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Since the beginning of the play.
    pub at: Duration,
    pub request_class: usize,
    pub tenant: usize,
}

/// Arrivals of a Poisson stream of `rate` requests a second for so long; request classes and tenants evenly drawn. The
/// times follow from the seed and the rate alone, whatever the size.
///
/// # Errors
/// A rate or length from which no play follows, or one of more than `MAX_ARRIVALS`.
pub fn arrivals(
    size: TableSize,
    distinct: DistinctEntries,
    rate: f64,
    length: Duration,
    seed: u64,
) -> Result<Vec<Arrival>, ArrivalsError> {
    let expected_count = rate * length.secs();
    if !(rate > 0.0 && expected_count <= MAX_ARRIVALS as f64 * 0.9) {
        return Err(ArrivalsError { rate_per_s: rate, length_s: length.secs() });
    }
    let mut rng = Pcg::new(seed);
    let pick = |table_len: usize, distinct: Option<usize>, fraction: f64| {
        let distinct = distinct.unwrap_or(table_len).clamp(1, table_len);
        // The last of the met ones is the last of the table.
        let index = ((fraction * distinct as f64) as usize).min(distinct - 1);
        if distinct == 1 { table_len - 1 } else { index * (table_len - 1) / (distinct - 1) }
    };
    let (mut at, mut arrivals) = (0.0, Vec::new());
    loop {
        at -= (1.0 - rng.draw_fraction()).ln() / rate;
        if at >= length.secs() || arrivals.len() >= MAX_ARRIVALS {
            return Ok(arrivals);
        }
        arrivals.push(Arrival {
            at: Duration::from_secs(at),
            request_class: pick(size.request_classes, distinct.request_classes, rng.draw_fraction()),
            tenant: pick(size.tenants, distinct.tenants, rng.draw_fraction()),
        });
    }
}

/// How many different request classes and tenants these meet.
pub fn count_distinct(arrivals: &[Arrival]) -> (usize, usize) {
    let request_classes: BTreeSet<_> = arrivals.iter().map(|a| a.request_class).collect();
    let tenants: BTreeSet<_> = arrivals.iter().map(|a| a.tenant).collect();
    (request_classes.len(), tenants.len())
}
