//! Starts and ends the project's server with the `run` command of the deploy file.

use crate::{Case, could_not_run};
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Returns a loopback address that is free now.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Reads the `run` command of `deploy/balancer.toml`.
fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).unwrap_or_default();
    let command = line.split('"').nth(1).unwrap_or_default().to_string();
    if command.is_empty() {
        could_not_run("no run command in deploy/balancer.toml")
    }
    command
}

/// A server process.
pub struct Server {
    child: Child,
    pub listen: SocketAddr,
}

impl Server {
    /// Starts a server with this configuration (the platform's JSON) and, if there is one, this operator's
    /// file. Its log goes to the temporary folder.
    pub fn start(case: &Case, name: &str, listen: SocketAddr, config: &str, operator: Option<&str>) -> Self {
        let file = |suffix: &str| -> PathBuf { case.temp.join(format!("{name}.{suffix}")) };
        std::fs::write(file("json"), config).expect("the configuration is written");
        let log = File::create(file("log")).expect("the log is created");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command(&case.root)).current_dir(&case.root);
        command.env("ROUTER_CONFIG", file("json")).env("ROUTER_NAME", name);
        command.env("ROUTER_LISTEN", listen.to_string()).env_remove("HAZELSPUR_FILE");
        if let Some(operator) = operator {
            std::fs::write(file("star"), operator).expect("the operator's file is written");
            command.env("HAZELSPUR_FILE", file("star"));
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().unwrap_or_else(|e| could_not_run(&e.to_string()));
        let mut pids =
            OpenOptions::new().create(true).append(true).open(case.temp.join("pids")).expect("pids");
        let _ = writeln!(pids, "{}", child.id());
        Self { child, listen }
    }

    /// Sends a signal, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, at_most: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + at_most;
        loop {
            match self.child.try_wait() {
                Ok(Some(status)) => return Some(status),
                _ if Instant::now() >= until => return None,
                _ => sleep(Duration::from_millis(5)),
            }
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
