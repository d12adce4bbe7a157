//! The guidance that the admission controller is given.

mod helpers;

use hazelspur::{Duration, GuidanceKey};
use hazelspur_fleet::guidance::{Guidance, GuidanceChange, GuidedLimit};
use hazelspur_fleet::quota::{LimitId, QuotaConfig, SharedLimit};
use hazelspur_fleet::{Clocks, FleetNode, Generation, LimitName};
use helpers::{START, config};

/// After a lease has expired the controller uses other values, so an update of changed values alone would
/// leave it with outdated ones.
#[test]
fn all_guidance_is_given_again_after_a_lease_expired() {
    let now = Clocks { wall: START, monotonic: START };
    let limit = SharedLimit {
        name: LimitName::new("calls").expect("a valid name"),
        total: 50.0,
        guaranteed_fraction: 1.0,
        residual_duration: Duration::ZERO,
        max_turn: None,
    };
    let quota = QuotaConfig {
        voters: vec![],
        max_servers: 10,
        vote_duration: Duration::from_ms(4000),
        limits: vec![limit],
    };
    let node = FleetNode::new(config(0, 10), Some(quota), Generation(1), 1, now);
    let mut guidance =
        Guidance::new(true, vec![GuidedLimit { limit: LimitId(0), key: GuidanceKey::CallConcurrencyLimit }]);
    let mut next_changes = || guidance.next_update(now, &node).changes;
    let (first, second) = (next_changes(), next_changes());
    guidance.forget();
    let third = guidance.next_update(now, &node).changes;
    assert_eq!(first, [GuidanceChange { key: GuidanceKey::CallConcurrencyLimit, value: Some(5.0) }]);
    assert!(second.is_empty() && third == first, "{second:?} {third:?}");
}
