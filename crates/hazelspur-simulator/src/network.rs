//! Datagrams between servers. Times are those of a network within a city: a base with an exponential tail,
//! which reorders by itself. Loss is by chance and independent; a partition is a rule over sender and receiver.
//! Sites may lie in regions, with a lag and a loss of their own between these; there is one region unless told
//! otherwise.

use hazelspur::Duration;
use hazelspur::pcg::Pcg;

/// One-way latency within a site, in ms.
const LATENCY_WITHIN_SITE_MS: f64 = 0.2;
/// One-way latency from site to site, in ms.
const LATENCY_BETWEEN_SITES_MS: f64 = 1.0;
/// Mean of the exponential latency tail, in ms.
const MEAN_LATENCY_TAIL_MS: f64 = 0.1;

/// Which links carry nothing: by number and site of sender and receiver.
pub type Partition = fn(from: usize, to: usize) -> bool;

/// The links between all servers.
#[derive(Clone)]
pub struct Network {
    pub sites: usize,
    /// Site and region of a server go round by its number, so that each region has as many sites.
    pub regions: usize,
    /// One way, from region to region; in place of what is usual from site to site.
    pub region_latency: Duration,
    /// The share of datagrams lost from region to region, besides `loss`.
    pub region_loss: f64,
    /// Shares of datagrams.
    pub loss: f64,
    pub duplicated: f64,
    pub partition: Option<Partition>,
}

impl Network {
    /// A healthy network of one region.
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

    /// The site of a server.
    pub fn site(&self, server: usize) -> usize {
        server % self.sites.max(1)
    }

    /// The region of a server.
    pub fn region(&self, server: usize) -> usize {
        self.site(server) % self.regions.max(1)
    }

    /// After how long each copy arrives; none where it is lost.
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
