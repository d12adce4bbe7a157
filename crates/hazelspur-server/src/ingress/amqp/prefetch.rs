//! Updates the prefetch windows of all queues from the responses of all ingresses, the unsettled deliveries
//! and the spare capacity of the server.

use super::connection::BrokerConnection;
use super::consumer::AmqpConsumer;
use hazelspur::{Duration, Timestamp};
use hazelspur_deliveries::QueueId;

/// Time between two samples of the response counts and of the unsettled deliveries.
const SAMPLE_INTERVAL: Duration = Duration::from_ms(20);

impl AmqpConsumer {
    /// Takes a sample if it is due, updates the windows and sends the changed ones to the broker.
    pub(super) fn update_windows(&self, connection: &mut BrokerConnection, now: Timestamp) {
        if now - self.windows_sampled_at.get() < SAMPLE_INTERVAL {
            return;
        }
        self.windows_sampled_at.set(now);
        let counts = self.services.dispatcher.response_counts.get();
        let previous = self.sampled_counts.replace(counts);
        let succeeded = counts.succeeded.wrapping_sub(previous.succeeded);
        let rejected = counts.rejected.wrapping_sub(previous.rejected);
        let spare_capacity = self.services.dispatcher.spare_capacity();
        let mut tracker = self.tracker.borrow_mut();
        for (index, window) in self.windows.borrow_mut().iter_mut().enumerate() {
            let queue = QueueId(index);
            let unsettled = tracker.unsettled_in(queue);
            window.record_outcomes(succeeded, rejected);
            window.record_unsettled(unsettled);
            let changed = window.update(now, spare_capacity + unsettled as f64);
            tracker.set_duty_cycle(queue, window.duty_cycle());
            if let Some(size) = changed {
                log::debug!(queue = self.queues[index].name.as_str(), size; "prefetch window changed");
                connection.protocol.set_prefetch(index as u16 + 1, size);
            }
        }
    }
}
