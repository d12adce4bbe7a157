//! Rows of clients, of the configuration and of control machines.

use super::{
    FLEET_NODE, IN_FORCE_BUDGET, RELOADER, Role, Row, SECONDS_PER_DAY, SIZE_FILE, TRAFFIC_BUDGET, row,
};
use crate::capacity::size::SizeFile;

/// Returns the rows of a client, in the order of the page.
pub(super) fn client(size: &SizeFile) -> Vec<Row> {
    use Role::Client;
    let (target, assumed) = (&size.size, &size.assumed);
    let servers = ("servers", target.servers);
    vec![
        row(Client, "caller.connections", "connections of one caller process", "descriptors", servers)
            .formula("servers_a_caller_keeps x connections_per_caller_and_server")
            .computed(
                SIZE_FILE,
                0.0,
                assumed.servers_a_caller_keeps * assumed.connections_per_caller_and_server,
            )
            .by_mechanism("none of ours: gateways choose"),
        row(Client, "caller.most_load", "most loaded server over the mean, by subsets", "times", servers)
            .formula("4 of all by rendezvous, as many choosers as servers")
            .measured(&["subsets.most_over_mean"], &["rendezvous"])
            .within(assumed.most_over_mean_load, "assumed.most_over_mean_load")
            .by_mechanism("crates/hazelspur-fleet/src/subset.rs select"),
        row(
            Client,
            "caller.tries",
            "tries of an op at one and a half times what the cores do",
            "tries",
            servers,
        )
        .formula("as simulated")
        .measured(&["choices.tries_per_op"], &["crowded"])
        .by_mechanism(FLEET_NODE),
    ]
}

/// Returns the rows of the configuration, in the order of the page.
pub(super) fn configuration(size: &SizeFile) -> Vec<Row> {
    use Role::Configuration;
    let (target, budget, assumed) = (&size.size, &size.budget, &size.assumed);
    let servers = ("servers", target.servers);
    vec![
        row(Configuration, "config.restarts", "restarts a day for changes alone", "1/day", servers)
            .formula("changes_per_day x changes_that_need_a_restart x servers")
            .computed(
                SIZE_FILE.to_string() + " changes_that_need_a_restart",
                target.changes_per_day * assumed.changes_that_need_a_restart,
                0.0,
            )
            .within(target.restarts_per_day, "size.restarts_per_day")
            .by_mechanism(RELOADER)
            .requires(&["server.settings.op_types", "server.settings.tenants", "server.settings.memory"]),
        row(Configuration, "config.in_force", "a change in force everywhere, worst", "s", servers)
            .formula("from the push until the last server has it in force")
            .measured_worst_seed(&["revisions.in_force_s"], &["rest"])
            .within(budget.in_force_s, IN_FORCE_BUDGET)
            .no_mechanism("none: each server reads its own file")
            .requires(&["config.restarts"]),
        row(Configuration, "config.catch_up", "what a newcomer or a region back asks for", "B", servers)
            .formula("revisions since its file, or the whole in parts")
            .measured(&["revisions.catch_up_bytes"], &[])
            .no_mechanism("none: a start goes by its file, however old")
            .requires(&["config.in_force"]),
        row(Configuration, "config.overlap", "two revisions at once are safe", "kinds", servers)
            .formula("for each kind of key what old and new can do together")
            .no_mechanism("for one server alone: src/config/change.rs Change")
            .requires(&["config.in_force"]),
        row(Configuration, "config.staged", "roll-out in stages, judged by figures", "stages", servers)
            .formula("a part of the servers first")
            .no_mechanism("none")
            .requires(&["config.in_force", "config.overlap"]),
        row(Configuration, "config.bytes", "bytes of changes on an ordinary day, a server", "B/s", servers)
            .formula("changes_per_day x bytes_per_change / 86,400 s, taken in once by each")
            .computed(SIZE_FILE, 0.0, target.changes_per_day * assumed.bytes_per_change / SECONDS_PER_DAY)
            .within(budget.control_bytes_per_s, TRAFFIC_BUDGET)
            .by_mechanism("none yet: what config.in_force would carry"),
    ]
}

/// Returns the rows of a control machine, in the order of the page.
pub(super) fn control_machine() -> Vec<Row> {
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
            .requires(&["control.program"]),
    ]
}
