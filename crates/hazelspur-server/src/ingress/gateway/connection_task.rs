//! The task of one gateway's connection, from accept to close.
//!
//! In the stages `Open` and `GoodbyeSent` it reads and submits requests. In `Closing` it answers all open
//! requests and then makes final reads: it reads without waiting and answers what has arrived, until no
//! complete line is found or `MAX_FINAL_READS` is reached. In `ShutDown` the write side is shut down and
//! input is discarded until the peer closes or a limit is reached.

use super::connection::{GatewayConnection, Stage};
use super::server::{ConnectionId, GatewayServer};
use crate::read_quota::ReadQuota;
use crate::request::event::RequestEvent;
use hazelspur::{Duration, RequestId};
use hazelspur_parsers::Buffer;
use socket2::SockRef;
use std::io::{self, ErrorKind, Read};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::task::coop::consume_budget;

/// Number of queued output bytes at or above which a connection is not read.
const MAX_QUEUED_BYTES: usize = 64 * 1024;
/// Pause of reading after a protocol error, so that a flood of errors does not use up the processor.
const PROTOCOL_ERROR_PAUSE: Duration = Duration::from_ms(50);
/// Maximum time for writing the last responses to a client that does not read them.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_ms(1000);
/// Maximum number of final reads, for a client that keeps sending requests.
const MAX_FINAL_READS: usize = 8;
/// Number of bytes after which a final read ends.
const MAX_FINAL_READ_BYTES: usize = 64 * 1024;
/// Maximum number of bytes per read call of a final read.
const READ_CHUNK_BYTES: usize = 4096;
/// Number of bytes after which input is no longer discarded. Input is discarded after the shutdown because
/// closing a socket with unread input resets the connection, which may destroy the last response.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Maximum time for which input is discarded after the shutdown.
const DISCARD_TIMEOUT: Duration = Duration::from_ms(300);

/// Reason for which a connection is no longer read.
#[derive(Clone, Copy, PartialEq)]
enum ReadEnd {
    /// The peer has shut down its write side; it may still read responses.
    PeerFinished,
    /// This server closes the connection, or the client is blocked for its errors.
    CloseRequested,
    /// A read or write failed.
    Broken,
}

/// Guard that removes the connection and abandons its open requests when the task ends, also by a panic.
struct ConnectionGuard {
    server: Rc<GatewayServer>,
    id: ConnectionId,
    connection: Rc<GatewayConnection>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.server.remove(self.id);
        let abandoned: Vec<RequestId> = self.connection.open_requests.borrow().values().copied().collect();
        if !abandoned.is_empty() {
            log::debug!(open = abandoned.len(); "connection lost with open requests");
        }
        let dispatcher = &self.connection.dispatcher;
        abandoned.into_iter().for_each(|request| dispatcher.deliver(request, RequestEvent::ClientGone));
    }
}

impl GatewayServer {
    /// Serves one connection until it is closed.
    pub(super) async fn serve(
        self: Rc<Self>,
        id: ConnectionId,
        connection: Rc<GatewayConnection>,
        mut stream: TcpStream,
    ) {
        let _guard = ConnectionGuard { server: self.clone(), id, connection: connection.clone() };
        let _ = stream.set_nodelay(true);
        let (mut reader, mut writer) = stream.split();
        let mut input = Buffer::default();
        let end = self.serve_requests(&connection, &reader, &mut writer, &mut input).await;
        if end == ReadEnd::Broken {
            return;
        }
        self.log_protocol_errors(&connection);
        // There is no await since the final read: input from here on was sent before the peer noticed the
        // close.
        connection.stage.set(Stage::ShutDown);
        let is_shut_down = writer.shutdown().await.is_ok();
        if is_shut_down && end == ReadEnd::CloseRequested {
            tokio::select! {
                () = discard_input(&mut reader, &mut input) => {}
                () = self.services.dispatcher.clock.sleep(DISCARD_TIMEOUT) => {}
                () = connection.close_requested.notified() => {}
            }
        }
    }

    /// Reads and answers requests until reading ends, then makes the final reads and answers their requests.
    /// Returns the reason for which reading ended.
    async fn serve_requests(
        &self,
        connection: &Rc<GatewayConnection>,
        reader: &ReadHalf<'_>,
        writer: &mut WriteHalf<'_>,
        input: &mut Buffer,
    ) -> ReadEnd {
        let writing = connection.output.write_to(writer);
        tokio::pin!(writing);
        let end = tokio::select! {
            end = self.read_requests(reader, connection, input) => end,
            () = &mut writing => ReadEnd::Broken,
            () = reset_by_peer(reader) => ReadEnd::Broken,
            () = connection.close_requested.notified() => ReadEnd::CloseRequested,
        };
        if end == ReadEnd::Broken {
            return end;
        }
        connection.stage.set(Stage::Closing);
        for _ in 0..MAX_FINAL_READS {
            tokio::select! {
                () = &mut writing => return ReadEnd::Broken,
                () = reset_by_peer(reader) => return ReadEnd::Broken,
                () = connection.drained(FINAL_WRITE_TIMEOUT) => {}
            }
            if end == ReadEnd::PeerFinished || !self.final_read(reader, connection, input) {
                break;
            }
        }
        end
    }

    /// Reads and submits requests until the peer is finished, a read fails or the client is blocked.
    async fn read_requests(
        &self,
        reader: &ReadHalf<'_>,
        connection: &Rc<GatewayConnection>,
        input: &mut Buffer,
    ) -> ReadEnd {
        let clock = &self.services.dispatcher.clock;
        let quota = ReadQuota::default();
        loop {
            let count = match read_some(reader, input).await {
                Ok(0) => return ReadEnd::PeerFinished,
                Ok(count) => count,
                Err(_) => return ReadEnd::Broken,
            };
            let errors_before = connection.reputation.protocol_errors();
            self.process_lines(connection, input);
            if connection.reputation.is_blocked() {
                return ReadEnd::CloseRequested;
            }
            if connection.reputation.protocol_errors() > errors_before {
                clock.sleep(PROTOCOL_ERROR_PAUSE).await;
            }
            connection.output.queued_below(MAX_QUEUED_BYTES).await;
            quota.take(clock, count, SockRef::from(reader.as_ref())).await;
        }
    }

    /// Processes the input that the socket holds now, without waiting for the readiness event of the async
    /// runtime. Returns whether it contained a complete line.
    fn final_read(
        &self,
        reader: &ReadHalf<'_>,
        connection: &Rc<GatewayConnection>,
        input: &mut Buffer,
    ) -> bool {
        let (mut chunk, mut received) = ([0; READ_CHUNK_BYTES], 0);
        let socket = SockRef::from(reader.as_ref());
        while received < MAX_FINAL_READ_BYTES && !connection.reputation.is_blocked() {
            let Ok(count @ 1..) = (&*socket).read(&mut chunk) else { break };
            input.spare_capacity().extend_from_slice(&chunk[..count]);
            received += count;
        }
        let has_line = input.unread().contains(&b'\n');
        self.process_lines(connection, input);
        has_line
    }
}

/// Reads the next bytes and returns their number, zero at the end of the input.
async fn read_some(reader: &ReadHalf<'_>, input: &mut Buffer) -> io::Result<usize> {
    loop {
        // Endless input must not keep the other tasks from being polled.
        consume_budget().await;
        reader.readable().await?;
        match reader.try_read_buf(input.spare_capacity()) {
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Completes once the peer has reset the connection, also while input is unread: its requests are no longer
/// awaited.
async fn reset_by_peer(reader: &ReadHalf<'_>) {
    // An error of the call itself also means that the connection is unusable.
    let _ = reader.ready(Interest::ERROR).await;
}

/// Reads and discards input until the peer closes, a read fails or the limit is reached.
async fn discard_input(reader: &mut ReadHalf<'_>, input: &mut Buffer) {
    let mut bytes_left = MAX_DISCARDED_BYTES;
    while let Ok(count @ 1..) = reader.read_buf(input.spare_capacity()).await
        && bytes_left > 0
    {
        input.consume(input.unread().len());
        bytes_left = bytes_left.saturating_sub(count);
    }
}
