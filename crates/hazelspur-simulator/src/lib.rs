//! Simulates many servers in virtual time: the real decision modules run unchanged, and models stand in for
//! everything between them. A seed determines a run completely. One thread executes a whole run, so the
//! results do not depend on the number of threads that execute runs in parallel.
//!
//! - `event_queue`: events in the order of virtual time;
//! - `network`: datagrams that are delayed, lost, duplicated, or stopped by a partition;
//! - `test_fleet`: members of one membership protocol over that network, which a study starts, pauses and
//!   kills;
//! - `simulation`: the real `AdmissionController` of many servers between the `models`;
//! - `models`: cores, gateways, server list and shared dependency;
//! - `membership_protocols`: the membership protocols that are compared;
//! - `studies`: scenarios that run on the test fleet or the simulation, and their results;
//! - `cpu`, `heap`: CPU time and heap that a run takes on the machine that executes it;
//! - `capacity`: measured figures compared with budgets, for a fleet size that a file gives;
//! - `path`: latency and cost of one real server process, outside virtual time.

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

/// Calls `run` for each of `inputs` on at most `threads` threads; returns the results in the order of the
/// inputs.
///
/// # Panics
/// If `run` panics for one of the inputs.
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
                    done.lock().expect("no thread panicked").push((index, result));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no thread panicked");
    done.sort_by_key(|(index, _)| *index);
    done.into_iter().map(|(_, result)| result).collect()
}
