//! Rows of a server: settings, memory, processor time, traffic, tables, connections and added latency.

use super::{
    CATALOG, CONTROLLER, CPU_BUDGET, FLEET_NODE, GOSSIP_TRANSPORT, HEALTH_REPORTER, IN_FORCE_BUDGET,
    LAST_SEEN, MEMBERSHIP, MEMORY_BUDGET, RECENTLY_SEEN, Role, Row, SERVER_CONFIG, SIZE_FILE, TABLE,
    TRAFFIC_BUDGET, origins, row,
};
use crate::capacity::constants as code;
use crate::capacity::size::SizeFile;
use hazelspur_fleet::datagram;

/// Cases of the `path` study that use large tables.
const LARGE_TABLE_CASES: &[&str] = &["large", "large tables", "8700x42000"];

/// Returns the rows of a server, in the order of the page.
pub(super) fn server(size: &SizeFile) -> Vec<Row> {
    [
        settings(size),
        memory(size),
        processor_time(size),
        process(size),
        traffic(size),
        tables(size),
        connections(size),
        latency(size),
    ]
    .into_iter()
    .flatten()
    .collect()
}

/// Returns the rows of the settings that a server reads and holds.
fn settings(size: &SizeFile) -> Vec<Row> {
    use Role::Server;
    let target = &size.size;
    let budget = &size.budget;
    let tenants = ("tenants", target.tenants);
    vec![
        row(
            Server,
            "server.settings.op_types",
            "op types that a start takes",
            "entries",
            ("op_types", target.op_types),
        )
        .formula("one entry for each op type; past the bound the start is refused")
        .computed(SIZE_FILE.to_string() + " op_types", 1.0, 0.0)
        .within(code::MAX_REQUEST_CLASSES.value, "entry_kind.rs, MAX_REQUEST_CLASSES")
        .by_mechanism(CATALOG),
        row(Server, "server.settings.tenants", "tenants that a start takes", "entries", tenants)
            .formula("one entry for each tenant; past the bound the start is refused")
            .computed(SIZE_FILE.to_string() + " tenants", 1.0, 0.0)
            .within(code::MAX_TENANTS.value, "entry_kind.rs, MAX_TENANTS")
            .by_mechanism(CATALOG),
        row(Server, "server.settings.file", "the file that is read", "B", tenants)
            .formula("bytes of the file by tenants, with op types in the same proportion")
            .measured(&["server.file_bytes"], &[])
            .within(code::MAX_CONFIG_FILE_BYTES.value, "server_config.rs, MAX_FILE_BYTES")
            .by_mechanism(SERVER_CONFIG),
        row(Server, "server.settings.memory", "settings held, memory", "B", tenants)
            .formula("anonymous memory of an idle server by tenants, with op types in the same proportion")
            .measured(&["server.memory.anon_bytes"], &[])
            .within(budget.settings_memory_bytes, "budget.settings_memory_bytes")
            .by_mechanism(CATALOG),
    ]
}

/// Returns the rows of a server's memory.
fn memory(size: &SizeFile) -> Vec<Row> {
    use Role::Server;
    let target = &size.size;
    let budget = &size.budget;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    vec![
        row(Server, "server.talk.memory", "members, signals and shares, memory", "B", servers)
            .formula("heap that a server's end gives back")
            .measured(&["joint.state_bytes"], &["rest"])
            .measured(&["members.state_bytes"], &["rest"])
            .within(budget.control_memory_bytes, MEMORY_BUDGET)
            .by_mechanism(FLEET_NODE),
        row(Server, "server.memory", "memory for control, all", "B", servers)
            .formula("sum of the two above")
            .sum_of(&["server.settings.memory", "server.talk.memory"])
            .within(budget.control_memory_bytes, MEMORY_BUDGET)
            .by_mechanism(FLEET_NODE)
            .requires(&["server.settings.memory"]),
        row(
            Server,
            "server.learned.memory",
            "what is learned of tenants lately seen",
            "B",
            ("tenants_met", assumed.tenants_met_in_a_minute),
        )
        .formula("samples of each tenant met")
        .measured(&["server.learned.bytes"], &[])
        .within(budget.control_memory_bytes, MEMORY_BUDGET)
        .by_mechanism(RECENTLY_SEEN),
        row(
            Server,
            "server.learned.entries",
            "tenants of which something learned is kept",
            "entries",
            ("tenants_met", assumed.tenants_met_in_a_minute),
        )
        .formula(
            "one for each tenant met; past the bound those not seen for longest go, and are learned anew",
        )
        .computed(SIZE_FILE.to_string() + " tenants_met_in_a_minute", 1.0, 0.0)
        .within(code::RECENTLY_SEEN_CAPACITY.value, "recently_seen.rs, RECENTLY_SEEN_CAPACITY")
        .by_mechanism(RECENTLY_SEEN),
    ]
}

/// Returns the rows of a server's processor time.
fn processor_time(size: &SizeFile) -> Vec<Row> {
    use Role::Server;
    let target = &size.size;
    let budget = &size.budget;
    let servers = ("servers", target.servers);
    let tenants = ("tenants", target.tenants);
    vec![
        row(Server, "server.start.cpu", "CPU of a start", "s", tenants)
            .formula("settings read, checked and held, by tenants")
            .measured(&["server.start.cpu_s"], &[])
            .within(budget.in_force_s, IN_FORCE_BUDGET)
            .by_mechanism(SERVER_CONFIG),
        row(Server, "server.rest.cpu", "CPU at rest, reports and ticks", "of a core", tenants)
            .formula("a server without requests, by tenants")
            .measured(&["server.rest.cpu_share"], &[])
            .within(budget.control_cpu_share, CPU_BUDGET)
            .by_mechanism("crates/hazelspur-server/src/request/dispatcher.rs Dispatcher"),
        row(Server, "server.talk.cpu", "CPU of members, signals and shares", "of a core", servers)
            .formula("the machines' own code, without sockets")
            .measured_scaled(&["joint.cpu_us_per_s"], &["rest"], 1e-6, false)
            .measured_scaled(&["members.cpu_us_per_s"], &["rest"], 1e-6, false)
            .within(budget.control_cpu_share, CPU_BUDGET)
            .by_mechanism(FLEET_NODE),
        row(Server, "server.cpu", "CPU for control, all", "of a core", servers)
            .formula("sum of the two above")
            .sum_of(&["server.rest.cpu", "server.talk.cpu"])
            .within(budget.control_cpu_share, CPU_BUDGET)
            .by_mechanism(FLEET_NODE),
    ]
}

/// Returns the rows measured on a real server process among lightweight members.
fn process(size: &SizeFile) -> Vec<Row> {
    use Role::Server;
    let target = &size.size;
    let budget = &size.budget;
    let servers = ("servers", target.servers);
    vec![
        row(
            Server,
            "server.real.cpu",
            "CPU of a real server with nothing asked, on sockets",
            "of a core",
            servers,
        )
        .formula("a real process among hollow members, small tables")
        .measured(&["members.real.cpu_share"], &["rest"])
        .within(budget.control_cpu_share, CPU_BUDGET)
        .by_mechanism(GOSSIP_TRANSPORT),
        row(Server, "server.real.memory", "anonymous memory of the same", "B", servers)
            .formula("a real process among hollow members, small tables")
            .measured(&["members.real.anon_bytes"], &["rest"])
            .within(budget.control_memory_bytes, MEMORY_BUDGET)
            .by_mechanism(GOSSIP_TRANSPORT),
        row(Server, "server.real.bytes", "bytes that the same sends to others", "B/s", servers)
            .formula("by its datagrams' numbers and their mean length")
            .measured(&["members.real.bytes_out_per_s"], &["rest"])
            .within(budget.control_bytes_per_s, TRAFFIC_BUDGET)
            .by_mechanism(GOSSIP_TRANSPORT),
    ]
}

/// Returns the rows of the traffic that a server sends.
fn traffic(size: &SizeFile) -> Vec<Row> {
    use Role::Server;
    let target = &size.size;
    let budget = &size.budget;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    vec![
        row(Server, "server.talk.datagrams", "datagrams that the mean server sends", "1/s", servers)
            .formula("probes, answers, news, renewals of shares")
            .measured(&["joint.datagrams_out_per_s"], &["rest"])
            .measured(&["members.datagrams_out_per_s"], &["rest"])
            .by_mechanism(FLEET_NODE),
        row(Server, "server.talk.bytes", "bytes that the mean server sends to others", "B/s", servers)
            .formula("all datagrams of the talk, without heads of UDP and IP")
            .measured(&["joint.bytes_out_per_s"], &["rest"])
            .measured(&["members.bytes_out_per_s"], &["rest"])
            .within(budget.control_bytes_per_s, TRAFFIC_BUDGET)
            .by_mechanism(FLEET_NODE),
        row(Server, "server.reports.bytes", "bytes of reports to the list", "B/s", servers)
            .formula("bytes_per_report / 0.8 s, whatever the size")
            .computed(
                origins(&[&code::REPORT_INTERVAL]),
                0.0,
                assumed.bytes_per_report / code::REPORT_INTERVAL.value,
            )
            .within(budget.control_bytes_per_s, TRAFFIC_BUDGET)
            .by_mechanism(HEALTH_REPORTER),
        row(Server, "server.bytes", "bytes for control, all", "B/s", servers)
            .formula("sum of the two above")
            .sum_of(&["server.talk.bytes", "server.reports.bytes"])
            .within(budget.control_bytes_per_s, TRAFFIC_BUDGET)
            .by_mechanism(FLEET_NODE),
    ]
}

/// Returns the rows of a server's tables of the fleet.
fn tables(size: &SizeFile) -> Vec<Row> {
    use Role::Server;
    let target = &size.size;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    vec![
        row(Server, "server.talk.entries", "entries in the table of members", "entries", servers)
            .formula("one for each other server, and those lately gone")
            .measured(&["joint.entries"], &["rest"])
            .measured(&["members.entries"], &["rest"])
            .computed(SIZE_FILE.to_string() + " servers", 1.0, -1.0)
            .within(code::MAX_FLEET_SIZE.value * 2.0, "members, twice `most`")
            .by_mechanism(MEMBERSHIP),
        row(Server, "server.talk.most", "servers that may be at once (`most`)", "entries", servers)
            .formula("servers x most_over_servers")
            .computed(SIZE_FILE.to_string() + " most_over_servers", assumed.most_over_servers, 0.0)
            .within(code::MAX_FLEET_SIZE.value, "fleet_keys.rs, most")
            .by_mechanism(MEMBERSHIP),
        row(Server, "server.talk.sites", "sites that an operator is shown", "sites", ("zones", target.zones))
            .formula("one for each zone")
            .computed(SIZE_FILE.to_string() + " zones", 1.0, 0.0)
            .within(datagram::MAX_QUERY_SITES as f64, "datagram/mod.rs, MAX_QUERY_SITES")
            .by_mechanism("crates/hazelspur-fleet/src/datagram/body.rs Body"),
    ]
}

/// Returns the rows of a server's connections and clients.
fn connections(size: &SizeFile) -> Vec<Row> {
    use Role::Server;
    let target = &size.size;
    let assumed = &size.assumed;
    let clients = ("callers", target.callers);
    let connections_per_client = assumed.servers_a_caller_keeps * assumed.connections_per_caller_and_server;
    let gateway_descriptors = code::DEFAULT_SOCKET_LIMIT.value
        - code::RESERVED_DESCRIPTORS.value
        - code::MAX_DEPENDENCY_CALLS.value
        - code::MAX_CLOSING_CONNECTIONS.value;
    vec![
        row(
            Server,
            "server.descriptors",
            "connections of callers at the mean server",
            "descriptors",
            clients,
        )
        .formula("callers x servers_a_caller_keeps x connections_per_caller_and_server / servers")
        .computed(SIZE_FILE, connections_per_client / target.servers, 0.0)
        .within(gateway_descriptors, "descriptors.rs, of 1,024")
        .by_mechanism("crates/hazelspur-server/src/process/descriptors.rs Descriptors"),
        row(
            Server,
            "server.descriptors.spread",
            "the same, by how many servers a caller keeps open",
            "descriptors",
            ("servers_a_caller_keeps", assumed.servers_a_caller_keeps),
        )
        .formula("callers x servers_a_caller_keeps x connections_per_caller_and_server / servers")
        .computed(SIZE_FILE, target.callers * assumed.connections_per_caller_and_server / target.servers, 0.0)
        .within(gateway_descriptors, "descriptors.rs, of 1,024")
        .by_mechanism("crates/hazelspur-server/src/process/descriptors.rs Descriptors"),
        row(Server, "server.callers", "callers that the module remembers", "entries", clients)
            .formula("callers x servers_a_caller_keeps / servers")
            .computed(SIZE_FILE, assumed.servers_a_caller_keeps / target.servers, 0.0)
            .within(code::LAST_SEEN_CAPACITY.value, "last_seen.rs, LAST_SEEN_CAPACITY")
            .by_mechanism(LAST_SEEN),
    ]
}

/// Returns the rows of the latency and the look-up cost that a server adds to a request.
fn latency(size: &SizeFile) -> Vec<Row> {
    use Role::Server;
    let target = &size.size;
    let budget = &size.budget;
    let tenants = ("tenants", target.tenants);
    let mean_rate = target.requests_per_s / target.servers;
    let p99 = |name, description, zones_left: f64| {
        row(Server, name, description, "ms", ("rate_per_s", mean_rate * target.zones / zones_left))
            .formula("as measured, open loop, the runtime's own time taken out")
            .measured(&["path.added.p99_ms"], LARGE_TABLE_CASES)
            .within(budget.added_p99_ms, "budget.added_p99_ms")
            .by_mechanism(CONTROLLER)
    };
    vec![
        p99("server.added.six_zones", "added latency, 99 in 100, all zones", target.zones),
        p99("server.added.one_lost", "the same, one zone lost", target.zones - 1.0),
        p99(
            "server.added.region_lost",
            "the same, one region lost",
            target.zones * (target.regions - 1.0) / target.regions,
        ),
        row(Server, "server.lookups", "cost of an op's look-ups, large tables over small", "times", tenants)
            .formula("as measured")
            .measured(&["path.lookup_ratio"], &["cpu"])
            .within(budget.lookup_ratio, "budget.lookup_ratio")
            .by_mechanism(TABLE),
    ]
}
