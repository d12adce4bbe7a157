//! Tests of the mapping from JSON settings to typed settings: every key, unknown and absent keys, and error
//! texts.

use hazelspur::config::entries::{EntryVisitor, MAX_ENTRY_KEYS};
use hazelspur::config::flat_settings::MAX_SETTINGS;
use hazelspur::{Catalog, ConfigError, ControllerSettings, RequestClass, Tenant};
use hazelspur_parsers::{Json, settings};
use std::fmt::Write;

/// Records all visited entries and unknown keys, one per line.
#[derive(Default)]
struct Recorder(String);

impl EntryVisitor for Recorder {
    fn visit_request_class(&mut self, class: RequestClass) -> Result<(), ConfigError> {
        writeln!(self.0, "{class:?}").expect("a string takes any text");
        Ok(())
    }

    fn visit_tenant(&mut self, tenant: Tenant) -> Result<(), ConfigError> {
        writeln!(self.0, "{tenant:?}").expect("a string takes any text");
        Ok(())
    }

    fn visit_unknown_key(&mut self, key: &str) -> Result<(), ConfigError> {
        writeln!(self.0, "unknown {key}").expect("a string takes any text");
        Ok(())
    }
}

fn parse(text: &str) -> Json<'_> {
    Json::parse(text.as_bytes()).expect("well-formed JSON")
}

fn catalog(text: &str) -> Catalog {
    settings::catalog(parse(text)).expect("valid settings")
}

fn error_text(text: &str) -> String {
    settings::catalog(parse(text)).expect_err("invalid settings").to_string()
}

#[test]
fn wire_keys_and_words_become_dotted_keys_and_typed_entries() {
    let text = r#"{"lanes":[{"aim-us":1800000,"semantics":"safe"}],"family-info":{"n-cores":6,"cold":true,
        "below":"silent","new":null,"odd":1e999},"orgs":[{"quota-rps":49.0}]}"#;
    let mut recorder = Recorder::default();
    let other_settings = settings::read(parse(text), &mut recorder).expect("valid entries");
    for (key, value) in other_settings.iter() {
        writeln!(recorder.0, "{key} {value:?}").expect("a string takes any text");
    }
    expect_test::expect![[r#"
        RequestClass { name: "", latency_objective: Duration(1800000), latency_objective_per_cost: 0.0, request_timeout: Duration(3600000), priority_weight: 1.0, late_value: 0.0, degraded_value: 0.0, idempotency: Idempotent, deduplication_window: Duration(5000000) }
        Tenant { name: "", quota_per_s: Some(49.0) }
        server.below Text("none")
        server.cold Number(1.0)
        server.cores Number(6.0)
        server.odd Number(NaN)
    "#]].assert_eq(&recorder.0);
}

#[test]
fn every_wire_key_of_an_entry_sets_its_field() {
    let catalog = catalog(
        r#"{"lanes":[{"name":"book","aim-us":1800000,"aim-stretch":0.5,"deadline-us":4000000,"importance":3,
        "late-worth":0.25,"semantics":"keyed","memory-span-us":7000000,"colour":"red"}],
        "orgs":[{"name":"acme","quota-rps":49.5,"colour":"red"}],
        "family-info":{"class-skip-worth":[0.75]}}"#,
    );
    expect_test::expect![[r#"
        [
            (
                RequestClassId(
                    0,
                ),
                RequestClass {
                    name: "book",
                    latency_objective: Duration(
                        1800000,
                    ),
                    latency_objective_per_cost: 0.5,
                    request_timeout: Duration(
                        4000000,
                    ),
                    priority_weight: 3.0,
                    late_value: 0.25,
                    degraded_value: 0.75,
                    idempotency: IdempotentWithKey,
                    deduplication_window: Duration(
                        7000000,
                    ),
                },
            ),
        ]
        [
            (
                TenantId(
                    0,
                ),
                Tenant {
                    name: "acme",
                    quota_per_s: Some(
                        49.5,
                    ),
                },
            ),
        ]
    "#]]
    .assert_eq(&format!("{:#?}\n{:#?}\n", catalog.request_classes(), catalog.tenants()));
}

#[test]
fn absent_keys_of_an_entry_give_defaults() {
    let catalog = catalog(r#"{"lanes":[{"aim-us":1800000}],"orgs":[{}]}"#);
    expect_test::expect![[r#"
        [
            (
                RequestClassId(
                    0,
                ),
                RequestClass {
                    name: "",
                    latency_objective: Duration(
                        1800000,
                    ),
                    latency_objective_per_cost: 0.0,
                    request_timeout: Duration(
                        3600000,
                    ),
                    priority_weight: 1.0,
                    late_value: 0.0,
                    degraded_value: 0.0,
                    idempotency: NonIdempotent,
                    deduplication_window: Duration(
                        5000000,
                    ),
                },
            ),
        ]
        [
            (
                TenantId(
                    0,
                ),
                Tenant {
                    name: "",
                    quota_per_s: None,
                },
            ),
        ]
    "#]]
    .assert_eq(&format!("{:#?}\n{:#?}\n", catalog.request_classes(), catalog.tenants()));
}

#[test]
fn every_wire_key_outside_the_tables_sets_its_field() {
    let catalog = catalog(
        r#"{"family-info":{"n-cores":6,"mem-limit-kb":9000,"run-factor":2,"key-kb":3,"cold":true,
        "meters":["on_cores","crowd"],"stop-mode":"pause","say":"credit","caller-idle-us":1000001,
        "lingers-us":1000002,"calls-out":7,"calls-over-us":1000003,"share-for-us":1000004},
        "rules":{"fall-multiple":8,"cold-share":0.5,"cold-us":1000005,"drain-grace-us":1000006},
        "limits":{"retry-after":true,"max-retry-after-us":1000007},
        "counted-by":"work","over-share-worth":0.125,"servers":12}"#,
    );
    expect_test::expect![[r#"
        ControllerSettings {
            cores: 6.0,
            memory_kb: 9000.0,
            run_memory_factor: 2.0,
            key_memory_kb: 3.0,
            starts_cold: true,
            gauge_names: [
                "on_cores",
                "crowd",
            ],
            preemption: Pause,
            capacity_signal: Credit,
            client_idle_timeout: Duration(
                1000001,
            ),
            call_residual_load: Duration(
                1000002,
            ),
            call_concurrency_limit: 7.0,
            call_overload_tolerance: Duration(
                1000003,
            ),
            read_sharing_window: Duration(
                1000004,
            ),
            concurrency_limit_per_core: 8.0,
            warm_up_initial_share: 0.5,
            warm_up: Duration(
                1000005,
            ),
            drain_grace_period: Duration(
                1000006,
            ),
            retry_after_supported: true,
            max_retry_after: Duration(
                1000007,
            ),
            value_unit: Work,
            over_quota_value: 0.125,
            servers: 12.0,
        }
    "#]]
    .assert_eq(&format!("{:#?}\n", catalog.settings()));
}

#[test]
fn each_wire_word_selects_its_variant() {
    let mut seen = String::new();
    for word in ["drop", "pause", "silent", "none", "later"] {
        let catalog = catalog(&format!(r#"{{"family-info":{{"stop-mode":"{word}"}}}}"#));
        writeln!(seen, "stop-mode {word}: {:?}", catalog.settings().preemption)
            .expect("a string takes any text");
    }
    for word in ["credit", "weight", "silent", "loudly"] {
        let catalog = catalog(&format!(r#"{{"family-info":{{"say":"{word}"}}}}"#));
        writeln!(seen, "say {word}: {:?}", catalog.settings().capacity_signal)
            .expect("a string takes any text");
    }
    for word in ["request", "work", "weight"] {
        let catalog = catalog(&format!(r#"{{"counted-by":"{word}"}}"#));
        writeln!(seen, "counted-by {word}: {:?}", catalog.settings().value_unit)
            .expect("a string takes any text");
    }
    for word in ["safe", "keyed", "unsafe"] {
        let catalog = catalog(&format!(r#"{{"lanes":[{{"aim-us":1,"semantics":"{word}"}}]}}"#));
        writeln!(seen, "semantics {word}: {:?}", catalog.request_classes()[0].1.idempotency)
            .expect("a string takes any text");
    }
    expect_test::expect![[r#"
        stop-mode drop: Drop
        stop-mode pause: Pause
        stop-mode silent: Unsupported
        stop-mode none: Unsupported
        stop-mode later: Drop
        say credit: Credit
        say weight: Weight
        say silent: None
        say loudly: None
        counted-by request: Request
        counted-by work: Work
        counted-by weight: Request
        semantics safe: Idempotent
        semantics keyed: IdempotentWithKey
        semantics unsafe: NonIdempotent
    "#]]
    .assert_eq(&seen);
}

#[test]
fn absent_unknown_and_misplaced_keys_give_defaults() {
    let texts = [
        "{}",
        "[]",
        r#"{"family-info":null,"rules":{}}"#,
        r#"{"family-info":{"novelty":5,"cores":{"n":2}},"novelty":{"a":["b"]}}"#,
        r#"{"family-info":{"n-cores":"many","stop-mode":3,"meters":["","on_cores"]},"servers":"all"}"#,
    ];
    for text in texts {
        assert_eq!(*catalog(text).settings(), ControllerSettings::default(), "{text}");
    }
}

#[test]
fn errors_name_the_dotted_key_or_the_table() {
    let entry = r#"{"aim-us":1}"#;
    let keys = |count: usize| (0..count).map(|i| format!(r#""k{i}":{i},"#)).collect::<String>();
    let texts = [
        r#"{"lanes":[{}]}"#.to_string(),
        r#"{"lanes":[{"aim-us":"soon"}]}"#.to_string(),
        r#"{"lanes":[{"aim-us":-1}]}"#.to_string(),
        r#"{"lanes":[{"aim-us":1,"late-worth":"some"}]}"#.to_string(),
        r#"{"lanes":[{"aim-us":1,"semantics":"perhaps"}]}"#.to_string(),
        r#"{"lanes":[{"aim-us":1,"novelty":1e999}]}"#.to_string(),
        r#"{"lanes":[{"name":"a","aim-us":1},{"name":"a","aim-us":1}]}"#.to_string(),
        format!(r#"{{"lanes":[{entry}],"lanes":[{entry}]}}"#),
        format!(r#"{{"lanes":[{entry},{{{}"aim-us":1}}]}}"#, keys(MAX_ENTRY_KEYS)),
        format!(r#"{{{}"last":1}}"#, keys(MAX_SETTINGS)),
        r#"{"orgs":[{"quota-rps":"all"}]}"#.to_string(),
        r#"{"orgs":[{"quota-rps":-1}]}"#.to_string(),
        r#"{"family-info":{"n-cores":0}}"#.to_string(),
        r#"{"family-info":{"mem-limit-kb":-1}}"#.to_string(),
        r#"{"rules":{"cold-us":-5}}"#.to_string(),
        r#"{"novelty":{"odd":1e999}}"#.to_string(),
    ];
    let seen: String = texts.iter().map(|text| error_text(text) + "\n").collect();
    expect_test::expect![[r#"
        setting op_types.0.target_latency_us is missing
        setting op_types.0.target_latency_us is not a number
        setting op_types.0.target_latency_us is out of range: -1
        setting op_types.0.late_worth is not a number
        setting op_types.0.repeats has an unknown value: perhaps
        setting op_types.0.novelty is out of range: NaN
        settings.lanes: duplicate name a
        settings.lanes: the table appears twice
        settings.lanes.1: 65 keys, at most 64 allowed
        settings: 4097 keys, at most 4096 allowed
        setting tenants.0.quota_per_s is not a number
        setting tenants.0.quota_per_s is out of range: -1
        setting server.cores is out of range: 0
        setting server.memory_kb is out of range: -1
        setting rules.cold_us is out of range: -5
        setting novelty.odd is out of range: NaN
    "#]]
    .assert_eq(&seen);
}
