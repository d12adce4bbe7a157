//! Many real servers on loopback, each at its own address and in a named site, between shared test doubles. Every
//! link passes a relay that injects faults; processes are killed, suspended, terminated and started again. A checker
//! judges the whole fleet by what the test doubles saw. Bounded, without privileges.
//!
//! - `script`: faults over time, as a line of text; drawn from a seed; reduced to the fewest that fail;
//! - `link_faults`: the faults of each link now; `relay`: TCP and UDP under these faults;
//! - `test_fleet`: the processes and test doubles of a run; `run`: a run from start to verdict;
//! - `observer`: each server's view of the fleet; `checker`: the four rules over all of it;
//! - `endings`: a seeded soak of one server's drains, whose clients use their connections until the kill;
//! - `lightweight`: a large fleet of a few real servers and many lightweight members, and what a member costs.

pub mod checker;
pub mod endings;
pub mod lightweight;
pub mod link_faults;
pub mod observer;
pub mod relay;
pub mod run;
pub mod script;
pub mod test_fleet;
