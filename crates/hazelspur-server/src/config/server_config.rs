//! The platform's configuration: one JSON file, read at the start and again on SIGHUP.
//!
//! This is the one place where it is read, checked and given defaults; every error names the key at fault.

use crate::config::error::ConfigError;
use crate::upstream::endpoints::EndpointAddresses;
use hazelspur::config::difference::Difference;
use hazelspur::config::entries::{EntryVisitor, GatheredEntries};
use hazelspur::{Catalog, Change, ControllerSettings, Duration, FlatSettings};
use hazelspur_parsers::{Json, settings};
use std::io::Read;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The longest configuration that is read, in bytes: 8,700 request classes and 42,000 tenants take 4 MB.
const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;
/// Bytes in the unit of `limits.memory_mb`.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1e3;
/// The base of the seed's digits.
const SEED_RADIX: u32 = 16;

/// A number of the configuration.
struct NumberKey {
    key: &'static str,
    default: f64,
    range: RangeInclusive<f64>,
}

/// Time from the shutdown notice to the end of the process, in milliseconds.
const STOP_MS: NumberKey = NumberKey { key: "stop_ms", default: 3000.0, range: 1.0..=600_000.0 };
/// Cores of the machine; checked and otherwise unused.
const CORES: NumberKey = NumberKey { key: "limits.cores", default: 1.0, range: 0.01..=1e4 };
/// Memory of the process.
const MEMORY_MB: NumberKey = NumberKey { key: "limits.memory_mb", default: 192.0, range: 1.0..=1e7 };
/// Sockets of the process.
const SOCKETS: NumberKey = NumberKey { key: "limits.sockets", default: 1024.0, range: 32.0..=1e7 };

impl NumberKey {
    fn read(&self, value: Option<Json>) -> Result<f64, ConfigError> {
        let Some(value) = value else { return Ok(self.default) };
        let number = value.number().filter(|number| self.range.contains(number));
        number.ok_or(ConfigError::OutOfRange {
            key: self.key,
            min: *self.range.start(),
            max: *self.range.end(),
        })
    }
}

/// What the configuration states about this server, besides its settings.
#[derive(Debug)]
pub struct ServerConfig {
    /// The server's name.
    pub name: String,
    /// Where it listens for gateways.
    pub listen: SocketAddr,
    /// The upstream endpoints; a reload may change them.
    pub addresses: EndpointAddresses,
    /// Seeds whatever is drawn at random.
    pub seed: u64,
    /// Time from the shutdown notice to the end of the process.
    pub shutdown_timeout: Duration,
    /// How many sockets the process may use.
    pub max_sockets: usize,
    /// How much memory the process may use, in bytes.
    pub max_memory_bytes: usize,
    /// The worker's gauges, in the order in which it sends them.
    pub gauge_names: Vec<String>,
    /// How long after the shutdown notice a new request may still run.
    pub grace_period: Duration,
    /// How long the result of a read may be shared.
    pub read_freshness: Duration,
}

impl ServerConfig {
    /// The keys of `new` that differ and take effect at the next start only.
    pub fn changed_restart_keys(&self, new: &Self) -> Vec<&'static str> {
        differing_keys([
            KeyComparison { key: "seed", differs: self.seed != new.seed },
            KeyComparison { key: "stop_ms", differs: self.shutdown_timeout != new.shutdown_timeout },
            KeyComparison { key: "limits.sockets", differs: self.max_sockets != new.max_sockets },
            KeyComparison { key: "limits.memory_mb", differs: self.max_memory_bytes != new.max_memory_bytes },
        ])
    }

    /// The keys of `new` that differ because the file belongs to another server.
    pub fn changed_identity_keys(&self, new: &Self) -> Vec<&'static str> {
        differing_keys([
            KeyComparison { key: "name", differs: self.name != new.name },
            KeyComparison { key: "listen", differs: self.listen != new.listen },
        ])
    }
}

struct KeyComparison {
    key: &'static str,
    differs: bool,
}

fn differing_keys(comparisons: impl IntoIterator<Item = KeyComparison>) -> Vec<&'static str> {
    comparisons.into_iter().filter(|comparison| comparison.differs).map(|comparison| comparison.key).collect()
}

/// The configuration at the start.
#[derive(Debug)]
pub struct LoadedConfig {
    /// What it states about this server.
    pub config: ServerConfig,
    /// Its settings.
    pub catalog: Catalog,
}

/// Reads the file that `ROUTER_CONFIG` names; `ROUTER_NAME` and `ROUTER_LISTEN` stand in for absent keys.
pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<LoadedConfig, ConfigError> {
    let text = read_file(&variable)?;
    let mut catalog = Catalog::default();
    let ParsedConfig { config, flat } = parse(&text, variable, &mut catalog)?;
    let request_classes = catalog.request_class_count();
    if request_classes == 0 {
        return Err(ConfigError::NoRequestClasses);
    }
    let catalog = catalog.complete(flat).map_err(ConfigError::setting)?;
    Ok(LoadedConfig { config, catalog })
}

/// A configuration that was read again, possibly on another thread.
pub struct ReloadedConfig {
    config: ServerConfig,
    entries: GatheredEntries,
    flat: FlatSettings,
}

/// What a configuration that was read again changes.
pub struct ReloadedChanges {
    /// What it states about this server.
    pub config: ServerConfig,
    /// What it changes of the settings in force.
    pub change: Change,
}

/// Reads the file again, without comparing it with what is in force.
pub fn reload(variable: impl Fn(&str) -> Option<String>) -> Result<ReloadedConfig, ConfigError> {
    let text = read_file(&variable)?;
    let mut entries = GatheredEntries::default();
    let ParsedConfig { config, flat } = parse(&text, variable, &mut entries)?;
    Ok(ReloadedConfig { config, entries, flat })
}

impl ReloadedConfig {
    /// Compares the settings with those in force.
    pub fn compare(self, in_force: &Catalog) -> Result<ReloadedChanges, ConfigError> {
        let change =
            Difference::compare_gathered(in_force, self.entries, &self.flat).map_err(ConfigError::setting)?;
        Ok(ReloadedChanges { config: self.config, change })
    }
}

/// Reads the whole file, or nothing of one that is too long.
fn read_file(variable: impl Fn(&str) -> Option<String>) -> Result<Vec<u8>, ConfigError> {
    let path = variable("ROUTER_CONFIG").ok_or(ConfigError::VariableNotSet)?;
    let unreadable = |source| ConfigError::Unreadable { path: path.clone(), source };
    let file = std::fs::File::open(&path).map_err(unreadable)?;
    let length = file.metadata().map_err(unreadable)?.len();
    let mut text = Vec::with_capacity(length.min(MAX_FILE_BYTES) as usize + 1);
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut text).map_err(unreadable)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        let length = length.max(text.len() as u64);
        return Err(ConfigError::TooLong { path, length, max: MAX_FILE_BYTES });
    }
    Ok(text)
}

/// The file's content, but for the entries of its tables.
struct ParsedConfig {
    config: ServerConfig,
    flat: FlatSettings,
}

/// Parses the file; request classes and tenants go to `entries`.
fn parse(
    text: &[u8],
    variable: impl Fn(&str) -> Option<String>,
    entries: &mut impl EntryVisitor,
) -> Result<ParsedConfig, ConfigError> {
    let object = Json::parse(text).filter(|all| all.is_object()).ok_or(ConfigError::NotAnObject)?;
    let file = ConfigFile { object };
    CORES.read(file.limit("cores"))?;
    let memory_mb = MEMORY_MB.read(file.limit("memory_mb"))?;
    let flat = file.settings(entries)?;
    let settings = ControllerSettings::from_flat(&flat);
    let seed = file.seed()?;
    let config = ServerConfig {
        name: file.string("name", variable("ROUTER_NAME"))?,
        listen: file.address("listen", variable("ROUTER_LISTEN"))?,
        addresses: file.addresses()?,
        seed,
        shutdown_timeout: Duration::from_secs(STOP_MS.read(object.get("stop_ms"))? / MS_PER_SECOND),
        max_sockets: SOCKETS.read(file.limit("sockets"))? as usize,
        max_memory_bytes: (memory_mb * BYTES_PER_MB) as usize,
        gauge_names: settings.gauge_names,
        grace_period: settings.drain_grace_period,
        read_freshness: settings.read_sharing_window,
    };
    Ok(ParsedConfig { config, flat })
}

/// The file's JSON object.
#[derive(Clone, Copy)]
struct ConfigFile<'a> {
    object: Json<'a>,
}

impl<'a> ConfigFile<'a> {
    fn string(&self, key: &'static str, default: Option<String>) -> Result<String, ConfigError> {
        match self.object.get(key) {
            Some(value) => value.text().map(|text| text.into_owned()).ok_or(ConfigError::NotAString { key }),
            None => default.ok_or(ConfigError::Missing { key }),
        }
    }

    fn address(&self, key: &'static str, default: Option<String>) -> Result<SocketAddr, ConfigError> {
        let text = self.string(key, default)?;
        text.parse().map_err(|_| ConfigError::NotAnAddress { key, text })
    }

    /// An address that may be absent or null.
    fn optional_address(&self, key: &'static str) -> Result<Option<SocketAddr>, ConfigError> {
        match self.object.get(key) {
            Some(value) if !value.is_null() => self.address(key, None).map(Some),
            _ => Ok(None),
        }
    }

    fn addresses(&self) -> Result<EndpointAddresses, ConfigError> {
        Ok(EndpointAddresses {
            worker: self.address("runtime", None)?,
            dependency: self.optional_address("ledger")?,
            registry: self.optional_address("control")?,
        })
    }

    fn limit(&self, name: &str) -> Option<Json<'a>> {
        self.object.get("limits").and_then(|limits| limits.get(name))
    }

    fn seed(&self) -> Result<u64, ConfigError> {
        let Some(seed) = self.object.get("seed") else { return Ok(0) };
        let digits = seed.text().ok_or(ConfigError::InvalidSeed)?;
        u64::from_str_radix(&digits, SEED_RADIX).map_err(|_| ConfigError::InvalidSeed)
    }

    fn settings(&self, entries: &mut impl EntryVisitor) -> Result<FlatSettings, ConfigError> {
        let object =
            self.object.get("settings").filter(|value| value.is_object()).ok_or(ConfigError::NoSettings)?;
        let mut flat = settings::read(object, entries).map_err(ConfigError::setting)?;
        // The protocol has no command that lets a run go on without its call.
        flat.remove_degraded_values();
        Ok(flat)
    }
}
