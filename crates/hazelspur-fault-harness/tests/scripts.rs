//! Tests of scripts as text, drawn from seeds and shrunk, and of the checker on evidence with planted
//! breaches.

use hazelspur_fault_harness::checker::{Evidence, ProcessIncarnation, WorkerRecord};
use hazelspur_fault_harness::observer::FleetView;
use hazelspur_fault_harness::script::{Party, Script};
use hazelspur_fleet::{FleetSize, LocalStatus, MemberStatus};
use hazelspur_test_doubles::gateway::{Attempt, Response};

#[test]
fn scripts_round_trip_as_text_and_invalid_ones_are_rejected() {
    for seed in 0..500 {
        let script = Script::random(seed, 24, 4, 12_000);
        assert!(!script.0.is_empty() && script.end_ms() <= 12_000, "{script}");
        assert_eq!(script.to_string().parse(), Ok(script));
    }
    let invalid = [
        "2+5 cut east",
        "2+5 kill east west",
        "2 kill n1",
        "x+5 kill n1",
        "2+5 burn n1",
        "2+5 kill x",
        "2+5 delay n1 n2",
        "2+5 kill:3 n1",
        "2+5 stop ledger",
        "1+1 lose:101 n1 n2",
    ];
    let errors: Vec<String> =
        invalid.iter().map(|text| text.parse::<Script>().expect_err(text).to_string()).collect();
    expect_test::expect![[r#"
        "2+5 cut east": a fault of a link needs two parties
        "2+5 kill east west": the fault takes one party
        "2": expected start and duration in seconds, as in 2+5
        "x": expected a number of seconds from 0 to 3600
        unknown fault "burn"
        unknown party "x"; parties are servers as in n0, gateways as in g0, workers as in r0, east, west, north, servers, gateways, ledger and list
        "delay": the fault needs a whole number from 0 to 10000, as in delay:5
        "kill:3": the fault takes no value
        "2+5 stop ledger": the fault does not apply to ledger
        "lose:101": the fault needs a whole number from 0 to 100, as in lose:5"#]]
    .assert_eq(&errors.join("\n"));
}

#[test]
fn shrinking_leaves_only_the_faults_that_fail() {
    let script: Script =
        "1+1 kill n1; 2+1 stop n2; 3+1 cut east west; 4+1 kill n3".parse().expect("valid script");
    let contains_both = |script: &Script| {
        let text = script.to_string();
        text.contains("stop n2") && text.contains("kill n3")
    };
    assert_eq!(script.shrunk(contains_both).to_string(), "2+1 stop n2; 4+1 kill n3");
}

/// Returns the evidence of two servers that each answered one attempt and drained at the end, without a
/// breach.
fn evidence_without_breaches() -> Evidence {
    let attempt = |request: &str, request_class, server: usize, sent_ms| Attempt {
        request: request.into(),
        attempt_id: format!("{request}-at-n{server}"),
        request_class,
        server,
        sent_ms,
        due_ms: sent_ms + 3000,
        responses: vec![(Response::Succeeded, sent_ms + 50)],
        disconnected_ms: None,
        crossed_goodbye: false,
        corrupted: false,
    };
    let process = |server| ProcessIncarnation {
        server,
        started_ms: 0,
        notice_ms: Some(200_000),
        ended_ms: Some(200_900),
        exit_status: Some(0),
        peak_memory_kb: 9000,
        ..ProcessIncarnation::default()
    };
    let view = |server, at_ms| FleetView {
        server,
        at_ms,
        local_status: LocalStatus::Healthy,
        fleet_size: FleetSize { min: 2, max: 2 },
        other_members: vec![(format!("n{}", 1 - server), MemberStatus::Alive)],
    };
    let worker_record = |request: &str, server: usize| WorkerRecord {
        run_started_ms: [(format!("{request}-at-n{server}"), 100_010)].into(),
        runs_by_request: [(request.to_string(), 1)].into(),
        max_concurrent_runs: 3,
    };
    Evidence {
        servers: 2,
        script_started_ms: 50_000,
        attempts: vec![vec![attempt("a", "book", 0, 100_000), attempt("b", "view", 1, 100_000)]],
        worker_records: vec![worker_record("a", 0), worker_record("b", 1)],
        process_incarnations: vec![process(0), process(1)],
        views: vec![view(0, 100_000), view(1, 100_000)],
        last_views: vec![Some(view(0, 199_000)), Some(view(1, 199_000))],
        effects: [("a-at-n0".to_string(), 1)].into(),
        max_concurrent_calls: 3,
        grace_ms: 300,
        stop_ms: 1500,
        memory_limit_kb: 64_000,
        run_limit: 16,
        call_limit: 16,
        ..Evidence::default()
    }
}

/// Each change breaks one rule in evidence that is otherwise without a breach; the checker must report it.
#[test]
fn checker_reports_each_planted_breach() {
    assert_eq!(evidence_without_breaches().breaches(), Vec::<String>::new());
    type Change = fn(&mut Evidence);
    let changes: [Change; 17] = [
        |evidence| evidence.attempts[0][0].responses.push((Response::Succeeded, 100_060)),
        |evidence| evidence.attempts[0][0].responses.clear(),
        |evidence| {
            (evidence.attempts[0][0].responses, evidence.attempts[0][0].disconnected_ms) =
                (Vec::new(), Some(100_020))
        },
        |evidence| evidence.attempts[0][0].responses[0].1 = 109_000,
        |evidence| evidence.attempts[0][0].corrupted = true,
        |evidence| evidence.attempts[0][0].responses[0].0 = Response::Rejected,
        |evidence| evidence.worker_records[1].runs_by_request.extend([("a".to_string(), 1)]),
        |evidence| evidence.effects.extend([("a-at-n0".to_string(), 2)]),
        |evidence| evidence.process_incarnations[0].notice_ms = Some(98_000),
        |evidence| evidence.process_incarnations[0].exit_status = Some(1),
        |evidence| {
            (evidence.process_incarnations[0].notice_ms, evidence.process_incarnations[0].ended_ms) =
                (None, Some(150_000))
        },
        |evidence| evidence.process_incarnations[0].peak_memory_kb = 65_000,
        |evidence| evidence.worker_records[0].max_concurrent_runs = 17,
        |evidence| evidence.max_concurrent_calls = 17,
        |evidence| evidence.views[0].fleet_size.min = 3,
        |evidence| (evidence.views[0].fleet_size.min, evidence.views[0].fleet_size.max) = (1, 1),
        |evidence| evidence.last_views[1] = None,
    ];
    let mut reported = String::new();
    for change in changes {
        let mut evidence = evidence_without_breaches();
        change(&mut evidence);
        let breaches = evidence.breaches();
        reported += &format!("{}\n", breaches.first().map_or("nothing", |breach| breach));
    }
    expect_test::expect![[r#"
        a (a-at-n0) of g0 at n0 has 2 answers
        a (a-at-n0) of g0 at n0 has no answer
        a (a-at-n0) of g0 at n0 was lost with its connection: sent at 50000 ms, broke after 20 ms, started: true, farewell: false
        a (a-at-n0) of g0 at n0 was answered 6000 ms late
        a (a-at-n0) of g0 at n0 was acked with what no run made
        a (a-at-n0) was nacked at n0 after it ran
        a, which is not to run twice, ran 2 times
        the call for a-at-n0 was made 2 times
        a came to n0 2000 ms into its drain, and ran
        n0 ended with Some(1), 900 ms after its notice
        n0 ended by itself with Some(0)
        n0 took 65000 KB of 64000
        17 ran at once at n0, 16 may
        17 calls at once at the ledger, 16 may
        n0 said 3 to 2 where 2 to 2 were
        n0 said 1 to 1 where 2 to 2 were
        at last n1 (west) says None
    "#]]
    .assert_eq(&reported);
}

/// An attempt without a response is a breach unless a fault on its own path explains it: faults of other
/// links, a refused connection that stayed open, and a goodbye message after the run do not.
#[test]
fn only_faults_on_its_path_excuse_an_attempt() {
    let mut evidence = evidence_without_breaches();
    evidence.attempts[0][0].responses.clear();
    let script: Script = "45+10 cut n0 ledger; 45+10 cut g1 n0; 45+10 cut n0 n1; 45+10 mute n0 list"
        .parse()
        .expect("valid script");
    evidence.faults = script.0;
    assert_eq!(evidence.breaches().len(), 1);
    let script: Script = "49+4 mute n0 gateways".parse().expect("valid script");
    evidence.faults = script.0;
    assert_eq!(evidence.breaches(), Vec::<String>::new());
    evidence.faults.clear();
    evidence.refusals = vec![(Party::Gateway(0), Party::Server(0), 100_010)];
    assert_eq!(
        evidence.breaches().len(),
        1,
        "the connection was refused but the attempt was not disconnected"
    );
    evidence.refusals.clear();
    (evidence.attempts[0][0].disconnected_ms, evidence.attempts[0][0].crossed_goodbye) =
        (Some(100_010), true);
    assert_eq!(evidence.breaches().len(), 1, "it ran, so it was read before the goodbye message");
    evidence.worker_records[0].run_started_ms.clear();
    assert_eq!(evidence.breaches(), Vec::<String>::new());
}
