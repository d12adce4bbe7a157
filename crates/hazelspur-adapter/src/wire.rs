//! The wire's lines, read in place.

use hazelspur::{Decision, OpId, Outcome};
use std::fmt::Write;

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

    pub fn op(self, name: &str) -> Result<OpId, String> {
        let text = self.get(name).ok_or_else(|| format!("field {name} is missing"))?;
        OpId::parse(text).ok_or_else(|| format!("field {name} is unreadable: {text}"))
    }
}

pub fn outcome(fields: Fields) -> Result<Outcome, String> {
    let code: u32 = fields.need("disposition")?;
    Ok(match code {
        0 => Outcome::Ok,
        255 => Outcome::Error,
        254 => Outcome::Full,
        253 => Outcome::TimedOut,
        252 => Outcome::Unreached,
        251 => Outcome::Broken,
        250 => Outcome::Stopped,
        249 => Outcome::Moot,
        _ => return Err(format!("field disposition is unreadable: {code}")),
    })
}

pub fn write_decision(reply: &mut String, decision: &Decision) {
    let flag = |b: bool| u8::from(b);
    let line = match decision {
        Decision::Run(op) => writeln!(reply, "ADMIT request-id={op}"),
        Decision::Stop(op) => writeln!(reply, "HALT request-id={op}"),
        Decision::Nack { op, come_back, nowhere_else } => {
            let (wait, last) = (come_back.us(), flag(*nowhere_else));
            writeln!(reply, "DENY request-id={op} hold-off-us={wait} terminal={last}")
        }
        Decision::Fail(op) => writeln!(reply, "ABORT request-id={op}"),
        Decision::AnswerFrom(op) => writeln!(reply, "ANSWER_FROM request-id={op}"),
        Decision::Call { op, patience } => {
            writeln!(reply, "GO_CALL request-id={op} patience-us={}", patience.us())
        }
        Decision::SkipCall(op) => writeln!(reply, "FALL_BACK request-id={op}"),
        Decision::KeepKey { op, span } => {
            writeln!(reply, "RECORD_KEY request-id={op} hold-for-us={}", span.us())
        }
        Decision::DropKey(op) => writeln!(reply, "RELEASE_KEY request-id={op}"),
        Decision::Say(x) => writeln!(reply, "SAY x={x}"),
        Decision::Health { good, from_store } => {
            writeln!(reply, "SET_HEALTH active={} cached={}", flag(*good), flag(*from_store))
        }
        Decision::CloseIdle(span) => writeln!(reply, "KEEPALIVE hold-for-us={}", span.us()),
        Decision::Wake(at) => writeln!(reply, "REMIND fire-at-us={} nonce=beat", at.us()),
        Decision::Log(text) => writeln!(reply, "RECORD message={text}"),
    };
    line.expect("a string takes any text");
}
