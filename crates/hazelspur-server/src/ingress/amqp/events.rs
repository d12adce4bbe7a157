//! Events of a broker connection: passes them to the delivery tracker, and schedules the reopening of lost
//! channels.

use super::connection::BrokerConnection;
use super::consumer::{AmqpConsumer, US_PER_MS};
use hazelspur::Timestamp;
use hazelspur_amqp::{ConnectionHandler, IncomingDelivery};
use hazelspur_deliveries::{ConnectionNumber, DeliveryId, DeliveryTag, QueueId};

/// Name of the publishing channel in the log field `queue`.
const PUBLISHING_CHANNEL_NAME: &str = "(publishing)";

/// Loss of a channel or of its consumer.
struct ChannelLoss {
    channel: u16,
    /// Whether the channel is closed. Otherwise only its consumer is cancelled, and its deliveries can still
    /// be settled.
    closed: bool,
    /// Reason, for the log.
    reason: String,
}

/// Handler of the events in one piece of input. Passes deliveries and confirms to the tracker at once, and
/// collects events of the connection and its channels, which are handled once the input is processed.
struct EventHandler<'a> {
    consumer: &'a AmqpConsumer,
    connection: ConnectionNumber,
    now: Timestamp,
    opened: bool,
    ready_channels: Vec<u16>,
    lost_channels: Vec<ChannelLoss>,
}

impl AmqpConsumer {
    /// Processes the received bytes of a connection.
    pub(super) fn process_input(&self, connection: &mut BrokerConnection) {
        let now = self.now();
        let mut handler = EventHandler {
            consumer: self,
            connection: connection.number,
            now,
            opened: false,
            ready_channels: Vec::new(),
            lost_channels: Vec::new(),
        };
        connection.protocol.process_input(now, &mut handler);
        let EventHandler { opened, ready_channels, lost_channels, .. } = handler;
        if opened {
            let broker = self.brokers.borrow().address();
            log::info!(broker:%, queues = self.queues.len(); "broker connection open");
            connection.channel_attempts.schedule_all(1..=self.publishing_channel(), now);
        }
        ready_channels.into_iter().for_each(|channel| self.channel_ready(connection, channel));
        lost_channels.iter().for_each(|loss| self.channel_lost(connection, loss, now));
    }

    /// Handles a channel that has become ready to consume or to publish.
    fn channel_ready(&self, connection: &mut BrokerConnection, channel: u16) {
        match self.queue_index(channel) {
            Some(index) => {
                self.tracker.borrow_mut().queue_consumed(self.now(), QueueId(index));
                log::info!(queue = self.queues[index].name.as_str(); "consuming queue");
            }
            None => self.tracker.borrow_mut().set_publishing_ready(true),
        }
        connection.channel_attempts.channel_ready(channel);
    }

    /// Schedules the reopening of a lost channel and, if it is closed, notifies the tracker.
    fn channel_lost(&self, connection: &mut BrokerConnection, loss: &ChannelLoss, now: Timestamp) {
        let ChannelLoss { channel, closed, reason } = loss;
        let delay = connection.channel_attempts.channel_lost(*channel, now);
        let index = self.queue_index(*channel);
        let queue = index.map_or(PUBLISHING_CHANNEL_NAME, |index| &self.queues[index].name);
        let again_ms = delay.us() / US_PER_MS;
        log::warn!(queue, closed = *closed, why:% = reason, again_ms; "channel closed or consumer cancelled");
        let mut tracker = self.tracker.borrow_mut();
        if let Some(index) = index {
            tracker.queue_not_consumed(QueueId(index));
        }
        if !closed {
            return;
        }
        match index {
            Some(_) => tracker.channel_lost(connection.number, *channel),
            None => tracker.publishing_channel_closed(now),
        }
    }
}

impl ConnectionHandler for EventHandler<'_> {
    fn connection_open(&mut self) {
        self.opened = true;
    }

    fn channel_ready(&mut self, channel: u16) {
        self.ready_channels.push(channel);
    }

    fn delivered(&mut self, delivery: &IncomingDelivery<'_>) {
        let Some(index) = self.consumer.queue_index(delivery.channel) else { return };
        let tag = DeliveryTag { connection: self.connection, channel: delivery.channel, tag: delivery.tag };
        self.consumer.delivery_received(self.now, QueueId(index), tag, delivery);
    }

    fn fence_answered(&mut self, _channel: u16, fence: u64) {
        self.consumer.tracker.borrow_mut().fence_answered(self.now, DeliveryId(fence));
    }

    fn publish_confirmed(&mut self, number: u64, accepted: bool) {
        self.consumer.tracker.borrow_mut().publish_confirmed(self.now, DeliveryId(number), accepted);
    }

    fn publish_returned(&mut self, number: u64) {
        self.consumer.tracker.borrow_mut().publish_returned(DeliveryId(number));
    }

    fn consumer_cancelled(&mut self, channel: u16) {
        let reason = "cancelled by the broker".into();
        self.lost_channels.push(ChannelLoss { channel, closed: false, reason });
    }

    fn channel_closed(&mut self, channel: u16, reply_code: u16, reply_text: &str) {
        let reason = format!("{reply_code} {reply_text}");
        self.lost_channels.push(ChannelLoss { channel, closed: true, reason });
    }

    fn publishers_blocked(&mut self, reason: Option<&str>) {
        self.consumer.tracker.borrow_mut().set_publishing_blocked(reason.is_some());
        match reason {
            Some(why) => log::warn!(why; "broker blocks publishers"),
            None => log::info!("broker no longer blocks publishers"),
        }
    }
}
