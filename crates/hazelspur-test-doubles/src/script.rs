//! Faults of a broker, placed by the number of a frame that a connection has sent or read.

use hazelspur::pcg::Pcg;

/// When a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FramePosition {
    /// When the connection is about to send its nth frame, from 1 on.
    Sent(u64),
    /// When it has read its nth frame and not looked at it yet.
    Read(u64),
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection breaks between two frames.
    CutBetweenFrames,
    /// It breaks in the middle of a frame; where one was read, after it was acted on.
    CutWithinFrame,
    /// Nothing more is sent, heartbeats neither, though the connection stands.
    Silence,
    /// The frame's end octet is wrong.
    WrongFrameEnd,
    /// The frame's length says 4 GB.
    HugeFrameLength,
    /// Every consuming channel is closed by the broker.
    CloseChannels,
    /// Every consumer is cancelled by the broker.
    CancelConsumers,
    /// `connection.blocked`, and unblocked after so many ms.
    BlockConnection(u64),
    /// What is published next is refused.
    RefusePublish,
    /// The next confirm is never sent.
    LoseConfirm,
    /// The message delivered last is published once more, with its message-id.
    DuplicateMessage,
    /// `connection.close` from the broker.
    CloseConnection,
}

/// The faults of one connection.
pub type Script = Vec<(FramePosition, Fault)>;

/// Up to `most` faults for a connection of some hundred frames.
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
