//! The study `together`: a simulated fleet whose servers don't coordinate, at several sizes, with or without
//! an outage of the ledger. It returns the counts of the run.

use crate::simulation::{Figures, ScriptAction, Simulation, SimulationConfig};
use hazelspur::Duration;

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Number of servers.
    pub servers: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Demand as a fraction of the capacity of all cores.
    pub load: f64,
    /// Length of the run, in virtual seconds.
    pub seconds: u64,
    /// How long the ledger is unreachable, from 10 s after the start on; zero for no outage.
    pub ledger_outage: Duration,
}

/// Runs one case.
pub fn run_case(case: &Case) -> Figures {
    let config = SimulationConfig::new(case.servers, case.seed, case.load);
    let mut simulation = Simulation::new(config);
    if case.ledger_outage > Duration::ZERO {
        let outage_start = Duration::from_ms(10_000);
        simulation.script(outage_start, ScriptAction::SetDependencyDown(true));
        simulation.script(outage_start + case.ledger_outage, ScriptAction::SetDependencyDown(false));
    }
    simulation.run(Duration::from_ms(case.seconds * 1000));
    simulation.figures
}
