//! What is played: the size of a server's settings, the file that says them, and arrivals fixed beforehand.

use hazelspur::Span;
use hazelspur::pcg::Pcg;
use serde_json::json;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// More of either is no size of ours.
const MOST_ENTRIES: usize = 1_000_000;
/// Arrivals of one play.
pub const MOST_ARRIVALS: usize = 1_000_000;
/// Cores of the runtime by the settings: the server admits by them, and is not to refuse here.
const CORES: u32 = 16;
const TARGET_US: u64 = 1_000_000;
const OP_TIMEOUT_US: u64 = 3_000_000;
const QUOTA_PER_S: u32 = 10;
/// From the notice to leave until the process ends.
const STOP_MS: u64 = 400;

/// How many op types and tenants a server's settings name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableSize {
    pub op_types: usize,
    pub tenants: usize,
}

impl fmt::Display for TableSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}x{}", self.op_types, self.tenants)
    }
}

impl FromStr for TableSize {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let wrong = || format!("{text}: not op types x tenants, as in 87x420, each 1 to {MOST_ENTRIES}");
        let (op_types, tenants) = text.split_once('x').ok_or_else(wrong)?;
        let number = |text: &str| text.parse().ok().filter(|n| (1..=MOST_ENTRIES).contains(n));
        Ok(Self {
            op_types: number(op_types).ok_or_else(wrong)?,
            tenants: number(tenants).ok_or_else(wrong)?,
        })
    }
}

pub fn op_type_name(number: usize) -> String {
    format!("route-{number}")
}

pub fn tenant_name(number: usize) -> String {
    format!("tenant-{number}")
}

/// Where a server listens and what it connects to.
#[derive(Clone, Copy, Debug)]
pub struct Around {
    pub listen: SocketAddr,
    pub runtime: SocketAddr,
    pub control: SocketAddr,
}

/// The platform's configuration of a server with tables of this size, in the form of `examples/config.json`
/// without white space. All op types may be repeated; `servers` is the size of the fleet that quotas are for.
pub fn configuration(size: TableSize, around: Around, servers: usize, seed: u64) -> String {
    let op_type = |i| {
        json!({"name": op_type_name(i), "aim-us": TARGET_US, "deadline-us": OP_TIMEOUT_US,
            "semantics": "safe", "importance": 1 + i % 5})
    };
    let op_types: Vec<_> = (0..size.op_types).map(op_type).collect();
    let tenant = |i| json!({"name": tenant_name(i), "quota-rps": QUOTA_PER_S});
    let tenants: Vec<_> = (0..size.tenants).map(tenant).collect();
    json!({
        "name": "n1", "listen": around.listen.to_string(), "runtime": around.runtime.to_string(),
        "control": around.control.to_string(), "seed": format!("{seed:016x}"), "stop_ms": STOP_MS,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "family-info": {"n-cores": CORES, "mem-limit-kb": 1_000_000, "run-factor": 8, "stop-mode": "drop",
                "meters": ["core_use", "on_cores", "heap_share", "links"], "calls-out": 1000,
                "calls-over-us": 5_000_000, "passes-deadline": true},
            "lanes": op_types,
            "orgs": tenants,
            "rules": {"fall-multiple": 8, "cold-share": 0.2, "cold-us": 10_000_000, "drain-grace-us": 100_000},
            "limits": {"retry-after": true, "max-retry-after-us": 1_000_000},
            "servers": servers,
        },
    })
    .to_string()
}

/// How many distinct op types and tenants are met, spread evenly over the whole tables; all where `None`.
#[derive(Clone, Copy, Debug, Default)]
pub struct Met {
    pub op_types: Option<usize>,
    pub tenants: Option<usize>,
}

/// One op that is to be sent at its time, whatever became of those before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Since the beginning of the play.
    pub at: Span,
    pub op_type: usize,
    pub tenant: usize,
}

/// Arrivals of a Poisson stream of `rate` ops a second for so long; op types and tenants evenly drawn. The
/// times follow from the seed and the rate alone, whatever the size.
///
/// # Errors
/// A rate or length from which no play follows, or one of more than `MOST_ARRIVALS`.
pub fn arrivals(
    size: TableSize,
    met: Met,
    rate: f64,
    length: Span,
    seed: u64,
) -> Result<Vec<Arrival>, String> {
    let wanted = rate * length.secs();
    if !(rate > 0.0 && wanted <= MOST_ARRIVALS as f64 * 0.9) {
        return Err(format!("{rate} ops a second for {} s: not 0 to {MOST_ARRIVALS} ops", length.secs()));
    }
    let mut chance = Pcg::new(seed);
    let pick = |of: usize, met: Option<usize>, unit: f64| {
        let met = met.unwrap_or(of).clamp(1, of);
        // The last of the met ones is the last of the table.
        let one = ((unit * met as f64) as usize).min(met - 1);
        if met == 1 { of - 1 } else { one * (of - 1) / (met - 1) }
    };
    let (mut at, mut all) = (0.0, Vec::new());
    loop {
        at -= (1.0 - chance.unit()).ln() / rate;
        if at >= length.secs() || all.len() >= MOST_ARRIVALS {
            return Ok(all);
        }
        all.push(Arrival {
            at: Span::from_secs(at),
            op_type: pick(size.op_types, met.op_types, chance.unit()),
            tenant: pick(size.tenants, met.tenants, chance.unit()),
        });
    }
}

/// How many different op types and tenants these meet.
pub fn distinct(arrivals: &[Arrival]) -> (usize, usize) {
    let op_types: BTreeSet<_> = arrivals.iter().map(|a| a.op_type).collect();
    let tenants: BTreeSet<_> = arrivals.iter().map(|a| a.tenant).collect();
    (op_types.len(), tenants.len())
}
