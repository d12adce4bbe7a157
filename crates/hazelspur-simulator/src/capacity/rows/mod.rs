//! Quantities that grow with the size, by role: their dimension, formula, budget and mechanism. A row names the figure
//! that a study measures, or the line of code that it is computed from.

mod configuration;
mod events;
mod network;
mod quota;
mod server;

use super::constants::Constant;
use super::measured::Seeds;
use super::size::SizeFile;

/// Whose cost a row is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// One server.
    Server,
    /// One client process.
    Client,
    /// The configuration of the fleet.
    Configuration,
    /// A machine that only controls.
    ControlMachine,
    /// Voters and the allocator of the quota.
    VoterAndAllocator,
    /// The list of servers.
    Registry,
    /// The shared dependency.
    SharedDependency,
    /// A link between two zones.
    LinkBetweenZones,
    /// A link between two regions.
    LinkBetweenRegions,
    /// Something that happens at times.
    Event,
}

impl Role {
    /// All roles, in the order of the page.
    pub const ALL: [Self; 10] = [
        Self::Server,
        Self::Client,
        Self::Configuration,
        Self::ControlMachine,
        Self::VoterAndAllocator,
        Self::Registry,
        Self::SharedDependency,
        Self::LinkBetweenZones,
        Self::LinkBetweenRegions,
        Self::Event,
    ];

    /// Its name in the page's markers.
    pub fn name(self) -> &'static str {
        match self {
            Self::Server => "server",
            Self::Client => "caller",
            Self::Configuration => "configuration",
            Self::ControlMachine => "control-machine",
            Self::VoterAndAllocator => "keeper-and-divider",
            Self::Registry => "list",
            Self::SharedDependency => "shared-dependency",
            Self::LinkBetweenZones => "link-between-zones",
            Self::LinkBetweenRegions => "link-between-regions",
            Self::Event => "events",
        }
    }
}

/// Where a row's slope comes from.
#[derive(Clone, Debug)]
pub enum Source {
    /// A study's figures, all of which count, in the first of the cases that was measured; none for any case.
    /// Times a factor, and over all servers where it is a sum of what each sees.
    Measured {
        /// The figures, all of which count.
        figures: &'static [&'static str],
        /// The cases, of which the first that was measured counts.
        cases: &'static [&'static str],
        /// Which seeds count.
        seeds: Seeds,
        /// The factor from the figure's unit to the row's.
        factor: f64,
        /// Whether it is summed over all servers.
        sum_over_servers: bool,
    },
    /// From what the code or the size file says.
    Computed {
        /// Where the figures stand.
        origin: String,
        /// What one more of the dimension adds.
        slope: f64,
        /// What there is without any.
        base: f64,
    },
}

/// Whether a mechanism carries a row's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MechanismStatus {
    /// There is a mechanism.
    Present,
    /// There is none.
    Absent,
}

/// The budget of a row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RowBudget {
    /// The most that it may be, in the row's unit.
    pub limit: f64,
    /// Where that stands.
    pub origin: &'static str,
}

/// One quantity that grows with the size.
#[derive(Clone, Debug)]
pub struct Row {
    /// Its name.
    pub name: &'static str,
    /// Whose it is.
    pub role: Role,
    /// What it is, in words.
    pub description: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Its formula, in words.
    pub formula: String,
    /// The dimension by which it grows.
    pub dimension: &'static str,
    /// The dimension's figure at the target.
    pub size: f64,
    /// Where its slope comes from; the first source that gives one counts.
    pub sources: Vec<Source>,
    /// Rows before this one that it adds up.
    pub sum_of: Vec<&'static str>,
    /// Its budget.
    pub budget: Option<RowBudget>,
    /// Whether there is a mechanism.
    pub mechanism_status: MechanismStatus,
    /// File and type of the mechanism.
    pub mechanism: &'static str,
    /// Rows that must hold first.
    pub prerequisites: Vec<&'static str>,
}

/// A row with its names only; its methods add the rest. `by` is the dimension with its figure at the target.
pub fn row(
    role: Role,
    name: &'static str,
    description: &'static str,
    unit: &'static str,
    (dimension, size): (&'static str, f64),
) -> Row {
    Row {
        name,
        role,
        description,
        unit,
        formula: String::new(),
        dimension,
        size,
        sources: Vec::new(),
        sum_of: Vec::new(),
        budget: None,
        mechanism_status: MechanismStatus::Present,
        mechanism: "",
        prerequisites: Vec::new(),
    }
}

impl Row {
    /// Its formula, in words.
    pub fn formula(mut self, formula: impl Into<String>) -> Self {
        self.formula = formula.into();
        self
    }

    /// A figure as it was measured.
    pub fn measured(self, figures: &'static [&'static str], cases: &'static [&'static str]) -> Self {
        self.measured_scaled(figures, cases, 1.0, false)
    }

    /// A figure as it was measured, times a factor, and summed over all servers where `over_all`.
    pub fn measured_scaled(
        mut self,
        figures: &'static [&'static str],
        cases: &'static [&'static str],
        factor: f64,
        sum_over_servers: bool,
    ) -> Self {
        self.sources.push(Source::Measured { figures, cases, seeds: Seeds::All, factor, sum_over_servers });
        self
    }

    /// By the worst seed of each size.
    pub fn measured_worst_seed(
        mut self,
        figures: &'static [&'static str],
        cases: &'static [&'static str],
    ) -> Self {
        let seeds = Seeds::Worst;
        self.sources.push(Source::Measured { figures, cases, seeds, factor: 1.0, sum_over_servers: false });
        self
    }

    /// A figure computed from code or the size file.
    pub fn computed(mut self, origin: impl Into<String>, slope: f64, base: f64) -> Self {
        self.sources.push(Source::Computed { origin: origin.into(), slope, base });
        self
    }

    /// The sum of these rows.
    pub fn sum_of(mut self, rows: &[&'static str]) -> Self {
        self.sum_of = rows.to_vec();
        self
    }

    /// Its budget, and where that stands.
    pub fn within(mut self, limit: f64, origin: &'static str) -> Self {
        self.budget = Some(RowBudget { limit, origin });
        self
    }

    /// The mechanism that carries it: file and type.
    pub fn by_mechanism(mut self, mechanism: &'static str) -> Self {
        self.mechanism = mechanism;
        self
    }

    /// No mechanism carries it; `nearest` says what comes nearest.
    pub fn no_mechanism(mut self, nearest: &'static str) -> Self {
        (self.mechanism_status, self.mechanism) = (MechanismStatus::Absent, nearest);
        self
    }

    /// Rows that must hold first.
    pub fn requires(mut self, rows: &[&'static str]) -> Self {
        self.prerequisites = rows.to_vec();
        self
    }
}

/// The file with the size, the budgets and the assumptions.
const SIZE_FILE: &str = "docs/capacity/size.toml";
/// Figures of the time until all servers have one view of the members.
const AGREEMENT_FIGURES: [&str; 2] = ["scale/members.agree_s", "scale/members.not_agreed_within_s"];
// Mechanisms: file and type.

/// The membership.
const MEMBERSHIP: &str = "crates/hazelspur-fleet/src/membership/state.rs Membership";
/// The fleet's node.
const FLEET_NODE: &str = "crates/hazelspur-fleet/src/node.rs FleetNode";
/// The gossip transport.
const GOSSIP_TRANSPORT: &str = "crates/hazelspur-server/src/fleet/transport.rs GossipTransport";
/// The quota.
const QUOTA_MANAGER: &str = "crates/hazelspur-fleet/src/quota/manager.rs QuotaManager";
/// The quota's allocator.
const ALLOCATOR: &str = "crates/hazelspur-fleet/src/quota/allocator.rs Allocator";
/// Reports to the list of servers.
const HEALTH_REPORTER: &str = "crates/hazelspur-server/src/upstream/registry.rs HealthReporter";
/// Reload on SIGHUP.
const RELOADER: &str = "crates/hazelspur-server/src/config/reload.rs Reloader";
/// The server's configuration.
const SERVER_CONFIG: &str = "crates/hazelspur-server/src/config/server_config.rs ServerConfig";
/// Request classes and tenants in force.
const CATALOG: &str = "src/config/catalog.rs Catalog";
/// The table by name and id.
const TABLE: &str = "src/config/table.rs Table";
/// The admission controller.
const CONTROLLER: &str = "src/controller/mod.rs AdmissionController";
/// Clients and sessions seen lately.
const LAST_SEEN: &str = "src/last_seen.rs LastSeen";
/// What is learned of classes and tenants.
const RECENTLY_SEEN: &str = "src/recently_seen.rs RecentlySeen";
/// Seconds of a day.
const SECONDS_PER_DAY: f64 = 86_400.0;

// Budgets of the size file.

/// Time until a change is in force.
const IN_FORCE_BUDGET: &str = "budget.in_force_s";
/// Processor time for control.
const CPU_BUDGET: &str = "budget.control_cpu_share";
/// Memory for control.
const MEMORY_BUDGET: &str = "budget.control_memory_bytes";
/// Traffic for control.
const TRAFFIC_BUDGET: &str = "budget.control_bytes_per_s";

/// All rows, in the order of the page; a sum stands behind its parts.
pub fn rows(size: &SizeFile) -> Vec<Row> {
    let mut rows = server::server(size);
    rows.extend(configuration::client(size));
    rows.extend(configuration::configuration(size));
    rows.extend(configuration::control_machine());
    rows.extend(quota::voter_and_allocator(size));
    rows.extend(network::registry(size));
    rows.extend(network::shared_dependency(size));
    rows.extend(network::links(size));
    rows.extend(events::events(size));
    rows
}

/// Where these constants stand.
fn origins(constants: &[&Constant]) -> String {
    constants.iter().map(|constant| constant.origin()).collect::<Vec<_>>().join(", ")
}
