//! The operator's file: a Starlark script that calls `amqp(...)`, `fleet(...)` and `reload(...)` at most once
//! and `queue(...)` for each queue.
//!
//! Input is the file's path, output a decoded and checked `OperatorConfig`. The script can reach neither
//! files nor the network, and its steps and memory are bounded. Errors of keys name the key and its line.

mod amqp;
mod checks;
mod error;
mod operator_config;
mod queue;
mod script;
mod source;

pub use amqp::AmqpConfig;
pub use error::OperatorError;
pub use operator_config::{OperatorConfig, ReloadConfig};
pub use queue::{QueueConfig, SentTimeSource, SettleOrder};

use error::KeyFault;
use hazelspur::Catalog;
use script::{Call, Function};
use serde_json::{Map, Value};
use source::Source;

/// The longest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 64 * 1024;

/// Reads and checks the operator's file, and reads the files of the broker password and the fleet key that it
/// names. Request classes are checked against the catalog, if there is one.
///
/// # Errors
/// Returns an `OperatorError` for the first fault.
pub fn read(path: &str, catalog: Option<&Catalog>) -> Result<OperatorConfig, OperatorError> {
    let unreadable = |source| OperatorError::Unreadable { path: path.into(), source };
    let length = std::fs::metadata(path).map_err(unreadable)?.len();
    if length > MAX_FILE_BYTES {
        return Err(OperatorError::TooLong { path: path.into(), max: MAX_FILE_BYTES });
    }
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    let mut operator = parse(path, &text, catalog)?;
    if let Some(amqp) = &mut operator.amqp {
        amqp.read_password()?;
    }
    if let Some(fleet) = &mut operator.fleet {
        fleet.read_key().map_err(OperatorError::FleetKey)?;
    }
    Ok(operator)
}

/// Evaluates the text of an operator's file, and decodes and checks the result. `path` is named in errors.
///
/// # Errors
/// Returns an `OperatorError` for the first fault.
pub fn parse(path: &str, text: &str, catalog: Option<&Catalog>) -> Result<OperatorConfig, OperatorError> {
    let calls = script::evaluate(path, text)?;
    let source = Source { path, text, calls: &calls };
    let operator = decode(&source)?;
    checks::check(&operator, &source, catalog)?;
    Ok(operator)
}

fn decode(source: &Source<'_>) -> Result<OperatorConfig, OperatorError> {
    let object = Value::Object(merge(source)?);
    serde_path_to_error::deserialize(object)
        .map_err(|e| source.error(&e.path().to_string(), KeyFault::Undecodable(e.inner().to_string())))
}

/// Merges all calls into one object, with a list of the calls of `queue(...)`. Any other function may be
/// called once.
fn merge(source: &Source<'_>) -> Result<Map<String, Value>, OperatorError> {
    let mut all = Map::new();
    let mut queues = Vec::new();
    for Call { function, lines, keys } in source.calls {
        let keys = Value::Object(keys.clone());
        if *function == Function::Queue {
            queues.push(keys);
        } else if all.insert(function.name().into(), keys).is_some() {
            return Err(OperatorError::CalledTwice {
                path: source.path.into(),
                line: lines.first + 1,
                function: function.name(),
            });
        }
    }
    all.insert("queues".into(), queues.into());
    Ok(all)
}
