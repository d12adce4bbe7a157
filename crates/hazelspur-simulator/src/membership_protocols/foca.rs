//! The `foca` crate: SWIM as a machine without I/O. Its suspicion lasts as long as the own machine's
//! shortest, its probes come as often, so that the two differ by what they do and not by their figures.

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

/// The identity of a member.
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

/// The project's own chance, in the form that the library asks for.
pub struct PcgRng(Pcg);

impl rand::TryRng for PcgRng {
    type Error = std::convert::Infallible;

    fn try_next_u32(&mut self) -> Result<u32, Self::Error> {
        Ok(self.0.draw())
    }

    fn try_next_u64(&mut self) -> Result<u64, Self::Error> {
        Ok(u64::from(self.0.draw()) << 32 | u64::from(self.0.draw()))
    }

    fn try_fill_bytes(&mut self, to: &mut [u8]) -> Result<(), Self::Error> {
        to.iter_mut().for_each(|byte| *byte = self.0.draw() as u8);
        Ok(())
    }
}

#[derive(Default)]
struct Host {
    now: Timestamp,
    out: VecDeque<(usize, Vec<u8>)>,
    timers: BinaryHeap<Reverse<(Timestamp, u64)>>,
    set: std::collections::BTreeMap<u64, Timer<FocaIdentity>>,
    number: u64,
    notices: VecDeque<MembershipNotice>,
}

impl Runtime<FocaIdentity> for Host {
    fn notify(&mut self, notification: Notification<'_, FocaIdentity>) {
        match notification {
            Notification::MemberUp(id) => self.notices.push_back(MembershipNotice::Alive(id.number.into())),
            Notification::MemberDown(id) => self.notices.push_back(MembershipNotice::Dead(id.number.into())),
            _ => {}
        }
    }

    fn send_to(&mut self, to: FocaIdentity, data: &[u8]) {
        self.out.push_back((to.number.into(), data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<FocaIdentity>, after: StdDuration) {
        self.number += 1;
        let at = self.now + Duration::from_us(after.as_micros() as u64);
        self.timers.push(Reverse((at, self.number)));
        self.set.insert(self.number, event);
    }
}

/// A member by the `foca` crate.
pub struct FocaProtocol {
    foca: Foca<FocaIdentity, PostcardCodec, PcgRng, NoCustomBroadcast>,
    host: Host,
    me: FocaIdentity,
    announce: Timestamp,
    chance: Pcg,
}

impl FocaProtocol {
    fn announce_to_one(&mut self) {
        let contact = SEED_MEMBERS[self.chance.draw() as usize % SEED_MEMBERS.len()];
        if contact != usize::from(self.me.number) {
            let to = FocaIdentity { number: contact as u16, generation: 0 };
            let _ = self.foca.announce(to, &mut self.host); // tried again
        }
        self.announce =
            self.host.now + Duration::from_ms(if self.alive_count() == 0 { 1000 } else { 10_000 });
    }
}

impl MembershipProtocol for FocaProtocol {
    /// How this protocol is named in the printed tables.
    const NAME: &'static str = "foca";
    type Packet = Vec<u8>;

    fn start(me: usize, most: usize, seed: u64, now: Timestamp) -> Self {
        let id = FocaIdentity { number: me as u16, generation: now.us() / 1000 };
        let size = (most as f64 + 1.0).log10();
        let each = |ms, members: usize| {
            let num_members = NonZeroUsize::MIN.saturating_add(members - 1);
            Some(PeriodicParams { frequency: StdDuration::from_millis(ms), num_members })
        };
        let config = Config {
            probe_period: StdDuration::from_millis(1000),
            probe_rtt: StdDuration::from_millis(400),
            num_indirect_probes: NonZeroUsize::MIN.saturating_add(2),
            max_transmissions: NonZeroU8::MIN.saturating_add((4.0 * size.ceil()) as u8 - 1),
            suspect_to_down_after: StdDuration::from_secs_f64(4.0 * size.max(1.0)),
            remove_down_after: Some(StdDuration::from_secs(900)),
            max_packet_size: NonZeroUsize::MIN.saturating_add(1182),
            notify_down_members: true,
            periodic_announce: each(10_000, 1),
            periodic_announce_to_down_members: each(1000, 1),
            periodic_gossip: each(500, 2),
        };
        let foca = Foca::new(id, config, PcgRng(Pcg::new(seed)), PostcardCodec);
        let mut way = Self {
            foca,
            host: Host { now, ..Host::default() },
            me: id,
            announce: now,
            chance: Pcg::new(seed ^ 0x5eed),
        };
        way.announce_to_one();
        way
    }

    fn receive(&mut self, now: Timestamp, packet: &Vec<u8>) {
        self.host.now = now;
        let _ = self.foca.handle_data(packet, &mut self.host); // what is dropped is dropped
    }

    fn tick(&mut self, now: Timestamp) {
        self.host.now = now;
        while let Some(Reverse((at, number))) = self.host.timers.peek().copied() {
            if at > now {
                break;
            }
            self.host.timers.pop();
            if let Some(timer) = self.host.set.remove(&number) {
                let _ = self.foca.handle_timer(timer, &mut self.host);
            }
        }
        if self.announce <= now {
            self.announce_to_one();
        }
    }

    fn next_tick(&self) -> Timestamp {
        self.host.timers.peek().map_or(self.announce, |Reverse((at, _))| (*at).min(self.announce))
    }

    fn next_packet(&mut self, _now: Timestamp) -> Option<OutgoingPacket<Vec<u8>>> {
        let (to, data) = self.host.out.pop_front()?;
        // The same version octet and tag as ours would go before it.
        let bytes = data.len() + 17;
        Some(OutgoingPacket { receiver: to, packet: data, bytes })
    }

    fn next_notice(&mut self) -> Option<MembershipNotice> {
        self.host.notices.pop_front()
    }

    fn alive_count(&self) -> usize {
        self.foca.iter_members().count()
    }
}
