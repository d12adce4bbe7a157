//! One gateway's connection from its first byte to its close, however it ends:
//! open, parting (farewell is said), closing (what is there by the last look is answered), shut (the write
//! side is; what still comes is discarded until the peer's end or a bound), gone from the table.

use crate::clock::sleep;
use crate::ingress::answers::{Answers, Stage};
use crate::ingress::gateways::{ConnectionId, Gateways};
use crate::request::event::RequestEvent;
use hazelspur::{Duration, RequestId};
use hazelspur_parsers::Buffer;
use std::io::Read;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

/// From a gateway that does not read this much, nothing more is read either.
const MAX_UNWRITTEN: usize = 64 * 1024;
/// After an error nothing more is read for a while, so that errors at full speed don't take up the core.
const FAULT_PAUSE: Duration = Duration::from_ms(50);
/// A caller that does not take its last answers is left after this.
const LAST_WRITE: Duration = Duration::from_ms(1000);
/// A peer that goes on sending requests after its farewell is looked at so often, each time so much.
const MAX_LOOKS: usize = 8;
const LOOK: usize = 64 * 1024;
/// What still comes after the last word is read and dropped, so that a reset does not swallow that word; so
/// much of it, for so long.
const DISCARDED: usize = 256 * 1024;
const DISCARDING: Duration = Duration::from_ms(300);

#[derive(Clone, Copy, PartialEq)]
enum End {
    /// The peer writes nothing more, but may still read.
    PeerDone,
    /// It is closed from this side.
    Asked,
    Broken,
}

/// Whatever ends a connection's task, a panic too: its place is free, and its requests know that nobody waits.
struct Settled {
    gateways: Rc<Gateways>,
    connection: ConnectionId,
    answers: Rc<Answers>,
}

impl Drop for Settled {
    fn drop(&mut self) {
        self.gateways.remove(self.connection);
        let left: Vec<RequestId> = self.answers.open.borrow().values().copied().collect();
        if !left.is_empty() {
            log::debug!(open = left.len(); "connection broke");
        }
        left.into_iter()
            .for_each(|request| self.gateways.services.dispatcher.deliver(request, RequestEvent::ClientGone));
    }
}

impl Gateways {
    pub async fn converse(
        self: Rc<Self>,
        connection: ConnectionId,
        answers: Rc<Answers>,
        mut stream: TcpStream,
    ) {
        let _settled = Settled { gateways: self.clone(), connection, answers: answers.clone() };
        let _ = stream.set_nodelay(true);
        let (mut read, mut write) = stream.split();
        let mut buffer = Buffer::default();
        let ended = {
            let writing = answers.write_to(&mut write);
            tokio::pin!(writing);
            let ended = tokio::select! {
                ended = self.read_from(&mut read, &answers, &mut buffer) => ended,
                () = &mut writing => End::Broken,
                () = answers.close.notified() => End::Asked,
            };
            if ended == End::Broken {
                return;
            }
            answers.stage.set(Stage::Closing);
            for _ in 0..MAX_LOOKS {
                tokio::select! {
                    () = &mut writing => return,
                    () = answers.all_out(LAST_WRITE) => {}
                }
                if ended == End::PeerDone || !self.last_look(&read, &answers, &mut buffer) {
                    break;
                }
            }
            ended
        };
        self.note_faults(&answers);
        // Since the last look nothing was waited for: what comes from here on has crossed the close.
        answers.stage.set(Stage::Shut);
        if shut(&mut write).await && ended == End::Asked {
            tokio::select! {
                () = discard(&mut read, &mut buffer) => {}
                () = sleep(DISCARDING) => {}
                () = answers.close.notified() => {}
            }
        }
    }

    async fn read_from(&self, read: &mut ReadHalf<'_>, answers: &Rc<Answers>, buffer: &mut Buffer) -> End {
        loop {
            match read.read_buf(buffer.room()).await {
                Ok(0) => return End::PeerDone,
                Ok(_) => {}
                Err(_) => return End::Broken,
            }
            let faults = answers.faults.get().0;
            self.take_lines(answers, buffer);
            let faults_now = answers.faults.get().0;
            if answers.shunned() {
                return End::Asked;
            } else if faults_now > faults {
                sleep(FAULT_PAUSE).await;
            }
            answers.written_below(MAX_UNWRITTEN).await;
        }
    }

    /// Takes what the system holds for this connection now, not what the runtime has heard of so far; says
    /// whether there was a whole line.
    fn last_look(&self, read: &ReadHalf<'_>, answers: &Rc<Answers>, buffer: &mut Buffer) -> bool {
        let (mut chunk, mut came) = ([0; 4096], 0);
        let socket = socket2::SockRef::from(read.as_ref());
        while came < LOOK && !answers.shunned() {
            match (&*socket).read(&mut chunk) {
                Ok(count @ 1..) => {
                    buffer.room().extend_from_slice(&chunk[..count]);
                    came += count;
                }
                _ => break,
            }
        }
        let whole = buffer.unread().contains(&b'\n');
        self.take_lines(answers, buffer);
        whole
    }
}

async fn shut(write: &mut WriteHalf<'_>) -> bool {
    write.shutdown().await.is_ok()
}

/// Reads and drops what still comes, up to a bound.
async fn discard(read: &mut ReadHalf<'_>, buffer: &mut Buffer) {
    let mut left = DISCARDED;
    while let Ok(count @ 1..) = read.read_buf(buffer.room()).await
        && left > 0
    {
        buffer.take(buffer.unread().len());
        left = left.saturating_sub(count);
    }
}
