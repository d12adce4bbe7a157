//! Checks of the decoded operator's file: bounds of single keys, and rules across several keys.

use super::error::{KeyFault, OperatorError};
use super::operator_config::OperatorConfig;
use super::queue::QueueConfig;
use super::source::Source;
use garde::Validate;
use hazelspur::Catalog;

/// The most unsettled deliveries of all queues together. At most 10 KiB are stored for each, so that all take
/// at most 80 MiB.
const MAX_UNSETTLED: usize = 8192;

/// Checks the decoded file and returns the first fault. Request classes are checked if there is a catalog.
pub(super) fn check(
    operator: &OperatorConfig,
    source: &Source<'_>,
    catalog: Option<&Catalog>,
) -> Result<(), OperatorError> {
    check_bounds(operator, source)?;
    check_fleet(operator, source)?;
    check_brokers(operator, source)?;
    check_unsettled(operator, source)?;
    for index in 0..operator.queues.len() {
        check_queue(&operator.queues, index, catalog)
            .map_err(|error| source.error(&format!("queues[{index}].{}", error.key), error.fault))?;
    }
    Ok(())
}

fn check_bounds(operator: &OperatorConfig, source: &Source<'_>) -> Result<(), OperatorError> {
    let Err(report) = operator.validate() else { return Ok(()) };
    let first = report.iter().next();
    let (key, why) = first.map(|(key, why)| (key.to_string(), why.to_string())).unwrap_or_default();
    Err(source.error(&key_of_path(&key), KeyFault::OutOfBounds(why)))
}

/// Translates a path of fields to the path of keys, such as `queues[0].max_unsettled` to `queues[0].most`.
fn key_of_path(path: &str) -> String {
    match path.rsplit_once('.') {
        Some((parents, field)) => format!("{parents}.{}", key_of_field(field)),
        None => path.into(),
    }
}

/// Returns the key of a field: `garde` reports the field's name, and the file has that of its
/// `serde(rename)`.
fn key_of_field(field: &str) -> &str {
    match field {
        "max_frame_bytes" => "longest_frame",
        "reconnect_spread_s" => "spread_s",
        "deduplication_window_s" => "memory_s",
        "max_deduplication_entries" => "memory_entries",
        "max_deduplication_bytes" => "memory_bytes",
        "max_unsettled" => "most",
        "max_wait_s" => "waits_s",
        "max_attempts" => "most_tries",
        "retry_pause_s" => "failed_pause_s",
        "address" => "at",
        "probe_period_s" => "period_s",
        "retention_s" => "remember_s",
        "vote_duration_s" => "lease_s",
        other => other,
    }
}

fn check_fleet(operator: &OperatorConfig, source: &Source<'_>) -> Result<(), OperatorError> {
    let Some(fleet) = &operator.fleet else { return Ok(()) };
    match fleet.quota_config() {
        Ok(_) => Ok(()),
        Err(error) => Err(source.error(&format!("fleet.{}", error.key()), KeyFault::Quota(error))),
    }
}

fn check_brokers(operator: &OperatorConfig, source: &Source<'_>) -> Result<(), OperatorError> {
    if operator.amqp.is_none() && !operator.queues.is_empty() {
        return Err(source.error("queues[0].name", KeyFault::NoBrokers));
    }
    Ok(())
}

fn check_unsettled(operator: &OperatorConfig, source: &Source<'_>) -> Result<(), OperatorError> {
    let unsettled: usize = operator.queues.iter().map(|queue| usize::from(queue.max_unsettled)).sum();
    if unsettled > MAX_UNSETTLED {
        return Err(source.error("queues[0].most", KeyFault::TooManyUnsettled { max: MAX_UNSETTLED }));
    }
    Ok(())
}

/// A fault of one queue.
struct QueueError {
    /// The key at fault, within the queue.
    key: String,
    fault: KeyFault,
}

fn check_queue(queues: &[QueueConfig], index: usize, catalog: Option<&Catalog>) -> Result<(), QueueError> {
    let queue = &queues[index];
    if queues[..index].iter().any(|other| other.name == queue.name) {
        return Err(QueueError { key: "name".into(), fault: KeyFault::DuplicateQueue });
    }
    if let (Some(catalog), Some(request_class)) = (catalog, &queue.request_class)
        && catalog.find_request_class(request_class).is_none()
    {
        return Err(QueueError { key: "op_type".into(), fault: KeyFault::UnknownRequestClass });
    }
    queue.settlement_table().check(queue.retry_queue.is_some()).map_err(|error| QueueError {
        key: format!("outcomes.{}", error.key()),
        fault: KeyFault::UnsuitableAction(error),
    })
}
