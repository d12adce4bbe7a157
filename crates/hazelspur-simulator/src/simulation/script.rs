//! Scripted changes of servers, links and ledger: faults, restarts and recoveries.

use super::Simulation;
use crate::network::Partition;
use hazelspur::Duration;

/// One scripted change.
#[derive(Clone, Copy, Debug)]
pub enum ScriptAction {
    /// Makes the ledger unreachable, or reachable again.
    SetDependencyDown(bool),
    /// Sets the factor by which all calls are slower.
    SetDependencySlowdown(f64),
    /// Ends a server at once; its requests are lost.
    Kill(usize),
    /// Starts a new, cold incarnation of a server.
    Start(usize),
    /// Sets the speed factor of a server's cores.
    SetCoreSpeed(usize, f64),
    /// Pauses a server's process for this long; its runs go on.
    Pause(usize, Duration),
    /// Sets the factor by which calls over a server's own link are slower.
    SetLinkSlowdown(usize, f64),
    /// Takes a server's own link to the ledger down, or up again.
    SetLinkDown(usize, bool),
    /// Sets which servers' datagrams do not reach which others.
    SetPartition(Option<Partition>),
}

/// A server's own link to the ledger.
#[derive(Clone, Copy, Debug)]
pub(super) struct DependencyLink {
    /// Factor by which calls are slower.
    pub(super) slowdown: f64,
    pub(super) down: bool,
}

impl Simulation {
    pub(super) fn apply_action(&mut self, action: ScriptAction) {
        match action {
            ScriptAction::SetDependencyDown(down) => self.dependency.down = down,
            ScriptAction::SetDependencySlowdown(factor) => self.dependency.slowdown = factor,
            ScriptAction::SetCoreSpeed(server, speed) => self.set_core_speed(server, speed),
            ScriptAction::Kill(server) => self.kill(server),
            ScriptAction::Start(server) => self.start(server, true),
            ScriptAction::Pause(server, duration) => {
                self.servers[server].paused_until = Some(self.queue.now + duration);
            }
            ScriptAction::SetLinkSlowdown(server, factor) => self.links[server].slowdown = factor,
            ScriptAction::SetLinkDown(server, down) => self.links[server].down = down,
            ScriptAction::SetPartition(partition) => self.network.partition = partition,
        }
    }

    fn set_core_speed(&mut self, server: usize, speed: f64) {
        // Work until now counts at the earlier speed.
        let _ = self.servers[server].cores.take_finished(self.queue.now);
        self.servers[server].cores.speed = speed;
        self.schedule_core_check(server);
    }

    fn kill(&mut self, server: usize) {
        let killed = &mut self.servers[server];
        killed.controller = None;
        killed.incarnation += 1;
        self.coordinators[server] = None;
        let requests = std::mem::take(&mut killed.requests);
        let lost = requests.into_values().filter(|request| !request.answered).count();
        self.figures.failed += lost as u64;
    }
}
