//! The SWIM implementation of the `foca` crate, which does no I/O. Its probe period and its suspicion timeout
//! equal the probe period and the shortest suspicion timeout of `swim`, so that the comparison shows the
//! difference between the protocols and not between their settings.

use super::{MembershipNotice, MembershipProtocol, OutgoingPacket, SEED_MEMBERS};
use foca::{
    Config, Foca, Identity, NoCustomBroadcast, Notification, PeriodicParams, PostcardCodec, Runtime, Timer,
};
use hazelspur::pcg::Pcg;
use hazelspur::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration as StdDuration;

/// The identity of a member: the number of its server and the generation of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct FocaIdentity {
    number: u16,
    generation: u64,
}

impl Identity for FocaIdentity {
    type Addr = u16;

    fn renew(&self) -> Option<Self> {
        Some(Self { generation: self.generation + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.number
    }

    fn win_addr_conflict(&self, adversary: &Self) -> bool {
        self.generation > adversary.generation
    }
}

/// The project's random number generator behind the trait that `foca` requires.
pub struct PcgRng(Pcg);

impl rand::TryRng for PcgRng {
    type Error = std::convert::Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Self::Error> {
        Ok(self.0.draw())
    }

    fn try_next_u64(&mut self) -> Result<u64, Self::Error> {
        Ok(u64::from(self.0.draw()) << 32 | u64::from(self.0.draw()))
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Self::Error> {
        bytes.iter_mut().for_each(|byte| *byte = self.0.draw() as u8);
        Ok(())
    }
}

/// Outputs of `foca`: packets to send, timers to set, and conclusions about members.
#[derive(Default)]
struct FocaRuntime {
    now: Timestamp,
    /// Number of the receiving server, and the packet.
    outgoing: VecDeque<(usize, Vec<u8>)>,
    /// Expiry and number of each timer, the earliest first; equal expiries in the order in which they were
    /// set.
    timer_queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    timers_by_number: std::collections::BTreeMap<u64, Timer<FocaIdentity>>,
    last_timer_number: u64,
    notices: VecDeque<MembershipNotice>,
}

impl Runtime<FocaIdentity> for FocaRuntime {
    fn notify(&mut self, notification: Notification<'_, FocaIdentity>) {
        match notification {
            Notification::MemberUp(id) => self.notices.push_back(MembershipNotice::Alive(id.number.into())),
            Notification::MemberDown(id) => self.notices.push_back(MembershipNotice::Dead(id.number.into())),
            _ => {}
        }
    }

    fn send_to(&mut self, to: FocaIdentity, data: &[u8]) {
        self.outgoing.push_back((to.number.into(), data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<FocaIdentity>, after: StdDuration) {
        self.last_timer_number += 1;
        let at = self.now + Duration::from_us(after.as_micros() as u64);
        self.timer_queue.push(Reverse((at, self.last_timer_number)));
        self.timers_by_number.insert(self.last_timer_number, event);
    }
}

/// A member that runs the `foca` crate.
pub struct FocaProtocol {
    foca: Foca<FocaIdentity, PostcardCodec, PcgRng, NoCustomBroadcast>,
    runtime: FocaRuntime,
    own_identity: FocaIdentity,
    next_announcement: Timestamp,
    random: Pcg,
}

impl FocaProtocol {
    /// Announces this member to a random seed member, and schedules the next announcement: after 1 s while no
    /// other member is known, otherwise after 10 s.
    fn announce_to_seed_member(&mut self) {
        let seed_member = SEED_MEMBERS[self.random.draw() as usize % SEED_MEMBERS.len()];
        if seed_member != usize::from(self.own_identity.number) {
            let to = FocaIdentity { number: seed_member as u16, generation: 0 };
            // A failed announcement is repeated with the next one.
            let _ = self.foca.announce(to, &mut self.runtime);
        }
        self.next_announcement =
            self.runtime.now + Duration::from_ms(if self.alive_count() == 0 { 1000 } else { 10_000 });
    }
}

impl MembershipProtocol for FocaProtocol {
    /// Name of this protocol in the printed tables.
    const NAME: &'static str = "foca";
    type Packet = Vec<u8>;

    fn start(server: usize, max_servers: usize, seed: u64, now: Timestamp) -> Self {
        let identity = FocaIdentity { number: server as u16, generation: now.us() / 1000 };
        let log_size = (max_servers as f64 + 1.0).log10();
        let periodic = |ms, members: usize| {
            let num_members = NonZeroUsize::MIN.saturating_add(members - 1);
            Some(PeriodicParams { frequency: StdDuration::from_millis(ms), num_members })
        };
        let config = Config {
            probe_period: StdDuration::from_millis(1000),
            probe_rtt: StdDuration::from_millis(400),
            num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
            max_transmissions: NonZeroU8::MIN.saturating_add((4.0 * log_size.ceil()) as u8 - 1),
            suspect_to_down_after: StdDuration::from_secs_f64(4.0 * log_size.max(1.0)),
            remove_down_after: Some(StdDuration::from_secs(900)),
            max_packet_size: NonZeroUsize::MIN.saturating_add(1182),
            notify_down_members: true,
            periodic_announce: periodic(10_000, 1),
            periodic_announce_to_down_members: periodic(1000, 1),
            periodic_gossip: periodic(500, 2),
        };
        let foca = Foca::new(identity, config, PcgRng(Pcg::new(seed)), PostcardCodec);
        let mut protocol = Self {
            foca,
            runtime: FocaRuntime { now, ..FocaRuntime::default() },
            own_identity: identity,
            next_announcement: now,
            random: Pcg::new(seed ^ 0x5eed),
        };
        protocol.announce_to_seed_member();
        protocol
    }

    fn receive(&mut self, now: Timestamp, packet: &Vec<u8>) {
        self.runtime.now = now;
        // A rejected packet is dropped.
        let _ = self.foca.handle_data(packet, &mut self.runtime);
    }

    fn tick(&mut self, now: Timestamp) {
        self.runtime.now = now;
        while let Some(Reverse((at, number))) = self.runtime.timer_queue.peek().copied() {
            if at > now {
                break;
            }
            self.runtime.timer_queue.pop();
            if let Some(timer) = self.runtime.timers_by_number.remove(&number) {
                let _ = self.foca.handle_timer(timer, &mut self.runtime);
            }
        }
        if self.next_announcement <= now {
            self.announce_to_seed_member();
        }
    }

    fn next_tick(&self) -> Timestamp {
        self.runtime
            .timer_queue
            .peek()
            .map_or(self.next_announcement, |Reverse((at, _))| (*at).min(self.next_announcement))
    }

    fn next_packet(&mut self, _now: Timestamp) -> Option<OutgoingPacket<Vec<u8>>> {
        let (receiver, data) = self.runtime.outgoing.pop_front()?;
        // A version octet and an authentication tag of 16 bytes would precede it, as in the datagrams of
        // `swim`.
        let bytes = data.len() + 17;
        Some(OutgoingPacket { receiver, packet: data, bytes })
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        self.runtime.notices.pop_front()
    }

    fn alive_count(&self) -> usize {
        self.foca.iter_members().count()
    }
}
