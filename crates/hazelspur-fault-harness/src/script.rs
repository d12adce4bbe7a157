//! Faults over time. A script is a line: `2+5 cut east west; 3+10 stop n4; 8+2 kill site:north`, each with
//! the second of its beginning, how many seconds it lasts, what it is and between whom. A fault between two
//! goes one way, from the first to the second, but for `cut` and `reset`, which end connections.

use hazelspur::pcg::Pcg;
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Faults that a script may have.
const MAX_FAULTS: usize = 200;
/// The furthest that a wall clock may be apart, in milliseconds.
const MAX_CLOCK_OFFSET_MS: i64 = 60_000;
/// The latest second of a script.
const MAX_SECONDS: f64 = 3600.0;

/// Why a script is refused.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ScriptError {
    /// There is no such party.
    #[error("{0}: no such party")]
    UnknownParty(String),
    /// There is no such fault.
    #[error("{0}: no such fault")]
    UnknownFault(String),
    /// A fault's figure is no whole number.
    #[error("{0}: not a whole number")]
    NotWholeNumber(String),
    /// A fault's figure is missing or out of range.
    #[error("{text}: needs a number from 0 to {max}, as in {word}:5")]
    ValueOutOfRange {
        /// The fault as written.
        text: String,
        /// The largest figure.
        max: u64,
        /// The fault's word.
        word: String,
    },
    /// A clock is to be too far apart.
    #[error("apart:MS up to {MAX_CLOCK_OFFSET_MS}")]
    ClockOffsetOutOfRange,
    /// A fault takes no figure.
    #[error("{0}: takes no number")]
    UnexpectedValue(String),
    /// A fault has too few words.
    #[error("{0:?}: as in 2+5 cut east west")]
    Incomplete(String),
    /// A fault has too many words.
    #[error("{0:?}: too many words")]
    TooManyWords(String),
    /// A time is no number of seconds.
    #[error("{0}: not seconds up to {MAX_SECONDS}")]
    InvalidSeconds(String),
    /// A fault's beginning and length are not joined by a plus.
    #[error("{0}: as in 2+5")]
    InvalidTimes(String),
    /// A fault of a link has one end, or another fault two parties.
    #[error("{text:?}: {wanted}")]
    WrongParties {
        /// The fault as written.
        text: String,
        /// What is wanted.
        wanted: &'static str,
    },
    /// The fault does not go with the party.
    #[error("{text:?}: not with {party}")]
    UnsuitableParty {
        /// The fault as written.
        text: String,
        /// The party.
        party: Party,
    },
    /// There are too many faults.
    #[error("more than {MAX_FAULTS} faults")]
    TooManyFaults,
}

/// One party, or several at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// A server, by number.
    Server(usize),
    /// All servers of the site with this number.
    Site(usize),
    /// All servers.
    Servers,
    /// A gateway, by number.
    Gateway(usize),
    /// All gateways.
    Gateways,
    /// The worker of a server.
    Worker(usize),
    /// The shared dependency.
    Dependency,
    /// The list of servers.
    Registry,
}

/// Sites of the fleet.
pub const SITES: [&str; 3] = ["east", "west", "north"];

/// The site of a server, by its number.
pub fn site(server: usize) -> usize {
    server % SITES.len()
}

impl Party {
    /// Whether this one is meant, or among those that are.
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

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    // ---- on a link ----
    /// Connections end without a word and none is made; datagrams are lost.
    Cut,
    /// Connections end with a reset and none is made.
    Reset,
    /// Nothing arrives, though connections stand and are made: half open.
    Mute,
    /// Connections are accepted and never read.
    Swallow,
    /// Everything comes later by so many ms.
    Delay(u64),
    /// A byte each millisecond.
    Slow,
    /// A share of datagrams, in hundredths, is lost, or comes twice.
    Loss(u64),
    /// A share of datagrams, in hundredths, is sent twice.
    Duplicate(u64),
    /// Datagrams come in another order, up to so many ms late.
    Reorder(u64),
    // ---- on a process ----
    /// SIGKILL; started again cold at the end.
    Kill,
    /// SIGSTOP, SIGCONT at the end.
    Suspend,
    /// SIGTERM; started again at the end.
    Terminate,
    /// The wall clock of the whole run is so many ms apart, from its start on.
    ClockOffset(i64),
    // ---- on what all share ----
    /// The ledger takes so many times as long.
    Slowdown(u64),
}

impl FaultKind {
    /// Whether it is a fault of processes.
    pub fn targets_process(self) -> bool {
        matches!(self, Self::Kill | Self::Suspend | Self::Terminate | Self::ClockOffset(_))
    }

    /// Whether it is a fault of links.
    pub fn targets_link(self) -> bool {
        !self.targets_process() && !matches!(self, Self::Slowdown(_))
    }

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
    /// When it begins, in milliseconds from the script's beginning.
    pub start_ms: u64,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
    /// What goes wrong.
    pub kind: FaultKind,
    /// With whom; the first end of a link.
    pub target: Party,
    /// The other end of a link.
    pub peer: Option<Party>,
}

impl Fault {
    /// When it ends, in milliseconds from the script's beginning.
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
            let wanted = if kind.targets_link() { "a link has two ends" } else { "one party is enough" };
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

/// Faults over time.
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
    /// When its last fault ends, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        let lasting = self.0.iter().filter(|fault| !matches!(fault.kind, FaultKind::ClockOffset(_)));
        lasting.map(Fault::end_ms).max().unwrap_or(0)
    }

    /// Up to six faults within so many ms, on so many servers and gateways.
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

    /// The fewest faults that `fails` still holds for, found by leaving out one after the other.
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
