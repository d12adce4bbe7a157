//! Tests of the detection of standstills of the process, and of the earliest time at which a signal that is
//! handled after one can have been sent.

use hazelspur::Timestamp;
use hazelspur_server::process::standstill::StandstillDetector;

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_us(ms * 1000)
}

/// Returns a detector that has observed the event loop at these times, in milliseconds.
fn detector_after(times_ms: &[u64]) -> StandstillDetector {
    let detector = StandstillDetector::new(ms(times_ms[0]));
    for time in &times_ms[1..] {
        detector.observe(ms(*time));
    }
    detector
}

#[test]
fn signal_without_standstill_counts_from_previous_observation() {
    assert_eq!(detector_after(&[1000, 1020, 1040]).earliest_signal(ms(1050)), ms(1040));
}

#[test]
fn signal_handled_as_a_standstill_ends_counts_from_its_start() {
    assert_eq!(detector_after(&[1000, 1020]).earliest_signal(ms(1500)), ms(1020));
}

/// After a standstill, the timer of the next observation fires before the signal is read.
#[test]
fn signal_handled_after_an_observation_counts_from_the_start() {
    assert_eq!(detector_after(&[1000, 1020, 1500]).earliest_signal(ms(1501)), ms(1020));
    assert_eq!(detector_after(&[1000, 1020, 1500, 1520, 1540]).earliest_signal(ms(1560)), ms(1020));
}

#[test]
fn signal_long_after_a_standstill_counts_from_last_observation() {
    let detector = detector_after(&[1000, 1500, 1520, 1540, 1560, 1580, 1600, 1620, 1640, 1660, 1680, 1700]);
    assert_eq!(detector.earliest_signal(ms(1701)), ms(1700));
}

#[test]
fn signal_after_two_standstills_counts_from_the_second() {
    assert_eq!(detector_after(&[1000, 1500, 1520, 1900]).earliest_signal(ms(1901)), ms(1520));
}

#[test]
fn standstill_is_reported_once_with_both_ends() {
    let detector = detector_after(&[1000, 1059]);
    let standstill = detector.observe(ms(1119)).expect("60 ms");
    assert_eq!((standstill.began, standstill.ended), (ms(1059), ms(1119)));
    assert_eq!(detector.observe(ms(1139)), None);
}
