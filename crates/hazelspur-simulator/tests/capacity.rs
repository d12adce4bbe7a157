//! The capacity model: the repository's page is in step, and what is planted is told.

use expect_test::expect;
use hazelspur_simulator::capacity::command::{CapacityInput, read_input, summary};
use hazelspur_simulator::capacity::constants;
use hazelspur_simulator::capacity::measured::{Measurements, Study};
use hazelspur_simulator::capacity::page::{generated_tables, replace_tables, stale_tables};
use hazelspur_simulator::capacity::report::{
    BudgetCrossing, MissingList, State, build_report, build_report_from_rows,
};
use hazelspur_simulator::capacity::rows::{Role, row, rows};
use hazelspur_simulator::capacity::size::{SizeFile, figures};
use hazelspur_simulator::capacity::{format_significant, format_with_unit};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn size_text() -> String {
    std::fs::read_to_string(root().join("docs/capacity/size.toml")).expect("the size is there")
}

fn page_text() -> String {
    std::fs::read_to_string(root().join("docs/CAPACITY.md")).expect("the page is there")
}

fn told() -> CapacityInput {
    read_input(&root().join("docs/capacity/size.toml"), &root().join("docs/capacity"))
        .expect("all can be read")
}

fn studies(texts: &[&str]) -> Measurements {
    Measurements::from_studies(texts.iter().map(|text| Study::parse(text).expect("a study")).collect())
}

/// The repository's size, with nothing known, and no study but these.
fn with(measured: Measurements) -> CapacityInput {
    CapacityInput {
        size: SizeFile::parse(&size_text()).expect("the size"),
        figures: figures(&size_text()).expect("figures"),
        measurements: measured,
        earlier_measurements: Measurements::default(),
        missing_list: MissingList::default(),
    }
}

/// The command's exit status, and what it said on standard error.
fn run(arguments: &[&Path]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_hazelspur-simulator"))
        .arg("capacity")
        .args(arguments)
        .current_dir(root())
        .output()
        .expect("the command starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into())
}

/// A directory of its own for a test, empty.
fn directory(name: &str) -> PathBuf {
    let at = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&at);
    std::fs::create_dir_all(&at).expect("a directory");
    at
}

#[test]
fn the_repositorys_page_is_in_step_with_its_slopes() {
    let told = told();
    let report = build_report(&told.size, &told.measurements, &told.missing_list);
    assert_eq!(report.faults, Vec::<String>::new());
    assert_eq!(report.unknown, Vec::<String>::new());
    let blocks = generated_tables(&told, &report);
    let stale_tables = stale_tables(&page_text(), &blocks).expect("all markers are there");
    assert_eq!(
        stale_tables,
        Vec::<String>::new(),
        "run `hazelspur-simulator capacity --page docs/CAPACITY.md` and read what changed"
    );
}

#[test]
fn the_command_says_the_same_of_the_repository() {
    let (status, said) = run(&["--page".as_ref(), "docs/CAPACITY.md".as_ref(), "--check".as_ref()]);
    assert_eq!((status, said.as_str()), (Some(0), ""));
}

#[test]
fn constants_stand_where_they_are_said_to() {
    for constant in constants::ALL {
        let text = std::fs::read_to_string(root().join(constant.file)).expect(constant.file);
        assert!(
            text.contains(constant.excerpt),
            "{} is not what {} says any more: mend crates/hazelspur-simulator/src/capacity/constants.rs",
            constant.origin(),
            constant.excerpt
        );
    }
}

#[test]
fn mechanisms_are_in_the_files_that_rows_name() {
    let size = SizeFile::parse(&size_text()).expect("the size");
    for row in rows(&size) {
        let Some((file, name)) = row.mechanism.split_once(".rs ") else { continue };
        let file = format!("{}.rs", file.rsplit(' ').next().unwrap_or(file));
        let text = std::fs::read_to_string(root().join(&file)).unwrap_or_else(|e| panic!("{file}: {e}"));
        let kinds = ["pub struct", "pub(super) struct", "pub enum", "pub fn", "pub async fn"];
        let there = kinds.iter().any(|kind| text.contains(&format!("{kind} {name}")));
        // Names are made by a macro.
        let made = text.lines().any(|line| line == format!("    {name}"));
        assert!(there || made, "{}: no {name} in {file}", row.name);
    }
}

#[test]
fn rows_rest_on_rows_have_names_of_their_own_and_sums_stand_behind_their_parts() {
    let rows = rows(&SizeFile::parse(&size_text()).expect("the size"));
    let mut names = BTreeSet::new();
    for row in &rows {
        assert!(row.sum_of.iter().all(|part| names.contains(part)), "{}", row.name);
        assert!(names.insert(row.name), "{} twice", row.name);
    }
    for row in &rows {
        assert!(
            row.prerequisites.iter().all(|under| names.contains(under)),
            "{}: {:?}",
            row.name,
            row.prerequisites
        );
        assert!(!row.formula.is_empty() && !row.mechanism.is_empty(), "{}", row.name);
    }
}

#[test]
fn ten_times_the_servers_pass_budgets_and_are_told_by_name() {
    let at = directory("ten-times");
    let text = size_text().replace("\nservers = 810\n", "\nservers = 8100\n");
    assert_ne!(text, size_text());
    std::fs::write(at.join("size.toml"), text).expect("written");
    std::fs::copy(root().join("docs/capacity/missing.toml"), at.join("missing.toml")).expect("copied");
    let (status, said) = run(&["--size".as_ref(), &at.join("size.toml"), "--measured".as_ref(), &at]);
    assert_eq!(status, Some(1), "{said}");
    for row in ["list.reports: 10,100 1/s at the target", "server.talk.most: 10,100 entries at the target"] {
        assert!(said.contains(row), "{said}");
    }
}

#[test]
fn a_table_changed_by_hand_is_told() {
    let at = directory("by-hand");
    let told = told();
    let report = build_report(&told.size, &told.measurements, &told.missing_list);
    let page = page_text();
    // One digit of one slope.
    let line = page.lines().find(|line| line.starts_with("| `list.reports` |")).expect("the row");
    let planted = page.replace(line, &line.replacen("1.25", "1.24", 1));
    assert_ne!(planted, page);
    let blocks = generated_tables(&told, &report);
    assert_eq!(stale_tables(&planted, &blocks), Ok(vec!["list".to_string()]));
    assert_eq!(
        replace_tables(&planted, &blocks).expect("all markers"),
        replace_tables(&page, &blocks).expect("all markers")
    );
    std::fs::write(at.join("page.md"), planted).expect("written");
    let (status, said) = run(&["--page".as_ref(), &at.join("page.md"), "--check".as_ref()]);
    assert_eq!(status, Some(1));
    assert!(said.contains("the table list is not what its slopes give"), "{said}");
}

#[test]
fn markers_that_are_wrong_are_named() {
    let told = told();
    let report = build_report(&told.size, &told.measurements, &told.missing_list);
    let blocks = generated_tables(&told, &report);
    let page = page_text();
    let wrong = |from: &str, to: &str| {
        replace_tables(&page.replacen(from, to, 1), &blocks).err().map(|error| error.to_string())
    };
    assert_eq!(
        wrong("generated: list -->", "generated: lists -->"),
        Some("generated: there is no table lists".into())
    );
    assert_eq!(
        wrong("generated: list -->", "generated: server -->"),
        Some("generated: server stands there twice".into())
    );
    assert_eq!(wrong("<!-- generated: list -->", ""), Some("generated: list is not on the page".into()));
    assert_eq!(wrong("<!-- end -->", ""), Some("generated: size has no end".into()));
}

#[test]
fn what_is_not_measured_is_said_to_be_so() {
    let size = SizeFile::parse(&size_text()).expect("the size");
    let report = build_report(&size, &Measurements::default(), &MissingList::default());
    let line = |name: &str| report.lines.iter().find(|line| line.row == name).expect("a row");
    assert_eq!(line("server.talk.bytes").state, State::NotMeasured);
    assert_eq!(line("server.bytes").state, State::NotMeasured);
    assert_eq!(line("server.bytes").ratio, None);
    let blocks = generated_tables(&with(Measurements::default()), &report);
    let server = &blocks.iter().find(|block| block.name == "server").expect("a table").text;
    let starts =
        |name: &str| server.lines().find(|line| line.starts_with(&format!("| `{name}`"))).expect("a row");
    assert!(starts("server.talk.bytes").contains("| not measured |"), "{server}");
    assert!(starts("server.bytes").contains("| at least 875 B/s |"), "{server}");
}

#[test]
fn one_size_is_no_slope_and_counts_at_the_target_only() {
    let point = |size: u32| {
        format!(
            r#"{{"study":"one","command":"c","points":[{{"figure":"members.bytes_out_per_s","case":"rest",
            "unit":"B/s","by":"servers","size":{size},"seed":1,"value":432.1}}]}}"#
        )
    };
    let size = SizeFile::parse(&size_text()).expect("the size");
    let seen = |studies: Measurements| {
        let report = build_report(&size, &studies, &MissingList::default());
        let line = report.lines.into_iter().find(|line| line.row == "server.talk.bytes").expect("a row");
        (line.state, line.target, line.twice, line.slope)
    };
    assert_eq!(seen(studies(&[&point(100)])), (State::NotMeasured, None, None, None));
    assert_eq!(seen(studies(&[&point(810)])), (State::Fits, Some(432.1), None, None));
}

#[test]
fn a_point_at_the_target_that_is_worse_than_the_line_counts() {
    let points: Vec<String> = [(100, 1.0), (400, 1.0), (810, 30.0), (1620, 1.0)]
        .map(|(size, value)| {
            format!(
                r#"{{"figure":"members.agree_s","case":"storm","unit":"s","by":"servers","size":{size},"value":{value}}}"#
            )
        })
        .into();
    let study = format!(r#"{{"study":"scale","command":"c","points":[{}]}}"#, points.join(","));
    let size = SizeFile::parse(&size_text()).expect("the size");
    let report = build_report(&size, &studies(&[&study]), &MissingList::default());
    let line = report.lines.iter().find(|line| line.row == "event.storm.agree").expect("a row");
    assert_eq!((line.state, line.target), (State::Missing, Some(30.0)));
}

#[test]
fn bad_input_is_refused_with_the_key_named() {
    let refused = |from: &str, to: &str| {
        let text = size_text().replacen(from, to, 1);
        assert_ne!(text, size_text());
        SizeFile::parse(&text).expect_err("refused").to_string()
    };
    expect![[r#"
        unknown field `severs`, expected one of `servers`, `callers`, `services`, `requests_per_s`, `op_types`, `tenants`, `regions`, `zones`, `changes_per_day`, `machines_failing_per_day`, `restarts_per_day`, `control_machines`
        missing field `lookup_ratio`
        size.servers: nothing fits a size of 0
        assumed.deploy_min: no number from 0 on
        budget.lookup_ratio: no comment above it gives a reason"#]]
    .assert_eq(
        &[
            refused("\nservers = ", "\nsevers = "),
            refused("lookup_ratio = 1.2\n", "\n"),
            refused("\nservers = 810", "\nservers = 0"),
            refused("deploy_min = 10", "deploy_min = -10"),
            refused("\nlookup_ratio = 1.2\n", "\n\nlookup_ratio = 1.2\n"),
        ]
        .join("\n"),
    );
    let at = directory("bad-input");
    std::fs::write(at.join("size.toml"), size_text().replace("\nservers = ", "\nsevers = "))
        .expect("written");
    let (status, said) = run(&["--size".as_ref(), &at.join("size.toml"), "--measured".as_ref(), &at]);
    assert_eq!(status, Some(2));
    assert!(said.contains("size.toml: unknown field `severs`"), "{said}");
    std::fs::write(at.join("size.toml"), size_text()).expect("written");
    let named = "[[missing]]\nrow = \"no.such\"\nwhy = \"a test\"\nroadmap = \"none\"\n";
    std::fs::write(at.join("missing.toml"), named).expect("written");
    let (status, said) = run(&["--size".as_ref(), &at.join("size.toml"), "--measured".as_ref(), &at]);
    assert_eq!(status, Some(2));
    assert!(said.contains("missing.toml: row: there is no row no.such"), "{said}");
    std::fs::write(at.join("missing.toml"), "").expect("written");
    std::fs::write(at.join("scale.json"), r#"{"study":"scale","points":[{"case":"rest"}]}"#)
        .expect("written");
    let (status, said) = run(&["--size".as_ref(), &at.join("size.toml"), "--measured".as_ref(), &at]);
    assert_eq!(status, Some(2));
    assert!(said.contains("scale.json: missing field `figure`"), "{said}");
}

#[test]
fn an_earlier_texts_study_goes_to_a_table_of_its_own() {
    let at = directory("before");
    std::fs::write(at.join("size.toml"), size_text()).expect("written");
    let study = |text: &str, value: u32| {
        format!(
            r#"{{"study":"server","text":"{text}","points":[{{"figure":"server.memory.anon_bytes","case":"any",
            "unit":"B","by":"tenants","size":42000,"seed":1,"value":{value}}}]}}"#
        )
    };
    std::fs::write(at.join("server.json"), study("new", 9_000_000)).expect("written");
    std::fs::write(at.join("server-old.json"), study("old", 41_900_000)).expect("written");
    let (status, said) = run(&["--size".as_ref(), &at.join("size.toml"), "--measured".as_ref(), &at]);
    assert_eq!(status, Some(2));
    assert!(said.contains("server.json: study: server is in another file too"), "{said}");
    std::fs::create_dir(at.join("before")).expect("a directory");
    std::fs::rename(at.join("server-old.json"), at.join("before/server.json")).expect("moved");
    let told = read_input(&at.join("size.toml"), &at).expect("all can be read");
    let report = build_report(&told.size, &told.measurements, &told.missing_list);
    let blocks = generated_tables(&told, &report);
    let before = &blocks.iter().find(|block| block.name == "before").expect("a table").text;
    expect![[r#"
        | row | what | at the target, old | now | budget |
        | --- | --- | --- | --- | --- |
        | `server.settings.memory` | settings held, memory | 41.9 MB | 9 MB | 16 MB |
    "#]]
    .assert_eq(before);
}

#[test]
fn a_row_that_is_named_as_missing_and_fits_is_told() {
    let size = SizeFile::parse(&size_text()).expect("the size");
    let named = "[[missing]]\nrow = \"list.reports\"\nwhy = \"a test\"\nroadmap = \"none\"\n";
    let known = MissingList::parse(named).expect("a list");
    let report = build_report(&size, &Measurements::default(), &known);
    assert!(report.faults.contains(&"list.reports: named as missing, and fits".to_string()));
}

#[test]
fn a_tiny_model_is_printed() {
    let study = r#"{"study":"tiny","command":"measure it","text":"abc","machine":"none","points":[
        {"figure":"bees","case":"rest","unit":"B/s","by":"servers","size":10,"seed":1,"value":30},
        {"figure":"bees","case":"rest","unit":"B/s","by":"servers","size":10,"seed":2,"value":34},
        {"figure":"bees","case":"rest","unit":"B/s","by":"servers","size":20,"seed":1,"value":52},
        {"figure":"bees","case":"storm","unit":"B/s","by":"servers","size":20,"seed":1,"value":99}]}"#;
    let servers = ("servers", 100.0);
    let of = |name| {
        row(Role::Server, name, "a test", "B/s", servers).formula("as measured").by_mechanism("a hive")
    };
    let rows = [
        of("bees").measured(&["bees"], &["rest"]).within(250.0, "the hive"),
        of("wasps").computed("a nest", 3.0, 0.0).within(250.0, "the hive").requires(&["hornets"]),
        of("hornets").computed("a nest", 0.0, 260.0).within(250.0, "the hive"),
        of("moths").measured(&["moths"], &[]).within(250.0, "the hive"),
        of("ants").no_mechanism("none").requires(&["wasps"]),
        of("all").sum_of(&["bees", "wasps"]).within(1000.0, "the hive"),
        of("most").sum_of(&["bees", "moths"]).within(1000.0, "the hive"),
    ];
    let report = build_report_from_rows(&rows, &studies(&[study]), &MissingList::default());
    expect![[r#"
        | role   | row     | at the target    | at twice  | budget  | ratio | state        |
        |--------|---------|------------------|-----------|---------|-------|--------------|
        | server | bees    | 212 B/s          | 412 B/s   | 250 B/s | 0.848 | fits         |
        | server | wasps   | 300 B/s          | 600 B/s   | 250 B/s | 1.2   | missing      |
        | server | hornets | 260 B/s          | 260 B/s   | 250 B/s | 1.04  | missing      |
        | server | moths   | not measured     | -         | 250 B/s | -     | not measured |
        | server | ants    | no mechanism     | -         | -       | -     | missing      |
        | server | all     | 512 B/s          | 1.01 kB/s | 1 kB/s  | 0.512 | fits         |
        | server | most    | at least 212 B/s | -         | 1 kB/s  | -     | not measured |

        Missing, in the order in which they rest on each other:
        1. hornets, carries 2
        2. wasps, carries 1
        3. ants, carries 0
    "#]]
    .assert_eq(&summary(&report));
    expect![[r#"
        wasps: 300 B/s at the target, over its budget of 250 B/s, 1.2 times; not named as missing
        hornets: 260 B/s at the target, over its budget of 250 B/s, 1.04 times; not named as missing
        ants: nothing carries it; not named as missing"#]]
    .assert_eq(&report.faults.join("\n"));
    assert_eq!(report.lines[0].budget_crossing, BudgetCrossing::At(119.0));
    let table = &generated_tables(&with(studies(&[study])), &report)[4];
    expect![[r#"
        | row | what | by | slope | base | off by | at the target | at twice | budget | ratio | stops at | state |
        | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
        | `bees` | a test | 100 servers | 2 | 12 | 3.85 % | 212 B/s | 412 B/s | 250 B/s | 0.848 | 119 servers | fits |
        | `wasps` | a test | 100 servers | 3 | 0 | - | 300 B/s | 600 B/s | 250 B/s | 1.2 | 83.3 servers | missing |
        | `hornets` | a test | 100 servers | 0 | 260 | - | 260 B/s | 260 B/s | 250 B/s | 1.04 | at any size | missing |
        | `moths` | a test | 100 servers | - | - | - | not measured | - | 250 B/s | - | - | not measured |
        | `ants` | a test | 100 servers | - | - | - | no mechanism | - | - | - | - | missing |
        | `all` | a test | 100 servers | - | - | - | 512 B/s | 1.01 kB/s | 1 kB/s | 0.512 | - | fits |
        | `most` | a test | 100 servers | - | - | - | at least 212 B/s | - | 1 kB/s | - | - | not measured |

        | row | formula | measured by, or computed from | budget from | carried by |
        | --- | --- | --- | --- | --- |
        | `bees` | as measured | measure it (2 sizes from 10 to 20, 3 points) | the hive | a hive |
        | `wasps` | as measured | computed from a nest | the hive | a hive |
        | `hornets` | as measured | computed from a nest | the hive | a hive |
        | `moths` | as measured | not measured | the hive | a hive |
        | `ants` | as measured | not measured | - | none |
        | `all` | as measured | the rows above | the hive | a hive |
        | `most` | as measured | the rows above, without moths, which nobody measured | the hive | a hive |
    "#]].assert_eq(&table.text);
}

#[test]
fn figures_have_three_digits() {
    let seen: Vec<String> = [0.0, 0.00012345, 0.99999, 1.2345, 13.0, 999.6, 1234.5, 469_800.0, -25.25]
        .map(format_significant)
        .into();
    expect!["0 0.000123 1 1.23 13 1,000 1,230 470,000 -25.2"].assert_eq(&seen.join(" "));
    let bytes = [12.0, 41.9e6, 875.0, 27_000.0].map(|value| format_with_unit(value, "B/s"));
    expect!["12 B/s, 41.9 MB/s, 875 B/s, 27 kB/s"].assert_eq(&bytes.join(", "));
}
