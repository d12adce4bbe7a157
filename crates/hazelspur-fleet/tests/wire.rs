//! Stability of the formats that leave the process: the bytes of each kind of datagram, the fingerprint of a
//! quota configuration and the JSON of operators' commands. Servers of two versions run side by side during
//! an upgrade, and scripts of operators read the JSON, so none of them may change by accident.

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

/// The recorded bytes, one line for each datagram: its name in this file and its bytes in hexadecimal digits.
const EXPECTED_LINES: &str = include_str!("wire-v2.txt");
/// Time of sending of all datagrams, in Unix milliseconds.
const SENT_MS: u64 = 1_700_000_000_000;

fn member_name(text: &str) -> MemberName {
    MemberName::new(text).expect("valid name")
}

fn update(text: &str, state: MemberState) -> MemberUpdate {
    MemberUpdate {
        name: member_name(text),
        site: SiteName::new("east").expect("valid name"),
        address: "10.1.2.3:7000".parse().expect("valid address"),
        generation: Generation(1_699_999_999_000),
        incarnation: Incarnation(3),
        state,
    }
}

fn datagram_with_body(body: Body) -> Datagram {
    Datagram {
        installation: Installation::new("bread").expect("valid name"),
        sender: update("n1", MemberState::Alive),
        sequence: 300,
        sent_ms: SENT_MS,
        body,
        load_report: None,
        updates: Vec::new(),
    }
}

fn quota_datagram(message: QuotaMessage) -> Datagram {
    datagram_with_body(Body::Quota { fingerprint: ConfigFingerprint(0x0123_4567_89ab_cdef), message })
}

fn membership_datagrams() -> Vec<(&'static str, Datagram)> {
    let ipv6_address = "[2001:db8::7]:7001".parse().expect("valid address");
    let ipv6_update =
        MemberUpdate { address: ipv6_address, ..update("n5", MemberState::Suspected(member_name("n4"))) };
    let updates = [
        ipv6_update,
        update("n6", MemberState::Leaving),
        update("n7", MemberState::Left),
        update("n8", MemberState::Alive),
    ];
    let report = |unreachable_fraction| {
        Some(PeerLoadReport { latency_ratio: 1.5, unreachable_fraction, rejected_fraction: 0.25 })
    };
    vec![
        ("ping", datagram_with_body(Body::Ping { number: 70_000, to: Some(member_name("n2")) })),
        ("ping-unknown", datagram_with_body(Body::Ping { number: 1, to: None })),
        ("ack", datagram_with_body(Body::Ack { number: u32::MAX })),
        (
            "ping-for",
            datagram_with_body(Body::PingRequest {
                number: 9,
                target: member_name("n2"),
                target_address: ipv6_address,
            }),
        ),
        ("gossip", Datagram { updates: updates.to_vec(), ..datagram_with_body(Body::Gossip) }),
        ("gossip-word", Datagram { load_report: report(Some(0.5)), ..datagram_with_body(Body::Gossip) }),
        (
            "gossip-word-without-calls",
            Datagram { load_report: report(None), ..datagram_with_body(Body::Gossip) },
        ),
        ("ask", datagram_with_body(Body::MemberListRequest { after: Some(member_name("n2")) })),
        ("ask-from-the-start", datagram_with_body(Body::MemberListRequest { after: None })),
        ("page", datagram_with_body(Body::MemberListPage { next: Some(member_name("n3")) })),
    ]
}

fn quota_datagrams() -> Vec<(&'static str, Datagram)> {
    let allocator = Some(member_name("n2"));
    let (demands, retained, amounts) = (vec![1.5, 200.0], vec![0.25, 0.0], vec![0.1, 3.0]);
    vec![
        ("share-ask", quota_datagram(QuotaMessage::VoteRequest { ballot: 400 })),
        (
            "share-vote-yes",
            quota_datagram(QuotaMessage::VoteResponse(VoteResponse {
                ballot: 400,
                granted: true,
                allocator,
            })),
        ),
        (
            "share-vote-no",
            quota_datagram(QuotaMessage::VoteResponse(VoteResponse {
                ballot: 400,
                granted: false,
                allocator: None,
            })),
        ),
        ("share-drop", quota_datagram(QuotaMessage::VoteRelease { ballot: 400 })),
        (
            "share-want",
            quota_datagram(QuotaMessage::LeaseRequest(LeaseRequest { number: 5, demands, retained })),
        ),
        (
            "share-have",
            quota_datagram(QuotaMessage::LeaseGrant(LeaseGrant { number: 5, duration_ms: 8000, amounts })),
        ),
        ("share-elsewhere", quota_datagram(QuotaMessage::NotLeader { number: 5, allocator })),
    ]
}

fn share(limit: &str, amount: f32, guaranteed: f32, expires_in_ms: Option<u32>) -> ShareSummary {
    ShareSummary { limit: LimitName::new(limit).expect("valid name"), amount, guaranteed, expires_in_ms }
}

fn operator_datagrams() -> Vec<(&'static str, Datagram)> {
    let row = |status, heard_ago_ms| MemberRow {
        update: update("n9", MemberState::Alive),
        status,
        status_age_ms: 1000,
        update_age_ms: 200,
        reported_by: member_name("n4"),
        heard_ago_ms,
    };
    let rows = |statuses: &[MemberStatus]| statuses.iter().map(|status| row(*status, Some(150))).collect();
    let size = |min, max| FleetSize { min, max };
    let fleet_reply = |status, members| Body::FleetReply {
        number: 11,
        status,
        fleet: size(3, 300),
        sites: vec![SiteSize { site: SiteName::new("east").expect("valid name"), size: size(1, 2) }],
        members,
        next: Some(member_name("n9")),
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
        allocator: Some(member_name("n2")),
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
    let reply = |scope| datagram_with_body(Body::CoordinationReply { number: 12, state: state(scope) });
    let joining_statuses = [MemberStatus::Alive, MemberStatus::Suspected, MemberStatus::Leaving];
    vec![
        ("show", datagram_with_body(Body::FleetQuery { number: 11, after: Some(member_name("n2")) })),
        ("show-choices", datagram_with_body(Body::CoordinationQuery { number: 12 })),
        ("shown-joining", datagram_with_body(fleet_reply(LocalStatus::Joining, rows(&joining_statuses)))),
        (
            "shown-whole",
            datagram_with_body(fleet_reply(
                LocalStatus::Healthy,
                rows(&[MemberStatus::Left, MemberStatus::Dead]),
            )),
        ),
        (
            "shown-doubtful",
            datagram_with_body(fleet_reply(LocalStatus::Degraded, vec![row(MemberStatus::Dead, None)])),
        ),
        ("shown-cut-off", datagram_with_body(fleet_reply(LocalStatus::Isolated, vec![]))),
        ("shown-leaving", datagram_with_body(fleet_reply(LocalStatus::Leaving, vec![]))),
        ("choices-none", reply(FaultScope::None)),
        ("choices-mine", reply(FaultScope::Local)),
        ("choices-shared", reply(FaultScope::Shared)),
        ("choices-unknown", reply(FaultScope::Unknown)),
        (
            "choices-empty",
            datagram_with_body(Body::CoordinationReply { number: 13, state: CoordinationState::default() }),
        ),
    ]
}

fn to_hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn datagrams_encode_to_and_decode_from_the_recorded_bytes() {
    let key = Key::from_text("a key of sixteen characters").expect("valid key text");
    let installation = Installation::new("bread").expect("valid name");
    let now = Timestamp::from_us(SENT_MS * 1000);
    let datagrams: Vec<_> = [membership_datagrams(), quota_datagrams(), operator_datagrams()].concat();
    let encoded_lines: Vec<String> = datagrams
        .iter()
        .map(|(name, datagram)| format!("{name} {}", to_hexadecimal(&datagram::seal(&key, datagram))))
        .collect();
    let expected_lines: Vec<&str> = EXPECTED_LINES.lines().collect();
    assert_eq!(encoded_lines.len(), expected_lines.len(), "{}", encoded_lines.join("\n"));
    for ((encoded, expected), (name, datagram)) in encoded_lines.iter().zip(expected_lines).zip(&datagrams) {
        assert_eq!(encoded, expected, "{name}");
        let digits = expected.split_once(' ').expect("a line of name and bytes").1;
        let bytes: Vec<u8> = (0..digits.len() / 2)
            .map(|index| {
                u8::from_str_radix(&digits[2 * index..2 * index + 2], 16).expect("two hexadecimal digits")
            })
            .collect();
        assert_eq!(datagram::open(&key, &installation, now, &bytes).as_ref(), Ok(datagram), "{name}");
    }
}

/// Servers with different fingerprints ignore each other's quota messages.
#[test]
fn quota_configuration_fingerprint_is_unchanged() {
    let limit = |name: &str, max_turn| SharedLimit {
        name: LimitName::new(name).expect("valid name"),
        total: 48.5,
        guaranteed_fraction: 0.25,
        residual_duration: Duration::from_ms(500),
        max_turn,
    };
    let config = QuotaConfig {
        voters: vec![member_name("n1"), member_name("n2"), member_name("n3")],
        max_servers: 300,
        vote_duration: Duration::from_ms(4000),
        limits: vec![limit("calls", None), limit("turns", Some(Duration::from_ms(5000)))],
    };
    assert_eq!(config.fingerprint(), ConfigFingerprint(17_912_680_018_067_210_397));
}

/// The output of `hazelspur-server fleet FILE --shape json` contains these values, and scripts of operators
/// read it.
#[test]
fn operator_json_output_is_unchanged() {
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
    let json = |result: serde_json::Result<String>| result.expect("value serializes to JSON");
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
