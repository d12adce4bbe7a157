//! Changes of the configuration while requests are in progress: which terms apply, what is refused, what survives.

mod helpers;

use expect_test::expect;
use hazelspur::config::change::{Edit, EditCounts, MAX_EDITS, SettingEdit};
use hazelspur::pcg::Pcg;
use hazelspur::{
    Catalog, Change, ControllerSettings, Decision, Duration, Outcome, RequestClass, SettingValue, Tenant,
    Timestamp,
};
use helpers::{Play, Read, flat_settings};
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

fn play() -> Play {
    let mut play = Play::new(&file(""));
    play.pull();
    play.seen(&[]);
    play
}

#[test]
fn requests_in_progress_keep_the_terms_under_which_they_were_read() {
    let mut play = play();
    // Two run and two are queued by the old terms; the first is idempotent, so its call may be retried.
    for (name, request_class) in [("one", 0), ("two", 0), ("old-low", 0), ("old-pay", 2)] {
        play.read(name, Read { request_class, wait_ms: 4000, ..Read::default() });
    }
    play.pull();
    play.call_requested("one").pull();
    let changed = play.change(&file(
        "op_types.0.importance=9 op_types.0.op_timeout_us=900000 op_types.0.target_latency_us=800000 \
         op_types.0.repeats=non-retryable tenants.0.quota_per_s=5",
    ));
    assert_eq!(
        changed.map(|changed| changed.request_classes),
        Ok(EditCounts { added: 0, replaced: 1, removed: 0 })
    );
    play.read("new-high", Read { request_class: 0, wait_ms: 900, ..Read::default() });
    play.pull();
    play.call_finished("one", Outcome::ConnectionLost).pull();
    play.at(100).ended("two", Outcome::Ok).pull();
    play.at(860).beat(2.0).pull();
    play.at(960).beat(2.0).pull();
    play.at(4000).beat(2.0).pull();
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
    .assert_eq(&play.seen(&[]));
}

#[test]
fn requests_of_a_removed_class_finish_and_new_ones_are_rejected() {
    let mut play = play();
    play.read("runs", Read { request_class: 2, ..Read::default() });
    play.read("runs-too", Read { request_class: 0, ..Read::default() });
    play.read("waits", Read { request_class: 2, ..Read::default() });
    play.pull();
    play.change(&without(&["pay"], "")).expect("a valid change");
    play.read("late", Read { request_class: 2, ..Read::default() });
    play.pull();
    play.at(50).ended("runs", Outcome::Ok).pull();
    play.at(90).ended("waits", Outcome::Ok).pull();
    play.change(&file("")).expect("a valid change");
    let again = play.catalog.borrow().find_request_class("pay").expect("in force again").0;
    assert_eq!(again.0, 3, "another id than before");
    play.read("back", Read { request_class: again.0, ..Read::default() });
    play.pull();
    expect![[r#"
        0     Run(runs)
        0     Run(runs-too)
        0     Reject { request: late, retry_after: Duration(0), do_not_retry_elsewhere: true }
        50    Run(waits)
        90    Run(back)
    "#]]
    .assert_eq(&play.seen(&[]));
}

#[test]
fn unsafe_changes_are_refused_with_their_key_and_no_part_applies() {
    let mut play = play();
    let in_force = |play: &Play| {
        let catalog = play.catalog.borrow();
        format!("{:?} {:?} {:?}", catalog.request_classes(), catalog.tenants(), catalog.flat_settings())
    };
    let before = in_force(&play);
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
        let why = play.change(&file(&format!("{valid}{fault}"))).expect_err(fault);
        let _ = writeln!(errors, "{why}");
        assert_eq!(in_force(&play), before, "{fault}");
    }
    for other in ["op_types.0.name=x op_types.0.target_latency_us=9", "tenants.0.name=x"] {
        let file = file("").replace("view", "x1").replace("book", "x2").replace("pay", "x3");
        let file = if other.starts_with("op") {
            file
        } else {
            self::file("").replace("name=a", "name=c").replace("name=b", "name=d")
        };
        let _ = writeln!(errors, "{}", play.change(&file).expect_err(other));
        assert_eq!(in_force(&play), before, "{other}");
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
    play.change(&file(valid)).expect("a valid change");
}

#[test]
fn a_removed_class_may_not_return_with_less_deduplication_while_its_keys_are_stored() {
    let mut play = play();
    play.change(&without(&["book"], "")).expect("a valid change");
    let back = |repeats: &str| {
        file("").replace("op_types.1.repeats=keyed", &format!("op_types.1.repeats={repeats}"))
    };
    let early = play.change(&back("retryable")).expect_err("its keys are stored");
    play.at(20_999);
    let before_expiry = play.change(&back("retryable")).expect_err("the last retry may still arrive");
    play.at(21_000);
    let late = play.change(&back("retryable")).map(|changed| changed.request_classes);
    expect![[r#"
        settings: op_types.book.repeats: its keys are kept, a repeat would run again; waits for the next start
        settings: op_types.book.repeats: its keys are kept, a repeat would run again; waits for the next start
        Ok(EditCounts { added: 1, replaced: 0, removed: 0 })
    "#]]
    .assert_eq(&format!("{early}\n{before_expiry}\n{late:?}\n"));
}

#[test]
fn admission_rate_learned_values_and_active_sessions_survive_a_change() {
    let (mut changed, mut unchanged) = (play(), play());
    let mut seen = [String::new(), String::new()];
    for (play, seen) in [&mut changed, &mut unchanged].into_iter().zip(&mut seen) {
        play.load(8000, 9);
        play.run = Duration::from_ms(300);
        play.load(6000, 20);
        *seen = play.seen(&["mode bound"]);
    }
    changed.change(&file("op_types.2.importance=3 tenants.1.quota_per_s=9")).expect("a valid change");
    for (play, seen) in [&mut changed, &mut unchanged].into_iter().zip(&mut seen) {
        play.load(6000, 20);
        *seen += &play.seen(&["mode"]);
    }
    assert!(seen[0].contains("mode bound"), "{}", seen[0]);
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
    let mut play = play();
    let (mut answered, mut read, mut ends) = (BTreeMap::new(), 0, BTreeMap::new());
    for step in 0..6000u64 {
        play.at(step * 10);
        if step % 200 == 100 {
            let gone: &[&str] = if step % 400 == 100 { &["pay"] } else { &[] };
            let more = format!("op_types.0.importance={} tenants.0.quota_per_s={}", 1 + step % 7, step);
            play.change(&without(gone, &more)).expect("a valid change");
        }
        if step == 5500 {
            play.controller.shutdown_notice(play.now, play.now + Duration::from_ms(4000));
        }
        if step < 5500 {
            for name in ["view", "book", "pay"] {
                let id = play.catalog.borrow().find_request_class(name).map(|(id, _)| id.0);
                if let Some(request_class) = id.filter(|_| chance.unit() < 0.08) {
                    read += 1;
                    let (user, tenant) = (format!("u{}", read % 50), read % 2);
                    play.read(
                        &format!("op{read}"),
                        Read { request_class, tenant, user: &user, ..Read::default() },
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
            play.ended(&request, Outcome::Ok);
            *answered.entry(request).or_default() += 1;
        }
        if step % 4 == 0 {
            play.beat(ends.len() as f64);
        }
        let decisions = play.pull();
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
                    play.ended(&name(request), Outcome::Preempted);
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
            if of > 0 && chance.unit() < 0.4 {
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
        let mut play = Play::new("op_types.0.name=op_types0 tenants.0.name=tenants0");
        let mut names: BTreeMap<usize, String> = BTreeMap::new();
        for _ in 0..40 {
            let more: String = random_entries(&mut chance)
                .into_iter()
                .map(|(key, fact)| match fact {
                    SettingValue::Number(n) => format!("{key}={n} "),
                    SettingValue::Text(text) => format!("{key}={text} "),
                })
                .collect();
            play.change(&more).expect("a valid change");
            changes += 1;
            let fresh = Catalog::from_flat(flat_settings(&more)).expect("valid settings");
            let in_force = play.catalog.borrow();
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
        Change { first_tenant: Some("a".into()), ..Change::default() },
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
