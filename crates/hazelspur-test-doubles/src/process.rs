//! Signals to programs under test.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Sends a signal, named as for the `kill` command, without a child process that takes time to start.
///
/// # Panics
/// Where there is no such signal or process.
pub fn send_signal(process: u32, name: &str) {
    let signal: Signal = name.replace('-', "SIG").parse().expect("a signal");
    let process = i32::try_from(process).expect("a process id");
    kill(Pid::from_raw(process), signal).expect("the process is there");
}
