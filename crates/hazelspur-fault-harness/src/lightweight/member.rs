//! One process of lightweight members. A lightweight member is the state machine with which a server takes
//! part in the fleet (`FleetNode`), with a UDP socket of its own and driven like in a server, but without the
//! rest of the server. Hundreds of them share one event loop.
//!
//! The harness starts its own program for this. The process reads one JSON line with its [`Task`] from its
//! standard input and one [`Order`] from each further line, answers each line with [`Counters`] on its
//! standard output, and ends when its input ends.

use super::{Fleet, INSTALLATION, KEY};
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, GuidanceKey, Timestamp};
use hazelspur_fleet::guidance::{Guidance, GuidedLimit};
use hazelspur_fleet::membership::OutgoingDatagram;
use hazelspur_fleet::node::LocalLoad;
use hazelspur_fleet::quota::LimitId;
use hazelspur_fleet::{Clocks, FleetNode, Generation, Installation, Key, datagram};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration as StdDuration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// Highest number of datagrams received in one turn of the event loop, as in the server.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
/// Period of the rounds of the membership protocol, the longest wait between two ticks of the state machine.
const MAX_WAIT: Duration = Duration::from_ms(250);
/// Time between two observations of the local load.
const LOAD_INTERVAL: Duration = Duration::from_ms(200);
/// Time between two dependency calls that a member reports as finished.
const CALL_INTERVAL: Duration = Duration::from_ms(1000);
/// Call latency that a member reports, in seconds.
const CALL_LATENCY_S: f64 = 0.01;
/// Highest number of orders that are read but not yet carried out.
const MAX_QUEUED_ORDERS: usize = 16;

/// First line of the input: the members that the process serves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Task {
    /// Description of the whole fleet.
    pub fleet: Fleet,
    /// Index in the fleet of the first member of this process.
    #[serde(rename = "first")]
    pub first_member: usize,
    /// Number of members of this process, which have consecutive indices.
    pub count: usize,
    /// Time after which the process ends by itself, even if its input is still open, in seconds.
    pub life_s: u64,
}

/// Further line of the input.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum Order {
    /// Starts all members, each after its delay ([`Fleet::start_delay`]).
    #[serde(rename = "Go")]
    Start,
    /// Asks for the current counters.
    Count,
}

/// Counters of the process, the answer to each line of the input; empty in the answers to the first line and
/// to [`Order::Start`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Counters of each member of the process.
    pub members: Vec<MemberCounters>,
    /// Traffic received by all members of the process, by sender.
    #[serde(rename = "came")]
    pub received_by_sender: BTreeMap<SocketAddr, Received>,
    /// Traffic sent by all members of the process, by receiver.
    #[serde(rename = "went")]
    pub sent_by_receiver: BTreeMap<SocketAddr, Traffic>,
}

/// Number of datagrams and bytes.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Traffic {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Number of bytes in them.
    pub bytes: u64,
}

impl Traffic {
    /// Adds datagrams and their bytes.
    pub fn add(&mut self, datagrams: u64, bytes: u64) {
        self.datagrams += datagrams;
        self.bytes += bytes;
    }

    /// Returns the traffic since an earlier count.
    pub fn since(self, earlier: Self) -> Self {
        Self { datagrams: self.datagrams - earlier.datagrams, bytes: self.bytes - earlier.bytes }
    }
}

/// Traffic received from one sender.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Received {
    /// Datagrams and bytes.
    pub traffic: Traffic,
    /// Highest sequence number in the datagrams.
    #[serde(rename = "number")]
    pub max_sequence: u64,
}

/// Counters of one member.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct MemberCounters {
    /// Sent traffic.
    pub sent: Traffic,
    /// Received traffic, including datagrams that were not accepted.
    #[serde(rename = "heard")]
    pub received: Traffic,
    /// Number of received datagrams that were not accepted, for any reason.
    pub dropped: u64,
    /// Number of datagrams that could not be sent.
    pub unsent: u64,
}

/// Wall clock and monotonic clock of one member; the wall clock does not go back.
struct Clock {
    started_at: Instant,
    last_wall: RefCell<Timestamp>,
}

impl Clock {
    fn now(&self) -> Clocks {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall = Timestamp::from_us(unix.as_micros() as u64).max(*self.last_wall.borrow());
        *self.last_wall.borrow_mut() = wall;
        let monotonic = Timestamp::from_us(1_000_000 + self.started_at.elapsed().as_micros() as u64);
        Clocks { wall, monotonic }
    }
}

/// Lightweight member: state machine, socket and clock.
struct Member {
    socket: UdpSocket,
    key: Key,
    installation: Installation,
    node: FleetNode,
    guidance: Guidance,
    clock: Clock,
    load_reported_at: Timestamp,
    call_reported_at: Timestamp,
    /// Index among the members of this process.
    index: usize,
    /// Counters of the whole process.
    counters: Rc<RefCell<Counters>>,
}

impl Member {
    async fn run(mut self) {
        let mut bytes = vec![0; datagram::MAX_DATAGRAM_BYTES + 1];
        loop {
            self.tick_and_send();
            let wait = self.node.time_to_next_tick(self.clock.now()).min(MAX_WAIT);
            tokio::select! {
                received = self.socket.recv_from(&mut bytes) => {
                    self.node.tick(self.clock.now());
                    if let Ok((length, from)) = received {
                        self.receive(from, &bytes[..length]);
                    }
                    for _ in 1..MAX_DATAGRAMS_PER_TURN {
                        let Ok((length, from)) = self.socket.try_recv_from(&mut bytes) else { break };
                        self.receive(from, &bytes[..length]);
                    }
                    self.tick_and_send();
                    tokio::task::yield_now().await;
                }
                () = tokio::time::sleep(StdDuration::from_micros(wait.us())) => {}
            }
        }
    }

    fn receive(&mut self, from: SocketAddr, bytes: &[u8]) {
        let now = self.clock.now();
        let opened = datagram::open(&self.key, &self.installation, now.wall, bytes);
        let sequence = opened.as_ref().map_or(0, |datagram| datagram.sequence);
        let accepted = opened.and_then(|datagram| self.node.receive(now, &datagram));
        let mut counters = self.counters.borrow_mut();
        let from_sender = counters.received_by_sender.entry(from).or_default();
        from_sender.traffic.add(1, bytes.len() as u64);
        from_sender.max_sequence = from_sender.max_sequence.max(sequence);
        let own = &mut counters.members[self.index];
        own.received.add(1, bytes.len() as u64);
        own.dropped += u64::from(accepted.is_err());
    }

    /// Reports load and calls when they are due, advances the state machine and sends its datagrams.
    fn tick_and_send(&mut self) {
        let now = self.clock.now();
        if now.monotonic - self.call_reported_at >= CALL_INTERVAL {
            self.call_reported_at = now.monotonic;
            self.node.call_finished(now, true);
        }
        if now.monotonic - self.load_reported_at >= LOAD_INTERVAL {
            self.load_reported_at = now.monotonic;
            self.node.observe(now, LocalLoad { call_secs: Some(CALL_LATENCY_S), rejected_fraction: 0.0 });
            self.node.set_demand(super::SHARED_LIMIT, 1.0);
        }
        self.node.tick(now);
        while let Some(OutgoingDatagram { address: to, datagram }) = self.node.next_datagram(now) {
            let bytes = datagram::seal(&self.key, &datagram);
            let sent = self.socket.try_send_to(&bytes, to);
            let mut counters = self.counters.borrow_mut();
            if sent.is_ok() {
                counters.members[self.index].sent.add(1, bytes.len() as u64);
                counters.sent_by_receiver.entry(to).or_default().add(1, bytes.len() as u64);
            } else {
                counters.members[self.index].unsent += 1;
            }
        }
        while self.node.membership.next_event().is_some() {}
        let _ = self.guidance.next_update(now, &self.node);
    }
}

/// Serves lightweight members until the input ends.
///
/// # Errors
/// Returns an error if the first line is not a valid task, a socket cannot be bound, an answer cannot be written, or the
/// lifetime of the task ends before the input.
pub fn serve() -> anyhow::Result<()> {
    let mut first_line = String::new();
    std::io::stdin().lock().read_line(&mut first_line)?;
    let task: Task = serde_json::from_str(&first_line)?;
    let (order_sender, orders) = mpsc::channel(MAX_QUEUED_ORDERS);
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines() {
            let parsed = line.ok().and_then(|line| serde_json::from_str::<Order>(&line).ok());
            let Some(order) = parsed else { break };
            if order_sender.blocking_send(order).is_err() {
                break;
            }
        }
    });
    let lifetime = StdDuration::from_secs(task.life_s);
    let local_tasks = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = local_tasks
        .block_on(&runtime, async { tokio::time::timeout(lifetime, run_members(task, orders)).await });
    // The thread that reads the input may still block; it ends with the process.
    ended.unwrap_or_else(|_| {
        Err(anyhow::anyhow!("lightweight members: lifetime is over before the end of the input"))
    })
}

async fn run_members(task: Task, mut orders: mpsc::Receiver<Order>) -> anyhow::Result<()> {
    let (start, started) = watch::channel(false);
    let counters = Rc::new(RefCell::new(Counters::default()));
    counters.borrow_mut().members = vec![MemberCounters::default(); task.count];
    let key = Key::from_text(KEY).map_err(anyhow::Error::msg)?;
    let installation = Installation::new(INSTALLATION)
        .ok_or(anyhow::anyhow!("invalid installation name {INSTALLATION:?}"))?;
    for index in 0..task.count {
        let (member_number, fleet) = (task.first_member + index, task.fleet.clone());
        let address = fleet.gossip_address(member_number);
        let socket =
            UdpSocket::bind(address).await.map_err(|e| anyhow::anyhow!("cannot bind {address}: {e}"))?;
        let (counters, key, mut started) = (counters.clone(), key.clone(), started.clone());
        tokio::task::spawn_local(async move {
            if started.wait_for(|started| *started).await.is_err() || fleet.is_silent(member_number) {
                return std::future::pending().await;
            }
            tokio::time::sleep(fleet.start_delay(member_number)).await;
            let clock = Clock { started_at: Instant::now(), last_wall: RefCell::default() };
            let now = clock.now();
            let generation = Generation(now.wall.us() / 1000);
            // Members that start in the same microsecond must have different seeds.
            let drawn = Pcg::new(fleet.seed.wrapping_mul(31) ^ member_number as u64).draw();
            let seed = (u64::from(drawn) << 32) ^ now.wall.us();
            let node = FleetNode::new(
                fleet.node_config(member_number),
                Some(fleet.quota_config()),
                generation,
                seed,
                now,
            );
            let guidance = Guidance::new(
                true,
                vec![GuidedLimit { limit: LimitId(0), key: GuidanceKey::CallConcurrencyLimit }],
            );
            let (load_reported_at, call_reported_at) = (Timestamp::default(), Timestamp::default());
            let member = Member {
                socket,
                key,
                installation,
                node,
                guidance,
                clock,
                load_reported_at,
                call_reported_at,
                index,
                counters,
            };
            member.run().await
        });
    }
    write_counters(&Counters::default())?;
    while let Some(order) = orders.recv().await {
        match order {
            Order::Start => {
                start.send_replace(true);
                write_counters(&Counters::default())?;
            }
            Order::Count => write_counters(&counters.borrow())?,
        }
    }
    Ok(())
}

fn write_counters(counters: &Counters) -> anyhow::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", serde_json::to_string(counters)?)?;
    Ok(out.flush()?)
}
