//! Tests of the settlement table of a queue.

use hazelspur::Duration;
use hazelspur::Idempotency::{Idempotent, IdempotentWithKey, NonIdempotent};
use hazelspur_deliveries::{DeliveryOutcome, Settlement, SettlementTable};

const REJECTED: DeliveryOutcome = DeliveryOutcome::Rejected(Duration::from_ms(300));

#[test]
fn each_outcome_is_settled_as_configured() {
    let retry = SettlementTable {
        rejected: Settlement::PublishRetry,
        failed: Settlement::PublishRetry,
        max_attempts: 3,
        ..SettlementTable::default()
    };
    let mut seen = String::new();
    for (name, table) in [("default", SettlementTable::default()), ("retry", retry)] {
        for idempotency in [Idempotent, IdempotentWithKey, NonIdempotent] {
            for outcome in [
                DeliveryOutcome::Succeeded,
                REJECTED,
                DeliveryOutcome::Failed,
                DeliveryOutcome::Expired,
                DeliveryOutcome::Malformed,
            ] {
                let row: Vec<String> = (0..3)
                    .map(|attempts| format!("{:?}", table.settle(outcome, idempotency, attempts)))
                    .collect();
                seen += &format!("{name} {idempotency:?} {}: {}\n", outcome.wire_name(), row.join(" "));
            }
        }
    }
    expect_test::expect![[r#"
        default Idempotent acked: Ack Ack Ack
        default Idempotent nacked: RequeueLater RequeueLater RequeueLater
        default Idempotent failed: Reject Reject Reject
        default Idempotent expired: Reject Reject Reject
        default Idempotent poison: Reject Reject Reject
        default IdempotentWithKey acked: Ack Ack Ack
        default IdempotentWithKey nacked: RequeueLater RequeueLater RequeueLater
        default IdempotentWithKey failed: Reject Reject Reject
        default IdempotentWithKey expired: Reject Reject Reject
        default IdempotentWithKey poison: Reject Reject Reject
        default NonIdempotent acked: Ack Ack Ack
        default NonIdempotent nacked: RequeueLater RequeueLater RequeueLater
        default NonIdempotent failed: Reject Reject Reject
        default NonIdempotent expired: Reject Reject Reject
        default NonIdempotent poison: Reject Reject Reject
        retry Idempotent acked: Ack Ack Ack
        retry Idempotent nacked: PublishRetry PublishRetry PublishRetry
        retry Idempotent failed: PublishRetry PublishRetry Reject
        retry Idempotent expired: Reject Reject Reject
        retry Idempotent poison: Reject Reject Reject
        retry IdempotentWithKey acked: Ack Ack Ack
        retry IdempotentWithKey nacked: RequeueLater RequeueLater RequeueLater
        retry IdempotentWithKey failed: Reject Reject Reject
        retry IdempotentWithKey expired: Reject Reject Reject
        retry IdempotentWithKey poison: Reject Reject Reject
        retry NonIdempotent acked: Ack Ack Ack
        retry NonIdempotent nacked: RequeueLater RequeueLater RequeueLater
        retry NonIdempotent failed: Reject Reject Reject
        retry NonIdempotent expired: Reject Reject Reject
        retry NonIdempotent poison: Reject Reject Reject
    "#]]
    .assert_eq(&seen);
}

#[test]
fn table_with_endless_redelivery_or_no_retry_queue_is_rejected() {
    let endless = SettlementTable { malformed: Settlement::RequeueLater, ..SettlementTable::default() };
    let without_retry_queue =
        SettlementTable { rejected: Settlement::PublishRetry, ..SettlementTable::default() };
    let check = |table: SettlementTable, has_retry_queue| {
        table.check(has_retry_queue).map_err(|error| (error.key(), error.to_string()))
    };
    let seen = format!(
        "{:?}\n{:?}\n{:?}\n",
        check(endless, true),
        check(without_retry_queue, false),
        check(without_retry_queue, true)
    );
    expect_test::expect![[r#"
        Err(("poison", "would come back for ever: only ack or reject"))
        Err(("nacked", "retry needs retry_queue to be set"))
        Ok(())
    "#]]
    .assert_eq(&seen);
}
