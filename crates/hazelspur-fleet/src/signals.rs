//! What servers tell each other of what all depend on, and what follows from many such words. Only what a
//! server says of itself counts, so that one liar is one voice; of each site the middle is taken, and of the
//! sites the middle again, so that one server, one bad core or one site moves the result by one place and no
//! further. Nothing older than a stated age counts.

use crate::names::{MemberName, SiteName};
use hazelspur::{Duration, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Voices below which nothing is concluded.
const FEWEST: usize = 3;
/// A pace past this is nonsense: calls end long before.
const SLOWEST: f32 = 1000.0;
/// Calls that take so many times the usual are a trouble.
const SLOW: f64 = 2.0;
/// Below this the others have none.
const WELL: f64 = 1.5;

/// One server's word on itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// How long calls to what all share take, over the best that is remembered; zero where not known.
    pub pace: f32,
    /// Share of its last calls that reached nobody, 0 to 1; none where it made none lately.
    pub unreached: Option<f32>,
    /// Share of its last requests that it refused, 0 to 1.
    pub refused: f32,
}

impl Word {
    /// Whether it can be true.
    pub fn sound(&self) -> bool {
        let share = |n| (0.0f32..=1.0).contains(&n);
        (self.pace == 0.0 || (0.001..=SLOWEST).contains(&self.pace))
            && self.unreached.is_none_or(share)
            && share(self.refused)
    }
}

/// What the voices of the last seconds come to.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Common {
    /// None where too few know.
    pub pace: Option<f64>,
    pub unreached: f64,
    pub refused: f64,
    pub voices: usize,
    pub sites: usize,
    /// Age of the oldest that counted, in ms.
    pub oldest_ms: u64,
}

/// Whose a trouble is, as far as one can tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Whose {
    /// There is none here.
    #[default]
    None,
    /// Only here: this server, its link, its cores.
    Mine,
    /// With all.
    Shared,
    /// Too few voices, or neither.
    Unknown,
}

impl Whose {
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Mine => "mine",
            Self::Shared => "shared",
            Self::Unknown => "unknown",
        }
    }
}

/// The last word of each server, with its age.
#[derive(Clone, Debug)]
pub struct Board {
    /// No word older than this counts.
    age: Duration,
    /// Servers of whom a word is kept.
    most: usize,
    words: BTreeMap<MemberName, (SiteName, Timestamp, Word)>,
    /// Words that could not be true.
    pub absurd: u64,
}

impl Board {
    pub fn new(most: usize, age: Duration) -> Self {
        Self { age, most, words: BTreeMap::new(), absurd: 0 }
    }

    /// A word that came from that server itself, just now.
    pub fn heard(&mut self, now: Timestamp, from: MemberName, site: SiteName, word: Word) {
        if !word.sound() {
            self.absurd += 1;
            // What it said before says nothing of it any more.
            self.words.remove(&from);
            return;
        }
        if self.words.len() >= self.most && !self.words.contains_key(&from) {
            let age = self.age;
            self.words.retain(|_, (_, at, _)| now - *at <= age);
            if self.words.len() >= self.most {
                return;
            }
        }
        self.words.insert(from, (site, now, word));
    }

    /// `None` where fewer than three have said anything lately.
    pub fn common(&self, now: Timestamp) -> Option<Common> {
        let fresh = self.words.values().filter(|(_, at, _)| now - *at <= self.age);
        let mut sites: BTreeMap<SiteName, Vec<Word>> = BTreeMap::new();
        let (mut voices, mut oldest) = (0, Duration::ZERO);
        for (site, at, word) in fresh {
            sites.entry(*site).or_default().push(*word);
            voices += 1;
            oldest = oldest.max(now - *at);
        }
        let over_sites = |figure: &dyn Fn(&Word) -> Option<f32>| {
            let of_site =
                |words: &Vec<Word>| middle(words.iter().filter_map(figure).map(f64::from).collect());
            middle(sites.values().filter_map(of_site).collect())
        };
        let paced = sites.values().flatten().filter(|word| word.pace > 0.0).count();
        (voices >= FEWEST).then(|| Common {
            pace: over_sites(&|word| (word.pace > 0.0).then_some(word.pace)).filter(|_| paced >= FEWEST),
            unreached: over_sites(&|word| word.unreached).unwrap_or(0.0),
            refused: over_sites(&|word| Some(word.refused)).unwrap_or(0.0),
            voices,
            sites: sites.len(),
            oldest_ms: oldest.us() / 1000,
        })
    }

    /// Whose trouble it is that calls are slow or reach nobody here.
    pub fn whose(&self, now: Timestamp, mine: &Word) -> Whose {
        let bad_here = f64::from(mine.pace) >= SLOW || mine.unreached.is_some_and(|n| n >= 0.5);
        if !bad_here {
            return Whose::None;
        }
        let Some(common) = self.common(now) else { return Whose::Unknown };
        let slow = common.pace.is_some_and(|pace| pace >= SLOW);
        let well = common.pace.is_none_or(|pace| pace < WELL);
        match () {
            () if slow || common.unreached >= 0.5 => Whose::Shared,
            () if well && common.unreached < 0.2 => Whose::Mine,
            () => Whose::Unknown,
        }
    }
}

/// The middle one; of an even number the mean of the two in the middle.
pub fn middle(mut of: Vec<f64>) -> Option<f64> {
    of.sort_by(f64::total_cmp);
    let at = of.len() / 2;
    let upper = *of.get(at)?;
    Some(if of.len().is_multiple_of(2) { (of[at - 1] + upper) / 2.0 } else { upper })
}

/// How long calls take now over the best that is remembered: the best of so many windows, as the paper
/// remembers the best power of its last cycles, so that what is slow for good becomes the usual.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    best: std::collections::VecDeque<f64>,
    window: f64,
    began: Timestamp,
}

const WINDOW: Duration = Duration::from_ms(8000);
const WINDOWS: usize = 16;

impl Pace {
    /// The usual call takes so many seconds now; the figure over the best.
    pub fn seen(&mut self, now: Timestamp, secs: f64) -> f32 {
        if !(secs.is_finite() && secs > 0.0) {
            return 0.0;
        }
        if self.window == 0.0 || now - self.began >= WINDOW {
            if self.window > 0.0 {
                self.best.push_back(self.window);
            }
            if self.best.len() > WINDOWS {
                self.best.pop_front();
            }
            (self.window, self.began) = (secs, now);
        }
        self.window = self.window.min(secs);
        let best = self.best.iter().copied().fold(self.window, f64::min);
        (secs / best).clamp(0.001, f64::from(SLOWEST)) as f32
    }
}
