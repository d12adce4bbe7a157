//! The bytes of each kind of datagram, written and read, and the fingerprint of a quota configuration. Servers of two
//! versions run beside each other while an installation is upgraded, so neither may change by accident.

use hazelspur::{Duration, Timestamp};
use hazelspur_fleet::load_reports::{AggregatedLoad, FaultScope, PeerLoadReport};
use hazelspur_fleet::quota::{
    ConfigFingerprint, LeaseGrant, LeaseRequest, QuotaConfig, QuotaMessage, SharedLimit, VoteResponse,
};
use hazelspur_fleet::talk::{self, Shown, ShownRow};
use hazelspur_fleet::{
    Body, Claim, Condition, Datagram, Generation, Incarnation, Installation, Key, LimitName, MemberName,
    Says, SiteName, Size, Standing,
};

/// One line for each datagram: its name and its bytes in hexadecimal digits.
const FIXED: &str = include_str!("wire-v2.txt");
const SENT_MS: u64 = 1_700_000_000_000;

fn member(text: &str) -> MemberName {
    MemberName::new(text).expect("a name")
}

fn claim(text: &str, says: Says) -> Claim {
    Claim {
        name: member(text),
        site: SiteName::new("east").expect("a name"),
        at: "10.1.2.3:7000".parse().expect("an address"),
        generation: Generation(1_699_999_999_000),
        incarnation: Incarnation(3),
        says,
    }
}

fn datagram(body: Body) -> Datagram {
    Datagram {
        installation: Installation::new("bread").expect("a name"),
        from: claim("n1", Says::Alive),
        number: 300,
        sent_ms: SENT_MS,
        body,
        word: None,
        claims: Vec::new(),
    }
}

fn quota(message: QuotaMessage) -> Datagram {
    datagram(Body::Quota { fingerprint: ConfigFingerprint(0x0123_4567_89ab_cdef), message })
}

fn about_members() -> Vec<(&'static str, Datagram)> {
    let other = "[2001:db8::7]:7001".parse().expect("an address");
    let v6 = Claim { at: other, ..claim("n5", Says::Suspected(member("n4"))) };
    let claims = [v6, claim("n6", Says::Leaving), claim("n7", Says::Left), claim("n8", Says::Alive)];
    let word = |unreached| {
        Some(PeerLoadReport { latency_ratio: 1.5, unreachable_fraction: unreached, rejected_fraction: 0.25 })
    };
    vec![
        ("ping", datagram(Body::Ping { number: 70_000, to: Some(member("n2")) })),
        ("ping-unknown", datagram(Body::Ping { number: 1, to: None })),
        ("ack", datagram(Body::Ack { number: u32::MAX })),
        ("ping-for", datagram(Body::PingFor { number: 9, to: member("n2"), at: other })),
        ("gossip", Datagram { claims: claims.to_vec(), ..datagram(Body::Gossip) }),
        ("gossip-word", Datagram { word: word(Some(0.5)), ..datagram(Body::Gossip) }),
        ("gossip-word-without-calls", Datagram { word: word(None), ..datagram(Body::Gossip) }),
        ("ask", datagram(Body::Ask { after: Some(member("n2")) })),
        ("ask-from-the-start", datagram(Body::Ask { after: None })),
        ("page", datagram(Body::Page { next: Some(member("n3")) })),
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

fn to_operators() -> Vec<(&'static str, Datagram)> {
    let row = |standing, heard_ms| ShownRow {
        claim: claim("n9", Says::Alive),
        standing,
        since_ms: 1000,
        word_ms: 200,
        by: member("n4"),
        heard_ms,
    };
    let rows = |standings: &[Standing]| standings.iter().map(|standing| row(*standing, Some(150))).collect();
    let size = |least, most| Size { least, most };
    let shown = |condition, rows| Body::Shown {
        number: 11,
        condition,
        fleet: size(3, 300),
        sites: vec![(SiteName::new("east").expect("a name"), size(1, 2))],
        rows,
        next: Some(member("n9")),
    };
    let common = AggregatedLoad {
        latency_ratio: Some(2.5),
        unreachable_fraction: 0.25,
        rejected_fraction: 0.125,
        reporters: 7,
        sites: 3,
        oldest_age_ms: 900,
    };
    let choices = |whose| Shown {
        divider: Some(member("n2")),
        given: Some((12.5, 4)),
        shares: vec![
            (LimitName::new("calls").expect("a name"), 9.5, 2.0, Some(3500)),
            (LimitName::new("tenant.a").expect("a name"), 1.0, 1.0, None),
        ],
        shut: true,
        whose,
        word: PeerLoadReport { latency_ratio: 3.0, unreachable_fraction: Some(1.0), rejected_fraction: 0.5 },
        common: Some(common),
    };
    let choices = |whose| datagram(Body::Choices { number: 12, shown: choices(whose) });
    let first = [Standing::Alive, Standing::Suspected, Standing::Leaving];
    vec![
        ("show", datagram(Body::Show { number: 11, after: Some(member("n2")) })),
        ("show-choices", datagram(Body::ShowChoices { number: 12 })),
        ("shown-joining", datagram(shown(Condition::Joining, rows(&first)))),
        ("shown-whole", datagram(shown(Condition::Whole, rows(&[Standing::Left, Standing::Lost])))),
        ("shown-doubtful", datagram(shown(Condition::Doubtful, vec![row(Standing::Lost, None)]))),
        ("shown-cut-off", datagram(shown(Condition::CutOff, vec![]))),
        ("shown-leaving", datagram(shown(Condition::Leaving, vec![]))),
        ("choices-none", choices(FaultScope::None)),
        ("choices-mine", choices(FaultScope::Local)),
        ("choices-shared", choices(FaultScope::Shared)),
        ("choices-unknown", choices(FaultScope::Unknown)),
        ("choices-empty", datagram(Body::Choices { number: 13, shown: Shown::default() })),
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
        .map(|(name, datagram)| format!("{name} {}", hexadecimal(&talk::seal(&key, datagram))))
        .collect();
    let fixed: Vec<&str> = FIXED.lines().collect();
    assert_eq!(written.len(), fixed.len(), "{}", written.join("\n"));
    for ((written, fixed), (name, datagram)) in written.iter().zip(fixed).zip(&all) {
        assert_eq!(written, fixed, "{name}");
        let digits = fixed.split_once(' ').expect("a name and bytes").1;
        let bytes: Vec<u8> = (0..digits.len() / 2)
            .map(|at| u8::from_str_radix(&digits[2 * at..2 * at + 2], 16).expect("two digits"))
            .collect();
        assert_eq!(talk::open(&key, &installation, now, &bytes).as_ref(), Ok(datagram), "{name}");
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
    let common = AggregatedLoad {
        latency_ratio: Some(2.5),
        unreachable_fraction: 0.25,
        rejected_fraction: 0.125,
        reporters: 7,
        sites: 3,
        oldest_age_ms: 900,
    };
    let conditions =
        [Condition::Joining, Condition::Whole, Condition::Doubtful, Condition::CutOff, Condition::Leaving];
    let json = |value: serde_json::Result<String>| value.expect("it is written");
    assert_eq!(
        json(serde_json::to_string(&common)),
        r#"{"pace":2.5,"unreached":0.25,"refused":0.125,"voices":7,"sites":3,"oldest_ms":900}"#
    );
    assert_eq!(
        json(serde_json::to_string(&conditions)),
        r#"["Joining","Whole","Doubtful","CutOff","Leaving"]"#
    );
    assert_eq!(json(serde_json::to_string(&Size { least: 3, most: 9 })), r#"{"least":3,"most":9}"#);
    assert_eq!(json(serde_json::to_string(&claim("n1", Says::Alive).generation)), "1699999999000");
}
