//! The platform's configuration: one JSON file, read at the start and again on SIGHUP.
//!
//! All reading, checks and defaults are here; every error names the key at fault. The output is a
//! `ServerConfig` and the settings: a `Catalog` at the start, a `Change` of the catalog on a reload.

use crate::config::error::ConfigError;
use crate::upstream::endpoints::EndpointAddresses;
use hazelspur::config::difference::Difference;
use hazelspur::config::entries::{EntryVisitor, GatheredEntries};
use hazelspur::{Catalog, Change, ControllerSettings, Duration, FlatSettings};
use hazelspur_parsers::{Json, settings};
use std::io::Read;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

/// The longest configuration that is read, in bytes. 8,700 request classes and 42,000 tenants take 4 MB.
const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;
/// Bytes in the unit of `limits.memory_mb`.
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1e3;
/// The seed's number base.
const SEED_RADIX: u32 = 16;

/// A key with a number as its value, its default and its bounds.
struct NumberKey {
    key: &'static str,
    default: f64,
    range: RangeInclusive<f64>,
}

/// Time from the shutdown notice to the end of the process, in milliseconds.
const STOP_MS: NumberKey = NumberKey { key: "stop_ms", default: 3000.0, range: 1.0..=600_000.0 };
/// Cores of the machine. The value is checked but not used.
const CORES: NumberKey = NumberKey { key: "limits.cores", default: 1.0, range: 0.01..=1e4 };
/// Memory that the process may use, in MiB.
const MEMORY_MB: NumberKey = NumberKey { key: "limits.memory_mb", default: 192.0, range: 1.0..=1e7 };
/// Sockets that the process may use.
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

/// The configuration of this server, apart from the settings.
#[derive(Debug)]
pub struct ServerConfig {
    /// The server's name.
    pub name: String,
    /// The address to listen on for gateways.
    pub listen: SocketAddr,
    /// The addresses of the upstream endpoints; a reload may change them.
    pub addresses: EndpointAddresses,
    /// The seed of random numbers.
    pub seed: u64,
    /// Time from the shutdown notice to the end of the process.
    pub shutdown_timeout: Duration,
    /// The most sockets that the process may use.
    pub max_sockets: usize,
    /// The most memory that the process may use, in bytes.
    pub max_memory_bytes: usize,
    /// The names of the worker's gauges, in the order in which it sends their values.
    pub gauge_names: Vec<String>,
    /// Time after the shutdown notice within which a new request may still run.
    pub grace_period: Duration,
    /// Longest age of a read's result that may be shared with other reads.
    pub read_freshness: Duration,
}

impl ServerConfig {
    /// Returns the keys that differ in `new` and take effect at the next start only.
    pub fn changed_restart_keys(&self, new: &Self) -> Vec<&'static str> {
        differing_keys([
            KeyComparison { key: "seed", differs: self.seed != new.seed },
            KeyComparison { key: "stop_ms", differs: self.shutdown_timeout != new.shutdown_timeout },
            KeyComparison { key: "limits.sockets", differs: self.max_sockets != new.max_sockets },
            KeyComparison { key: "limits.memory_mb", differs: self.max_memory_bytes != new.max_memory_bytes },
        ])
    }

    /// Returns the keys that identify a server and differ in `new`: if there are any, the file is another
    /// server's.
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

/// The complete configuration at the start.
#[derive(Debug)]
pub struct LoadedConfig {
    /// The configuration of this server.
    pub config: ServerConfig,
    /// The settings.
    pub catalog: Catalog,
}

/// Reads the file that the variable `ROUTER_CONFIG` names. `ROUTER_NAME` and `ROUTER_LISTEN` replace the keys
/// `name` and `listen` where they are absent.
///
/// # Errors
/// Returns a `ConfigError` if the file can't be read or is invalid, or if it has no request class.
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

/// A configuration that was read again, not yet compared with the settings in force; it may pass between
/// threads.
pub struct ReloadedConfig {
    config: ServerConfig,
    entries: GatheredEntries,
    flat: FlatSettings,
}

/// A configuration that was read again, as a change of the settings in force.
pub struct ReloadedChanges {
    /// The new configuration of this server.
    pub config: ServerConfig,
    /// The change of the settings in force.
    pub change: Change,
}

/// Reads the file again, like `load`, without comparing it with the settings in force.
///
/// # Errors
/// Returns a `ConfigError` if the file can't be read or is invalid.
pub fn reload(variable: impl Fn(&str) -> Option<String>) -> Result<ReloadedConfig, ConfigError> {
    let text = read_file(&variable)?;
    let mut entries = GatheredEntries::default();
    let ParsedConfig { config, flat } = parse(&text, variable, &mut entries)?;
    Ok(ReloadedConfig { config, entries, flat })
}

impl ReloadedConfig {
    /// Compares the settings with those in force.
    ///
    /// # Errors
    /// Returns a `ConfigError` if the settings cannot replace those in force.
    pub fn compare(self, in_force: &Catalog) -> Result<ReloadedChanges, ConfigError> {
        let change =
            Difference::compare_gathered(in_force, self.entries, &self.flat).map_err(ConfigError::setting)?;
        Ok(ReloadedChanges { config: self.config, change })
    }
}

/// Reads the whole file; one that is longer than `MAX_FILE_BYTES` is refused.
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

/// The file's content without its request classes and tenants.
struct ParsedConfig {
    config: ServerConfig,
    flat: FlatSettings,
}

/// Parses the file's text and passes its request classes and tenants to `entries`.
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

    /// Returns an address, or `None` if the key is absent or null.
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
        // Degraded values need a run that continues without its dependency call, for which the protocol has
        // no command.
        flat.remove_degraded_values();
        Ok(flat)
    }
}
