//! Rows of events: starts, losses, partitions, deploys and changes.

use super::{
    AGREEMENT_FIGURES, CPU_BUDGET, FLEET_NODE, GOSSIP_TRANSPORT, IN_FORCE_BUDGET, MEMBERSHIP, QUOTA_MANAGER,
    RELOADER, Role, Row, SIZE_FILE, TRAFFIC_BUDGET, row,
};
use crate::capacity::size::SizeFile;
use hazelspur_fleet::quota;

/// Returns the rows of events, in the order of the page.
pub(super) fn events(size: &SizeFile) -> Vec<Row> {
    [request_load(size), agreement_rows(size), deploys_and_losses(size), changes(size)]
        .into_iter()
        .flatten()
        .collect()
}

/// Returns a row of the requests per second at one server when `servers_left` servers share them.
fn requests_per_server(
    size: &SizeFile,
    name: &'static str,
    description: &'static str,
    servers_left: f64,
    divisor: &str,
) -> Row {
    row(Role::Event, name, description, "1/s", ("requests_per_s", size.size.requests_per_s))
        .formula(format!("requests_per_s / {divisor}"))
        .computed(SIZE_FILE, 1.0 / servers_left, 0.0)
        .by_mechanism("none of ours: gateways choose")
}

/// Returns a row of the time until all servers have the same view of the members.
fn agreement_time(
    size: &SizeFile,
    name: &'static str,
    description: &'static str,
    cases: &'static [&'static str],
) -> Row {
    row(Role::Event, name, description, "s", ("servers", size.size.servers))
        .formula("until all have one picture, worst seed")
        .measured_worst_seed(&AGREEMENT_FIGURES, cases)
        .within(size.budget.in_force_s, IN_FORCE_BUDGET)
        .by_mechanism(MEMBERSHIP)
}

/// Returns a row of the bytes that the busiest server sends in its busiest second.
fn busiest_second_bytes(
    size: &SizeFile,
    name: &'static str,
    description: &'static str,
    cases: &'static [&'static str],
) -> Row {
    row(Role::Event, name, description, "B/s", ("servers", size.size.servers))
        .formula("the busiest server's busiest second, worst seed")
        .measured_worst_seed(&["joint.most_bytes_out_in_a_second"], cases)
        .measured_worst_seed(&["members.most_bytes_out_in_a_second"], cases)
        .within(size.budget.control_bytes_per_s, TRAFFIC_BUDGET)
        .by_mechanism(FLEET_NODE)
}

/// Returns a row of the time until the quota leases are settled.
fn quota_settling_time(
    size: &SizeFile,
    name: &'static str,
    description: &'static str,
    cases: &'static [&'static str],
) -> Row {
    row(Role::Event, name, description, "s", ("servers", size.size.servers))
        .formula("until shares are settled, worst seed")
        .measured_worst_seed(&["shares.of_1.settle_s"], cases)
        .within(size.budget.in_force_s, IN_FORCE_BUDGET)
        .by_mechanism(QUOTA_MANAGER)
}

/// Returns the rows of requests at a server, with all servers and after losses.
fn request_load(size: &SizeFile) -> Vec<Row> {
    let target = &size.size;
    let assumed = &size.assumed;
    let servers_without_region = target.servers * (target.regions - 1.0) / target.regions;
    let servers_without_zone = target.servers * (target.zones - 1.0) / target.zones;
    let servers_at_mean_load = target.servers * assumed.busiest_minute_over_mean;
    vec![
        requests_per_server(
            size,
            "event.mean.requests",
            "requests at a server, the day's mean",
            servers_at_mean_load,
            "(busiest_minute_over_mean x servers)",
        ),
        requests_per_server(
            size,
            "event.minute.requests",
            "the busiest minute, all zones",
            target.servers,
            "servers",
        ),
        requests_per_server(
            size,
            "event.zone_lost.requests",
            "the same, one zone lost",
            servers_without_zone,
            "servers of the zones left",
        ),
        requests_per_server(
            size,
            "event.region_lost.requests",
            "the same, one region lost",
            servers_without_region,
            "servers of the regions left",
        ),
        requests_per_server(
            size,
            "event.rack_lost.requests",
            "the same, a rack gone",
            target.servers - assumed.servers_per_rack,
            "(servers - servers_per_rack)",
        ),
    ]
}

/// Returns the rows of agreement on the members after starts, losses and partitions.
fn agreement_rows(size: &SizeFile) -> Vec<Row> {
    use Role::Event;
    let target = &size.size;
    let budget = &size.budget;
    let servers = ("servers", target.servers);
    vec![
        agreement_time(size, "event.storm.agree", "all start within a second: one picture", &["storm"]),
        row(
            Event,
            "event.storm.agree.real",
            "the same on real sockets, as real servers show it",
            "s",
            servers,
        )
        .formula("until the real servers show all as alive, worst seed")
        .measured_worst_seed(&["hollow/members.agree_s"], &["storm"])
        .within(budget.in_force_s, IN_FORCE_BUDGET)
        .by_mechanism(GOSSIP_TRANSPORT),
        agreement_time(
            size,
            "event.zone_lost.agree",
            "a zone lost: one picture of those left",
            &["zone lost"],
        ),
        agreement_time(size, "event.zone_back.agree", "a zone back cold: one picture", &["zone back"]),
        busiest_second_bytes(
            size,
            "event.zone_back.bytes",
            "a zone back cold: the busiest server's bytes",
            &["zone back"],
        ),
        agreement_time(
            size,
            "event.regions_healed.agree",
            "regions apart for a minute, healed: one picture",
            &["regions healed"],
        ),
        busiest_second_bytes(
            size,
            "event.regions_healed.bytes",
            "regions healed: the busiest server's bytes",
            &["regions healed"],
        ),
        quota_settling_time(
            size,
            "event.regions_healed.shares",
            "regions healed: shares settled",
            &["regions apart for 60 s"],
        ),
    ]
}

/// Returns the rows of deploys and lost servers.
fn deploys_and_losses(size: &SizeFile) -> Vec<Row> {
    use Role::Event;
    let target = &size.size;
    let budget = &size.budget;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    let servers_out_limit = assumed.out_at_once_share * target.servers;
    let voters = quota::MAX_VOTERS as f64;
    vec![
        agreement_time(
            size,
            "event.deploy.agree",
            "restarts in a bunch: one picture after the last",
            &["bunched restarts, after the last"],
        ),
        row(
            Event,
            "event.deploy.out",
            "servers out at once in a deploy",
            "servers",
            ("restarts", assumed.restarts_per_deploy),
        )
        .formula("restarts_per_deploy x restart_out_s / deploy_min")
        .computed(SIZE_FILE, assumed.restart_out_s / (assumed.deploy_min * 60.0), 0.0)
        .within(servers_out_limit, "assumed.out_at_once_share")
        .by_mechanism("crates/hazelspur-server/src/process/phases.rs Phases"),
        row(Event, "event.rack_lost.noticed", "a rack gone: noticed, 99 in 100", "s", servers)
            .formula("until a server holds one of them for lost")
            .measured_worst_seed(&["members.noticed_p99_s"], &[])
            .within(budget.in_force_s, IN_FORCE_BUDGET)
            .by_mechanism(MEMBERSHIP),
        quota_settling_time(
            size,
            "event.divider_ends.shares",
            "the divider dies: shares settled",
            &["divider ends"],
        ),
        row(
            Event,
            "event.keeper_dies.votes",
            "a keeper dies: keepers lost, of those that may be",
            "keepers",
            ("keepers", 1.0),
        )
        .formula("one at a time; a minority of 9 may go")
        .computed("crates/hazelspur-fleet/src/quota/mod.rs MAX_VOTERS", 1.0, 0.0)
        .within((voters - 1.0) / 2.0, "a minority of MAX_KEEPERS")
        .by_mechanism("crates/hazelspur-fleet/src/quota/election.rs Voter"),
    ]
}

/// Returns the rows of changes of the configuration.
fn changes(size: &SizeFile) -> Vec<Row> {
    use Role::Event;
    let target = &size.size;
    let budget = &size.budget;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    let changes_per_s = assumed.changes_in_busiest_minute / 60.0;
    let servers_out_limit = assumed.out_at_once_share * target.servers;
    vec![
        row(
            Event,
            "event.changes.cpu",
            "30 changes in a minute, each a file read again",
            "of a core",
            ("tenants", target.tenants),
        )
        .formula("changes_in_busiest_minute / 60 s x CPU of a reload, else of a start")
        .measured_scaled(&["server.reload.cpu_s"], &[], changes_per_s, false)
        .measured_scaled(&["server.start.cpu_s"], &[], changes_per_s, false)
        .within(budget.control_cpu_share, CPU_BUDGET)
        .by_mechanism(RELOADER),
        row(
            Event,
            "event.changes.stall",
            "the same: part of a minute in which nothing else is done",
            "of the time",
            ("tenants", target.tenants),
        )
        .formula("changes_in_busiest_minute / 60 s x the longest health check in a reload; 1 in 100 may wait")
        .measured_scaled(&["server.reload.stall_s"], &[], changes_per_s, false)
        .within(0.01, "99 in 100")
        .by_mechanism(RELOADER),
        row(Event, "event.changes.restarts", "30 changes in a minute: restarts in it", "1/min", servers)
            .formula("changes_in_busiest_minute x changes_that_need_a_restart x servers")
            .computed(
                SIZE_FILE.to_string() + " changes_that_need_a_restart",
                assumed.changes_in_busiest_minute * assumed.changes_that_need_a_restart,
                0.0,
            )
            .within(servers_out_limit * 60.0 / assumed.restart_out_s, "assumed.out_at_once_share")
            .by_mechanism(RELOADER)
            .requires(&["config.restarts"]),
    ]
}
