//! Tests of the selection of brokers and of the delays between connection attempts.

use crate::at;
use hazelspur::Duration;
use hazelspur_deliveries::BrokerSelector;

/// Three failures or a refusal make the selector avoid a broker for 15 s; after that the first one is
/// preferred again.
#[test]
fn failing_broker_is_avoided_until_its_penalty_ends() {
    let addresses = ["127.0.0.1:1", "127.0.0.1:2"].map(|a| a.parse().expect("an address"));
    let mut brokers = BrokerSelector::new(&addresses, Duration::from_ms(1000), 7, at(0));
    let mut seen = String::new();
    for (ms, refused) in
        [(0, false), (1000, false), (2000, false), (3000, true), (4000, false), (20_000, false)]
    {
        let changed = brokers.connection_failed(at(ms), refused);
        let wait = (brokers.next_attempt() - at(ms)).us() / 1000;
        seen +=
            &format!("{ms} refused {refused}: {} changed {changed} wait {wait}\n", brokers.address().port());
    }
    expect_test::expect![[r#"
        0 refused false: 1 changed false wait 796
        1000 refused false: 1 changed false wait 1478
        2000 refused false: 2 changed true wait 909
        3000 refused true: 1 changed true wait 15387
        4000 refused false: 1 changed false wait 646
        20000 refused false: 1 changed false wait 1047
    "#]]
    .assert_eq(&seen);
}

/// Guards against a fleet of 500 instances that overloads a broker when all reconnect after an outage: counts
/// the attempts in each second of the outage and after it.
#[test]
fn at_most_a_fifth_of_a_fleet_reconnects_in_one_second() {
    let address = ["127.0.0.1:1".parse().expect("an address")];
    let mut seen = String::new();
    for outage_ms in [0, 3_000, 60_000] {
        let mut attempts = std::collections::BTreeMap::<u64, u32>::new();
        for instance in 0..500 {
            let mut brokers =
                BrokerSelector::new(&address, Duration::from_ms(8000), instance * 77 + 5, at(0));
            brokers.connected(at(0));
            let mut now = at(10_000);
            brokers.connection_failed(now, false);
            loop {
                now = brokers.next_attempt();
                *attempts.entry((now - at(10_000)).us() / 1_000_000).or_default() += 1;
                if now >= at(10_000 + outage_ms) {
                    break;
                }
                brokers.connection_failed(now, false);
            }
        }
        let max = attempts.values().max().copied().unwrap_or(0);
        let last = attempts.keys().last().copied().unwrap_or(0);
        assert!(max <= 100, "{max} of 500 instances attempt to connect in one second, at most 100 allowed");
        seen += &format!("outage {outage_ms} ms: at most {max} in a second, all back in second {last}\n");
    }
    expect_test::expect![[r#"
        outage 0 ms: at most 68 in a second, all back in second 7
        outage 3000 ms: at most 87 in a second, all back in second 14
        outage 60000 ms: at most 88 in a second, all back in second 71
    "#]]
    .assert_eq(&seen);
}
