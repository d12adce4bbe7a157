//! Writes a controller's decisions as lines of the bench's protocol.

use hazelspur::Decision;
use std::fmt::Write;

/// Appends the line of a decision to the reply.
pub(crate) fn write_decision(reply: &mut String, decision: &Decision) {
    let flag = |b: bool| u8::from(b);
    let line = match decision {
        Decision::Run(request) => writeln!(reply, "ADMIT request-id={request}"),
        Decision::Preempt(request) => writeln!(reply, "HALT request-id={request}"),
        Decision::Reject { request, retry_after, do_not_retry_elsewhere } => {
            let (wait_us, is_terminal) = (retry_after.us(), flag(*do_not_retry_elsewhere));
            writeln!(reply, "DENY request-id={request} hold-off-us={wait_us} terminal={is_terminal}")
        }
        Decision::Fail(request) => writeln!(reply, "ABORT request-id={request}"),
        Decision::AnswerFromOriginal(request) => writeln!(reply, "ANSWER_FROM request-id={request}"),
        Decision::StartCall { request, timeout } => {
            writeln!(reply, "GO_CALL request-id={request} patience-us={}", timeout.us())
        }
        Decision::SkipCall(request) => writeln!(reply, "FALL_BACK request-id={request}"),
        Decision::StoreKey { request, window } => {
            writeln!(reply, "RECORD_KEY request-id={request} hold-for-us={}", window.us())
        }
        Decision::RemoveKey(request) => writeln!(reply, "RELEASE_KEY request-id={request}"),
        Decision::AdvertiseCapacity(capacity) => writeln!(reply, "SAY x={capacity}"),
        Decision::SetHealth { active, cached } => {
            writeln!(reply, "SET_HEALTH active={} cached={}", flag(*active), flag(*cached))
        }
        Decision::SetIdleTimeout(timeout) => writeln!(reply, "KEEPALIVE hold-for-us={}", timeout.us()),
        Decision::SetTimer(at) => writeln!(reply, "REMIND fire-at-us={} nonce=beat", at.us()),
        Decision::Log(event) => writeln!(reply, "RECORD message={event}"),
    };
    line.expect("a string takes any text");
}
