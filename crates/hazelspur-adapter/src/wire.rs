//! The wire's lines, read in place.

use hazelspur::{Decision, Outcome, RequestId};
use std::fmt::Write;

/// The name under which the bench gives the requests on the cores.
pub const REQUESTS_ON_CORES_GAUGE: &str = "on_cores";

/// A message's fields, looked up where they stand.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a str);

impl<'a> Fields<'a> {
    pub fn get(self, name: &str) -> Option<&'a str> {
        self.0.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    /// A text field takes up the rest of the line.
    pub fn rest(self, name: &str) -> Option<&'a str> {
        let lead = format!("{name}=");
        let at = if self.0.starts_with(&lead) { 0 } else { self.0.find(&format!(" {lead}"))? + 1 };
        Some(&self.0[at + lead.len()..])
    }

    pub fn need<T: std::str::FromStr>(self, name: &str) -> Result<T, String> {
        let text = self.get(name).ok_or_else(|| format!("field {name} is missing"))?;
        text.parse().map_err(|_| format!("field {name} is unreadable: {text}"))
    }

    pub fn optional<T: std::str::FromStr>(self, name: &str) -> Result<Option<T>, String> {
        if self.get(name).is_none() { Ok(None) } else { self.need(name).map(Some) }
    }

    /// A number that can't be infinite or below zero; absent is the default.
    pub fn number(self, name: &str, default: f64) -> Result<f64, String> {
        let n = self.optional(name)?.unwrap_or(default);
        if n.is_finite() && n >= 0.0 { Ok(n) } else { Err(format!("field {name} is unreadable: {n}")) }
    }

    pub fn request(self, name: &str) -> Result<RequestId, String> {
        let text = self.get(name).ok_or_else(|| format!("field {name} is missing"))?;
        RequestId::parse(text).ok_or_else(|| format!("field {name} is unreadable: {text}"))
    }
}

pub fn outcome(fields: Fields) -> Result<Outcome, String> {
    let code: u32 = fields.need("disposition")?;
    Ok(match code {
        0 => Outcome::Ok,
        255 => Outcome::Error,
        254 => Outcome::Rejected,
        253 => Outcome::TimedOut,
        252 => Outcome::Unreachable,
        251 => Outcome::ConnectionLost,
        250 => Outcome::Preempted,
        249 => Outcome::NeverStarted,
        _ => return Err(format!("field disposition is unreadable: {code}")),
    })
}

pub fn write_decision(reply: &mut String, decision: &Decision) {
    let flag = |b: bool| u8::from(b);
    let line = match decision {
        Decision::Run(request) => writeln!(reply, "ADMIT request-id={request}"),
        Decision::Preempt(request) => writeln!(reply, "HALT request-id={request}"),
        Decision::Reject { request, retry_after, do_not_retry_elsewhere } => {
            let (wait, last) = (retry_after.us(), flag(*do_not_retry_elsewhere));
            writeln!(reply, "DENY request-id={request} hold-off-us={wait} terminal={last}")
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
        Decision::AdvertiseCapacity(x) => writeln!(reply, "SAY x={x}"),
        Decision::SetHealth { active, cached } => {
            writeln!(reply, "SET_HEALTH active={} cached={}", flag(*active), flag(*cached))
        }
        Decision::SetIdleTimeout(span) => writeln!(reply, "KEEPALIVE hold-for-us={}", span.us()),
        Decision::SetTimer(at) => writeln!(reply, "REMIND fire-at-us={} nonce=beat", at.us()),
        Decision::Log(event) => writeln!(reply, "RECORD message={event}"),
    };
    line.expect("a string takes any text");
}
