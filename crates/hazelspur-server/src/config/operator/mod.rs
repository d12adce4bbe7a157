//! The operator's file: a Starlark script that calls `amqp(...)`, `fleet(...)` and `reload(...)` at most once and
//! `queue(...)` for each queue.
//!
//! Input is the file's path, output an `OperatorConfig` that was decoded and checked as a whole. The script has
//! no files and no network, and bounded steps and memory. Every error names the key and the line.

#![warn(missing_docs)]

mod amqp;
mod checks;
mod error;
mod queue;
mod script;
mod source;

pub use amqp::AmqpConfig;
pub use error::OperatorError;
pub use queue::{QueueConfig, SentTimeSource, SettleOrder};

use crate::config::fleet_keys::Fleet;
use error::KeyFault;
use garde::Validate;
use hazelspur::Catalog;
use script::{Call, Function};
use serde::Deserialize;
use serde_json::{Map, Value};
use source::Source;

/// The longest file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 64 * 1024;
/// The most queues that a file may name.
const MAX_QUEUES: usize = 32;

/// All that the file sets.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct OperatorConfig {
    /// The AMQP brokers; without them only gateways are served.
    #[garde(dive)]
    pub amqp: Option<AmqpConfig>,
    /// The queues to consume, in the file's order.
    #[serde(default)]
    #[garde(dive, length(max = MAX_QUEUES))]
    pub queues: Vec<QueueConfig>,
    /// The fleet that the server belongs to, if any.
    #[garde(dive)]
    pub fleet: Option<Fleet>,
    /// What a SIGHUP may change.
    #[serde(default)]
    #[garde(skip)]
    pub reload: ReloadConfig,
}

/// What a SIGHUP may change besides addresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReloadConfig {
    /// Whether request classes, tenants and some figures of the platform's settings change in place.
    #[serde(default)]
    pub settings: bool,
}

/// Reads and checks the file and the key files that it names. Request classes are checked against the catalog,
/// if there is one.
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
        fleet.read_key().map_err(|why| OperatorError::FleetKey(why.to_string()))?;
    }
    Ok(operator)
}

/// Evaluates the text, then decodes and checks what it sets.
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

/// One object of all calls: `queue(...)` makes a list, any other function may be called once.
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
