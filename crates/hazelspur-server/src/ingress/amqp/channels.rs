//! Channels of a broker connection: one per queue, and one for publishing. Opens them, reopens them after a
//! loss with increasing delays, and cancels their consumers before the connection is closed.
//!
//! The channel of a queue has the queue's index plus 1 as its number; the publishing channel has the highest
//! number.

use super::connection::BrokerConnection;
use super::consumer::AmqpConsumer;
use hazelspur::{Duration, Timestamp};
use hazelspur_amqp::ConnectionState;
use hazelspur_deliveries::QueueId;
use std::collections::BTreeMap;

/// Delay after the first loss of a channel; doubled after each further one.
const MIN_REOPEN_DELAY: Duration = Duration::from_ms(1000);
/// Maximum delay after the loss of a channel.
const MAX_REOPEN_DELAY: Duration = Duration::from_ms(30_000);
/// Time after the cancellation of the consumers at which the connection to a removed broker is closed, even
/// if deliveries are still unsettled.
const BROKER_REMOVAL_TIMEOUT: Duration = Duration::from_ms(5000);

/// Next attempt to open a channel.
#[derive(Clone, Copy)]
struct ChannelAttempt {
    at: Timestamp,
    /// Delay before this attempt; the next delay is computed from it.
    delay: Duration,
}

fn next_delay(delay: Duration) -> Duration {
    (delay + delay).clamp(MIN_REOPEN_DELAY, MAX_REOPEN_DELAY)
}

/// Next attempts to open the channels that are not ready, by channel.
#[derive(Default)]
pub(super) struct ChannelAttempts(BTreeMap<u16, ChannelAttempt>);

impl ChannelAttempts {
    /// Schedules attempts to open all channels now.
    pub(super) fn schedule_all(&mut self, channels: impl Iterator<Item = u16>, now: Timestamp) {
        let attempt = ChannelAttempt { at: now, delay: Duration::ZERO };
        self.0 = channels.map(|channel| (channel, attempt)).collect();
    }

    pub(super) fn channel_ready(&mut self, channel: u16) {
        self.0.remove(&channel);
    }

    /// Schedules an attempt to open a lost channel; returns its delay.
    pub(super) fn channel_lost(&mut self, channel: u16, now: Timestamp) -> Duration {
        let previous = self.0.get(&channel).map_or(Duration::ZERO, |attempt| attempt.delay);
        let delay = next_delay(previous);
        self.0.insert(channel, ChannelAttempt { at: now + delay, delay });
        delay
    }

    /// Returns the channels whose attempt is due, and schedules another attempt for each in case it is
    /// neither ready nor lost by then.
    fn take_due(&mut self, now: Timestamp) -> Vec<u16> {
        let due = self.0.iter_mut().filter(|(_, attempt)| attempt.at <= now);
        let attempted = due.map(|(channel, attempt)| {
            attempt.at = now + next_delay(attempt.delay);
            *channel
        });
        attempted.collect()
    }

    /// Removes the attempts of the channels that are not needed.
    fn retain(&mut self, is_needed: impl Fn(u16) -> bool) {
        self.0.retain(|channel, _| is_needed(*channel));
    }

    /// Returns the time of the earliest attempt.
    pub(super) fn next(&self) -> Option<Timestamp> {
        self.0.values().map(|attempt| attempt.at).min()
    }
}

impl AmqpConsumer {
    /// Returns the number of the publishing channel.
    pub(super) fn publishing_channel(&self) -> u16 {
        self.queues.len() as u16 + 1
    }

    /// Returns the index of the queue that a channel consumes; `None` for the publishing channel.
    pub(super) fn queue_index(&self, channel: u16) -> Option<usize> {
        usize::from(channel).checked_sub(1).filter(|index| *index < self.queues.len())
    }

    /// Carries out the tracker's actions, opens the channels that are due and updates the prefetch windows.
    /// Called after each event.
    pub(super) fn advance(&self, connection: &mut BrokerConnection) {
        self.detect_shutdown();
        self.carry_out_actions(Some(connection));
        if connection.protocol.state() != ConnectionState::Open {
            return;
        }
        let now = self.now();
        if self.shutting_down.get() || self.broker_removed.get() {
            self.wind_down(connection, now);
        }
        for channel in connection.channel_attempts.take_due(now) {
            self.open_channel(connection, channel);
        }
        self.update_windows(connection, now);
    }

    /// Cancels the consumers, and closes the connection once no delivery is in progress, or after
    /// `BROKER_REMOVAL_TIMEOUT` if its broker was removed. Queues whose redeliveries are awaited are consumed
    /// until these have come or are given up.
    fn wind_down(&self, connection: &mut BrokerConnection, now: Timestamp) {
        let awaiting = self.tracker.borrow().queues_awaiting_redelivery();
        let is_awaited =
            |channel| self.queue_index(channel).is_some_and(|index| awaiting.contains(&QueueId(index)));
        for channel in (1..self.publishing_channel()).filter(|channel| !is_awaited(*channel)) {
            connection.protocol.cancel_consumer(channel);
        }
        let cancelled_at = *connection.cancelled_at.get_or_insert_with(|| {
            log::info!(in_hand = self.tracker.borrow().active(), moving = self.broker_removed.get();
                "consumers cancelled");
            now
        });
        let settled = self.tracker.borrow().active() == 0;
        let timed_out = self.broker_removed.get() && now - cancelled_at >= BROKER_REMOVAL_TIMEOUT;
        if settled || timed_out {
            connection.protocol.close(now);
        }
        let publishing = self.publishing_channel();
        connection.channel_attempts.retain(|channel| channel == publishing || is_awaited(channel));
    }

    fn open_channel(&self, connection: &mut BrokerConnection, channel: u16) {
        match self.queue_index(channel) {
            Some(index) => {
                let prefetch = self.windows.borrow()[index].window();
                connection.protocol.resume_consumer(channel);
                connection.protocol.consume(channel, &self.queues[index].name, prefetch);
            }
            None => connection.protocol.open_publishing_channel(channel),
        }
    }
}
