//! Every key of the operator's file and of the platform's configuration, and the defaults of absent keys, as
//! read into the types that the server uses.

use hazelspur_server::config::operator;
use hazelspur_server::config::server_config::{self, LoadedConfig};
use std::fmt::{Debug, Write as _};

const EVERY_OPERATOR_KEY: &str = r#"
amqp(
    brokers = ["127.0.0.1:5672", "[::1]:5673"],
    user = "orders",
    password = "secret",
    password_file = "/run/secrets/orders",
    vhost = "shop",
    heartbeat_s = 11.5,
    longest_frame = 8192,
    spread_s = 2.5,
    memory_s = 60,
    memory_entries = 7,
    memory_bytes = 4096,
)
queue(
    name = "orders",
    op_type = "set-qty",
    need_kb = 12.5,
    window = "room",
    most = 9,
    clock = "reading",
    waits_s = 36.5,
    settle = "after",
    retry_queue = "orders-retry",
    outcomes = {
        "nacked": "retry",
        "failed": "later",
        "expired": "reject",
        "unknown": "ack",
        "poison": "reject",
        "doubtful": "ack",
        "exhausted": "reject",
    },
    most_tries = 3,
    failed_pause_s = 0.5,
)
queue(name = "views", window = "fixed", clock = "publisher", settle = "before")
queue(name = "rest", window = "step")
fleet(
    installation = "bread",
    site = "east",
    at = "10.0.0.4:7946",
    listen = "0.0.0.0:7946",
    contacts = ["10.0.0.5:7946", "10.0.1.4:7946"],
    key_file = "/run/secrets/fleet",
    most = 400,
    period_s = 0.5,
    remember_s = 600,
    together = True,
    keepers = ["n1", "n2", "n3"],
    lease_s = 6.5,
    shares = [
        {"limit": "calls", "total": 1200, "floor": 0.25, "linger_s": 2.5},
        {"limit": "tenant.a", "total": 50},
    ],
)
reload(settings = True)
"#;

/// Returns the `Debug` text of a value in one line without the names of fields, which are not keys of the
/// file.
fn debug_values(value: &impl Debug) -> String {
    let text = format!("{value:#?}");
    let is_name = |text: &str| text.chars().all(|c| c.is_alphanumeric() || c == '_');
    let value = |line: &str| match line.trim().split_once(": ") {
        Some((name, value)) if is_name(name) => value.to_string(),
        _ => line.trim().to_string(),
    };
    text.lines().map(value).collect::<Vec<_>>().join(" ")
}

#[test]
fn every_key_of_the_operators_file_is_read() {
    let operator = operator::parse("FILE", EVERY_OPERATOR_KEY, None).expect("a good file");
    let (amqp, queues, reload) = (&operator.amqp, &operator.queues, operator.reload);
    expect_test::expect![[r#"
        Some(
            AmqpConfig {
                brokers: [
                    127.0.0.1:5672,
                    [::1]:5673,
                ],
                user: Some(
                    "orders",
                ),
                password: "secret",
                password_file: Some(
                    "/run/secrets/orders",
                ),
                vhost: "shop",
                heartbeat_s: 11.5,
                max_frame_bytes: 8192,
                reconnect_spread_s: 2.5,
                deduplication_window_s: 60.0,
                max_deduplication_entries: 7,
                max_deduplication_bytes: 4096,
            },
        )
        [
            QueueConfig {
                name: "orders",
                request_class: Some(
                    "set-qty",
                ),
                need_kb: 12.5,
                window: SpareCapacity,
                max_unsettled: 9,
                sent_time: Receipt,
                max_wait_s: Some(
                    36.5,
                ),
                settle: After,
                retry_queue: Some(
                    "orders-retry",
                ),
                outcomes: {
                    Rejected: Retry,
                    Failed: Later,
                    Expired: Reject,
                    Unknown: Ack,
                    Poison: Reject,
                    Doubtful: Ack,
                    Exhausted: Reject,
                },
                max_attempts: 3,
                retry_pause_s: 0.5,
            },
            QueueConfig {
                name: "views",
                request_class: None,
                need_kb: 24.0,
                window: Fixed,
                max_unsettled: 64,
                sent_time: Publisher,
                max_wait_s: None,
                settle: Before,
                retry_queue: None,
                outcomes: {},
                max_attempts: 8,
                retry_pause_s: 1.0,
            },
            QueueConfig {
                name: "rest",
                request_class: None,
                need_kb: 24.0,
                window: Step,
                max_unsettled: 64,
                sent_time: Publisher,
                max_wait_s: None,
                settle: Before,
                retry_queue: None,
                outcomes: {},
                max_attempts: 8,
                retry_pause_s: 1.0,
            },
        ]
        ReloadConfig { settings: true }"#]]
    .assert_eq(&format!("{amqp:#?}\n{queues:#?}\n{reload:?}"));
    expect_test::expect![[r#"Some( Fleet { bread, east, 10.0.0.4:7946, Some( 0.0.0.0:7946, ), [ 10.0.0.5:7946, 10.0.1.4:7946, ], "/run/secrets/fleet", 400, 0.5, 600.0, true, [ n1, n2, n3, ], 6.5, [ SharedLimitConfig { calls, 1200.0, 0.25, 2.5, }, SharedLimitConfig { tenant.a, 50.0, 0.2, 1.0, }, ], None, }, )"#]].assert_eq(&debug_values(&operator.fleet));
}

#[test]
fn absent_keys_of_the_operators_file_have_defaults() {
    let text = r#"
amqp(brokers = ["127.0.0.1:5672"])
queue(name = "orders")
fleet(installation = "bread", site = "east", at = "10.0.0.4:7946", key_file = "fleet.key", most = 4)
"#;
    let operator = operator::parse("FILE", text, None).expect("a good file");
    let (amqp, queues, reload) = (&operator.amqp, &operator.queues, operator.reload);
    expect_test::expect![[r#"
        Some(
            AmqpConfig {
                brokers: [
                    127.0.0.1:5672,
                ],
                user: None,
                password: "",
                password_file: None,
                vhost: "/",
                heartbeat_s: 20.0,
                max_frame_bytes: 131072,
                reconnect_spread_s: 8.0,
                deduplication_window_s: 3600.0,
                max_deduplication_entries: 20000,
                max_deduplication_bytes: 8388608,
            },
        )
        [
            QueueConfig {
                name: "orders",
                request_class: None,
                need_kb: 24.0,
                window: Step,
                max_unsettled: 64,
                sent_time: Publisher,
                max_wait_s: None,
                settle: Before,
                retry_queue: None,
                outcomes: {},
                max_attempts: 8,
                retry_pause_s: 1.0,
            },
        ]
        ReloadConfig { settings: false }"#]]
    .assert_eq(&format!("{amqp:#?}\n{queues:#?}\n{reload:?}"));
    expect_test::expect![[r#"Some( Fleet { bread, east, 10.0.0.4:7946, None, [], "fleet.key", 4, 1.0, 900.0, false, [], 4.0, [], None, }, )"#]].assert_eq(&debug_values(&operator.fleet));
}

/// Guards against an error that names a field of the code instead of the key in the file.
#[test]
fn bound_errors_name_the_keys_of_the_operators_file() {
    let broker = r#"brokers = ["127.0.0.1:5672"]"#;
    let faults_of_amqp = [
        "user = \"\"",
        "vhost = \"\"",
        "heartbeat_s = -1",
        "longest_frame = 1",
        "spread_s = -1",
        "memory_s = 0",
        "memory_entries = 0",
        "memory_bytes = 0",
    ];
    let faults_of_queue = [
        "need_kb = 0",
        "most = 0",
        "waits_s = 0",
        "retry_queue = \"\"",
        "most_tries = 0",
        "failed_pause_s = 0",
    ];
    let faults_of_fleet =
        ["contacts = [\"0.0.0.0:1\"]", "period_s = 0", "remember_s = 0", "lease_s = 0", "most = 0"];
    let amqp = faults_of_amqp.map(|fault| format!("amqp({broker},\n{fault})"));
    let queue = faults_of_queue.map(|fault| format!("amqp({broker})\nqueue(name = \"orders\",\n{fault})"));
    let fleet = faults_of_fleet.map(|fault| {
        let most = if fault.starts_with("most") { "" } else { "most = 4, " };
        let keys =
            "installation = \"bread\", site = \"east\", at = \"10.0.0.4:7946\", key_file = \"fleet.key\"";
        format!("fleet({keys}, {most}\n{fault})")
    });
    let mut seen = String::new();
    for text in amqp.into_iter().chain(queue).chain(fleet) {
        let error = operator::parse("FILE", &text, None).expect_err("a fault");
        let _ = writeln!(seen, "{error}");
    }
    expect_test::expect![[r#"
        FILE:2: amqp.user: length is lower than 1
        FILE:2: amqp.vhost: length is lower than 1
        FILE:2: amqp.heartbeat_s: lower than 0
        FILE:2: amqp.longest_frame: lower than 4096
        FILE:2: amqp.spread_s: lower than 0
        FILE:2: amqp.memory_s: lower than 1
        FILE:2: amqp.memory_entries: lower than 1
        FILE:2: amqp.memory_bytes: lower than 1024
        FILE:3: queues[0].need_kb: lower than 0.001
        FILE:3: queues[0].most: lower than 1
        FILE:3: queues[0].waits_s: lower than 0.001
        FILE:3: queues[0].retry_queue: length is lower than 1
        FILE:3: queues[0].most_tries: lower than 1
        FILE:3: queues[0].failed_pause_s: lower than 0.01
        FILE:2: fleet.contacts[0]: not an address that other servers can reach
        FILE:2: fleet.period_s: lower than 0.1
        FILE:2: fleet.remember_s: lower than 30
        FILE:2: fleet.lease_s: lower than 1
        FILE:2: fleet.most: lower than 1
    "#]]
    .assert_eq(&seen);
}

const SETTINGS: &str = r#"{"family-info":{"n-cores":2,"mem-limit-kb":100000,"run-factor":8,"stop-mode":"drop",
 "meters":["core_use","on_cores"],"calls-out":50,"calls-over-us":5000000,"share-for-us":500000},
 "lanes":[{"name":"view","aim-us":3000000,"deadline-us":4000000,"semantics":"safe","importance":1}],
 "orgs":[{"name":"a","quota-rps":50},{"name":"b","quota-rps":50}],
 "rules":{"drain-grace-us":300000}}"#;

/// Loads a configuration file with this text. The variables that replace an absent name or address are set.
fn load(name: &str, text: &str) -> LoadedConfig {
    let file = std::env::temp_dir().join(format!("hazelspur-{}-{name}.json", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    let loaded = server_config::load(|variable| match variable {
        "ROUTER_CONFIG" => Some(file.to_string_lossy().into_owned()),
        "ROUTER_NAME" => Some("name-of-the-variable".into()),
        "ROUTER_LISTEN" => Some("127.0.0.9:9".into()),
        _ => None,
    });
    std::fs::remove_file(&file).expect("the file exists");
    loaded.expect("a good configuration")
}

#[test]
fn every_key_of_the_configuration_is_read() {
    let text = format!(
        r#"{{"name":"n1","listen":"127.0.0.1:1","runtime":"127.0.0.1:2","ledger":"127.0.0.1:3","control":"127.0.0.1:4","seed":"000000000000002a","stop_ms":900,"limits":{{"cores":2,"memory_mb":64,"sockets":128}},"settings":{SETTINGS}}}"#
    );
    let loaded = load("every-key", &text);
    expect_test::expect![[r#"
        ServerConfig {
            name: "n1",
            listen: 127.0.0.1:1,
            addresses: EndpointAddresses {
                worker: 127.0.0.1:2,
                dependency: Some(
                    127.0.0.1:3,
                ),
                registry: Some(
                    127.0.0.1:4,
                ),
            },
            seed: 42,
            shutdown_timeout: Duration(
                900000,
            ),
            max_sockets: 128,
            max_memory_bytes: 67108864,
            gauge_names: [
                "core_use",
                "on_cores",
            ],
            grace_period: Duration(
                300000,
            ),
            read_freshness: Duration(
                500000,
            ),
        }
        request classes, tenants: (1, 2)"#]]
    .assert_eq(&format!(
        "{:#?}\nrequest classes, tenants: {:?}",
        loaded.config,
        (loaded.catalog.request_class_count(), loaded.catalog.tenant_count())
    ));
}

#[test]
fn absent_keys_of_the_configuration_have_defaults() {
    let text = format!(r#"{{"runtime":"127.0.0.1:2","ledger":null,"settings":{SETTINGS}}}"#);
    let loaded = load("defaults", &text);
    expect_test::expect![[r#"
        ServerConfig {
            name: "name-of-the-variable",
            listen: 127.0.0.9:9,
            addresses: EndpointAddresses {
                worker: 127.0.0.1:2,
                dependency: None,
                registry: None,
            },
            seed: 0,
            shutdown_timeout: Duration(
                3000000,
            ),
            max_sockets: 1024,
            max_memory_bytes: 201326592,
            gauge_names: [
                "core_use",
                "on_cores",
            ],
            grace_period: Duration(
                300000,
            ),
            read_freshness: Duration(
                500000,
            ),
        }"#]]
    .assert_eq(&format!("{:#?}", loaded.config));
}
