//! One connection to a broker: transfers bytes between the socket and the protocol's state machine, and waits
//! for the next event.

use super::channels::ChannelAttempts;
use super::consumer::{AmqpConsumer, ConnectionFailure, MAX_WAIT, is_shutting_down};
use hazelspur::{Duration, Timestamp};
use hazelspur_amqp::{Connection, ConnectionEnd, ConnectionSettings, ConnectionState, Credentials};
use hazelspur_deliveries::{ConnectionNumber, DeliveryTag};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

/// Number of unwritten output bytes at or above which no input is read from the broker.
const MAX_UNWRITTEN_BYTES: usize = 256 * 1024;
/// Minimum wait for an event.
const MIN_WAIT: Duration = Duration::from_ms(1);

/// State of one connection.
pub(super) struct BrokerConnection {
    pub(super) protocol: Connection,
    pub(super) number: ConnectionNumber,
    pub(super) channel_attempts: ChannelAttempts,
    /// Time at which the consumers were cancelled; `None` while they consume.
    pub(super) cancelled_at: Option<Timestamp>,
}

impl BrokerConnection {
    fn is_over(&self) -> bool {
        self.protocol.state() == ConnectionState::Closed
    }

    /// Settles a delivery; returns false if its tag belongs to another connection or is not open.
    pub(super) fn settle(&mut self, tag: DeliveryTag, settle: impl FnOnce(&mut Connection) -> bool) -> bool {
        if tag.connection != self.number {
            return false;
        }
        let settled = settle(&mut self.protocol);
        if !settled {
            log::debug!("delivery tag not open: {tag:?}");
        }
        settled
    }
}

/// Output taken from the protocol, of which the first `written` bytes are written to the socket.
#[derive(Default)]
struct Output {
    bytes: Vec<u8>,
    written: usize,
}

impl Output {
    fn unwritten(&self) -> &[u8] {
        &self.bytes[self.written..]
    }

    fn is_written(&self) -> bool {
        self.written == self.bytes.len()
    }

    fn discard(&mut self) {
        self.written = self.bytes.len();
    }
}

impl AmqpConsumer {
    /// Serves a connection until it is over and its output is written; returns the reason for its end.
    pub(super) async fn serve_connection(&self, mut stream: TcpStream) -> ConnectionFailure {
        let _ = stream.set_nodelay(true);
        let mut connection = self.new_connection();
        let (mut reader, mut writer) = stream.split();
        let (mut output, mut was_open) = (Output::default(), false);
        while !connection.is_over() || !output.is_written() {
            self.advance(&mut connection);
            if output.is_written() {
                output = Output { bytes: connection.protocol.take_output(self.now()), written: 0 };
            }
            if connection.is_over() && output.bytes.is_empty() {
                break;
            }
            if !self.next_event(&mut connection, &mut reader, &mut writer, &mut output).await {
                break;
            }
            if connection.protocol.state() == ConnectionState::Open && !was_open {
                was_open = true;
                self.brokers.borrow_mut().connected(self.now());
            }
        }
        self.connection_over(&connection, was_open)
    }

    fn new_connection(&self) -> BrokerConnection {
        let number = ConnectionNumber(self.connection_number.get().0 + 1);
        self.connection_number.set(number);
        let password = self.config.password.clone();
        let max_unsettled = self.queues.iter().map(|queue| usize::from(queue.max_unsettled)).max();
        let settings = ConnectionSettings {
            credentials: self.config.user.clone().map(|user| Credentials { user, password }),
            virtual_host: self.config.vhost.clone(),
            connection_name: self.server_name.clone(),
            heartbeat: Duration::from_secs(self.config.heartbeat_s),
            max_frame_bytes: self.config.max_frame_bytes,
            max_unsettled: max_unsettled.unwrap_or(1),
            max_channel: self.publishing_channel(),
        };
        BrokerConnection {
            protocol: Connection::new(settings, self.now()),
            number,
            channel_attempts: ChannelAttempts::default(),
            cancelled_at: None,
        }
    }

    /// Waits for one event and handles it. Returns false if the connection is over and its last output was
    /// not written in time.
    async fn next_event(
        &self,
        connection: &mut BrokerConnection,
        reader: &mut ReadHalf<'_>,
        writer: &mut WriteHalf<'_>,
        output: &mut Output,
    ) -> bool {
        let over = connection.is_over();
        let wait = self.next_deadline(connection) - self.now();
        let may_read = !over && output.unwritten().len() < MAX_UNWRITTEN_BYTES;
        tokio::select! {
            biased;
            received = reader.read_buf(connection.protocol.input_buffer()), if may_read => {
                self.received(connection, received);
            }
            written = writer.write(output.unwritten()), if !output.is_written() => match written {
                Ok(count) => output.written += count,
                Err(error) => {
                    connection.protocol.transport_closed(&error.to_string());
                    output.discard();
                }
            },
            // Yields once, so that settlements of requests that are about to end are sent in the same write.
            () = self.input_notification.notified(), if !over => tokio::task::yield_now().await,
            () = self.phases.reached(is_shutting_down), if !over && !self.shutting_down.get() => {}
            () = self.clock().sleep(wait.max(MIN_WAIT)) => {
                if over {
                    return false;
                }
                connection.protocol.tick(self.clock().input_watermark());
            }
        }
        true
    }

    fn received(&self, connection: &mut BrokerConnection, received: io::Result<usize>) {
        match received {
            Ok(0) => connection.protocol.transport_closed("closed by the peer without connection.close"),
            Ok(_) => self.process_input(connection),
            Err(error) => connection.protocol.transport_closed(&error.to_string()),
        }
    }

    /// Returns the time of the next timeout or attempt, at most `MAX_WAIT` from now.
    fn next_deadline(&self, connection: &BrokerConnection) -> Timestamp {
        let channel_attempt = connection.channel_attempts.next();
        let delivery = self.tracker.borrow().next_deadline();
        let deadlines = [connection.protocol.next_tick(), delivery, channel_attempt];
        let latest = self.now() + MAX_WAIT;
        deadlines.into_iter().flatten().min().map_or(latest, |deadline| deadline.min(latest))
    }

    /// Notifies the tracker of a connection that is over; returns the reason for its end.
    fn connection_over(&self, connection: &BrokerConnection, was_open: bool) -> ConnectionFailure {
        let stale = connection.protocol.stale_settlements();
        if stale > 0 {
            log::error!(count = stale; "dropped settlements whose delivery tags were not open");
        }
        self.disconnected();
        self.carry_out_actions(None);
        let end = connection.protocol.end();
        let reason = end.map_or_else(|| ConnectionEnd::Closed.to_string(), ToString::to_string);
        let refused = !was_open && connection.is_over() && connection.protocol.was_refused();
        ConnectionFailure { reason, refused }
    }
}
