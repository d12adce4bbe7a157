//! Many real servers on loopback, each at its own address and in a named site, between stand-ins that they
//! share. Every link passes a relay of ours, which puts faults there; processes are killed, stopped, ended
//! and started again. What the stand-ins saw is judged by a checker over the whole fleet. Bounded, without
//! privileges.
//!
//! - `script`: faults over time, as a line of text; drawn from a seed; shrunk;
//! - `weather`: which rule holds between two parties now;
//! - `relay`: TCP and UDP between two parties, under that rule;
//! - `bed`: the processes and stand-ins;
//! - `watch`: what each server says of the fleet, while it runs;
//! - `checker`: the four rules over all of it, and the pictures;
//! - `hollow`: a large fleet of a few real servers and many hollow members, and what a member costs.

pub mod checker;
pub mod lightweight;
pub mod link_faults;
pub mod observer;
pub mod relay;
pub mod run;
pub mod script;
pub mod test_fleet;
