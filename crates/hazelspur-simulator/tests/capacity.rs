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

fn repository_input() -> CapacityInput {
    read_input(&root().join("docs/capacity/size.toml"), &root().join("docs/capacity"))
        .expect("all can be read")
}

fn measurements(texts: &[&str]) -> Measurements {
    Measurements::from_studies(texts.iter().map(|text| Study::parse(text).expect("a study")).collect())
}

/// The repository's size, with nothing known, and no study but these.
fn input_with(measurements: Measurements) -> CapacityInput {
    CapacityInput {
        size: SizeFile::parse(&size_text()).expect("the size"),
        figures: figures(&size_text()).expect("figures"),
        measurements,
        earlier_measurements: Measurements::default(),
        missing_list: MissingList::default(),
    }
}

/// The command's exit status, and what it said on standard error.
fn run_capacity(arguments: &[&Path]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_hazelspur-simulator"))
        .arg("capacity")
        .args(arguments)
        .current_dir(root())
        .output()
        .expect("the command starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into())
}

/// A directory of its own for a test, empty.
fn empty_directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(&directory).expect("a directory");
    directory
}

#[test]
fn repository_page_matches_the_computed_tables() {
    let input = repository_input();
    let report = build_report(&input.size, &input.measurements, &input.missing_list);
    assert_eq!(report.faults, Vec::<String>::new());
    assert_eq!(report.unknown, Vec::<String>::new());
    let tables = generated_tables(&input, &report);
    let stale = stale_tables(&page_text(), &tables).expect("all markers are there");
    assert_eq!(
        stale,
        Vec::<String>::new(),
        "run `hazelspur-simulator capacity --page docs/CAPACITY.md` and read what changed"
    );
}

#[test]
fn command_accepts_the_repository_page() {
    let (status, stderr) =
        run_capacity(&["--page".as_ref(), "docs/CAPACITY.md".as_ref(), "--check".as_ref()]);
    assert_eq!((status, stderr.as_str()), (Some(0), ""));
}

#[test]
fn constants_match_the_sources_they_name() {
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
fn mechanisms_are_defined_in_the_files_rows_name() {
    let size = SizeFile::parse(&size_text()).expect("the size");
    for row in rows(&size) {
        let Some((file, name)) = row.mechanism.split_once(".rs ") else { continue };
        let file = format!("{}.rs", file.rsplit(' ').next().unwrap_or(file));
        let text = std::fs::read_to_string(root().join(&file)).unwrap_or_else(|e| panic!("{file}: {e}"));
        let keywords = ["pub struct", "pub(super) struct", "pub enum", "pub fn", "pub async fn"];
        let has_item = keywords.iter().any(|keyword| text.contains(&format!("{keyword} {name}")));
        // Names are made by a macro.
        let has_macro_argument = text.lines().any(|line| line == format!("    {name}"));
        assert!(has_item || has_macro_argument, "{}: no {name} in {file}", row.name);
    }
}

#[test]
fn rows_are_unique_and_refer_to_existing_rows() {
    let rows = rows(&SizeFile::parse(&size_text()).expect("the size"));
    let mut names = BTreeSet::new();
    for row in &rows {
        assert!(row.sum_of.iter().all(|part| names.contains(part)), "{}", row.name);
        assert!(names.insert(row.name), "{} twice", row.name);
    }
    for row in &rows {
        assert!(
            row.prerequisites.iter().all(|required| names.contains(required)),
            "{}: {:?}",
            row.name,
            row.prerequisites
        );
        assert!(!row.formula.is_empty() && !row.mechanism.is_empty(), "{}", row.name);
    }
}

#[test]
fn ten_times_the_servers_exceed_budgets_by_row_name() {
    let directory = empty_directory("ten-times");
    let text = size_text().replace("\nservers = 810\n", "\nservers = 8100\n");
    assert_ne!(text, size_text());
    std::fs::write(directory.join("size.toml"), text).expect("written");
    std::fs::copy(root().join("docs/capacity/missing.toml"), directory.join("missing.toml")).expect("copied");
    let (status, stderr) =
        run_capacity(&["--size".as_ref(), &directory.join("size.toml"), "--measured".as_ref(), &directory]);
    assert_eq!(status, Some(1), "{stderr}");
    for row in ["list.reports: 10,100 1/s at the target", "server.talk.most: 10,100 entries at the target"] {
        assert!(stderr.contains(row), "{stderr}");
    }
}

#[test]
fn table_edited_by_hand_is_reported() {
    let directory = empty_directory("by-hand");
    let input = repository_input();
    let report = build_report(&input.size, &input.measurements, &input.missing_list);
    let page = page_text();
    // One digit of one slope.
    let line = page.lines().find(|line| line.starts_with("| `list.reports` |")).expect("the row");
    let edited = page.replace(line, &line.replacen("1.25", "1.24", 1));
    assert_ne!(edited, page);
    let tables = generated_tables(&input, &report);
    assert_eq!(stale_tables(&edited, &tables), Ok(vec!["list".to_string()]));
    assert_eq!(
        replace_tables(&edited, &tables).expect("all markers"),
        replace_tables(&page, &tables).expect("all markers")
    );
    std::fs::write(directory.join("page.md"), edited).expect("written");
    let (status, stderr) = run_capacity(&["--page".as_ref(), &directory.join("page.md"), "--check".as_ref()]);
    assert_eq!(status, Some(1));
    assert!(stderr.contains("the table list is not what its slopes give"), "{stderr}");
}

#[test]
fn wrong_page_markers_are_named_in_errors() {
    let input = repository_input();
    let report = build_report(&input.size, &input.measurements, &input.missing_list);
    let tables = generated_tables(&input, &report);
    let page = page_text();
    let error_after = |from: &str, to: &str| {
        replace_tables(&page.replacen(from, to, 1), &tables).err().map(|error| error.to_string())
    };
    assert_eq!(
        error_after("generated: list -->", "generated: lists -->"),
        Some("generated: there is no table lists".into())
    );
    assert_eq!(
        error_after("generated: list -->", "generated: server -->"),
        Some("generated: server stands there twice".into())
    );
    assert_eq!(
        error_after("<!-- generated: list -->", ""),
        Some("generated: list is not on the page".into())
    );
    assert_eq!(error_after("<!-- end -->", ""), Some("generated: size has no end".into()));
}

#[test]
fn rows_without_points_are_reported_as_not_measured() {
    let size = SizeFile::parse(&size_text()).expect("the size");
    let report = build_report(&size, &Measurements::default(), &MissingList::default());
    let line = |name: &str| report.lines.iter().find(|line| line.row == name).expect("a row");
    assert_eq!(line("server.talk.bytes").state, State::NotMeasured);
    assert_eq!(line("server.bytes").state, State::NotMeasured);
    assert_eq!(line("server.bytes").ratio, None);
    let tables = generated_tables(&input_with(Measurements::default()), &report);
    let server = &tables.iter().find(|table| table.name == "server").expect("a table").text;
    let line_of =
        |name: &str| server.lines().find(|line| line.starts_with(&format!("| `{name}`"))).expect("a row");
    assert!(line_of("server.talk.bytes").contains("| not measured |"), "{server}");
    assert!(line_of("server.bytes").contains("| at least 875 B/s |"), "{server}");
}

#[test]
fn single_size_gives_no_slope_and_counts_only_at_target() {
    let point = |size: u32| {
        format!(
            r#"{{"study":"one","command":"c","points":[{{"figure":"members.bytes_out_per_s","case":"rest",
            "unit":"B/s","by":"servers","size":{size},"seed":1,"value":432.1}}]}}"#
        )
    };
    let size = SizeFile::parse(&size_text()).expect("the size");
    let outcome = |measurements: Measurements| {
        let report = build_report(&size, &measurements, &MissingList::default());
        let line = report.lines.into_iter().find(|line| line.row == "server.talk.bytes").expect("a row");
        (line.state, line.target, line.twice, line.slope)
    };
    assert_eq!(outcome(measurements(&[&point(100)])), (State::NotMeasured, None, None, None));
    assert_eq!(outcome(measurements(&[&point(810)])), (State::Fits, Some(432.1), None, None));
}

#[test]
fn point_at_target_above_the_fitted_line_counts() {
    let points: Vec<String> = [(100, 1.0), (400, 1.0), (810, 30.0), (1620, 1.0)]
        .map(|(size, value)| {
            format!(
                r#"{{"figure":"members.agree_s","case":"storm","unit":"s","by":"servers","size":{size},"value":{value}}}"#
            )
        })
        .into();
    let study = format!(r#"{{"study":"scale","command":"c","points":[{}]}}"#, points.join(","));
    let size = SizeFile::parse(&size_text()).expect("the size");
    let report = build_report(&size, &measurements(&[&study]), &MissingList::default());
    let line = report.lines.iter().find(|line| line.row == "event.storm.agree").expect("a row");
    assert_eq!((line.state, line.target), (State::Missing, Some(30.0)));
}

#[test]
fn invalid_input_is_refused_with_the_key_named() {
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
    let directory = empty_directory("bad-input");
    std::fs::write(directory.join("size.toml"), size_text().replace("\nservers = ", "\nsevers = "))
        .expect("written");
    let (status, stderr) =
        run_capacity(&["--size".as_ref(), &directory.join("size.toml"), "--measured".as_ref(), &directory]);
    assert_eq!(status, Some(2));
    assert!(stderr.contains("size.toml: unknown field `severs`"), "{stderr}");
    std::fs::write(directory.join("size.toml"), size_text()).expect("written");
    let list = "[[missing]]\nrow = \"no.such\"\nwhy = \"a test\"\nroadmap = \"none\"\n";
    std::fs::write(directory.join("missing.toml"), list).expect("written");
    let (status, stderr) =
        run_capacity(&["--size".as_ref(), &directory.join("size.toml"), "--measured".as_ref(), &directory]);
    assert_eq!(status, Some(2));
    assert!(stderr.contains("missing.toml: row: there is no row no.such"), "{stderr}");
    std::fs::write(directory.join("missing.toml"), "").expect("written");
    std::fs::write(directory.join("scale.json"), r#"{"study":"scale","points":[{"case":"rest"}]}"#)
        .expect("written");
    let (status, stderr) =
        run_capacity(&["--size".as_ref(), &directory.join("size.toml"), "--measured".as_ref(), &directory]);
    assert_eq!(status, Some(2));
    assert!(stderr.contains("scale.json: missing field `figure`"), "{stderr}");
}

#[test]
fn earlier_study_is_shown_in_a_separate_table() {
    let directory = empty_directory("before");
    std::fs::write(directory.join("size.toml"), size_text()).expect("written");
    let study = |text: &str, value: u32| {
        format!(
            r#"{{"study":"server","text":"{text}","points":[{{"figure":"server.memory.anon_bytes","case":"any",
            "unit":"B","by":"tenants","size":42000,"seed":1,"value":{value}}}]}}"#
        )
    };
    std::fs::write(directory.join("server.json"), study("new", 9_000_000)).expect("written");
    std::fs::write(directory.join("server-old.json"), study("old", 41_900_000)).expect("written");
    let (status, stderr) =
        run_capacity(&["--size".as_ref(), &directory.join("size.toml"), "--measured".as_ref(), &directory]);
    assert_eq!(status, Some(2));
    assert!(stderr.contains("server.json: study: server is in another file too"), "{stderr}");
    std::fs::create_dir(directory.join("before")).expect("a directory");
    std::fs::rename(directory.join("server-old.json"), directory.join("before/server.json")).expect("moved");
    let input = read_input(&directory.join("size.toml"), &directory).expect("all can be read");
    let report = build_report(&input.size, &input.measurements, &input.missing_list);
    let tables = generated_tables(&input, &report);
    let before = &tables.iter().find(|table| table.name == "before").expect("a table").text;
    expect![[r#"
        | row | what | at the target, old | now | budget |
        | --- | --- | --- | --- | --- |
        | `server.settings.memory` | settings held, memory | 41.9 MB | 9 MB | 16 MB |
    "#]]
    .assert_eq(before);
}

#[test]
fn row_listed_as_missing_that_fits_is_a_fault() {
    let size = SizeFile::parse(&size_text()).expect("the size");
    let list = "[[missing]]\nrow = \"list.reports\"\nwhy = \"a test\"\nroadmap = \"none\"\n";
    let missing_list = MissingList::parse(list).expect("a list");
    let report = build_report(&size, &Measurements::default(), &missing_list);
    assert!(report.faults.contains(&"list.reports: named as missing, and fits".to_string()));
}

#[test]
fn small_model_gives_expected_tables() {
    let study = r#"{"study":"tiny","command":"measure it","text":"abc","machine":"none","points":[
        {"figure":"fitted","case":"rest","unit":"B/s","by":"servers","size":10,"seed":1,"value":30},
        {"figure":"fitted","case":"rest","unit":"B/s","by":"servers","size":10,"seed":2,"value":34},
        {"figure":"fitted","case":"rest","unit":"B/s","by":"servers","size":20,"seed":1,"value":52},
        {"figure":"fitted","case":"storm","unit":"B/s","by":"servers","size":20,"seed":1,"value":99}]}"#;
    let servers = ("servers", 100.0);
    let server_row = |name| {
        row(Role::Server, name, "a test", "B/s", servers)
            .formula("as measured")
            .by_mechanism("a test mechanism")
    };
    let rows = [
        server_row("fitted").measured(&["fitted"], &["rest"]).within(250.0, "a test budget"),
        server_row("slope_over")
            .computed("test code", 3.0, 0.0)
            .within(250.0, "a test budget")
            .requires(&["base_over"]),
        server_row("base_over").computed("test code", 0.0, 260.0).within(250.0, "a test budget"),
        server_row("unmeasured").measured(&["unmeasured"], &[]).within(250.0, "a test budget"),
        server_row("uncarried").no_mechanism("none").requires(&["slope_over"]),
        server_row("sum").sum_of(&["fitted", "slope_over"]).within(1000.0, "a test budget"),
        server_row("partial_sum").sum_of(&["fitted", "unmeasured"]).within(1000.0, "a test budget"),
    ];
    let report = build_report_from_rows(&rows, &measurements(&[study]), &MissingList::default());
    expect![[r#"
        | role   | row         | at the target    | at twice  | budget  | ratio | state        |
        |--------|-------------|------------------|-----------|---------|-------|--------------|
        | server | fitted      | 212 B/s          | 412 B/s   | 250 B/s | 0.848 | fits         |
        | server | slope_over  | 300 B/s          | 600 B/s   | 250 B/s | 1.2   | missing      |
        | server | base_over   | 260 B/s          | 260 B/s   | 250 B/s | 1.04  | missing      |
        | server | unmeasured  | not measured     | -         | 250 B/s | -     | not measured |
        | server | uncarried   | no mechanism     | -         | -       | -     | missing      |
        | server | sum         | 512 B/s          | 1.01 kB/s | 1 kB/s  | 0.512 | fits         |
        | server | partial_sum | at least 212 B/s | -         | 1 kB/s  | -     | not measured |

        Missing, in the order in which they rest on each other:
        1. base_over, carries 2
        2. slope_over, carries 1
        3. uncarried, carries 0
    "#]]
    .assert_eq(&summary(&report));
    expect![[r#"
        slope_over: 300 B/s at the target, over its budget of 250 B/s, 1.2 times; not named as missing
        base_over: 260 B/s at the target, over its budget of 250 B/s, 1.04 times; not named as missing
        uncarried: nothing carries it; not named as missing"#]]
    .assert_eq(&report.faults.join("\n"));
    assert_eq!(report.lines[0].budget_crossing, BudgetCrossing::At(119.0));
    let table = &generated_tables(&input_with(measurements(&[study])), &report)[4];
    expect![[r#"
        | row | what | by | slope | base | off by | at the target | at twice | budget | ratio | stops at | state |
        | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
        | `fitted` | a test | 100 servers | 2 | 12 | 3.85 % | 212 B/s | 412 B/s | 250 B/s | 0.848 | 119 servers | fits |
        | `slope_over` | a test | 100 servers | 3 | 0 | - | 300 B/s | 600 B/s | 250 B/s | 1.2 | 83.3 servers | missing |
        | `base_over` | a test | 100 servers | 0 | 260 | - | 260 B/s | 260 B/s | 250 B/s | 1.04 | at any size | missing |
        | `unmeasured` | a test | 100 servers | - | - | - | not measured | - | 250 B/s | - | - | not measured |
        | `uncarried` | a test | 100 servers | - | - | - | no mechanism | - | - | - | - | missing |
        | `sum` | a test | 100 servers | - | - | - | 512 B/s | 1.01 kB/s | 1 kB/s | 0.512 | - | fits |
        | `partial_sum` | a test | 100 servers | - | - | - | at least 212 B/s | - | 1 kB/s | - | - | not measured |

        | row | formula | measured by, or computed from | budget from | carried by |
        | --- | --- | --- | --- | --- |
        | `fitted` | as measured | measure it (2 sizes from 10 to 20, 3 points) | a test budget | a test mechanism |
        | `slope_over` | as measured | computed from test code | a test budget | a test mechanism |
        | `base_over` | as measured | computed from test code | a test budget | a test mechanism |
        | `unmeasured` | as measured | not measured | a test budget | a test mechanism |
        | `uncarried` | as measured | not measured | - | none |
        | `sum` | as measured | the rows above | a test budget | a test mechanism |
        | `partial_sum` | as measured | the rows above, without unmeasured, which nobody measured | a test budget | a test mechanism |
    "#]].assert_eq(&table.text);
}

#[test]
fn numbers_have_three_significant_digits() {
    let formatted: Vec<String> = [0.0, 0.00012345, 0.99999, 1.2345, 13.0, 999.6, 1234.5, 469_800.0, -25.25]
        .map(format_significant)
        .into();
    expect!["0 0.000123 1 1.23 13 1,000 1,230 470,000 -25.2"].assert_eq(&formatted.join(" "));
    let bytes = [12.0, 41.9e6, 875.0, 27_000.0].map(|value| format_with_unit(value, "B/s"));
    expect!["12 B/s, 41.9 MB/s, 875 B/s, 27 kB/s"].assert_eq(&bytes.join(", "));
}
