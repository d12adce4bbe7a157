//! Scripted faults of the broker, placed by the number of the frame that a connection has sent or read.

use hazelspur::pcg::Pcg;

/// Frame of a connection at which a fault occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramePosition {
    /// The nth frame that the broker sends, counted from 1; the fault occurs just before the sending.
    Sent(u64),
    /// The nth frame that the broker reads, counted from 1; the fault occurs before the frame is acted on.
    Read(u64),
}

/// A way in which the broker misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Breaks the connection between two frames.
    CutBetweenFrames,
    /// Breaks the connection in the middle of a frame that is sent, or after a frame that was read is acted
    /// on.
    CutWithinFrame,
    /// Sends nothing more, not even heartbeats, and keeps the connection open.
    Silence,
    /// Sends the frame with a wrong end octet.
    WrongFrameEnd,
    /// Sends the frame with a stated length of 4 GB.
    HugeFrameLength,
    /// Closes every channel of the connection that has a consumer.
    CloseChannels,
    /// Cancels every consumer, those of other connections included.
    CancelConsumers,
    /// Sends `connection.blocked`, and `connection.unblocked` after this many milliseconds.
    BlockConnection(u64),
    /// Refuses the next message that is published on the connection.
    RefusePublish,
    /// Leaves out the next publisher confirm of the connection.
    LoseConfirm,
    /// Publishes the message that was delivered last once more, with its message-id.
    DuplicateMessage,
    /// Sends `connection.close`, and nothing after it.
    CloseConnection,
}

/// Faults of one connection; each occurs once.
pub type Script = Vec<(FramePosition, Fault)>;

/// Draws up to `max_faults` faults, at frames 6 to 65, for a connection of some hundred frames.
pub fn random(random_numbers: &mut Pcg, max_faults: u32) -> Script {
    let faults = [
        Fault::CutBetweenFrames,
        Fault::CutBetweenFrames,
        Fault::CutWithinFrame,
        Fault::CutWithinFrame,
        Fault::WrongFrameEnd,
        Fault::HugeFrameLength,
        Fault::CloseChannels,
        Fault::CancelConsumers,
        Fault::BlockConnection(30),
        Fault::RefusePublish,
        Fault::LoseConfirm,
        Fault::DuplicateMessage,
        Fault::DuplicateMessage,
        Fault::CloseConnection,
    ];
    (0..random_numbers.draw() % (max_faults + 1))
        .map(|_| {
            let frame = 6 + u64::from(random_numbers.draw() % 60);
            let position = if random_numbers.draw().is_multiple_of(2) {
                FramePosition::Sent(frame)
            } else {
                FramePosition::Read(frame)
            };
            (position, faults[random_numbers.draw() as usize % faults.len()])
        })
        .collect()
}
