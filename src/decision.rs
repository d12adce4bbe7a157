//! What the host is to do next.

use crate::{Moment, OpId, Span};

#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start a held op, or let a paused one go on.
    Run(OpId),
    /// Take a running op off the cores.
    Stop(OpId),
    /// Final: turned away, never ran; when to come back, and whether to try nowhere else.
    Nack {
        op: OpId,
        come_back: Span,
        nowhere_else: bool,
    },
    /// Final: an error that promises nothing.
    Fail(OpId),
    /// Serve a held op from the result of the op it repeats.
    AnswerFrom(OpId),
    /// Make the call that a running op waits for.
    Call {
        op: OpId,
        patience: Span,
    },
    /// Go on without the call.
    SkipCall(OpId),
    KeepKey {
        op: OpId,
        span: Span,
    },
    DropKey(OpId),
    /// The free value that goes out with every answer.
    Say(f64),
    Health {
        good: bool,
        from_store: bool,
    },
    /// Close connections idle for this long; zero for the longest.
    CloseIdle(Span),
    /// Call `timer` at this time.
    Wake(Moment),
    Log(String),
}
