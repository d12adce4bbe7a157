//! Time slots for servers that cannot talk.

mod helpers;

use hazelspur::Duration;
use hazelspur_fleet::time_slots::SlotSchedule;
use helpers::{START, name};
use std::collections::BTreeMap;

#[test]
fn slots_give_the_requested_rate_and_no_server_always_waits_longest() {
    let schedule = SlotSchedule::new(300, 100.0, Duration::from_ms(10_000));
    let mut slots_by_second: BTreeMap<u64, usize> = BTreeMap::new();
    let mut waits: Vec<Vec<u64>> = Vec::new();
    for of in 0..300 {
        let (mut now, mut waits_ms) = (START, Vec::new());
        for _ in 0..20 {
            let at = schedule.next_slot(name(of), "ledger", now);
            assert!(at >= now && at - now < schedule.period + schedule.period);
            waits_ms.push((at - now).us() / 1000);
            *slots_by_second.entry((at - START).us() / 1_000_000).or_default() += 1;
            now = at + Duration::from_us(1);
        }
        waits.push(waits_ms);
    }
    let max = slots_by_second.values().max().copied().unwrap_or(0);
    assert!(max <= 140, "{max} in a second, 100 requested");
    let first: Vec<u64> = waits.iter().map(|waits_ms| waits_ms[0]).collect();
    let last = (0..300).max_by_key(|of| first[*of]).expect("some");
    assert!(waits[last].iter().skip(1).any(|ms| *ms < 3000), "{:?}", waits[last]);
    // The longest period bounds the wait, whatever the rate.
    assert_eq!(SlotSchedule::new(100_000, 1.0, Duration::from_ms(2000)).period, Duration::from_ms(2000));
}
