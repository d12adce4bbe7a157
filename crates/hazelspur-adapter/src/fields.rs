//! Fields of a line: pairs `name=value` separated by spaces, read in place.

use crate::error::AdapterError;
use hazelspur::{Outcome, RequestId};
use std::str::FromStr;

/// Fields of one line.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(pub(crate) &'a str);

impl<'a> Fields<'a> {
    /// Returns the value of a field.
    pub(crate) fn get(self, name: &str) -> Option<&'a str> {
        self.0.split(' ').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the value of a field that extends to the end of the line and may contain spaces.
    pub(crate) fn rest(self, name: &str) -> Option<&'a str> {
        let prefix = format!("{name}=");
        let at = if self.0.starts_with(&prefix) { 0 } else { self.0.find(&format!(" {prefix}"))? + 1 };
        Some(&self.0[at + prefix.len()..])
    }

    /// Returns the parsed value of a required field.
    ///
    /// # Errors
    /// Returns an error if the field is missing or its value is malformed.
    pub(crate) fn required<T: FromStr>(self, name: &'static str) -> Result<T, AdapterError> {
        let value = self.get(name).ok_or(AdapterError::MissingField { name })?;
        value.parse().map_err(|_| unreadable_field(name, value))
    }

    /// Returns the parsed value of an optional field.
    ///
    /// # Errors
    /// Returns an error if the value is malformed.
    pub(crate) fn optional<T: FromStr>(self, name: &'static str) -> Result<Option<T>, AdapterError> {
        if self.get(name).is_none() { Ok(None) } else { self.required(name).map(Some) }
    }

    /// Returns the value of a numeric field, zero if the field is absent.
    ///
    /// # Errors
    /// Returns an error if the value is not a finite number from zero on.
    pub(crate) fn number(self, name: &'static str) -> Result<f64, AdapterError> {
        let number: f64 = self.optional(name)?.unwrap_or(0.0);
        if number.is_finite() && number >= 0.0 { Ok(number) } else { Err(unreadable_field(name, number)) }
    }

    /// Returns the id of a request from a required field.
    ///
    /// # Errors
    /// Returns an error if the field is missing or its value is not a request id.
    pub(crate) fn request(self, name: &'static str) -> Result<RequestId, AdapterError> {
        let value = self.get(name).ok_or(AdapterError::MissingField { name })?;
        RequestId::parse(value).ok_or_else(|| unreadable_field(name, value))
    }

    /// Returns the outcome of a run or a dependency call, from the required field `disposition`.
    ///
    /// # Errors
    /// Returns an error if the field is missing or its code is unknown.
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
