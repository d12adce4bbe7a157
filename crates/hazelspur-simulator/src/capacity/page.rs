//! Formats a report as Markdown tables and replaces the tables of a page. Each table of the page is between
//! two markers, of which the first names it:
//!
//! ```text
//! <!-- generated: NAME -->
//! <!-- end -->
//! ```

use super::command::CapacityInput;
use super::report::{self, BudgetCrossing, MissingList, Report, ReportLine, State};
use super::rows::Role;
use super::{format_significant, format_with_unit, measured};

/// Generated text of one table, or list, of the page.
pub struct GeneratedTable {
    /// Name in the start marker.
    pub name: String,
    /// Markdown text between the markers.
    pub text: String,
}

/// Cell of a figure that does not exist.
const NONE: &str = "-";
/// Cell of a figure that was not measured.
const NOT_MEASURED: &str = "not measured";

fn markdown_table(head: &[&str], rows: impl Iterator<Item = Vec<String>>) -> String {
    let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
    let head: Vec<String> = head.iter().map(|cell| cell.to_string()).collect();
    let separator = format!("|{}\n", " --- |".repeat(head.len()));
    rows.fold(line(&head) + &separator, |text, cells| text + &line(&cells))
}

fn value_cell(value: Option<f64>, unit: &str) -> String {
    value.map_or(NONE.into(), |value| format_with_unit(value, unit))
}

/// Returns the cell of the value at the target size: the value, a lower bound for a sum whose parts were not
/// all measured, or the reason why there is no value.
pub fn target_cell(line: &ReportLine) -> String {
    match line.target.map(|target| format_with_unit(target, line.unit)) {
        Some(sum) if line.state == State::NotMeasured => format!("at least {sum}"),
        Some(target) => target,
        None if line.state == State::Missing => "no mechanism".into(),
        None => NOT_MEASURED.into(),
    }
}

/// Returns the cell of a slope or base: three significant digits, in scientific notation below 0.001, without
/// a unit. Slopes are often far below one unit, so bytes are not scaled.
fn slope_cell(value: Option<f64>) -> String {
    value.map_or(NONE.into(), |value| match value.abs() {
        n if n != 0.0 && n < 1e-3 => format!("{value:.2e}"),
        _ => format_significant(value),
    })
}

fn crossing_cell(line: &ReportLine) -> String {
    match line.budget_crossing {
        BudgetCrossing::At(size) => format!("{} {}", format_significant(size), line.dimension),
        BudgetCrossing::Never => "past 1,000 times the target".into(),
        BudgetCrossing::AnySize => "at any size".into(),
        BudgetCrossing::Unknown => NONE.into(),
    }
}

fn role_tables(lines: &[&ReportLine]) -> String {
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
            slope_cell(line.slope),
            slope_cell(line.base),
            line.deviation.map_or(NONE.into(), |share| format!("{} %", format_significant(share * 100.0))),
            target_cell(line),
            value_cell(line.twice, line.unit),
            value_cell(line.budget, line.unit),
            line.ratio.map_or(NONE.into(), format_significant),
            crossing_cell(line),
            line.state.name().into(),
        ]
    });
    let origins = lines.iter().map(|line| {
        let origin = if line.origin.is_empty() { NOT_MEASURED.into() } else { line.origin.clone() };
        let origin = match &line.points {
            Some(points) => format!("{origin} ({points})"),
            None => origin,
        };
        let budget = if line.budget_origin.is_empty() { NONE } else { line.budget_origin };
        vec![format!("`{}`", line.row), line.formula.clone(), origin, budget.into(), line.mechanism.into()]
    });
    let origin_head = ["row", "formula", "measured by, or computed from", "budget from", "carried by"];
    markdown_table(&head, figures) + "\n" + &markdown_table(&origin_head, origins)
}

fn missing_table(report: &Report) -> String {
    let head = ["row", "what", "at the target", "budget", "ratio", "rests on", "carries", "why", "roadmap"];
    let rows = report.missing().into_iter().map(|line| {
        let (why, roadmap) = line.known.clone().unwrap_or(("not named in missing.toml".into(), NONE.into()));
        let prerequisites: Vec<String> =
            line.prerequisites.iter().map(|required| format!("`{required}`")).collect();
        vec![
            format!("`{}`", line.row),
            line.description.into(),
            target_cell(line),
            value_cell(line.budget, line.unit),
            line.ratio.map_or(NONE.into(), format_significant),
            if prerequisites.is_empty() { NONE.into() } else { prerequisites.join(", ") },
            report.dependent_count(line.row).to_string(),
            why,
            roadmap,
        ]
    });
    markdown_table(&head, rows)
}

fn order_list(report: &Report) -> String {
    let line = |(index, row): (usize, &&str)| {
        let line = report.lines.iter().find(|line| line.row == *row);
        let ratio = line
            .and_then(|line| line.ratio)
            .map_or("no figure".into(), |ratio| format!("{} times", format_significant(ratio)));
        format!(
            "{}. `{row}`: {}; {ratio}; carries {}\n",
            index + 1,
            line.map_or("", |line| line.description),
            report.dependent_count(row)
        )
    };
    report.order.iter().enumerate().map(line).collect()
}

fn states_table(report: &Report) -> String {
    let count = |state| report.lines.iter().filter(|line| line.state == state).count().to_string();
    let states = [State::Fits, State::Missing, State::NotMeasured, State::NoBudget];
    markdown_table(
        &["state", "rows"],
        states.into_iter().map(|state| vec![state.name().into(), count(state)]),
    )
}

fn studies_table(measurements: &measured::Measurements) -> String {
    if measurements.studies.is_empty() {
        return "No study is there yet: what is not computed is not measured.\n".into();
    }
    let rows = measurements.studies.iter().map(|study| {
        let measured::Study { study, commit, machine, command, points } = study;
        vec![study.clone(), commit.clone(), machine.clone(), points.len().to_string(), format!("`{command}`")]
    });
    markdown_table(&["study", "text", "machine", "points", "command"], rows)
}

/// Returns the table of the rows that the studies of an earlier commit measured, with their values then and
/// now.
fn earlier_table(input: &CapacityInput, report: &Report) -> String {
    let earlier = report::build_report(&input.size, &input.earlier_measurements, &MissingList::default());
    let commits: Vec<&str> =
        input.earlier_measurements.studies.iter().map(|study| study.commit.as_str()).collect();
    let measured = earlier.lines.iter().filter(|line| line.points.is_some());
    let rows = measured.filter_map(|earlier| {
        let now = report.lines.iter().find(|line| line.row == earlier.row)?;
        let cells = [&target_cell(earlier), &target_cell(now), &value_cell(now.budget, now.unit)];
        let names = [format!("`{}`", now.row), now.description.to_string()];
        Some(names.into_iter().chain(cells.into_iter().cloned()).collect())
    });
    let rows: Vec<Vec<String>> = rows.collect();
    if rows.is_empty() {
        return "No study of an earlier text is there.\n".into();
    }
    let head = format!("at the target, {}", commits.join(", "));
    markdown_table(&["row", "what", &head, "now", "budget"], rows.into_iter())
}

/// Returns all tables, in the order of the page.
pub fn generated_tables(input: &CapacityInput, report: &Report) -> Vec<GeneratedTable> {
    let section_table = |section: &str| {
        let figures = input.figures.iter().filter(move |figure| figure.section == section);
        markdown_table(
            &["key", "figure", "reason"],
            figures.map(|figure| {
                vec![format!("`{}`", figure.key), format_significant(figure.value), figure.reason.clone()]
            }),
        )
    };
    let table = |name: &str, text: String| GeneratedTable { name: name.into(), text };
    let mut all: Vec<GeneratedTable> =
        ["size", "budget", "assumed"].map(|section| table(section, section_table(section))).into();
    all.push(table("states", states_table(report)));
    for role in Role::ALL {
        let lines: Vec<&ReportLine> = report.lines.iter().filter(|line| line.role == role).collect();
        all.push(table(role.name(), role_tables(&lines)));
    }
    all.push(table("missing", missing_table(report)));
    all.push(table("order", order_list(report)));
    all.push(table("before", earlier_table(input, report)));
    all.push(table("studies", studies_table(&input.measurements)));
    all
}

/// Error in the markers of a page.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PageError {
    /// A start marker names a table that does not exist.
    #[error("generated: unknown table {0}")]
    UnknownTable(String),
    /// The end marker of the named table is missing.
    #[error("generated: no end marker for table {0}")]
    MissingEndMarker(String),
    /// The named table has two start markers.
    #[error("generated: table {0} is on the page twice")]
    DuplicateTable(String),
    /// The named table has no start marker.
    #[error("generated: table {0} is not on the page")]
    MissingTable(String),
}

/// Beginning of the marker before a generated table; the table's name and ` -->` follow.
const START_MARKER: &str = "<!-- generated: ";
/// Marker after a generated table.
const END_MARKER: &str = "<!-- end -->";

/// Returns the page with all its tables replaced by the given ones.
///
/// # Errors
/// Fails unless each table has exactly one start marker, with an end marker after it, and no start marker
/// names an unknown table.
pub fn replace_tables(page: &str, tables: &[GeneratedTable]) -> Result<String, PageError> {
    let (mut out, mut rest, mut seen) = (String::new(), page, Vec::new());
    while let Some(start) = rest.find(START_MARKER) {
        let after = &rest[start + START_MARKER.len()..];
        let name = after.split(" -->").next().unwrap_or_default();
        let table = tables.iter().find(|table| table.name == name);
        let table = table.ok_or_else(|| PageError::UnknownTable(name.into()))?;
        let end = after.find(END_MARKER).ok_or_else(|| PageError::MissingEndMarker(name.into()))?;
        if after[..end].contains(START_MARKER) {
            return Err(PageError::MissingEndMarker(name.into()));
        }
        if seen.contains(&name) {
            return Err(PageError::DuplicateTable(name.into()));
        }
        seen.push(name);
        out += &rest[..start];
        out += &format!("{START_MARKER}{name} -->\n\n{}\n{END_MARKER}", table.text);
        rest = &after[end + END_MARKER.len()..];
    }
    match tables.iter().find(|table| !seen.contains(&table.name.as_str())) {
        Some(table) => Err(PageError::MissingTable(table.name.clone())),
        None => Ok(out + rest),
    }
}

/// Returns the names of the tables on the page that differ from the given ones.
///
/// # Errors
/// Fails under the same conditions as [`replace_tables`].
pub fn stale_tables(page: &str, tables: &[GeneratedTable]) -> Result<Vec<String>, PageError> {
    let updated = replace_tables(page, tables)?;
    let table_text = |text: &str, name: &str| {
        let start = text.find(&format!("{START_MARKER}{name} -->"))?;
        let end = text[start..].find(END_MARKER)?;
        Some(text[start..start + end].to_string())
    };
    let is_stale =
        |table: &&GeneratedTable| table_text(page, &table.name) != table_text(&updated, &table.name);
    Ok(tables.iter().filter(is_stale).map(|table| table.name.clone()).collect())
}
