//! Between the module and what servers found out together: this server's work is shown to `Joint`, and what
//! comes of it is told to the module where it has changed.

use crate::config::fleet_keys::{CALLS, TENANT};
use crate::request::dispatcher::Dispatcher;
use hazelspur::{Catalog, Duration, GuidanceKey, TenantId, Timestamp};
use hazelspur_fleet::circuit_breaker::BreakerChange;
use hazelspur_fleet::guidance::Guidance as Facts;
use hazelspur_fleet::joint::Seen;
use hazelspur_fleet::load_reports::FaultScope;
use hazelspur_fleet::quota::{Allocation, LimitId, QuotaConfig, QuotaEvent, QuotaManager};
use hazelspur_fleet::{At, Joint};

/// This server's own work is looked at so often.
const LOOK: Duration = Duration::from_ms(200);
/// More of a tenant's requests than lately are room to grow.
const ROOM: f64 = 1.25;

#[derive(Clone, Copy, PartialEq)]
enum Of {
    Calls,
    Tenant(TenantId),
}

pub struct Guidance {
    together: bool,
    limits: Vec<(String, Of)>,
    facts: Facts,
    looked: Timestamp,
    whose: Option<FaultScope>,
}

impl Guidance {
    /// Errors name the key at fault.
    pub fn new(together: bool, terms: Option<&QuotaConfig>, catalog: &Catalog) -> Result<Self, String> {
        let (mut limits, mut facts) = (Vec::new(), Vec::new());
        for (at, limit) in terms.iter().flat_map(|terms| &terms.limits).enumerate() {
            let name = limit.name.as_str();
            let of = match name.strip_prefix(TENANT) {
                None if name == CALLS => Of::Calls,
                None => return Err(format!("fleet.shares: {name}: nothing goes by it")),
                Some(tenant) => {
                    let found = catalog.find_tenant(Some(tenant)).map(|(id, _)| id);
                    Of::Tenant(found.ok_or(format!("fleet.shares: {name}: no such tenant"))?)
                }
            };
            let fact = match of {
                Of::Calls => GuidanceKey::CallConcurrencyLimit,
                Of::Tenant(tenant) => GuidanceKey::TenantRate(tenant),
            };
            facts.push((LimitId(at), fact));
            limits.push((name.to_string(), of));
        }
        let facts = Facts::new(together, facts);
        Ok(Self { together, limits, facts, looked: Timestamp::default(), whose: None })
    }

    /// What this server did lately, and what it would use.
    pub fn see(&mut self, at: At, dispatcher: &Dispatcher, joint: &mut Joint) {
        if at.steady - self.looked < LOOK {
            return;
        }
        self.looked = at.steady;
        let Some(view) = dispatcher.load_report() else { return };
        joint.saw(at, Seen { call_secs: view.call_secs, refused: view.refused });
        for (name, of) in &self.limits {
            match of {
                // Until the first call nothing is known: the floor is enough for it.
                Of::Calls => joint.want(name, view.calls.unwrap_or(1.0)),
                Of::Tenant(tenant) => joint.want(name, dispatcher.tenant_rate(*tenant) * ROOM),
            }
        }
    }

    /// Tells the module what has changed, and the dispatcher when leases end.
    pub fn guide(&mut self, at: At, dispatcher: &Dispatcher, joint: &mut Joint) {
        if dispatcher.is_open() {
            if dispatcher.has_lapsed() {
                self.facts.forget();
            }
            let told = self.facts.next(at, joint);
            dispatcher.guide(told.facts, told.leases);
        }
        self.say(at, joint);
    }

    /// A line for each change of mode, with figures.
    fn say(&mut self, at: At, joint: &mut Joint) {
        while let Some(change) = joint.breaker.next_change() {
            match change {
                BreakerChange::Opened => {
                    log::warn!(tries = joint.breaker.probe_attempts; "ledger out of reach, calls wait")
                }
                BreakerChange::Closed { after } => {
                    log::info!(after_ms = after.us() / 1000, tries = joint.breaker.probe_attempts; "ledger reached again");
                }
            }
        }
        if self.together && self.whose != Some(joint.whose()) {
            let (was, is) = (self.whose.replace(joint.whose()), joint.whose());
            if let (Some(common), true) = (joint.common(), was.is_some() || is != FaultScope::None) {
                let word = joint.word();
                log::info!(whose = is.name(), pace = word.latency_ratio, unreached = word.unreachable_fraction.unwrap_or(0.0),
                    common_pace = common.latency_ratio.unwrap_or(0.0), common_unreached = common.unreachable_fraction,
                    voices = common.reporters, sites = common.sites; "ledger trouble");
            }
        }
        while let Some(event) = joint.quota.as_mut().and_then(QuotaManager::next_event) {
            let all = joint.all_shares(at);
            let shares: Vec<String> =
                all.iter().map(|(name, share)| format!("{name}:{:.2}", share.amount)).collect();
            let shares = shares.join(" ");
            let given = joint.quota.as_ref().and_then(|all| all.allocation(at.steady, LimitId(0)));
            let Allocation { granted: given, lessees: holders, .. } = given.unwrap_or_default();
            match event {
                QuotaEvent::StartedAllocating => log::info!(holders; "shares: this server divides"),
                QuotaEvent::StoppedAllocating => {
                    log::info!(given, holders; "shares: this server divides no more")
                }
                QuotaEvent::LeaseAcquired(by) => log::info!(by:%, shares; "shares held"),
                QuotaEvent::LeaseExpired => log::warn!(shares; "shares ended, floors only"),
            }
        }
    }
}
