//! Events of the controller that go to the log. `Display` gives the line.

use crate::Duration;
use std::fmt;

/// The figures of the control cycle that changed the admission rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CycleFigures {
    /// Power of the cycle over the best power of the last cycles.
    pub power_ratio: f64,
    /// Response time of the cycle, in seconds per second of cost.
    pub response: f64,
    /// Response time of the cycle with the best power, in seconds per second of cost.
    pub best_response: f64,
}

impl fmt::Display for CycleFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { power_ratio, response, best_response } = self;
        write!(f, "ratio={power_ratio:.2} resp={response:.2} best={best_response:.2}")
    }
}

/// A change of the controller's mode.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ControllerEvent {
    /// The server starts cold and admits less until it is warm.
    WarmingUp,
    /// The warm-up is over.
    Warm {
        /// Time since the start.
        after: Duration,
    },
    /// A shutdown notice came.
    Draining {
        /// Requests that are queued or running.
        requests: usize,
    },
    /// The admission rate limits new sessions from now on.
    RateLimited {
        /// Requests a second that the cycle admitted.
        admitted_per_s: f64,
        /// The cycle's figures.
        cycle: CycleFigures,
    },
    /// The admission rate limits nothing any more.
    Unlimited {
        /// The admission rate that is dropped, in requests a second.
        rate_per_s: f64,
        /// Requests a second that the cycle admitted.
        admitted_per_s: f64,
        /// The cycle's figures.
        cycle: CycleFigures,
    },
}

impl fmt::Display for ControllerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WarmingUp => write!(f, "mode warming_up"),
            Self::Warm { after } => write!(f, "mode warm after_s={:.1}", after.secs()),
            Self::Draining { requests } => write!(f, "mode draining in_hand={requests}"),
            Self::RateLimited { admitted_per_s, cycle } => {
                write!(f, "mode rate_limited R={admitted_per_s:.1}/s {cycle}")
            }
            Self::Unlimited { rate_per_s, admitted_per_s, cycle } => {
                write!(f, "mode unlimited R={rate_per_s:.1}/s admitted={admitted_per_s:.1}/s {cycle}")
            }
        }
    }
}
