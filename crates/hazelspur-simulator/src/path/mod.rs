//! Measures what one real server costs, by the size of its settings: the latency that it adds to a request
//! beside the worker's own time, the CPU time of a request, and the cost of a server without requests. Called
//! by the command `hazelspur-simulator path`. All sockets are on loopback, every run has a time limit, and
//! every process that was started is ended by its process id. The server runs as a separate process; none of
//! its code is linked here.
//!
//! - `plan`: table sizes, the configuration file for a size, and arrival times fixed by a seed;
//! - `load`: the open-loop load generator, and the outcome of each request;
//! - `wires`: the wire protocols from a gateway to a server and from a server to a worker;
//! - `process`: one server with its test doubles, and its CPU time and memory from the operating system;
//! - `figures`: quantiles of the added latency, and the JSON file of measured points;
//! - `command`: the arguments, the check of the plan against the time limit, and what is saved;
//! - `rounds`, `tables`, `points`: the measured rounds, and what is printed and saved of them;
//! - `cost`: the cost of a server without requests.

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
