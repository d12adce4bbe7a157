//! What the program is told at its start, and again on SIGHUP: the one place where configuration is read,
//! checked and given defaults. Every message names the key at fault.

use crate::ingress::requests::{LONG_PAST, TIMEOUT_SLACK};
use crate::request::deduplication::Deduplication;
use crate::upstream::peers::Addresses;
use hazelspur::config::difference::Difference;
use hazelspur::config::entries::{EntryVisitor, GatheredEntries};
use hazelspur::{Catalog, Change, ConfigError, ControllerSettings, Duration, FlatSettings};
use hazelspur_parsers::{Json, settings};
use std::io::Read;
use std::net::SocketAddr;

const LONGEST_STOP: f64 = 600_000.0;
/// The longest configuration that is read, in bytes: 8,700 request classes and 42,000 tenants take 4 MB.
pub const LONGEST_FILE: u64 = 8 * 1024 * 1024;
/// One part in so many of the program's memory may hold results for repeats.
const RESULTS_PART: usize = 8;

pub struct Startup {
    pub name: String,
    pub listen: SocketAddr,
    /// What may change while the program runs.
    pub addresses: Addresses,
    pub seed: u64,
    /// From the leave notice to the end of the process.
    pub stop: Duration,
    pub sockets: usize,
    /// What the program may take of memory, in bytes.
    pub memory: usize,
    pub gauges: Vec<String>,
    /// What arrives later than this after the leave notice does not run.
    pub grace: Duration,
    /// How long the result of a read may serve others.
    pub coalesce_for: Duration,
}

impl Startup {
    /// A part of the memory for results; what is read later than any caller waits repeats nothing.
    pub fn deduplication(&self, catalog: &Catalog) -> Deduplication {
        let read_late = catalog.max_request_timeout().scaled(TIMEOUT_SLACK) + LONG_PAST;
        Deduplication::new(self.coalesce_for, read_late, self.memory / RESULTS_PART)
    }

    /// The keys that say something new and hold for the life of the process.
    pub fn fixed_keys_that_differ(&self, new: &Self) -> Vec<&'static str> {
        let fixed = [
            ("seed", self.seed != new.seed),
            ("stop_ms", self.stop != new.stop),
            ("limits.sockets", self.sockets != new.sockets),
            ("limits.memory_mb", self.memory != new.memory),
        ];
        fixed.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }

    /// The keys that differ where the file is for another server.
    pub fn others_keys(&self, new: &Self) -> Vec<&'static str> {
        let own = [("name", self.name != new.name), ("listen", self.listen != new.listen)];
        own.into_iter().filter(|(_, differs)| *differs).map(|(key, _)| key).collect()
    }
}

/// Reads the file that `ROUTER_CONFIG` names; `ROUTER_NAME` and `ROUTER_LISTEN` stand in for absent keys.
pub fn read(variable: impl Fn(&str) -> Option<String>) -> Result<(Startup, Catalog), String> {
    let text = text(&variable)?;
    let mut catalog = Catalog::default();
    let (startup, flat) = check(&text, variable, &mut catalog)?;
    if catalog.request_class_count() == 0 {
        return Err("settings.lanes: missing or empty".into());
    }
    Ok((startup, catalog.complete(flat).map_err(settings_at)?))
}

/// A file that was read again, on whatever thread.
pub struct Reread {
    startup: Startup,
    entries: GatheredEntries,
    flat: FlatSettings,
}

pub fn reread(variable: impl Fn(&str) -> Option<String>) -> Result<Reread, String> {
    let text = text(&variable)?;
    let mut entries = GatheredEntries::default();
    let (startup, flat) = check(&text, variable, &mut entries)?;
    Ok(Reread { startup, entries, flat })
}

impl Reread {
    /// What it says of this server, and what its settings change of those in force.
    pub fn against(self, in_force: &Catalog) -> Result<(Startup, Change), String> {
        let change = Difference::of_gathered(in_force, self.entries, &self.flat).map_err(settings_at)?;
        Ok((self.startup, change))
    }
}

/// The whole file, or none of it.
fn text(variable: impl Fn(&str) -> Option<String>) -> Result<Vec<u8>, String> {
    let path = variable("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let told = |e: std::io::Error| format!("ROUTER_CONFIG: {path}: {e}");
    let file = std::fs::File::open(&path).map_err(told)?;
    let length = file.metadata().map_err(told)?.len();
    let mut text = Vec::with_capacity(length.min(LONGEST_FILE) as usize + 1);
    file.take(LONGEST_FILE + 1).read_to_end(&mut text).map_err(told)?;
    if text.len() as u64 > LONGEST_FILE {
        let length = length.max(text.len() as u64);
        return Err(format!("ROUTER_CONFIG: {path}: {length} bytes, {LONGEST_FILE} at most"));
    }
    Ok(text)
}

/// All but the settings' entries, which go to `entries`, and the rest of the settings.
fn check(
    text: &[u8],
    variable: impl Fn(&str) -> Option<String>,
    entries: &mut impl EntryVisitor,
) -> Result<(Startup, FlatSettings), String> {
    let all = Json::parse(text).filter(|all| all.is_object()).ok_or("the configuration is no JSON object")?;
    let word = |key: &str, instead: Option<String>| match all.get(key) {
        Some(value) => value.text().map(|t| t.into_owned()).ok_or(format!("{key}: not a string")),
        None => instead.ok_or(format!("{key}: missing")),
    };
    let address = |key: &str, instead: Option<String>| {
        let text = word(key, instead)?;
        text.parse::<SocketAddr>().map_err(|_| format!("{key}: not an address and port: {text}"))
    };
    let found =
        |key: &str| all.get(key).filter(|value| !value.is_null()).map(|_| address(key, None)).transpose();
    let number = |of: Option<Json>, key: &str, default: f64, range: std::ops::RangeInclusive<f64>| {
        let Some(value) = of else { return Ok(default) };
        let n = value.number().filter(|n| range.contains(n));
        n.ok_or(format!("{key}: not a number from {} to {}", range.start(), range.end()))
    };
    let limit = |key: &str| all.get("limits").and_then(|limits| limits.get(key));
    number(limit("cores"), "limits.cores", 1.0, 0.01..=1e4)?;
    let memory_mb = number(limit("memory_mb"), "limits.memory_mb", 192.0, 1.0..=1e7)?;
    let settings = all.get("settings").filter(|s| s.is_object()).ok_or("settings: missing or no object")?;
    let mut flat = settings::read(settings, entries).map_err(settings_at)?;
    // On sockets no word tells a runtime to go on without its call.
    flat.remove_degraded_values();
    let figures = ControllerSettings::from_flat(&flat);
    let seed = match all.get("seed") {
        None => 0,
        Some(seed) => seed
            .text()
            .and_then(|hex| u64::from_str_radix(&hex, 16).ok())
            .ok_or("seed: not 16 hexadecimal digits")?,
    };
    let startup = Startup {
        name: word("name", variable("ROUTER_NAME"))?,
        listen: address("listen", variable("ROUTER_LISTEN"))?,
        addresses: Addresses {
            runtime: address("runtime", None)?,
            ledger: found("ledger")?,
            control: found("control")?,
        },
        seed,
        stop: Duration::from_secs(number(all.get("stop_ms"), "stop_ms", 3000.0, 1.0..=LONGEST_STOP)? / 1e3),
        sockets: number(limit("sockets"), "limits.sockets", 1024.0, 32.0..=1e7)? as usize,
        memory: (memory_mb * 1024.0 * 1024.0) as usize,
        gauges: figures.gauge_names,
        grace: figures.drain_grace_period,
        coalesce_for: figures.read_sharing_window,
    };
    Ok((startup, flat))
}

fn settings_at(error: ConfigError) -> String {
    let why = error.to_string();
    if why.starts_with("settings") { why } else { format!("settings: {why}") }
}
