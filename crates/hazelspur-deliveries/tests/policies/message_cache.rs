//! Tests of the cache of recent messages.

use crate::at;
use hazelspur::Duration;
use hazelspur_deliveries::{
    DeliveryOutcome, IdentifyingParts, MESSAGE_IDENTITY_BYTES, MessageCache, MessageCacheLimits,
    MessageIdentity,
};

#[test]
fn full_cache_evicts_the_oldest_finished_message() {
    let limits = MessageCacheLimits { retention: Duration::from_ms(1000), max_entries: 3, max_bytes: 128 };
    let mut cache = MessageCache::new(limits);
    let named = |n: u64| {
        let message_id = format!("m{n}");
        let parts =
            IdentifyingParts { tenant: "a", request_class: "view", message_id: &message_id, body: b"hello" };
        MessageIdentity::of(&parts).expect("message-id is not empty")
    };
    (0..5).for_each(|n| cache.record_finished(at(n), named(n), DeliveryOutcome::Succeeded, (*b"ok").into()));
    let large = vec![0; 128 - MESSAGE_IDENTITY_BYTES];
    cache.record_finished(at(6), named(9), DeliveryOutcome::Succeeded, large.into());
    let known = |cache: &mut MessageCache, ms| -> Vec<bool> {
        (0..10).map(|n| cache.lookup(at(ms), named(n)).is_some()).collect()
    };
    let seen =
        format!("{:?}\n{:?}\n{}\n", known(&mut cache, 7), known(&mut cache, 1006), cache.evicted_count());
    expect_test::expect![[r#"
        [false, false, false, false, false, false, false, false, false, true]
        [false, false, false, false, false, false, false, false, false, false]
        5
    "#]]
    .assert_eq(&seen);
}
