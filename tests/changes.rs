//! Tests of configuration changes while requests are in progress: which settings apply to which request,
//! which changes are rejected and which state is kept.

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

/// Returns settings with three request classes and two tenants. Each `key=value` in `edits` replaces the
/// value of its key.
fn file_with(edits: &str) -> String {
    let base = "op_types.0.name=view op_types.1.name=book op_types.1.target_latency_us=1000000 \
        op_types.1.op_timeout_us=4000000 op_types.1.repeats=keyed op_types.1.window_us=5000000 \
        op_types.2.name=pay op_types.2.target_latency_us=1000000 op_types.2.op_timeout_us=4000000 \
        op_types.2.repeats=non-retryable tenants.0.name=a tenants.0.quota_per_s=50 tenants.1.name=b \
        tenants.1.quota_per_s=50 ";
    base.to_string() + edits
}

/// Returns the settings of `file_with(edits)` without the request classes and tenants named in `removed`. The
/// remaining ones are renumbered.
fn file_without(removed: &[&str], edits: &str) -> String {
    let words: Vec<String> = file_with(edits).split_whitespace().map(String::from).collect();
    let mut out = String::new();
    for table in ["op_types", "tenants"] {
        let mut index = 0;
        for old_index in 0..3 {
            let prefix = format!("{table}.{old_index}.");
            let entry: Vec<&String> = words.iter().filter(|word| word.starts_with(&prefix)).collect();
            if entry.is_empty() || removed.iter().any(|name| entry.contains(&&format!("{prefix}name={name}")))
            {
                continue;
            }
            for word in entry {
                let _ = write!(out, "{table}.{index}.{} ", &word[prefix.len()..]);
            }
            index += 1;
        }
    }
    out + "op_types.0.target_latency_us=1000000 op_types.0.op_timeout_us=4000000"
}

fn harness() -> Harness {
    let mut harness = Harness::new(&file_with(""));
    harness.decide();
    harness.take_trace(&[]);
    harness
}

#[test]
fn requests_in_progress_keep_the_settings_of_their_arrival() {
    let mut harness = harness();
    // Two requests run and two are queued under the old settings. The first is idempotent, so its call may be
    // retried.
    for (name, request_class) in [("one", 0), ("two", 0), ("old-low", 0), ("old-pay", 2)] {
        harness
            .receive(name, RequestSpec { request_class, remaining_wait_ms: 4000, ..RequestSpec::default() });
    }
    harness.decide();
    harness.call_requested("one").decide();
    let changed = harness.apply_settings(&file_with(
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
    harness.apply_settings(&file_without(&["pay"], "")).expect("a valid change");
    harness.receive("late", RequestSpec { request_class: 2, ..RequestSpec::default() });
    harness.decide();
    harness.at(50).finish_run("runs", Outcome::Ok).decide();
    harness.at(90).finish_run("waits", Outcome::Ok).decide();
    harness.apply_settings(&file_with("")).expect("a valid change");
    let new_id = harness.catalog.borrow().find_request_class("pay").expect("in force again").0;
    assert_eq!(new_id.0, 3, "the id is not reused");
    harness.receive("back", RequestSpec { request_class: new_id.0, ..RequestSpec::default() });
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
fn unsafe_change_is_rejected_whole_and_names_the_key() {
    let mut harness = harness();
    let in_force = |harness: &Harness| {
        let catalog = harness.catalog.borrow();
        format!("{:?} {:?} {:?}", catalog.request_classes(), catalog.tenants(), catalog.flat_settings())
    };
    let before = in_force(&harness);
    let too_many: String = (2..MAX_EDITS + 4).map(|i| format!(" tenants.{i}.name=n{i}")).collect();
    // Accepted alone, so that each refusal is due to the fault beside it.
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
        &too_many,
    ];
    let mut errors = String::new();
    for fault in faults {
        let error = harness.apply_settings(&file_with(&format!("{valid}{fault}"))).expect_err(fault);
        let _ = writeln!(errors, "{error}");
        assert_eq!(in_force(&harness), before, "{fault}");
    }
    // Files in which every request class, or every tenant, has another name than in force.
    for other in ["op_types.0.name=x op_types.0.target_latency_us=9", "tenants.0.name=x"] {
        let file = file_with("").replace("view", "x1").replace("book", "x2").replace("pay", "x3");
        let file = if other.starts_with("op") {
            file
        } else {
            file_with("").replace("name=a", "name=c").replace("name=b", "name=d")
        };
        let _ = writeln!(errors, "{}", harness.apply_settings(&file).expect_err(other));
        assert_eq!(in_force(&harness), before, "{other}");
    }
    expect![[r#"
        settings: op_types.book.window_us: shorter than the window of keys that are still stored; the change requires a restart
        settings: op_types.book.repeats: keys of its requests are still stored, and a retry would run again; the change requires a restart
        settings: op_types.book.repeats: keys of its requests are still stored, and a retry would run again; the change requires a restart
        settings: op_types.book.op_timeout_us: longer than the longest timeout at the start, for which keys are stored; the change requires a restart
        settings: op_types.new.op_timeout_us: longer than the longest timeout at the start, for which keys are stored; the change requires a restart
        setting op_types.2.importance is out of range: -1
        setting op_types.2.repeats has an unknown value: sometimes
        settings: op_types.colour: unknown key, absent at the start
        settings.lanes: duplicate name view
        setting tenants.1.quota_per_s is out of range: inf
        settings.orgs: an entry without a name can change only with a restart
        settings: server.cores: the change requires a restart
        settings: server.calls_bound: the change requires a restart
        settings: rules.drain_grace_us: the change requires a restart
        settings: new.figure: the change requires a restart
        setting limits.max_retry_after_us is out of range: -1
        settings: more than 4096 differences, the maximum of one change
        settings.lanes: no entry in force is left; likely another installation's file
        settings.orgs: no entry in force is left; likely another installation's file
    "#]].assert_eq(&errors);
    harness.apply_settings(&file_with(valid)).expect("a valid change");
}

#[test]
fn removed_class_cannot_return_unkeyed_while_keys_are_stored() {
    let mut harness = harness();
    harness.apply_settings(&file_without(&["book"], "")).expect("a valid change");
    let back = |repeats: &str| {
        file_with("").replace("op_types.1.repeats=keyed", &format!("op_types.1.repeats={repeats}"))
    };
    let early = harness.apply_settings(&back("retryable")).expect_err("its keys are stored");
    harness.at(20_999);
    let before_expiry =
        harness.apply_settings(&back("retryable")).expect_err("the last retry may still arrive");
    harness.at(21_000);
    let late = harness.apply_settings(&back("retryable")).map(|changed| changed.request_classes);
    expect![[r#"
        settings: op_types.book.repeats: keys of its requests are still stored, and a retry would run again; the change requires a restart
        settings: op_types.book.repeats: keys of its requests are still stored, and a retry would run again; the change requires a restart
        Ok(EditCounts { added: 1, replaced: 0, removed: 0 })
    "#]]
    .assert_eq(&format!("{early}\n{before_expiry}\n{late:?}\n"));
}

#[test]
fn change_keeps_admission_rate_profiles_and_sessions() {
    let (mut changed, mut unchanged) = (harness(), harness());
    let mut seen = [String::new(), String::new()];
    for (harness, seen) in [&mut changed, &mut unchanged].into_iter().zip(&mut seen) {
        harness.offer_load(8000, 9);
        harness.run_time = Duration::from_ms(300);
        harness.offer_load(6000, 20);
        *seen = harness.take_trace(&["mode rate_limited"]);
    }
    changed
        .apply_settings(&file_with("op_types.2.importance=3 tenants.1.quota_per_s=9"))
        .expect("a valid change");
    for (harness, seen) in [&mut changed, &mut unchanged].into_iter().zip(&mut seen) {
        harness.offer_load(6000, 20);
        *seen += &harness.take_trace(&["mode"]);
    }
    assert!(seen[0].contains("mode rate_limited"), "{}", seen[0]);
    assert_eq!(seen[0], seen[1], "the same lines at the same times");
}

/// Adds the final responses among the decisions to the count of each request.
fn count_responses(responses: &mut BTreeMap<String, u32>, decisions: &[Decision]) {
    for decision in decisions {
        if let Decision::Reject { request, .. } | Decision::Fail(request) = decision {
            *responses.entry(request.to_string()).or_default() += 1;
        }
    }
}

#[test]
fn frequent_changes_and_draining_lose_no_response() {
    let mut random = Pcg::new(5);
    let mut harness = harness();
    let (mut responses, mut received, mut run_ends) = (BTreeMap::new(), 0, BTreeMap::new());
    for step in 0..6000u64 {
        harness.at(step * 10);
        if step % 200 == 100 {
            let removed: &[&str] = if step % 400 == 100 { &["pay"] } else { &[] };
            let edits = format!("op_types.0.importance={} tenants.0.quota_per_s={}", 1 + step % 7, step);
            harness.apply_settings(&file_without(removed, &edits)).expect("a valid change");
        }
        if step == 5500 {
            harness.controller.shutdown_notice(harness.now, harness.now + Duration::from_ms(4000));
        }
        if step < 5500 {
            for name in ["view", "book", "pay"] {
                let id = harness.catalog.borrow().find_request_class(name).map(|(id, _)| id.0);
                if let Some(request_class) = id.filter(|_| random.draw_fraction() < 0.08) {
                    received += 1;
                    let (user, tenant) = (format!("u{}", received % 50), received % 2);
                    harness.receive(
                        &format!("op{received}"),
                        RequestSpec { request_class, tenant, session: &user, ..RequestSpec::default() },
                    );
                }
            }
        }
        let finished: Vec<String> = run_ends
            .iter()
            .filter(|(_, at)| **at <= step)
            .map(|(request, _): (&String, _)| request.clone())
            .collect();
        for request in finished {
            run_ends.remove(&request);
            harness.finish_run(&request, Outcome::Ok);
            *responses.entry(request).or_default() += 1;
        }
        if step % 4 == 0 {
            harness.tick(run_ends.len() as f64);
        }
        let decisions = harness.decide();
        count_responses(&mut responses, &decisions);
        for decision in &decisions {
            let name = |request: &hazelspur::RequestId| request.to_string().trim_end_matches('-').to_string();
            match decision {
                Decision::Run(request) => {
                    run_ends.insert(name(request), step + 5 + u64::from(random.draw() % 40));
                }
                // The response was sent already, so the end of the run is not a second one.
                Decision::Preempt(request) => {
                    run_ends.remove(&name(request));
                    harness.finish_run(&name(request), Outcome::Preempted);
                }
                _ => {}
            }
        }
    }
    let responses: BTreeMap<String, u32> =
        responses.into_iter().fold(BTreeMap::new(), |mut all, (request, n): (String, u32)| {
            *all.entry(request.trim_end_matches('-').to_string()).or_default() += n;
            all
        });
    assert!(received > 1000, "{received}");
    assert_eq!(responses.len(), received, "each request has a response");
    let twice: Vec<&String> = responses.iter().filter(|(_, n)| **n > 1).map(|(request, _)| request).collect();
    assert!(twice.is_empty(), "{twice:?}");
}

/// Returns random request classes and tenants with random settings.
fn random_entries(random: &mut Pcg) -> Vec<(String, SettingValue)> {
    let mut settings: Vec<(String, SettingValue)> = Vec::new();
    for (table, max_entries) in [("op_types", 9), ("tenants", 7)] {
        let mut index = 0;
        for number in 0..max_entries {
            // The first entry is always present, so that no change removes a whole table.
            if number > 0 && random.draw_fraction() < 0.4 {
                continue;
            }
            let mut put = |key: &str, value| settings.push((format!("{table}.{index}.{key}"), value));
            put("name", SettingValue::Text(format!("{table}{number}")));
            if table == "op_types" {
                put("target_latency_us", SettingValue::Number(f64::from(random.draw() % 3 + 1) * 1e5));
                put(
                    "repeats",
                    SettingValue::Text(["retryable", "non-retryable"][random.draw() as usize % 2].into()),
                );
            } else {
                put("quota_per_s", SettingValue::Number(f64::from(random.draw() % 5)));
            }
            index += 1;
        }
    }
    settings
}

#[test]
fn catalog_after_random_changes_equals_the_last_file() {
    let (mut max_id, mut changes) = (0, 0);
    for seed in 0..40 {
        let mut random = Pcg::new(seed);
        let mut harness = Harness::new("op_types.0.name=op_types0 tenants.0.name=tenants0");
        let mut names: BTreeMap<usize, String> = BTreeMap::new();
        for _ in 0..40 {
            let file: String = random_entries(&mut random)
                .into_iter()
                .map(|(key, value)| match value {
                    SettingValue::Number(n) => format!("{key}={n} "),
                    SettingValue::Text(text) => format!("{key}={text} "),
                })
                .collect();
            harness.apply_settings(&file).expect("a valid change");
            changes += 1;
            let fresh = Catalog::from_flat(flat_settings(&file)).expect("valid settings");
            let in_force = harness.catalog.borrow();
            let contents = |catalog: &Catalog| {
                let mut entries: Vec<String> =
                    catalog.request_classes().iter().map(|(_, entry)| format!("{entry:?}")).collect();
                entries.extend(catalog.tenants().iter().map(|(_, entry)| format!("{entry:?}")));
                entries.sort();
                let default_tenant = catalog.find_tenant(None).map(|(_, name)| name);
                (entries, catalog.flat_settings().clone(), default_tenant)
            };
            assert_eq!(contents(&in_force), contents(&fresh), "seed {seed}: {file}");
            for (id, class) in in_force.request_classes() {
                max_id = max_id.max(id.0);
                let name = names.entry(id.0).or_insert_with(|| class.name.to_string());
                assert_eq!(**name, *class.name, "an id keeps its name");
            }
        }
    }
    assert!(changes == 1600 && max_id > 50, "{changes} {max_id}");
}

/// Returns a change of one setting; `None` removes its key.
fn setting_change(key: &str, value: Option<f64>) -> Change {
    let edit = SettingEdit { key: key.into(), value: value.map(SettingValue::Number) };
    Change { settings: vec![edit], ..Change::default() }
}

#[test]
fn removed_setting_falls_back_to_its_start_value() {
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
        settings: 4097 differences, at most 4096 allowed in one change
        settings.lanes: name '' is empty, over 255 bytes or edited twice
        settings.lanes: name 'a' is empty, over 255 bytes or edited twice
        settings.orgs: a cannot be removed: it is not in force
        settings.orgs: default tenant a is not in force
        settings: setting servers is out of range: NaN
        settings: server.cores: the change requires a restart
    "#]]
    .assert_eq(&errors.collect::<String>());
}
