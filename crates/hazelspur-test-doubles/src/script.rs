//! Faults of a broker, placed by the number of a frame that a connection has sent or read.

use hazelspur::pcg::Pcg;

/// When a fault strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum At {
    /// When the connection is about to send its nth frame, from 1 on.
    Sent(u64),
    /// When it has read its nth frame and not looked at it yet.
    Read(u64),
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection breaks between two frames.
    Cut,
    /// It breaks in the middle of a frame; where one was read, after it was acted on.
    CutWithin,
    /// Nothing more is sent, heartbeats neither, though the connection stands.
    Mute,
    /// The frame's end octet is wrong.
    WrongEnd,
    /// The frame's length says 4 GB.
    HugeLength,
    /// Every consuming channel is closed by the broker.
    CloseChannels,
    /// Every consumer is cancelled by the broker.
    Cancel,
    /// `connection.blocked`, and unblocked after so many ms.
    Block(u64),
    /// What is published next is refused.
    Refuse,
    /// The next confirm is never sent.
    LoseConfirm,
    /// The message delivered last is published once more, with its message-id.
    Duplicate,
    /// `connection.close` from the broker.
    Close,
}

/// The faults of one connection.
pub type Script = Vec<(At, Fault)>;

/// Up to `most` faults for a connection of some hundred frames.
pub fn random(chance: &mut Pcg, most: u32) -> Script {
    let faults = [
        Fault::Cut,
        Fault::Cut,
        Fault::CutWithin,
        Fault::CutWithin,
        Fault::WrongEnd,
        Fault::HugeLength,
        Fault::CloseChannels,
        Fault::Cancel,
        Fault::Block(30),
        Fault::Refuse,
        Fault::LoseConfirm,
        Fault::Duplicate,
        Fault::Duplicate,
        Fault::Close,
    ];
    (0..chance.draw() % (most + 1))
        .map(|_| {
            let frame = 6 + u64::from(chance.draw() % 60);
            let at = if chance.draw().is_multiple_of(2) { At::Sent(frame) } else { At::Read(frame) };
            (at, faults[chance.draw() as usize % faults.len()])
        })
        .collect()
}
