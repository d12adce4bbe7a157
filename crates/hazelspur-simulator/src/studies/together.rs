//! The same trouble at several sizes: service, and how long a run takes.

use crate::simulation::{Figures, ScriptAction, Simulation, SimulationConfig};
use hazelspur::Duration;

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub servers: usize,
    pub seed: u64,
    pub load: f64,
    pub seconds: u64,
    /// Nobody answers at the ledger from 10 s on, for so long.
    pub ledger_outage: Duration,
}

/// Plays one run.
pub fn run_case(case: &Case) -> Figures {
    let config = SimulationConfig::new(case.servers, case.seed, case.load);
    let mut simulation = Simulation::new(config);
    if case.ledger_outage > Duration::ZERO {
        let outage_start = Duration::from_ms(10_000);
        simulation.script(outage_start, ScriptAction::SetLedgerDown(true));
        simulation.script(outage_start + case.ledger_outage, ScriptAction::SetLedgerDown(false));
    }
    simulation.run(Duration::from_ms(case.seconds * 1000));
    simulation.figures
}
