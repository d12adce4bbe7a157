//! The studies, one module for each subcommand of the program that plays simulated fleets. A study takes a
//! `Case` and returns an `Outcome`, counts or points; the command line prints them.

pub mod choices;
pub mod scale;
pub mod shares;
pub mod sums;
pub mod together;
pub mod who_is_here;
