//! Acts on the frames and methods that clients send.

use super::connection::{Channel, Consumer, take_fault};
use super::message::SettledBy;
use super::state::BrokerState;
use crate::now_ms;
use crate::script::{Fault, FramePosition};
use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic};
use amq_protocol::protocol::channel::{self, AMQPMethod as OnChannel};
use amq_protocol::protocol::confirm::{self, AMQPMethod as Confirm};
use amq_protocol::protocol::connection::{self, AMQPMethod as OnConnection};
use amq_protocol::protocol::{AMQPClass, queue};
use amq_protocol::types::FieldTable;

impl BrokerState {
    pub(super) fn take(&mut self, number: usize, frame: AMQPFrame) {
        self.connections[number].read += 1;
        let read = self.connections[number].read;
        let fault = take_fault(&mut self.connections[number].script, FramePosition::Read(read));
        match fault {
            Some(Fault::CutBetweenFrames) => return self.drop_connection(number),
            Some(Fault::CutWithinFrame) => {
                self.act(number, frame);
                return self.drop_connection(number);
            }
            Some(fault) => self.misbehave(number, fault),
            None => {}
        }
        self.act(number, frame);
    }

    pub(super) fn act(&mut self, number: usize, frame: AMQPFrame) {
        match frame {
            AMQPFrame::ProtocolHeader(_) => {
                let start = connection::Start {
                    version_major: 0,
                    version_minor: 9,
                    server_properties: FieldTable::default(),
                    mechanisms: self.mechanisms.unwrap_or("PLAIN EXTERNAL").into(),
                    locales: "en_US".into(),
                };
                self.method(number, 0, AMQPClass::Connection(OnConnection::Start(start)));
            }
            AMQPFrame::Heartbeat => self.heartbeats += 1,
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => self.on_connection(number, method),
            AMQPFrame::Method(channel, class) => self.on_channel(number, channel, class),
            AMQPFrame::Header(channel, header) => {
                let on = self.connections[number].channels.get_mut(&channel);
                if let Some((_, kept, _)) = on.and_then(|on| on.content.as_mut()) {
                    *kept = Some(header);
                }
                self.publish_whole(number, channel);
            }
            AMQPFrame::Body(channel, part) => {
                let frame_max = self.connections[number].frame_max;
                if part.len() + 8 > frame_max {
                    self.protocol_violations.push(format!("a body frame of {} bytes", part.len()));
                }
                let on = self.connections[number].channels.get_mut(&channel);
                if let Some((.., body)) = on.and_then(|on| on.content.as_mut()) {
                    body.extend_from_slice(&part);
                }
                self.publish_whole(number, channel);
            }
            AMQPFrame::InvalidHeartbeat(_) => {
                self.protocol_violations.push("a heartbeat on a channel".into())
            }
        }
    }

    pub(super) fn on_connection(&mut self, number: usize, method: OnConnection) {
        let reply = |class| AMQPClass::Connection(class);
        match method {
            OnConnection::StartOk(ok) => {
                if let Some((user, password)) = &self.login
                    && ok.response.as_bytes() != format!("\0{user}\0{password}").as_bytes()
                {
                    let reply_text = "ACCESS_REFUSED".into();
                    let close =
                        connection::Close { reply_code: 403, reply_text, class_id: 10, method_id: 11 };
                    return self.method(number, 0, reply(OnConnection::Close(close)));
                }
                let tune = connection::Tune {
                    channel_max: 2047,
                    frame_max: self.frame_max,
                    heartbeat: self.heartbeat_s,
                };
                self.method(number, 0, reply(OnConnection::Tune(tune)));
            }
            OnConnection::TuneOk(ok) => {
                let connection = &mut self.connections[number];
                connection.frame_max = ok.frame_max as usize;
                connection.beat_ms = u64::from(ok.heartbeat) * 1000;
            }
            OnConnection::Open(_) => {
                self.connections_opened += 1;
                self.connections_opened_ms.push(now_ms());
                self.connections[number].open = true;
                self.method(number, 0, reply(OnConnection::OpenOk(connection::OpenOk {})));
            }
            OnConnection::Close(close) => {
                if close.reply_code == 200 {
                    self.connections_closed_cleanly += 1;
                }
                self.method(number, 0, reply(OnConnection::CloseOk(connection::CloseOk {})));
                self.drop_connection(number);
            }
            OnConnection::CloseOk(_) => self.drop_connection(number),
            other => self.protocol_violations.push(format!("on channel 0: {other:?}")),
        }
    }

    pub(super) fn on_channel(&mut self, number: usize, channel: u16, class: AMQPClass) {
        if let AMQPClass::Channel(OnChannel::Open(_)) = class {
            if self.connections[number].channels.insert(channel, Channel::default()).is_some() {
                self.protocol_violations.push(format!("channel {channel} opened twice"));
            }
            let ok = channel::OpenOk {};
            return self.method(number, channel, AMQPClass::Channel(OnChannel::OpenOk(ok)));
        }
        if let AMQPClass::Channel(OnChannel::CloseOk(_)) = class {
            return;
        }
        let Some(on) = self.connections[number].channels.get_mut(&channel) else {
            return; // closed by us while this was on its way
        };
        match class {
            AMQPClass::Basic(Basic::Qos(qos)) => {
                on.prefetch = qos.prefetch_count;
                self.method(number, channel, AMQPClass::Basic(Basic::QosOk(basic::QosOk {})));
            }
            AMQPClass::Basic(Basic::Consume(consume)) => self.on_consume(number, channel, consume),
            AMQPClass::Basic(Basic::Cancel(cancel)) => {
                on.consumer = None;
                let ok = basic::CancelOk { consumer_tag: cancel.consumer_tag };
                self.method(number, channel, AMQPClass::Basic(Basic::CancelOk(ok)));
            }
            AMQPClass::Basic(Basic::CancelOk(_)) | AMQPClass::Channel(OnChannel::FlowOk(_)) => {}
            AMQPClass::Basic(Basic::Ack(ack)) => {
                self.settle(number, channel, ack.delivery_tag, SettledBy::Ack)
            }
            AMQPClass::Basic(Basic::Reject(reject)) => {
                let how = if reject.requeue { SettledBy::Requeue } else { SettledBy::Reject };
                self.settle(number, channel, reject.delivery_tag, how);
            }
            AMQPClass::Basic(Basic::Nack(nack)) => {
                let how = if nack.requeue { SettledBy::Requeue } else { SettledBy::Reject };
                self.settle(number, channel, nack.delivery_tag, how);
            }
            AMQPClass::Basic(Basic::Publish(publish)) => on.content = Some((publish, None, Vec::new())),
            AMQPClass::Confirm(Confirm::Select(_)) => {
                on.confirms = true;
                let ok = confirm::SelectOk {};
                self.method(number, channel, AMQPClass::Confirm(Confirm::SelectOk(ok)));
            }
            AMQPClass::Queue(queue::AMQPMethod::Declare(declare)) => {
                self.on_declare(number, channel, declare)
            }
            AMQPClass::Channel(OnChannel::Close(_)) => self.on_channel_close(number, channel),
            other => self.protocol_violations.push(format!("on channel {channel}: {other:?}")),
        }
    }

    fn on_consume(&mut self, number: usize, channel: u16, consume: basic::Consume) {
        let queue = consume.queue.as_str().to_string();
        if self.queues.get(&queue).is_none_or(|queue| queue.deleted) {
            return self.close_channel(number, channel, 404, "no such queue");
        }
        let tag = consume.consumer_tag.as_str().to_string();
        if let Some(on) = self.connections[number].channels.get_mut(&channel) {
            on.consumer = Some(Consumer { queue, tag, active: true });
        }
        let ok = basic::ConsumeOk { consumer_tag: consume.consumer_tag };
        self.method(number, channel, AMQPClass::Basic(Basic::ConsumeOk(ok)));
    }

    fn on_declare(&mut self, number: usize, channel: u16, declare: queue::Declare) {
        self.queues.entry(declare.queue.as_str().into()).or_default();
        let ok = queue::DeclareOk { queue: declare.queue, message_count: 0, consumer_count: 0 };
        self.method(number, channel, AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)));
    }

    fn on_channel_close(&mut self, number: usize, channel: u16) {
        if let Some(on) = self.connections[number].channels.remove(&channel) {
            self.requeue_all(on);
        }
        let ok = channel::CloseOk {};
        self.method(number, channel, AMQPClass::Channel(OnChannel::CloseOk(ok)));
    }
}
