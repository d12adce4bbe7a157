//! Scripts of timed faults, read from and written as one line of text, as in `2+5 cut east west; 3+10 stop
//! n4; 8+2 kill north`. Each fault has its start and duration in seconds, its kind, and one or two parties. A
//! fault of a link applies to one direction, from the first party to the second, except that `cut` and
//! `reset` apply to both, since they end connections.

use hazelspur::pcg::Pcg;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Highest number of faults in a script.
const MAX_FAULTS: usize = 200;
/// Largest offset of a wall clock in either direction, in milliseconds.
const MAX_CLOCK_OFFSET_MS: i64 = 60_000;
/// Largest start and largest duration of a fault, in seconds.
const MAX_SECONDS: f64 = 3600.0;

/// Reason for which the text of a script is rejected.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ScriptError {
    /// Unknown name of a party.
    #[error(
        "unknown party {0:?}; parties are servers as in n0, gateways as in g0, workers as in r0, east, west, north, servers, gateways, ledger and list"
    )]
    UnknownParty(String),
    /// Unknown name of a fault.
    #[error("unknown fault {0:?}")]
    UnknownFault(String),
    /// Value of a fault that is not a whole number.
    #[error("{0:?}: the value of the fault is not a whole number")]
    NotWholeNumber(String),
    /// Value of a fault that is missing or out of range.
    #[error("{text:?}: the fault needs a whole number from 0 to {max}, as in {word}:5")]
    ValueOutOfRange {
        /// Text of the fault.
        text: String,
        /// Largest allowed value.
        max: u64,
        /// Name of the fault.
        word: String,
    },
    /// Clock offset that is missing or out of range.
    #[error(
        "the fault apart needs a clock offset from -{MAX_CLOCK_OFFSET_MS} to {MAX_CLOCK_OFFSET_MS} ms, as in apart:1500"
    )]
    ClockOffsetOutOfRange,
    /// Value of a fault that takes none.
    #[error("{0:?}: the fault takes no value")]
    UnexpectedValue(String),
    /// Fault with too few words.
    #[error("{0:?}: expected times, fault and parties, as in 2+5 cut east west")]
    Incomplete(String),
    /// Fault with too many words.
    #[error("{0:?}: too many words, expected times, fault and at most two parties")]
    TooManyWords(String),
    /// Start or duration that is not a number of seconds in range.
    #[error("{0:?}: expected a number of seconds from 0 to {MAX_SECONDS}")]
    InvalidSeconds(String),
    /// Start and duration that are not joined by a plus sign.
    #[error("{0:?}: expected start and duration in seconds, as in 2+5")]
    InvalidTimes(String),
    /// Fault of a link with one party, or other fault with two.
    #[error("{text:?}: {wanted}")]
    WrongParties {
        /// Text of the fault.
        text: String,
        /// Expected number of parties.
        wanted: &'static str,
    },
    /// Fault that does not apply to its party.
    #[error("{text:?}: the fault does not apply to {party}")]
    UnsuitableParty {
        /// Text of the fault.
        text: String,
        /// Party that the fault names.
        party: Party,
    },
    /// Script with too many faults.
    #[error("script has more than {MAX_FAULTS} faults")]
    TooManyFaults,
}

/// Party of a fault: one process or test double, or a group of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// Server with this number.
    Server(usize),
    /// All servers of the site with this number.
    Site(usize),
    /// All servers.
    Servers,
    /// Gateway with this number.
    Gateway(usize),
    /// All gateways.
    Gateways,
    /// Worker of the server with this number.
    Worker(usize),
    /// Shared dependency.
    Dependency,
    /// Registry of the servers.
    Registry,
}

/// Names of the sites, indexed by number.
pub const SITES: [&str; 3] = ["east", "west", "north"];

/// Returns the number of the site that a server belongs to.
pub fn site(server: usize) -> usize {
    server % SITES.len()
}

impl Party {
    /// Returns whether the other party is this one or belongs to this group.
    pub fn covers(self, other: Self) -> bool {
        match (self, other) {
            (Self::Servers, Self::Server(_)) | (Self::Gateways, Self::Gateway(_)) => true,
            (Self::Site(number), Self::Server(server)) => site(server) == number,
            _ => self == other,
        }
    }
}

impl fmt::Display for Party {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Server(number) => write!(f, "n{number}"),
            Self::Site(number) => f.write_str(SITES[*number]),
            Self::Servers => f.write_str("servers"),
            Self::Gateway(number) => write!(f, "g{number}"),
            Self::Gateways => f.write_str("gateways"),
            Self::Worker(number) => write!(f, "r{number}"),
            Self::Dependency => f.write_str("ledger"),
            Self::Registry => f.write_str("list"),
        }
    }
}

impl FromStr for Party {
    type Err = ScriptError;

    fn from_str(text: &str) -> Result<Self, ScriptError> {
        let number = |rest: &str| rest.parse::<usize>().ok().filter(|n| *n < 1000);
        if let Some(site) = SITES.iter().position(|name| *name == text) {
            return Ok(Self::Site(site));
        }
        let numbered = [
            text.strip_prefix('n').and_then(number).map(Self::Server),
            text.strip_prefix('g').and_then(number).map(Self::Gateway),
            text.strip_prefix('r').and_then(number).map(Self::Worker),
        ];
        match text {
            "servers" => Ok(Self::Servers),
            "gateways" => Ok(Self::Gateways),
            "ledger" => Ok(Self::Dependency),
            "list" => Ok(Self::Registry),
            _ => numbered.into_iter().flatten().next().ok_or_else(|| ScriptError::UnknownParty(text.into())),
        }
    }
}

/// Kind of a fault, with its value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    // Faults of links.
    /// Connections are closed without a reset, new ones are closed at once, and datagrams are dropped.
    Cut,
    /// Connections are reset, new ones are reset at once, and datagrams are dropped.
    Reset,
    /// Nothing is delivered, although connections stay open and new ones are accepted.
    Mute,
    /// Connections are accepted and not read, so that the sender meets a full buffer; datagrams are dropped.
    Swallow,
    /// Bytes and datagrams are delayed by this many milliseconds.
    Delay(u64),
    /// Connections carry one byte per millisecond.
    Slow,
    /// This share of datagrams, in percent, is dropped.
    Loss(u64),
    /// This share of datagrams, in percent, is sent twice.
    Duplicate(u64),
    /// Datagrams are delayed by a random time of up to this many milliseconds, which changes their order.
    Reorder(u64),
    // Faults of processes.
    /// Servers are killed with SIGKILL, and started again at the end of the fault.
    Kill,
    /// Servers are suspended with SIGSTOP, and resumed with SIGCONT at the end of the fault.
    Suspend,
    /// Servers are sent SIGTERM, and started again at the end of the fault.
    Terminate,
    /// The wall clock of the servers is off by this many milliseconds for the whole run, whatever the times
    /// of the fault.
    ClockOffset(i64),
    // Faults of the shared dependency.
    /// Calls of the dependency take this many times as long.
    Slowdown(u64),
}

impl FaultKind {
    /// Returns whether it is a fault of processes.
    pub fn targets_process(self) -> bool {
        matches!(self, Self::Kill | Self::Suspend | Self::Terminate | Self::ClockOffset(_))
    }

    /// Returns whether it is a fault of links.
    pub fn targets_link(self) -> bool {
        !self.targets_process() && !matches!(self, Self::Slowdown(_))
    }

    /// Returns the name of the fault in scripts, and its value if it has one.
    fn word_and_value(self) -> (&'static str, Option<i64>) {
        match self {
            Self::Cut => ("cut", None),
            Self::Reset => ("reset", None),
            Self::Mute => ("mute", None),
            Self::Swallow => ("swallow", None),
            Self::Delay(ms) => ("delay", Some(ms as i64)),
            Self::Slow => ("slow", None),
            Self::Loss(percent) => ("lose", Some(percent as i64)),
            Self::Duplicate(percent) => ("double", Some(percent as i64)),
            Self::Reorder(ms) => ("shuffle", Some(ms as i64)),
            Self::Kill => ("kill", None),
            Self::Suspend => ("stop", None),
            Self::Terminate => ("term", None),
            Self::ClockOffset(ms) => ("apart", Some(ms)),
            Self::Slowdown(factor) => ("slower", Some(factor as i64)),
        }
    }

    /// Parses a name with an optional value, as in `delay:200`.
    fn parse(text: &str) -> Result<Self, ScriptError> {
        let (word, value) = match text.split_once(':') {
            None => (text, None),
            Some((word, value)) => {
                let value = value.parse::<i64>().map_err(|_| ScriptError::NotWholeNumber(text.into()))?;
                (word, Some(value))
            }
        };
        let bounded = |max: u64| {
            let n = value.and_then(|n| u64::try_from(n).ok()).filter(|n| *n <= max);
            n.ok_or_else(|| ScriptError::ValueOutOfRange { text: text.into(), max, word: word.into() })
        };
        let clock_offset =
            || value.filter(|ms| ms.abs() <= MAX_CLOCK_OFFSET_MS).ok_or(ScriptError::ClockOffsetOutOfRange);
        let kind = match word {
            "cut" => Self::Cut,
            "reset" => Self::Reset,
            "mute" => Self::Mute,
            "swallow" => Self::Swallow,
            "slow" => Self::Slow,
            "kill" => Self::Kill,
            "stop" => Self::Suspend,
            "term" => Self::Terminate,
            "delay" => Self::Delay(bounded(10_000)?),
            "lose" => Self::Loss(bounded(100)?),
            "double" => Self::Duplicate(bounded(100)?),
            "shuffle" => Self::Reorder(bounded(10_000)?),
            "slower" => Self::Slowdown(bounded(100)?),
            "apart" => Self::ClockOffset(clock_offset()?),
            _ => return Err(ScriptError::UnknownFault(text.into())),
        };
        if kind.word_and_value().1.is_none() && value.is_some() {
            return Err(ScriptError::UnexpectedValue(text.into()));
        }
        Ok(kind)
    }
}

/// One fault of a script.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Start, in milliseconds since the start of the script.
    pub start_ms: u64,
    /// Duration, in milliseconds.
    pub duration_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Affected party; for a fault of a link, the party whose traffic to the peer is affected.
    pub target: Party,
    /// Other end of the link; `None` for faults of processes and of the dependency.
    pub peer: Option<Party>,
}

impl Fault {
    /// Returns the end of the fault, in milliseconds since the start of the script.
    pub fn end_ms(&self) -> u64 {
        self.start_ms + self.duration_ms
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let secs = |ms: u64| ms as f64 / 1000.0;
        write!(f, "{}+{} ", secs(self.start_ms), secs(self.duration_ms))?;
        match self.kind.word_and_value() {
            (word, None) => write!(f, "{word} {}", self.target)?,
            (word, Some(value)) => write!(f, "{word}:{value} {}", self.target)?,
        }
        self.peer.map_or(Ok(()), |peer| write!(f, " {peer}"))
    }
}

impl FromStr for Fault {
    type Err = ScriptError;

    fn from_str(text: &str) -> Result<Self, ScriptError> {
        let words: Vec<&str> = text.split_whitespace().collect();
        let [times, kind, target, peer @ ..] = &words[..] else {
            return Err(ScriptError::Incomplete(text.into()));
        };
        let secs = |text: &str| {
            let secs = text.parse::<f64>().ok().filter(|s| (0.0..=MAX_SECONDS).contains(s));
            secs.map(|s| (s * 1000.0).round() as u64).ok_or_else(|| ScriptError::InvalidSeconds(text.into()))
        };
        let (start, duration) =
            times.split_once('+').ok_or_else(|| ScriptError::InvalidTimes((*times).into()))?;
        let kind = FaultKind::parse(kind)?;
        let peer = match peer {
            [] => None,
            [peer] => Some(peer.parse()?),
            _ => return Err(ScriptError::TooManyWords(text.into())),
        };
        if kind.targets_link() != peer.is_some() {
            let wanted = if kind.targets_link() {
                "a fault of a link needs two parties"
            } else {
                "the fault takes one party"
            };
            return Err(ScriptError::WrongParties { text: text.into(), wanted });
        }
        let target: Party = target.parse()?;
        let targets_servers = matches!(target, Party::Server(_) | Party::Site(_) | Party::Servers);
        if kind.targets_process() && !targets_servers
            || matches!(kind, FaultKind::Slowdown(_)) && target != Party::Dependency
        {
            return Err(ScriptError::UnsuitableParty { text: text.into(), party: target });
        }
        Ok(Self { start_ms: secs(start)?, duration_ms: secs(duration)?, kind, target, peer })
    }
}

/// Timed faults, in any order.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<Fault>);

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let faults: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&faults.join("; "))
    }
}

impl FromStr for Script {
    type Err = ScriptError;

    fn from_str(text: &str) -> Result<Self, ScriptError> {
        let faults = text.split(';').map(str::trim).filter(|fault| !fault.is_empty());
        let faults: Vec<Fault> = faults.map(str::parse).collect::<Result<_, _>>()?;
        if faults.len() > MAX_FAULTS {
            return Err(ScriptError::TooManyFaults);
        }
        Ok(Self(faults))
    }
}

impl Script {
    /// Returns the end of the last fault in milliseconds since the start, leaving out clock offsets; 0 if
    /// there is none.
    pub fn end_ms(&self) -> u64 {
        let lasting = self.0.iter().filter(|fault| !matches!(fault.kind, FaultKind::ClockOffset(_)));
        lasting.map(Fault::end_ms).max().unwrap_or(0)
    }

    /// Returns a script drawn from a seed: one to six faults that end within so many milliseconds, on so many
    /// servers and gateways.
    pub fn random(seed: u64, servers: usize, gateways: usize, within_ms: u64) -> Self {
        let mut generator = Pcg::new(seed);
        let mut pick = |n: usize| generator.draw() as usize % n.max(1);
        let count = 1 + pick(6);
        let faults = (0..count).map(|_| {
            let start_ms = pick((within_ms * 6 / 10) as usize) as u64;
            let duration_ms = (500 + pick(6000) as u64).min(within_ms - start_ms);
            let server = Party::Server(pick(servers));
            let server_or_site = if pick(3) == 0 { Party::Site(pick(SITES.len())) } else { server };
            let peer =
                [Party::Server(pick(servers)), Party::Site(pick(SITES.len())), Party::Servers][pick(3)];
            let endpoints = [
                (server_or_site, peer),
                (peer, server_or_site),
                (server_or_site, Party::Dependency),
                (Party::Dependency, server_or_site),
                (server_or_site, Party::Registry),
                (Party::Gateway(pick(gateways)), server_or_site),
                (server_or_site, Party::Gateway(pick(gateways))),
            ][pick(7)];
            let link_fault = [
                FaultKind::Cut,
                FaultKind::Reset,
                FaultKind::Mute,
                FaultKind::Mute,
                FaultKind::Swallow,
                FaultKind::Delay(50 + pick(800) as u64),
                FaultKind::Slow,
                FaultKind::Loss(10 + pick(60) as u64),
                FaultKind::Duplicate(30),
                FaultKind::Reorder(300),
            ][pick(10)];
            let (kind, target, peer) = match pick(12) {
                0 | 1 => (FaultKind::Kill, server_or_site, None),
                2 | 3 => (FaultKind::Suspend, server_or_site, None),
                4 => (FaultKind::Terminate, server, None),
                5 => (FaultKind::ClockOffset(pick(6000) as i64 - 3000), server, None),
                6 => (FaultKind::Slowdown(2 + pick(6) as u64), Party::Dependency, None),
                _ => (link_fault, endpoints.0, Some(endpoints.1)),
            };
            Fault { start_ms, duration_ms, kind, target, peer }
        });
        Self(faults.collect())
    }

    /// Returns a part of the script for which `fails` still holds, found by leaving out one fault after
    /// another. `fails` held for the whole script.
    pub fn shrunk(&self, mut fails: impl FnMut(&Self) -> bool) -> Self {
        let mut smallest = self.clone();
        let mut index = 0;
        while index < smallest.0.len() {
            let mut candidate = smallest.clone();
            candidate.0.remove(index);
            if fails(&candidate) { smallest = candidate } else { index += 1 }
        }
        smallest
    }
}
