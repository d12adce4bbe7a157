//! What one server knows and chooses together with the others: members, shares, signals and the gate behind
//! one set of inputs, as the program, the laboratory and the tests run it. No I/O and no clock.
//!
//! Two clocks are handed in: the wall's, by which servers that can't talk find common turns and datagrams
//! show their age, and a steady one that nobody sets, by which leases are counted.

use crate::circuit_breaker::{CircuitBreaker, DESIGNATED_PROBERS, PeerView};
use crate::load_reports::{AggregatedLoad, FaultScope, LatencyRatioTracker, LoadReportTable, PeerLoadReport};
use crate::members::{Members, Terms as MemberTerms};
use crate::names::{Generation, ProcessIncarnation};
use crate::quota::{ConfigFingerprint, LimitId, QuotaConfig, QuotaManager, QuotaShare};
use crate::subset::{WeightedMember, select_across_sites};
use crate::talk::{Body, Datagram, Dropped, Shown};
use hazelspur::{Duration, Timestamp};
use std::net::SocketAddr;

/// Others that hear this server's word in each period, besides those who get a datagram anyway.
const PUSHES: usize = 3;
/// No word older than this counts, in periods.
const WORDS_LAST: f64 = 5.0;
/// Others that hear at once that this server got through again.
const HERALDS: usize = 8;
const LAST_CALL: f64 = 0.3;
/// Who made no call for so long says nothing of what calls reach.
const LATELY: Duration = Duration::from_ms(3000);
/// The chosen change so often.
const CHOSEN_FOR_US: u64 = 60_000_000;

/// One moment by both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct At {
    pub wall: Timestamp,
    pub steady: Timestamp,
}

/// What this server sees of its own work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Seen {
    /// How long calls to what all share take now; none where there were none.
    pub call_secs: Option<f64>,
    /// QuotaShare of the last requests that it refused.
    pub refused: f64,
}

#[derive(Clone, Debug)]
pub struct Joint {
    pub members: Members,
    pub quota: Option<QuotaManager>,
    pub breaker: CircuitBreaker,
    print: Option<ConfigFingerprint>,
    board: LoadReportTable,
    latency_ratio: LatencyRatioTracker,
    word: PeerLoadReport,
    common: Option<AggregatedLoad>,
    whose: FaultScope,
    /// QuotaShare of the last calls that reached nobody; the last one for three tenths of it.
    unreached: f64,
    called: Timestamp,
    period: Duration,
    next_round: Timestamp,
    /// Datagrams about shares by other terms than ours.
    pub other_terms: u64,
}

impl Joint {
    pub fn new(
        members: MemberTerms,
        shares: Option<QuotaConfig>,
        generation: Generation,
        seed: u64,
        at: At,
    ) -> Self {
        let me = ProcessIncarnation { name: members.name, generation };
        let (period, most) = (members.period, members.most);
        Self {
            print: shares.as_ref().map(QuotaConfig::fingerprint),
            quota: shares.map(|terms| QuotaManager::new(terms, me, seed, at.steady)),
            breaker: CircuitBreaker::new(me.name, "ledger", most),
            board: LoadReportTable::new(most * 2, period.scaled(WORDS_LAST)),
            latency_ratio: LatencyRatioTracker::default(),
            word: PeerLoadReport::default(),
            common: None,
            whose: FaultScope::None,
            unreached: 0.0,
            called: Timestamp::default(),
            period,
            next_round: at.steady + period,
            members: Members::new(members, generation, seed, at.wall),
            other_terms: 0,
        }
    }

    // ---- inputs ----

    pub fn heard(&mut self, at: At, came: &Datagram) -> Result<(), Dropped> {
        if let Body::ShowChoices { number } = came.body {
            let shown = self.shown(at);
            self.members.answer(came.from.at, Body::Choices { number, shown });
            return Ok(());
        }
        self.members.heard(at.wall, came)?;
        if matches!(came.body, Body::Show { .. }) {
            return Ok(());
        }
        if let Some(word) = came.word {
            self.board.receive(at.steady, came.from.name, came.from.site, word);
            if word.is_valid() && word.is_reachable() {
                self.breaker.recovery_hint(at.wall);
            }
        }
        if let (Body::Quota { fingerprint, message }, Some(shares)) = (&came.body, &mut self.quota) {
            if Some(*fingerprint) == self.print {
                let from = ProcessIncarnation { name: came.from.name, generation: came.from.generation };
                shares.receive(at.steady, from, message);
            } else {
                self.other_terms += 1;
            }
        }
        self.pass_on();
        Ok(())
    }

    /// What this server has seen lately; goes to others as its word.
    pub fn saw(&mut self, at: At, seen: Seen) {
        let lately = at.steady - self.called < LATELY;
        let share = |n: f64| if n.is_finite() { n.clamp(0.0, 1.0) as f32 } else { 0.0 };
        self.word = PeerLoadReport {
            latency_ratio: seen.call_secs.map_or(0.0, |secs| self.latency_ratio.observe(at.steady, secs)),
            unreachable_fraction: if self.breaker.is_closed() {
                lately.then(|| share(self.unreached))
            } else {
                Some(1.0)
            },
            rejected_fraction: share(seen.refused),
        };
        self.members.says(self.word);
    }

    /// A call to what all share is over, or a try while the gate was shut: whether anybody was reached.
    pub fn call_finished(&mut self, at: At, reached: bool) {
        let was_open = self.breaker.is_closed();
        self.called = at.steady;
        self.unreached += LAST_CALL * (f64::from(u8::from(!reached)) - self.unreached);
        self.breaker.call_finished(at.wall, reached);
        if !was_open && self.breaker.is_closed() {
            self.unreached = 0.0;
            self.word.unreachable_fraction = Some(0.0);
            self.members.says(self.word);
            self.members.push(HERALDS);
        }
    }

    pub fn tick(&mut self, at: At) {
        self.members.tick(at.wall);
        if let Some(shares) = &mut self.quota
            && at.steady >= shares.next_tick()
        {
            shares.tick(at.steady);
        }
        if at.steady >= self.next_round {
            self.next_round = at.steady + self.period;
            self.members.push(PUSHES);
            self.look(at);
        }
        self.pass_on();
    }

    /// From now on nothing new is taken.
    pub fn leave(&mut self, at: At) {
        self.members.leave(at.wall);
        if let Some(shares) = &mut self.quota {
            shares.leave(at.steady);
        }
        self.pass_on();
    }

    // ---- what comes of it ----

    /// After how long `tick` is to be called.
    pub fn wait(&self, at: At) -> Duration {
        let rest = [Some(self.next_round), self.quota.as_ref().map(QuotaManager::next_tick)];
        let rest = rest.into_iter().flatten().map(|next| next - at.steady);
        rest.fold(self.members.next_tick() - at.wall, Duration::min)
    }

    pub fn next_out(&mut self, at: At) -> Option<(SocketAddr, Datagram)> {
        self.members.next_out(at.wall)
    }

    /// What may be used of a limit at this moment; none where it is not shared.
    pub fn share(&self, at: At, limit: &str) -> Option<QuotaShare> {
        let shares = self.quota.as_ref()?;
        shares.config().find(limit).map(|limit| shares.share(at.steady, limit))
    }

    pub fn want(&mut self, limit: &str, amount: f64) {
        if let Some(shares) = &mut self.quota
            && let Some(limit) = shares.config().find(limit)
        {
            shares.set_demand(limit, amount);
        }
    }

    /// What all said, by the last look, which is a period old at most.
    pub fn common(&self) -> Option<AggregatedLoad> {
        self.common
    }

    pub fn word(&self) -> PeerLoadReport {
        self.word
    }

    /// FaultScope the trouble is that calls have here, by the last look.
    pub fn whose(&self) -> FaultScope {
        self.whose
    }

    pub fn absurd(&self) -> u64 {
        self.board.invalid_reports
    }

    pub fn check(&self, at: At) -> Result<(), crate::invariant::InvariantViolation> {
        self.members.check()?;
        self.quota.as_ref().map_or(Ok(()), |shares| shares.check_invariants(at.steady))
    }

    /// All limits with their shares, in the order of the terms.
    pub fn all_shares(&self, at: At) -> Vec<(String, QuotaShare)> {
        let Some(shares) = &self.quota else { return Vec::new() };
        let limits = shares.config().limits.iter().enumerate();
        limits.map(|(i, limit)| (limit.name.to_string(), shares.share(at.steady, LimitId(i)))).collect()
    }

    /// For an operator.
    pub fn shown(&self, at: At) -> Shown {
        let left = |until: Timestamp| ((until - at.steady).us() / 1000).min(u64::from(u32::MAX)) as u32;
        let mut shown = Shown {
            shut: !self.breaker.is_closed(),
            whose: self.whose,
            word: self.word,
            common: self.common,
            ..Shown::default()
        };
        let Some(shares) = &self.quota else { return shown };
        shown.divider = shares.allocator(at.steady);
        shown.given =
            shares.allocation(at.steady, LimitId(0)).map(|all| (all.granted as f32, all.lessees as u32));
        for (i, limit) in shares.config().limits.iter().enumerate() {
            let share = shares.share(at.steady, LimitId(i));
            let amounts = (share.amount as f32, share.guaranteed as f32);
            shown.shares.push((limit.name, amounts.0, amounts.1, share.expires.map(left)));
        }
        shown
    }

    // ---- inside ----

    fn look(&mut self, at: At) {
        let common = self.board.aggregate(at.steady);
        self.common = common;
        self.whose = FaultScope::of(&self.word, common.as_ref());
        let told = common.map(|common| {
            // Only who is shut needs to know whether it is chosen.
            PeerView {
                designated: !self.breaker.is_closed() && self.is_chosen(at),
                mostly_unreachable: common.is_unreachable(),
            }
        });
        self.breaker.set_peer_view(at.wall, told);
    }

    fn is_chosen(&self, at: At) -> bool {
        let all = self.members.alive().map(|(name, site)| WeightedMember { name, site, weight: 1.0 });
        let round = at.wall.us() / CHOSEN_FOR_US;
        let me = self.members.me().name;
        select_across_sites("ledger", round, DESIGNATED_PROBERS, all).iter().any(|chosen| chosen.name == me)
    }

    fn pass_on(&mut self) {
        let (Some(shares), Some(print)) = (&mut self.quota, self.print) else { return };
        while let Some((to, message)) = shares.next_message() {
            // Who is not known yet is not reached, like anybody whose datagram is lost.
            let _ = self.members.send_word(to, Body::Quota { fingerprint: print, message });
        }
    }
}
