//! Refutation of updates about this process. It raises its incarnation number if others suspect it, and
//! adopts a new generation if others report that its run has ended or know a newer generation.

use super::event::MembershipEvent;
use super::state::Membership;
use super::update::{MemberState, MemberUpdate};
use crate::names::{Generation, Incarnation};

impl Membership {
    /// Handles an update of another member about this process, and refutes it if it contradicts the own
    /// state.
    pub(super) fn merge_own(&mut self, update: &MemberUpdate) {
        if !self.contradicts(update) {
            return;
        }
        let newer_generation = update.generation > self.me.generation;
        let is_over = update.state == MemberState::Left || update.incarnation.0 == u32::MAX;
        if newer_generation || is_over {
            if self.budget.new_generations == 0 {
                return;
            }
            self.budget.new_generations -= 1;
            self.me.generation = Generation(update.generation.0.saturating_add(1));
            self.me.incarnation = Incarnation(0);
        } else {
            self.me.incarnation = Incarnation(update.incarnation.0 + 1);
        }
        // The score rises at most once in a period, so that a stream of false updates does not make this
        // process distrust all its observations.
        if !std::mem::replace(&mut self.refuted_in_period, true) {
            self.health.increase_score();
        }
        self.gossip_queue.enqueue(self.me.name);
        self.push_event(MembershipEvent::Refuted(self.me.incarnation));
    }

    /// Returns whether the update would replace this process's update about itself.
    fn contradicts(&self, update: &MemberUpdate) -> bool {
        if update.generation != self.me.generation {
            return update.generation > self.me.generation;
        }
        if update.incarnation < self.me.incarnation || self.me.state == MemberState::Left {
            return false;
        }
        let hypothetical = MemberUpdate { state: update.state, ..self.me };
        update.incarnation > self.me.incarnation || hypothetical.supersedes(&self.me)
    }
}
