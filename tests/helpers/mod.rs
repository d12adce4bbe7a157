//! Feeds a `AdmissionController` by hand and prints what it decides, a line each.
#![allow(dead_code)] // each test file uses its part

use hazelspur::config::change::ChangeSummary;
use hazelspur::config::difference::Difference;
use hazelspur::config::entries::read_flat_entries;
use hazelspur::{
    AdmissionController, Catalog, ClientId, ConfigError, Decision, Duration, FlatSettings, GuidanceKey,
    NewRequest, Outcome, RequestClassId, RequestId, RuntimeGauges, SessionKey, SettingValue, TenantId,
    Timestamp,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

pub struct Play {
    pub controller: AdmissionController,
    pub catalog: Rc<RefCell<Catalog>>,
    start: Timestamp,
    pub now: Timestamp,
    trace: String,
    ends: BTreeMap<(Timestamp, RequestId), ()>,
    /// How long runs take that `run_for` starts.
    pub run: Duration,
    /// What reads add to the crowd on the cores under `load`.
    pub reads: f64,
}

pub struct Read<'a> {
    pub request_class: usize,
    pub tenant: usize,
    pub user: &'a str,
    pub caller: u64,
    pub wait_ms: u64,
    pub cost_ms: Option<u64>,
    pub kb: f64,
    pub retry_of: Option<&'a str>,
}

impl Default for Read<'_> {
    fn default() -> Self {
        Self {
            request_class: 0,
            tenant: 0,
            user: "",
            caller: 0,
            wait_ms: 4000,
            cost_ms: None,
            kb: 10.0,
            retry_of: None,
        }
    }
}

pub fn id(name: &str) -> RequestId {
    RequestId::parse(&format!("{name:-<36}")).expect("a short name")
}

/// Two cores, memory for plenty, one retryable request class with a target of 1 s, then what `more` says.
pub fn flat_settings(more: &str) -> FlatSettings {
    let plain = "server.cores=2 server.memory_kb=100000 server.run_factor=8 server.stop=drop \
        rules.crowd_multiple=5 rules.cold_share=0.2 rules.cold_us=10000000 rules.drain_grace_us=2000000 \
        limits.retry_after=1 limits.max_retry_after_us=1000000 counted_by=op servers=1 \
        op_types.0.target_latency_us=1000000 op_types.0.op_timeout_us=4000000 op_types.0.repeats=retryable";
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=').expect("name=value");
        (
            name.to_string(),
            value.parse().map_or_else(|_| SettingValue::Text(value.into()), SettingValue::Number),
        )
    };
    plain.split_whitespace().chain(more.split_whitespace()).map(pair).collect()
}

impl Play {
    pub fn new(more: &str) -> Self {
        let now = Timestamp::from_us(50_000_000);
        let catalog = Catalog::from_flat(flat_settings(more)).expect("sound settings");
        let cold = catalog.settings().starts_cold;
        let catalog = Rc::new(RefCell::new(catalog));
        let controller = AdmissionController::with(catalog.clone(), cold, 7, now);
        let run = Duration::from_ms(200);
        Self {
            controller,
            catalog,
            start: now,
            now,
            trace: String::new(),
            ends: BTreeMap::new(),
            run,
            reads: 0.0,
        }
    }

    /// Has the settings become those of a newer file, or says why not.
    pub fn change(&mut self, more: &str) -> Result<ChangeSummary, ConfigError> {
        let change = {
            let in_force = self.catalog.borrow();
            let mut difference = Difference::new(&in_force);
            let rest = read_flat_entries(&mut difference, flat_settings(more))?;
            difference.complete(&rest)?
        };
        self.controller.apply_change(self.now, &change)
    }

    pub fn at(&mut self, ms: u64) -> &mut Self {
        self.now = self.start + Duration::from_ms(ms);
        self
    }

    pub fn read(&mut self, name: &str, read: Read) -> &mut Self {
        let user = (!read.user.is_empty()).then(|| SessionKey::of(read.user));
        let (due, cost) = (self.now + Duration::from_ms(read.wait_ms), read.cost_ms.map(Duration::from_ms));
        let (request_class, retry_of) = (RequestClassId(read.request_class), read.retry_of.map(id));
        let new = NewRequest {
            id: id(name),
            class: request_class,
            tenant: TenantId(read.tenant),
            session: user,
            client: ClientId(read.caller),
            deadline: Some(due),
            cost,
            size_kb: read.kb,
            age: Duration::ZERO,
            is_write: false,
            retry_of,
        };
        self.controller.request_received(self.now, new);
        self
    }

    pub fn ended(&mut self, name: &str, outcome: Outcome) -> &mut Self {
        self.controller.run_finished(self.now, id(name), outcome);
        self
    }

    pub fn call_requested(&mut self, name: &str) -> &mut Self {
        self.controller.call_requested(self.now, id(name));
        self
    }

    pub fn call_finished(&mut self, name: &str, outcome: Outcome) -> &mut Self {
        self.controller.call_finished(self.now, id(name), outcome);
        self
    }

    pub fn set_guidance(&mut self, key: GuidanceKey, value: Option<f64>) -> &mut Self {
        self.controller.set_guidance(self.now, key, value);
        self
    }

    pub fn beat(&mut self, on_cores: f64) -> &mut Self {
        self.controller.timer_tick(self.now, RuntimeGauges::with_requests_on_cores(on_cores));
        self
    }

    pub fn pull(&mut self) -> Vec<Decision> {
        let pulled: Vec<Decision> = std::iter::from_fn(|| self.controller.next_decision(self.now)).collect();
        for decision in pulled
            .iter()
            .filter(|d| !matches!(d, Decision::SetTimer(_) | Decision::SetHealth { active: true, .. }))
        {
            let text = match decision {
                Decision::Log(event) => format!("log: {event}"),
                other => format!("{other:?}").replace("--", "").replace("-)", ")").replace("-,", ","),
            };
            let ms = (self.now - self.start).us() / 1000;
            self.trace += &format!("{ms:<5} {text}\n");
        }
        pulled
    }

    /// Reads `per_s` requests a second of ever new users for so long; each run ends after `self.run`.
    pub fn load(&mut self, ms: u64, per_s: u64) -> &mut Self {
        let from = self.now;
        let mut read = 0;
        while self.now - from < Duration::from_ms(ms) {
            self.now = self.now + Duration::from_ms(10);
            while let Some(((end, request), ())) = self.ends.first_key_value()
                && *end <= self.now
            {
                let request = *request;
                self.ends.pop_first();
                self.controller.run_finished(self.now, request, Outcome::Ok);
            }
            while read < (self.now - from).us() * per_s / 1_000_000 {
                read += 1;
                let name = format!("n{}x{read}", (from - self.start).us());
                self.read(&name, Read { user: &name, ..Read::default() });
            }
            if (self.now - self.start).us().is_multiple_of(40_000) {
                self.beat(self.ends.len() as f64 + self.reads);
            }
            for decision in self.pull() {
                match decision {
                    Decision::Run(request) => drop(self.ends.insert((self.now + self.run, request), ())),
                    Decision::Preempt(request) => {
                        self.ends.retain(|(_, ends), ()| *ends != request);
                        self.controller.run_finished(self.now, request, Outcome::Preempted);
                    }
                    _ => {}
                }
            }
        }
        self
    }

    /// The lines since the last time, or only those with one of `words`.
    pub fn seen(&mut self, words: &[&str]) -> String {
        let trace = std::mem::take(&mut self.trace);
        let wanted = |line: &&str| words.is_empty() || words.iter().any(|word| line.contains(word));
        trace.lines().filter(wanted).map(|line| format!("{line}\n")).collect()
    }
}
