//! The hard cases of choices that add up, under each way of choosing: service beside no joint choice at all
//! and beside an oracle that sees the true state of all a little late.

use crate::simulation::{Coordination, Figures, ScriptAction, Simulation, SimulationConfig};
use hazelspur::Duration;

/// Servers have found each other and shares are held by then; what came before does not count.
pub const WARM_UP: Duration = Duration::from_ms(16_000);
/// How long the counted part of a run takes.
const MEASURED: Duration = Duration::from_ms(24_000);

/// A hard case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Half of all requests seek out a third of the servers.
    UnevenLoad,
    /// The same, and the ledger is gone for 4 s.
    LedgerDown,
    /// The same, and the ledger is three times as slow for 10 s.
    LedgerSlow,
    /// The same, and a tenth of the servers have a link to the ledger that is ten times as slow.
    LinksSlow,
    /// The same, and two in five servers are replaced by cold ones within 7 s.
    ServersReplaced,
    /// The same, and two halves don't hear each other for 15 s.
    Partition,
    /// The same, and a twentieth stand still for 10 s.
    ServersPaused,
    /// The same, while the fleet doubles, a fifth of the servers is half as fast and a tenth of the pairs
    /// don't hear each other.
    FleetDoubles,
    /// Half as much again as the cores can do.
    Overload,
}

impl Scenario {
    /// All cases, in the order of the table.
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

    /// Its name in tables and on the command line.
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

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub scenario: Scenario,
    pub coordination: Coordination,
    pub servers: usize,
    pub seed: u64,
    pub guaranteed_fraction: f64,
}

/// What one run came to.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub figures: Figures,
    /// The greatest sum of all that might be used of the slots, over the slots.
    pub max_in_force: f64,
    pub slots: f64,
    pub servers: usize,
}

impl Outcome {
    /// Fraction of all requests that succeeded.
    pub fn service(&self) -> f64 {
        self.figures.service()
    }

    /// The least second that was served over the mean one, from `WARM_UP` on and without the last second.
    pub fn worst_second_ratio(&self) -> f64 {
        let first = (WARM_UP.us() / 1_000_000) as usize;
        let seconds = &self.figures.succeeded_by_second;
        let measured =
            &seconds[first.min(seconds.len())..seconds.len().saturating_sub(1).max(first.min(seconds.len()))];
        let mean = measured.iter().map(|count| f64::from(*count)).sum::<f64>() / measured.len().max(1) as f64;
        measured.iter().copied().min().map_or(0.0, |min| f64::from(min) / mean.max(1.0))
    }
}

/// Plays one run.
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
            simulation.script(at(3000), ScriptAction::SetLedgerDown(true));
            simulation.script(at(7000), ScriptAction::SetLedgerDown(false));
        }
        Scenario::LedgerSlow => {
            simulation.script(at(3000), ScriptAction::SetLedgerSlowdown(3.0));
            simulation.script(at(13_000), ScriptAction::SetLedgerSlowdown(1.0));
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
