//! Shutdowns under plans drawn from seeds. The clients of a plan use their connections until the process is
//! killed.

use hazelspur_fault_harness::endings::instants::Instants;
use hazelspur_fault_harness::endings::plan::Plan;
use hazelspur_fault_harness::endings::run::play;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Number of seeds, each of which gives one run.
const SEED_COUNT: u64 = 40;
/// Number of runs at the same time.
const PARALLEL_RUNS: usize = 4;

/// The result of a run.
struct RunResult {
    instants: Instants,
    /// The plan, the broken rules and the server's log; `None` if all rules hold.
    failure: Option<String>,
}

fn run_seed(seed: u64) -> RunResult {
    let plan = Plan::from_seed(seed);
    let program = Path::new(env!("CARGO_BIN_EXE_hazelspur-server"));
    let evidence =
        play(program, &plan, &AtomicBool::new(false)).unwrap_or_else(|why| panic!("{plan}: {why:#}"));
    let breaches = evidence.breaches();
    let holds = breaches.is_empty() && evidence.ready_after.is_some();
    let failure = (!holds)
        .then(|| format!("{plan}\n{breaches:#?}\nready after {:?}\n{}", evidence.ready_after, evidence.log));
    RunResult { instants: Instants::of(&plan, &evidence), failure }
}

#[test]
fn shutdown_rules_hold_under_drawn_signals_and_faults() {
    let next = AtomicU64::new(1);
    let failures = Mutex::new(Vec::new());
    let instants = Mutex::new(Instants::default());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > SEED_COUNT {
                        break;
                    }
                    let result = run_seed(seed);
                    instants.lock().expect("no panic before").add(result.instants);
                    failures.lock().expect("no panic before").extend(result.failure);
                }
            });
        }
    });
    let failures = failures.into_inner().expect("no panic before");
    assert!(failures.is_empty(), "{} seeds failed, the first one:\n{}", failures.len(), failures[0]);
    let instants = instants.into_inner().expect("no panic before");
    assert!(instants.all_reached(), "not every instant was reached: {instants}");
}
