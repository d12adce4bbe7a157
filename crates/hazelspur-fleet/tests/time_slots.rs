//! Time slots of servers that cannot communicate.

mod helpers;

use hazelspur::Duration;
use hazelspur_fleet::time_slots::SlotSchedule;
use helpers::{START, name};
use std::collections::BTreeMap;

/// 300 servers each take twenty slots in a row.
#[test]
fn slots_meet_the_rate_and_no_server_always_waits_longest() {
    let schedule = SlotSchedule::new(300, 100.0, Duration::from_ms(10_000));
    let mut slots_by_second: BTreeMap<u64, usize> = BTreeMap::new();
    let mut waits_by_server: Vec<Vec<u64>> = Vec::new();
    for server in 0..300 {
        let (mut now, mut waits_ms) = (START, Vec::new());
        for _ in 0..20 {
            let slot = schedule.next_slot(name(server), "ledger", now);
            assert!(slot >= now && slot - now < schedule.period + schedule.period);
            waits_ms.push((slot - now).us() / 1000);
            *slots_by_second.entry((slot - START).us() / 1_000_000).or_default() += 1;
            now = slot + Duration::from_us(1);
        }
        waits_by_server.push(waits_ms);
    }
    let max = slots_by_second.values().max().copied().unwrap_or(0);
    assert!(max <= 140, "{max} slots in one second, requested rate is 100 per second");
    let first_waits: Vec<u64> = waits_by_server.iter().map(|waits_ms| waits_ms[0]).collect();
    let longest_waiting = (0..300).max_by_key(|server| first_waits[*server]).expect("300 servers");
    assert!(
        waits_by_server[longest_waiting].iter().skip(1).any(|ms| *ms < 3000),
        "{:?}",
        waits_by_server[longest_waiting]
    );
    // The period never exceeds the longest period, even if the requested rate would need more.
    assert_eq!(SlotSchedule::new(100_000, 1.0, Duration::from_ms(2000)).period, Duration::from_ms(2000));
}
