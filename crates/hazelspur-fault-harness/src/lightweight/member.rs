//! One process of lightweight members: hundreds of sockets on one loop, behind each the machine that a server has
//! (`Joint` and its datagrams), driven as the server's own talk drives it, and no server around it. The
//! binary starts itself for this; it is told what to do by lines of JSON on its input, and ends when that
//! ends.

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

/// As the server's own talk has them.
const IN_ONE_GO: usize = 64;
/// Period of the membership protocol's rounds.
const ROUND: Duration = Duration::from_ms(250);
/// How often its load is reported.
const LOOK: Duration = Duration::from_ms(200);
/// A lightweight member says that it makes a call each second, and that it takes so long.
const CALL_EVERY: Duration = Duration::from_ms(1000);
/// The call latency that a member reports, in seconds.
const CALL_SECS: f64 = 0.01;
/// Lines of input that wait.
const MAX_LINES: usize = 16;

/// The first line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Task {
    pub fleet: Fleet,
    /// Numbers of the fleet's members that live here.
    #[serde(rename = "first")]
    pub first_member: usize,
    pub count: usize,
    /// It ends by itself after so long, whatever its input says.
    pub life_s: u64,
}

/// Each further line.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub enum Order {
    /// All members start, spread as the fleet says.
    #[serde(rename = "Go")]
    Start,
    Count,
}

/// The answer to each line; nothing counted is the answer to the first one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counters {
    pub members: Vec<MemberCounters>,
    /// By sender: what all members here got of it, and the greatest number of its datagrams.
    #[serde(rename = "came")]
    pub received_by_sender: BTreeMap<SocketAddr, Received>,
    /// Datagrams by whom they went to.
    #[serde(rename = "went")]
    pub sent_by_receiver: BTreeMap<SocketAddr, Traffic>,
}

/// Datagrams and their bytes.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Traffic {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Adds so many.
    pub fn add(&mut self, datagrams: u64, bytes: u64) {
        self.datagrams += datagrams;
        self.bytes += bytes;
    }

    /// What came since an earlier count.
    pub fn since(self, before: Self) -> Self {
        Self { datagrams: self.datagrams - before.datagrams, bytes: self.bytes - before.bytes }
    }
}

/// What was received from one sender.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Received {
    pub traffic: Traffic,
    #[serde(rename = "number")]
    pub max_sequence: u64,
}

/// The counters of one member.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct MemberCounters {
    pub sent: Traffic,
    #[serde(rename = "heard")]
    pub received: Traffic,
    /// Datagrams that were not taken, for whatever reason.
    pub dropped: u64,
    /// Datagrams that could not be sent.
    pub unsent: u64,
}

struct Clock {
    began: Instant,
    last: RefCell<Timestamp>,
}

impl Clock {
    fn at(&self) -> Clocks {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let wall = Timestamp::from_us(unix.as_micros() as u64).max(*self.last.borrow());
        *self.last.borrow_mut() = wall;
        let steady = Timestamp::from_us(1_000_000 + self.began.elapsed().as_micros() as u64);
        Clocks { wall, monotonic: steady }
    }
}

struct Member {
    socket: UdpSocket,
    key: Key,
    installation: Installation,
    node: FleetNode,
    guidance: Guidance,
    clock: Clock,
    looked: Timestamp,
    called: Timestamp,
    /// Its place among those of this process.
    of: usize,
    counters: Rc<RefCell<Counters>>,
}

impl Member {
    async fn run(mut self) {
        let mut bytes = vec![0; datagram::MAX_DATAGRAM_BYTES + 1];
        loop {
            self.act();
            let wait = self.node.time_to_next_tick(self.clock.at()).min(ROUND);
            tokio::select! {
                came = self.socket.recv_from(&mut bytes) => {
                    self.node.tick(self.clock.at());
                    if let Ok((length, from)) = came {
                        self.hear(from, &bytes[..length]);
                    }
                    for _ in 1..IN_ONE_GO {
                        let Ok((length, from)) = self.socket.try_recv_from(&mut bytes) else { break };
                        self.hear(from, &bytes[..length]);
                    }
                    self.act();
                    tokio::task::yield_now().await;
                }
                () = tokio::time::sleep(StdDuration::from_micros(wait.us())) => {}
            }
        }
    }

    fn hear(&mut self, from: SocketAddr, bytes: &[u8]) {
        let at = self.clock.at();
        let opened = datagram::open(&self.key, &self.installation, at.wall, bytes);
        let number = opened.as_ref().map_or(0, |datagram| datagram.sequence);
        let taken = opened.and_then(|datagram| self.node.receive(at, &datagram));
        let mut counters = self.counters.borrow_mut();
        let of = counters.received_by_sender.entry(from).or_default();
        of.traffic.add(1, bytes.len() as u64);
        of.max_sequence = of.max_sequence.max(number);
        let mine = &mut counters.members[self.of];
        mine.received.add(1, bytes.len() as u64);
        mine.dropped += u64::from(taken.is_err());
    }

    fn act(&mut self) {
        let at = self.clock.at();
        if at.monotonic - self.called >= CALL_EVERY {
            self.called = at.monotonic;
            self.node.call_finished(at, true);
        }
        if at.monotonic - self.looked >= LOOK {
            self.looked = at.monotonic;
            self.node.observe(at, LocalLoad { call_secs: Some(CALL_SECS), rejected_fraction: 0.0 });
            self.node.set_demand(super::SHARED_LIMIT, 1.0);
        }
        self.node.tick(at);
        while let Some(OutgoingDatagram { address: to, datagram }) = self.node.next_datagram(at) {
            let bytes = datagram::seal(&self.key, &datagram);
            let went = self.socket.try_send_to(&bytes, to);
            let mut counters = self.counters.borrow_mut();
            if went.is_ok() {
                counters.members[self.of].sent.add(1, bytes.len() as u64);
                counters.sent_by_receiver.entry(to).or_default().add(1, bytes.len() as u64);
            } else {
                counters.members[self.of].unsent += 1;
            }
        }
        while self.node.membership.next_event().is_some() {}
        let _ = self.guidance.next_update(at, &self.node);
    }
}

/// Until its input or its time ends. Errors say what could not be had.
pub fn serve() -> anyhow::Result<()> {
    let mut first = String::new();
    std::io::stdin().lock().read_line(&mut first)?;
    let task: Task = serde_json::from_str(&first)?;
    let (order, orders) = mpsc::channel(MAX_LINES);
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines() {
            let read = line.ok().and_then(|line| serde_json::from_str::<Order>(&line).ok());
            let Some(read) = read else { break };
            if order.blocking_send(read).is_err() {
                break;
            }
        }
    });
    let life = StdDuration::from_secs(task.life_s);
    let here = tokio::task::LocalSet::new();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let ended = here.block_on(&runtime, async { tokio::time::timeout(life, obey(task, orders)).await });
    // The reader's thread may stand at its input for ever; the end of the process is its end.
    ended.unwrap_or_else(|_| Err(anyhow::anyhow!("hollow members: their time is over")))
}

async fn obey(task: Task, mut orders: mpsc::Receiver<Order>) -> anyhow::Result<()> {
    let (go, gone) = watch::channel(false);
    let counters = Rc::new(RefCell::new(Counters::default()));
    counters.borrow_mut().members = vec![MemberCounters::default(); task.count];
    let key = Key::from_text(KEY).map_err(anyhow::Error::msg)?;
    let installation = Installation::new(INSTALLATION).ok_or(anyhow::anyhow!("installation"))?;
    for of in 0..task.count {
        let (number, fleet) = (task.first_member + of, task.fleet.clone());
        let at = fleet.gossip_address(number);
        let socket = UdpSocket::bind(at).await.map_err(|e| anyhow::anyhow!("{at}: {e}"))?;
        let (counters, key, mut gone) = (counters.clone(), key.clone(), gone.clone());
        tokio::task::spawn_local(async move {
            if gone.wait_for(|gone| *gone).await.is_err() || fleet.is_silent(number) {
                return std::future::pending().await;
            }
            tokio::time::sleep(fleet.start_delay(number)).await;
            let clock = Clock { began: Instant::now(), last: RefCell::default() };
            let now = clock.at();
            let generation = Generation(now.wall.us() / 1000);
            // Members that start in one microsecond must not draw the same chances.
            let drawn = Pcg::new(fleet.seed.wrapping_mul(31) ^ number as u64).draw();
            let seed = (u64::from(drawn) << 32) ^ now.wall.us();
            let node =
                FleetNode::new(fleet.node_config(number), Some(fleet.quota_config()), generation, seed, now);
            let guidance = Guidance::new(
                true,
                vec![GuidedLimit { limit: LimitId(0), key: GuidanceKey::CallConcurrencyLimit }],
            );
            let (looked, called) = (Timestamp::default(), Timestamp::default());
            let member =
                Member { socket, key, installation, node, guidance, clock, looked, called, of, counters };
            member.run().await
        });
    }
    tell(&Counters::default())?;
    while let Some(order) = orders.recv().await {
        match order {
            Order::Start => {
                go.send_replace(true);
                tell(&Counters::default())?;
            }
            Order::Count => tell(&counters.borrow())?,
        }
    }
    Ok(())
}

fn tell(counted: &Counters) -> anyhow::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{}", serde_json::to_string(counted)?)?;
    Ok(out.flush()?)
}
