//! Figures that the code itself sets, from which rows are computed where nothing needs to be measured. Those
//! that other packages don't show stand here with the line that says so; `tests/capacity.rs` looks it up.

/// A figure of the code.
#[derive(Clone, Copy, Debug)]
pub struct Constant {
    /// From the root of the repository.
    pub file: &'static str,
    pub name: &'static str,
    /// A piece of the file, word for word.
    pub excerpt: &'static str,
    pub value: f64,
}

const fn constant(file: &'static str, name: &'static str, excerpt: &'static str, value: f64) -> Constant {
    Constant { file, name, excerpt, value }
}

/// The source file of the kinds of configuration entries.
const ENTRY_KIND_FILE: &str = "src/config/entry_kind.rs";
/// The source file of the registry connection.
const REGISTRY_FILE: &str = "crates/hazelspur-server/src/upstream/registry.rs";
/// The source file of the file descriptor budget.
const DESCRIPTORS_FILE: &str = "crates/hazelspur-server/src/process/descriptors.rs";
/// The source file of the circuit breaker.
const CIRCUIT_BREAKER_FILE: &str = "crates/hazelspur-fleet/src/circuit_breaker.rs";
/// The source file of the fleet settings.
const FLEET_KEYS_FILE: &str = "crates/hazelspur-server/src/config/fleet_keys.rs";

/// Mean wait between reports to the list, s: the middle of `REPORT_INTERVAL`.
pub const REPORT_INTERVAL: Constant = constant(
    REGISTRY_FILE,
    "REPORT_INTERVAL",
    "const REPORT_INTERVAL: RandomInterval =\n    RandomInterval { min: Duration::from_ms(640), max: Duration::from_ms(960) };",
    0.8,
);
/// The same after a miss, s: the middle of `RETRY_INTERVAL`.
pub const REPORT_RETRY_INTERVAL: Constant = constant(
    REGISTRY_FILE,
    "RETRY_INTERVAL",
    "const RETRY_INTERVAL: RandomInterval =\n    RandomInterval { min: Duration::from_ms(125), max: Duration::from_ms(375) };",
    0.25,
);
/// Descriptors of the program's own.
pub const RESERVED_DESCRIPTORS: Constant =
    constant(DESCRIPTORS_FILE, "RESERVED", "const RESERVED: usize = 16;", 16.0);
/// Connections to the ledger, in use or kept.
pub const MAX_DEPENDENCY_CALLS: Constant =
    constant(DESCRIPTORS_FILE, "MAX_CALLS", "const MAX_CALLS: usize = 64;", 64.0);
/// Gateways' connections on their way out.
pub const MAX_CLOSING_CONNECTIONS: Constant =
    constant(DESCRIPTORS_FILE, "MAX_CLOSING", "const MAX_CLOSING: usize = 64;", 64.0);
/// `limits.sockets` where the platform says nothing.
pub const DEFAULT_SOCKET_LIMIT: Constant = constant(
    "crates/hazelspur-server/src/config/server_config.rs",
    "limits.sockets",
    "NumberKey { key: \"limits.sockets\", default: 1024.0,",
    1024.0,
);
/// Idle connections to the ledger that are kept.
pub const MAX_IDLE_DEPENDENCY_CONNECTIONS: Constant = constant(
    "crates/hazelspur-server/src/upstream/dependency.rs",
    "MAX_IDLE_CONNECTIONS",
    "const MAX_IDLE_CONNECTIONS: usize = 16;",
    16.0,
);
/// Callers and users that the decision module remembers.
pub const LAST_SEEN_CAPACITY: Constant =
    constant("src/last_seen.rs", "LAST_SEEN_CAPACITY", "const LAST_SEEN_CAPACITY: usize = 4096;", 4096.0);
/// Op types that are held.
pub const MAX_REQUEST_CLASSES: Constant = constant(
    ENTRY_KIND_FILE,
    "MAX_REQUEST_CLASSES",
    "pub const MAX_REQUEST_CLASSES: usize = 17_400;",
    17_400.0,
);
/// Tenants that are held.
pub const MAX_TENANTS: Constant =
    constant(ENTRY_KIND_FILE, "MAX_TENANTS", "pub const MAX_TENANTS: usize = 84_000;", 84_000.0);
/// Tenants, and op types, of which something learned is kept.
pub const RECENTLY_SEEN_CAPACITY: Constant = constant(
    "src/recently_seen.rs",
    "RECENTLY_SEEN_CAPACITY",
    "pub const RECENTLY_SEEN_CAPACITY: usize = 4096;",
    4096.0,
);
/// The longest configuration that is read, in bytes.
pub const MAX_CONFIG_FILE_BYTES: Constant = constant(
    "crates/hazelspur-server/src/config/server_config.rs",
    "MAX_FILE_BYTES",
    "const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;",
    8_388_608.0,
);
/// The greatest `most` of the operator's file.
pub const MAX_FLEET_SIZE: Constant = constant(
    FLEET_KEYS_FILE,
    "Fleet.most",
    "#[garde(range(min = 1, max = 4096))]\n    pub most: usize,",
    4096.0,
);
/// The part of a shared limit that is divided by `most` for good.
pub const GUARANTEED_FRACTION: Constant = constant(
    FLEET_KEYS_FILE,
    "DEFAULT_GUARANTEED_FRACTION",
    "const DEFAULT_GUARANTEED_FRACTION: f64 = 0.2;",
    0.2,
);
/// How long a vote holds, s.
pub const VOTE_DURATION: Constant =
    constant(FLEET_KEYS_FILE, "DEFAULT_VOTE_SECS", "const DEFAULT_VOTE_SECS: f64 = 4.0;", 4.0);
/// How often one other is probed, s.
pub const PROBE_PERIOD: Constant =
    constant(FLEET_KEYS_FILE, "DEFAULT_PERIOD_SECS", "const DEFAULT_PERIOD_SECS: f64 = 1.0;", 1.0);
/// The part of a lease after which a holder asks again.
pub const LEASE_RENEWAL_FRACTION: Constant = constant(
    "crates/hazelspur-fleet/src/quota/config.rs",
    "RENEWAL_FRACTION",
    "const RENEWAL_FRACTION: f64 = 0.25;",
    0.25,
);
/// How often a chosen server tries a ledger that is gone, s.
pub const DESIGNATED_PROBE_INTERVAL: Constant = constant(
    CIRCUIT_BREAKER_FILE,
    "DESIGNATED_PROBE_INTERVAL",
    "const DESIGNATED_PROBE_INTERVAL: Duration = Duration::from_ms(250);",
    0.25,
);
/// The same of the others, s.
pub const OTHER_PROBE_INTERVAL: Constant = constant(
    CIRCUIT_BREAKER_FILE,
    "OTHER_PROBE_INTERVAL",
    "const OTHER_PROBE_INTERVAL: Duration = Duration::from_ms(4000);",
    4.0,
);
/// Parts of the list that one server answers in a period.
pub const LIST_PAGES_PER_PERIOD: Constant = constant(
    "crates/hazelspur-fleet/src/membership/state.rs",
    "LIST_PAGES_PER_PERIOD",
    "const LIST_PAGES_PER_PERIOD: usize = 64;",
    64.0,
);
/// How often a piece of news goes out, times the logarithm of the size.
pub const TRANSMISSIONS_PER_LOG_SIZE: Constant = constant(
    "crates/hazelspur-fleet/src/membership/gossip_queue.rs",
    "TRANSMISSIONS_PER_LOG_SIZE",
    "const TRANSMISSIONS_PER_LOG_SIZE: u32 = 4;",
    4.0,
);

/// All of them.
pub const ALL: [Constant; 21] = [
    REPORT_INTERVAL,
    REPORT_RETRY_INTERVAL,
    RESERVED_DESCRIPTORS,
    MAX_DEPENDENCY_CALLS,
    MAX_CLOSING_CONNECTIONS,
    DEFAULT_SOCKET_LIMIT,
    MAX_IDLE_DEPENDENCY_CONNECTIONS,
    LAST_SEEN_CAPACITY,
    MAX_REQUEST_CLASSES,
    MAX_TENANTS,
    RECENTLY_SEEN_CAPACITY,
    MAX_CONFIG_FILE_BYTES,
    MAX_FLEET_SIZE,
    GUARANTEED_FRACTION,
    VOTE_DURATION,
    PROBE_PERIOD,
    LEASE_RENEWAL_FRACTION,
    DESIGNATED_PROBE_INTERVAL,
    OTHER_PROBE_INTERVAL,
    LIST_PAGES_PER_PERIOD,
    TRANSMISSIONS_PER_LOG_SIZE,
];

impl Constant {
    /// As a page names it.
    pub fn origin(&self) -> String {
        format!("{} {}", self.file, self.name)
    }
}
