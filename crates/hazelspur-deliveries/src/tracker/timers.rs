//! Timers of deliveries, at most one per delivery: for its expiry, its requeue or the confirm of a
//! publication.

use super::delivery::{Delivery, DeliveryState};
use super::{CONFIRM_TIMEOUT, DeliveryAction, DeliveryTracker};
use crate::identifiers::DeliveryId;
use crate::outcome::DeliveryOutcome;
use hazelspur::Timestamp;
use std::collections::BTreeSet;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    at: Timestamp,
    id: DeliveryId,
}

/// Pending timers, ordered by time.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers(BTreeSet<Timer>);

impl Timers {
    pub(super) fn next(&self) -> Option<Timestamp> {
        self.0.first().map(|timer| timer.at)
    }

    /// Replaces the timer of a delivery; `None` only cancels it.
    fn set(&mut self, id: DeliveryId, delivery: &mut Delivery, at: Option<Timestamp>) {
        self.cancel(id, delivery);
        delivery.timer = at;
        self.0.extend(at.map(|at| Timer { at, id }));
    }

    pub(super) fn cancel(&mut self, id: DeliveryId, delivery: &mut Delivery) {
        if let Some(at) = delivery.timer.take() {
            self.0.remove(&Timer { at, id });
        }
    }

    fn pop_due(&mut self, now: Timestamp) -> Option<DeliveryId> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop_first().map(|timer| timer.id)
    }
}

impl DeliveryTracker {
    pub(super) fn set_timer(&mut self, id: DeliveryId, at: Option<Timestamp>) {
        if let Some(delivery) = self.deliveries.get_mut(&id) {
            self.timers.set(id, delivery, at);
        }
    }

    /// Runs the first timer that is due; returns whether there was one.
    pub(super) fn run_next_timer(&mut self, now: Timestamp) -> bool {
        let due = self.timers.pop_due(now);
        if let Some(id) = due {
            self.timer_elapsed(now, id);
        }
        due.is_some()
    }

    /// Handles the timer of a delivery. The state may have changed since the timer was set, so each state
    /// checks its own condition.
    fn timer_elapsed(&mut self, now: Timestamp, id: DeliveryId) {
        let expired = self.is_expired(now, id);
        let Some(delivery) = self.deliveries.get(&id) else { return };
        match delivery.state {
            DeliveryState::Gated if expired => self.finish(now, id, DeliveryOutcome::Expired, &[].into()),
            DeliveryState::Submitted if expired => {
                self.actions.push_back(DeliveryAction::Abandon(id));
                self.finish(now, id, DeliveryOutcome::Expired, &[].into());
            }
            DeliveryState::RequeueAt(at) if at <= now => self.requeue(id),
            DeliveryState::AckUnproven => self.give_up_redelivery(now, id),
            DeliveryState::Publishing { .. } if self.publisher.blocked_by_broker => {
                self.set_timer(id, Some(now + CONFIRM_TIMEOUT));
            }
            // A reply or copy that was not sent and no longer has a tag waits for the next connection.
            DeliveryState::Publishing { sent_at, .. } if sent_at.is_some() || delivery.unsettled => {
                self.publish_confirmed(now, id, false);
            }
            _ => {}
        }
    }
}
