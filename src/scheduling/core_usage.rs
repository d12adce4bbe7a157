//! How the cores were used at the last timer ticks: how often all were taken, and how many running requests
//! waited for disk.

use crate::gauges::RuntimeGauges;
use crate::statistics::{SAMPLE_CAPACITY, SampleWindow};

/// Core usage at the last timer ticks.
#[derive(Clone, Debug, Default)]
pub(crate) struct CoreUsage {
    /// Running requests less what the gauge saw on the cores; below zero where reads and handshakes were on
    /// them.
    off_core: SampleWindow<f64, SAMPLE_CAPACITY>,
    /// 1 for a tick with all cores taken, else 0.
    saturated: SampleWindow<f64, SAMPLE_CAPACITY>,
}

impl CoreUsage {
    /// Records one tick. Without a gauge the running requests count as on the cores.
    pub(crate) fn record(&mut self, gauges: RuntimeGauges, running: f64, cores: f64) {
        if let Some(on_cores) = gauges.requests_on_cores {
            self.off_core.push(running - on_cores);
        }
        let on_cores = gauges.requests_on_cores.unwrap_or(running);
        self.saturated.push(f64::from(u8::from(on_cores >= cores)));
    }

    /// The share of ticks with all cores taken.
    pub(crate) fn saturated_share(&self) -> f64 {
        self.saturated.mean().unwrap_or(0.0)
    }

    /// Running requests that wait for disk. Reads and handshakes load the gauge, so only its upper half
    /// counts.
    pub(crate) fn waiting_for_disk(&self) -> f64 {
        self.off_core.mean_of_upper_half().unwrap_or(0.0).max(0.0)
    }
}
