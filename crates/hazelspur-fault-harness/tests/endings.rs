//! Tests of the soak `endings`: its checker finds a planted fault for each rule, its plans are repeatable and
//! keep their time limits, and its options are validated. No server is started.

use hazelspur_fault_harness::endings::checker::{Evidence, Rule};
use hazelspur_fault_harness::endings::client::{Answer, Connection, Sent};
use hazelspur_fault_harness::endings::instants::Instants;
use hazelspur_fault_harness::endings::plan::{Action, Class, Plan, Step};
use hazelspur_fault_harness::endings::server::{End, MAX_DESCRIPTORS, MAX_MEMORY_MB};
use hazelspur_fault_harness::endings::timeline::{Operation, OverlappingSpans, TimedOperation, timeline};
use std::process::Command;
use std::time::Duration;

/// Time at which SIGTERM was sent, in Unix milliseconds. The grace period ends 300 ms later; with the
/// tolerance of the checker, 350 ms later.
const NOTICE_MS: u64 = 10_000;

fn sent(request: &str, at_ms: u64) -> Sent {
    Sent {
        request: request.into(),
        class: Some(Class::Pay),
        effect: format!("effect-{request}"),
        sent_ms: at_ms,
        due_ms: at_ms + 2000,
        answers: vec![(Answer::Success, at_ms + 20)],
    }
}

/// Returns the evidence of a run in which all rules hold: request a was sent before the shutdown notice and
/// ran, request b was sent after the grace period and was rejected, request c crossed the close of the
/// connection.
fn evidence_without_breach() -> Evidence {
    let late_request =
        Sent { answers: vec![(Answer::Rejected, NOTICE_MS + 500)], ..sent("b", NOTICE_MS + 480) };
    let crossing_close = Sent { answers: Vec::new(), ..sent("c", NOTICE_MS + 900) };
    let connection = Connection {
        connected: true,
        sent: vec![sent("a", NOTICE_MS - 100), late_request, crossing_close],
        closed_ms: Some(NOTICE_MS + 940),
        ..Connection::default()
    };
    Evidence {
        notice_ms: NOTICE_MS,
        kill_ms: NOTICE_MS + 1500,
        connections: vec![connection],
        started_ms: [("a".to_string(), NOTICE_MS - 95)].into(),
        runs_by_body: [("effect-a".to_string(), 1)].into(),
        end: End { status: Some(0), memory_kb: 9000, descriptors: 40, ..End::default() },
        ready_after: Some(Duration::from_millis(50)),
        ..Evidence::default()
    }
}

/// Returns the rules that are broken once a fault is planted in the evidence of a correct run.
fn broken_rules(plant_fault: impl FnOnce(&mut Evidence)) -> Vec<Rule> {
    let mut evidence = evidence_without_breach();
    plant_fault(&mut evidence);
    evidence.breaches().into_iter().map(|breach| breach.rule).collect()
}

fn request(evidence: &mut Evidence, index: usize) -> &mut Sent {
    &mut evidence.connections[0].sent[index]
}

#[test]
fn evidence_of_a_correct_run_has_no_breach() {
    assert_eq!(evidence_without_breach().breaches(), []);
}

#[test]
fn missing_doubled_late_and_unmatched_responses_are_found() {
    assert_eq!(broken_rules(|run| request(run, 0).answers.clear()), [Rule::OneResponse]);
    assert_eq!(
        broken_rules(|run| request(run, 0).answers.push((Answer::Failed, NOTICE_MS))),
        [Rule::OneResponse]
    );
    assert_eq!(broken_rules(|run| request(run, 0).answers[0].1 = NOTICE_MS + 1951), [Rule::OneResponse]);
    assert_eq!(broken_rules(|run| run.connections[0].unmatched_answers = 1), [Rule::OneResponse]);
}

#[test]
fn unanswered_request_that_did_not_cross_a_close_is_found() {
    assert_eq!(broken_rules(|run| run.connections[0].closed_ms = Some(NOTICE_MS + 951)), [Rule::OneResponse]);
    assert_eq!(broken_rules(|run| run.connections[0].closed_ms = None), [Rule::OneResponse]);
}

/// Guards against a server that reads a request after it has closed the connection and still forwards it to
/// the worker.
#[test]
fn unanswered_request_that_crossed_the_close_and_ran_is_found() {
    assert_eq!(
        broken_rules(|run| run.started_ms.extend([("c".into(), NOTICE_MS + 300)])),
        [Rule::OneResponse, Rule::GracePeriod]
    );
}

#[test]
fn requests_at_each_instant_are_counted() {
    let steps = vec![Step { at_ms: -99, action: Action::Suspend(10) }];
    let plan = Plan { steps, ..Plan::from_seed(1) };
    let mut evidence = evidence_without_breach();
    let in_suspension = sent("d", NOTICE_MS - 95);
    evidence.started_ms.insert("d".into(), NOTICE_MS - 80);
    evidence.started_ms.insert("a".into(), NOTICE_MS - 100);
    evidence.connections[0].sent.extend([
        in_suspension,
        sent("e", NOTICE_MS + 299),
        sent("f", NOTICE_MS + 301),
    ]);
    let expected =
        Instants { crossed_close: 1, at_end_of_grace: 1, sent_in_suspension: 1, ran_across_suspension: 1 };
    let reached = Instants::of(&plan, &evidence);
    assert_eq!((reached, reached.all_reached()), (expected, true));
    evidence.connections.clear();
    assert!(!Instants::of(&plan, &evidence).all_reached());
}

#[test]
fn request_run_past_the_grace_period_is_found() {
    let run_late = |run: &mut Evidence| {
        request(run, 1).answers[0].0 = Answer::Success;
        run.started_ms.insert("b".into(), NOTICE_MS + 485);
    };
    assert_eq!(broken_rules(run_late), [Rule::GracePeriod]);
    let within_tolerance = |run: &mut Evidence| {
        request(run, 1).sent_ms = NOTICE_MS + 350;
        run_late(run);
    };
    assert_eq!(broken_rules(within_tolerance), []);
}

#[test]
fn second_effect_and_rejection_after_a_run_are_found() {
    assert_eq!(
        broken_rules(|run| *run.runs_by_body.entry("effect-a".into()).or_default() = 2),
        [Rule::OneEffect]
    );
    assert_eq!(broken_rules(|run| request(run, 0).answers[0].0 = Answer::Rejected), [Rule::OneEffect]);
}

#[test]
fn late_exit_failed_exit_and_logged_error_are_found() {
    assert_eq!(broken_rules(|run| run.end.killed = true), [Rule::End]);
    assert_eq!(broken_rules(|run| run.end.status = Some(1)), [Rule::End]);
    assert_eq!(broken_rules(|run| run.end.status = None), [Rule::End]);
    assert_eq!(broken_rules(|run| run.log = "1.0 error task failed name=accept\n".into()), [Rule::End]);
    assert_eq!(broken_rules(|run| run.log = "1.0 error reload refused, the old file stays\n".into()), []);
}

#[test]
fn excess_descriptors_memory_and_leftover_files_are_found() {
    assert_eq!(broken_rules(|run| run.end.descriptors = MAX_DESCRIPTORS + 1), [Rule::Limits]);
    assert_eq!(broken_rules(|run| run.end.memory_kb = MAX_MEMORY_MB * 1024 + 1), [Rule::Limits]);
    assert_eq!(broken_rules(|run| run.end.files_left = 1), [Rule::Limits]);
}

#[test]
fn breach_at_the_broker_is_found() {
    let plant_fault =
        |run: &mut Evidence| run.queue_breaches.push("message 1 settled for good 2 times".into());
    assert_eq!(broken_rules(plant_fault), [Rule::Deliveries]);
}

#[test]
fn plan_is_repeatable_and_its_parts_can_be_left_out() {
    for seed in 1..50 {
        let plan = Plan::from_seed(seed);
        assert_eq!(format!("{plan:?}"), format!("{:?}", Plan::from_seed(seed)));
        let all: Vec<usize> = (0..plan.part_count()).collect();
        let empty = plan.without(&all);
        assert_eq!(
            (empty.steps.len(), empty.clients.len(), plan.without(&[]).part_count()),
            (0, 0, plan.part_count())
        );
    }
    let crowds = (1..50).filter(|seed| Plan::from_seed(*seed).has_crowd()).count();
    let queues = (1..50).filter(|seed| Plan::from_seed(*seed).queued_messages > 0).count();
    assert!(crowds > 4 && queues > 8, "{crowds} of 49 seeds have a crowd, {queues} have queued messages");
}

/// Guards against steps that are carried out one after the other: a suspension then waits for the end of an
/// earlier, longer one and lasts until after the kill.
#[test]
fn step_ends_on_time_while_another_step_lasts_longer() {
    let steps = [
        Step { at_ms: 1521, action: Action::Suspend(322) },
        Step { at_ms: 1522, action: Action::Suspend(573) },
        Step { at_ms: 1600, action: Action::RefuseWorker(100) },
        Step { at_ms: 1650, action: Action::Term },
    ];
    let plan = Plan { steps: steps.to_vec(), ..Plan::from_seed(972) };
    let expected = [
        (0, Operation::Notice),
        (1521, Operation::BeginSuspension),
        (1522, Operation::BeginSuspension),
        (1600, Operation::BeginRefusal),
        (1650, Operation::Term),
        (1700, Operation::EndRefusal),
        (1843, Operation::EndSuspension),
        (2095, Operation::EndSuspension),
    ];
    let expected = expected.map(|(at_ms, operation)| TimedOperation { at_ms, operation });
    assert_eq!(timeline(&plan), expected);
}

#[test]
fn overlapping_spans_last_from_first_begin_to_last_end() {
    let mut spans = OverlappingSpans::default();
    assert_eq!([spans.begin(), spans.begin(), spans.end(), spans.end()], [true, false, false, true]);
    assert_eq!([spans.begin(), spans.end()], [true, true]);
}

#[test]
fn suspensions_end_300_ms_before_the_kill_other_steps_by_it() {
    for plan in (1..1000).map(Plan::from_seed) {
        let latest = |timed: &TimedOperation| match timed.operation {
            Operation::EndSuspension => plan.stop_ms - 300,
            _ => plan.stop_ms,
        };
        let late: Vec<_> = timeline(&plan).into_iter().filter(|timed| timed.at_ms > latest(timed)).collect();
        assert!(late.is_empty(), "{plan}: operations past their limit: {late:?}");
    }
}

#[test]
fn every_kind_of_step_occurs_in_generated_plans() {
    let plans: Vec<Plan> = (1..200).map(Plan::from_seed).collect();
    let drawn = |kind: &str| plans.iter().flat_map(|plan| &plan.steps).any(|step| step.action.kind() == kind);
    let missing: Vec<&str> = Action::KINDS.into_iter().filter(|kind| !drawn(kind)).collect();
    assert!(missing.is_empty(), "kinds of steps that no plan has: {missing:?}");
}

#[test]
fn options_out_of_bounds_are_rejected_with_the_bounds() {
    let run_with = |server: &str, options: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hazelspur-fault-harness"));
        let output =
            command.args(["endings", "--server", server]).args(options).output().expect("the harness runs");
        (output.status.code(), String::from_utf8_lossy(&output.stderr).trim().to_string())
    };
    // Options are checked before a server is started, so any existing program will do.
    let any = "/bin/true";
    assert_eq!(run_with(any, &["--seeds", "0"]), (Some(2), "--seeds 0 is not from 1 to 100000".into()));
    assert_eq!(run_with(any, &["--jobs", "17"]), (Some(2), "--jobs 17 is not from 1 to 16".into()));
    let no_folder = (Some(2), "--reports \"/nowhere\" is not a folder".into());
    assert_eq!(run_with(any, &["--reports", "/nowhere"]), no_folder);
    let no_program =
        (Some(2), "--server \"/nowhere/server\" does not exist: build it, or name another program".into());
    assert_eq!(run_with("/nowhere/server", &[]), no_program);
}
