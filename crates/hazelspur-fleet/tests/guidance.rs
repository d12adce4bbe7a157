//! What the admission controller is given of what servers decided together.

mod helpers;

use hazelspur::{Duration, GuidanceKey};
use hazelspur_fleet::guidance::Guidance;
use hazelspur_fleet::quota::{LimitId, QuotaConfig, SharedLimit};
use hazelspur_fleet::{At, Generation, Joint, LimitName};
use helpers::{START, terms};

#[test]
fn after_a_lease_expired_all_guidance_is_given_again() {
    let at = At { wall: START, steady: START };
    let limit = SharedLimit {
        name: LimitName::new("calls").expect("a name"),
        total: 50.0,
        guaranteed_fraction: 1.0,
        residual_duration: Duration::ZERO,
        max_turn: None,
    };
    let shares = QuotaConfig {
        voters: vec![],
        max_servers: 10,
        vote_duration: Duration::from_ms(4000),
        limits: vec![limit],
    };
    let joint = Joint::new(terms(0, 10), Some(shares), Generation(1), 1, at);
    let mut guidance = Guidance::new(true, vec![(LimitId(0), GuidanceKey::CallConcurrencyLimit)]);
    let mut told = || guidance.next(at, &joint).facts;
    let (first, second) = (told(), told());
    guidance.forget();
    let third = guidance.next(at, &joint).facts;
    assert_eq!(first, [(GuidanceKey::CallConcurrencyLimit, Some(5.0))]);
    assert!(second.is_empty() && third == first, "{second:?} {third:?}");
}
