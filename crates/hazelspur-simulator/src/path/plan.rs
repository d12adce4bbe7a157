//! Plans a run: the table sizes of a server's settings, its configuration file, and arrivals fixed by a seed.

use hazelspur::Duration;
use hazelspur::pcg::Pcg;
use serde_json::json;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Greatest number of request classes, and of tenants.
const MAX_ENTRIES: usize = 1_000_000;
/// Greatest number of arrivals in one run.
pub const MAX_ARRIVALS: usize = 1_000_000;
/// Cores of the worker according to the settings. The server admits requests by them; there are enough that
/// it does not reject any here.
const WORKER_CORES: u32 = 16;
/// Latency objective of each request class, in microseconds.
const LATENCY_OBJECTIVE_US: u64 = 1_000_000;
/// Request timeout of each request class, in microseconds.
const REQUEST_TIMEOUT_US: u64 = 3_000_000;
/// Quota of each tenant, in requests a second.
const QUOTA_PER_S: u32 = 10;
/// Time from the shutdown notice until the process ends, in milliseconds.
const STOP_DURATION_MS: u64 = 400;

/// Number of request classes and tenants in a server's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableSize {
    /// Number of request classes.
    pub request_classes: usize,
    /// Number of tenants.
    pub tenants: usize,
}

impl fmt::Display for TableSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x{}", self.request_classes, self.tenants)
    }
}

/// Error of a text that is not a table size.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("table size {0:?} is not REQUEST_CLASSESxTENANTS, such as 87x420, with each from 1 to {MAX_ENTRIES}")]
pub struct TableSizeError(String);

/// Error of a rate and length that give no valid number of arrivals.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error(
    "{rate_per_s} requests a second for {length_s} s: the rate must be over 0 \
     and give at most 90 % of {MAX_ARRIVALS} requests"
)]
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

/// Returns the name of the request class with this index.
pub fn request_class_name(number: usize) -> String {
    format!("route-{number}")
}

/// Returns the name of the tenant with this index.
pub fn tenant_name(number: usize) -> String {
    format!("tenant-{number}")
}

/// Address that a server listens on, and those that it connects to.
#[derive(Clone, Copy, Debug)]
pub struct ServerAddresses {
    /// Address that the server listens on.
    pub listen: SocketAddr,
    /// Address of its worker.
    pub worker: SocketAddr,
    /// Address of its registry.
    pub registry: SocketAddr,
}

/// Returns the configuration of a server with tables of this size, as compact JSON in the form of
/// `examples/config.json`. Requests of all classes are safe to repeat; `servers` is the number of servers in
/// the fleet that share the quotas.
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
                "stop-mode": "drop", "meters": ["core_use", "on_cores", "heap_share", "links"],
                "calls-out": 1000, "calls-over-us": 5_000_000, "passes-deadline": true},
            "lanes": request_classes,
            "orgs": tenants,
            "rules": {"fall-multiple": 8, "cold-share": 0.2, "cold-us": 10_000_000, "drain-grace-us": 100_000},
            "limits": {"retry-after": true, "max-retry-after-us": 1_000_000},
            "servers": servers,
        },
    })
    .to_string()
}

/// Number of distinct request classes and tenants that requests use, spread evenly over the tables; `None`
/// means all.
#[derive(Clone, Copy, Debug, Default)]
pub struct DistinctEntries {
    /// Number of distinct request classes.
    pub request_classes: Option<usize>,
    /// Number of distinct tenants.
    pub tenants: Option<usize>,
}

/// One planned request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time to send it, since the start of the run.
    pub at: Duration,
    /// Index of the request class in its table.
    pub request_class: usize,
    /// Index of the tenant in its table.
    pub tenant: usize,
}

/// Returns the arrivals of a Poisson process of `rate` requests a second over `length`, with request classes
/// and tenants drawn uniformly. The times depend on the seed and the rate alone, not on the table size.
///
/// # Errors
/// Returns an error if the rate is not over 0 or more than 90 % of `MAX_ARRIVALS` requests are expected.
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
        // The last distinct entry is the last of the table.
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

/// Returns the number of distinct request classes and of distinct tenants among the arrivals.
pub fn count_distinct(arrivals: &[Arrival]) -> (usize, usize) {
    let request_classes: BTreeSet<_> = arrivals.iter().map(|a| a.request_class).collect();
    let tenants: BTreeSet<_> = arrivals.iter().map(|a| a.tenant).collect();
    (request_classes.len(), tenants.len())
}
