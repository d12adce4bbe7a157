//! Runs many server processes on loopback addresses, each in a named site, against shared test doubles. Every
//! link between them passes a relay that injects faults; processes are killed, suspended, terminated and
//! restarted. A checker judges the whole fleet by what the test doubles recorded. Numbers of processes,
//! faults and waits are bounded, and no privileges are needed.
//!
//! - `script`: timed faults, read from a line of text or drawn from a seed, and reduced to the fewest that
//!   still fail;
//! - `link_faults`: the faults in effect on each link; `relay`: TCP and UDP relays that apply them;
//! - `test_fleet`: the processes and test doubles of a run; `run`: a run from its start to its verdict;
//! - `observer`: each server's view of the fleet; `checker`: the four rules that a run must keep;
//! - `endings`: random tests of a server's drain, with clients that use their connections until the process
//!   is killed;
//! - `lightweight`: a large fleet of a few real servers and many lightweight members, to measure the cost per
//!   member.

pub mod checker;
pub mod endings;
pub mod lightweight;
pub mod link_faults;
pub mod observer;
pub mod relay;
pub mod run;
pub mod script;
pub mod test_fleet;
