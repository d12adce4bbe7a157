//! A harness that drives an `AdmissionController` in virtual time and records its decisions as a trace, one
//! line each.
#![allow(dead_code)] // each test binary uses only some of the helpers

use expect_test::Expect;
use hazelspur::config::change::ChangeSummary;
use hazelspur::config::difference::Difference;
use hazelspur::config::entries::read_flat_entries;
use hazelspur::{
    AdmissionController, Catalog, ClientId, ConfigError, Decision, Duration, FlatSettings, GuidanceKey,
    NewRequest, Outcome, RequestClassId, RequestId, RuntimeGauges, SessionKey, SettingValue, TenantId,
    Timestamp,
};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Time between two timer ticks under load, in ms.
const TICK_MS: u64 = 40;
/// Time between two steps under load.
const LOAD_STEP: Duration = Duration::from_ms(10);

/// A controller with its virtual clock and the trace of its decisions.
pub(crate) struct Harness {
    pub controller: AdmissionController,
    pub catalog: Rc<RefCell<Catalog>>,
    start: Timestamp,
    pub now: Timestamp,
    trace: String,
    run_ends: BTreeSet<RunEnd>,
    /// Duration of the runs that are started under `offer_load`.
    pub run_time: Duration,
    /// Number that other work adds to the gauge of requests on the cores under `offer_load`.
    pub other_work_on_cores: f64,
}

/// The scheduled end of a run under `offer_load`.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RunEnd {
    at: Timestamp,
    request: RequestId,
}

/// The properties of a request to be received.
pub(crate) struct RequestSpec<'a> {
    pub request_class: usize,
    pub tenant: usize,
    /// Name of the session; empty for a request without one.
    pub session: &'a str,
    pub client: u64,
    /// Remaining time that the client waits, in ms.
    pub remaining_wait_ms: u64,
    pub cost_ms: Option<u64>,
    pub size_kb: f64,
    /// Time from sending to receipt, in ms.
    pub age_ms: u64,
    pub retry_of: Option<&'a str>,
}

impl Default for RequestSpec<'_> {
    fn default() -> Self {
        Self {
            request_class: 0,
            tenant: 0,
            session: "",
            client: 0,
            remaining_wait_ms: 4000,
            cost_ms: None,
            size_kb: 10.0,
            age_ms: 0,
            retry_of: None,
        }
    }
}

/// Pulls all decisions and compares the lines of the trace that contain one of `words`, or all lines without
/// words, with the expected ones.
pub(crate) fn check(harness: &mut Harness, words: &[&str], expected: &Expect) {
    harness.decide();
    expected.assert_eq(&harness.take_trace(words));
}

/// Returns the request id with this name, padded with dashes.
pub(crate) fn id(name: &str) -> RequestId {
    RequestId::parse(&format!("{name:-<36}")).expect("a short name")
}

/// Returns settings with two cores, ample memory and one idempotent request class with a latency objective of
/// 1 s. Each `key=value` in `overrides` replaces the value of its key.
pub(crate) fn flat_settings(overrides: &str) -> FlatSettings {
    let defaults = "server.cores=2 server.memory_kb=100000 server.run_factor=8 server.stop=drop \
        rules.crowd_multiple=5 rules.cold_share=0.2 rules.cold_us=10000000 rules.drain_grace_us=2000000 \
        limits.retry_after=1 limits.max_retry_after_us=1000000 counted_by=op servers=1 \
        op_types.0.target_latency_us=1000000 op_types.0.op_timeout_us=4000000 op_types.0.repeats=retryable";
    let parse_pair = |pair: &str| {
        let (name, value) = pair.split_once('=').expect("name=value");
        (
            name.to_string(),
            value.parse().map_or_else(|_| SettingValue::Text(value.into()), SettingValue::Number),
        )
    };
    defaults.split_whitespace().chain(overrides.split_whitespace()).map(parse_pair).collect()
}

impl Harness {
    /// Creates a harness whose controller has the settings of `flat_settings(overrides)`.
    pub(crate) fn new(overrides: &str) -> Self {
        let now = Timestamp::from_us(50_000_000);
        let catalog = Catalog::from_flat(flat_settings(overrides)).expect("valid settings");
        let cold = catalog.settings().starts_cold;
        let catalog = Rc::new(RefCell::new(catalog));
        let controller = AdmissionController::with_shared_catalog(catalog.clone(), cold, 7, now);
        Self {
            controller,
            catalog,
            start: now,
            now,
            trace: String::new(),
            run_ends: BTreeSet::new(),
            run_time: Duration::from_ms(200),
            other_work_on_cores: 0.0,
        }
    }

    /// Applies the settings of `flat_settings(overrides)` as a newer file and returns the summary of the
    /// change, or the error for which it is rejected.
    pub(crate) fn apply_settings(&mut self, overrides: &str) -> Result<ChangeSummary, ConfigError> {
        let change = {
            let in_force = self.catalog.borrow();
            let mut difference = Difference::new(&in_force);
            let rest = read_flat_entries(&mut difference, flat_settings(overrides))?;
            difference.complete(&rest)?
        };
        self.controller.apply_change(self.now, &change)
    }

    /// Sets the clock to a time in ms since the start.
    pub(crate) fn at(&mut self, ms: u64) -> &mut Self {
        self.now = self.start + Duration::from_ms(ms);
        self
    }

    pub(crate) fn receive(&mut self, name: &str, spec: RequestSpec) -> &mut Self {
        let new = NewRequest {
            id: id(name),
            class: RequestClassId(spec.request_class),
            tenant: TenantId(spec.tenant),
            session: (!spec.session.is_empty()).then(|| SessionKey::of(spec.session)),
            client: ClientId(spec.client),
            deadline: Some(self.now + Duration::from_ms(spec.remaining_wait_ms)),
            cost: spec.cost_ms.map(Duration::from_ms),
            size_kb: spec.size_kb,
            age: Duration::from_ms(spec.age_ms),
            read_offset: Duration::ZERO,
            is_write: false,
            retry_of: spec.retry_of.map(id),
        };
        self.controller.request_received(self.now, new);
        self
    }

    pub(crate) fn finish_run(&mut self, name: &str, outcome: Outcome) -> &mut Self {
        self.controller.run_finished(self.now, id(name), outcome);
        self
    }

    pub(crate) fn call_requested(&mut self, name: &str) -> &mut Self {
        self.controller.call_requested(self.now, id(name));
        self
    }

    pub(crate) fn call_finished(&mut self, name: &str, outcome: Outcome) -> &mut Self {
        self.controller.call_finished(self.now, id(name), outcome);
        self
    }

    pub(crate) fn set_guidance(&mut self, key: GuidanceKey, value: Option<f64>) -> &mut Self {
        self.controller.set_guidance(self.now, key, value);
        self
    }

    pub(crate) fn tick(&mut self, requests_on_cores: f64) -> &mut Self {
        self.controller.timer_tick(self.now, RuntimeGauges::with_requests_on_cores(requests_on_cores));
        self
    }

    /// Pulls all decisions and records them in the trace, except timers and reports of good health.
    pub(crate) fn decide(&mut self) -> Vec<Decision> {
        let decisions: Vec<Decision> =
            std::iter::from_fn(|| self.controller.next_decision(self.now)).collect();
        let is_routine =
            |d: &&Decision| matches!(d, Decision::SetTimer(_) | Decision::SetHealth { active: true, .. });
        for decision in decisions.iter().filter(|decision| !is_routine(decision)) {
            let text = match decision {
                Decision::Log(event) => format!("log: {event}"),
                other => format!("{other:?}").replace("--", "").replace("-)", ")").replace("-,", ","),
            };
            let ms = (self.now - self.start).us() / 1000;
            self.trace += &format!("{ms:<5} {text}\n");
        }
        decisions
    }

    /// Receives `per_s` requests per second for `ms` milliseconds, each of a new session. Each run ends after
    /// `run_time`.
    pub(crate) fn offer_load(&mut self, ms: u64, per_s: u64) -> &mut Self {
        let load_start = self.now;
        let mut received = 0;
        while self.now - load_start < Duration::from_ms(ms) {
            self.now = self.now + LOAD_STEP;
            self.finish_due_runs();
            while received < (self.now - load_start).us() * per_s / 1_000_000 {
                received += 1;
                let name = format!("n{}x{received}", (load_start - self.start).us());
                self.receive(&name, RequestSpec { session: &name, ..RequestSpec::default() });
            }
            if (self.now - self.start).us().is_multiple_of(TICK_MS * 1000) {
                self.tick(self.run_ends.len() as f64 + self.other_work_on_cores);
            }
            for decision in self.decide() {
                self.carry_out(decision);
            }
        }
        self
    }

    fn finish_due_runs(&mut self) {
        while let Some(end) = self.run_ends.first().copied().filter(|end| end.at <= self.now) {
            self.run_ends.remove(&end);
            self.controller.run_finished(self.now, end.request, Outcome::Ok);
        }
    }

    fn carry_out(&mut self, decision: Decision) {
        match decision {
            Decision::Run(request) => {
                self.run_ends.insert(RunEnd { at: self.now + self.run_time, request });
            }
            Decision::Preempt(request) => {
                self.run_ends.retain(|end| end.request != request);
                self.controller.run_finished(self.now, request, Outcome::Preempted);
            }
            _ => {}
        }
    }

    /// Clears the trace and returns its lines, only those that contain one of `words` if there are words.
    pub(crate) fn take_trace(&mut self, words: &[&str]) -> String {
        let trace = std::mem::take(&mut self.trace);
        let wanted = |line: &&str| words.is_empty() || words.iter().any(|word| line.contains(word));
        trace.lines().filter(wanted).map(|line| format!("{line}\n")).collect()
    }
}
