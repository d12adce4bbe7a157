//! Scripted changes of servers, links, network and dependency: faults, restarts and recoveries.

use super::Simulation;
use crate::network::Partition;
use hazelspur::Duration;

/// A scripted change.
#[derive(Clone, Copy, Debug)]
pub enum ScriptAction {
    /// Makes the dependency unreachable, or reachable again.
    SetDependencyDown(bool),
    /// Sets the factor on the time of all dependency calls; 1 is the usual time.
    SetDependencySlowdown(f64),
    /// Ends a server at once; its requests are lost.
    Kill(usize),
    /// Starts a new, cold incarnation of a server.
    Start(usize),
    /// Sets the speed factor of a server's cores; 1 is full speed.
    SetCoreSpeed(usize, f64),
    /// Pauses the process of a server for this long; its requests keep running on the cores.
    Pause(usize, Duration),
    /// Sets the factor on the time of one server's dependency calls; 1 is the usual time.
    SetLinkSlowdown(usize, f64),
    /// Makes the dependency unreachable for one server, or reachable again.
    SetLinkDown(usize, bool),
    /// Sets the links between servers that carry no datagrams, or none.
    SetPartition(Option<Partition>),
}

/// One server's link to the dependency.
#[derive(Clone, Copy, Debug)]
pub(super) struct DependencyLink {
    /// Factor on the time of the server's calls; 1 is the usual time.
    pub(super) slowdown: f64,
    /// Whether the server's calls do not reach the dependency.
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
        // Work up to now is done at the earlier speed.
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
