//! The events of one run: clients, their messages, signals and faults. A plan is generated from a seed, and
//! the same seed always gives the same plan. Times (`at_ms`) are in milliseconds relative to the first
//! SIGTERM, which is the shutdown notice; times before it are negative.

use hazelspur::pcg::Pcg;
use std::fmt;

/// Grace period that the servers are configured with, in milliseconds.
pub const GRACE_PERIOD_MS: i64 = 300;
/// Time from the start of a run to the first SIGTERM, in milliseconds.
pub const LEAD_MS: i64 = 400;
/// Possible times from SIGTERM to SIGKILL, in milliseconds. The shortest leaves 420 ms between the end of the
/// grace period and the last close of a connection.
const STOP_MS: [i64; 4] = [900, 1200, 1500, 2400];
/// Shortest time from the end of a suspension to the kill, in milliseconds.
const SUSPENSION_END_BEFORE_KILL_MS: i64 = 300;
/// Number of clients in a run without a crowd, besides the idle ones and those around a suspension.
const CLIENTS: u32 = 8;
/// Number of clients that stay idle until about the time at which the server closes their connection.
const IDLE_CLIENTS: u32 = 3;
/// Number of clients that send shortly before and shortly after the begin of the early suspension, which half
/// of the runs have.
const CLIENTS_AROUND_SUSPENSION: u32 = 3;
/// Earliest and latest time at which the server closes an idle connection, in milliseconds from the end of
/// the grace period. The close follows the goodbye message, which goes out within one round of the server's
/// maintenance.
const IDLE_CLOSE_AFTER_GRACE_MS: [i64; 2] = [400, 520];
/// Number of clients in a run with a crowd; a server has enough file descriptors for all of them.
const CROWD_CLIENTS: u32 = 60;

/// Request class, by whether a request of it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Idempotent without a key: repeating a request has no further effect.
    View,
    /// Idempotent by its idempotency key.
    Book,
    /// Not idempotent: a repeated request takes effect again.
    Pay,
}

/// Kind of a message that a client sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// A health check.
    Check,
    /// A request written in one piece.
    Whole(Class),
    /// A request whose second half is written this many milliseconds after its first.
    Halves(Class, i64),
}

/// Message of a client with its time.
#[derive(Clone, Copy, Debug)]
pub struct Send {
    /// Time of sending, in milliseconds from the first SIGTERM.
    pub at_ms: i64,
    /// Kind of the message, with the class of a request.
    pub message: Message,
    /// Number of the idempotency key; requests with the same one must take effect once. Only requests of
    /// class `Book` use it.
    pub key: u32,
}

/// Change of the configuration file before SIGHUP is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileChange {
    /// None: the file stays as it is.
    Unchanged,
    /// The file names the second worker address, at which the same worker listens.
    Moved,
    /// The file is deleted.
    Missing,
    /// The file holds only the first half of its text.
    HalfWritten,
}

/// Signal or fault that the server or its peers are exposed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A further SIGTERM.
    Term,
    /// SIGHUP after a change of the configuration file.
    Hup(FileChange),
    /// SIGSTOP, and SIGCONT this many milliseconds later.
    Suspend(i64),
    /// The worker breaks its connection and refuses new ones for this many milliseconds.
    RefuseWorker(i64),
    /// The broker breaks all its connections.
    CutBroker,
}

impl Action {
    /// Names of all kinds of actions, as the summary of the soak prints them.
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

    /// Returns the name of the kind of this action, one of `KINDS`.
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

/// Action with its time.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    /// Time at which the action begins, in milliseconds from the first SIGTERM.
    pub at_ms: i64,
    /// The action.
    pub action: Action,
}

/// Client with one connection, which it uses until the server closes it.
#[derive(Clone, Debug)]
pub struct Client {
    /// Time of connecting, in milliseconds from the first SIGTERM; after it the server may refuse the
    /// connection.
    pub at_ms: i64,
    /// Messages in order of time.
    pub sends: Vec<Send>,
    /// Pause before each read, in milliseconds; 0 for a client that reads without delay.
    pub read_pause_ms: u64,
    /// Whether the client still sends its due messages after the server has closed the connection, like a
    /// client that has not received the close yet.
    pub sends_after_close: bool,
}

/// All events of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed that the plan was generated from.
    pub seed: u64,
    /// Time from SIGTERM to SIGKILL, in milliseconds.
    pub stop_ms: i64,
    /// Time that the worker takes to run a request, in milliseconds.
    pub run_ms: u64,
    /// Number of messages in the broker's queue; 0 if the server consumes no queue.
    pub queued_messages: u32,
    /// Signals and faults, in order of time.
    pub steps: Vec<Step>,
    /// Clients, each with one connection.
    pub clients: Vec<Client>,
}

/// Generates the parts of a plan from a stream of pseudorandom numbers.
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

    /// Returns a client whose connection is idle from before the shutdown notice, and which sends a request
    /// at about the time at which the server closes the connection.
    fn idle_client(&mut self) -> Client {
        let at_ms = self.time_ms(-LEAD_MS, 0);
        let class = self.class();
        let [first_ms, last_ms] = IDLE_CLOSE_AFTER_GRACE_MS;
        let near_close_ms = GRACE_PERIOD_MS + self.time_ms(first_ms, last_ms);
        let send = |at_ms, message| Send { at_ms, message, key: 0 };
        let sends = vec![send(at_ms, Message::Check), send(near_close_ms, Message::Whole(class))];
        Client { at_ms, sends, read_pause_ms: 0, sends_after_close: true }
    }

    /// Returns a suspension that begins while requests still run.
    fn early_suspension(&mut self) -> Step {
        let at_ms = self.time_ms(-250, GRACE_PERIOD_MS - 150);
        Step { at_ms, action: Action::Suspend(self.time_ms(60, 200)) }
    }

    /// Returns a client that sends one request shortly before a time and one shortly after it.
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
        // Two times in five the message is sent at about the end of the grace period or the close of an idle
        // connection, and one time in five shortly before the kill: uniform times would rarely hit these
        // instants.
        let at_ms = match self.below(5) {
            0 => self.time_ms(GRACE_PERIOD_MS - 40, GRACE_PERIOD_MS + 120),
            // The server closes idle connections at about this time, after the goodbye message.
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
        // The first SIGTERM is the shutdown notice at 0 ms; further ones come later.
        let at_ms = if action == Action::Term { at_ms.max(1) } else { at_ms };
        Step { at_ms, action }
    }
}

impl Plan {
    /// Generates the plan of a seed.
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

    /// Returns the number of parts (steps and clients) that can be left out.
    pub fn part_count(&self) -> usize {
        self.steps.len() + self.clients.len()
    }

    /// Returns the plan without the parts of these numbers. Parts are numbered from 0, steps before clients.
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

    /// Returns whether the run has a crowd of clients.
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
