//! Aggregation of load reports, classification of faults as local or shared, and the latency ratio.

mod helpers;

use expect_test::expect;
use hazelspur::Duration;
use hazelspur_fleet::load_reports::{
    FaultScope, LatencyRatioTracker, LoadReportTable, PeerLoadReport, median,
};
use helpers::{START, name, site};

fn report(latency_ratio: f32, unreachable_fraction: f32) -> PeerLoadReport {
    PeerLoadReport { latency_ratio, unreachable_fraction: Some(unreachable_fraction), rejected_fraction: 0.0 }
}

/// Returns a table that received these reports at `START`, each from the server with this number.
fn table(reports: &[(usize, PeerLoadReport)]) -> LoadReportTable {
    let mut table = LoadReportTable::new(64, Duration::from_ms(5000));
    reports.iter().for_each(|(index, report)| table.receive(START, name(*index), site(*index), *report));
    table
}

/// A false report, or a whole site with ten times the latency, shifts the median by one position at most.
#[test]
fn one_false_report_or_one_site_barely_moves_the_median() {
    let normal_reports: Vec<(usize, PeerLoadReport)> =
        (0..30).map(|index| (index, report(1.0 + index as f32 / 100.0, 0.0))).collect();
    let ratio = |table: &LoadReportTable| {
        table.aggregate(START).and_then(|aggregated| aggregated.latency_ratio).unwrap_or(f64::NAN)
    };
    let before = ratio(&table(&normal_reports));
    let false_reports = [f32::NAN, -3.0, 1000.0, 1e30, f32::INFINITY].map(|reported_ratio| {
        let mut reports = normal_reports.clone();
        reports[7].1 = report(reported_ratio, 0.0);
        let table = table(&reports);
        (ratio(&table), table.invalid_reports)
    });
    for (after, _) in false_reports {
        assert!((after - before).abs() < 0.05, "{before} {false_reports:?}");
    }
    assert_eq!(false_reports.map(|(_, invalid)| invalid), [1, 1, 0, 1, 1]);
    // One whole site reports ten times the latency; then another site reports nothing.
    let mut reports = normal_reports.clone();
    reports
        .iter_mut()
        .filter(|(index, _)| index % 3 == 1)
        .for_each(|(_, report)| report.latency_ratio *= 10.0);
    assert!((ratio(&table(&reports)) - before).abs() < 0.3);
    reports.retain(|(index, _)| index % 3 != 0);
    assert!(ratio(&table(&reports)) > 3.0, "half of the reporters have a high latency ratio");
    // Expired reports do not count, and two reporters are too few.
    assert_eq!(table(&normal_reports).aggregate(START + Duration::from_ms(5001)), None);
    assert_eq!(table(&normal_reports[..2]).aggregate(START), None);
}

#[test]
fn fault_scope_distinguishes_local_and_shared_faults() {
    let scope = |others: PeerLoadReport, own: PeerLoadReport| {
        let table = table(&[(1, others), (2, others), (3, others)]);
        FaultScope::of(&own, table.aggregate(START).as_ref())
    };
    let cases = [
        scope(report(1.0, 0.0), report(1.1, 0.0)),
        scope(report(1.0, 0.0), report(3.0, 0.0)),
        scope(report(3.0, 0.0), report(3.0, 0.0)),
        scope(report(0.0, 1.0), report(0.0, 1.0)),
        scope(report(1.0, 0.0), report(0.0, 1.0)),
        scope(report(1.7, 0.0), report(3.0, 0.0)),
        FaultScope::of(&report(3.0, 0.0), table(&[]).aggregate(START).as_ref()),
    ];
    expect!["none mine shared shared mine unknown unknown"].assert_eq(&cases.map(FaultScope::name).join(" "));
    assert_eq!(
        [median(vec![]), median(vec![3.0, 1.0]), median(vec![1.0, 9.0, 2.0])],
        [None, Some(2.0), Some(2.0)]
    );
}

#[test]
fn latency_ratio_compares_with_the_best_remembered_window() {
    let mut latency = LatencyRatioTracker::default();
    let mut seen = Vec::new();
    for second in 0..200u64 {
        let secs = if (20..30).contains(&second) || second >= 50 { 0.03 } else { 0.01 };
        let now = START + Duration::from_ms(second * 1000);
        let ratio = latency.observe(now, secs);
        if [10, 25, 40, 60, 150, 199].contains(&second) {
            seen.push(format!("{second}:{ratio:.1}"));
        }
    }
    expect!["10:1.0 25:3.0 40:1.0 60:3.0 150:3.0 199:1.0"].assert_eq(&seen.join(" "));
    assert_eq!([latency.observe(START, f64::NAN), latency.observe(START, -1.0)], [0.0, 0.0]);
}
