//! The fields of a line, `name=value` separated by spaces, read in place.

use crate::error::AdapterError;
use hazelspur::{Outcome, RequestId};
use std::str::FromStr;

/// The fields of one line.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(pub(crate) &'a str);

impl<'a> Fields<'a> {
    /// The value of a field.
    pub(crate) fn get(self, name: &str) -> Option<&'a str> {
        self.0.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    /// The value of a text field, which takes up the rest of the line.
    pub(crate) fn rest(self, name: &str) -> Option<&'a str> {
        let prefix = format!("{name}=");
        let at = if self.0.starts_with(&prefix) { 0 } else { self.0.find(&format!(" {prefix}"))? + 1 };
        Some(&self.0[at + prefix.len()..])
    }

    /// The value of a field that must be present.
    pub(crate) fn required<T: FromStr>(self, name: &'static str) -> Result<T, AdapterError> {
        let value = self.get(name).ok_or(AdapterError::MissingField { name })?;
        value.parse().map_err(|_| unreadable_field(name, value))
    }

    /// The value of a field that may be absent.
    pub(crate) fn optional<T: FromStr>(self, name: &'static str) -> Result<Option<T>, AdapterError> {
        if self.get(name).is_none() { Ok(None) } else { self.required(name).map(Some) }
    }

    /// A finite number from zero on; absent gives zero.
    pub(crate) fn number(self, name: &'static str) -> Result<f64, AdapterError> {
        let number: f64 = self.optional(name)?.unwrap_or(0.0);
        if number.is_finite() && number >= 0.0 { Ok(number) } else { Err(unreadable_field(name, number)) }
    }

    /// The id of a request.
    pub(crate) fn request(self, name: &'static str) -> Result<RequestId, AdapterError> {
        let value = self.get(name).ok_or(AdapterError::MissingField { name })?;
        RequestId::parse(value).ok_or_else(|| unreadable_field(name, value))
    }

    /// The outcome of a run or a dependency call (`disposition`).
    pub(crate) fn outcome(self) -> Result<Outcome, AdapterError> {
        let code: u32 = self.required("disposition")?;
        match code {
            0 => Ok(Outcome::Ok),
            255 => Ok(Outcome::Error),
            254 => Ok(Outcome::Rejected),
            253 => Ok(Outcome::TimedOut),
            252 => Ok(Outcome::Unreachable),
            251 => Ok(Outcome::ConnectionLost),
            250 => Ok(Outcome::Preempted),
            249 => Ok(Outcome::NeverStarted),
            _ => Err(unreadable_field("disposition", code)),
        }
    }
}

fn unreadable_field(name: &'static str, value: impl ToString) -> AdapterError {
    AdapterError::UnreadableField { name, value: value.to_string() }
}
