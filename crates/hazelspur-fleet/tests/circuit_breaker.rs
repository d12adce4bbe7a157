//! The circuit breaker: when it opens, when it probes, and that only calls and probes of its own server
//! close it.

mod helpers;

use expect_test::expect;
use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::circuit_breaker::{BreakerChange, CircuitBreaker, PeerView, ProbeKind};
use helpers::{START, name};

fn at_ms(ms: u64) -> Timestamp {
    START + Duration::from_ms(ms)
}

/// Opens the breaker by failed calls at 1 s, lets all its probes fail until `until_s`, and returns the
/// times of the probes in milliseconds.
fn fail_and_probe(breaker: &mut CircuitBreaker, until_s: u64) -> Vec<u64> {
    (0..6).for_each(|i| breaker.call_finished(at_ms(1000 + i * 50), false));
    let mut probe_times = Vec::new();
    while let Some(next) = breaker.next_probe().filter(|next| *next < at_ms(until_s * 1000)) {
        probe_times.push((next - START).us() / 1000);
        breaker.probe_sent(next);
        breaker.call_finished(next, false);
    }
    probe_times
}

/// The number of probes depends on whether the server hears others and is a designated prober.
#[test]
fn open_breaker_probes_on_schedule_and_closes_on_success() {
    let mut isolated = CircuitBreaker::new(name(3), "ledger", 300);
    assert!(isolated.next_probe().is_none());
    let probe_times = fail_and_probe(&mut isolated, 21);
    assert!(!isolated.is_closed() && (9..=21).contains(&probe_times.len()), "{probe_times:?}");
    isolated.call_finished(at_ms(21_000), true);
    assert!(isolated.is_closed() && isolated.next_probe().is_none());
    expect!["[Opened, Closed { after: Duration(19750000) }]"].assert_eq(&format!(
        "{:?}",
        std::iter::from_fn(|| isolated.next_change()).collect::<Vec<BreakerChange>>()
    ));

    let mut designated = CircuitBreaker::new(name(3), "ledger", 300);
    designated.set_peer_view(at_ms(900), Some(PeerView { designated: true, mostly_unreachable: true }));
    assert!((70..=110).contains(&fail_and_probe(&mut designated, 21).len()));
    let mut other = CircuitBreaker::new(name(3), "ledger", 300);
    other.set_peer_view(at_ms(900), Some(PeerView { designated: false, mostly_unreachable: true }));
    let probe_count = fail_and_probe(&mut other, 21).len();
    assert!((3..=8).contains(&probe_count), "{probe_count}");
    // Recovery hints bring the next probe forward, but only the first of all hints within a second.
    (0..50).for_each(|i| other.recovery_hint(at_ms(21_000 + i)));
    let next = other.next_probe().expect("the breaker is open");
    assert!(next < at_ms(21_400), "{next:?}");
    other.probe_sent(next);
    other.call_finished(next, false);
    other.recovery_hint(at_ms(21_500));
    assert!(other.next_probe().expect("the breaker is open") > at_ms(22_000));
    assert!(!other.is_closed(), "a recovery hint must not close the breaker");
}

#[test]
fn few_failures_open_the_breaker_only_if_most_others_fail_too() {
    let mut breaker = CircuitBreaker::new(name(1), "ledger", 10);
    (0..5).for_each(|i| breaker.call_finished(at_ms(i * 100), false));
    breaker.call_finished(at_ms(600), true);
    (0..20).for_each(|i| breaker.call_finished(at_ms(700 + i), false));
    assert!(breaker.is_closed(), "the failures span less than the time that opens the breaker");
    breaker.set_peer_view(at_ms(721), Some(PeerView { designated: false, mostly_unreachable: true }));
    breaker.call_finished(at_ms(722), false);
    assert!(!breaker.is_closed());
}

/// Guards against a server that goes on sending calls to a dependency that accepts but never answers them.
#[test]
fn unanswered_calls_open_the_breaker_until_an_answer() {
    let mut breaker = CircuitBreaker::new(name(1), "ledger", 10);
    (0..6).for_each(|i| breaker.call_unanswered(at_ms(i * 199)));
    assert!(
        breaker.is_closed(),
        "unanswered calls within less than a second may be a pause of the dependency"
    );
    breaker.call_unanswered(at_ms(1000));
    assert!(!breaker.is_closed());
    assert_eq!(breaker.next_change(), Some(BreakerChange::OpenedUnanswered));
    let next = breaker.next_probe().expect("the breaker is open");
    assert_eq!(breaker.probe_kind(), ProbeKind::Answer);
    breaker.probe_sent(next);
    breaker.call_finished(next, false);
    assert_eq!((breaker.is_closed(), breaker.probe_kind()), (false, ProbeKind::Answer));
    breaker.call_finished(next, true);
    assert!(breaker.is_closed());
}

#[test]
fn answer_resets_the_count_of_unanswered_calls() {
    let mut breaker = CircuitBreaker::new(name(1), "ledger", 10);
    (0..5).for_each(|i| breaker.call_unanswered(at_ms(i * 300)));
    breaker.call_finished(at_ms(1500), true);
    (0..5).for_each(|i| breaker.call_unanswered(at_ms(1600 + i * 300)));
    assert!(breaker.is_closed());
    breaker.call_unanswered(at_ms(3100));
    assert!(!breaker.is_closed());
}

#[test]
fn two_unanswered_calls_open_the_breaker_if_peers_confirm() {
    let mut breaker = CircuitBreaker::new(name(1), "ledger", 10);
    breaker.set_peer_view(at_ms(0), Some(PeerView { designated: false, mostly_unreachable: true }));
    breaker.call_unanswered(at_ms(10));
    assert!(breaker.is_closed());
    breaker.call_unanswered(at_ms(20));
    assert!(!breaker.is_closed());
}
