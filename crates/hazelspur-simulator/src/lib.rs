//! Many servers in virtual time: the real decision modules, and models of what lies between them, one place
//! each. One seed gives one run; a run is played by one thread, so the bytes don't depend on how many there
//! are.
//!
//! - `event_queue`: events in the order of virtual time;
//! - `network`: datagrams lost, late, doubled, cut one way;
//! - `test_fleet`: many members over that network, paused, killed and started by a study;
//! - `simulation`: the real `AdmissionController` of many servers between `models` of cores, ledger, list and gateways;
//! - `membership_protocols`: the membership protocols that are compared;
//! - `studies`: what is measured, as tables;
//! - `cpu`, `heap`: what a run cost the machine that played it;
//! - `capacity`: what was measured against budgets, for a size that a file names;
//! - `path`: beside all that, one real server as a process, its own path and its cost.

#![warn(unreachable_pub)]
#![warn(clippy::too_many_lines, clippy::too_many_arguments, clippy::type_complexity)]

pub mod capacity;
pub mod cpu;
pub mod event_queue;
pub mod heap;
pub mod membership_protocols;
pub mod models;
pub mod network;
pub mod path;
pub mod simulation;
pub mod studies;
pub mod test_fleet;

/// Plays each of `inputs` on the machine's cores; results in the order of the inputs.
pub fn map_in_parallel<T: Sync, R: Send>(
    inputs: &[T],
    threads: usize,
    run: impl Fn(&T) -> R + Sync,
) -> Vec<R> {
    let next = std::sync::atomic::AtomicUsize::new(0);
    let done = std::sync::Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, inputs.len().max(1)) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let Some(input) = inputs.get(index) else { break };
                    let result = run(input);
                    done.lock().expect("no panic before").push((index, result));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no panic before");
    done.sort_by_key(|(index, _)| *index);
    done.into_iter().map(|(_, result)| result).collect()
}
