//! Handling of the methods of the classes `channel`, `basic` and `confirm` that a broker sends.

use super::channel::{Channel, ChannelPurpose, ChannelState, QosReason};
use super::content::{Content, ContentOrigin};
use super::{Connection, ConnectionHandler, ProtocolResult};
use crate::error::ProtocolError;
use crate::frame::{self, Frame};
use crate::method::{BASIC_CLASS, Method};
use crate::table::TableWriter;
use crate::wire::{WireReader, put_short_string};
use hazelspur::Timestamp;

/// Bit `multiple` of `basic.ack` and `basic.nack`.
const MULTIPLE_BIT: u8 = 1;
/// Bit `no-wait` of `basic.cancel`.
const NO_WAIT_BIT: u8 = 1;
/// Bit `active` of `channel.flow`.
const ACTIVE_BIT: u8 = 1;

/// A received method with the values and references that its handling needs.
struct MethodCall<'c, 'a, H> {
    now: Timestamp,
    method: Method,
    /// Arguments that have not been read yet.
    arguments: WireReader<'a>,
    /// Maximum number of unsettled deliveries on the channel.
    max_unsettled: usize,
    output: &'c mut Vec<u8>,
    handler: &'c mut H,
}

impl Connection {
    pub(super) fn channel_method(
        &mut self,
        now: Timestamp,
        frame: &Frame<'_>,
        handler: &mut impl ConnectionHandler,
    ) -> ProtocolResult {
        let channel = self.channels.get_mut(&frame.channel).ok_or(ProtocolError::ChannelNotOpen)?;
        let mut arguments = WireReader::new(frame.payload);
        let method = Method::read(&mut arguments)?;
        if method == Method::CHANNEL_CLOSE {
            return self.on_channel_close(frame.channel, &mut arguments, handler);
        }
        if channel.content.is_some() {
            return Err(ProtocolError::MethodWithinContent);
        }
        let max_unsettled = self.settings.max_unsettled;
        let output = &mut self.output;
        let mut call = MethodCall { now, method, arguments, max_unsettled, output, handler };
        match method.class {
            BASIC_CLASS => channel.basic_method(&mut call),
            _ => channel.setup_method(&mut call),
        }
    }

    fn on_channel_close(
        &mut self,
        number: u16,
        arguments: &mut WireReader<'_>,
        handler: &mut impl ConnectionHandler,
    ) -> ProtocolResult {
        let (reply_code, reply_text) = (arguments.u16()?, arguments.short_string()?);
        frame::put_method(&mut self.output, number, Method::CHANNEL_CLOSE_OK, |_| {});
        self.channels.remove(&number);
        handler.channel_closed(number, reply_code, reply_text);
        Ok(())
    }
}

impl Channel {
    /// Handles the methods of the classes `channel` and `confirm`.
    fn setup_method<H: ConnectionHandler>(&mut self, call: &mut MethodCall<'_, '_, H>) -> ProtocolResult {
        match (self.state, call.method) {
            (ChannelState::Opening, Method::CHANNEL_OPEN_OK) => self.on_open_ok(call),
            (ChannelState::Preparing, Method::CONFIRM_SELECT_OK) => {
                self.become_ready(call);
                Ok(())
            }
            (_, Method::CHANNEL_FLOW) => self.on_flow(call),
            _ => Err(ProtocolError::UnexpectedMethod),
        }
    }

    fn basic_method<H: ConnectionHandler>(&mut self, call: &mut MethodCall<'_, '_, H>) -> ProtocolResult {
        match (self.state, call.method) {
            (_, Method::BASIC_QOS_OK) => self.on_qos_ok(call),
            (ChannelState::Preparing, Method::BASIC_CONSUME_OK) => self.on_consume_ok(call),
            // Some brokers send deliveries before `basic.consume-ok`.
            (
                ChannelState::Preparing | ChannelState::Ready | ChannelState::Cancelled,
                Method::BASIC_DELIVER,
            ) => self.on_deliver(call),
            (_, Method::BASIC_RETURN) if self.publishes() => self.on_return(call),
            (_, Method::BASIC_CANCEL) => self.on_cancel(call),
            (ChannelState::Cancelled, Method::BASIC_CANCEL_OK) => {
                call.arguments.short_string()?;
                Ok(())
            }
            (_, Method::BASIC_ACK | Method::BASIC_NACK) if self.publishes() => self.on_confirm(call),
            _ => Err(ProtocolError::UnexpectedMethod),
        }
    }

    fn become_ready<H: ConnectionHandler>(&mut self, call: &mut MethodCall<'_, '_, H>) {
        self.state = ChannelState::Ready;
        call.handler.channel_ready(self.number);
    }

    fn on_open_ok<H: ConnectionHandler>(&mut self, call: &mut MethodCall<'_, '_, H>) -> ProtocolResult {
        call.arguments.long_string()?;
        self.state = ChannelState::Preparing;
        match self.purpose {
            ChannelPurpose::Consume { prefetch, .. } => {
                self.send_qos(call.output, prefetch, QosReason::BeforeConsume);
            }
            ChannelPurpose::Publish => {
                let no_wait = 0;
                frame::put_method(call.output, self.number, Method::CONFIRM_SELECT, |out| out.push(no_wait));
            }
        }
        Ok(())
    }

    fn on_flow<H>(&mut self, call: &mut MethodCall<'_, '_, H>) -> ProtocolResult {
        let active = call.arguments.u8()? & ACTIVE_BIT;
        frame::put_method(call.output, self.number, Method::CHANNEL_FLOW_OK, |out| out.push(active));
        Ok(())
    }

    fn on_qos_ok<H: ConnectionHandler>(&mut self, call: &mut MethodCall<'_, '_, H>) -> ProtocolResult {
        match self.pending_qos.pop_front() {
            Some(QosReason::BeforeConsume) => self.send_consume(call.output),
            Some(QosReason::PrefetchChanged) => Ok(()),
            Some(QosReason::Fence(fence)) => {
                call.handler.fence_answered(self.number, fence);
                Ok(())
            }
            None => Err(ProtocolError::UnsolicitedReply),
        }
    }

    fn send_consume(&self, output: &mut Vec<u8>) -> ProtocolResult {
        let ChannelPurpose::Consume { queue, .. } = &self.purpose else {
            return Err(ProtocolError::UnsolicitedReply);
        };
        frame::put_method(output, self.number, Method::BASIC_CONSUME, |out| {
            // Reserved argument.
            out.extend([0, 0]);
            put_short_string(out, queue);
            put_short_string(out, &self.consumer_tag());
            // The bits `no-local`, `no-ack`, `exclusive` and `no-wait` are not set.
            out.push(0);
            TableWriter::default().finish().put(out);
        });
        Ok(())
    }

    fn on_consume_ok<H: ConnectionHandler>(&mut self, call: &mut MethodCall<'_, '_, H>) -> ProtocolResult {
        let _consumer_tag = call.arguments.short_string()?;
        self.become_ready(call);
        Ok(())
    }

    fn on_deliver<H>(&mut self, call: &mut MethodCall<'_, '_, H>) -> ProtocolResult {
        let _consumer_tag = call.arguments.short_string()?;
        let (tag, redelivered) = (call.arguments.u64()?, call.arguments.u8()? != 0);
        let _exchange = call.arguments.short_string()?;
        let routing_key = call.arguments.short_string()?.to_string();
        if tag == 0 || self.unsettled.contains(&tag) {
            return Err(ProtocolError::DeliveryTagInUse);
        }
        if self.unsettled.len() >= call.max_unsettled {
            return Err(ProtocolError::TooManyDeliveries);
        }
        self.unsettled.insert(tag);
        let origin = ContentOrigin::Delivery { tag, redelivered, routing_key };
        self.content = Some(Content::new(call.now, origin));
        Ok(())
    }

    fn on_return<H>(&mut self, call: &mut MethodCall<'_, '_, H>) -> ProtocolResult {
        let _reply_code = call.arguments.u16()?;
        let _reply_text = call.arguments.short_string()?;
        let _exchange = call.arguments.short_string()?;
        let _routing_key = call.arguments.short_string()?;
        self.content = Some(Content::new(call.now, ContentOrigin::Return));
        Ok(())
    }

    fn on_cancel<H: ConnectionHandler>(&mut self, call: &mut MethodCall<'_, '_, H>) -> ProtocolResult {
        let (consumer_tag, bits) = (call.arguments.short_string()?, call.arguments.u8()?);
        if bits & NO_WAIT_BIT == 0 {
            frame::put_method(call.output, self.number, Method::BASIC_CANCEL_OK, |out| {
                put_short_string(out, consumer_tag);
            });
        }
        self.state = ChannelState::Cancelled;
        call.handler.consumer_cancelled(self.number);
        Ok(())
    }

    fn on_confirm<H: ConnectionHandler>(&mut self, call: &mut MethodCall<'_, '_, H>) -> ProtocolResult {
        let (tag, bits) = (call.arguments.u64()?, call.arguments.u8()?);
        if tag > self.published {
            return Err(ProtocolError::UnknownConfirm);
        }
        let accepted = call.method == Method::BASIC_ACK;
        let first = if bits & MULTIPLE_BIT != 0 { 0 } else { tag };
        let confirmed: Vec<u64> = self.unconfirmed.range(first..=tag).map(|(tag, _)| *tag).collect();
        for tag in confirmed {
            if let Some(number) = self.unconfirmed.remove(&tag) {
                call.handler.publish_confirmed(number, accepted);
            }
        }
        Ok(())
    }
}
