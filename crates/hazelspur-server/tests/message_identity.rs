//! Messages of different senders that carry the same message-id.

mod helpers;

use amq_protocol::protocol::basic::AMQPProperties;
use amq_protocol::types::{AMQPValue, FieldTable};
use hazelspur_test_doubles::worker::WorkerSettings;
use helpers::{Testbed, WAIT_TIMEOUT};

/// Operator's file of a server that consumes a queue of each of two senders.
const QUEUES: &str = "queue(name = \"orders\")\nqueue(name = \"returns\")\n";
/// Message-id of all messages.
const MESSAGE_ID: &str = "1";

/// Starts a server that knows the tenants `a` and `b`.
fn start_with_tenants(pace: WorkerSettings) -> Testbed {
    let mut testbed = Testbed::new(QUEUES, pace);
    let tenants = r#"{"name":"a","quota-rps":50},{"name":"b","quota-rps":50}"#;
    let share_reads = r#""passes-deadline":true,"share-for-us":60000000"#;
    testbed.settings = testbed
        .settings
        .replace("\"servers\":1", &format!("\"servers\":1,\"orgs\":[{tenants}]"))
        .replace("\"passes-deadline\":true", share_reads);
    testbed.broker.declare("dead", None);
    testbed.broker.declare("orders", Some("dead"));
    testbed.broker.declare("returns", Some("dead"));
    testbed.broker.declare("answers", None);
    testbed.start();
    let is_consumed = testbed
        .broker
        .wait_until(WAIT_TIMEOUT, |state| state.has_consumer("orders") && state.has_consumer("returns"));
    assert!(is_consumed, "queues are not consumed");
    testbed
}

/// Publishes a request of a tenant with the message-id `message_id`, all for the same user.
fn publish(
    testbed: &Testbed,
    queue: &str,
    (tenant, request_class): (&str, &str),
    message_id: &str,
    body: &str,
) {
    let mut headers = FieldTable::default();
    headers.insert("x-owner".into(), AMQPValue::LongString(tenant.into()));
    headers.insert("x-subject".into(), AMQPValue::LongString("user".into()));
    let properties = AMQPProperties::default()
        .with_type(request_class.into())
        .with_headers(headers)
        .with_message_id(message_id.into())
        .with_reply_to("answers".into());
    testbed.broker.publish(queue, properties, body.as_bytes());
}

/// Waits until so many messages have been answered. Some are settled before their run.
fn assert_answered(testbed: &Testbed, count: usize) {
    let is_answered = testbed.broker.wait_until(WAIT_TIMEOUT, |state| state.ready("answers") >= count);
    assert!(is_answered, "answers: {}", testbed.queue_contents("answers"));
    assert!(testbed.wait_until_settled(&["orders", "returns"]), "messages are not settled");
}

/// Guards against answering a sender with another sender's result, while the first message is processed and
/// after it: the message-id alone does not identify a message.
#[test]
fn same_message_id_of_another_tenant_class_or_body_is_another_message() {
    for waits_between in [false, true] {
        let testbed = start_with_tenants(WorkerSettings { run_ms: 100, ..WorkerSettings::default() });
        for (count, queue, tenant) in [(3, "orders", "a"), (6, "returns", "b")] {
            for request_class in ["view", "set-qty", "book"] {
                let body = format!("{request_class} of {tenant}");
                publish(&testbed, queue, (tenant, request_class), MESSAGE_ID, &body);
            }
            if waits_between {
                assert_answered(&testbed, count);
            }
        }
        for request_class in ["view", "book"] {
            let body = format!("{request_class} of a again");
            publish(&testbed, "orders", ("a", request_class), MESSAGE_ID, &body);
        }
        assert_answered(&testbed, 8);
        // The same messages once more are duplicates, also from another queue.
        publish(&testbed, "returns", ("a", "set-qty"), MESSAGE_ID, "set-qty of a");
        publish(&testbed, "orders", ("b", "book"), MESSAGE_ID, "book of b");
        // The key of a request with another content is refused.
        publish(&testbed, "orders", ("a", "set-qty"), MESSAGE_ID, "other set-qty of a");
        assert_answered(&testbed, 11);
        let seen = format!(
            "answers: {}\ndead: {}\nruns: {}\n",
            testbed.queue_contents("answers"),
            testbed.queue_contents("dead"),
            testbed.run_counts()
        );
        expect_test::expect![[r#"
            answers:  failed, book of a acked, book of a again acked, book of b acked, book of b acked, set-qty of a acked, set-qty of a acked, set-qty of b acked, view of a acked, view of a again acked, view of b acked
            dead: other set-qty of a
            runs: book of a 1, book of a again 1, book of b 1, set-qty of a 1, set-qty of b 1, view of a 1, view of a again 1, view of b 1
        "#]]
        .assert_eq(&seen);
    }
}

/// Guards against taking messages without a message-id for one: their ids are equal, since they are empty.
#[test]
fn messages_with_an_empty_message_id_are_different_messages() {
    let testbed = start_with_tenants(WorkerSettings::default());
    for (index, request_class) in ["view", "view", "set-qty", "set-qty", "book", "book"].iter().enumerate() {
        publish(&testbed, "orders", ("a", request_class), "", request_class);
        assert_answered(&testbed, index + 1);
    }
    assert_eq!(testbed.run_counts(), "book 2, set-qty 2, view 2");
}
