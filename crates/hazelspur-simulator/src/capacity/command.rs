//! `hazelspur-simulator capacity`: reads the size, what was measured and the page, and prints what comes of them.

use super::measured::{Measured, Study};
use super::report::{Known, Report, report};
use super::size::{Size, figures};
use super::{digits, page, with_unit};
use anyhow::anyhow;
use clap::Args;
use comfy_table::{Table, presets};
use std::path::{Path, PathBuf};

/// What the command line says.
#[derive(Args, Clone, Debug)]
pub struct Asked {
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
pub struct Told {
    pub size: Size,
    pub figures: Vec<super::size::Figure>,
    pub measured: Measured,
    /// Of an earlier text, from the directory `before` beside the others.
    pub before: Measured,
    pub known: Known,
}

/// An error with the file that it concerns.
fn at(path: &Path, error: impl std::fmt::Display) -> anyhow::Error {
    anyhow!("{}: {error}", path.display())
}

fn read(path: &Path) -> anyhow::Result<String> {
    std::fs::read_to_string(path).map_err(|error| at(path, error))
}

/// All studies of a directory, in the order of the files' names.
fn read_studies(directory: &Path) -> anyhow::Result<Measured> {
    let there = std::fs::read_dir(directory).map_err(|error| at(directory, error))?;
    let mut files: Vec<PathBuf> = there.filter_map(|entry| entry.ok().map(|entry| entry.path())).collect();
    files.retain(|path| path.extension().is_some_and(|kind| kind == "json"));
    files.sort();
    let mut studies: Vec<Study> = Vec::new();
    for file in files {
        let study = Study::read(&read(&file)?).map_err(|error| at(&file, error))?;
        if studies.iter().any(|other| other.study == study.study) {
            // One line through two texts would be neither's.
            let why =
                format!("study: {} is in another file too; an earlier text's goes to before/", study.study);
            return Err(at(&file, why));
        }
        // A report of this command may have been left there.
        if study.study != "capacity" {
            studies.push(study);
        }
    }
    Ok(Measured::of(studies))
}

/// Errors name the file and the key.
pub fn read_all(size: &Path, measured: &Path) -> anyhow::Result<Told> {
    let text = read(size)?;
    let known_at = measured.join("missing.toml");
    let known = if known_at.exists() {
        Known::read(&read(&known_at)?).map_err(|error| at(&known_at, error))?
    } else {
        Known::default()
    };
    let before = measured.join("before");
    let before = if before.is_dir() { read_studies(&before)? } else { Measured::default() };
    Ok(Told {
        size: Size::read(&text).map_err(|error| at(size, error))?,
        figures: figures(&text).map_err(|error| at(size, error))?,
        measured: read_studies(measured)?,
        before,
        known,
    })
}

/// For a terminal.
pub fn summary(report: &Report) -> String {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(["role", "row", "at the target", "at twice", "budget", "ratio", "state"]);
    for line in &report.lines {
        let figure = |value: Option<f64>| value.map_or("-".into(), |value| with_unit(value, line.unit));
        table.add_row([
            line.role.name().to_string(),
            line.row.to_string(),
            page::at_target(line),
            figure(line.twice),
            figure(line.budget),
            line.ratio.map_or("-".into(), digits),
            line.state.name().into(),
        ]);
    }
    let mut text = format!("{table}\n\nMissing, in the order in which they rest on each other:\n");
    for (at, row) in report.order.iter().enumerate() {
        text += &format!("{}. {row}, carries {}\n", at + 1, report.carries(row));
    }
    text
}

/// Prints, writes what was asked for, and gives the exit status: 0 where all is as named, 1 where a budget is
/// passed that is not named as missing, a named one fits, or the page is out of step, 2 for bad input.
pub fn run(asked: &Asked) -> i32 {
    run_quietly(asked).unwrap_or_else(|why| {
        eprintln!("{why}");
        2
    })
}

fn run_quietly(asked: &Asked) -> anyhow::Result<i32> {
    let told = read_all(&asked.size, &asked.measured)?;
    let report = report(&told.size, &told.measured, &told.known);
    if let Some(unknown) = report.unknown.first() {
        let list = asked.measured.join("missing.toml");
        return Err(at(&list, format!("row: there is no row {unknown}")));
    }
    println!("{}", summary(&report));
    if let Some(file) = &asked.json {
        let text = serde_json::to_string_pretty(&report.json())? + "\n";
        std::fs::write(file, text).map_err(|error| at(file, error))?;
    }
    let mut status = i32::from(!report.faults.is_empty());
    report.faults.iter().for_each(|fault| eprintln!("{fault}"));
    if let Some(file) = &asked.page {
        let text = read(file)?;
        let blocks = page::blocks(&told, &report);
        if asked.check {
            for name in page::differing(&text, &blocks).map_err(|error| at(file, error))? {
                eprintln!("{}: the table {name} is not what its slopes give", file.display());
                status = 1;
            }
        } else {
            let made = page::filled(&text, &blocks).map_err(|error| at(file, error))?;
            std::fs::write(file, made).map_err(|error| at(file, error))?;
        }
    }
    Ok(status)
}
