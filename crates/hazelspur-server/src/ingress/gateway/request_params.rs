//! Decodes the `params` of a request. A parameter of the wrong type or out of range is an error; unknown
//! parameters are ignored.

use super::error::ProtocolError;
use crate::ingress::limits::is_valid_size_kb;
use crate::request::lifecycle::MAX_BODY_LENGTH;
use hazelspur::{Catalog, ClientId, RequestId, TenantId};
use hazelspur_parsers::{Json, json, rpc};
use std::borrow::Cow;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;

/// Valid range of `level`. The protocol defines this parameter, but the server only validates it.
const LEVEL_RANGE: RangeInclusive<f64> = 0.0..=1.0;

/// Decoded parameters of a request.
pub(super) struct RequestParams<'a> {
    pub(super) request: RequestId,
    /// Send time by the gateway's clock, in milliseconds since the Unix epoch.
    pub(super) sent_unix_ms: u64,
    pub(super) client: ClientId,
    /// Memory that the request takes while it is queued, in kB.
    pub(super) size_kb: f64,
    /// Whether `level` is absent or in `LEVEL_RANGE`.
    pub(super) level_is_valid: bool,
    pub(super) tenant: TenantId,
    pub(super) tenant_name: Arc<str>,
    /// Time for which the client waits for the response, counted from the send time, in milliseconds. `None`
    /// stands for the request timeout of the class.
    pub(super) timeout_ms: Option<f64>,
    /// Subject, which identifies the session of the request.
    pub(super) subject: Option<Cow<'a, str>>,
    pub(super) idempotency_key: Option<Cow<'a, str>>,
    pub(super) body: Rc<[u8]>,
}

/// Returns an optional string parameter.
///
/// # Errors
/// Returns `error` if the parameter is not a string.
fn optional_text<'a>(
    params: &json::Table<'a>,
    name: &str,
    error: ProtocolError,
) -> Result<Option<Cow<'a, str>>, ProtocolError> {
    params.get(name).map(|value| value.text().ok_or(error)).transpose()
}

impl<'a> RequestParams<'a> {
    /// Decodes the parameters.
    ///
    /// # Errors
    /// Returns the error of the first invalid parameter. `level` is not checked here: see `level_is_valid`.
    pub(super) fn decode(params: Option<Json<'a>>, catalog: &Catalog) -> Result<Self, ProtocolError> {
        let params = params.filter(|params| params.is_object()).ok_or(ProtocolError::ParamsNotObject)?;
        let params = params.table();
        let request = params.get("req").and_then(Json::text).and_then(|text| RequestId::padded(&text));
        let request = request.ok_or(ProtocolError::InvalidRequestId)?;
        let sent_unix_ms =
            params.get("ts").and_then(Json::unsigned).ok_or(ProtocolError::InvalidTimestamp)?;
        let client =
            params.get("via").map_or(Some(0), Json::unsigned).ok_or(ProtocolError::InvalidClientId)?;
        let size_kb = params.get("need").and_then(Json::number).filter(|size_kb| is_valid_size_kb(*size_kb));
        let size_kb = size_kb.ok_or(ProtocolError::SizeOutOfRange)?;
        let in_level_range = |level: f64| LEVEL_RANGE.contains(&level);
        let level_is_valid =
            params.get("level").is_none_or(|level| level.number().is_some_and(in_level_range));
        let owner = optional_text(&params, "owner", ProtocolError::OwnerNotString)?;
        let tenant = catalog.find_tenant(owner.as_deref());
        let (tenant, tenant_name) = tenant.ok_or(ProtocolError::UnknownOwner)?;
        Ok(Self {
            request,
            sent_unix_ms,
            client: ClientId(client),
            size_kb,
            level_is_valid,
            tenant,
            tenant_name,
            timeout_ms: decode_timeout_ms(&params)?,
            subject: optional_text(&params, "subject", ProtocolError::SubjectNotString)?,
            idempotency_key: optional_text(&params, "opkey", ProtocolError::IdempotencyKeyNotString)?,
            body: decode_body(&params)?,
        })
    }
}

fn decode_timeout_ms(params: &json::Table<'_>) -> Result<Option<f64>, ProtocolError> {
    let Some(timeout) = params.get("timeout") else { return Ok(None) };
    let timeout_ms = timeout.number().filter(|ms| *ms >= 0.0);
    timeout_ms.map(Some).ok_or(ProtocolError::InvalidTimeout)
}

fn decode_body(params: &json::Table<'_>) -> Result<Rc<[u8]>, ProtocolError> {
    let Some(data) = params.get("data") else { return Ok([].into()) };
    let body = data.text().and_then(|text| rpc::decode_body(&text));
    let body = body.filter(|body| body.len() <= MAX_BODY_LENGTH);
    body.map(Rc::from).ok_or(ProtocolError::InvalidBody)
}
