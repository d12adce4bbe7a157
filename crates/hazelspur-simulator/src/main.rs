//! The program `hazelspur-simulator`: runs the subcommand that the command line names.

#![warn(missing_docs, unreachable_pub)]
#![warn(clippy::too_many_lines, clippy::too_many_arguments, clippy::type_complexity)]

mod cli;

use clap::Parser;

/// Counts the heap bytes of each thread, from which the study `scale` takes a server's state.
#[global_allocator]
static HEAP: hazelspur_simulator::heap::CountingAllocator = hazelspur_simulator::heap::CountingAllocator;

fn main() {
    cli::CommandLine::parse().run();
}
