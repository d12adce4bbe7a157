//! A short soak of endings: drawn plans, whose clients use their connections until the kill.

use hazelspur_fault_harness::endings::instants::Instants;
use hazelspur_fault_harness::endings::plan::Plan;
use hazelspur_fault_harness::endings::run::play;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Seeds of the soak in CI, and runs at a time.
const SEEDS: u64 = 40;
const JOBS: usize = 4;

/// What a run came to.
struct Played {
    instants: Instants,
    /// What it broke, with the server's log; `None` where all rules hold.
    failure: Option<String>,
}

fn played(seed: u64) -> Played {
    let plan = Plan::from_seed(seed);
    let program = Path::new(env!("CARGO_BIN_EXE_hazelspur-server"));
    let evidence =
        play(program, &plan, &AtomicBool::new(false)).unwrap_or_else(|why| panic!("{plan}: {why:#}"));
    let breaches = evidence.breaches();
    let holds = breaches.is_empty() && evidence.ready_after.is_some();
    let failure = (!holds)
        .then(|| format!("{plan}\n{breaches:#?}\nready after {:?}\n{}", evidence.ready_after, evidence.log));
    Played { instants: Instants::of(&plan, &evidence), failure }
}

#[test]
fn drains_under_drawn_signals_faults_and_crowds_keep_the_rules() {
    let next = AtomicU64::new(1);
    let failures = Mutex::new(Vec::new());
    let instants = Mutex::new(Instants::default());
    std::thread::scope(|scope| {
        for _ in 0..JOBS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > SEEDS {
                        break;
                    }
                    let played = played(seed);
                    instants.lock().expect("no panic before").add(played.instants);
                    failures.lock().expect("no panic before").extend(played.failure);
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no panic before");
    assert!(failures.is_empty(), "{} seeds failed, the first one:\n{}", failures.len(), failures[0]);
    let instants = instants.into_inner().expect("no panic before");
    assert!(instants.all_reached(), "not each instant was reached: {instants}");
}
