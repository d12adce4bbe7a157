//! Rows of what all servers share: the registry, the dependency, and the links between zones and regions.

use super::{HEALTH_REPORTER, MEMBERSHIP, QUOTA_MANAGER, Role, Row, SIZE_FILE, origins, row};
use crate::capacity::constants as code;
use crate::capacity::size::SizeFile;
use hazelspur_fleet::circuit_breaker;

/// Returns the rows of the registry, in the order of the page.
pub(super) fn registry(size: &SizeFile) -> Vec<Row> {
    use Role::Registry;
    let (target, assumed) = (&size.size, &size.assumed);
    let servers = ("servers", target.servers);
    let interval_origin = origins(&[&code::REPORT_INTERVAL]);
    vec![
        row(Registry, "list.reports", "reports a second, each on a connection of its own", "1/s", servers)
            .formula("servers / 0.8 s")
            .computed(interval_origin.clone(), 1.0 / code::REPORT_INTERVAL.value, 0.0)
            .within(assumed.list_reports_per_s, "assumed.list_reports_per_s")
            .by_mechanism(HEALTH_REPORTER),
        row(Registry, "list.reports.refused", "the same while it refuses each at once", "1/s", servers)
            .formula("servers / 0.25 s")
            .computed(origins(&[&code::REPORT_RETRY_INTERVAL]), 1.0 / code::REPORT_RETRY_INTERVAL.value, 0.0)
            .within(assumed.list_reports_per_s, "assumed.list_reports_per_s")
            .by_mechanism(HEALTH_REPORTER),
        row(
            Registry,
            "list.peak",
            "most reports in 20 ms over the mean, after it was gone",
            "times",
            servers,
        )
        .formula("as simulated; chance alone gives about as much")
        .measured(&["list.most_over_mean"], &["spread"])
        .by_mechanism(HEALTH_REPORTER),
        row(Registry, "list.bytes", "bytes of all reports", "B/s", servers)
            .formula("servers x bytes_per_report / 0.8 s")
            .computed(interval_origin, assumed.bytes_per_report / code::REPORT_INTERVAL.value, 0.0)
            .by_mechanism(HEALTH_REPORTER),
    ]
}

/// Returns the rows of the shared dependency, in the order of the page.
pub(super) fn shared_dependency(size: &SizeFile) -> Vec<Row> {
    [dependency_load(size), dependency_loss(size)].into_iter().flatten().collect()
}

/// Returns the rows of calls and connections at the shared dependency.
fn dependency_load(size: &SizeFile) -> Vec<Row> {
    use Role::SharedDependency;
    let target = &size.size;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    vec![
        row(
            SharedDependency,
            "dependency.calls",
            "calls at once at the peak",
            "calls",
            ("requests_per_s", target.requests_per_s),
        )
        .formula("requests_per_s x calls_per_op x mean_call_ms")
        .computed(SIZE_FILE, assumed.calls_per_op * assumed.mean_call_ms / 1000.0, 0.0)
        .within(assumed.dependency_calls_at_once, "assumed.dependency_calls_at_once")
        .by_mechanism(QUOTA_MANAGER),
        row(
            SharedDependency,
            "dependency.connections",
            "connections, the most that may be",
            "connections",
            servers,
        )
        .formula("servers x 64")
        .computed(origins(&[&code::MAX_DEPENDENCY_CALLS]), code::MAX_DEPENDENCY_CALLS.value, 0.0)
        .within(assumed.dependency_connections, "assumed.dependency_connections")
        .by_mechanism("crates/hazelspur-server/src/upstream/dependency.rs DependencyClient"),
        row(
            SharedDependency,
            "dependency.connections.idle",
            "connections kept while nothing is called",
            "connections",
            servers,
        )
        .formula("servers x 16")
        .computed(
            origins(&[&code::MAX_IDLE_DEPENDENCY_CONNECTIONS]),
            code::MAX_IDLE_DEPENDENCY_CONNECTIONS.value,
            0.0,
        )
        .within(assumed.dependency_connections, "assumed.dependency_connections")
        .by_mechanism("crates/hazelspur-server/src/upstream/dependency.rs DependencyClient"),
    ]
}

/// Returns the rows of probes of an unavailable dependency, and of the load when it recovers.
fn dependency_loss(size: &SizeFile) -> Vec<Row> {
    use Role::SharedDependency;
    let target = &size.size;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    let designated_rate = 1.0 / code::DESIGNATED_PROBE_INTERVAL.value;
    let other_rate = 1.0 / code::OTHER_PROBE_INTERVAL.value;
    let designated_probers = circuit_breaker::DESIGNATED_PROBERS as f64;
    vec![
        row(
            SharedDependency,
            "dependency.tries_while_gone",
            "tries a second while it is gone, with talk",
            "1/s",
            servers,
        )
        .formula("6 chosen every 0.25 s, all others every 4 s")
        .computed(
            origins(&[&code::DESIGNATED_PROBE_INTERVAL, &code::OTHER_PROBE_INTERVAL]),
            other_rate,
            designated_probers * (designated_rate - other_rate),
        )
        .within(assumed.tries_at_a_lost_dependency_per_s, "assumed.tries_at_a_lost_dependency_per_s")
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

/// Returns the rows of links between zones and regions, in the order of the page.
pub(super) fn links(size: &SizeFile) -> Vec<Row> {
    [zone_links(size), region_links(size)].into_iter().flatten().collect()
}

/// Returns the rows of the link between two zones.
fn zone_links(size: &SizeFile) -> Vec<Row> {
    let target = &size.size;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    let role = Role::LinkBetweenZones;
    // Peers are chosen uniformly, so a datagram's sender and receiver are in one given pair of zones, in
    // either direction, with this probability.
    let pair_share = 2.0 / (target.zones * target.zones);
    let gossip_bytes = &["joint.bytes_out_per_s"];
    vec![
        row(role, "zones.datagrams", "datagrams of the talk between two zones, both ways", "1/s", servers)
            .formula("servers x datagrams of a server x 2 / zones squared")
            .measured_scaled(&["joint.datagrams_out_per_s"], &["rest"], pair_share, true)
            .measured_scaled(&["members.datagrams_out_per_s"], &["rest"], pair_share, true)
            .by_mechanism(MEMBERSHIP),
        row(role, "zones.bytes", "talk between two zones, both ways", "B/s", servers)
            .formula(
                "servers x bytes of a server x 2 / zones squared: all are asked alike, wherever they stand",
            )
            .measured_scaled(gossip_bytes, &["rest"], pair_share, true)
            .measured_scaled(&["members.bytes_out_per_s"], &["rest"], pair_share, true)
            .within(assumed.zone_link_bytes_per_s, "assumed.zone_link_bytes_per_s")
            .by_mechanism(MEMBERSHIP),
    ]
}

/// Returns the rows of the links between regions.
fn region_links(size: &SizeFile) -> Vec<Row> {
    let target = &size.size;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    let role = Role::LinkBetweenRegions;
    // Peers are chosen uniformly, so this share of the datagrams crosses from one region to another.
    let cross_region_share = 1.0 - 1.0 / target.regions;
    let gossip_bytes = &["joint.bytes_out_per_s"];
    vec![
        row(role, "regions.bytes", "talk between the regions, both ways", "B/s", servers)
            .formula("servers x bytes of a server x (1 - 1 / regions)")
            .measured_scaled(gossip_bytes, &["rest"], cross_region_share, true)
            .measured_scaled(&["members.bytes_out_per_s"], &["rest"], cross_region_share, true)
            .within(assumed.region_link_bytes_per_s, "assumed.region_link_bytes_per_s")
            .by_mechanism(MEMBERSHIP),
        row(
            role,
            "regions.datagrams",
            "datagrams of the talk between the regions, both ways",
            "1/s",
            servers,
        )
        .formula("servers x datagrams of a server x (1 - 1 / regions)")
        .measured_scaled(&["joint.datagrams_out_per_s"], &["rest"], cross_region_share, true)
        .measured_scaled(&["members.datagrams_out_per_s"], &["rest"], cross_region_share, true)
        .by_mechanism(MEMBERSHIP),
        row(role, "regions.bytes.storm", "the same while all start", "B/s", servers)
            .formula("the same, mean of the window after the storm began")
            .measured_scaled(gossip_bytes, &["storm"], cross_region_share, true)
            .measured_scaled(&["members.bytes_out_per_s"], &["storm"], cross_region_share, true)
            .within(assumed.region_link_bytes_per_s, "assumed.region_link_bytes_per_s")
            .by_mechanism(MEMBERSHIP),
        row(
            role,
            "regions.names",
            "a word for the region that a zone belongs to",
            "",
            ("regions", target.regions),
        )
        .formula("members know sites; probes, votes and middles of sites go by these alone")
        .no_mechanism("none: crates/hazelspur-fleet/src/names.rs SiteName"),
    ]
}
