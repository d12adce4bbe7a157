//! Handling of the frames and methods that clients send. What a client may not send is recorded as a protocol
//! violation.

use super::connection::{Channel, Consumer, take_fault};
use super::message::SettledBy;
use super::state::BrokerState;
use crate::now_ms;
use crate::script::{Fault, FramePosition};
use amq_protocol::frame::AMQPFrame;
use amq_protocol::protocol::basic::{self, AMQPMethod as BasicMethod};
use amq_protocol::protocol::channel::{self, AMQPMethod as ChannelMethod};
use amq_protocol::protocol::confirm::{self, AMQPMethod as ConfirmMethod};
use amq_protocol::protocol::connection::{self, AMQPMethod as ConnectionMethod};
use amq_protocol::protocol::{AMQPClass, queue};
use amq_protocol::types::FieldTable;

impl BrokerState {
    /// Handles a frame that was read, with the fault that the connection's script places at it.
    pub(super) fn handle_frame(&mut self, connection_index: usize, frame: AMQPFrame) {
        self.connections[connection_index].frames_read += 1;
        let frames_read = self.connections[connection_index].frames_read;
        let fault =
            take_fault(&mut self.connections[connection_index].script, FramePosition::Read(frames_read));
        match fault {
            Some(Fault::CutBetweenFrames) => return self.drop_connection(connection_index),
            Some(Fault::CutWithinFrame) => {
                self.process_frame(connection_index, frame);
                return self.drop_connection(connection_index);
            }
            Some(fault) => self.inject_fault(connection_index, fault),
            None => {}
        }
        self.process_frame(connection_index, frame);
    }

    pub(super) fn process_frame(&mut self, connection_index: usize, frame: AMQPFrame) {
        match frame {
            AMQPFrame::ProtocolHeader(_) => {
                let start = connection::Start {
                    version_major: 0,
                    version_minor: 9,
                    server_properties: FieldTable::default(),
                    mechanisms: self.mechanisms.unwrap_or("PLAIN EXTERNAL").into(),
                    locales: "en_US".into(),
                };
                self.send_method(connection_index, 0, AMQPClass::Connection(ConnectionMethod::Start(start)));
            }
            AMQPFrame::Heartbeat => self.heartbeats += 1,
            AMQPFrame::Method(0, AMQPClass::Connection(method)) => {
                self.handle_connection_method(connection_index, method)
            }
            AMQPFrame::Method(channel, class) => self.handle_channel_method(connection_index, channel, class),
            AMQPFrame::Header(channel, header) => {
                let channel_state = self.connections[connection_index].channels.get_mut(&channel);
                if let Some((_, pending_header, _)) =
                    channel_state.and_then(|channel_state| channel_state.incoming_publish.as_mut())
                {
                    *pending_header = Some(header);
                }
                self.finish_publish(connection_index, channel);
            }
            AMQPFrame::Body(channel, chunk) => {
                let frame_max = self.connections[connection_index].frame_max;
                if chunk.len() + 8 > frame_max {
                    self.protocol_violations.push(format!("a body frame of {} bytes", chunk.len()));
                }
                let channel_state = self.connections[connection_index].channels.get_mut(&channel);
                if let Some((.., body)) =
                    channel_state.and_then(|channel_state| channel_state.incoming_publish.as_mut())
                {
                    body.extend_from_slice(&chunk);
                }
                self.finish_publish(connection_index, channel);
            }
            AMQPFrame::InvalidHeartbeat(_) => {
                self.protocol_violations.push("a heartbeat on a channel".into())
            }
        }
    }

    pub(super) fn handle_connection_method(&mut self, connection_index: usize, method: ConnectionMethod) {
        let class = |method| AMQPClass::Connection(method);
        match method {
            ConnectionMethod::StartOk(ok) => {
                if let Some((user, password)) = &self.login
                    && ok.response.as_bytes() != format!("\0{user}\0{password}").as_bytes()
                {
                    let reply_text = "ACCESS_REFUSED".into();
                    let close =
                        connection::Close { reply_code: 403, reply_text, class_id: 10, method_id: 11 };
                    return self.send_method(connection_index, 0, class(ConnectionMethod::Close(close)));
                }
                let tune = connection::Tune {
                    channel_max: 2047,
                    frame_max: self.frame_max,
                    heartbeat: self.heartbeat_s,
                };
                self.send_method(connection_index, 0, class(ConnectionMethod::Tune(tune)));
            }
            ConnectionMethod::TuneOk(ok) => {
                let connection = &mut self.connections[connection_index];
                connection.frame_max = ok.frame_max as usize;
                connection.heartbeat_ms = u64::from(ok.heartbeat) * 1000;
            }
            ConnectionMethod::Open(_) => {
                self.connections_opened += 1;
                self.connections_opened_ms.push(now_ms());
                self.connections[connection_index].open = true;
                self.send_method(connection_index, 0, class(ConnectionMethod::OpenOk(connection::OpenOk {})));
            }
            ConnectionMethod::Close(close) => {
                if close.reply_code == 200 {
                    self.connections_closed_cleanly += 1;
                }
                self.send_method(
                    connection_index,
                    0,
                    class(ConnectionMethod::CloseOk(connection::CloseOk {})),
                );
                self.drop_connection(connection_index);
            }
            ConnectionMethod::CloseOk(_) => self.drop_connection(connection_index),
            other => self.protocol_violations.push(format!("on channel 0: {other:?}")),
        }
    }

    pub(super) fn handle_channel_method(&mut self, connection_index: usize, channel: u16, class: AMQPClass) {
        if let AMQPClass::Channel(ChannelMethod::Open(_)) = class {
            if self.connections[connection_index].channels.insert(channel, Channel::default()).is_some() {
                self.protocol_violations.push(format!("channel {channel} opened twice"));
            }
            let ok = channel::OpenOk {};
            return self.send_method(
                connection_index,
                channel,
                AMQPClass::Channel(ChannelMethod::OpenOk(ok)),
            );
        }
        if let AMQPClass::Channel(ChannelMethod::CloseOk(_)) = class {
            return;
        }
        let Some(channel_state) = self.connections[connection_index].channels.get_mut(&channel) else {
            return; // the broker closed the channel while the frame was on its way
        };
        match class {
            AMQPClass::Basic(BasicMethod::Qos(qos)) => {
                channel_state.prefetch = qos.prefetch_count;
                if self.ignores_fences && channel_state.consumer.is_some() {
                    return;
                }
                self.send_method(
                    connection_index,
                    channel,
                    AMQPClass::Basic(BasicMethod::QosOk(basic::QosOk {})),
                );
            }
            AMQPClass::Basic(BasicMethod::Consume(consume)) => {
                self.handle_consume(connection_index, channel, consume)
            }
            AMQPClass::Basic(BasicMethod::Cancel(cancel)) => {
                channel_state.consumer = None;
                let ok = basic::CancelOk { consumer_tag: cancel.consumer_tag };
                self.send_method(connection_index, channel, AMQPClass::Basic(BasicMethod::CancelOk(ok)));
            }
            AMQPClass::Basic(BasicMethod::CancelOk(_)) | AMQPClass::Channel(ChannelMethod::FlowOk(_)) => {}
            AMQPClass::Basic(BasicMethod::Ack(ack)) => {
                self.settle(connection_index, channel, ack.delivery_tag, SettledBy::Ack)
            }
            AMQPClass::Basic(BasicMethod::Reject(reject)) => {
                let settled_by = if reject.requeue { SettledBy::Requeue } else { SettledBy::Reject };
                self.settle(connection_index, channel, reject.delivery_tag, settled_by);
            }
            AMQPClass::Basic(BasicMethod::Nack(nack)) => {
                let settled_by = if nack.requeue { SettledBy::Requeue } else { SettledBy::Reject };
                self.settle(connection_index, channel, nack.delivery_tag, settled_by);
            }
            AMQPClass::Basic(BasicMethod::Publish(publish)) => {
                channel_state.incoming_publish = Some((publish, None, Vec::new()))
            }
            AMQPClass::Confirm(ConfirmMethod::Select(_)) => {
                channel_state.confirm_mode = true;
                let ok = confirm::SelectOk {};
                self.send_method(connection_index, channel, AMQPClass::Confirm(ConfirmMethod::SelectOk(ok)));
            }
            AMQPClass::Queue(queue::AMQPMethod::Declare(declare)) => {
                self.handle_declare(connection_index, channel, declare)
            }
            AMQPClass::Channel(ChannelMethod::Close(_)) => {
                self.handle_channel_close(connection_index, channel)
            }
            other => self.protocol_violations.push(format!("on channel {channel}: {other:?}")),
        }
    }

    fn handle_consume(&mut self, connection_index: usize, channel: u16, consume: basic::Consume) {
        let queue = consume.queue.as_str().to_string();
        if self.queues.get(&queue).is_none_or(|queue| queue.deleted) {
            return self.close_channel(connection_index, channel, 404, "no such queue");
        }
        let tag = consume.consumer_tag.as_str().to_string();
        if let Some(channel_state) = self.connections[connection_index].channels.get_mut(&channel) {
            channel_state.consumer = Some(Consumer { queue, tag, active: true });
        }
        let ok = basic::ConsumeOk { consumer_tag: consume.consumer_tag };
        self.send_method(connection_index, channel, AMQPClass::Basic(BasicMethod::ConsumeOk(ok)));
    }

    fn handle_declare(&mut self, connection_index: usize, channel: u16, declare: queue::Declare) {
        self.queues.entry(declare.queue.as_str().into()).or_default();
        let ok = queue::DeclareOk { queue: declare.queue, message_count: 0, consumer_count: 0 };
        self.send_method(connection_index, channel, AMQPClass::Queue(queue::AMQPMethod::DeclareOk(ok)));
    }

    fn handle_channel_close(&mut self, connection_index: usize, channel: u16) {
        if let Some(channel_state) = self.connections[connection_index].channels.remove(&channel) {
            self.requeue_all(channel_state);
        }
        let ok = channel::CloseOk {};
        self.send_method(connection_index, channel, AMQPClass::Channel(ChannelMethod::CloseOk(ok)));
    }
}
