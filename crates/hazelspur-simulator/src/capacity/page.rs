//! A report as tables, and a page whose tables stand between markers:
//!
//! ```text
//! <!-- generated: NAME -->
//! <!-- end -->
//! ```

use super::command::CapacityInput;
use super::report::{self, BudgetCrossing, MissingList, Report, ReportLine, State};
use super::rows::Role;
use super::{format_significant, format_with_unit, measured};

/// A table by its marker's name.
pub struct GeneratedTable {
    pub name: String,
    pub text: String,
}

/// The cell of a figure that does not exist.
const NONE: &str = "-";
/// The cell of a figure that was not measured.
const NOT_MEASURED: &str = "not measured";

fn table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
    let head: Vec<String> = head.iter().map(|cell| cell.to_string()).collect();
    let under = format!("|{}\n", " --- |".repeat(head.len()));
    rows.fold(line(&head) + &under, |text, cells| text + &line(&cells))
}

fn or_none(value: Option<f64>, unit: &str) -> String {
    value.map_or(NONE.into(), |value| format_with_unit(value, unit))
}

/// A figure at the target, or why there is none.
pub fn target_cell(line: &ReportLine) -> String {
    match line.target.map(|target| format_with_unit(target, line.unit)) {
        Some(part) if line.state == State::NotMeasured => format!("at least {part}"),
        Some(target) => target,
        None if line.state == State::Missing => "no mechanism".into(),
        None => NOT_MEASURED.into(),
    }
}

/// A slope is small beside its unit; three digits, no scaling of bytes.
fn plain(value: Option<f64>) -> String {
    value.map_or(NONE.into(), |value| match value.abs() {
        n if n != 0.0 && n < 1e-3 => format!("{value:.2e}"),
        _ => format_significant(value),
    })
}

fn stops(line: &ReportLine) -> String {
    match line.budget_crossing {
        BudgetCrossing::At(size) => format!("{} {}", format_significant(size), line.dimension),
        BudgetCrossing::Never => "past 1,000 times the target".into(),
        BudgetCrossing::AnySize => "at any size".into(),
        BudgetCrossing::Unknown => NONE.into(),
    }
}

fn role(lines: &[&ReportLine]) -> String {
    let head = [
        "row",
        "what",
        "by",
        "slope",
        "base",
        "off by",
        "at the target",
        "at twice",
        "budget",
        "ratio",
        "stops at",
        "state",
    ];
    let figures = lines.iter().map(|line| {
        vec![
            format!("`{}`", line.row),
            line.description.into(),
            format!("{} {}", format_significant(line.size), line.dimension),
            plain(line.slope),
            plain(line.base),
            line.deviation.map_or(NONE.into(), |of| format!("{} %", format_significant(of * 100.0))),
            target_cell(line),
            or_none(line.twice, line.unit),
            or_none(line.budget, line.unit),
            line.ratio.map_or(NONE.into(), format_significant),
            stops(line),
            line.state.name().into(),
        ]
    });
    let carried = lines.iter().map(|line| {
        let origin = if line.origin.is_empty() { NOT_MEASURED.into() } else { line.origin.clone() };
        let origin = match &line.points {
            Some(points) => format!("{origin} ({points})"),
            None => origin,
        };
        let budget = if line.budget_origin.is_empty() { NONE } else { line.budget_origin };
        vec![format!("`{}`", line.row), line.formula.clone(), origin, budget.into(), line.mechanism.into()]
    });
    let second = ["row", "formula", "measured by, or computed from", "budget from", "carried by"];
    table(&head, figures) + "\n" + &table(&second, carried)
}

fn missing(report: &Report) -> String {
    let head = ["row", "what", "at the target", "budget", "ratio", "rests on", "carries", "why", "roadmap"];
    let rows = report.missing().into_iter().map(|line| {
        let (why, roadmap) = line.known.clone().unwrap_or(("not named in missing.toml".into(), NONE.into()));
        let rests: Vec<String> = line.prerequisites.iter().map(|under| format!("`{under}`")).collect();
        vec![
            format!("`{}`", line.row),
            line.description.into(),
            target_cell(line),
            or_none(line.budget, line.unit),
            line.ratio.map_or(NONE.into(), format_significant),
            if rests.is_empty() { NONE.into() } else { rests.join(", ") },
            report.dependent_count(line.row).to_string(),
            why,
            roadmap,
        ]
    });
    table(&head, rows)
}

fn order(report: &Report) -> String {
    let line = |(at, row): (usize, &&str)| {
        let line = report.lines.iter().find(|line| line.row == *row);
        let ratio = line
            .and_then(|line| line.ratio)
            .map_or("no figure".into(), |r| format!("{} times", format_significant(r)));
        format!(
            "{}. `{row}`: {}; {ratio}; carries {}\n",
            at + 1,
            line.map_or("", |l| l.description),
            report.dependent_count(row)
        )
    };
    report.order.iter().enumerate().map(line).collect()
}

fn states(report: &Report) -> String {
    let count = |state| report.lines.iter().filter(|line| line.state == state).count().to_string();
    let all = [State::Fits, State::Missing, State::NotMeasured, State::NoBudget];
    table(&["state", "rows"], all.into_iter().map(|state| vec![state.name().into(), count(state)]))
}

fn studies(measured: &measured::Measurements) -> String {
    if measured.studies.is_empty() {
        return "No study is there yet: what is not computed is not measured.\n".into();
    }
    let rows = measured.studies.iter().map(|study| {
        let measured::Study { study, commit, machine, command, points } = study;
        vec![study.clone(), commit.clone(), machine.clone(), points.len().to_string(), format!("`{command}`")]
    });
    table(&["study", "text", "machine", "points", "command"], rows)
}

/// Rows that an earlier text's studies measured, beside what they are now.
fn before(told: &CapacityInput, report: &Report) -> String {
    let then = report::build_report(&told.size, &told.earlier_measurements, &MissingList::default());
    let texts: Vec<&str> =
        told.earlier_measurements.studies.iter().map(|study| study.commit.as_str()).collect();
    let measured = then.lines.iter().filter(|line| line.points.is_some());
    let rows = measured.filter_map(|then| {
        let now = report.lines.iter().find(|line| line.row == then.row)?;
        let cells = [&target_cell(then), &target_cell(now), &or_none(now.budget, now.unit)];
        let names = [format!("`{}`", now.row), now.description.to_string()];
        Some(names.into_iter().chain(cells.into_iter().cloned()).collect())
    });
    let rows: Vec<Vec<String>> = rows.collect();
    if rows.is_empty() {
        return "No study of an earlier text is there.\n".into();
    }
    let head = format!("at the target, {}", texts.join(", "));
    table(&["row", "what", &head, "now", "budget"], rows.into_iter())
}

/// All tables, in the order of the page.
pub fn generated_tables(told: &CapacityInput, report: &Report) -> Vec<GeneratedTable> {
    let of_section = |section: &str| {
        let of = told.figures.iter().filter(move |figure| figure.section == section);
        table(
            &["key", "figure", "reason"],
            of.map(|figure| {
                vec![format!("`{}`", figure.key), format_significant(figure.value), figure.reason.clone()]
            }),
        )
    };
    let block = |name: &str, text: String| GeneratedTable { name: name.into(), text };
    let mut all: Vec<GeneratedTable> =
        ["size", "budget", "assumed"].map(|section| block(section, of_section(section))).into();
    all.push(block("states", states(report)));
    for of in Role::ALL {
        let lines: Vec<&ReportLine> = report.lines.iter().filter(|line| line.role == of).collect();
        all.push(block(of.name(), role(&lines)));
    }
    all.push(block("missing", missing(report)));
    all.push(block("order", order(report)));
    all.push(block("before", before(told, report)));
    all.push(block("studies", studies(&told.measurements)));
    all
}

/// Why a page's tables cannot be made anew.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A marker names a table that does not exist.
    #[error("generated: there is no table {0}")]
    UnknownTable(String),
    /// A table's end marker is missing.
    #[error("generated: {0} has no end")]
    MissingEndMarker(String),
    /// A table has two markers.
    #[error("generated: {0} stands there twice")]
    DuplicateTable(String),
    /// A table has no marker.
    #[error("generated: {0} is not on the page")]
    MissingTable(String),
}

/// Opens the marker before a generated table.
const BEGINS: &str = "<!-- generated: ";
/// The marker after a generated table.
const ENDS: &str = "<!-- end -->";

/// The page with each of its tables made anew. Errors say which marker is wrong, or not there.
pub fn replace_tables(page: &str, blocks: &[GeneratedTable]) -> Result<String, PageError> {
    let (mut out, mut rest, mut seen) = (String::new(), page, Vec::new());
    while let Some(begins) = rest.find(BEGINS) {
        let after = &rest[begins + BEGINS.len()..];
        let name = after.split(" -->").next().unwrap_or_default();
        let block = blocks.iter().find(|block| block.name == name);
        let block = block.ok_or_else(|| PageError::UnknownTable(name.into()))?;
        let ends = after.find(ENDS).ok_or_else(|| PageError::MissingEndMarker(name.into()))?;
        if after[..ends].contains(BEGINS) {
            return Err(PageError::MissingEndMarker(name.into()));
        }
        if seen.contains(&name) {
            return Err(PageError::DuplicateTable(name.into()));
        }
        seen.push(name);
        out += &rest[..begins];
        out += &format!("{BEGINS}{name} -->\n\n{}\n{ENDS}", block.text);
        rest = &after[ends + ENDS.len()..];
    }
    match blocks.iter().find(|block| !seen.contains(&block.name.as_str())) {
        Some(block) => Err(PageError::MissingTable(block.name.clone())),
        None => Ok(out + rest),
    }
}

/// The names of tables on the page that are not what the report gives; errors as in `filled`.
pub fn stale_tables(page: &str, blocks: &[GeneratedTable]) -> Result<Vec<String>, PageError> {
    let made = replace_tables(page, blocks)?;
    let of = |text: &str, name: &str| {
        let begins = text.find(&format!("{BEGINS}{name} -->"))?;
        let ends = text[begins..].find(ENDS)?;
        Some(text[begins..begins + ends].to_string())
    };
    let differs = |block: &&GeneratedTable| of(page, &block.name) != of(&made, &block.name);
    Ok(blocks.iter().filter(differs).map(|block| block.name.clone()).collect())
}
