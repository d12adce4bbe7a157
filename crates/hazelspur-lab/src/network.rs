//! Datagrams between servers. Times are those of a network within a city: a base with an exponential tail,
//! which reorders by itself. Loss is by chance and independent; a cut is a rule over sender and receiver.

use hazelspur::Span;
use hazelspur::pcg::Pcg;

/// One way, within a site and from site to site, in ms; the tail's mean in ms.
const WITHIN_MS: f64 = 0.2;
const ACROSS_MS: f64 = 1.0;
const TAIL_MS: f64 = 0.1;

/// Which links carry nothing: by number and site of sender and receiver.
pub type Cut = fn(from: usize, to: usize) -> bool;

#[derive(Clone)]
pub struct Network {
    pub sites: usize,
    /// Shares of datagrams.
    pub loss: f64,
    pub doubled: f64,
    pub cut: Option<Cut>,
}

impl Network {
    pub fn new(sites: usize) -> Self {
        Self { sites, loss: 0.0, doubled: 0.0, cut: None }
    }

    pub fn site(&self, of: usize) -> usize {
        of % self.sites.max(1)
    }

    /// After how long each copy arrives; none where it is lost.
    pub fn carry(&self, chance: &mut Pcg, from: usize, to: usize) -> Vec<Span> {
        if self.cut.is_some_and(|cut| cut(from, to)) {
            return Vec::new();
        }
        let base = if self.site(from) == self.site(to) { WITHIN_MS } else { ACROSS_MS };
        let copies = 1 + usize::from(self.doubled > 0.0 && chance.unit() < self.doubled);
        let mut arrive = Vec::with_capacity(copies);
        for _ in 0..copies {
            let lost = self.loss > 0.0 && chance.unit() < self.loss;
            let tail = -TAIL_MS * (1.0 - chance.unit()).ln();
            if !lost {
                arrive.push(Span::from_us(((base + tail) * 1000.0) as u64));
            }
        }
        arrive
    }
}
