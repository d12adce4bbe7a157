//! Duty cycle of a queue whose prefetch window is below one: after each delivery the gate stays closed so that
//! a delivery is being processed for the given fraction of the time.

use crate::identifiers::DeliveryId;
use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

/// Longest time that the gate stays closed after a delivery.
const MAX_CLOSED: Duration = Duration::from_ms(5000);
/// Duty cycle at which deliveries pass without waiting.
const UNLIMITED_DUTY_CYCLE: f64 = 1.0;

/// Queues deliveries while the duty cycle is below one and passes them one at a time.
#[derive(Clone, Debug)]
pub(crate) struct DutyCycleGate {
    duty_cycle: f64,
    opens_at: Timestamp,
    queued: VecDeque<DeliveryId>,
}

impl Default for DutyCycleGate {
    fn default() -> Self {
        Self { duty_cycle: UNLIMITED_DUTY_CYCLE, opens_at: Timestamp::default(), queued: VecDeque::new() }
    }
}

impl DutyCycleGate {
    pub(crate) fn set_duty_cycle(&mut self, duty_cycle: f64) {
        self.duty_cycle = duty_cycle;
    }

    /// Whether deliveries have to wait for their turn.
    pub(crate) fn is_limiting(&self) -> bool {
        self.duty_cycle < UNLIMITED_DUTY_CYCLE
    }

    pub(crate) fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    pub(crate) fn enqueue(&mut self, id: DeliveryId) {
        self.queued.push_back(id);
    }

    /// When the next queued delivery may pass.
    pub(crate) fn opens_at(&self) -> Timestamp {
        self.opens_at
    }

    /// Takes the next delivery that may pass now; `busy` says that another one is being processed.
    pub(crate) fn pop_ready(&mut self, now: Timestamp, busy: bool) -> Option<DeliveryId> {
        if self.is_limiting() && (busy || self.opens_at > now) {
            return None;
        }
        self.queued.pop_front()
    }

    /// Closes the gate for as long as the delivery submitted at `submitted_at` needs by the duty cycle.
    pub(crate) fn delivery_finished(&mut self, now: Timestamp, submitted_at: Timestamp) {
        if self.is_limiting() {
            let closed_for = (now - submitted_at).scaled(1.0 / self.duty_cycle - 1.0);
            self.opens_at = now + closed_for.min(MAX_CLOSED);
        }
    }
}
