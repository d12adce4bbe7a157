//! What happens in one run, drawn from a seed. Times are in milliseconds from the sending of SIGTERM.

use hazelspur::pcg::Pcg;
use std::fmt;

/// Grace period of the servers, in milliseconds.
pub const GRACE_PERIOD_MS: i64 = 300;
/// How long before SIGTERM a run begins, in milliseconds.
pub const LEAD_MS: i64 = 400;
/// Times to the kill that are drawn, in milliseconds; the shortest leaves 420 ms between grace period and last close.
const STOP_MS: [i64; 4] = [900, 1200, 1500, 2400];
/// A suspension ends at least this long before the kill, in milliseconds.
const SUSPENSION_END_BEFORE_KILL_MS: i64 = 300;
/// Clients of a run without a crowd.
const CLIENTS: u32 = 8;
/// Clients of a run that rest until about the close of their connection.
const IDLE_CLIENTS: u32 = 3;
/// Clients of a run that send before and during a suspension that half of the runs have.
const CLIENTS_AROUND_SUSPENSION: u32 = 3;
/// Connections that rest are closed between these times, in milliseconds from the end of the grace period: so long
/// after a goodbye message that goes out within one round of the server's maintenance.
const IDLE_CLOSE_AFTER_GRACE_MS: [i64; 2] = [400, 520];
/// Clients of a run with a crowd; all of them fit the descriptors of a server.
const CROWD_CLIENTS: u32 = 60;

/// A request class, by what repeating it would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Idempotent.
    View,
    /// Idempotent with a key.
    Book,
    /// Not idempotent.
    Pay,
}

/// What a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// A health check.
    Check,
    /// A request in one piece.
    Whole(Class),
    /// A request whose second half follows after so many milliseconds.
    Halves(Class, i64),
}

/// One message of a client.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    /// When it is sent.
    pub at_ms: i64,
    /// What is sent.
    pub message: Message,
    /// Requests with the same key are one effect; only keyed requests have one.
    pub key: u32,
}

/// A change of the configuration file before SIGHUP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileChange {
    /// The same file.
    Unchanged,
    /// Another worker address, which is the same worker.
    Moved,
    /// No file.
    Missing,
    /// The first half of the file.
    HalfWritten,
}

/// What is done to the server or to its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// SIGTERM once more.
    Term,
    /// SIGHUP.
    Hup(FileChange),
    /// SIGSTOP, and SIGCONT after so many milliseconds.
    Suspend(i64),
    /// The worker link breaks and is refused for so many milliseconds.
    RefuseWorker(i64),
    /// All connections to the broker break.
    CutBroker,
}

impl Action {
    /// The names of all kinds of actions.
    pub const KINDS: [&'static str; 8] = [
        "SIGTERM again",
        "SIGHUP, same file",
        "SIGHUP, moved worker",
        "SIGHUP, no file",
        "SIGHUP, half a file",
        "suspension",
        "refused worker link",
        "cut broker",
    ];

    /// The name of its kind.
    pub fn kind(self) -> &'static str {
        let index = match self {
            Self::Term => 0,
            Self::Hup(FileChange::Unchanged) => 1,
            Self::Hup(FileChange::Moved) => 2,
            Self::Hup(FileChange::Missing) => 3,
            Self::Hup(FileChange::HalfWritten) => 4,
            Self::Suspend(_) => 5,
            Self::RefuseWorker(_) => 6,
            Self::CutBroker => 7,
        };
        Self::KINDS[index]
    }
}

/// An action and its time.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// When it is done.
    pub at_ms: i64,
    /// What is done.
    pub action: Action,
}

/// A client with one connection, which it uses until the server closes it.
#[derive(Clone, Debug)]
pub struct Client {
    /// When it connects; after SIGTERM it may be refused.
    pub at_ms: i64,
    /// What it sends, in order of time.
    pub sends: Vec<Send>,
    /// How long it rests between two reads, in milliseconds.
    pub read_pause_ms: u64,
    /// Whether it sends what is due although the server has closed, as one does whom the close has not reached yet.
    pub sends_after_close: bool,
}

/// All that happens in one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// Time from SIGTERM to SIGKILL.
    pub stop_ms: i64,
    /// How long a run takes the worker, in milliseconds.
    pub run_ms: u64,
    /// Messages in the broker's queue; none where the server consumes no queue.
    pub queued_messages: u32,
    /// What is done, in order of time.
    pub steps: Vec<Step>,
    /// The clients.
    pub clients: Vec<Client>,
}

/// Draws from ranges.
struct PlanGenerator(Pcg);

impl PlanGenerator {
    fn below(&mut self, bound: u32) -> u32 {
        self.0.draw() % bound
    }

    fn one_in(&mut self, count: u32) -> bool {
        self.below(count) == 0
    }

    fn time_ms(&mut self, from_ms: i64, to_ms: i64) -> i64 {
        from_ms + i64::from(self.below((to_ms - from_ms).max(1) as u32))
    }

    fn message(&mut self) -> Message {
        let class = self.class();
        match self.below(6) {
            0 => Message::Check,
            1 => Message::Halves(class, self.time_ms(20, 500)),
            _ => Message::Whole(class),
        }
    }

    fn client(&mut self, stop_ms: i64) -> Client {
        let connects_late = self.one_in(5);
        let at_ms = if connects_late { self.time_ms(0, stop_ms) } else { self.time_ms(-LEAD_MS, 0) };
        let sends = (0..1 + self.below(6)).map(|_| self.send(at_ms, stop_ms));
        let mut sends: Vec<Send> = sends.collect();
        sends.sort_by_key(|send| send.at_ms);
        let read_pause_ms = if self.one_in(8) { 120 } else { 0 };
        Client { at_ms, sends, read_pause_ms, sends_after_close: false }
    }

    /// A client whose connection rests from before the notice, and whose request meets the close.
    fn idle_client(&mut self) -> Client {
        let at_ms = self.time_ms(-LEAD_MS, 0);
        let class = self.class();
        let [first_ms, last_ms] = IDLE_CLOSE_AFTER_GRACE_MS;
        let near_close_ms = GRACE_PERIOD_MS + self.time_ms(first_ms, last_ms);
        let send = |at_ms, message| Send { at_ms, message, key: 0 };
        let sends = vec![send(at_ms, Message::Check), send(near_close_ms, Message::Whole(class))];
        Client { at_ms, sends, read_pause_ms: 0, sends_after_close: true }
    }

    /// A suspension that begins while requests still run.
    fn early_suspension(&mut self) -> Step {
        let at_ms = self.time_ms(-250, GRACE_PERIOD_MS - 150);
        Step { at_ms, action: Action::Suspend(self.time_ms(60, 200)) }
    }

    /// A client that sends a request shortly before a moment and one shortly after it.
    fn client_around(&mut self, moment_ms: i64) -> Client {
        let times = [moment_ms - self.time_ms(2, 20), moment_ms + self.time_ms(10, 50)];
        let mut send = |at_ms| Send { at_ms, message: Message::Whole(self.class()), key: self.below(12) };
        let sends = times.map(&mut send).to_vec();
        Client { at_ms: -LEAD_MS, sends, read_pause_ms: 0, sends_after_close: false }
    }

    fn class(&mut self) -> Class {
        [Class::View, Class::Book, Class::Pay][self.below(3) as usize]
    }

    fn send(&mut self, from_ms: i64, stop_ms: i64) -> Send {
        // Around the instants at which something ends: more often than by chance.
        let at_ms = match self.below(5) {
            0 => self.time_ms(GRACE_PERIOD_MS - 40, GRACE_PERIOD_MS + 120),
            // Connections that rest after the goodbye message are closed about then.
            2 => self.time_ms(GRACE_PERIOD_MS + 380, GRACE_PERIOD_MS + 620),
            1 => self.time_ms(stop_ms - 260, stop_ms - 120),
            _ => self.time_ms(from_ms, stop_ms),
        };
        Send { at_ms: at_ms.max(from_ms), message: self.message(), key: self.below(12) }
    }

    fn step(&mut self, stop_ms: i64) -> Step {
        let at_ms = self.time_ms(-200, stop_ms - SUSPENSION_END_BEFORE_KILL_MS);
        let longest_ms = stop_ms - SUSPENSION_END_BEFORE_KILL_MS - at_ms;
        let files = [FileChange::Unchanged, FileChange::Moved, FileChange::Missing, FileChange::HalfWritten];
        let action = match self.below(6) {
            0 => Action::Term,
            1 => Action::Hup(files[self.below(4) as usize]),
            2 | 3 => Action::Suspend(self.time_ms(10, longest_ms.min(600)).min(longest_ms)),
            4 => Action::RefuseWorker(self.time_ms(10, 400)),
            _ => Action::CutBroker,
        };
        // The first SIGTERM is the notice.
        let at_ms = if action == Action::Term { at_ms.max(1) } else { at_ms };
        Step { at_ms, action }
    }
}

impl Plan {
    /// Draws a plan.
    pub fn from_seed(seed: u64) -> Self {
        let mut generator = PlanGenerator(Pcg::new(seed));
        let stop_ms = STOP_MS[generator.below(4) as usize];
        let clients = if generator.one_in(5) { CROWD_CLIENTS } else { CLIENTS };
        let run_ms = [0, 15, 60, 200][generator.below(4) as usize];
        let queued_messages = if generator.one_in(3) { 10 } else { 0 };
        let mut steps: Vec<Step> = (0..generator.below(5)).map(|_| generator.step(stop_ms)).collect();
        let mut clients: Vec<Client> = (0..clients).map(|_| generator.client(stop_ms)).collect();
        clients.extend((0..IDLE_CLIENTS).map(|_| generator.idle_client()));
        let suspension = generator.early_suspension();
        clients.extend((0..CLIENTS_AROUND_SUSPENSION).map(|_| generator.client_around(suspension.at_ms)));
        if generator.one_in(2) {
            steps.push(suspension);
        }
        steps.sort_by_key(|step| step.at_ms);
        Self { seed, stop_ms, run_ms, queued_messages, steps, clients }
    }

    /// How many parts can be left out.
    pub fn part_count(&self) -> usize {
        self.steps.len() + self.clients.len()
    }

    /// The plan without these parts: steps first, then clients.
    pub fn without(&self, parts: &[usize]) -> Self {
        let is_kept = |part: usize| !parts.contains(&part);
        let keeps_client = |offset: usize| move |(index, _): &(usize, _)| is_kept(offset + index);
        let steps = self.steps.iter().copied().enumerate().filter(|(index, _)| is_kept(*index));
        let clients = self.clients.iter().cloned().enumerate().filter(keeps_client(self.steps.len()));
        Self {
            steps: steps.map(|(_, step)| step).collect(),
            clients: clients.map(|(_, client)| client).collect(),
            ..self.clone()
        }
    }

    /// Whether many clients are there at once.
    pub fn has_crowd(&self) -> bool {
        self.clients.len() > (CLIENTS + IDLE_CLIENTS + CLIENTS_AROUND_SUSPENSION) as usize
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seed, stop_ms, run_ms, queued_messages, steps, clients } = self;
        write!(f, "seed {seed}: stop {stop_ms} ms, runs {run_ms} ms, {queued_messages} queued messages")?;
        write!(f, ", {} clients", clients.len())?;
        steps.iter().try_for_each(|step| write!(f, "; {} {:?}", step.at_ms, step.action))
    }
}
