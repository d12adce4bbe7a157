//! The hard cases of choices that add up, under each way of choosing: service beside no joint choice at all
//! and beside an oracle that sees the true state of all a little late.

use crate::simulation::{Coordination, Figures, ScriptAction, Simulation, SimulationConfig};
use hazelspur::Duration;

/// Servers have found each other and shares are held by then; what came before does not count.
pub const WARM_UP: Duration = Duration::from_ms(16_000);
/// How long the counted part of a run takes.
const PLAYED: Duration = Duration::from_ms(24_000);

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
        let from = (WARM_UP.us() / 1_000_000) as usize;
        let seconds = &self.figures.succeeded_by_second;
        let counted =
            &seconds[from.min(seconds.len())..seconds.len().saturating_sub(1).max(from.min(seconds.len()))];
        let mean = counted.iter().map(|n| f64::from(*n)).sum::<f64>() / counted.len().max(1) as f64;
        counted.iter().copied().min().map_or(0.0, |least| f64::from(least) / mean.max(1.0))
    }
}

/// Plays one run.
pub fn run_case(case: &Case) -> Outcome {
    let n = case.servers;
    let load = if case.scenario == Scenario::Overload { 1.5 } else { 0.42 };
    let skewed_fraction = if case.scenario == Scenario::Overload { 0.0 } else { 0.5 };
    let initial_servers = if case.scenario == Scenario::FleetDoubles { n.div_ceil(2) } else { n };
    let plan = SimulationConfig {
        slots_per_server: 4.0,
        call_duration: Duration::from_ms(20),
        skewed_fraction,
        coordination: case.coordination,
        guaranteed_fraction: case.guaranteed_fraction,
        initial_servers,
        ..SimulationConfig::new(
            n,
            case.seed,
            if case.scenario == Scenario::FleetDoubles { load / 2.0 } else { load },
        )
    };
    let mut simulation = Simulation::new(plan);
    script(&mut simulation, case.scenario, n);
    simulation.run(WARM_UP);
    simulation.reset_figures();
    let mut max_in_force: f64 = 0.0;
    for _ in 0..PLAYED.us() / 100_000 {
        simulation.run(Duration::from_ms(100));
        max_in_force = max_in_force.max(simulation.quota_in_force().fraction);
    }
    let slots = plan.slots_per_server * n as f64;
    Outcome { figures: simulation.figures.clone(), max_in_force, slots, servers: n }
}

fn script(simulation: &mut Simulation, scenario: Scenario, n: usize) {
    let at = |ms: u64| WARM_UP + Duration::from_ms(ms);
    let every = |by: usize| (0..n).filter(move |of| of % by == by / 2);
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
            for of in every(10) {
                simulation.script(at(3000), ScriptAction::SetLinkSlowdown(of, 10.0));
                simulation.script(at(18_000), ScriptAction::SetLinkSlowdown(of, 1.0));
            }
        }
        Scenario::ServersReplaced => {
            let gone: Vec<usize> = (0..n).filter(|of| of % 5 < 2).collect();
            for (i, of) in gone.iter().enumerate() {
                let ms = 3000 + 7000 * i as u64 / gone.len().max(1) as u64;
                simulation.script(at(ms), ScriptAction::Kill(*of));
                simulation.script(at(ms + 1500), ScriptAction::Start(*of));
            }
        }
        Scenario::Partition => {
            simulation.script(at(3000), ScriptAction::SetPartition(Some(|from, to| from % 2 != to % 2)));
            simulation.script(at(18_000), ScriptAction::SetPartition(None));
        }
        Scenario::ServersPaused => {
            for of in every(20) {
                simulation.script(at(3000), ScriptAction::Pause(of, Duration::from_ms(10_000)));
            }
        }
        Scenario::FleetDoubles => {
            for (i, of) in (n.div_ceil(2)..n).enumerate() {
                simulation.script(at(3000 + 8000 * i as u64 / n as u64), ScriptAction::Start(of));
            }
            for of in every(5) {
                simulation.script(at(3000), ScriptAction::SetCoreSpeed(of, 0.5));
            }
            simulation.script(
                at(3000),
                ScriptAction::SetPartition(Some(|from, to| (from * 31 + to * 17) % 10 == 0)),
            );
        }
    }
}
