//! What is heard: from a member itself, from others about it, and about this process.

use super::{ACCUSERS, AHEAD_MS, Entry, Event, FRESH, Members, RELAYS, Relay};
use crate::anti_replay::AntiReplayWindow;
use crate::claim::{Claim, Says};
use crate::names::{Generation, Incarnation, MemberName};
use crate::picture::Standing;
use crate::talk::{Body, Datagram, Dropped};
use hazelspur::Timestamp;

impl Members {
    /// The sender's own word: it lives, whatever others say.
    pub(super) fn hear_itself(&mut self, now: Timestamp, came: &Datagram) -> Result<(), Dropped> {
        let (name, from) = (came.from.name, &came.from);
        if let Some(entry) = self.table.get_mut(&name) {
            let (known, gone) = (entry.claim.generation, entry.said_left);
            if known > from.generation || known == from.generation && gone {
                return Err(Dropped::Old);
            }
            if known == from.generation && !entry.seen.accept(came.number) {
                return Err(Dropped::Old);
            }
        }
        self.merge(now, from, name);
        let Some(entry) = self.table.get_mut(&name) else { return Err(Dropped::Old) };
        if entry.heard.is_none() || entry.seen.accept(came.number) {
            entry.seen.accept(came.number);
        }
        (entry.heard, entry.word, entry.by) = (Some(now), now, name);
        entry.said_left |= from.says == Says::Left;
        let denied = entry.standing == Standing::Left && !entry.said_left;
        let returned = entry.standing == Standing::Lost;
        if denied || returned || entry.standing == Standing::Suspected {
            self.returned += usize::from(returned);
            // It is told of the suspicion with the next datagram, and refutes it for all others.
            self.stands(now, name, Standing::Alive);
            self.tell(Event::Back(name));
        }
        Ok(())
    }

    pub(super) fn possible(&self, now: Timestamp, claim: &Claim) -> bool {
        claim.generation.0 <= now.us() / 1000 + AHEAD_MS
    }

    /// Hearsay.
    pub(super) fn merge(&mut self, now: Timestamp, claim: &Claim, by: MemberName) {
        if !self.possible(now, claim) {
            self.figures.absurd += 1;
            return;
        }
        if claim.name == self.me.name {
            return self.merge_of_me(claim);
        }
        let Some(entry) = self.table.get_mut(&claim.name) else {
            return self.meet(now, claim, by);
        };
        if claim.beats(&entry.claim) {
            let (restarted, was) = (claim.generation > entry.claim.generation, entry.standing);
            if restarted {
                (entry.seen, entry.heard, entry.said_left) = (AntiReplayWindow::default(), None, false);
            }
            (entry.claim, entry.by, entry.word) = (*claim, by, now);
            self.news.add(claim.name);
            self.stand_by_claim(now, claim, by, was, restarted);
            return;
        }
        let same = (claim.generation, claim.incarnation) == (entry.claim.generation, entry.claim.incarnation);
        let (Says::Suspected(accuser), true) = (claim.says, same) else { return };
        let fresh = entry.heard.is_some_and(|heard| now - heard < self.terms.period.scaled(FRESH as f64));
        match entry.standing {
            Standing::Suspected if !entry.accusers.contains(&accuser) && entry.accusers.len() <= ACCUSERS => {
                entry.accusers.push(accuser);
                // This accusation is what is news, and passed on.
                entry.claim.says = claim.says;
                self.news.add(claim.name);
                self.set_end(now, claim.name);
            }
            Standing::Alive if !fresh && accuser != self.me.name => {
                self.suspect(now, claim.name, accuser);
            }
            _ => {}
        }
    }

    pub(super) fn stand_by_claim(
        &mut self,
        now: Timestamp,
        claim: &Claim,
        by: MemberName,
        was: Standing,
        restarted: bool,
    ) {
        let name = claim.name;
        match claim.says {
            Says::Alive => {
                self.stands(now, name, Standing::Alive);
                match was {
                    _ if restarted => self.tell(Event::Restarted(name)),
                    Standing::Suspected | Standing::Lost => self.tell(Event::Back(name)),
                    _ => {}
                }
            }
            Says::Suspected(accuser) => {
                let entry = &self.table[&name];
                let fresh = self.terms.period.scaled(FRESH as f64);
                if by != name && entry.heard.is_some_and(|heard| now - heard < fresh) {
                    // Only just heard: it will refute this; until then our own ears count.
                    return self.stands(now, name, Standing::Alive);
                }
                if was != Standing::Lost || restarted {
                    self.suspect(now, name, accuser);
                }
            }
            Says::Leaving => {
                self.stands(now, name, Standing::Leaving);
                self.tell(Event::Leaving(name));
            }
            Says::Left => {
                self.stands(now, name, Standing::Left);
                self.tell(Event::Left(name));
            }
        }
    }

    /// A name that was not known.
    pub(super) fn meet(&mut self, now: Timestamp, claim: &Claim, by: MemberName) {
        if self.table.len() >= self.room() && !self.make_room() {
            self.figures.no_room += 1;
            return;
        }
        let entry = Entry {
            claim: *claim,
            by,
            word: now,
            standing: Standing::Alive,
            since: now,
            heard: None,
            seen: AntiReplayWindow::default(),
            said_left: false,
            accusers: Vec::new(),
            until: Timestamp::default(),
            called: false,
        };
        self.table.insert(claim.name, entry);
        self.all.push(claim.name);
        self.news.add(claim.name);
        let at = self.chance.draw() as usize % (self.round.len() + 1);
        if self.round.len() < self.room() {
            self.round.insert(at, claim.name);
        }
        if claim.says == Says::Alive {
            self.tell(Event::Joined(claim.name));
        }
        self.stand_by_claim(now, claim, by, Standing::Alive, false);
    }

    /// For those who are here and for as many who are not any more.
    pub(super) fn room(&self) -> usize {
        2 * self.terms.most
    }

    /// Forgets who left first, then who was lost first.
    pub(super) fn make_room(&mut self) -> bool {
        let gone = |entry: &Entry| matches!(entry.standing, Standing::Left | Standing::Lost);
        let oldest = self.table.iter().filter(|(_, entry)| gone(entry));
        let oldest = oldest.min_by_key(|(_, entry)| (entry.standing, entry.since)).map(|(name, _)| *name);
        oldest.map(|name| self.forget(name)).is_some()
    }

    pub(super) fn forget(&mut self, name: MemberName) {
        if let Some(entry) = self.table.remove(&name) {
            self.suspects.remove(&(entry.until, name));
            self.lost.remove(&name);
            self.all.retain(|other| *other != name);
            self.news.remove(name);
        }
    }

    /// What others say of this process: where it is wrong, a greater incarnation says so, or a new generation
    /// where this one is said to be over.
    pub(super) fn merge_of_me(&mut self, claim: &Claim) {
        if claim.generation < self.me.generation {
            return;
        }
        let newer = claim.generation > self.me.generation;
        let same_word = claim.says == self.me.says && claim.incarnation == self.me.incarnation;
        if !newer && (claim.incarnation < self.me.incarnation || same_word || self.me.says == Says::Left) {
            return;
        }
        let own = Claim { says: claim.says, ..self.me };
        let wrong = newer || claim.incarnation > self.me.incarnation || own.beats(&self.me);
        if !wrong {
            return;
        }
        let over = claim.says == Says::Left || claim.incarnation.0 == u32::MAX;
        if newer || over {
            if self.bumps_left == 0 {
                return;
            }
            self.bumps_left -= 1;
            self.me.generation = Generation(claim.generation.0.saturating_add(1));
            self.me.incarnation = Incarnation(0);
        } else {
            self.me.incarnation = Incarnation(claim.incarnation.0 + 1);
        }
        self.figures.refuted += 1;
        // Once a period: one who lies about us in a stream is not to make us doubt all that we see.
        if !std::mem::replace(&mut self.refuted, true) {
            self.doubt.blamed();
        }
        self.news.add(self.me.name);
        self.tell(Event::Refuted(self.me.incarnation));
    }

    pub(super) fn take_body(&mut self, now: Timestamp, came: &Datagram) {
        let (from, at) = (came.from.name, came.from.at);
        match came.body {
            Body::Ping { number, to } if to.is_none_or(|to| to == self.me.name) => {
                self.send(at, Some(from), Body::Ack { number });
            }
            Body::Ack { number } => self.answered(now, number),
            Body::PingFor { number, to, at: target } => {
                self.relays.retain(|relay| relay.until > now);
                if self.relays.len() < RELAYS {
                    let own = self.chance.draw();
                    let until = now + self.terms.period;
                    self.relays.push(Relay { number: own, asker: at, asked: number, until });
                    self.send(target, Some(to), Body::Ping { number: own, to: Some(to) });
                }
            }
            Body::Ask { after } if self.pages_left > 0 => {
                self.pages_left -= 1;
                // Until it is filled, the page says where it begins.
                self.send(at, Some(from), Body::Page { next: after });
            }
            Body::Page { next } if self.reading => {
                self.list_after = next;
                self.reading = next.is_some();
                if self.reading {
                    self.ask_for_list(None);
                } else {
                    self.listed = true;
                    self.read = (self.table.len(), self.periods);
                }
            }
            _ => {}
        }
        if self.reading && !self.asked {
            self.ask_for_list(Some(from));
        }
    }

    pub(super) fn answered(&mut self, now: Timestamp, number: u32) {
        if self.probe.as_ref().is_some_and(|probe| probe.number == number) {
            self.probe = None;
            self.doubt.answered();
        } else if let Some(i) = self.relays.iter().position(|r| r.number == number && r.until > now) {
            let relay = self.relays.swap_remove(i);
            self.send(relay.asker, None, Body::Ack { number: relay.asked });
        }
    }

    /// Of this one, or of any that is alive: the newcomers' questions spread over all.
    pub(super) fn ask_for_list(&mut self, of: Option<MemberName>) {
        let any = self.pick(1, |entry| entry.standing == Standing::Alive).pop();
        if let Some(name) = any.or(of) {
            self.asked = true;
            self.send_to(name, Body::Ask { after: self.list_after });
        }
    }
}
