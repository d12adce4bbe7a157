//! Duty cycle of a queue whose prefetch window is below one: the fraction of the time in which a delivery is
//! being processed.
//!
//! Input: the duty cycle, the deliveries of the queue, and the time that each one took. Output: the next
//! delivery that may be submitted. Deliveries are submitted one at a time, and the gate stays closed after
//! each one for as long as the duty cycle requires.

use crate::identifiers::DeliveryId;
use hazelspur::{Duration, Timestamp};
use std::collections::VecDeque;

/// Maximum time for which the gate stays closed after a delivery.
const MAX_CLOSED: Duration = Duration::from_ms(5000);
/// Duty cycle at which deliveries pass without waiting.
const UNLIMITED_DUTY_CYCLE: f64 = 1.0;

/// Gate that queues deliveries while the duty cycle is below one and releases them one at a time.
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

    /// Returns whether deliveries have to wait in the gate.
    pub(crate) fn is_limiting(&self) -> bool {
        self.duty_cycle < UNLIMITED_DUTY_CYCLE
    }

    pub(crate) fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    pub(crate) fn enqueue(&mut self, id: DeliveryId) {
        self.queued.push_back(id);
    }

    /// Returns the time from which the next queued delivery may be submitted.
    pub(crate) fn opens_at(&self) -> Timestamp {
        self.opens_at
    }

    /// Removes and returns the next delivery that may be submitted now. `busy` tells whether another delivery
    /// of the queue is being processed.
    pub(crate) fn pop_ready(&mut self, now: Timestamp, busy: bool) -> Option<DeliveryId> {
        if self.is_limiting() && (busy || self.opens_at > now) {
            return None;
        }
        self.queued.pop_front()
    }

    /// Closes the gate after a delivery that was submitted at `submitted_at`, in proportion to its processing
    /// time: with a duty cycle of 0.25 for three times as long, up to `MAX_CLOSED`.
    pub(crate) fn delivery_finished(&mut self, now: Timestamp, submitted_at: Timestamp) {
        if self.is_limiting() {
            let closed_for = (now - submitted_at).scaled(1.0 / self.duty_cycle - 1.0);
            self.opens_at = now + closed_for.min(MAX_CLOSED);
        }
    }
}
