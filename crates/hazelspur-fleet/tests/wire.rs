//! The bytes of each kind of datagram, written and read, and the fingerprint of a quota configuration.
//! Servers of two versions run beside each other while an installation is upgraded, so neither may change by
//! accident.

use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::datagram::{
    self, AllocationSummary, CoordinationState, MemberRow, ShareSummary, SiteSize,
};
use hazelspur_fleet::load_reports::{AggregatedLoad, FaultScope, PeerLoadReport};
use hazelspur_fleet::quota::{
    ConfigFingerprint, LeaseGrant, LeaseRequest, QuotaConfig, QuotaMessage, SharedLimit, VoteResponse,
};
use hazelspur_fleet::{
    Body, Datagram, FleetSize, Generation, Incarnation, Installation, Key, LimitName, LocalStatus,
    MemberName, MemberState, MemberStatus, MemberUpdate, SiteName,
};

/// One line for each datagram: its name and its bytes in hexadecimal digits.
const FIXED: &str = include_str!("wire-v2.txt");
const SENT_MS: u64 = 1_700_000_000_000;

fn member(text: &str) -> MemberName {
    MemberName::new(text).expect("a name")
}

fn update(text: &str, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        name: member(text),
        site: SiteName::new("east").expect("a name"),
        address: "10.1.2.3:7000".parse().expect("an address"),
        generation: Generation(1_699_999_999_000),
        incarnation: Incarnation(3),
        state,
    }
}

fn with_body(body: Body) -> Datagram {
    Datagram {
        installation: Installation::new("bread").expect("a name"),
        sender: update("n1", MemberState::Alive),
        sequence: 300,
        sent_ms: SENT_MS,
        body,
        load_report: None,
        updates: Vec::new(),
    }
}

fn quota(message: QuotaMessage) -> Datagram {
    with_body(Body::Quota { fingerprint: ConfigFingerprint(0x0123_4567_89ab_cdef), message })
}

fn about_members() -> Vec<(&'static str, Datagram)> {
    let other = "[2001:db8::7]:7001".parse().expect("an address");
    let v6 = MemberUpdate { address: other, ..update("n5", MemberState::Suspected(member("n4"))) };
    let updates = [
        v6,
        update("n6", MemberState::Leaving),
        update("n7", MemberState::Left),
        update("n8", MemberState::Alive),
    ];
    let report = |unreached| {
        Some(PeerLoadReport { latency_ratio: 1.5, unreachable_fraction: unreached, rejected_fraction: 0.25 })
    };
    vec![
        ("ping", with_body(Body::Ping { number: 70_000, to: Some(member("n2")) })),
        ("ping-unknown", with_body(Body::Ping { number: 1, to: None })),
        ("ack", with_body(Body::Ack { number: u32::MAX })),
        ("ping-for", with_body(Body::PingRequest { number: 9, target: member("n2"), target_address: other })),
        ("gossip", Datagram { updates: updates.to_vec(), ..with_body(Body::Gossip) }),
        ("gossip-word", Datagram { load_report: report(Some(0.5)), ..with_body(Body::Gossip) }),
        ("gossip-word-without-calls", Datagram { load_report: report(None), ..with_body(Body::Gossip) }),
        ("ask", with_body(Body::MemberListRequest { after: Some(member("n2")) })),
        ("ask-from-the-start", with_body(Body::MemberListRequest { after: None })),
        ("page", with_body(Body::MemberListPage { next: Some(member("n3")) })),
    ]
}

fn about_quotas() -> Vec<(&'static str, Datagram)> {
    let allocator = Some(member("n2"));
    let (demands, retained, amounts) = (vec![1.5, 200.0], vec![0.25, 0.0], vec![0.1, 3.0]);
    vec![
        ("share-ask", quota(QuotaMessage::VoteRequest { ballot: 400 })),
        (
            "share-vote-yes",
            quota(QuotaMessage::VoteResponse(VoteResponse { ballot: 400, granted: true, allocator })),
        ),
        (
            "share-vote-no",
            quota(QuotaMessage::VoteResponse(VoteResponse { ballot: 400, granted: false, allocator: None })),
        ),
        ("share-drop", quota(QuotaMessage::VoteRelease { ballot: 400 })),
        ("share-want", quota(QuotaMessage::LeaseRequest(LeaseRequest { number: 5, demands, retained }))),
        ("share-have", quota(QuotaMessage::LeaseGrant(LeaseGrant { number: 5, duration_ms: 8000, amounts }))),
        ("share-elsewhere", quota(QuotaMessage::NotLeader { number: 5, allocator })),
    ]
}

fn share(limit: &str, amount: f32, guaranteed: f32, expires_in_ms: Option<u32>) -> ShareSummary {
    ShareSummary { limit: LimitName::new(limit).expect("a name"), amount, guaranteed, expires_in_ms }
}

fn to_operators() -> Vec<(&'static str, Datagram)> {
    let row = |status, heard_ago_ms| MemberRow {
        update: update("n9", MemberState::Alive),
        status,
        status_age_ms: 1000,
        update_age_ms: 200,
        reported_by: member("n4"),
        heard_ago_ms,
    };
    let rows = |statuses: &[MemberStatus]| statuses.iter().map(|status| row(*status, Some(150))).collect();
    let size = |min, max| FleetSize { min, max };
    let fleet_reply = |status, members| Body::FleetReply {
        number: 11,
        status,
        fleet: size(3, 300),
        sites: vec![SiteSize { site: SiteName::new("east").expect("a name"), size: size(1, 2) }],
        members,
        next: Some(member("n9")),
    };
    let aggregated = AggregatedLoad {
        latency_ratio: Some(2.5),
        unreachable_fraction: 0.25,
        rejected_fraction: 0.125,
        reporters: 7,
        sites: 3,
        oldest_age_ms: 900,
    };
    let state = |fault_scope| CoordinationState {
        allocator: Some(member("n2")),
        allocation: Some(AllocationSummary { granted: 12.5, lessees: 4 }),
        shares: vec![share("calls", 9.5, 2.0, Some(3500)), share("tenant.a", 1.0, 1.0, None)],
        breaker_open: true,
        fault_scope,
        load_report: PeerLoadReport {
            latency_ratio: 3.0,
            unreachable_fraction: Some(1.0),
            rejected_fraction: 0.5,
        },
        aggregated: Some(aggregated),
    };
    let reply = |scope| with_body(Body::CoordinationReply { number: 12, state: state(scope) });
    let first = [MemberStatus::Alive, MemberStatus::Suspected, MemberStatus::Leaving];
    vec![
        ("show", with_body(Body::FleetQuery { number: 11, after: Some(member("n2")) })),
        ("show-choices", with_body(Body::CoordinationQuery { number: 12 })),
        ("shown-joining", with_body(fleet_reply(LocalStatus::Joining, rows(&first)))),
        (
            "shown-whole",
            with_body(fleet_reply(LocalStatus::Healthy, rows(&[MemberStatus::Left, MemberStatus::Dead]))),
        ),
        (
            "shown-doubtful",
            with_body(fleet_reply(LocalStatus::Degraded, vec![row(MemberStatus::Dead, None)])),
        ),
        ("shown-cut-off", with_body(fleet_reply(LocalStatus::Isolated, vec![]))),
        ("shown-leaving", with_body(fleet_reply(LocalStatus::Leaving, vec![]))),
        ("choices-none", reply(FaultScope::None)),
        ("choices-mine", reply(FaultScope::Local)),
        ("choices-shared", reply(FaultScope::Shared)),
        ("choices-unknown", reply(FaultScope::Unknown)),
        (
            "choices-empty",
            with_body(Body::CoordinationReply { number: 13, state: CoordinationState::default() }),
        ),
    ]
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn datagrams_have_the_same_bytes_as_ever_and_are_read_from_them() {
    let key = Key::from_text("a key of sixteen characters").expect("long enough");
    let installation = Installation::new("bread").expect("a name");
    let now = Timestamp::from_us(SENT_MS * 1000);
    let all: Vec<_> = [about_members(), about_quotas(), to_operators()].concat();
    let written: Vec<String> = all
        .iter()
        .map(|(name, datagram)| format!("{name} {}", hexadecimal(&datagram::seal(&key, datagram))))
        .collect();
    let fixed: Vec<&str> = FIXED.lines().collect();
    assert_eq!(written.len(), fixed.len(), "{}", written.join("\n"));
    for ((written, fixed), (name, datagram)) in written.iter().zip(fixed).zip(&all) {
        assert_eq!(written, fixed, "{name}");
        let digits = fixed.split_once(' ').expect("a name and bytes").1;
        let bytes: Vec<u8> = (0..digits.len() / 2)
            .map(|at| u8::from_str_radix(&digits[2 * at..2 * at + 2], 16).expect("two digits"))
            .collect();
        assert_eq!(datagram::open(&key, &installation, now, &bytes).as_ref(), Ok(datagram), "{name}");
    }
}

/// Servers whose fingerprints differ give each other nothing.
#[test]
fn the_fingerprint_of_a_configuration_is_the_same_as_ever() {
    let limit = |name: &str, max_turn| SharedLimit {
        name: LimitName::new(name).expect("a name"),
        total: 48.5,
        guaranteed_fraction: 0.25,
        residual_duration: Duration::from_ms(500),
        max_turn,
    };
    let config = QuotaConfig {
        voters: vec![member("n1"), member("n2"), member("n3")],
        max_servers: 300,
        vote_duration: Duration::from_ms(4000),
        limits: vec![limit("calls", None), limit("turns", Some(Duration::from_ms(5000)))],
    };
    assert_eq!(config.fingerprint(), ConfigFingerprint(17_912_680_018_067_210_397));
}

/// `hazelspur-server fleet FILE --shape json` shows these; scripts of operators read them.
#[test]
fn figures_for_an_operator_have_the_same_json_as_ever() {
    let aggregated = AggregatedLoad {
        latency_ratio: Some(2.5),
        unreachable_fraction: 0.25,
        rejected_fraction: 0.125,
        reporters: 7,
        sites: 3,
        oldest_age_ms: 900,
    };
    let statuses = [
        LocalStatus::Joining,
        LocalStatus::Healthy,
        LocalStatus::Degraded,
        LocalStatus::Isolated,
        LocalStatus::Leaving,
    ];
    let json = |value: serde_json::Result<String>| value.expect("it is written");
    assert_eq!(
        json(serde_json::to_string(&aggregated)),
        r#"{"pace":2.5,"unreached":0.25,"refused":0.125,"voices":7,"sites":3,"oldest_ms":900}"#
    );
    assert_eq!(
        json(serde_json::to_string(&statuses)),
        r#"["Joining","Whole","Doubtful","CutOff","Leaving"]"#
    );
    assert_eq!(json(serde_json::to_string(&FleetSize { min: 3, max: 9 })), r#"{"least":3,"most":9}"#);
    assert_eq!(json(serde_json::to_string(&update("n1", MemberState::Alive).generation)), "1699999999000");
}
