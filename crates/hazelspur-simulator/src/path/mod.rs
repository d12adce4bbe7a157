//! One real server's own path and cost, by the size of its settings: what it adds to a request beside what the
//! runtime takes, what CPU a request costs, and what a server costs that does nothing. Called by the command
//! `hazelspur-simulator path`. Everything is on loopback, has a time limit, and ends what it started by process id;
//! the server is a process and nothing of its code is linked here.
//!
//! - `plan`: sizes, the settings file of a size, arrival times fixed by a seed;
//! - `load`: the open loop that sends at those times, and what became of each request;
//! - `wires`: how requests go to a server as from a gateway, and straight to a runtime;
//! - `process`: one server beside its stand-ins, and what /proc says of it;
//! - `figures`: quantiles of what was added, and the file of measured points;
//! - `command`: the arguments, the check of the plan, the study's file;
//! - `rounds`, `tables`, `points`: the measured rounds, and what is printed and saved of them;
//! - `cost`: what a server without requests costs.

pub mod command;
mod cost;
pub mod figures;
pub mod load;
pub mod plan;
mod points;
pub mod process;
mod rounds;
mod tables;
pub mod wires;
