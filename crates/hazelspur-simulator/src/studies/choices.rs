//! The study `choices`: faults and uneven load on a simulated fleet, under each kind of coordination. It
//! compares service with that of servers that don't coordinate, and with that of servers that are guided by
//! an oracle, which sees the true state of the fleet a little late.

use crate::simulation::{Coordination, Figures, ScriptAction, Simulation, SimulationConfig};
use hazelspur::Duration;

/// Part of a run that is not measured. At its end the servers know each other and hold their quota leases.
pub const WARM_UP: Duration = Duration::from_ms(16_000);
/// Length of the measured part of a run.
const MEASURED: Duration = Duration::from_ms(24_000);

/// Load and faults of one run. Unless a variant says otherwise, the load is 0.42 of the capacity of all
/// cores, and half of all requests go to the first third of the servers only. Times are those after the
/// warm-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Half of all requests go to a third of the servers, without a fault.
    UnevenLoad,
    /// The ledger is unreachable for 4 s.
    LedgerDown,
    /// Calls to the ledger take three times as long for 10 s.
    LedgerSlow,
    /// Calls of a tenth of the servers take ten times as long for 15 s, because of their own links to the
    /// ledger.
    LinksSlow,
    /// Two in five servers are killed within 7 s; each starts again cold 1.5 s later.
    ServersReplaced,
    /// No datagram passes between two halves of the fleet for 15 s.
    Partition,
    /// The processes of a twentieth of the servers are paused for 10 s.
    ServersPaused,
    /// The fleet doubles within 4 s, while the load stays 0.42 of the capacity of the initial servers. The
    /// cores of a fifth of the servers are half as fast, and no datagram passes in a tenth of the pairs of
    /// sender and receiver.
    FleetDoubles,
    /// The load is 1.5 times the capacity of all cores, spread evenly over the servers.
    Overload,
}

impl Scenario {
    /// All scenarios, in the order of the table.
    pub const ALL: [Self; 9] = [
        Self::UnevenLoad,
        Self::LedgerDown,
        Self::LedgerSlow,
        Self::LinksSlow,
        Self::ServersReplaced,
        Self::Partition,
        Self::ServersPaused,
        Self::FleetDoubles,
        Self::Overload,
    ];

    /// Returns the name in tables and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::UnevenLoad => "uneven",
            Self::LedgerDown => "ledger-gone",
            Self::LedgerSlow => "ledger-slow",
            Self::LinksSlow => "links-slow",
            Self::ServersReplaced => "replaced",
            Self::Partition => "halves",
            Self::ServersPaused => "stopped",
            Self::FleetDoubles => "doubles",
            Self::Overload => "crowded",
        }
    }
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Load and faults.
    pub scenario: Scenario,
    /// How the servers coordinate.
    pub coordination: Coordination,
    /// Greatest number of servers in the run.
    pub servers: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Fraction of shared limits that is guaranteed to servers without a lease.
    pub guaranteed_fraction: f64,
}

/// Result of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Counts of the measured part; those by second cover the whole run.
    pub figures: Figures,
    /// Greatest sum of the quotas in force during the measured part, as a fraction of the ledger's slots.
    pub max_in_force: f64,
    /// Ledger slots of the whole fleet.
    pub slots: f64,
    /// Greatest number of servers in the run.
    pub servers: usize,
}

impl Outcome {
    /// Returns the fraction of all requests that succeeded.
    pub fn service(&self) -> f64 {
        self.figures.success_fraction()
    }

    /// Returns the fewest requests that succeeded in one second, over the mean of all seconds. The seconds of
    /// the warm-up and the last one don't count.
    pub fn worst_second_ratio(&self) -> f64 {
        let first = (WARM_UP.us() / 1_000_000) as usize;
        let seconds = &self.figures.succeeded_by_second;
        let measured =
            &seconds[first.min(seconds.len())..seconds.len().saturating_sub(1).max(first.min(seconds.len()))];
        let mean = measured.iter().map(|count| f64::from(*count)).sum::<f64>() / measured.len().max(1) as f64;
        measured.iter().copied().min().map_or(0.0, |min| f64::from(min) / mean.max(1.0))
    }
}

/// Runs one case.
pub fn run_case(case: &Case) -> Outcome {
    let servers = case.servers;
    let load = if case.scenario == Scenario::Overload { 1.5 } else { 0.42 };
    let skewed_fraction = if case.scenario == Scenario::Overload { 0.0 } else { 0.5 };
    let initial_servers = if case.scenario == Scenario::FleetDoubles { servers.div_ceil(2) } else { servers };
    let config = SimulationConfig {
        slots_per_server: 4.0,
        call_duration: Duration::from_ms(20),
        skewed_fraction,
        coordination: case.coordination,
        guaranteed_fraction: case.guaranteed_fraction,
        initial_servers,
        ..SimulationConfig::new(
            servers,
            case.seed,
            if case.scenario == Scenario::FleetDoubles { load / 2.0 } else { load },
        )
    };
    let mut simulation = Simulation::new(config);
    schedule_scenario(&mut simulation, case.scenario, servers);
    simulation.run(WARM_UP);
    simulation.reset_figures();
    let mut max_in_force: f64 = 0.0;
    for _ in 0..MEASURED.us() / 100_000 {
        simulation.run(Duration::from_ms(100));
        max_in_force = max_in_force.max(simulation.quota_in_force().fraction);
    }
    let slots = config.slots_per_server * servers as f64;
    Outcome { figures: simulation.figures.clone(), max_in_force, slots, servers }
}

fn schedule_scenario(simulation: &mut Simulation, scenario: Scenario, servers: usize) {
    let at = |ms: u64| WARM_UP + Duration::from_ms(ms);
    let one_in = |divisor: usize| (0..servers).filter(move |server| server % divisor == divisor / 2);
    match scenario {
        Scenario::UnevenLoad | Scenario::Overload => {}
        Scenario::LedgerDown => {
            simulation.script(at(3000), ScriptAction::SetDependencyDown(true));
            simulation.script(at(7000), ScriptAction::SetDependencyDown(false));
        }
        Scenario::LedgerSlow => {
            simulation.script(at(3000), ScriptAction::SetDependencySlowdown(3.0));
            simulation.script(at(13_000), ScriptAction::SetDependencySlowdown(1.0));
        }
        Scenario::LinksSlow => {
            for server in one_in(10) {
                simulation.script(at(3000), ScriptAction::SetLinkSlowdown(server, 10.0));
                simulation.script(at(18_000), ScriptAction::SetLinkSlowdown(server, 1.0));
            }
        }
        Scenario::ServersReplaced => {
            let replaced: Vec<usize> = (0..servers).filter(|server| server % 5 < 2).collect();
            for (i, server) in replaced.iter().enumerate() {
                let ms = 3000 + 7000 * i as u64 / replaced.len().max(1) as u64;
                simulation.script(at(ms), ScriptAction::Kill(*server));
                simulation.script(at(ms + 1500), ScriptAction::Start(*server));
            }
        }
        Scenario::Partition => {
            simulation.script(at(3000), ScriptAction::SetPartition(Some(|from, to| from % 2 != to % 2)));
            simulation.script(at(18_000), ScriptAction::SetPartition(None));
        }
        Scenario::ServersPaused => {
            for server in one_in(20) {
                simulation.script(at(3000), ScriptAction::Pause(server, Duration::from_ms(10_000)));
            }
        }
        Scenario::FleetDoubles => {
            for (i, server) in (servers.div_ceil(2)..servers).enumerate() {
                simulation.script(at(3000 + 8000 * i as u64 / servers as u64), ScriptAction::Start(server));
            }
            for server in one_in(5) {
                simulation.script(at(3000), ScriptAction::SetCoreSpeed(server, 0.5));
            }
            simulation.script(
                at(3000),
                ScriptAction::SetPartition(Some(|from, to| (from * 31 + to * 17) % 10 == 0)),
            );
        }
    }
}
