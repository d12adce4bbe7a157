//! Sending of signals to programs under test.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

/// Sends a signal to a process, by a name with a hyphen as for the `kill` command, such as `-TERM`.
///
/// It makes the system call itself, since a child process for `kill` would take time to start.
///
/// # Panics
/// Panics if there is no such signal or process.
pub fn send_signal(process: u32, name: &str) {
    let signal: Signal =
        name.replace('-', "SIG").parse().expect("name is a signal with a hyphen, such as -TERM");
    let process = i32::try_from(process).expect("process id fits in 31 bits");
    kill(Pid::from_raw(process), signal).expect("process exists and may be signalled");
}
