//! Evaluates the Starlark script of the operator's file and records its calls. Call depth, steps and memory
//! of the interpreter are bounded.

use super::error::OperatorError;
use super::operator_config::MAX_QUEUES;
use serde_json::{Map, Value as Json};
use starlark::any::ProvidesStaticType;
use starlark::collections::SmallMap;
use starlark::environment::{GlobalsBuilder, Module};
use starlark::eval::Evaluator;
use starlark::starlark_module;
use starlark::syntax::{AstModule, Dialect};
use starlark::values::Value;
use starlark::values::none::NoneType;
use std::cell::RefCell;
use thiserror::Error;

/// The deepest nesting of function calls.
const MAX_CALL_DEPTH: usize = 32;
/// The most steps of the interpreter, which counts loop iterations and calls.
const MAX_STEPS: u64 = 1_000_000;
/// The most memory of the interpreter, in bytes.
const MAX_MEMORY_BYTES: usize = 16 * 1024 * 1024;

/// A function that the script may call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Function {
    /// `amqp(...)`
    Amqp,
    /// `queue(...)`
    Queue,
    /// `fleet(...)`
    Fleet,
    /// `reload(...)`
    Reload,
}

impl Function {
    /// Returns the function's name in the script.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Amqp => "amqp",
            Self::Queue => "queue",
            Self::Fleet => "fleet",
            Self::Reload => "reload",
        }
    }
}

/// A range of lines, numbered from 0.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LineRange {
    /// The first line.
    pub(super) first: usize,
    /// The last line.
    pub(super) last: usize,
}

/// One call of the script.
#[derive(Debug)]
pub(super) struct Call {
    /// The function that was called.
    pub(super) function: Function,
    /// The lines of the call.
    pub(super) lines: LineRange,
    /// The named arguments.
    pub(super) keys: Map<String, Json>,
}

/// A fault of a call.
#[derive(Debug, Error)]
enum CallError {
    #[error("called outside the operator's file")]
    NoRecorder,
    #[error("more than {MAX_QUEUES} queues")]
    TooManyCalls,
}

/// Records the calls of one evaluation.
#[derive(Default, ProvidesStaticType)]
struct Recorder(RefCell<Vec<Call>>);

/// The named arguments of a call.
type Arguments<'v> = SmallMap<String, Value<'v>>;

#[starlark_module]
fn queue_functions(builder: &mut GlobalsBuilder) {
    fn amqp<'v>(
        #[starlark(kwargs)] keys: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record(Function::Amqp, keys, eval)
    }

    fn queue<'v>(
        #[starlark(kwargs)] keys: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record(Function::Queue, keys, eval)
    }
}

#[starlark_module]
fn server_functions(builder: &mut GlobalsBuilder) {
    fn fleet<'v>(
        #[starlark(kwargs)] keys: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record(Function::Fleet, keys, eval)
    }

    fn reload<'v>(
        #[starlark(kwargs)] keys: SmallMap<String, Value<'v>>,
        eval: &mut Evaluator<'v, '_, '_>,
    ) -> anyhow::Result<NoneType> {
        record(Function::Reload, keys, eval)
    }
}

fn record<'v>(
    function: Function,
    keys: Arguments<'v>,
    eval: &mut Evaluator<'v, '_, '_>,
) -> anyhow::Result<NoneType> {
    let span = eval.call_stack_top_location().map(|location| location.resolve_span());
    let lines = span
        .map_or_else(LineRange::default, |span| LineRange { first: span.begin.line, last: span.end.line });
    let keys = keys.into_iter().map(|(key, value)| Ok((key, value.to_json_value()?)));
    let keys = keys.collect::<anyhow::Result<_>>()?;
    let recorder = eval.extra.and_then(|extra| extra.downcast_ref::<Recorder>());
    let Recorder(calls) = recorder.ok_or(CallError::NoRecorder)?;
    if calls.borrow().len() > MAX_QUEUES {
        return Err(CallError::TooManyCalls.into());
    }
    calls.borrow_mut().push(Call { function, lines, keys });
    Ok(NoneType)
}

/// Evaluates the script and returns its calls, in order.
///
/// # Errors
/// Returns an `OperatorError` if the script can't be parsed, fails or exceeds a bound.
pub(super) fn evaluate(path: &str, text: &str) -> Result<Vec<Call>, OperatorError> {
    let failed = |e: starlark::Error| OperatorError::Script {
        path: path.into(),
        line: e.span().map(|span| span.resolve_span().begin.line + 1),
        why: e.without_diagnostic().to_string(),
    };
    let ast = AstModule::parse(path, text.to_owned(), &Dialect::Standard).map_err(failed)?;
    let globals = GlobalsBuilder::standard().with(queue_functions).with(server_functions).build();
    let recorder = Recorder::default();
    Module::with_temp_heap(|module| {
        let mut eval = Evaluator::new(&module);
        eval.extra = Some(&recorder);
        set_bounds(&mut eval).map_err(|e| OperatorError::Interpreter(e.to_string()))?;
        eval.eval_module(ast, &globals).map(|_| ()).map_err(failed)
    })?;
    Ok(recorder.0.into_inner())
}

fn set_bounds(eval: &mut Evaluator<'_, '_, '_>) -> anyhow::Result<()> {
    eval.set_max_callstack_size(MAX_CALL_DEPTH)?;
    eval.set_max_tick_count(MAX_STEPS)?;
    eval.set_max_heap_size(MAX_MEMORY_BYTES)
}
