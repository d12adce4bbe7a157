//! Usage of the cores at the last timer ticks: how often all cores were taken, and how many running requests
//! waited for disk.

use crate::gauges::RuntimeGauges;
use crate::statistics::{SAMPLE_CAPACITY, SampleWindow};

/// Usage of the cores at the last timer ticks.
#[derive(Clone, Debug, Default)]
pub(crate) struct CoreUsage {
    /// Number of running requests less the gauge of requests on the cores; negative where reads and
    /// handshakes occupy the cores.
    off_core: SampleWindow<f64, SAMPLE_CAPACITY>,
    /// 1 for a tick with all cores taken, 0 otherwise.
    saturated: SampleWindow<f64, SAMPLE_CAPACITY>,
}

impl CoreUsage {
    /// Records one tick. Without a gauge all running requests count as on the cores.
    pub(crate) fn record(&mut self, gauges: RuntimeGauges, running: f64, cores: f64) {
        if let Some(on_cores) = gauges.requests_on_cores {
            self.off_core.push(running - on_cores);
        }
        let on_cores = gauges.requests_on_cores.unwrap_or(running);
        self.saturated.push(f64::from(u8::from(on_cores >= cores)));
    }

    /// Returns the share of the recent ticks with all cores taken, from 0 to 1.
    pub(crate) fn saturated_share(&self) -> f64 {
        self.saturated.mean().unwrap_or(0.0)
    }

    /// Returns the number of running requests that wait for disk. Reads and handshakes raise the gauge, so
    /// only the upper half of the samples counts.
    pub(crate) fn waiting_for_disk(&self) -> f64 {
        self.off_core.mean_of_upper_half().unwrap_or(0.0).max(0.0)
    }
}
