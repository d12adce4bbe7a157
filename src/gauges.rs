//! What the host measures in the runtime at each timer tick.

/// The runtime's gauges at one timer tick; what is not measured is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RuntimeGauges {
    /// Requests, reads and handshakes that are on the cores now.
    pub requests_on_cores: Option<f64>,
}

impl RuntimeGauges {
    /// Gauges that measured this many requests on the cores.
    pub fn with_requests_on_cores(count: f64) -> Self {
        Self { requests_on_cores: Some(count) }
    }
}
