//! Lines of the bench: their kinds, and the events of a server as typed values.

use crate::error::AdapterError;
use crate::fields::Fields;
use hazelspur::{
    AdmissionController, ClientId, Duration, NewRequest, Outcome, RequestClassId, RequestId, RuntimeGauges,
    SessionKey, TenantId, Timestamp,
};

/// Bit in the field `bits` of a request that states its cost.
const COST_STATED_BIT: u32 = 1;
/// Bit in the field `bits` of a request that writes.
const WRITE_BIT: u32 = 4;

/// Kind of a line, by its first word.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// Begin of a batch.
    Batch,
    /// End of a batch, answered with the decisions.
    Commit,
    /// Selection of the server to which the following lines belong.
    Select,
    /// Start of the selected server.
    Enlist,
    /// End of the selected server.
    Exit,
    /// Event of the selected server.
    Event(EventKind),
    /// Empty line, which is ignored.
    Empty,
    /// Unknown kind, which is ignored within a batch.
    Unknown,
}

/// Kind of an event of a server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventKind {
    /// A request arrived.
    RequestReceived,
    /// A run asks for its dependency call.
    CallRequested,
    /// A dependency call ended.
    CallFinished,
    /// A run ended.
    RunFinished,
    /// The client of a request is gone.
    RequestAbandoned,
    /// The timer fired.
    Timer,
    /// The server is to shut down.
    ShutdownNotice,
}

/// Line of the bench.
#[derive(Clone, Copy)]
pub(crate) struct Line<'a> {
    /// Kind of the line.
    pub(crate) kind: LineKind,
    /// Fields of the line, not parsed yet.
    pub(crate) fields: Fields<'a>,
}

impl<'a> Line<'a> {
    /// Splits a line without its line end into kind and fields.
    pub(crate) fn parse(text: &'a str) -> Self {
        let (word, fields) = text.split_once(' ').unwrap_or((text, ""));
        let kind = match word {
            "BATCH" => LineKind::Batch,
            "COMMIT" => LineKind::Commit,
            "SELECT" => LineKind::Select,
            "ENLIST" => LineKind::Enlist,
            "EXIT" => LineKind::Exit,
            "CALL" => LineKind::Event(EventKind::RequestReceived),
            "WANTS_CALL" => LineKind::Event(EventKind::CallRequested),
            "DEP_REPLY" => LineKind::Event(EventKind::CallFinished),
            "COMPLETED" => LineKind::Event(EventKind::RunFinished),
            "DROPPED" => LineKind::Event(EventKind::RequestAbandoned),
            "TIMER" => LineKind::Event(EventKind::Timer),
            "QUIESCE" => LineKind::Event(EventKind::ShutdownNotice),
            "" => LineKind::Empty,
            _ => LineKind::Unknown,
        };
        Self { kind, fields: Fields(fields) }
    }
}

/// Name of the bench's gauge for the number of requests on the cores.
const REQUESTS_ON_CORES_GAUGE: &str = "on_cores";

/// Gauge of the runtime, which executes the server's requests.
struct Gauge<'a> {
    /// Name of the gauge in the settings.
    name: &'a str,
    /// Value of the gauge, always finite.
    value: f64,
}

/// Event of a running server, with typed fields.
pub(crate) enum ServerEvent {
    /// A request arrived.
    RequestReceived(NewRequest),
    /// A run asks for its dependency call.
    CallRequested(RequestId),
    /// A dependency call ended.
    CallFinished {
        /// Request whose run asked for the call.
        request: RequestId,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// A run ended.
    RunFinished {
        /// Request that ran.
        request: RequestId,
        /// Outcome of the run.
        outcome: Outcome,
    },
    /// The client of a request is gone.
    RequestAbandoned(RequestId),
    /// The timer fired; the bench sends the runtime's gauges with it.
    Timer(RuntimeGauges),
    /// The server is to shut down by the given time.
    ShutdownNotice(Timestamp),
}

impl ServerEvent {
    /// Parses the fields of an event.
    ///
    /// # Errors
    /// Returns an error for the first field that is missing or malformed.
    pub(crate) fn parse(kind: EventKind, fields: Fields) -> Result<Self, AdapterError> {
        let request = || fields.request("request-id");
        Ok(match kind {
            EventKind::RequestReceived => Self::RequestReceived(parse_new_request(fields)?),
            EventKind::CallRequested => Self::CallRequested(request()?),
            EventKind::CallFinished => Self::CallFinished { request: request()?, outcome: fields.outcome()? },
            EventKind::RunFinished => Self::RunFinished { request: request()?, outcome: fields.outcome()? },
            EventKind::RequestAbandoned => Self::RequestAbandoned(request()?),
            EventKind::Timer => Self::Timer(parse_gauges(fields)?),
            EventKind::ShutdownNotice => {
                Self::ShutdownNotice(Timestamp::from_us(fields.required("give-up-at-us")?))
            }
        })
    }

    /// Reports the event to the server's controller.
    pub(crate) fn report(self, controller: &mut AdmissionController, now: Timestamp) {
        match self {
            Self::RequestReceived(new) => controller.request_received(now, new),
            Self::CallRequested(request) => controller.call_requested(now, request),
            Self::CallFinished { request, outcome } => controller.call_finished(now, request, outcome),
            Self::RunFinished { request, outcome } => controller.run_finished(now, request, outcome),
            Self::RequestAbandoned(request) => controller.request_abandoned(request),
            Self::Timer(gauges) => {
                controller.timer_tick(now, gauges);
            }
            Self::ShutdownNotice(stop_at) => controller.shutdown_notice(now, stop_at),
        }
    }
}

fn parse_new_request(fields: Fields) -> Result<NewRequest, AdapterError> {
    let bits: u32 = fields.optional("bits")?.unwrap_or(0);
    let deadline_us = fields.optional("give-up-at-us")?.filter(|at_us| *at_us > 0);
    let cost_us = fields.optional("cost-us")?.filter(|_| bits & COST_STATED_BIT != 0);
    let retry_of = match fields.get("prior") {
        None | Some("0" | "") => None,
        Some(_) => Some(fields.request("prior")?),
    };
    Ok(NewRequest {
        id: fields.request("request-id")?,
        class: RequestClassId(fields.required("class")?),
        tenant: TenantId(fields.optional("realm")?.unwrap_or(0)),
        session: fields.get("name-key").filter(|key| !key.is_empty()).map(SessionKey::of),
        client: ClientId(fields.optional("neighbour")?.unwrap_or(0)),
        deadline: deadline_us.map(Timestamp::from_us),
        cost: cost_us.map(Duration::from_us),
        size_kb: fields.number("kb")?,
        age: Duration::from_us(fields.optional("age-us")?.unwrap_or(0)),
        read_offset: Duration::ZERO,
        is_write: bits & WRITE_BIT != 0,
        retry_of,
    })
}

/// Parses the gauges in the field `telemetry`: pairs `name:value`, separated by commas.
fn parse_gauges(fields: Fields<'_>) -> Result<RuntimeGauges, AdapterError> {
    let pairs = fields.get("telemetry").unwrap_or("").split(',').filter(|pair| !pair.is_empty());
    let gauges: Option<Vec<Gauge>> = pairs.map(parse_gauge).collect();
    let gauges = gauges.ok_or(AdapterError::MalformedField { name: "telemetry" })?;
    let on_cores = gauges.iter().find(|gauge| gauge.name == REQUESTS_ON_CORES_GAUGE);
    Ok(RuntimeGauges { requests_on_cores: on_cores.map(|gauge| gauge.value) })
}

/// Parses a pair `name:value`, `None` if it is malformed or the value is not finite.
fn parse_gauge(pair: &str) -> Option<Gauge<'_>> {
    let (name, value) = pair.split_once(':')?;
    let value = value.parse().ok().filter(|value: &f64| value.is_finite())?;
    Some(Gauge { name, value })
}
