//! Many built servers with faults between them: the hard cases, and scripts drawn from seeds. Waits are for events with
//! generous ends; what is judged is in `hazelspur_fleetbed::checker`.

use hazelspur_fleetbed::bed::Plan;
use hazelspur_fleetbed::play::{Verdict, play};
use hazelspur_fleetbed::script::Script;

fn played(servers: usize, script: &Script, seed: u64) -> Verdict {
    let plan = Plan {
        server_binary: env!("CARGO_BIN_EXE_hazelspur-server").into(),
        servers,
        gateways: 3,
        script: script.clone(),
        seed,
        rate: 45.0,
        most: servers * 2,
    };
    let verdict = play(plan, &mut |_, _| {}).unwrap_or_else(|why| panic!("{script}: {why:#}"));
    assert!(verdict.breaches.is_empty(), "{script}\n{}\n{:#?}", verdict.figures(), verdict.breaches);
    verdict
}

fn case(servers: usize, script: &str) -> Verdict {
    played(servers, &script.parse().expect("a script"), 1)
}

#[test]
fn a_third_of_a_site_stands_still_and_as_many_of_another_are_killed() {
    // n0, n3, n6 of east stand still; n1, n4, n7 of west die and come again cold.
    let verdict = case(24, "1+10 stop n0; 1+10 stop n3; 1+10 stop n6; 1+9 kill n1; 1+9 kill n4; 1+9 kill n7");
    let lives = verdict.evidence.lives.iter().filter(|life| life.killed).count();
    assert_eq!((lives, verdict.evidence.lives.len()), (3, 27));
}

#[test]
fn links_silent_one_way_and_tasks_that_run_late() {
    case(12, "1+12 mute n3 n4; 2+10 mute n7 east; 1+3 stop n5; 4.2+3 stop n5; 7.4+3 stop n5; 10.6+3 stop n5");
}

#[test]
fn two_parts_that_do_not_hear_each_other_with_starts_and_ends_on_both_sides() {
    case(12, "1+22 cut east west; 1+22 cut east north; 6+8 kill n3; 7+8 kill n4; 9+4 term n5; 16+3 kill n0");
}

#[test]
fn back_at_the_same_address_before_the_death_was_noticed_and_old_datagrams_after_it() {
    case(12, "0.5+3 delay:2500 n5 servers; 1+0.1 kill n5; 6+0.1 kill n5; 6+4 double:60 servers servers");
}

#[test]
fn a_start_while_all_contact_points_are_down() {
    case(12, "1+9 kill n0; 1+9 kill n1; 1+9 kill n2; 2+1 kill n9; 4+2 kill n7; 3+4 cut servers list");
}

#[test]
fn a_site_without_ledger_and_a_ledger_that_is_slow_for_all_while_clocks_are_apart() {
    case(
        12,
        "1+5 cut north ledger; 2+6 slower:4 ledger; 0+0 apart:1500 n1; 0+0 apart:-1500 n2; 3+3 swallow n6 ledger",
    );
}

#[test]
fn whatever_a_seed_draws() {
    let seeds: u64 = std::env::var("HAZELSPUR_FLEET_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(4);
    for seed in 1..=seeds {
        played(9, &Script::drawn(seed, 9, 3, 10_000), seed);
    }
}
