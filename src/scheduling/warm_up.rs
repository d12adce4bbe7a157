//! Warm-up: a server that starts cold runs fewer requests at once until its warm-up is over (slow start).

use crate::config::settings::ControllerSettings;
use crate::event::ControllerEvent;
use crate::{Duration, Timestamp};

/// Lower bound of the length of the warm-up, in seconds; keeps the progress finite where the length is zero.
const MIN_WARM_UP_S: f64 = 1e-6;

/// State of the warm-up of a server.
#[derive(Clone, Debug, Default)]
pub(crate) struct WarmUp {
    started_at: Timestamp,
    is_warming_up: bool,
}

impl WarmUp {
    /// Returns the state of a server that starts now, cold or warm.
    pub(crate) fn new(now: Timestamp, is_cold: bool) -> Self {
        Self { started_at: now, is_warming_up: is_cold }
    }

    /// Returns whether the server still warms up.
    pub(crate) fn is_warming_up(&self) -> bool {
        self.is_warming_up
    }

    /// Returns the share of the concurrency limit of a warm server that is allowed now. It grows linearly
    /// from the initial share to 1.
    pub(crate) fn allowed_share(&self, now: Timestamp, settings: &ControllerSettings) -> f64 {
        let initial = settings.warm_up_initial_share;
        let progress = (now - self.started_at).secs() / settings.warm_up.secs().max(MIN_WARM_UP_S);
        if self.is_warming_up { (initial + (1.0 - initial) * progress).min(1.0) } else { 1.0 }
    }

    /// Ends the warm-up once its length has passed, and returns the event for the log.
    pub(crate) fn finish_if_over(&mut self, now: Timestamp, length: Duration) -> Option<ControllerEvent> {
        let after = now - self.started_at;
        if !self.is_warming_up || after < length {
            return None;
        }
        self.is_warming_up = false;
        Some(ControllerEvent::Warm { after })
    }
}
