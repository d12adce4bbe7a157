//! The membership of many server processes with faults between them, in fixed scripts and in scripts drawn
//! from seeds. The tests wait for events, with generous timeouts; `hazelspur_fault_harness::checker` checks
//! the rules on the recorded evidence.

use hazelspur_fault_harness::observer::FleetObserver;
use hazelspur_fault_harness::run::{Verdict, play, start_and_wait_for_agreement};
use hazelspur_fault_harness::script::Script;
use hazelspur_fault_harness::test_fleet::{INSTALLATION, KEY, Plan, TestFleet};

fn run_script(servers: usize, script: &Script, seed: u64) -> Verdict {
    let plan = Plan {
        server_binary: env!("CARGO_BIN_EXE_hazelspur-server").into(),
        servers,
        gateways: 3,
        script: script.clone(),
        seed,
        rate: 45.0,
        max_servers: servers * 2,
        calls_per_server: hazelspur_fault_harness::test_fleet::CALLS_PER_SERVER,
        coordinated: false,
    };
    let verdict = play(plan, &mut |_, _| {}).unwrap_or_else(|why| panic!("{script}: {why:#}"));
    assert!(verdict.breaches.is_empty(), "{script}\n{}\n{:#?}", verdict.figures(), verdict.breaches);
    verdict
}

fn run_case(servers: usize, script: &str) -> Verdict {
    run_script(servers, &script.parse().expect("a script"), 1)
}

/// Three servers of one site are suspended, while three of another site are killed and restarted.
#[test]
fn membership_rules_hold_under_suspensions_and_kills() {
    // n0, n3, n6 of east are suspended; n1, n4, n7 of west are killed and restarted.
    let verdict =
        run_case(24, "1+10 stop n0; 1+10 stop n3; 1+10 stop n6; 1+9 kill n1; 1+9 kill n4; 1+9 kill n7");
    let lives = verdict.evidence.process_incarnations.iter().filter(|life| life.killed).count();
    assert_eq!((lives, verdict.evidence.process_incarnations.len()), (3, 27));
}

/// Links lose all datagrams in one direction, and one process is suspended again and again.
#[test]
fn membership_rules_hold_under_one_way_loss_and_late_runs() {
    run_case(
        12,
        "1+12 mute n3 n4; 2+10 mute n7 east; 1+3 stop n5; 4.2+3 stop n5; 7.4+3 stop n5; 10.6+3 stop n5",
    );
}

/// One site is cut off from two others, while servers end and start on both sides.
#[test]
fn membership_rules_hold_under_partition_with_restarts() {
    run_case(
        12,
        "1+22 cut east west; 1+22 cut east north; 6+8 kill n3; 7+8 kill n4; 9+4 term n5; 16+3 kill n0",
    );
}

/// A server is killed and restarted at the same address before others detect it, while its datagrams are
/// delayed or duplicated.
#[test]
fn membership_rules_hold_when_restarts_precede_detection() {
    run_case(12, "0.5+3 delay:2500 n5 servers; 1+0.1 kill n5; 6+0.1 kill n5; 6+4 double:60 servers servers");
}

/// Other servers start while all seed members are down and the registry is unreachable.
#[test]
fn membership_rules_hold_while_all_seeds_are_down() {
    run_case(12, "1+9 kill n0; 1+9 kill n1; 1+9 kill n2; 2+1 kill n9; 4+2 kill n7; 3+4 cut servers list");
}

/// One site cannot reach the dependency, which is slow besides, and the clocks of two servers are wrong.
#[test]
fn membership_rules_hold_under_dependency_faults_and_skew() {
    run_case(
        12,
        "1+5 cut north ledger; 2+6 slower:4 ledger; 0+0 apart:1500 n1; 0+0 apart:-1500 n2; 3+3 swallow n6 ledger",
    );
}

/// Runs the command `fleet` with the server's own file, and with a file that has another key.
#[test]
fn operator_sees_the_view_and_other_key_gets_no_answer() {
    let plan = Plan {
        server_binary: env!("CARGO_BIN_EXE_hazelspur-server").into(),
        servers: 9,
        gateways: 0,
        script: Script::default(),
        seed: 1,
        rate: 1.0,
        max_servers: 18,
        calls_per_server: hazelspur_fault_harness::test_fleet::CALLS_PER_SERVER,
        coordinated: false,
    };
    let mut fleet = TestFleet::new(plan).expect("a test fleet");
    let mut observer = FleetObserver::new(KEY, INSTALLATION).expect("a socket");
    start_and_wait_for_agreement(&mut fleet, &mut observer).expect("all members agree");
    let query = |file: &std::path::Path, shape: &str| {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_hazelspur-server"));
        let out = command.arg("fleet").arg(file).args(["--shape", shape]).output().expect("the command runs");
        (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
    };
    let (status, text) = query(&fleet.operator_file(4), "json");
    let shown: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    assert_eq!((status, &shown["condition"]), (Some(0), &"Whole".into()), "{text}");
    let alive =
        shown["members"].as_array().map_or(0, |all| all.iter().filter(|m| m["state"] == "alive").count());
    let sites: Vec<String> = ["east", "west", "north"].map(|site| shown["sites"][site].to_string()).into();
    assert_eq!((shown["name"].as_str(), alive), (Some("n4"), 8), "{shown:#}");
    assert_eq!(sites, [r#"{"least":3,"most":3}"#; 3]);
    let (status, table) = query(&fleet.operator_file(4), "table");
    assert!(status == Some(0) && table.contains("n4 at") && table.matches("alive").count() == 8, "{table}");

    let text = std::fs::read_to_string(fleet.operator_file(4)).expect("its file");
    let foreign_file = fleet.operator_file(4).with_file_name("strange.star");
    let foreign_key = fleet.operator_file(4).with_file_name("other-key");
    std::fs::write(&foreign_key, "another key of sixteen characters").expect("a file");
    let key = text.lines().find(|line| line.contains("key_file")).expect("it names a key");
    std::fs::write(&foreign_file, text.replace(key, &format!("    key_file = {foreign_key:?},")))
        .expect("a file");
    let (status, text) = query(&foreign_file, "json");
    assert!(status == Some(2) && text.contains("no answer"), "{text}");
    fleet.stop_all();
    assert!(
        fleet.process_incarnations.iter().all(|life| life.exit_status == Some(0)),
        "{:?}",
        fleet.process_incarnations
    );
}

/// `HAZELSPUR_FLEET_SEEDS` sets the number of seeds.
#[test]
fn membership_rules_hold_under_drawn_scripts() {
    let seeds: u64 = std::env::var("HAZELSPUR_FLEET_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(4);
    for seed in 1..=seeds {
        run_script(9, &Script::random(seed, 9, 3, 10_000), seed);
    }
}
