//! Lines about the fleet: one for each change of this server's own condition, one a second at most for
//! changes of others, one a minute at most for datagrams that were dropped.

use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::{Condition, Event, Members, Size, Standing, talk::Dropped};
use std::collections::BTreeMap;

const EACH: Duration = Duration::from_ms(1000);
const DROPS_EACH: Duration = Duration::from_ms(60_000);
/// Names in one line.
const MAX_NAMES: usize = 4;

#[derive(Default)]
pub struct Changes {
    /// How many changed in which way, and the first of their names.
    gathered: BTreeMap<&'static str, (usize, Vec<String>)>,
    told: Timestamp,
    dropped: BTreeMap<Dropped, u64>,
    drops_told: Timestamp,
    conditions: Vec<(Condition, Condition)>,
}

impl Changes {
    pub fn note(&mut self, event: Event) {
        let (kind, of) = match event {
            Event::Condition(from, to) => return self.conditions.push((from, to)),
            Event::Joined(of) => ("joined", of.to_string()),
            Event::Restarted(of) => ("restarted", of.to_string()),
            Event::Suspected(of, _) => ("suspected", of.to_string()),
            Event::Back(of) => ("back", of.to_string()),
            Event::Lost(of) => ("lost", of.to_string()),
            Event::Leaving(of) => ("leaving", of.to_string()),
            Event::Left(of) => ("left", of.to_string()),
            Event::Refuted(_) => ("refuted", "-".into()),
            Event::Twin(at) => ("twin", at.to_string()),
        };
        let (count, names) = self.gathered.entry(kind).or_default();
        *count += 1;
        if names.len() < MAX_NAMES {
            names.push(of);
        }
    }

    pub fn dropped(&mut self, why: Dropped) {
        *self.dropped.entry(why).or_default() += 1;
    }

    /// Says what is to be said by now.
    pub fn tell(&mut self, now: Timestamp, members: &Members) {
        let Size { least, most } = members.size(None);
        for (from, to) in std::mem::take(&mut self.conditions) {
            let of = |standing| members.standings().filter(|(_, other)| *other == standing).count();
            log::info!(from = from.name(), to = to.name(), least, most, alive = of(Standing::Alive),
                suspected = of(Standing::Suspected), lost = of(Standing::Lost); "fleet condition");
        }
        if !self.gathered.is_empty() && now - self.told >= EACH {
            self.told = now;
            for (kind, (count, names)) in std::mem::take(&mut self.gathered) {
                let names = names.join(" ");
                match kind {
                    "twin" => log::warn!(at = names, count; "fleet: another server goes by our name"),
                    _ => log::info!(count, names, least, most; "fleet {kind}"),
                }
            }
        }
        if !self.dropped.is_empty() && now - self.drops_told >= DROPS_EACH {
            self.drops_told = now;
            let dropped = std::mem::take(&mut self.dropped);
            let each: Vec<String> =
                dropped.iter().map(|(why, count)| format!("{}:{count}", why.name())).collect();
            log::warn!(count = dropped.values().sum::<u64>(), each = each.join(" "); "fleet datagrams dropped");
        }
    }
}
