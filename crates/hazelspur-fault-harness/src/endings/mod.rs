//! A seeded soak test of server shutdown: each run drains one real server between test doubles, while its
//! clients go on using their open connections until the server is killed.
//!
//! - `plan`: the events of one run, generated from a seed; parts of a plan can be left out;
//! - `server`: the server process under test, its files, signals and exit; `client`: one connection of a
//!   client;
//! - `timeline`: the times at which each step of a plan begins and ends;
//! - `run`: executes a plan and collects the evidence; `checker`: checks the evidence against the rules;
//! - `instants`: counts the requests that met one of the critical instants of a shutdown;
//! - `command`: runs many seeds, sums them up, and shrinks the plan of a seed that fails.

pub mod checker;
pub mod client;
pub mod command;
pub mod instants;
pub mod plan;
pub mod run;
pub mod server;
pub mod timeline;
