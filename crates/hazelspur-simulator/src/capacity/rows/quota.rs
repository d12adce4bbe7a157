//! Rows of the quota's allocator and voters.

use super::{
    ALLOCATOR, CPU_BUDGET, IN_FORCE_BUDGET, MEMORY_BUDGET, QUOTA_MANAGER, Role, Row, SIZE_FILE,
    TRAFFIC_BUDGET, origins, row,
};
use crate::capacity::constants as code;
use crate::capacity::size::SizeFile;
use hazelspur_fleet::{datagram, quota};

/// Returns the rows of the allocator and the voters, in the order of the page.
pub(super) fn voter_and_allocator(size: &SizeFile) -> Vec<Row> {
    [allocator_traffic(size), processes(size), limits(size)].into_iter().flatten().collect()
}

/// Returns the rows of the allocator's messages and bytes.
fn allocator_traffic(size: &SizeFile) -> Vec<Row> {
    use Role::VoterAndAllocator;
    let target = &size.size;
    let budget = &size.budget;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    // Each renewal of a server's lease is one request and one reply.
    let messages_per_s = 2.0 / (code::VOTE_DURATION.value * code::LEASE_RENEWAL_FRACTION.value);
    let lease_origins = origins(&[&code::LEASE_RENEWAL_FRACTION, &code::VOTE_DURATION]);
    vec![
        row(
            VoterAndAllocator,
            "divider.messages",
            "messages at the divider, in and out, one limit",
            "1/s",
            servers,
        )
        .formula("a question and an answer for each server and renewal")
        .measured(&["shares.of_1.divider_messages_per_s"], &["none"])
        .computed(lease_origins.clone(), messages_per_s, 0.0)
        .by_mechanism(ALLOCATOR),
        row(
            VoterAndAllocator,
            "divider.bytes",
            "bytes at the divider, in and out, one limit",
            "B/s",
            servers,
        )
        .formula("the same messages; without a measure x bytes_per_datagram")
        .measured(&["shares.of_1.divider_bytes_per_s"], &["none"])
        .computed(lease_origins, messages_per_s * assumed.bytes_per_datagram, 0.0)
        .within(budget.control_bytes_per_s, TRAFFIC_BUDGET)
        .by_mechanism(ALLOCATOR)
        .requires(&["control.program"]),
        row(VoterAndAllocator, "divider.bytes.sixteen", "the same, 16 limits", "B/s", servers)
            .formula("as simulated")
            .measured(&["shares.of_16.divider_bytes_per_s"], &["none"])
            .within(budget.control_bytes_per_s, TRAFFIC_BUDGET)
            .by_mechanism(ALLOCATOR)
            .requires(&["control.program"]),
        row(
            VoterAndAllocator,
            "divider.busiest",
            "bytes that the busiest server sends, all of the talk",
            "B/s",
            servers,
        )
        .formula("members, signals and shares of one limit; the busiest is the divider")
        .measured(&["joint.busiest_bytes_out_per_s"], &["rest"])
        .within(budget.control_bytes_per_s, TRAFFIC_BUDGET)
        .by_mechanism(ALLOCATOR)
        .requires(&["control.program"]),
    ]
}

/// Returns the rows measured on real processes of the allocator and of a voter.
fn processes(size: &SizeFile) -> Vec<Row> {
    use Role::VoterAndAllocator;
    let target = &size.size;
    let budget = &size.budget;
    let servers = ("servers", target.servers);
    vec![
        row(VoterAndAllocator, "divider.cpu", "CPU of the divider", "of a core", servers)
            .formula("as measured on a real process")
            .measured(&["members.divider.cpu_share"], &[])
            .within(budget.control_cpu_share, CPU_BUDGET)
            .by_mechanism(ALLOCATOR)
            .requires(&["control.program"]),
        row(
            VoterAndAllocator,
            "divider.real.bytes",
            "bytes that a real divider sends, one limit",
            "B/s",
            servers,
        )
        .formula("by its datagrams' numbers and their mean length")
        .measured(&["members.divider.bytes_out_per_s"], &["rest"])
        .within(budget.control_bytes_per_s, TRAFFIC_BUDGET)
        .by_mechanism(ALLOCATOR)
        .requires(&["control.program"]),
        row(VoterAndAllocator, "divider.real.memory", "anonymous memory of the same", "B", servers)
            .formula("a real process among hollow members")
            .measured(&["members.divider.anon_bytes"], &["rest"])
            .within(budget.control_memory_bytes, MEMORY_BUDGET)
            .by_mechanism(ALLOCATOR),
        row(VoterAndAllocator, "keeper.cpu", "CPU of a keeper that does not divide", "of a core", servers)
            .formula("a real process among hollow members")
            .measured(&["members.keeper.cpu_share"], &["rest"])
            .within(budget.control_cpu_share, CPU_BUDGET)
            .by_mechanism("crates/hazelspur-fleet/src/quota/election.rs Voter"),
        row(VoterAndAllocator, "keeper.bytes", "bytes that the same sends", "B/s", servers)
            .formula("by its datagrams' numbers and their mean length")
            .measured(&["members.keeper.bytes_out_per_s"], &["rest"])
            .within(budget.control_bytes_per_s, TRAFFIC_BUDGET)
            .by_mechanism("crates/hazelspur-fleet/src/quota/election.rs Voter"),
    ]
}

/// Returns the rows of shared limits and their datagrams.
fn limits(size: &SizeFile) -> Vec<Row> {
    use Role::VoterAndAllocator;
    let target = &size.size;
    let budget = &size.budget;
    let assumed = &size.assumed;
    let servers = ("servers", target.servers);
    // Share of a limit that one region's servers hold without the allocator.
    let guaranteed_share = code::GUARANTEED_FRACTION.value / (target.regions * assumed.most_over_servers);
    let tenants = ("tenants", target.tenants);
    let tenant_share_near_quota = assumed.tenants_near_their_quota / target.tenants;
    vec![
        row(VoterAndAllocator, "divider.entries", "entries in the divider's table", "entries", servers)
            .formula("one for each server that asks")
            .computed(SIZE_FILE.to_string() + " servers", 1.0, 0.0)
            .within(2.0 * assumed.most_over_servers * target.servers, "divide.rs, twice `most`")
            .by_mechanism(ALLOCATOR),
        row(VoterAndAllocator, "shares.limits", "limits that must be shared at one time", "limits", tenants)
            .formula("tenants near their quota, and calls")
            .computed(SIZE_FILE.to_string() + " tenants_near_their_quota", tenant_share_near_quota, 1.0)
            .within(quota::MAX_LIMITS as f64, "quota/mod.rs, MAX_LIMITS")
            .by_mechanism(QUOTA_MANAGER)
            .requires(&["config.in_force", "divider.bytes"]),
        row(VoterAndAllocator, "shares.datagram", "bytes of one demand for that many limits", "B", tenants)
            .formula("two amounts of 4 bytes for each limit, in one datagram")
            .computed("shares/mod.rs Word::Want", tenant_share_near_quota * 8.0, 8.0)
            .within(datagram::MAX_DATAGRAM_BYTES as f64, "datagram/mod.rs, MAX_DATAGRAM_BYTES")
            .by_mechanism("crates/hazelspur-fleet/src/quota/message.rs QuotaMessage")
            .requires(&["shares.limits"]),
        row(
            VoterAndAllocator,
            "shares.region_alone",
            "what a region needs of a limit over what it has without a vote",
            "times",
            ("regions", target.regions),
        )
        .formula("share_of_a_region_alone / (floor of the limit x its servers / `most`)")
        .computed(
            origins(&[&code::GUARANTEED_FRACTION]),
            0.0,
            assumed.share_of_a_region_alone / guaranteed_share,
        )
        .within(1.0, "all that it needs")
        .by_mechanism("crates/hazelspur-fleet/src/quota/config.rs QuotaConfig")
        .requires(&["regions.names"]),
        row(
            VoterAndAllocator,
            "shares.settle.replaced",
            "shares settled, two in five servers replaced",
            "s",
            servers,
        )
        .formula("from the beginning of the trouble, worst seed")
        .measured_worst_seed(&["shares.of_1.settle_s"], &["two in five replaced in 7 s"])
        .within(budget.in_force_s, IN_FORCE_BUDGET)
        .by_mechanism(QUOTA_MANAGER),
    ]
}
