//! What time brings: probes, help, the end of suspicions, and calls to those who are missing.

use super::*;

impl Members {
    pub(super) fn period(&mut self, now: Timestamp) {
        self.periods += 1;
        (self.pages_left, self.shows_left, self.bumps_left) = (PAGES, SHOWS, BUMPS);
        self.next_period = now + self.terms.period.scaled(self.stretch());
        if let Some(probe) = self.probe.take() {
            self.unanswered(now, probe.of);
        }
        self.forget_old(now);
        if self.me.says != Says::Left {
            self.next_probe(now);
            self.call_the_missing();
        }
        // What was asked and not answered is asked again.
        (self.asked, self.refuted) = (false, false);
        let grown = self.table.len() as f64 > self.read.0 as f64 * (1.0 + GROWN);
        self.reading |= self.listed && grown && self.periods >= self.read.1 + READ_EVERY;
        if self.reading {
            self.ask_for_list(None);
        }
        if self.news.waiting() > 0 {
            self.gossip_at = Some(now + self.terms.period.scaled(0.5));
        }
    }

    /// Waits grow with the doubt, periods only so far that news still goes round.
    pub(super) fn stretch(&self) -> f64 {
        self.doubt.factor().min(LONGEST_PERIOD)
    }

    pub(super) fn next_probe(&mut self, now: Timestamp) {
        let probed = |standing| !matches!(standing, Standing::Left | Standing::Lost);
        let mut fresh_round = false;
        let of = loop {
            match self.round.pop() {
                Some(name) if self.table.get(&name).is_some_and(|e| probed(e.standing)) => break name,
                Some(_) => {}
                None if fresh_round => return,
                None => {
                    fresh_round = true;
                    self.round = self.table.keys().copied().collect();
                    for i in (1..self.round.len()).rev() {
                        self.round.swap(i, self.chance.draw() as usize % (i + 1));
                    }
                }
            }
        };
        let number = self.chance.draw();
        // Time is left for the helpers.
        let wait = (ANSWER_PART * self.doubt.factor()).min(0.6 * self.stretch());
        let wait = self.terms.period.scaled(wait);
        self.probe = Some(Probe { of, number, help_at: Some(now + wait) });
        self.figures.probes += 1;
        self.send_to(of, Body::Ping { number, to: Some(of) });
    }

    pub(super) fn ask_for_help(&mut self) {
        let Some(probe) = &mut self.probe else { return };
        probe.help_at = None;
        let (of, number) = (probe.of, probe.number);
        let Some(at) = self.table.get(&of).map(|entry| entry.claim.at) else { return };
        let helpers = self.pick(HELPERS, |entry| entry.claim.name != of && entry.standing == Standing::Alive);
        helpers.into_iter().for_each(|helper| self.send_to(helper, Body::PingFor { number, to: of, at }));
    }

    pub(super) fn unanswered(&mut self, now: Timestamp, of: MemberName) {
        self.figures.unanswered += 1;
        self.doubt.blamed();
        // A process that hears nobody, or stood still, suspects nobody.
        if self.doubt.cut_off(now) || self.doubt.doubtful(now) && self.awake + self.terms.period > now {
            return;
        }
        let me = self.me.name;
        match self.table.get_mut(&of).map(|entry| entry.standing) {
            Some(Standing::Alive) => {
                if let Some(entry) = self.table.get_mut(&of) {
                    entry.claim.says = Says::Suspected(me);
                    (entry.word, entry.by) = (now, me);
                }
                self.news.add(of);
                self.suspect(now, of, me);
            }
            Some(Standing::Suspected) => {
                let entry = self.table.get_mut(&of).expect("looked up above");
                if !entry.accusers.contains(&me) && entry.accusers.len() <= ACCUSERS {
                    entry.accusers.push(me);
                    entry.claim.says = Says::Suspected(me);
                    self.news.add(of);
                    self.set_end(now, of);
                }
            }
            // It said that it goes, and has.
            Some(Standing::Leaving) => {
                self.stands(now, of, Standing::Left);
                self.tell(Event::Left(of));
            }
            _ => {}
        }
    }

    pub(super) fn end_suspicions(&mut self, now: Timestamp) {
        while let Some((at, name)) = self.suspects.first().copied().filter(|(at, _)| *at <= now) {
            if self.doubt.cut_off(now) || self.doubt.doubtful(now) {
                // Not now: nobody is given up by one who can't be sure of himself.
                self.suspects.remove(&(at, name));
                self.look_again(now, name, false);
                continue;
            }
            if self.table.get(&name).is_some_and(|entry| !entry.called) {
                // The last call: whoever can be heard from here is not given up for what news did not arrive.
                self.look_again(now, name, true);
                let number = self.chance.draw();
                self.send_to(name, Body::Ping { number, to: Some(name) });
                continue;
            }
            self.stands(now, name, Standing::Lost);
            self.tell(Event::Lost(name));
        }
    }

    fn look_again(&mut self, now: Timestamp, name: MemberName, called: bool) {
        let Some(entry) = self.table.get_mut(&name) else { return };
        self.suspects.remove(&(entry.until, name));
        (entry.until, entry.called) = (now + self.terms.period, called);
        self.suspects.insert((entry.until, name));
    }

    pub(super) fn woke(&mut self, now: Timestamp, stood: Duration) {
        self.awake = now;
        self.probe = None;
        let moved = std::mem::take(&mut self.suspects);
        for (at, name) in moved {
            if let Some(entry) = self.table.get_mut(&name) {
                entry.until = at + stood;
                self.suspects.insert((entry.until, name));
            }
        }
        if stood > self.terms.remember.scaled(0.5) {
            // Others may have come and gone more than once: what is known is read anew.
            (self.listed, self.reading, self.list_after) = (false, true, None);
        }
    }

    pub(super) fn forget_old(&mut self, now: Timestamp) {
        let remember = self.terms.remember;
        let gone = |e: &Entry| matches!(e.standing, Standing::Left | Standing::Lost);
        let old: Vec<MemberName> = self
            .table
            .iter()
            .filter(|(_, e)| gone(e) && now - e.since > remember)
            .map(|(name, _)| *name)
            .collect();
        old.into_iter().for_each(|name| self.forget(name));
    }

    /// Contact points while nobody is known, one now and then later; and one of the lost each period, so that
    /// parts that are apart find each other again.
    pub(super) fn call_the_missing(&mut self) {
        let nobody = !self.listed || self.condition == Condition::CutOff;
        let known = |at: SocketAddr| {
            self.table
                .values()
                .any(|e| e.claim.at == at && e.standing != Standing::Lost && e.standing.may_serve())
        };
        let contacts: Vec<SocketAddr> =
            self.terms.contacts.iter().copied().filter(|at| *at != self.me.at && !known(*at)).collect();
        let now_and_then = self.periods.is_multiple_of(CONTACT_EVERY);
        let tried: Vec<SocketAddr> = match contacts.len() {
            0 => Vec::new(),
            _ if nobody => contacts,
            n if now_and_then => vec![contacts[self.chance.draw() as usize % n]],
            _ => Vec::new(),
        };
        for at in tried {
            let number = self.chance.draw();
            self.send(at, None, Body::Ping { number, to: None });
        }
        let calls = 1 + (2 * std::mem::take(&mut self.returned)).min(MAX_CALLS);
        for _ in 0..calls.min(self.lost.len()) {
            let at = self.chance.draw() as usize % self.lost.len();
            let Some(lost) = self.lost.iter().nth(at).copied() else { break };
            let number = self.chance.draw();
            self.send_to(lost, Body::Ping { number, to: Some(lost) });
        }
    }
}
