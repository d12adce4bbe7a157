//! A seeded soak of endings: one real server at a time between test doubles, drained while its clients go on using
//! their open connections until its kill.
//!
//! - `plan`: what happens when, drawn from a seed, and what is left of it when parts are left out;
//! - `server`: the process under test, its files, signals and end; `client`: one connection of a client;
//! - `timeline`: when each step of a plan begins and ends;
//! - `run`: a plan from start to evidence; `checker`: the rules over the evidence;
//! - `instants`: how often runs reached the instants that matter;
//! - `command`: many seeds, their summary, and the shrinking of one that fails.

pub mod checker;
pub mod client;
pub mod command;
pub mod instants;
pub mod plan;
pub mod run;
pub mod server;
pub mod timeline;
