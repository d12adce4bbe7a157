//! Model of the network between servers: draws which copies of a datagram arrive, and after which delay.
//! Latency is that of a network within a city, a constant plus an exponentially distributed tail, which
//! reorders datagrams. Losses are random and independent; a partition is a rule on sender and receiver. Sites
//! are grouped into regions, and datagrams between regions have a latency and an additional loss of their
//! own.

use hazelspur::Duration;
use hazelspur::pcg::Pcg;

/// One-way latency within a site without its tail, in ms.
const LATENCY_WITHIN_SITE_MS: f64 = 0.2;
/// One-way latency between two sites of a region without its tail, in ms.
const LATENCY_BETWEEN_SITES_MS: f64 = 1.0;
/// Mean of the exponentially distributed tail of each latency, in ms.
const MEAN_LATENCY_TAIL_MS: f64 = 0.1;

/// A rule that returns true for each link that carries nothing, by the numbers of sending and receiving
/// server.
pub type Partition = fn(from: usize, to: usize) -> bool;

/// The links between all servers.
#[derive(Clone)]
pub struct Network {
    /// Number of sites; servers are assigned to sites round-robin by their numbers.
    pub sites: usize,
    /// Number of regions; sites are assigned to regions round-robin by their numbers.
    pub regions: usize,
    /// One-way latency between regions without its tail; it replaces the latency between sites.
    pub region_latency: Duration,
    /// Fraction of datagrams between regions that are lost in addition to `loss`.
    pub region_loss: f64,
    /// Fraction of all datagrams that are lost.
    pub loss: f64,
    /// Fraction of all datagrams that are sent twice.
    pub duplicated: f64,
    /// Links that carry nothing at present; `None` if all links work.
    pub partition: Option<Partition>,
}

impl Network {
    /// Returns a network of one region that loses and duplicates nothing.
    pub fn new(sites: usize) -> Self {
        let region_latency = Duration::from_us((LATENCY_BETWEEN_SITES_MS * 1000.0) as u64);
        Self {
            sites,
            regions: 1,
            region_latency,
            region_loss: 0.0,
            loss: 0.0,
            duplicated: 0.0,
            partition: None,
        }
    }

    /// Returns the site of a server.
    pub fn site(&self, server: usize) -> usize {
        server % self.sites.max(1)
    }

    /// Returns the region of a server.
    pub fn region(&self, server: usize) -> usize {
        self.site(server) % self.regions.max(1)
    }

    /// Draws the delay of each copy of a datagram that arrives; the result is empty if none arrives.
    pub fn draw_delays(&self, random: &mut Pcg, from: usize, to: usize) -> Vec<Duration> {
        if self.partition.is_some_and(|partition| partition(from, to)) {
            return Vec::new();
        }
        let crosses_regions = self.region(from) != self.region(to);
        let base = match () {
            () if crosses_regions => self.region_latency.secs() * 1000.0,
            () if self.site(from) == self.site(to) => LATENCY_WITHIN_SITE_MS,
            () => LATENCY_BETWEEN_SITES_MS,
        };
        let loss =
            if crosses_regions { 1.0 - (1.0 - self.loss) * (1.0 - self.region_loss) } else { self.loss };
        let copies = 1 + usize::from(self.duplicated > 0.0 && random.draw_fraction() < self.duplicated);
        let mut delays = Vec::with_capacity(copies);
        for _ in 0..copies {
            let lost = loss > 0.0 && random.draw_fraction() < loss;
            let tail = -MEAN_LATENCY_TAIL_MS * (1.0 - random.draw_fraction()).ln();
            if !lost {
                delays.push(Duration::from_us(((base + tail) * 1000.0) as u64));
            }
        }
        delays
    }
}
