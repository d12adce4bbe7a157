//! The operator's own file: a Starlark script that calls `amqp(...)`, `fleet(...)` and `reload(...)` once and
//! `queue(...)` for each queue. It has no files and no network, its steps and memory are bounded; what it says is decoded
//! and checked, and every message names the key and the line.

use crate::config::fleet_keys::Fleet;
use garde::Validate;
use hazelspur::{Catalog, Duration};
use hazelspur_deliveries::{Rule, Settlement, Table};
use serde::Deserialize;
use starlark::any::ProvidesStaticType;
use starlark::environment::{Globals, GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use starlark::values::none::NoneType;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The longest file that is read, in bytes.
const LONGEST_FILE: u64 = 64 * 1024;
const MAX_CALLS_DEEP: usize = 32;
/// Steps of the interpreter, which counts loops and calls.
const MAX_STEPS: u64 = 1_000_000;
const MAX_MEMORY: usize = 16 * 1024 * 1024;
pub const MAX_QUEUES: usize = 32;
/// Unsettled deliveries of all queues: with 10 KiB kept of each they take 80 MiB at most.
const MAX_UNSETTLED: usize = 8192;

/// All that the file says.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    #[garde(dive)]
    pub amqp: Option<Amqp>,
    #[serde(default)]
    #[garde(dive, length(max = MAX_QUEUES))]
    pub queues: Vec<Queue>,
    #[garde(dive)]
    pub fleet: Option<Fleet>,
    #[serde(default)]
    #[garde(skip)]
    pub reload: Reload,
}

/// What a SIGHUP may change besides addresses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Reload {
    /// Request classes, tenants and some figures of the platform's settings change in place.
    #[serde(default)]
    pub settings: bool,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Amqp {
    /// In the order of preference.
    #[garde(length(min = 1, max = 16))]
    pub brokers: Vec<SocketAddr>,
    /// Without a user the transport says who we are (EXTERNAL).
    #[garde(inner(length(min = 1, max = 255)))]
    pub user: Option<String>,
    #[serde(default)]
    #[garde(length(max = 255))]
    pub password: String,
    /// Its first line is the password.
    #[garde(skip)]
    pub password_file: Option<String>,
    #[serde(default = "defaults::vhost")]
    #[garde(length(min = 1, max = 255))]
    pub vhost: String,
    #[serde(default = "defaults::heartbeat")]
    #[garde(range(min = 0.0, max = 600.0))]
    pub heartbeat_s: f64,
    #[serde(default = "defaults::frame")]
    #[garde(range(min = 4096, max = 1_048_576))]
    pub longest_frame: u32,
    /// The longest wait before a broker is tried again: a fleet comes back over this span.
    #[serde(default = "defaults::spread")]
    #[garde(range(min = 0.0, max = 600.0))]
    pub spread_s: f64,
    /// How long message-ids and results of what ran are kept, how many, and how many bytes.
    #[serde(default = "defaults::memory")]
    #[garde(range(min = 1.0, max = 604_800.0))]
    pub memory_s: f64,
    #[serde(default = "defaults::entries")]
    #[garde(range(min = 1, max = 1_000_000))]
    pub memory_entries: usize,
    #[serde(default = "defaults::bytes")]
    #[garde(range(min = 1024, max = 1_073_741_824))]
    pub memory_bytes: usize,
}

#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Queue {
    #[garde(length(min = 1, max = 255))]
    pub name: String,
    /// The request class of all its messages; without it each message's `type` property names it.
    #[garde(skip)]
    #[serde(rename = "op_type")]
    pub request_class: Option<String>,
    /// Memory that a request takes, where the message does not say (`x-need-kb`).
    #[serde(default = "defaults::need")]
    #[garde(range(min = 0.001, max = 2000.0))]
    pub need_kb: f64,
    #[serde(default)]
    #[garde(skip)]
    pub window: WindowRule,
    #[serde(default = "defaults::most")]
    #[garde(range(min = 1, max = 4096))]
    pub most: u16,
    #[serde(default)]
    #[garde(skip)]
    pub clock: SentBy,
    /// How long a message may wait, where it does not say itself; none for ever.
    #[garde(inner(range(min = 0.001, max = 2_592_000.0)))]
    pub waits_s: Option<f64>,
    /// Whether what must not run twice is settled before its run or after it.
    #[serde(default)]
    #[garde(skip)]
    pub settle: Settle,
    #[garde(inner(length(min = 1, max = 255)))]
    pub retry_queue: Option<String>,
    #[serde(default)]
    #[garde(skip)]
    pub outcomes: BTreeMap<Row, Does>,
    #[serde(default = "defaults::tries")]
    #[garde(range(min = 1, max = 1000))]
    pub most_tries: u32,
    #[serde(default = "defaults::pause")]
    #[garde(range(min = 0.01, max = 3600.0))]
    pub failed_pause_s: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WindowRule {
    Fixed,
    Room,
    #[default]
    Step,
}

/// Whose clock tells since when a message waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SentBy {
    /// `x-sent-ms`, else the `timestamp` property, else the moment it is read.
    #[default]
    Publisher,
    /// The moment it is read: for publishers whose clocks can't be trusted.
    Reading,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Settle {
    #[default]
    Before,
    After,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Row {
    Nacked,
    Failed,
    Expired,
    Unknown,
    Poison,
    Doubtful,
    Exhausted,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Does {
    Ack,
    Reject,
    Later,
    Retry,
}

mod defaults {
    pub fn vhost() -> String {
        "/".into()
    }
    pub fn heartbeat() -> f64 {
        20.0
    }
    pub fn frame() -> u32 {
        131_072
    }
    pub fn spread() -> f64 {
        8.0
    }
    pub fn memory() -> f64 {
        3600.0
    }
    pub fn entries() -> usize {
        20_000
    }
    pub fn bytes() -> usize {
        8 * 1024 * 1024
    }
    pub fn need() -> f64 {
        24.0
    }
    pub fn most() -> u16 {
        64
    }
    pub fn tries() -> u32 {
        8
    }
    pub fn pause() -> f64 {
        1.0
    }
}

impl Queue {
    pub fn rule(&self) -> Rule {
        match self.window {
            WindowRule::Fixed => Rule::Fixed,
            WindowRule::Room => Rule::Room,
            WindowRule::Step => Rule::Step,
        }
    }

    pub fn table(&self) -> Table {
        let mut table = Table {
            most_tries: self.most_tries,
            failed_pause: Duration::from_secs(self.failed_pause_s),
            ..Table::default()
        };
        for (row, does) in &self.outcomes {
            let to = match does {
                Does::Ack => Settlement::Ack,
                Does::Reject => Settlement::Reject,
                Does::Later => Settlement::Later,
                Does::Retry => Settlement::Retry,
            };
            match row {
                Row::Nacked => table.nacked = to,
                Row::Failed => table.failed = to,
                Row::Expired => table.expired = to,
                Row::Unknown => table.unknown = to,
                Row::Poison => table.poison = to,
                Row::Doubtful => table.doubtful = to,
                Row::Exhausted => table.exhausted = to,
            }
        }
        table
    }
}

/// One call in the file: what it is, its lines (from 0), its keys and values.
struct Section {
    name: &'static str,
    lines: (usize, usize),
    keys: serde_json::Map<String, serde_json::Value>,
}

#[derive(Default, ProvidesStaticType)]
struct Sections(RefCell<Vec<Section>>);

#[starlark_module]
fn calls(builder: &mut GlobalsBuilder) {
    fn amqp<'v>(
        #[starlark(kwargs)] keys: starlark::collections::SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note("amqp", keys, eval)
    }

    fn queue<'v>(
        #[starlark(kwargs)] keys: starlark::collections::SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note("queue", keys, eval)
    }
}

#[starlark_module]
fn other_calls(builder: &mut GlobalsBuilder) {
    fn fleet<'v>(
        #[starlark(kwargs)] keys: starlark::collections::SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note("fleet", keys, eval)
    }

    fn reload<'v>(
        #[starlark(kwargs)] keys: starlark::collections::SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        note("reload", keys, eval)
    }
}

fn note<'v>(
    name: &'static str,
    keys: starlark::collections::SmallMap<String, Value<'v>>,
    eval: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    let at = eval.call_stack_top_location().map(|at| at.resolve_span());
    let lines = at.map_or((0, 0), |span| (span.begin.line, span.end.line));
    let keys = keys.into_iter().map(|(key, value)| Ok((key, value.to_json_value()?)));
    let keys = keys.collect::<anyhow::Result<_>>()?;
    let sections = eval.extra.and_then(|extra| extra.downcast_ref::<Sections>());
    let sections = sections.ok_or_else(|| anyhow::anyhow!("called outside the operator's file"))?;
    if sections.0.borrow().len() > MAX_QUEUES {
        return Err(anyhow::anyhow!("more than {MAX_QUEUES} queues"));
    }
    sections.0.borrow_mut().push(Section { name, lines, keys });
    Ok(NoneType)
}

/// Reads and checks the file; the request classes are those of the platform's settings, or none to leave them
/// unchecked.
pub fn read(path: &str, catalog: Option<&Catalog>) -> Result<Operator, String> {
    let length = std::fs::metadata(path).map_err(|e| format!("{path}: {e}"))?.len();
    if length > LONGEST_FILE {
        return Err(format!("{path}: longer than {LONGEST_FILE} bytes"));
    }
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    let mut operator = check(path, &text, catalog)?;
    if let Some(amqp) = &mut operator.amqp
        && let Some(file) = &amqp.password_file
    {
        let text = std::fs::read_to_string(file).map_err(|e| format!("amqp.password_file: {file}: {e}"))?;
        amqp.password = text.lines().next().unwrap_or_default().to_string();
    }
    if let Some(fleet) = &mut operator.fleet {
        fleet.read_key().map_err(|error| error.to_string())?;
    }
    Ok(operator)
}

pub fn check(path: &str, text: &str, catalog: Option<&Catalog>) -> Result<Operator, String> {
    let sections = run(path, text)?;
    let mut all = serde_json::Map::new();
    let mut queues = Vec::new();
    for section in &sections {
        let keys = serde_json::Value::Object(section.keys.clone());
        match section.name {
            "queue" => queues.push(keys),
            name => {
                if all.insert(name.into(), keys).is_some() {
                    return Err(format!("{path}:{}: {name}: called twice", section.lines.0 + 1));
                }
            }
        }
    }
    all.insert("queues".into(), queues.into());
    let at = |key: &str| format!("{path}:{}: {key}", line(text, &sections, key));
    let decoded: Result<Operator, _> = serde_path_to_error::deserialize(serde_json::Value::Object(all));
    let operator = decoded.map_err(|e| format!("{}: {}", at(&e.path().to_string()), e.inner()))?;
    if let Err(report) = operator.validate() {
        let (key, why) =
            report.iter().next().map(|(key, why)| (key.to_string(), why.to_string())).unwrap_or_default();
        return Err(format!("{}: {why}", at(&key)));
    }
    if let Some(Err(error)) = operator.fleet.as_ref().map(Fleet::quota_config) {
        return Err(format!("{}: {error}", at(&format!("fleet.{}", error.key()))));
    }
    if operator.amqp.is_none() && !operator.queues.is_empty() {
        return Err(format!("{}: there is no amqp(...)", at("queues[0].name")));
    }
    let all: usize = operator.queues.iter().map(|queue| usize::from(queue.most)).sum();
    if all > MAX_UNSETTLED {
        return Err(format!("{}: all queues together: over {MAX_UNSETTLED}", at("queues[0].most")));
    }
    for (i, queue) in operator.queues.iter().enumerate() {
        let key = |name: &str| at(&format!("queues[{i}].{name}"));
        if operator.queues[..i].iter().any(|other| other.name == queue.name) {
            return Err(format!("{}: named twice", key("name")));
        }
        if let (Some(catalog), Some(request_class)) = (catalog, &queue.request_class)
            && catalog.find_request_class(request_class).is_none()
        {
            return Err(format!("{}: no such op type in the settings", key("op_type")));
        }
        if let Err((row, why)) = queue.table().check(queue.retry_queue.is_some()) {
            return Err(format!("{}: {why}", key(&format!("outcomes.{row}"))));
        }
    }
    Ok(operator)
}

fn run(path: &str, text: &str) -> Result<Vec<Section>, String> {
    let told = |e: starlark::Error| {
        let at = e.span().map_or(String::new(), |span| format!("{}:", span.resolve_span().begin.line + 1));
        format!("{path}:{at} {}", e.without_diagnostic())
    };
    let ast = AstModule::parse(path, text.to_owned(), &Dialect::Standard).map_err(told)?;
    let globals: Globals = GlobalsBuilder::standard().with(calls).with(other_calls).build();
    let sections = Sections::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&sections);
        eval.set_max_callstack_size(MAX_CALLS_DEEP).map_err(|e| e.to_string())?;
        eval.set_max_tick_count(MAX_STEPS).map_err(|e| e.to_string())?;
        eval.set_max_heap_size(MAX_MEMORY).map_err(|e| e.to_string())?;
        eval.eval_module(ast, &globals).map(|_| ()).map_err(told)
    })?;
    Ok(sections.0.into_inner())
}

/// The line on which a key such as `queues[1].outcomes.failed` stands: within its call, the last of its names
/// that is found.
fn line(text: &str, sections: &[Section], key: &str) -> usize {
    let number = key.split(['[', ']']).nth(1).and_then(|n| n.parse::<usize>().ok());
    let section = match number {
        Some(n) if key.starts_with("queues") => sections.iter().filter(|s| s.name == "queue").nth(n),
        _ => sections.iter().find(|section| key.starts_with(section.name)),
    };
    let Some(section) = section else { return 1 };
    let (mut from, last) = section.lines;
    let lines: Vec<&str> = text.lines().collect();
    for name in key.split(['.', '[', ']']).skip(1) {
        let names =
            |line: &&str| line.split(|c: char| !c.is_alphanumeric() && c != '_').any(|word| word == name);
        if let Some(at) = (from..=last).find(|at| !name.is_empty() && lines.get(*at).is_some_and(names)) {
            from = at;
        }
    }
    from + 1
}
