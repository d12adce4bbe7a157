//! The subcommand `hazelspur-simulator capacity`. It reads the size file, the studies' measurements and the
//! list of rows known to be missing, prints the report, and on request writes it as JSON and updates or
//! checks the tables of a Markdown page.

use super::measured::{Measurements, Study};
use super::report::{MissingList, Report, build_report};
use super::size::{SizeFile, figures};
use super::{format_significant, format_with_unit, page};
use anyhow::anyhow;
use clap::Args;
use comfy_table::{Table, presets};
use std::path::{Path, PathBuf};

/// Arguments of the subcommand.
#[derive(Args, Clone, Debug)]
pub struct CapacityArguments {
    /// TOML file with the target size, the budgets and the assumptions.
    #[arg(long, default_value = "docs/capacity/size.toml")]
    pub size: PathBuf,
    /// Directory with the studies' JSON files and missing.toml.
    #[arg(long, default_value = "docs/capacity")]
    pub measured: PathBuf,
    /// File to write the report to as JSON.
    #[arg(long)]
    pub json: Option<PathBuf>,
    /// Markdown page whose tables, between its markers, are replaced.
    #[arg(long)]
    pub page: Option<PathBuf>,
    /// Checks that the page's tables match the report, and leaves the page as it is.
    #[arg(long, requires = "page")]
    pub check: bool,
}

/// Contents of all input files.
pub struct CapacityInput {
    pub size: SizeFile,
    /// Figures of the size file in its order, each with its reason.
    pub figures: Vec<super::size::Figure>,
    /// Studies of the current code.
    pub measurements: Measurements,
    /// Studies of an earlier commit, from the subdirectory `before`; empty if there is none.
    pub earlier_measurements: Measurements,
    /// Rows known to be missing, from missing.toml; empty without that file.
    pub missing_list: MissingList,
}

/// Returns an error that names the file it concerns.
fn with_path(path: &Path, error: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("{}: {error}", path.display())
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).map_err(|error| with_path(path, error))
}

/// Reads all studies of a directory, in the order of the file names.
///
/// # Errors
/// Fails if a file cannot be read or parsed, or if two files hold the same study.
fn read_studies(directory: &Path) -> anyhow::Result<Measurements> {
    let entries = std::fs::read_dir(directory).map_err(|error| with_path(directory, error))?;
    let mut files: Vec<PathBuf> = entries.filter_map(|entry| entry.ok().map(|entry| entry.path())).collect();
    files.retain(|path| path.extension().is_some_and(|kind| kind == "json"));
    files.sort();
    let mut studies: Vec<Study> = Vec::new();
    for file in files {
        let study = Study::parse(&read(&file)?).map_err(|error| with_path(&file, error))?;
        if studies.iter().any(|other| other.study == study.study) {
            // A line fitted through the points of two commits would describe neither.
            let message = format!(
                "study: {} is also in another file; move the study of an earlier commit to before/",
                study.study
            );
            return Err(with_path(&file, message));
        }
        // The JSON report of this command may be in the same directory.
        if study.study != "capacity" {
            studies.push(study);
        }
    }
    Ok(Measurements::from_studies(studies))
}

/// Reads the size file and the directory of measurements.
///
/// # Errors
/// Fails if a file cannot be read or is invalid; the error names the file and, for invalid content, the key.
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

/// Formats the report as text for a terminal: a table of all rows, and the missing rows in the order in which
/// they depend on each other.
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

/// Prints the report, writes the requested files and returns the exit status.
///
/// The status is 0 without faults; 1 if a row exceeds its budget or has no mechanism and is not listed as
/// missing, if a listed row fits or has no budget, or if the checked page differs from the report; 2 if an
/// input is invalid or a file cannot be read or written.
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
        return Err(with_path(&list, format!("row: unknown row {unknown}")));
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
                eprintln!("{}: table {name} differs from the report", file.display());
                status = 1;
            }
        } else {
            let updated = page::replace_tables(&text, &tables).map_err(|error| with_path(file, error))?;
            std::fs::write(file, updated).map_err(|error| with_path(file, error))?;
        }
    }
    Ok(status)
}
