//! Tests of a small fleet of real and lightweight members, which the printed figures call hollow. Waits are
//! for events, with generous timeouts. The server program is the one in the folder of the harness, where a
//! test of the whole workspace puts it; if it is missing there, it is built first.

use hazelspur_fault_harness::lightweight::figures::{Role, describe, points};
use hazelspur_fault_harness::lightweight::{FleetSnapshot, Outcome, Plan, run};
use std::collections::BTreeSet;
use std::ops::ControlFlow;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Once;
use std::time::Duration;

fn server_binary() -> PathBuf {
    static BUILD: Once = Once::new();
    let own_binary = PathBuf::from(env!("CARGO_BIN_EXE_hazelspur-fault-harness"));
    let server_binary = own_binary.with_file_name("hazelspur-server");
    BUILD.call_once(|| {
        if server_binary.exists() {
            return;
        }
        let profile_folder = own_binary.parent().expect("the program is in a profile folder");
        let mut build = Command::new(env!("CARGO"));
        build.args(["build", "--locked", "-p", "hazelspur-server", "--target-dir"]);
        build.arg(profile_folder.parent().expect("the profile folder is in the target folder"));
        if profile_folder.ends_with("release") {
            build.arg("--release");
        }
        assert!(build.status().expect("cargo starts").success(), "building hazelspur-server failed");
    });
    server_binary
}

fn plan() -> Plan {
    Plan {
        server_binary: server_binary(),
        own_binary: env!("CARGO_BIN_EXE_hazelspur-fault-harness").into(),
        members: 32,
        real: 2,
        per_process: 15,
        spread: Duration::from_millis(300),
        agree_within: Duration::from_secs(12),
        settle: Duration::ZERO,
        window: Duration::ZERO,
        duration: Duration::ZERO,
        rate: 0.0,
        seed: 1,
        silent: 0,
        stop: Default::default(),
    }
}

fn ignore_snapshot(_: &FleetSnapshot) -> ControlFlow<()> {
    ControlFlow::Continue(())
}

fn assert_all_ended(ids: &[u32]) {
    for id in ids {
        let program = std::fs::read_link(format!("/proc/{id}/exe")).unwrap_or_default();
        assert!(!program.to_string_lossy().contains("hazelspur"), "process {id} still runs");
    }
}

fn assert_agreed(outcome: &Outcome) {
    assert!(outcome.agreed_after.is_some(), "{}", describe(outcome));
    assert_eq!(outcome.missing, BTreeSet::new());
}

#[test]
fn small_fleet_agrees_its_counts_add_up_and_all_processes_end() {
    let plan = Plan { window: Duration::from_millis(1500), rate: 4.0, ..plan() };
    let outcome = run(&plan, &mut ignore_snapshot).expect("the run succeeds");
    assert_agreed(&outcome);
    assert_eq!((outcome.processes, outcome.process_ids.len()), (5, 4));
    assert_all_ended(&outcome.process_ids);

    let figures = outcome.figures.as_ref().expect("a window was measured");
    assert_eq!(figures.with_role(Role::Lightweight).count(), 30);
    assert_eq!(figures.members.len(), 32);
    assert_eq!((figures.not_accepted, figures.unsent), (0, 0));
    // The traffic that lightweight members received, counted by receiver and by sender, must be the same.
    let received: f64 = figures.with_role(Role::Lightweight).map(|member| member.received.datagrams).sum();
    let by_sender: f64 = figures.members.iter().map(|member| member.seen_by_lightweight.datagrams).sum();
    assert!(
        received > 0.0 && (received - by_sender).abs() < 1e-6,
        "{received} datagrams by receiver, {by_sender} by sender"
    );
    let total = |figure: fn(&_) -> f64| figures.members.iter().map(figure).sum::<f64>();
    let received: f64 = figures.with_role(Role::Lightweight).map(|member| member.received.bytes).sum();
    assert!((received - total(|member| member.seen_by_lightweight.bytes)).abs() < 1e-3);
    for member in &figures.members {
        assert!(member.sent.bytes <= member.sent.datagrams * 1200.0 + 1e-6, "{member:?}");
        assert!(member.sent.bytes >= member.sent.datagrams * 60.0 - 1e-6, "{member:?}");
        assert!(member.anonymous > 0.0 && member.resident > member.anonymous, "{member:?}");
        assert!((0.0..8.0).contains(&member.cpu_share), "{member:?}");
    }
    let points = points(&outcome, plan.seed);
    let names: BTreeSet<&str> = points.iter().filter_map(|point| point["figure"].as_str()).collect();
    for name in ["agree_s", "hollow.bytes_out_per_s", "hollow.cpu_share", "difference.bytes"] {
        assert!(names.contains(format!("members.{name}").as_str()), "{name} is not among {names:?}");
    }
    for point in &points {
        let keys: Vec<&str> =
            point.as_object().expect("a point is an object").keys().map(String::as_str).collect();
        assert_eq!(keys, ["by", "case", "figure", "seed", "size", "unit", "value"]);
    }
}

#[test]
fn silent_lightweight_member_is_reported_as_missing() {
    let plan = Plan { silent: 1, ..plan() };
    let mut stop_when_others_are_alive = |snapshot: &FleetSnapshot| {
        if snapshot.min_alive() + 1 == plan.members {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    };
    let outcome = run(&plan, &mut stop_when_others_are_alive).expect("the run succeeds");
    assert_eq!(outcome.agreed_after, None);
    assert_eq!(outcome.missing, ["h0031".to_string()].into());
    assert!(describe(&outcome).contains("missing 1: h0031"), "{}", describe(&outcome));
    assert_all_ended(&outcome.process_ids);
}

#[test]
fn death_of_a_lightweight_process_ends_the_run_with_an_error() {
    let mut ids = Vec::new();
    let mut kill_one = |snapshot: &FleetSnapshot| {
        if ids.is_empty() {
            ids = snapshot.process_ids.clone();
            let process = nix::unistd::Pid::from_raw(ids[0] as i32);
            nix::sys::signal::kill(process, nix::sys::signal::Signal::SIGKILL).expect("the process runs");
        }
        ControlFlow::Continue(())
    };
    // With a silent member the fleet cannot agree, so the run still waits when the process is killed.
    let error = run(&Plan { silent: 1, ..plan() }, &mut kill_one).expect_err("a process was killed");
    assert!(format!("{error:#}").contains("lightweight members from 2: exited early"), "{error:#}");
    assert_eq!(ids.len(), 4);
    assert_all_ended(&ids);
}

#[test]
fn plan_over_a_limit_is_rejected_with_value_and_limit() {
    let allowed = Plan { members: 810, real: 24, per_process: 200, ..plan() };
    assert_eq!((allowed.processes(), allowed.descriptors()), (29, 656));
    let over_a_limit = [
        (Plan { per_process: 5, ..allowed.clone() }, 20_000),
        (Plan { per_process: 400, ..allowed.clone() }, 600),
        (Plan { members: 24, ..allowed.clone() }, 20_000),
        (Plan { real: 91, ..allowed.clone() }, 20_000),
        (Plan { silent: 787, ..allowed.clone() }, 20_000),
        (Plan { settle: Duration::from_secs(600), ..allowed.clone() }, 20_000),
    ];
    assert!(allowed.check(656).is_ok());
    let errors: Vec<String> = over_a_limit
        .iter()
        .map(|(plan, limit)| plan.check(*limit).expect_err("the plan is over a limit").to_string())
        .collect();
    expect_test::expect![[r#"
        the run needs 183 processes, at most 100 are allowed: raise --per-process or lower --real
        a process needs 648 descriptors, its limit is 600: raise it (ulimit -n), or lower --per-process or --real
        --members: 24 is not from 25 to 2048
        --real: 91 is not from 1 to 90
        --silent: 787 is not from 0 to 786
        seconds of all flags together: 612 is not from 0 to 600"#]]
    .assert_eq(&errors.join("\n"));
}
