//! `hazelspur-simulator capacity`: reads the size, what was measured and the page, and prints what comes of them.

use super::measured::{Measurements, Study};
use super::report::{MissingList, Report, build_report};
use super::size::{SizeFile, figures};
use super::{format_significant, format_with_unit, page};
use anyhow::anyhow;
use clap::Args;
use comfy_table::{Table, presets};
use std::path::{Path, PathBuf};

/// What the command line says.
#[derive(Args, Clone, Debug)]
pub struct CapacityArguments {
    /// The figures of the size, budgets and assumptions.
    #[arg(long, default_value = "docs/capacity/size.toml")]
    pub size: PathBuf,
    /// The directory with the studies' JSON files, and with missing.toml.
    #[arg(long, default_value = "docs/capacity")]
    pub measured: PathBuf,
    /// Writes the report as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Writes the tables into this page, between its markers.
    #[arg(long)]
    pub page: Option<PathBuf>,
    /// Only says whether the page's tables are what the report gives.
    #[arg(long, requires = "page")]
    pub check: bool,
}

/// What was read from files.
pub struct CapacityInput {
    pub size: SizeFile,
    pub figures: Vec<super::size::Figure>,
    pub measurements: Measurements,
    /// Of an earlier text, from the directory `before` beside the others.
    pub earlier_measurements: Measurements,
    pub missing_list: MissingList,
}

/// An error with the file that it concerns.
fn with_path(path: &Path, error: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("{}: {error}", path.display())
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).map_err(|error| with_path(path, error))
}

/// All studies of a directory, in the order of the files' names.
fn read_studies(directory: &Path) -> anyhow::Result<Measurements> {
    let entries = std::fs::read_dir(directory).map_err(|error| with_path(directory, error))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| entry.ok().map(|entry| entry.path())).collect();
    files.retain(|path| path.extension().is_some_and(|kind| kind == "json"));
    files.sort();
    let mut studies: Vec<Study> = Vec::new();
    for file in files {
        let study = Study::parse(&read(&file)?).map_err(|error| with_path(&file, error))?;
        if studies.iter().any(|other| other.study == study.study) {
            // One line through two texts would be neither's.
            let message =
                format!("study: {} is in another file too; an earlier text's goes to before/", study.study);
            return Err(with_path(&file, message));
        }
        // A report of this command may have been left there.
        if study.study != "capacity" {
            studies.push(study);
        }
    }
    Ok(Measurements::from_studies(studies))
}

/// Errors name the file and the key.
pub fn read_input(size: &Path, measured: &Path) -> anyhow::Result<CapacityInput> {
    let text = read(size)?;
    let list_path = measured.join("missing.toml");
    let missing_list = if list_path.exists() {
        MissingList::parse(&read(&list_path)?).map_err(|error| with_path(&list_path, error))?
    } else {
        MissingList::default()
    };
    let earlier_directory = measured.join("before");
    let earlier_measurements =
        if earlier_directory.is_dir() { read_studies(&earlier_directory)? } else { Measurements::default() };
    Ok(CapacityInput {
        size: SizeFile::parse(&text).map_err(|error| with_path(size, error))?,
        figures: figures(&text).map_err(|error| with_path(size, error))?,
        measurements: read_studies(measured)?,
        earlier_measurements,
        missing_list,
    })
}

/// For a terminal.
pub fn summary(report: &Report) -> String {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(["role", "row", "at the target", "at twice", "budget", "ratio", "state"]);
    for line in &report.lines {
        let cell = |value: Option<f64>| value.map_or("-".into(), |value| format_with_unit(value, line.unit));
        table.add_row([
            line.role.name().to_string(),
            line.row.to_string(),
            page::target_cell(line),
            cell(line.twice),
            cell(line.budget),
            line.ratio.map_or("-".into(), format_significant),
            line.state.name().into(),
        ]);
    }
    let mut text = format!("{table}\n\nMissing, in the order in which they rest on each other:\n");
    for (index, row) in report.order.iter().enumerate() {
        text += &format!("{}. {row}, carries {}\n", index + 1, report.dependent_count(row));
    }
    text
}

/// Prints, writes what was asked for, and gives the exit status: 0 where all is as named, 1 where a budget is
/// passed that is not named as missing, a named one fits, or the page is out of step, 2 for bad input.
pub fn run(arguments: &CapacityArguments) -> i32 {
    try_run(arguments).unwrap_or_else(|error| {
        eprintln!("{error}");
        2
    })
}

fn try_run(arguments: &CapacityArguments) -> anyhow::Result<i32> {
    let input = read_input(&arguments.size, &arguments.measured)?;
    let report = build_report(&input.size, &input.measurements, &input.missing_list);
    if let Some(unknown) = report.unknown.first() {
        let list = arguments.measured.join("missing.toml");
        return Err(with_path(&list, format!("row: there is no row {unknown}")));
    }
    println!("{}", summary(&report));
    if let Some(file) = &arguments.json {
        let text = serde_json::to_string_pretty(&report.to_json())? + "\n";
        std::fs::write(file, text).map_err(|error| with_path(file, error))?;
    }
    let mut status = i32::from(!report.faults.is_empty());
    report.faults.iter().for_each(|fault| eprintln!("{fault}"));
    if let Some(file) = &arguments.page {
        let text = read(file)?;
        let tables = page::generated_tables(&input, &report);
        if arguments.check {
            for name in page::stale_tables(&text, &tables).map_err(|error| with_path(file, error))? {
                eprintln!("{}: the table {name} is not what its slopes give", file.display());
                status = 1;
            }
        } else {
            let updated = page::replace_tables(&text, &tables).map_err(|error| with_path(file, error))?;
            std::fs::write(file, updated).map_err(|error| with_path(file, error))?;
        }
    }
    Ok(status)
}
