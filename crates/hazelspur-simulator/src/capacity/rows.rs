//! What grows with the size, role by role: with what, by which formula, within which budget, carried by which
//! mechanism. A row names the figure that a study measures, or the line of code that it is computed from.

use super::constants as code;
use super::constants::Constant;
use super::measured::Seeds;
use super::size::Size;
use hazelspur_fleet::{circuit_breaker, datagram, quota};

/// Whose cost a row is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Server,
    Caller,
    Configuration,
    ControlMachine,
    KeeperAndDivider,
    List,
    SharedDependency,
    LinkBetweenZones,
    LinkBetweenRegions,
    Event,
}

impl Role {
    pub const ALL: [Self; 10] = [
        Self::Server,
        Self::Caller,
        Self::Configuration,
        Self::ControlMachine,
        Self::KeeperAndDivider,
        Self::List,
        Self::SharedDependency,
        Self::LinkBetweenZones,
        Self::LinkBetweenRegions,
        Self::Event,
    ];

    /// As the page's markers name it.
    pub fn name(self) -> &'static str {
        match self {
            Self::Server => "server",
            Self::Caller => "caller",
            Self::Configuration => "configuration",
            Self::ControlMachine => "control-machine",
            Self::KeeperAndDivider => "keeper-and-divider",
            Self::List => "list",
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
        figures: &'static [&'static str],
        cases: &'static [&'static str],
        seeds: Seeds,
        times: f64,
        over_all: bool,
    },
    /// From what the code or the size file says.
    Computed { from: String, slope: f64, base: f64 },
}

/// Whether anything carries it at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    Something,
    Nothing,
}

#[derive(Clone, Debug)]
pub struct Row {
    pub name: &'static str,
    pub role: Role,
    pub what: &'static str,
    pub unit: &'static str,
    /// In words.
    pub formula: String,
    /// The dimension, and its figure at the target.
    pub by: &'static str,
    pub size: f64,
    /// The first that gives anything counts.
    pub sources: Vec<Source>,
    /// Rows before this one that it adds up.
    pub sum_of: Vec<&'static str>,
    pub budget: Option<(f64, &'static str)>,
    pub found: Found,
    /// File and type.
    pub mechanism: &'static str,
    pub rests_on: Vec<&'static str>,
}

/// A row with nothing but its name and words; methods say the rest.
pub fn row(
    role: Role,
    name: &'static str,
    what: &'static str,
    unit: &'static str,
    (by, size): (&'static str, f64),
) -> Row {
    Row {
        name,
        role,
        what,
        unit,
        formula: String::new(),
        by,
        size,
        sources: Vec::new(),
        sum_of: Vec::new(),
        budget: None,
        found: Found::Something,
        mechanism: "",
        rests_on: Vec::new(),
    }
}

impl Row {
    pub fn formula(mut self, words: impl Into<String>) -> Self {
        self.formula = words.into();
        self
    }

    /// A figure as it was measured.
    pub fn measured(self, figure: &'static [&'static str], cases: &'static [&'static str]) -> Self {
        self.measured_times(figure, cases, 1.0, false)
    }

    pub fn measured_times(
        mut self,
        figures: &'static [&'static str],
        cases: &'static [&'static str],
        times: f64,
        over_all: bool,
    ) -> Self {
        self.sources.push(Source::Measured { figures, cases, seeds: Seeds::All, times, over_all });
        self
    }

    /// By the worst seed of each size.
    pub fn worst(mut self, figures: &'static [&'static str], cases: &'static [&'static str]) -> Self {
        let seeds = Seeds::Worst;
        self.sources.push(Source::Measured { figures, cases, seeds, times: 1.0, over_all: false });
        self
    }

    pub fn computed(mut self, from: impl Into<String>, slope: f64, base: f64) -> Self {
        self.sources.push(Source::Computed { from: from.into(), slope, base });
        self
    }

    pub fn sum_of(mut self, rows: &[&'static str]) -> Self {
        self.sum_of = rows.to_vec();
        self
    }

    pub fn within(mut self, budget: f64, from: &'static str) -> Self {
        self.budget = Some((budget, from));
        self
    }

    pub fn by_mechanism(mut self, mechanism: &'static str) -> Self {
        self.mechanism = mechanism;
        self
    }

    /// Nothing carries it; the words say what comes nearest.
    pub fn no_mechanism(mut self, nearest: &'static str) -> Self {
        (self.found, self.mechanism) = (Found::Nothing, nearest);
        self
    }

    pub fn rests_on(mut self, rows: &[&'static str]) -> Self {
        self.rests_on = rows.to_vec();
        self
    }
}

const FILE: &str = "docs/capacity/size.toml";
const AGREE: [&str; 2] = ["scale/members.agree_s", "scale/members.not_agreed_within_s"];
const MEMBERS: &str = "crates/hazelspur-fleet/src/membership/state.rs Membership";
const JOINT: &str = "crates/hazelspur-fleet/src/node.rs FleetNode";
const TALK: &str = "crates/hazelspur-server/src/fleet/transport.rs GossipTransport";
const SHARES: &str = "crates/hazelspur-fleet/src/quota/manager.rs QuotaManager";
const DIVIDER: &str = "crates/hazelspur-fleet/src/quota/allocator.rs Allocator";
const REPORT: &str = "crates/hazelspur-server/src/upstream/registry.rs HealthReporter";
const RELOAD: &str = "crates/hazelspur-server/src/config/reload.rs Reloader";
const CHECK: &str = "crates/hazelspur-server/src/config/server_config.rs ServerConfig";
const CATALOG: &str = "src/catalog.rs Catalog";
const TABLE: &str = "src/catalog.rs Table";
const LATELY: &str = "src/book.rs Lately";
const LOGIC: &str = "src/logic.rs Logic";
const DAY_S: f64 = 86_400.0;

const IN_FORCE: &str = "budget.in_force_s";
const CPU: &str = "budget.control_cpu_share";
const MEMORY: &str = "budget.control_memory_bytes";
const BYTES: &str = "budget.control_bytes_per_s";

/// All rows, in the order of the page; a sum stands behind its parts.
pub fn rows(size: &Size) -> Vec<Row> {
    let mut rows = server(size);
    rows.extend(caller(size));
    rows.extend(configuration(size));
    rows.extend(control_machine());
    rows.extend(keeper_and_divider(size));
    rows.extend(list(size));
    rows.extend(shared_dependency(size));
    rows.extend(links(size));
    rows.extend(events(size));
    rows
}

fn at(constants: &[&Constant]) -> String {
    constants.iter().map(|constant| constant.from()).collect::<Vec<_>>().join(", ")
}

fn server(size: &Size) -> Vec<Row> {
    use Role::Server;
    let (s, b, a) = (&size.size, &size.budget, &size.assumed);
    let servers = ("servers", s.servers);
    let tenants = ("tenants", s.tenants);
    let callers = ("callers", s.callers);
    let each = s.requests_per_s / s.servers;
    let p99 = |name, what, zones_left: f64| {
        row(Server, name, what, "ms", ("rate_per_s", each * s.zones / zones_left))
            .formula("as measured, open loop, the runtime's own time taken out")
            .measured(&["path.added.p99_ms"], LARGE)
            .within(b.added_p99_ms, "budget.added_p99_ms")
            .by_mechanism(LOGIC)
    };
    let kept = a.servers_a_caller_keeps * a.connections_per_caller_and_server;
    let gateways = code::SOCKETS.value - code::OWN.value - code::CALLS.value - code::CLOSING.value;
    vec![
        row(
            Server,
            "server.settings.op_types",
            "op types that a start takes",
            "entries",
            ("op_types", s.op_types),
        )
        .formula("one entry for each op type; past the bound the start is refused")
        .computed(FILE.to_string() + " op_types", 1.0, 0.0)
        .within(code::OP_TYPES.value, "catalog.rs, MAX_OP_TYPES")
        .by_mechanism(CATALOG),
        row(Server, "server.settings.tenants", "tenants that a start takes", "entries", tenants)
            .formula("one entry for each tenant; past the bound the start is refused")
            .computed(FILE.to_string() + " tenants", 1.0, 0.0)
            .within(code::TENANTS.value, "catalog.rs, MAX_TENANTS")
            .by_mechanism(CATALOG),
        row(Server, "server.settings.file", "the file that is read", "B", tenants)
            .formula("bytes of the file by tenants, with op types in the same proportion")
            .measured(&["server.file_bytes"], &[])
            .within(code::LONGEST_FILE.value, "server_config.rs, MAX_FILE_BYTES")
            .by_mechanism(CHECK),
        row(Server, "server.settings.memory", "settings held, memory", "B", tenants)
            .formula("anonymous memory of an idle server by tenants, with op types in the same proportion")
            .measured(&["server.memory.anon_bytes"], &[])
            .within(b.settings_memory_bytes, "budget.settings_memory_bytes")
            .by_mechanism(CATALOG),
        row(Server, "server.talk.memory", "members, signals and shares, memory", "B", servers)
            .formula("heap that a server's end gives back")
            .measured(&["joint.state_bytes"], &["rest"])
            .measured(&["members.state_bytes"], &["rest"])
            .within(b.control_memory_bytes, MEMORY)
            .by_mechanism(JOINT),
        row(Server, "server.memory", "memory for control, all", "B", servers)
            .formula("sum of the two above")
            .sum_of(&["server.settings.memory", "server.talk.memory"])
            .within(b.control_memory_bytes, MEMORY)
            .by_mechanism(JOINT)
            .rests_on(&["server.settings.memory"]),
        row(
            Server,
            "server.learned.memory",
            "what is learned of tenants lately seen",
            "B",
            ("tenants_met", a.tenants_met_in_a_minute),
        )
        .formula("samples of each tenant met")
        .measured(&["server.learned.bytes"], &[])
        .within(b.control_memory_bytes, MEMORY)
        .by_mechanism(LATELY),
        row(
            Server,
            "server.learned.entries",
            "tenants of which something learned is kept",
            "entries",
            ("tenants_met", a.tenants_met_in_a_minute),
        )
        .formula(
            "one for each tenant met; past the bound those not seen for longest go, and are learned anew",
        )
        .computed(FILE.to_string() + " tenants_met_in_a_minute", 1.0, 0.0)
        .within(code::LEARNED.value, "book.rs, LEARNED_KEPT")
        .by_mechanism(LATELY),
        row(Server, "server.start.cpu", "CPU of a start", "s", tenants)
            .formula("settings read, checked and held, by tenants")
            .measured(&["server.start.cpu_s"], &[])
            .within(b.in_force_s, IN_FORCE)
            .by_mechanism(CHECK),
        row(Server, "server.rest.cpu", "CPU at rest, reports and ticks", "of a core", tenants)
            .formula("a server without requests, by tenants")
            .measured(&["server.rest.cpu_share"], &[])
            .within(b.control_cpu_share, CPU)
            .by_mechanism("crates/hazelspur-server/src/request/dispatcher.rs Dispatcher"),
        row(Server, "server.talk.cpu", "CPU of members, signals and shares", "of a core", servers)
            .formula("the machines' own code, without sockets")
            .measured_times(&["joint.cpu_us_per_s"], &["rest"], 1e-6, false)
            .measured_times(&["members.cpu_us_per_s"], &["rest"], 1e-6, false)
            .within(b.control_cpu_share, CPU)
            .by_mechanism(JOINT),
        row(Server, "server.cpu", "CPU for control, all", "of a core", servers)
            .formula("sum of the two above")
            .sum_of(&["server.rest.cpu", "server.talk.cpu"])
            .within(b.control_cpu_share, CPU)
            .by_mechanism(JOINT),
        row(
            Server,
            "server.real.cpu",
            "CPU of a real server with nothing asked, on sockets",
            "of a core",
            servers,
        )
        .formula("a real process among hollow members, small tables")
        .measured(&["members.real.cpu_share"], &["rest"])
        .within(b.control_cpu_share, CPU)
        .by_mechanism(TALK),
        row(Server, "server.real.memory", "anonymous memory of the same", "B", servers)
            .formula("a real process among hollow members, small tables")
            .measured(&["members.real.anon_bytes"], &["rest"])
            .within(b.control_memory_bytes, MEMORY)
            .by_mechanism(TALK),
        row(Server, "server.real.bytes", "bytes that the same sends to others", "B/s", servers)
            .formula("by its datagrams' numbers and their mean length")
            .measured(&["members.real.bytes_out_per_s"], &["rest"])
            .within(b.control_bytes_per_s, BYTES)
            .by_mechanism(TALK),
        row(Server, "server.talk.datagrams", "datagrams that the mean server sends", "1/s", servers)
            .formula("probes, answers, news, renewals of shares")
            .measured(&["joint.datagrams_out_per_s"], &["rest"])
            .measured(&["members.datagrams_out_per_s"], &["rest"])
            .by_mechanism(JOINT),
        row(Server, "server.talk.bytes", "bytes that the mean server sends to others", "B/s", servers)
            .formula("all datagrams of the talk, without heads of UDP and IP")
            .measured(&["joint.bytes_out_per_s"], &["rest"])
            .measured(&["members.bytes_out_per_s"], &["rest"])
            .within(b.control_bytes_per_s, BYTES)
            .by_mechanism(JOINT),
        row(Server, "server.reports.bytes", "bytes of reports to the list", "B/s", servers)
            .formula("bytes_per_report / 0.8 s, whatever the size")
            .computed(at(&[&code::REPORT_EVERY]), 0.0, a.bytes_per_report / code::REPORT_EVERY.value)
            .within(b.control_bytes_per_s, BYTES)
            .by_mechanism(REPORT),
        row(Server, "server.bytes", "bytes for control, all", "B/s", servers)
            .formula("sum of the two above")
            .sum_of(&["server.talk.bytes", "server.reports.bytes"])
            .within(b.control_bytes_per_s, BYTES)
            .by_mechanism(JOINT),
        row(Server, "server.talk.entries", "entries in the table of members", "entries", servers)
            .formula("one for each other server, and those lately gone")
            .measured(&["joint.entries"], &["rest"])
            .measured(&["members.entries"], &["rest"])
            .computed(FILE.to_string() + " servers", 1.0, -1.0)
            .within(code::MOST.value * 2.0, "members, twice `most`")
            .by_mechanism(MEMBERS),
        row(Server, "server.talk.most", "servers that may be at once (`most`)", "entries", servers)
            .formula("servers x most_over_servers")
            .computed(FILE.to_string() + " most_over_servers", a.most_over_servers, 0.0)
            .within(code::MOST.value, "fleet_keys.rs, most")
            .by_mechanism(MEMBERS),
        row(Server, "server.talk.sites", "sites that an operator is shown", "sites", ("zones", s.zones))
            .formula("one for each zone")
            .computed(FILE.to_string() + " zones", 1.0, 0.0)
            .within(datagram::MAX_QUERY_SITES as f64, "datagram/mod.rs, MAX_QUERY_SITES")
            .by_mechanism("crates/hazelspur-fleet/src/datagram/body.rs Body"),
        row(
            Server,
            "server.descriptors",
            "connections of callers at the mean server",
            "descriptors",
            callers,
        )
        .formula("callers x servers_a_caller_keeps x connections_per_caller_and_server / servers")
        .computed(FILE, kept / s.servers, 0.0)
        .within(gateways, "descriptors.rs, of 1,024")
        .by_mechanism("crates/hazelspur-server/src/process/descriptors.rs Descriptors"),
        row(
            Server,
            "server.descriptors.spread",
            "the same, by how many servers a caller keeps open",
            "descriptors",
            ("servers_a_caller_keeps", a.servers_a_caller_keeps),
        )
        .formula("callers x servers_a_caller_keeps x connections_per_caller_and_server / servers")
        .computed(FILE, s.callers * a.connections_per_caller_and_server / s.servers, 0.0)
        .within(gateways, "descriptors.rs, of 1,024")
        .by_mechanism("crates/hazelspur-server/src/process/descriptors.rs Descriptors"),
        row(Server, "server.callers", "callers that the module remembers", "entries", callers)
            .formula("callers x servers_a_caller_keeps / servers")
            .computed(FILE, a.servers_a_caller_keeps / s.servers, 0.0)
            .within(code::SEEN.value, "book.rs, SEEN_KEPT")
            .by_mechanism(LOGIC),
        p99("server.added.six_zones", "added latency, 99 in 100, all zones", s.zones),
        p99("server.added.one_lost", "the same, one zone lost", s.zones - 1.0),
        p99("server.added.region_lost", "the same, one region lost", s.zones * (s.regions - 1.0) / s.regions),
        row(Server, "server.lookups", "cost of an op's look-ups, large tables over small", "times", tenants)
            .formula("as measured")
            .measured(&["path.lookup_ratio"], &["cpu"])
            .within(b.lookup_ratio, "budget.lookup_ratio")
            .by_mechanism(TABLE),
    ]
}

/// How the study of a server's own path names its large tables.
const LARGE: &[&str] = &["large", "large tables", "8700x42000"];

fn caller(size: &Size) -> Vec<Row> {
    use Role::Caller;
    let (s, a) = (&size.size, &size.assumed);
    let servers = ("servers", s.servers);
    vec![
        row(Caller, "caller.connections", "connections of one caller process", "descriptors", servers)
            .formula("servers_a_caller_keeps x connections_per_caller_and_server")
            .computed(FILE, 0.0, a.servers_a_caller_keeps * a.connections_per_caller_and_server)
            .by_mechanism("none of ours: gateways choose"),
        row(Caller, "caller.most_load", "most loaded server over the mean, by subsets", "times", servers)
            .formula("4 of all by rendezvous, as many choosers as servers")
            .measured(&["subsets.most_over_mean"], &["rendezvous"])
            .within(a.most_over_mean_load, "assumed.most_over_mean_load")
            .by_mechanism("crates/hazelspur-fleet/src/subset.rs select"),
        row(
            Caller,
            "caller.tries",
            "tries of an op at one and a half times what the cores do",
            "tries",
            servers,
        )
        .formula("as simulated")
        .measured(&["choices.tries_per_op"], &["crowded"])
        .by_mechanism(JOINT),
    ]
}

fn configuration(size: &Size) -> Vec<Row> {
    use Role::Configuration;
    let (s, b, a) = (&size.size, &size.budget, &size.assumed);
    let servers = ("servers", s.servers);
    vec![
        row(Configuration, "config.restarts", "restarts a day for changes alone", "1/day", servers)
            .formula("changes_per_day x changes_that_need_a_restart x servers")
            .computed(
                FILE.to_string() + " changes_that_need_a_restart",
                s.changes_per_day * a.changes_that_need_a_restart,
                0.0,
            )
            .within(s.restarts_per_day, "size.restarts_per_day")
            .by_mechanism(RELOAD)
            .rests_on(&["server.settings.op_types", "server.settings.tenants", "server.settings.memory"]),
        row(Configuration, "config.in_force", "a change in force everywhere, worst", "s", servers)
            .formula("from the push until the last server has it in force")
            .worst(&["revisions.in_force_s"], &["rest"])
            .within(b.in_force_s, IN_FORCE)
            .no_mechanism("none: each server reads its own file")
            .rests_on(&["config.restarts"]),
        row(Configuration, "config.catch_up", "what a newcomer or a region back asks for", "B", servers)
            .formula("revisions since its file, or the whole in parts")
            .measured(&["revisions.catch_up_bytes"], &[])
            .no_mechanism("none: a start goes by its file, however old")
            .rests_on(&["config.in_force"]),
        row(Configuration, "config.overlap", "two revisions at once are safe", "kinds", servers)
            .formula("for each kind of key what old and new can do together")
            .no_mechanism("for one server alone: src/change.rs Change")
            .rests_on(&["config.in_force"]),
        row(Configuration, "config.staged", "roll-out in stages, judged by figures", "stages", servers)
            .formula("a part of the servers first")
            .no_mechanism("none")
            .rests_on(&["config.in_force", "config.overlap"]),
        row(Configuration, "config.bytes", "bytes of changes on an ordinary day, a server", "B/s", servers)
            .formula("changes_per_day x bytes_per_change / 86,400 s, taken in once by each")
            .computed(FILE, 0.0, s.changes_per_day * a.bytes_per_change / DAY_S)
            .within(b.control_bytes_per_s, BYTES)
            .by_mechanism("none yet: what config.in_force would carry"),
    ]
}

fn control_machine() -> Vec<Row> {
    let role = Role::ControlMachine;
    let machines = ("control_machines", 1.0);
    vec![
        row(
            role,
            "control.program",
            "a program that votes, divides and holds revisions, and serves nothing",
            "",
            machines,
        )
        .formula("the machines set aside; a server does not start without a runtime's address")
        .no_mechanism("none: keepers are servers that serve (server_config.rs, `runtime`)"),
        row(role, "control.cpu", "CPU of a control machine", "of a core", machines)
            .formula("no such program, so nothing to measure")
            .measured(&["control.cpu_share"], &[])
            .by_mechanism("none")
            .rests_on(&["control.program"]),
    ]
}

fn keeper_and_divider(size: &Size) -> Vec<Row> {
    use Role::KeeperAndDivider;
    let (s, b, a) = (&size.size, &size.budget, &size.assumed);
    let servers = ("servers", s.servers);
    let renewals = 2.0 / (code::LEASE.value * code::RENEWAL.value);
    let words = at(&[&code::RENEWAL, &code::LEASE]);
    let region = code::FLOOR.value / (s.regions * a.most_over_servers);
    let limits = ("tenants", s.tenants);
    let near = a.tenants_near_their_quota / s.tenants;
    vec![
        row(
            KeeperAndDivider,
            "divider.messages",
            "messages at the divider, in and out, one limit",
            "1/s",
            servers,
        )
        .formula("a question and an answer for each server and renewal")
        .measured(&["shares.of_1.divider_messages_per_s"], &["none"])
        .computed(words.clone(), renewals, 0.0)
        .by_mechanism(DIVIDER),
        row(KeeperAndDivider, "divider.bytes", "bytes at the divider, in and out, one limit", "B/s", servers)
            .formula("the same messages; without a measure x bytes_per_datagram")
            .measured(&["shares.of_1.divider_bytes_per_s"], &["none"])
            .computed(words, renewals * a.bytes_per_datagram, 0.0)
            .within(b.control_bytes_per_s, BYTES)
            .by_mechanism(DIVIDER)
            .rests_on(&["control.program"]),
        row(KeeperAndDivider, "divider.bytes.sixteen", "the same, 16 limits", "B/s", servers)
            .formula("as simulated")
            .measured(&["shares.of_16.divider_bytes_per_s"], &["none"])
            .within(b.control_bytes_per_s, BYTES)
            .by_mechanism(DIVIDER)
            .rests_on(&["control.program"]),
        row(
            KeeperAndDivider,
            "divider.busiest",
            "bytes that the busiest server sends, all of the talk",
            "B/s",
            servers,
        )
        .formula("members, signals and shares of one limit; the busiest is the divider")
        .measured(&["joint.busiest_bytes_out_per_s"], &["rest"])
        .within(b.control_bytes_per_s, BYTES)
        .by_mechanism(DIVIDER)
        .rests_on(&["control.program"]),
        row(KeeperAndDivider, "divider.cpu", "CPU of the divider", "of a core", servers)
            .formula("as measured on a real process")
            .measured(&["members.divider.cpu_share"], &[])
            .within(b.control_cpu_share, CPU)
            .by_mechanism(DIVIDER)
            .rests_on(&["control.program"]),
        row(
            KeeperAndDivider,
            "divider.real.bytes",
            "bytes that a real divider sends, one limit",
            "B/s",
            servers,
        )
        .formula("by its datagrams' numbers and their mean length")
        .measured(&["members.divider.bytes_out_per_s"], &["rest"])
        .within(b.control_bytes_per_s, BYTES)
        .by_mechanism(DIVIDER)
        .rests_on(&["control.program"]),
        row(KeeperAndDivider, "divider.real.memory", "anonymous memory of the same", "B", servers)
            .formula("a real process among hollow members")
            .measured(&["members.divider.anon_bytes"], &["rest"])
            .within(b.control_memory_bytes, MEMORY)
            .by_mechanism(DIVIDER),
        row(KeeperAndDivider, "keeper.cpu", "CPU of a keeper that does not divide", "of a core", servers)
            .formula("a real process among hollow members")
            .measured(&["members.keeper.cpu_share"], &["rest"])
            .within(b.control_cpu_share, CPU)
            .by_mechanism("crates/hazelspur-fleet/src/quota/election.rs Voter"),
        row(KeeperAndDivider, "keeper.bytes", "bytes that the same sends", "B/s", servers)
            .formula("by its datagrams' numbers and their mean length")
            .measured(&["members.keeper.bytes_out_per_s"], &["rest"])
            .within(b.control_bytes_per_s, BYTES)
            .by_mechanism("crates/hazelspur-fleet/src/quota/election.rs Voter"),
        row(KeeperAndDivider, "divider.entries", "entries in the divider's table", "entries", servers)
            .formula("one for each server that asks")
            .computed(FILE.to_string() + " servers", 1.0, 0.0)
            .within(2.0 * a.most_over_servers * s.servers, "divide.rs, twice `most`")
            .by_mechanism(DIVIDER),
        row(KeeperAndDivider, "shares.limits", "limits that must be shared at one time", "limits", limits)
            .formula("tenants near their quota, and calls")
            .computed(FILE.to_string() + " tenants_near_their_quota", near, 1.0)
            .within(quota::MAX_LIMITS as f64, "quota/mod.rs, MAX_LIMITS")
            .by_mechanism(SHARES)
            .rests_on(&["config.in_force", "divider.bytes"]),
        row(KeeperAndDivider, "shares.datagram", "bytes of one demand for that many limits", "B", limits)
            .formula("two amounts of 4 bytes for each limit, in one datagram")
            .computed("shares/mod.rs Word::Want", near * 8.0, 8.0)
            .within(datagram::MAX_DATAGRAM_BYTES as f64, "datagram/mod.rs, MAX_DATAGRAM_BYTES")
            .by_mechanism("crates/hazelspur-fleet/src/quota/message.rs QuotaMessage")
            .rests_on(&["shares.limits"]),
        row(
            KeeperAndDivider,
            "shares.region_alone",
            "what a region needs of a limit over what it has without a vote",
            "times",
            ("regions", s.regions),
        )
        .formula("share_of_a_region_alone / (floor of the limit x its servers / `most`)")
        .computed(at(&[&code::FLOOR]), 0.0, a.share_of_a_region_alone / region)
        .within(1.0, "all that it needs")
        .by_mechanism("crates/hazelspur-fleet/src/quota/config.rs QuotaConfig")
        .rests_on(&["regions.names"]),
        row(
            KeeperAndDivider,
            "shares.settle.replaced",
            "shares settled, two in five servers replaced",
            "s",
            servers,
        )
        .formula("from the beginning of the trouble, worst seed")
        .worst(&["shares.of_1.settle_s"], &["two in five replaced in 7 s"])
        .within(b.in_force_s, IN_FORCE)
        .by_mechanism(SHARES),
    ]
}

fn list(size: &Size) -> Vec<Row> {
    use Role::List;
    let (s, a) = (&size.size, &size.assumed);
    let servers = ("servers", s.servers);
    let every = at(&[&code::REPORT_EVERY]);
    vec![
        row(List, "list.reports", "reports a second, each on a connection of its own", "1/s", servers)
            .formula("servers / 0.8 s")
            .computed(every.clone(), 1.0 / code::REPORT_EVERY.value, 0.0)
            .within(a.list_reports_per_s, "assumed.list_reports_per_s")
            .by_mechanism(REPORT),
        row(List, "list.reports.refused", "the same while it refuses each at once", "1/s", servers)
            .formula("servers / 0.25 s")
            .computed(at(&[&code::REPORT_AGAIN]), 1.0 / code::REPORT_AGAIN.value, 0.0)
            .within(a.list_reports_per_s, "assumed.list_reports_per_s")
            .by_mechanism(REPORT),
        row(List, "list.peak", "most reports in 20 ms over the mean, after it was gone", "times", servers)
            .formula("as simulated; chance alone gives about as much")
            .measured(&["list.most_over_mean"], &["spread"])
            .by_mechanism(REPORT),
        row(List, "list.bytes", "bytes of all reports", "B/s", servers)
            .formula("servers x bytes_per_report / 0.8 s")
            .computed(every, a.bytes_per_report / code::REPORT_EVERY.value, 0.0)
            .by_mechanism(REPORT),
    ]
}

fn shared_dependency(size: &Size) -> Vec<Row> {
    use Role::SharedDependency;
    let (s, a) = (&size.size, &size.assumed);
    let servers = ("servers", s.servers);
    let (chosen, rest) = (1.0 / code::CHOSEN_EVERY.value, 1.0 / code::OTHERS_EVERY.value);
    let few = circuit_breaker::DESIGNATED_PROBERS as f64;
    vec![
        row(
            SharedDependency,
            "dependency.calls",
            "calls at once at the peak",
            "calls",
            ("requests_per_s", s.requests_per_s),
        )
        .formula("requests_per_s x calls_per_op x mean_call_ms")
        .computed(FILE, a.calls_per_op * a.mean_call_ms / 1000.0, 0.0)
        .within(a.dependency_calls_at_once, "assumed.dependency_calls_at_once")
        .by_mechanism(SHARES),
        row(
            SharedDependency,
            "dependency.connections",
            "connections, the most that may be",
            "connections",
            servers,
        )
        .formula("servers x 64")
        .computed(at(&[&code::CALLS]), code::CALLS.value, 0.0)
        .within(a.dependency_connections, "assumed.dependency_connections")
        .by_mechanism("crates/hazelspur-server/src/upstream/dependency.rs DependencyClient"),
        row(
            SharedDependency,
            "dependency.connections.idle",
            "connections kept while nothing is called",
            "connections",
            servers,
        )
        .formula("servers x 16")
        .computed(at(&[&code::IDLE]), code::IDLE.value, 0.0)
        .within(a.dependency_connections, "assumed.dependency_connections")
        .by_mechanism("crates/hazelspur-server/src/upstream/dependency.rs DependencyClient"),
        row(
            SharedDependency,
            "dependency.tries_while_gone",
            "tries a second while it is gone, with talk",
            "1/s",
            servers,
        )
        .formula("6 chosen every 0.25 s, all others every 4 s")
        .computed(at(&[&code::CHOSEN_EVERY, &code::OTHERS_EVERY]), rest, few * (chosen - rest))
        .within(a.tries_at_a_lost_dependency_per_s, "assumed.tries_at_a_lost_dependency_per_s")
        .by_mechanism("crates/hazelspur-fleet/src/circuit_breaker.rs CircuitBreaker"),
        row(
            SharedDependency,
            "dependency.return",
            "first second after its return over the usual",
            "times",
            servers,
        )
        .formula("as simulated")
        .measured(&["dependency.first_second_over_usual"], &[])
        .by_mechanism("crates/hazelspur-fleet/src/circuit_breaker.rs CircuitBreaker"),
    ]
}

fn links(size: &Size) -> Vec<Row> {
    let (s, a) = (&size.size, &size.assumed);
    let servers = ("servers", s.servers);
    let zones = Role::LinkBetweenZones;
    let regions = Role::LinkBetweenRegions;
    let pair = 2.0 / (s.zones * s.zones);
    let cross = 1.0 - 1.0 / s.regions;
    let talk = &["joint.bytes_out_per_s"];
    vec![
        row(zones, "zones.datagrams", "datagrams of the talk between two zones, both ways", "1/s", servers)
            .formula("servers x datagrams of a server x 2 / zones squared")
            .measured_times(&["joint.datagrams_out_per_s"], &["rest"], pair, true)
            .measured_times(&["members.datagrams_out_per_s"], &["rest"], pair, true)
            .by_mechanism(MEMBERS),
        row(zones, "zones.bytes", "talk between two zones, both ways", "B/s", servers)
            .formula(
                "servers x bytes of a server x 2 / zones squared: all are asked alike, wherever they stand",
            )
            .measured_times(talk, &["rest"], pair, true)
            .measured_times(&["members.bytes_out_per_s"], &["rest"], pair, true)
            .within(a.zone_link_bytes_per_s, "assumed.zone_link_bytes_per_s")
            .by_mechanism(MEMBERS),
        row(regions, "regions.bytes", "talk between the regions, both ways", "B/s", servers)
            .formula("servers x bytes of a server x (1 - 1 / regions)")
            .measured_times(talk, &["rest"], cross, true)
            .measured_times(&["members.bytes_out_per_s"], &["rest"], cross, true)
            .within(a.region_link_bytes_per_s, "assumed.region_link_bytes_per_s")
            .by_mechanism(MEMBERS),
        row(
            regions,
            "regions.datagrams",
            "datagrams of the talk between the regions, both ways",
            "1/s",
            servers,
        )
        .formula("servers x datagrams of a server x (1 - 1 / regions)")
        .measured_times(&["joint.datagrams_out_per_s"], &["rest"], cross, true)
        .measured_times(&["members.datagrams_out_per_s"], &["rest"], cross, true)
        .by_mechanism(MEMBERS),
        row(regions, "regions.bytes.storm", "the same while all start", "B/s", servers)
            .formula("the same, mean of the window after the storm began")
            .measured_times(talk, &["storm"], cross, true)
            .measured_times(&["members.bytes_out_per_s"], &["storm"], cross, true)
            .within(a.region_link_bytes_per_s, "assumed.region_link_bytes_per_s")
            .by_mechanism(MEMBERS),
        row(
            regions,
            "regions.names",
            "a word for the region that a zone belongs to",
            "",
            ("regions", s.regions),
        )
        .formula("members know sites; probes, votes and middles of sites go by these alone")
        .no_mechanism("none: crates/hazelspur-fleet/src/names.rs SiteName"),
    ]
}

fn events(size: &Size) -> Vec<Row> {
    use Role::Event;
    let (s, b, a) = (&size.size, &size.budget, &size.assumed);
    let servers = ("servers", s.servers);
    let rate = ("requests_per_s", s.requests_per_s);
    let requests = |name, what, left: f64, by: &str| {
        row(Event, name, what, "1/s", rate)
            .formula(format!("requests_per_s / {by}"))
            .computed(FILE, 1.0 / left, 0.0)
            .by_mechanism("none of ours: gateways choose")
    };
    let agree = |name, what, cases: &'static [&'static str]| {
        row(Event, name, what, "s", servers)
            .formula("until all have one picture, worst seed")
            .worst(&AGREE, cases)
            .within(b.in_force_s, IN_FORCE)
            .by_mechanism(MEMBERS)
    };
    let burst = |name, what, cases: &'static [&'static str]| {
        row(Event, name, what, "B/s", servers)
            .formula("the busiest server's busiest second, worst seed")
            .worst(&["joint.most_bytes_out_in_a_second"], cases)
            .worst(&["members.most_bytes_out_in_a_second"], cases)
            .within(b.control_bytes_per_s, BYTES)
            .by_mechanism(JOINT)
    };
    let shares = |name, what, cases: &'static [&'static str]| {
        row(Event, name, what, "s", servers)
            .formula("until shares are settled, worst seed")
            .worst(&["shares.of_1.settle_s"], cases)
            .within(b.in_force_s, IN_FORCE)
            .by_mechanism(SHARES)
    };
    let per_minute = a.changes_in_busiest_minute / 60.0;
    let out = a.out_at_once_share * s.servers;
    let keepers = quota::MAX_VOTERS as f64;
    let region = s.servers * (s.regions - 1.0) / s.regions;
    let zone = s.servers * (s.zones - 1.0) / s.zones;
    let mean = s.servers * a.busiest_minute_over_mean;
    vec![
        requests(
            "event.mean.requests",
            "requests at a server, the day's mean",
            mean,
            "(busiest_minute_over_mean x servers)",
        ),
        requests("event.minute.requests", "the busiest minute, all zones", s.servers, "servers"),
        requests("event.zone_lost.requests", "the same, one zone lost", zone, "servers of the zones left"),
        requests(
            "event.region_lost.requests",
            "the same, one region lost",
            region,
            "servers of the regions left",
        ),
        requests(
            "event.rack_lost.requests",
            "the same, a rack gone",
            s.servers - a.servers_per_rack,
            "(servers - servers_per_rack)",
        ),
        agree("event.storm.agree", "all start within a second: one picture", &["storm"]),
        row(
            Event,
            "event.storm.agree.real",
            "the same on real sockets, as real servers show it",
            "s",
            servers,
        )
        .formula("until the real servers show all as alive, worst seed")
        .worst(&["hollow/members.agree_s"], &["storm"])
        .within(b.in_force_s, IN_FORCE)
        .by_mechanism(TALK),
        agree("event.zone_lost.agree", "a zone lost: one picture of those left", &["zone lost"]),
        agree("event.zone_back.agree", "a zone back cold: one picture", &["zone back"]),
        burst("event.zone_back.bytes", "a zone back cold: the busiest server's bytes", &["zone back"]),
        agree(
            "event.regions_healed.agree",
            "regions apart for a minute, healed: one picture",
            &["regions healed"],
        ),
        burst(
            "event.regions_healed.bytes",
            "regions healed: the busiest server's bytes",
            &["regions healed"],
        ),
        shares("event.regions_healed.shares", "regions healed: shares settled", &["regions apart for 60 s"]),
        agree(
            "event.deploy.agree",
            "restarts in a bunch: one picture after the last",
            &["bunched restarts, after the last"],
        ),
        row(
            Event,
            "event.deploy.out",
            "servers out at once in a deploy",
            "servers",
            ("restarts", a.restarts_per_deploy),
        )
        .formula("restarts_per_deploy x restart_out_s / deploy_min")
        .computed(FILE, a.restart_out_s / (a.deploy_min * 60.0), 0.0)
        .within(out, "assumed.out_at_once_share")
        .by_mechanism("crates/hazelspur-server/src/process/phases.rs Phases"),
        row(Event, "event.rack_lost.noticed", "a rack gone: noticed, 99 in 100", "s", servers)
            .formula("until a server holds one of them for lost")
            .worst(&["members.noticed_p99_s"], &[])
            .within(b.in_force_s, IN_FORCE)
            .by_mechanism(MEMBERS),
        shares("event.divider_ends.shares", "the divider dies: shares settled", &["divider ends"]),
        row(
            Event,
            "event.keeper_dies.votes",
            "a keeper dies: keepers lost, of those that may be",
            "keepers",
            ("keepers", 1.0),
        )
        .formula("one at a time; a minority of 9 may go")
        .computed("crates/hazelspur-fleet/src/quota/mod.rs MAX_VOTERS", 1.0, 0.0)
        .within((keepers - 1.0) / 2.0, "a minority of MAX_KEEPERS")
        .by_mechanism("crates/hazelspur-fleet/src/quota/election.rs Voter"),
        row(
            Event,
            "event.changes.cpu",
            "30 changes in a minute, each a file read again",
            "of a core",
            ("tenants", s.tenants),
        )
        .formula("changes_in_busiest_minute / 60 s x CPU of a reload, else of a start")
        .measured_times(&["server.reload.cpu_s"], &[], per_minute, false)
        .measured_times(&["server.start.cpu_s"], &[], per_minute, false)
        .within(b.control_cpu_share, CPU)
        .by_mechanism(RELOAD),
        row(
            Event,
            "event.changes.stall",
            "the same: part of a minute in which nothing else is done",
            "of the time",
            ("tenants", s.tenants),
        )
        .formula("changes_in_busiest_minute / 60 s x the longest health check in a reload; 1 in 100 may wait")
        .measured_times(&["server.reload.stall_s"], &[], per_minute, false)
        .within(0.01, "99 in 100")
        .by_mechanism(RELOAD),
        row(Event, "event.changes.restarts", "30 changes in a minute: restarts in it", "1/min", servers)
            .formula("changes_in_busiest_minute x changes_that_need_a_restart x servers")
            .computed(
                FILE.to_string() + " changes_that_need_a_restart",
                a.changes_in_busiest_minute * a.changes_that_need_a_restart,
                0.0,
            )
            .within(out * 60.0 / a.restart_out_s, "assumed.out_at_once_share")
            .by_mechanism(RELOAD)
            .rests_on(&["config.restarts"]),
    ]
}
