//! Rows of the model: the quantities that grow with the size, grouped by role. A row gives its dimension,
//! formula, budget and mechanism, and the studies' figures or the constants that its value comes from.

mod configuration;
mod events;
mod network;
mod quota;
mod server;

use super::constants::Constant;
use super::measured::Seeds;
use super::size::SizeFile;

/// Part of the deployment that bears the cost of a row.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A server.
    Server,
    /// A client process.
    Client,
    /// Configuration of the fleet.
    Configuration,
    /// A machine that runs control tasks only and serves no requests.
    ControlMachine,
    /// Voters and allocator of the quota.
    VoterAndAllocator,
    /// Registry of servers.
    Registry,
    /// Dependency that all servers share.
    SharedDependency,
    /// A link between two zones.
    LinkBetweenZones,
    /// A link between two regions.
    LinkBetweenRegions,
    /// An occasional event, such as a start, a loss or a deploy.
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

    /// Returns the name of the role in the page's markers.
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

/// Origin of a row's value.
#[derive(Clone, Debug)]
pub enum Source {
    /// Figures that a study measured.
    Measured {
        /// Names of the figures, whose points are merged.
        figures: &'static [&'static str],
        /// Cases, of which the first that was measured is used; empty for all cases.
        cases: &'static [&'static str],
        /// Points that are used where a size has several seeds.
        seeds: Seeds,
        /// Factor from the figure's unit to the row's.
        factor: f64,
        /// Whether the figure of one server is summed over all servers.
        sum_over_servers: bool,
    },
    /// Value computed from constants of the code or figures of the size file.
    Computed {
        /// File and name of the constants or figures.
        origin: String,
        /// Increase of the value per unit of the dimension.
        slope: f64,
        /// Value at size 0.
        base: f64,
    },
}

/// Existence of a mechanism that carries a row's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MechanismStatus {
    /// A mechanism exists.
    Present,
    /// No mechanism exists.
    Absent,
}

/// Budget of a row.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RowBudget {
    /// Largest value allowed at the target size, in the row's unit.
    pub limit: f64,
    /// Key of the size file, or constant, that sets the limit.
    pub origin: &'static str,
}

/// A quantity that grows with the size.
#[derive(Clone, Debug)]
pub struct Row {
    /// Unique name, such as `server.memory`.
    pub name: &'static str,
    /// Part of the deployment that bears the cost.
    pub role: Role,
    /// Description for the tables.
    pub description: &'static str,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Formula for the tables, in words.
    pub formula: String,
    /// Quantity with which the value grows, such as `servers`.
    pub dimension: &'static str,
    /// Target size, in units of the dimension.
    pub size: f64,
    /// Origins of the value; the first that has a value is used.
    pub sources: Vec<Source>,
    /// Names of earlier rows that this one sums; empty if it is not a sum.
    pub sum_of: Vec<&'static str>,
    /// Budget; absent if the row has none.
    pub budget: Option<RowBudget>,
    /// Existence of a mechanism that carries the load.
    pub mechanism_status: MechanismStatus,
    /// File and item of the mechanism, or an explanation why there is none.
    pub mechanism: &'static str,
    /// Names of the rows that must fit before this one can.
    pub prerequisites: Vec<&'static str>,
}

/// Returns a row without formula, sources, budget and mechanism, which its methods add. The last argument is
/// the dimension and its target size.
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
    /// Sets the formula, in words.
    pub fn formula(mut self, formula: impl Into<String>) -> Self {
        self.formula = formula.into();
        self
    }

    /// Adds measured figures as a source.
    pub fn measured(self, figures: &'static [&'static str], cases: &'static [&'static str]) -> Self {
        self.measured_scaled(figures, cases, 1.0, false)
    }

    /// Adds measured figures as a source, multiplied by a factor and, with `sum_over_servers`, by the number
    /// of servers.
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

    /// Adds measured figures as a source, with the largest value among the seeds of each size.
    pub fn measured_worst_seed(
        mut self,
        figures: &'static [&'static str],
        cases: &'static [&'static str],
    ) -> Self {
        let seeds = Seeds::Worst;
        self.sources.push(Source::Measured { figures, cases, seeds, factor: 1.0, sum_over_servers: false });
        self
    }

    /// Adds a value computed from constants or the size file as a source; `origin` names them.
    pub fn computed(mut self, origin: impl Into<String>, slope: f64, base: f64) -> Self {
        self.sources.push(Source::Computed { origin: origin.into(), slope, base });
        self
    }

    /// Makes the row the sum of earlier rows.
    pub fn sum_of(mut self, rows: &[&'static str]) -> Self {
        self.sum_of = rows.to_vec();
        self
    }

    /// Sets the budget and the key or constant it comes from.
    pub fn within(mut self, limit: f64, origin: &'static str) -> Self {
        self.budget = Some(RowBudget { limit, origin });
        self
    }

    /// Sets the mechanism that carries the load, as file and item.
    pub fn by_mechanism(mut self, mechanism: &'static str) -> Self {
        self.mechanism = mechanism;
        self
    }

    /// Marks the row as one without a mechanism; `nearest` names the closest existing code, or `none`.
    pub fn no_mechanism(mut self, nearest: &'static str) -> Self {
        (self.mechanism_status, self.mechanism) = (MechanismStatus::Absent, nearest);
        self
    }

    /// Sets the rows that must fit before this one can.
    pub fn requires(mut self, rows: &[&'static str]) -> Self {
        self.prerequisites = rows.to_vec();
        self
    }
}

/// File with the target size, the budgets and the assumptions.
const SIZE_FILE: &str = "docs/capacity/size.toml";
/// Figures of the time until all servers have the same view of the members, reached or given up.
const AGREEMENT_FIGURES: [&str; 2] = ["scale/members.agree_s", "scale/members.not_agreed_within_s"];

// Mechanisms, as file and item.

/// Membership of a server.
const MEMBERSHIP: &str = "crates/hazelspur-fleet/src/membership/state.rs Membership";
/// Membership, gossip and quota of one server.
const FLEET_NODE: &str = "crates/hazelspur-fleet/src/node.rs FleetNode";
/// Transport of the gossip datagrams.
const GOSSIP_TRANSPORT: &str = "crates/hazelspur-server/src/fleet/transport.rs GossipTransport";
/// Quota of one server.
const QUOTA_MANAGER: &str = "crates/hazelspur-fleet/src/quota/manager.rs QuotaManager";
/// Allocator of the quota.
const ALLOCATOR: &str = "crates/hazelspur-fleet/src/quota/allocator.rs Allocator";
/// Reports to the registry.
const HEALTH_REPORTER: &str = "crates/hazelspur-server/src/upstream/registry.rs HealthReporter";
/// Reload of the configuration on SIGHUP.
const RELOADER: &str = "crates/hazelspur-server/src/config/reload.rs Reloader";
/// Configuration of a server.
const SERVER_CONFIG: &str = "crates/hazelspur-server/src/config/server_config.rs ServerConfig";
/// Request classes and tenants in force.
const CATALOG: &str = "src/config/catalog.rs Catalog";
/// Table of configuration entries by name and id.
const TABLE: &str = "src/config/table.rs Table";
/// Admission controller.
const CONTROLLER: &str = "src/controller/mod.rs AdmissionController";
/// Recently seen clients and sessions.
const LAST_SEEN: &str = "src/last_seen.rs LastSeen";
/// Learned samples of request classes and tenants.
const RECENTLY_SEEN: &str = "src/recently_seen.rs RecentlySeen";
/// Seconds per day.
const SECONDS_PER_DAY: f64 = 86_400.0;

// Keys of budgets in the size file.

/// Time until a change is in force on all servers.
const IN_FORCE_BUDGET: &str = "budget.in_force_s";
/// Share of a core for control.
const CPU_BUDGET: &str = "budget.control_cpu_share";
/// Memory for control.
const MEMORY_BUDGET: &str = "budget.control_memory_bytes";
/// Traffic for control.
const TRAFFIC_BUDGET: &str = "budget.control_bytes_per_s";

/// Returns all rows, in the order of the page; a sum comes after its parts.
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

/// Returns file and name of each constant, separated by commas.
fn origins(constants: &[&Constant]) -> String {
    constants.iter().map(|constant| constant.origin()).collect::<Vec<_>>().join(", ")
}
