//! Limits and intervals that the code sets, from which rows are computed without a measurement. Constants
//! that are private to other packages are repeated here with an excerpt of their source; `tests/capacity.rs`
//! fails if a source file no longer contains its excerpt.

/// Value of a constant in another source file.
#[derive(Clone, Copy, Debug)]
pub struct Constant {
    /// Path from the root of the repository.
    pub file: &'static str,
    /// Name of the constant or key there.
    pub name: &'static str,
    /// Text of the file that sets the value, word for word.
    pub excerpt: &'static str,
    /// Value, in the unit that the comment of the constant gives; a plain count without one.
    pub value: f64,
}

const fn constant(file: &'static str, name: &'static str, excerpt: &'static str, value: f64) -> Constant {
    Constant { file, name, excerpt, value }
}

/// Source file of the kinds of configuration entries.
const ENTRY_KIND_FILE: &str = "src/config/entry_kind.rs";
/// Source file of the registry connection.
const REGISTRY_FILE: &str = "crates/hazelspur-server/src/upstream/registry.rs";
/// Source file of the file descriptor budget.
const DESCRIPTORS_FILE: &str = "crates/hazelspur-server/src/process/descriptors.rs";
/// Source file of the circuit breaker.
const CIRCUIT_BREAKER_FILE: &str = "crates/hazelspur-fleet/src/circuit_breaker.rs";
/// Source file of the fleet settings.
const FLEET_KEYS_FILE: &str = "crates/hazelspur-server/src/config/fleet_keys.rs";

/// Mean interval between a server's reports to the registry, in seconds: the middle of `REPORT_INTERVAL`.
pub const REPORT_INTERVAL: Constant = constant(
    REGISTRY_FILE,
    "REPORT_INTERVAL",
    "const REPORT_INTERVAL: RandomInterval =\n    RandomInterval { min: Duration::from_ms(640), max: Duration::from_ms(960) };",
    0.8,
);
/// Mean interval after a failed report, in seconds: the middle of `RETRY_INTERVAL`.
pub const REPORT_RETRY_INTERVAL: Constant = constant(
    REGISTRY_FILE,
    "RETRY_INTERVAL",
    "const RETRY_INTERVAL: RandomInterval =\n    RandomInterval { min: Duration::from_ms(125), max: Duration::from_ms(375) };",
    0.25,
);
/// File descriptors that the process reserves for its own use.
pub const RESERVED_DESCRIPTORS: Constant =
    constant(DESCRIPTORS_FILE, "RESERVED", "const RESERVED: usize = 16;", 16.0);
/// Greatest number of a server's connections to the dependency, in use or idle.
pub const MAX_DEPENDENCY_CALLS: Constant =
    constant(DESCRIPTORS_FILE, "MAX_CALLS", "const MAX_CALLS: usize = 64;", 64.0);
/// Greatest number of gateway connections that are being closed.
pub const MAX_CLOSING_CONNECTIONS: Constant =
    constant(DESCRIPTORS_FILE, "MAX_CLOSING", "const MAX_CLOSING: usize = 64;", 64.0);
/// Default of `limits.sockets`, used where the platform gives no limit.
pub const DEFAULT_SOCKET_LIMIT: Constant = constant(
    "crates/hazelspur-server/src/config/server_config.rs",
    "limits.sockets",
    "NumberKey { key: \"limits.sockets\", default: 1024.0,",
    1024.0,
);
/// Greatest number of idle connections to the dependency that a server keeps.
pub const MAX_IDLE_DEPENDENCY_CONNECTIONS: Constant = constant(
    "crates/hazelspur-server/src/upstream/dependency.rs",
    "MAX_IDLE_CONNECTIONS",
    "const MAX_IDLE_CONNECTIONS: usize = 16;",
    16.0,
);
/// Greatest number of clients, and likewise of sessions, that the decision module remembers.
pub const LAST_SEEN_CAPACITY: Constant =
    constant("src/last_seen.rs", "LAST_SEEN_CAPACITY", "const LAST_SEEN_CAPACITY: usize = 4096;", 4096.0);
/// Greatest number of request classes in a configuration.
pub const MAX_REQUEST_CLASSES: Constant = constant(
    ENTRY_KIND_FILE,
    "MAX_REQUEST_CLASSES",
    "pub const MAX_REQUEST_CLASSES: usize = 17_400;",
    17_400.0,
);
/// Greatest number of tenants in a configuration.
pub const MAX_TENANTS: Constant =
    constant(ENTRY_KIND_FILE, "MAX_TENANTS", "pub const MAX_TENANTS: usize = 84_000;", 84_000.0);
/// Greatest number of tenants, and likewise of request classes, whose learned samples are kept.
pub const RECENTLY_SEEN_CAPACITY: Constant = constant(
    "src/recently_seen.rs",
    "RECENTLY_SEEN_CAPACITY",
    "pub const RECENTLY_SEEN_CAPACITY: usize = 4096;",
    4096.0,
);
/// Greatest length of a configuration file, in bytes.
pub const MAX_CONFIG_FILE_BYTES: Constant = constant(
    "crates/hazelspur-server/src/config/server_config.rs",
    "MAX_FILE_BYTES",
    "const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;",
    8_388_608.0,
);
/// Greatest value allowed for the key `most`, the largest fleet size, in the operator's file.
pub const MAX_FLEET_SIZE: Constant = constant(
    FLEET_KEYS_FILE,
    "Fleet.most",
    "#[garde(range(min = 1, max = 4096))]\n    pub most: usize,",
    4096.0,
);
/// Default fraction of a shared limit that is always divided evenly by `most`, without the allocator.
pub const GUARANTEED_FRACTION: Constant = constant(
    FLEET_KEYS_FILE,
    "DEFAULT_GUARANTEED_FRACTION",
    "const DEFAULT_GUARANTEED_FRACTION: f64 = 0.2;",
    0.2,
);
/// Default of the time for which a vote is valid, in seconds.
pub const VOTE_DURATION: Constant =
    constant(FLEET_KEYS_FILE, "DEFAULT_VOTE_SECS", "const DEFAULT_VOTE_SECS: f64 = 4.0;", 4.0);
/// Default interval at which a server probes one other member, in seconds.
pub const PROBE_PERIOD: Constant =
    constant(FLEET_KEYS_FILE, "DEFAULT_PERIOD_SECS", "const DEFAULT_PERIOD_SECS: f64 = 1.0;", 1.0);
/// Fraction of the vote duration after which a lessee renews its leases.
pub const LEASE_RENEWAL_FRACTION: Constant = constant(
    "crates/hazelspur-fleet/src/quota/config.rs",
    "RENEWAL_FRACTION",
    "const RENEWAL_FRACTION: f64 = 0.25;",
    0.25,
);
/// Mean interval at which a designated server probes an unavailable dependency, in seconds.
pub const DESIGNATED_PROBE_INTERVAL: Constant = constant(
    CIRCUIT_BREAKER_FILE,
    "DESIGNATED_PROBE_INTERVAL",
    "const DESIGNATED_PROBE_INTERVAL: Duration = Duration::from_ms(250);",
    0.25,
);
/// Mean interval at which each other server probes an unavailable dependency, in seconds.
pub const OTHER_PROBE_INTERVAL: Constant = constant(
    CIRCUIT_BREAKER_FILE,
    "OTHER_PROBE_INTERVAL",
    "const OTHER_PROBE_INTERVAL: Duration = Duration::from_ms(4000);",
    4.0,
);
/// Greatest number of requests for pages of the member list that a server answers in a probe period.
pub const LIST_PAGES_PER_PERIOD: Constant = constant(
    "crates/hazelspur-fleet/src/membership/state.rs",
    "LIST_PAGES_PER_PERIOD",
    "const LIST_PAGES_PER_PERIOD: usize = 64;",
    64.0,
);
/// Ratio of the transmissions of an update to the decimal logarithm, rounded up, of the fleet's size.
pub const TRANSMISSIONS_PER_LOG_SIZE: Constant = constant(
    "crates/hazelspur-fleet/src/membership/gossip_queue.rs",
    "TRANSMISSIONS_PER_LOG_SIZE",
    "const TRANSMISSIONS_PER_LOG_SIZE: u32 = 4;",
    4.0,
);

/// All constants of this module; a constant that is not listed is not checked.
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
    /// Returns file and name, as the tables print them.
    pub fn origin(&self) -> String {
        format!("{} {}", self.file, self.name)
    }
}
