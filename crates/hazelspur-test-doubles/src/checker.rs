//! Checks the rules for messages against the records of the broker and the worker, independently of the
//! server.

use crate::broker::{BrokerState, MessageEnd, SettledBy};
use crate::worker::WorkerState;
use amq_protocol::types::AMQPValue;
use std::collections::{BTreeMap, BTreeSet};

/// Rules for a published message, which is identified by its body.
#[derive(Clone, Debug, Default)]
pub struct Expected {
    /// Whether the message may run only once.
    pub at_most_once: bool,
    /// Latest permitted start of a run, in Unix milliseconds; `None` for no bound.
    pub start_deadline_ms: Option<u64>,
}

/// Returns a description of each breach: a protocol violation of a client, such as a settlement of a delivery
/// tag that is not open; messages that are neither finished, queued nor unsettled; a message settled for good
/// twice; a run too many; a run that began too late; messages acked that never ran and were not answered;
/// messages with replies of different outcomes.
///
/// Up to `may_lose` messages may be acked, never run and not answered, for servers that ack before the run. A
/// reply names its message by the correlation id, which senders choose equal to the body.
pub fn breaches(
    state: &BrokerState,
    worker_state: &WorkerState,
    expected: &BTreeMap<Vec<u8>, Expected>,
    may_lose: usize,
) -> Vec<String> {
    let mut found = state.protocol_violations.clone();
    let ready: BTreeSet<u64> =
        state.queues.values().flat_map(|queue| queue.ready.iter().map(|message| message.serial)).collect();
    let held = ready.len() + state.unsettled();
    let unfinished = state.unfinished();
    if held != unfinished {
        found.push(format!("{unfinished} messages have no end, {held} are in queues or unsettled"));
    }
    let mut final_settlements: BTreeMap<u64, usize> = BTreeMap::new();
    for delivery in &state.deliveries {
        if matches!(delivery.settled, Some(SettledBy::Ack | SettledBy::Reject)) {
            *final_settlements.entry(delivery.serial).or_default() += 1;
        }
    }
    for (serial, times) in final_settlements.iter().filter(|(_, times)| **times > 1) {
        found.push(format!("message {serial} settled for good {times} times"));
    }
    for (body, rules) in expected {
        let name = String::from_utf8_lossy(body);
        let runs = worker_state.runs.get(body).map_or(&[][..], |runs| runs);
        if rules.at_most_once && runs.len() > 1 {
            found.push(format!("{name} ran {} times", runs.len()));
        }
        if let Some(deadline_ms) = rules.start_deadline_ms
            && let Some(late_ms) = runs.iter().find(|start_ms| **start_ms > deadline_ms)
        {
            found.push(format!("{name} began {} ms after its time", late_ms - deadline_ms));
        }
    }
    let outcomes = reply_outcomes(state);
    for (name, outcomes) in outcomes.iter().filter(|(_, outcomes)| outcomes.len() > 1) {
        found.push(format!("{name} has replies of different outcomes: {outcomes:?}"));
    }
    let mut lost = acked_but_never_run(state, worker_state, expected.keys());
    // Only a reply without a result is the outcome of a message that never ran.
    let is_answered = |body: &[u8]| {
        let outcomes = outcomes.get(&*String::from_utf8_lossy(body));
        outcomes.is_some_and(|outcomes| !outcomes.contains("acked"))
    };
    lost.retain(|body| !is_answered(body));
    if lost.len() > may_lose {
        let names: Vec<_> = lost.iter().map(|body| String::from_utf8_lossy(body)).collect();
        found.push(format!("acked and never run: {}; {may_lose} may be lost", names.join(" ")));
    }
    found
}

/// Returns the outcomes of the replies in all queues, by correlation id.
fn reply_outcomes(state: &BrokerState) -> BTreeMap<String, BTreeSet<String>> {
    let mut outcomes: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for message in state.queues.values().flat_map(|queue| &queue.ready) {
        let headers = message.properties.headers().clone().unwrap_or_default();
        if let Some(AMQPValue::LongString(outcome)) = headers.inner().get("x-outcome")
            && let Some(correlation_id) = message.properties.correlation_id()
        {
            let outcome = String::from_utf8_lossy(outcome.as_bytes()).into_owned();
            outcomes.entry(correlation_id.to_string()).or_default().insert(outcome);
        }
    }
    outcomes
}

/// Returns the bodies of which every copy was acked, though none ran.
fn acked_but_never_run<'a>(
    state: &BrokerState,
    worker_state: &WorkerState,
    bodies: impl Iterator<Item = &'a Vec<u8>>,
) -> Vec<&'a Vec<u8>> {
    let mut ends: BTreeMap<&Vec<u8>, BTreeSet<Option<MessageEnd>>> = BTreeMap::new();
    for (serial, body) in &state.bodies {
        ends.entry(body).or_default().insert(state.ends.get(serial).copied().flatten());
    }
    let all_acked = |body: &&Vec<u8>| {
        ends.get(body).is_some_and(|ends| ends.iter().all(|end| *end == Some(MessageEnd::Acked)))
    };
    bodies.filter(all_acked).filter(|body| !worker_state.runs.contains_key(*body)).collect()
}
