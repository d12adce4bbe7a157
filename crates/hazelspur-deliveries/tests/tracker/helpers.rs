//! Builders for tracker tests, with a clock in milliseconds and a printed list of actions.

use hazelspur::{Duration, Idempotency, Timestamp};
use hazelspur_deliveries::{
    ConnectionNumber, DeliveryId, DeliveryOutcome, DeliveryTag, DeliveryTracker, IdentifyingParts,
    MessageCache, MessageCacheLimits, MessageIdentity, QueueId, QueueSettings, ReceivedDelivery,
    SettlementTable,
};

/// Returns the time `ms` milliseconds after the start of the test's clock.
pub(crate) fn at(ms: u64) -> Timestamp {
    Timestamp::from_us(1_000_000_000 + ms * 1000)
}

pub(crate) fn tag(connection: u64, tag: u64) -> DeliveryTag {
    DeliveryTag { connection: ConnectionNumber(connection), channel: 1, tag }
}

/// Returns a tracker of one queue, with a cache that is large enough for every test.
pub(crate) fn new_tracker(settlements: SettlementTable, settle_before_run: bool) -> DeliveryTracker {
    let limits =
        MessageCacheLimits { retention: Duration::from_ms(60_000), max_entries: 1000, max_bytes: 1 << 20 };
    let queues = vec![QueueSettings { settlements, settle_before_run }];
    DeliveryTracker::new(queues, MessageCache::new(limits))
}

/// Returns the identity of the message with this message-id; all other parts are the same for all messages.
pub(crate) fn identity(message_id: &str) -> Option<MessageIdentity> {
    MessageIdentity::of(&IdentifyingParts { tenant: "a", request_class: "view", message_id, body: b"hello" })
}

/// Returns a delivery of the only queue, without deadline or reply.
pub(crate) fn received(tag: DeliveryTag, message_id: &str, idempotency: Idempotency) -> ReceivedDelivery {
    ReceivedDelivery {
        tag,
        queue: QueueId(0),
        identity: identity(message_id),
        redelivered: false,
        idempotency: Ok(idempotency),
        deadline: None,
        wants_reply: false,
        previous_attempts: 0,
    }
}

/// Takes all actions that are due, checks the invariants, and returns the actions, one per line.
pub(crate) fn actions(tracker: &mut DeliveryTracker, ms: u64) -> String {
    let mut seen = String::new();
    while let Some(action) = tracker.next_action(at(ms)) {
        let line = format!("{ms} {action:?}\n").replace("DeliveryId", "");
        seen += &line.replace("DeliveryTag { connection: ConnectionNumber", "Tag {");
    }
    tracker.check_invariants().expect("the tracker's invariants hold");
    seen
}

/// Reports the outcome of a request and returns the actions that follow.
pub(crate) fn finish(
    tracker: &mut DeliveryTracker,
    ms: u64,
    id: DeliveryId,
    outcome: DeliveryOutcome,
) -> String {
    tracker.request_finished(at(ms), id, outcome, &(*b"done").into());
    actions(tracker, ms)
}
