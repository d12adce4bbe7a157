//! Events of the controller that are logged. `Display` gives the text of the log line.

use crate::Duration;
use std::fmt;

/// Figures of the control cycle after which the admission rate started or stopped limiting.
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

/// A change of the mode of the controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ControllerEvent {
    /// Cold start: fewer requests run at once until the warm-up is over.
    WarmingUp,
    /// End of the warm-up.
    Warm {
        /// Time since the start of the controller.
        after: Duration,
    },
    /// Receipt of a shutdown notice.
    Draining {
        /// Number of in-flight requests.
        requests: usize,
    },
    /// Start of limiting: the admission rate limits new sessions from now on.
    RateLimited {
        /// Requests per second that started to run in the cycle.
        admitted_per_s: f64,
        /// Figures of the cycle.
        cycle: CycleFigures,
    },
    /// End of limiting: the admission rate no longer limits new sessions.
    Unlimited {
        /// Admission rate that no longer applies, in requests per second.
        rate_per_s: f64,
        /// Requests per second that started to run in the cycle.
        admitted_per_s: f64,
        /// Figures of the cycle.
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
