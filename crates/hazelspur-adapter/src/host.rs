//! Controllers of the bench's servers, and the batch that is being read.
//!
//! Input: the bench's lines. Output: the decisions of the servers that have an event in the batch. A server
//! whose input is rejected, or whose controller panics, is answered with `GIVE_IN` in place of decisions; an
//! error that belongs to no server is returned and ends the adapter.

use crate::decision_line::write_decision;
use crate::error::AdapterError;
use crate::event::{EventKind, Line, LineKind, ServerEvent};
use crate::fields::Fields;
use hazelspur::{AdmissionController, Timestamp};
use hazelspur_parsers::{Json, settings};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Running servers, and the state of the current batch.
#[derive(Default)]
pub(crate) struct Host {
    controllers: BTreeMap<String, AdmissionController>,
    /// Time of the current batch; `None` outside a batch.
    now: Option<Timestamp>,
    /// Id of the server to which the following lines belong.
    selected: Option<String>,
    /// Servers with an event in this batch, in order of appearance.
    batch_servers: Vec<BatchServer>,
}

/// A server with an event in the current batch.
struct BatchServer {
    /// Id of the server.
    server: String,
    /// First error of the server in this batch.
    error: Option<AdapterError>,
}

/// Error of a line, with the server that it belongs to.
pub(crate) struct RejectedLine {
    /// Reason for the rejection.
    pub(crate) error: AdapterError,
    /// Id of the server that is answered with `GIVE_IN`; `None` if the error belongs to no server and ends
    /// the adapter.
    pub(crate) server: Option<String>,
}

impl From<AdapterError> for RejectedLine {
    fn from(error: AdapterError) -> Self {
        Self { error, server: None }
    }
}

impl Host {
    /// Returns whether a batch has begun and is not committed.
    pub(crate) fn is_in_batch(&self) -> bool {
        self.now.is_some()
    }

    /// Processes one line. The commit itself is left to the caller, which calls `write_reply`.
    ///
    /// # Errors
    /// Returns an error if the line is malformed, out of place or makes the controller panic.
    pub(crate) fn process_line(&mut self, line: Line) -> Result<(), RejectedLine> {
        let Some(now) = self.now else { return self.process_line_outside_batch(line) };
        match line.kind {
            LineKind::Batch => Err(AdapterError::NestedBatch.into()),
            LineKind::Select => {
                self.selected = Some(line.fields.required("server-id")?);
                Ok(())
            }
            LineKind::Enlist => self.start_server(now, line.fields),
            LineKind::Exit => self.end_server(),
            LineKind::Event(kind) => self.report_event(now, kind, line.fields),
            LineKind::Commit | LineKind::Empty | LineKind::Unknown => Ok(()),
        }
    }

    fn process_line_outside_batch(&mut self, line: Line) -> Result<(), RejectedLine> {
        match line.kind {
            LineKind::Batch => {
                self.now = Some(Timestamp::from_us(line.fields.required("at-time-us")?));
                Ok(())
            }
            LineKind::Empty => Ok(()),
            _ => Err(AdapterError::OutsideBatch.into()),
        }
    }

    /// Includes a server in the reply to the commit, with its first error in this batch.
    pub(crate) fn include_in_reply(&mut self, server: &str, error: Option<AdapterError>) {
        match self.batch_servers.iter_mut().find(|entry| entry.server == server) {
            Some(entry) => entry.error = entry.error.take().or(error),
            None => self.batch_servers.push(BatchServer { server: server.into(), error }),
        }
    }

    fn selected(&self) -> Result<String, AdapterError> {
        self.selected.clone().ok_or(AdapterError::NoServerSelected)
    }

    fn start_server(&mut self, now: Timestamp, fields: Fields) -> Result<(), RejectedLine> {
        let server = self.selected()?;
        let controller = match start_controller(now, fields) {
            Ok(controller) => controller,
            Err(error) => return Err(RejectedLine { error, server: Some(server) }),
        };
        self.controllers.insert(server.clone(), controller);
        self.batch_servers.retain(|entry| entry.server != server);
        self.include_in_reply(&server, None);
        Ok(())
    }

    fn end_server(&mut self) -> Result<(), RejectedLine> {
        let server = self.selected()?;
        if self.controllers.remove(&server).is_none() {
            return Err(AdapterError::UnknownServer { server }.into());
        }
        self.batch_servers.retain(|entry| entry.server != server);
        Ok(())
    }

    fn report_event(&mut self, now: Timestamp, kind: EventKind, fields: Fields) -> Result<(), RejectedLine> {
        let server = self.selected()?;
        let Some(controller) = self.controllers.get_mut(&server) else {
            return Err(AdapterError::UnknownServer { server }.into());
        };
        let report = || ServerEvent::parse(kind, fields).map(|event| event.report(controller, now));
        let reported = catch_unwind(AssertUnwindSafe(report));
        self.include_in_reply(&server, None);
        let result = reported.unwrap_or_else(|panic| Err(panic_error(&*panic)));
        result.map_err(|error| RejectedLine { error, server: Some(server) })
    }

    /// Ends the batch and writes the reply: the decisions, or the error, of each server with an event in it.
    pub(crate) fn write_reply(&mut self, reply: &mut String) {
        let now = self.now.take().unwrap_or_default();
        self.selected = None;
        for entry in std::mem::take(&mut self.batch_servers) {
            let mut lines = String::new();
            match entry.error {
                Some(error) => write_failure(&mut lines, &error),
                None => self.write_decisions(&mut lines, &entry.server, now),
            }
            if !lines.is_empty() {
                reply.push_str(&format!("CONTEXT server-id={}\n", entry.server));
                reply.push_str(&lines);
            }
        }
        reply.push_str("READY\n");
    }

    /// Writes all decisions of a server, followed by `GIVE_IN` if its controller panics.
    fn write_decisions(&mut self, lines: &mut String, server: &str, now: Timestamp) {
        let Some(controller) = self.controllers.get_mut(server) else { return };
        loop {
            match catch_unwind(AssertUnwindSafe(|| controller.next_decision(now))) {
                Ok(Some(decision)) => write_decision(lines, &decision),
                Ok(None) => return,
                Err(panic) => return write_failure(lines, &panic_error(&*panic)),
            }
        }
    }
}

/// Starts a controller with the seed and the settings of an `ENLIST` line.
fn start_controller(now: Timestamp, fields: Fields) -> Result<AdmissionController, AdapterError> {
    let name = "boot-info";
    let seed = fields.required("salt")?;
    let text = fields.rest(name).ok_or(AdapterError::MissingField { name })?;
    let object = Json::parse(text.as_bytes()).ok_or(AdapterError::MalformedField { name })?;
    let catalog = settings::catalog(object)?;
    let start = || AdmissionController::new(catalog, seed, now);
    catch_unwind(AssertUnwindSafe(start)).map_err(|panic| panic_error(&*panic))
}

/// Appends the line that reports the error of a server.
fn write_failure(lines: &mut String, error: &AdapterError) {
    let message = error.to_string().replace('\n', " ");
    lines.push_str(&format!("GIVE_IN message={message}\n"));
}

/// Returns the error with the message of a panic.
fn panic_error(panic: &(dyn Any + Send)) -> AdapterError {
    let text = panic.downcast_ref::<&str>().map(ToString::to_string);
    let message = text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".into());
    AdapterError::Panic { message }
}
