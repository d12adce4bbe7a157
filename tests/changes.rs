//! Changes of the configuration while requests are in progress: which terms apply, what is refused, what survives.

mod helpers;

use expect_test::expect;
use hazelspur::config::change::{Edit, EditCounts, MAX_EDITS, SettingEdit};
use hazelspur::pcg::Pcg;
use hazelspur::{
    Catalog, Change, ControllerSettings, Decision, Duration, Outcome, RequestClass, SettingValue, Tenant,
    Timestamp,
};
use helpers::{Harness, RequestSpec, flat_settings};
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Three request classes and two tenants; each `key=value` in `edits` replaces that of its key.
fn file(edits: &str) -> String {
    let plain = "op_types.0.name=view op_types.1.name=book op_types.1.target_latency_us=1000000 \
        op_types.1.op_timeout_us=4000000 op_types.1.repeats=keyed op_types.1.window_us=5000000 \
        op_types.2.name=pay op_types.2.target_latency_us=1000000 op_types.2.op_timeout_us=4000000 \
        op_types.2.repeats=non-retryable tenants.0.name=a tenants.0.quota_per_s=50 tenants.1.name=b \
        tenants.1.quota_per_s=50 ";
    plain.to_string() + edits
}

/// The same without some request classes or tenants; those left are numbered again.
fn without(gone: &[&str], edits: &str) -> String {
    let all: Vec<String> = file(edits).split_whitespace().map(String::from).collect();
    let mut out = String::new();
    for table in ["op_types", "tenants"] {
        let mut at = 0;
        for old in 0..3 {
            let prefix = format!("{table}.{old}.");
            let of: Vec<&String> = all.iter().filter(|word| word.starts_with(&prefix)).collect();
            if of.is_empty() || gone.iter().any(|name| of.contains(&&format!("{prefix}name={name}"))) {
                continue;
            }
            for word in of {
                let _ = write!(out, "{table}.{at}.{} ", &word[prefix.len()..]);
            }
            at += 1;
        }
    }
    out + "op_types.0.target_latency_us=1000000 op_types.0.op_timeout_us=4000000"
}

fn harness() -> Harness {
    let mut harness = Harness::new(&file(""));
    harness.decide();
    harness.take_trace(&[]);
    harness
}

#[test]
fn requests_in_progress_keep_the_terms_under_which_they_were_read() {
    let mut harness = harness();
    // Two run and two are queued by the old terms; the first is idempotent, so its call may be retried.
    for (name, request_class) in [("one", 0), ("two", 0), ("old-low", 0), ("old-pay", 2)] {
        harness
            .receive(name, RequestSpec { request_class, remaining_wait_ms: 4000, ..RequestSpec::default() });
    }
    harness.decide();
    harness.call_requested("one").decide();
    let changed = harness.apply_settings(&file(
        "op_types.0.importance=9 op_types.0.op_timeout_us=900000 op_types.0.target_latency_us=800000 \
         op_types.0.repeats=non-retryable tenants.0.quota_per_s=5",
    ));
    assert_eq!(
        changed.map(|changed| changed.request_classes),
        Ok(EditCounts { added: 0, replaced: 1, removed: 0 })
    );
    harness.receive(
        "new-high",
        RequestSpec { request_class: 0, remaining_wait_ms: 900, ..RequestSpec::default() },
    );
    harness.decide();
    harness.call_finished("one", Outcome::ConnectionLost).decide();
    harness.at(100).finish_run("two", Outcome::Ok).decide();
    harness.at(860).tick(2.0).decide();
    harness.at(960).tick(2.0).decide();
    harness.at(4000).tick(2.0).decide();
    expect![[r#"
        0     Run(one)
        0     Run(two)
        0     StartCall { request: one, timeout: Duration(4000000) }
        0     Run(old-low)
        0     StartCall { request: one, timeout: Duration(4000000) }
        100   Run(new-high)
        860   Fail(new-high)
        860   Preempt(new-high)
        860   Reject { request: old-pay, retry_after: Duration(168517), do_not_retry_elsewhere: false }
        960   Fail(one)
        960   Fail(old-low)
        960   Preempt(old-low)
        4000  Preempt(old-low)
        4000  Preempt(new-high)
    "#]]
    .assert_eq(&harness.take_trace(&[]));
}

#[test]
fn requests_of_a_removed_class_finish_and_new_ones_are_rejected() {
    let mut harness = harness();
    harness.receive("runs", RequestSpec { request_class: 2, ..RequestSpec::default() });
    harness.receive("runs-too", RequestSpec { request_class: 0, ..RequestSpec::default() });
    harness.receive("waits", RequestSpec { request_class: 2, ..RequestSpec::default() });
    harness.decide();
    harness.apply_settings(&without(&["pay"], "")).expect("a valid change");
    harness.receive("late", RequestSpec { request_class: 2, ..RequestSpec::default() });
    harness.decide();
    harness.at(50).finish_run("runs", Outcome::Ok).decide();
    harness.at(90).finish_run("waits", Outcome::Ok).decide();
    harness.apply_settings(&file("")).expect("a valid change");
    let again = harness.catalog.borrow().find_request_class("pay").expect("in force again").0;
    assert_eq!(again.0, 3, "another id than before");
    harness.receive("back", RequestSpec { request_class: again.0, ..RequestSpec::default() });
    harness.decide();
    expect![[r#"
        0     Run(runs)
        0     Run(runs-too)
        0     Reject { request: late, retry_after: Duration(0), do_not_retry_elsewhere: true }
        50    Run(waits)
        90    Run(back)
    "#]]
    .assert_eq(&harness.take_trace(&[]));
}

#[test]
fn unsafe_changes_are_refused_with_their_key_and_no_part_applies() {
    let mut harness = harness();
    let in_force = |harness: &Harness| {
        let catalog = harness.catalog.borrow();
        format!("{:?} {:?} {:?}", catalog.request_classes(), catalog.tenants(), catalog.flat_settings())
    };
    let before = in_force(&harness);
    let many: String = (2..MAX_EDITS + 4).map(|i| format!(" tenants.{i}.name=n{i}")).collect();
    // Stands beside each fault; alone it is accepted.
    let valid = "op_types.0.importance=9 tenants.1.quota_per_s=70 ";
    let faults = [
        "op_types.1.window_us=4999999",
        "op_types.1.repeats=retryable",
        "op_types.1.repeats=non-retryable",
        "op_types.1.op_timeout_us=4000001",
        "op_types.3.name=new op_types.3.target_latency_us=1 op_types.3.repeats=keyed op_types.3.op_timeout_us=9000000",
        "op_types.2.importance=-1",
        "op_types.2.repeats=sometimes",
        "op_types.2.colour=red",
        "op_types.2.name=view",
        "tenants.1.quota_per_s=inf",
        "tenants.2.name=",
        "server.cores=3",
        "server.calls_bound=9",
        "rules.drain_grace_us=1",
        "new.figure=1",
        "limits.max_retry_after_us=-1",
        &many,
    ];
    let mut errors = String::new();
    for fault in faults {
        let why = harness.apply_settings(&file(&format!("{valid}{fault}"))).expect_err(fault);
        let _ = writeln!(errors, "{why}");
        assert_eq!(in_force(&harness), before, "{fault}");
    }
    for other in ["op_types.0.name=x op_types.0.target_latency_us=9", "tenants.0.name=x"] {
        let file = file("").replace("view", "x1").replace("book", "x2").replace("pay", "x3");
        let file = if other.starts_with("op") {
            file
        } else {
            self::file("").replace("name=a", "name=c").replace("name=b", "name=d")
        };
        let _ = writeln!(errors, "{}", harness.apply_settings(&file).expect_err(other));
        assert_eq!(in_force(&harness), before, "{other}");
    }
    expect![[r#"
        settings: op_types.book.window_us: shorter than that of ops whose keys are kept; waits for the next start
        settings: op_types.book.repeats: its keys are kept, a repeat would run again; waits for the next start
        settings: op_types.book.repeats: its keys are kept, a repeat would run again; waits for the next start
        settings: op_types.book.op_timeout_us: keys are kept for no longer than the start's waits; waits for the next start
        settings: op_types.new.op_timeout_us: keys are kept for no longer than the start's waits; waits for the next start
        setting op_types.2.importance is absurd: -1
        setting op_types.2.repeats is not known: sometimes
        settings: op_types.colour: an unknown key, not there at the start
        settings.lanes: view: named twice
        setting tenants.1.quota_per_s is absurd: inf
        settings.orgs: an entry without a name can't change in place
        settings: server.cores: waits for the next start
        settings: server.calls_bound: waits for the next start
        settings: rules.drain_grace_us: waits for the next start
        settings: new.figure: waits for the next start
        setting limits.max_retry_after_us is absurd: -1
        settings: more than 4096 differences, the most of one change
        settings.lanes: none of those in force is left: another installation's file
        settings.orgs: none of those in force is left: another installation's file
    "#]].assert_eq(&errors);
    harness.apply_settings(&file(valid)).expect("a valid change");
}

#[test]
fn a_removed_class_may_not_return_with_less_deduplication_while_its_keys_are_stored() {
    let mut harness = harness();
    harness.apply_settings(&without(&["book"], "")).expect("a valid change");
    let back = |repeats: &str| {
        file("").replace("op_types.1.repeats=keyed", &format!("op_types.1.repeats={repeats}"))
    };
    let early = harness.apply_settings(&back("retryable")).expect_err("its keys are stored");
    harness.at(20_999);
    let before_expiry =
        harness.apply_settings(&back("retryable")).expect_err("the last retry may still arrive");
    harness.at(21_000);
    let late = harness.apply_settings(&back("retryable")).map(|changed| changed.request_classes);
    expect![[r#"
        settings: op_types.book.repeats: its keys are kept, a repeat would run again; waits for the next start
        settings: op_types.book.repeats: its keys are kept, a repeat would run again; waits for the next start
        Ok(EditCounts { added: 1, replaced: 0, removed: 0 })
    "#]]
    .assert_eq(&format!("{early}\n{before_expiry}\n{late:?}\n"));
}

#[test]
fn admission_rate_learned_values_and_active_sessions_survive_a_change() {
    let (mut changed, mut unchanged) = (harness(), harness());
    let mut seen = [String::new(), String::new()];
    for (harness, seen) in [&mut changed, &mut unchanged].into_iter().zip(&mut seen) {
        harness.offer_load(8000, 9);
        harness.run_time = Duration::from_ms(300);
        harness.offer_load(6000, 20);
        *seen = harness.take_trace(&["mode rate_limited"]);
    }
    changed.apply_settings(&file("op_types.2.importance=3 tenants.1.quota_per_s=9")).expect("a valid change");
    for (harness, seen) in [&mut changed, &mut unchanged].into_iter().zip(&mut seen) {
        harness.offer_load(6000, 20);
        *seen += &harness.take_trace(&["mode"]);
    }
    assert!(seen[0].contains("mode rate_limited"), "{}", seen[0]);
    assert_eq!(seen[0], seen[1], "the same lines at the same times");
}

/// Counts the final responses of each request among the decisions.
fn count_responses(all: &mut BTreeMap<String, u32>, decisions: &[Decision]) {
    for decision in decisions {
        if let Decision::Reject { request, .. } | Decision::Fail(request) = decision {
            *all.entry(request.to_string()).or_default() += 1;
        }
    }
}

#[test]
fn thirty_changes_in_a_minute_and_one_while_draining_lose_no_response() {
    let mut chance = Pcg::new(5);
    let mut harness = harness();
    let (mut answered, mut read, mut ends) = (BTreeMap::new(), 0, BTreeMap::new());
    for step in 0..6000u64 {
        harness.at(step * 10);
        if step % 200 == 100 {
            let gone: &[&str] = if step % 400 == 100 { &["pay"] } else { &[] };
            let more = format!("op_types.0.importance={} tenants.0.quota_per_s={}", 1 + step % 7, step);
            harness.apply_settings(&without(gone, &more)).expect("a valid change");
        }
        if step == 5500 {
            harness.controller.shutdown_notice(harness.now, harness.now + Duration::from_ms(4000));
        }
        if step < 5500 {
            for name in ["view", "book", "pay"] {
                let id = harness.catalog.borrow().find_request_class(name).map(|(id, _)| id.0);
                if let Some(request_class) = id.filter(|_| chance.draw_fraction() < 0.08) {
                    read += 1;
                    let (user, tenant) = (format!("u{}", read % 50), read % 2);
                    harness.receive(
                        &format!("op{read}"),
                        RequestSpec { request_class, tenant, session: &user, ..RequestSpec::default() },
                    );
                }
            }
        }
        let over: Vec<String> = ends
            .iter()
            .filter(|(_, at)| **at <= step)
            .map(|(request, _): (&String, _)| request.clone())
            .collect();
        for request in over {
            ends.remove(&request);
            harness.finish_run(&request, Outcome::Ok);
            *answered.entry(request).or_default() += 1;
        }
        if step % 4 == 0 {
            harness.tick(ends.len() as f64);
        }
        let decisions = harness.decide();
        count_responses(&mut answered, &decisions);
        for decision in &decisions {
            let name = |request: &hazelspur::RequestId| request.to_string().trim_end_matches('-').to_string();
            match decision {
                Decision::Run(request) => {
                    ends.insert(name(request), step + 5 + u64::from(chance.draw() % 40));
                }
                // The response was sent already: the end of the run is no second one.
                Decision::Preempt(request) => {
                    ends.remove(&name(request));
                    harness.finish_run(&name(request), Outcome::Preempted);
                }
                _ => {}
            }
        }
    }
    let answered: BTreeMap<String, u32> =
        answered.into_iter().fold(BTreeMap::new(), |mut all, (request, n): (String, u32)| {
            *all.entry(request.trim_end_matches('-').to_string()).or_default() += n;
            all
        });
    assert!(read > 1000, "{read}");
    assert_eq!(answered.len(), read, "each request has a response");
    let twice: Vec<&String> = answered.iter().filter(|(_, n)| **n > 1).map(|(request, _)| request).collect();
    assert!(twice.is_empty(), "{twice:?}");
}

/// Random request classes and tenants with random terms.
fn random_entries(chance: &mut Pcg) -> Vec<(String, SettingValue)> {
    let mut words: Vec<(String, SettingValue)> = Vec::new();
    for (table, most) in [("op_types", 9), ("tenants", 7)] {
        let mut at = 0;
        for of in 0..most {
            // The first entry stays, so that no change removes a whole table.
            if of > 0 && chance.draw_fraction() < 0.4 {
                continue;
            }
            let mut put = |key: &str, fact| words.push((format!("{table}.{at}.{key}"), fact));
            put("name", SettingValue::Text(format!("{table}{of}")));
            if table == "op_types" {
                put("target_latency_us", SettingValue::Number(f64::from(chance.draw() % 3 + 1) * 1e5));
                put(
                    "repeats",
                    SettingValue::Text(["retryable", "non-retryable"][chance.draw() as usize % 2].into()),
                );
            } else {
                put("quota_per_s", SettingValue::Number(f64::from(chance.draw() % 5)));
            }
            at += 1;
        }
    }
    words
}

#[test]
fn after_any_sequence_of_changes_the_catalog_equals_the_last_file() {
    let (mut most_id, mut changes) = (0, 0);
    for seed in 0..40 {
        let mut chance = Pcg::new(seed);
        let mut harness = Harness::new("op_types.0.name=op_types0 tenants.0.name=tenants0");
        let mut names: BTreeMap<usize, String> = BTreeMap::new();
        for _ in 0..40 {
            let more: String = random_entries(&mut chance)
                .into_iter()
                .map(|(key, fact)| match fact {
                    SettingValue::Number(n) => format!("{key}={n} "),
                    SettingValue::Text(text) => format!("{key}={text} "),
                })
                .collect();
            harness.apply_settings(&more).expect("a valid change");
            changes += 1;
            let fresh = Catalog::from_flat(flat_settings(&more)).expect("valid settings");
            let in_force = harness.catalog.borrow();
            let by_name = |catalog: &Catalog| {
                let mut all: Vec<String> =
                    catalog.request_classes().iter().map(|(_, of)| format!("{of:?}")).collect();
                all.extend(catalog.tenants().iter().map(|(_, of)| format!("{of:?}")));
                all.sort();
                let first = catalog.find_tenant(None).map(|(_, name)| name);
                (all, catalog.flat_settings().clone(), first)
            };
            assert_eq!(by_name(&in_force), by_name(&fresh), "seed {seed}: {more}");
            for (id, terms) in in_force.request_classes() {
                most_id = most_id.max(id.0);
                let of = names.entry(id.0).or_insert_with(|| terms.name.to_string());
                assert_eq!(**of, *terms.name, "an id keeps its name");
            }
        }
    }
    assert!(changes == 1600 && most_id > 50, "{changes} {most_id}");
}

/// A change of one setting; `None` removes its key.
fn setting_change(key: &str, value: Option<f64>) -> Change {
    let edit = SettingEdit { key: key.into(), value: value.map(SettingValue::Number) };
    Change { settings: vec![edit], ..Change::default() }
}

#[test]
fn a_changed_setting_applies_and_a_removed_one_returns_to_the_figure_of_the_start() {
    let settings = ControllerSettings { cores: 4.0, servers: 7.0, ..ControllerSettings::default() };
    let mut catalog = Catalog::with_settings(settings);
    let now = Timestamp::default();
    for (value, servers) in [(Some(9.0), 9.0), (None, 7.0)] {
        let change = setting_change("servers", value);
        assert_eq!(catalog.check(now, &change), Ok(()));
        assert_eq!(catalog.apply(now, &change).summary.settings, 1);
        assert_eq!((catalog.settings().servers, catalog.settings().cores), (servers, 4.0));
    }
}

#[test]
fn errors_of_invalid_changes_name_the_key_or_the_entry() {
    let catalog = Catalog::default();
    let class = |name: &str| Edit::Put(RequestClass { name: name.into(), ..RequestClass::default() });
    let classes = |edits: Vec<Edit<RequestClass>>| Change { request_classes: edits, ..Change::default() };
    let tenants = |edits: Vec<Edit<Tenant>>| Change { tenants: edits, ..Change::default() };
    let changes = [
        classes((0..=MAX_EDITS).map(|i| class(&format!("n{i}"))).collect()),
        classes(vec![class("")]),
        classes(vec![class("a"), class("a")]),
        tenants(vec![Edit::Remove("a".into())]),
        Change { default_tenant: Some("a".into()), ..Change::default() },
        setting_change("servers", Some(f64::NAN)),
        setting_change("server.cores", Some(2.0)),
    ];
    let errors = changes.iter().map(|change| {
        catalog.check(Timestamp::default(), change).expect_err("an invalid change").to_string() + "\n"
    });
    expect![[r#"
        settings: 4097 differences, 4096 at most in one change
        settings.lanes: : no name, one over 255 bytes, or edited twice
        settings.lanes: a: no name, one over 255 bytes, or edited twice
        settings.orgs: a: is not there to go
        settings.orgs: a: the first tenant is none
        settings: setting servers is absurd: NaN
        settings: server.cores: waits for the next start
    "#]]
    .assert_eq(&errors.collect::<String>());
}
