//! The measurements of the worker that the host passes to the controller at each timer tick.

/// Gauges of the worker at one timer tick. A gauge that is not measured is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RuntimeGauges {
    /// Number of requests, reads and handshakes that occupy the cores.
    pub requests_on_cores: Option<f64>,
}

impl RuntimeGauges {
    /// Returns gauges with this number of requests on the cores.
    pub fn with_requests_on_cores(count: f64) -> Self {
        Self { requests_on_cores: Some(count) }
    }
}
