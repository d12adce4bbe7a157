//! The servers of the bench, a controller each, and the batch that is being read. A server whose input is refused, or
//! whose controller panics, gives in on the wire; a fault of no server ends the adapter.

use crate::decision_line::write_decision;
use crate::error::AdapterError;
use crate::event::{BenchEvent, EventKind, Line, LineKind};
use crate::fields::Fields;
use hazelspur::{AdmissionController, Timestamp};
use hazelspur_parsers::{Json, settings};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The servers, and what was read of the current batch.
#[derive(Default)]
pub(crate) struct Host {
    controllers: BTreeMap<String, AdmissionController>,
    /// The time of the current batch.
    now: Option<Timestamp>,
    /// The server of the events that follow.
    selected: Option<String>,
    /// Servers with an event in this batch, in order of appearance.
    touched: Vec<TouchedServer>,
}

/// A server with an event in the current batch.
struct TouchedServer {
    server: String,
    /// Its first fault in this batch.
    error: Option<AdapterError>,
}

/// A refused line.
pub(crate) struct Fault {
    /// Why it is refused.
    pub(crate) error: AdapterError,
    /// The server that gives in; `None` ends the adapter.
    pub(crate) server: Option<String>,
}

impl From<AdapterError> for Fault {
    fn from(error: AdapterError) -> Self {
        Self { error, server: None }
    }
}

impl Host {
    /// Whether a batch was begun and not committed.
    pub(crate) fn is_in_batch(&self) -> bool {
        self.now.is_some()
    }

    /// Takes one line.
    pub(crate) fn take_line(&mut self, line: Line) -> Result<(), Fault> {
        let Some(now) = self.now else { return self.take_line_outside_batch(line) };
        match line.kind {
            LineKind::Batch => Err(AdapterError::NestedBatch.into()),
            LineKind::Select => {
                self.selected = Some(line.fields.required("server-id")?);
                Ok(())
            }
            LineKind::Enlist => self.start_server(now, line.fields),
            LineKind::Exit => self.end_server(),
            LineKind::Event(kind) => self.take_event(now, kind, line.fields),
            LineKind::Commit | LineKind::Empty | LineKind::Unknown => Ok(()),
        }
    }

    fn take_line_outside_batch(&mut self, line: Line) -> Result<(), Fault> {
        match line.kind {
            LineKind::Batch => {
                self.now = Some(Timestamp::from_us(line.fields.required("at-time-us")?));
                Ok(())
            }
            LineKind::Empty => Ok(()),
            _ => Err(AdapterError::OutsideBatch.into()),
        }
    }

    /// Counts a server among those that the commit answers for; keeps its first fault.
    pub(crate) fn touch(&mut self, server: &str, error: Option<AdapterError>) {
        match self.touched.iter_mut().find(|touched| touched.server == server) {
            Some(touched) => touched.error = touched.error.take().or(error),
            None => self.touched.push(TouchedServer { server: server.into(), error }),
        }
    }

    fn selected(&self) -> Result<String, AdapterError> {
        self.selected.clone().ok_or(AdapterError::NoServerSelected)
    }

    fn start_server(&mut self, now: Timestamp, fields: Fields) -> Result<(), Fault> {
        let server = self.selected()?;
        let controller = match start_controller(now, fields) {
            Ok(controller) => controller,
            Err(error) => return Err(Fault { error, server: Some(server) }),
        };
        self.controllers.insert(server.clone(), controller);
        self.touched.retain(|touched| touched.server != server);
        self.touch(&server, None);
        Ok(())
    }

    fn end_server(&mut self) -> Result<(), Fault> {
        let server = self.selected()?;
        if self.controllers.remove(&server).is_none() {
            return Err(AdapterError::UnknownServer { server }.into());
        }
        self.touched.retain(|touched| touched.server != server);
        Ok(())
    }

    fn take_event(&mut self, now: Timestamp, kind: EventKind, fields: Fields) -> Result<(), Fault> {
        let server = self.selected()?;
        let Some(controller) = self.controllers.get_mut(&server) else {
            return Err(AdapterError::UnknownServer { server }.into());
        };
        let report = || BenchEvent::parse(kind, fields).map(|event| event.report(controller, now));
        let reported = catch_unwind(AssertUnwindSafe(report));
        self.touch(&server, None);
        let result = reported.unwrap_or_else(|panic| Err(panic_error(&*panic)));
        result.map_err(|error| Fault { error, server: Some(server) })
    }

    /// Ends the batch and writes the decisions of the servers with events in it.
    pub(crate) fn write_reply(&mut self, reply: &mut String) {
        let now = self.now.take().unwrap_or_default();
        self.selected = None;
        for touched in std::mem::take(&mut self.touched) {
            let mut lines = String::new();
            match touched.error {
                Some(error) => write_give_in(&mut lines, &error),
                None => self.write_decisions(&mut lines, &touched.server, now),
            }
            if !lines.is_empty() {
                reply.push_str(&format!("CONTEXT server-id={}\n", touched.server));
                reply.push_str(&lines);
            }
        }
        reply.push_str("READY\n");
    }

    fn write_decisions(&mut self, lines: &mut String, server: &str, now: Timestamp) {
        let Some(controller) = self.controllers.get_mut(server) else { return };
        loop {
            match catch_unwind(AssertUnwindSafe(|| controller.next_decision(now))) {
                Ok(Some(decision)) => write_decision(lines, &decision),
                Ok(None) => return,
                Err(panic) => return write_give_in(lines, &panic_error(&*panic)),
            }
        }
    }
}

fn start_controller(now: Timestamp, fields: Fields) -> Result<AdmissionController, AdapterError> {
    let name = "boot-info";
    let seed = fields.required("salt")?;
    let text = fields.rest(name).ok_or(AdapterError::MissingField { name })?;
    let object = Json::parse(text.as_bytes()).ok_or(AdapterError::MalformedField { name })?;
    let catalog = settings::catalog(object)?;
    let start = || AdmissionController::new(catalog, seed, now);
    catch_unwind(AssertUnwindSafe(start)).map_err(|panic| panic_error(&*panic))
}

fn write_give_in(lines: &mut String, error: &AdapterError) {
    let message = error.to_string().replace('\n', " ");
    lines.push_str(&format!("GIVE_IN message={message}\n"));
}

fn panic_error(panic: &(dyn Any + Send)) -> AdapterError {
    let text = panic.downcast_ref::<&str>().map(ToString::to_string);
    let message = text.or_else(|| panic.downcast_ref::<String>().cloned()).unwrap_or_else(|| "panic".into());
    AdapterError::Panic { message }
}
