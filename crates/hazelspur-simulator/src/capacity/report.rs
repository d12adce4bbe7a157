//! Rows and slopes to figures at the target and at twice it, states, and the order in which what is missing
//! rests on each other. Pure: the same size, points and list give the same report.

use super::measured::{Fit, Measurements};
use super::rows::{MechanismStatus, Role, Row, Source};
use super::size::SizeFile;
use super::{format_significant, round_significant};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The list of rows that are known to be over their budget.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingList {
    #[serde(default)]
    pub missing: Vec<MissingEntry>,
}

/// A row that is known to be over its budget.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingEntry {
    /// The row's name.
    pub row: String,
    pub why: String,
    /// The entry of docs/ROADMAP.md.
    pub roadmap: String,
}

/// Why a list of known rows is refused; names the key at fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MissingListError(String);

impl MissingList {
    /// Errors name the key at fault.
    pub fn parse(text: &str) -> Result<Self, MissingListError> {
        toml::from_str(text).map_err(|error| MissingListError(error.message().to_string()))
    }
}

/// How a row stands beside its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    Fits,
    /// Over its budget, or nothing carries it.
    Missing,
    NotMeasured,
    /// Has no budget of its own; other rows go by it.
    #[serde(rename = "stated")]
    NoBudget,
}

impl State {
    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fits => "fits",
            Self::Missing => "missing",
            Self::NotMeasured => "not measured",
            Self::NoBudget => "no budget",
        }
    }
}

/// A row with its figures; none where a figure could not be had.
#[derive(Clone, Debug, Serialize)]
pub struct ReportLine {
    pub row: &'static str,
    #[serde(skip)]
    pub role: Role,
    #[serde(rename = "what")]
    pub description: &'static str,
    pub unit: &'static str,
    pub formula: String,
    /// The dimension that slope and size count.
    #[serde(rename = "by")]
    pub dimension: &'static str,
    pub size: f64,
    pub slope: Option<f64>,
    pub base: Option<f64>,
    /// Largest distance of a measured point from the line, of the greatest value.
    pub deviation: Option<f64>,
    /// The command that measured it, or the line of code it is computed from.
    #[serde(rename = "from")]
    pub origin: String,
    /// Sizes and points behind a measured slope.
    pub points: Option<String>,
    pub target: Option<f64>,
    pub twice: Option<f64>,
    pub budget: Option<f64>,
    #[serde(rename = "budget_from")]
    pub budget_origin: &'static str,
    pub ratio: Option<f64>,
    pub mechanism: &'static str,
    #[serde(rename = "stops_at")]
    pub budget_crossing: BudgetCrossing,
    pub state: State,
    #[serde(rename = "rests_on")]
    pub prerequisites: Vec<&'static str>,
    /// Why it is known to be missing, and its place on the roadmap.
    pub known: Option<(String, String)>,
}

/// From which size on the budget is passed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BudgetCrossing {
    At(f64),
    /// Not within a thousand times the target.
    Never,
    /// The base alone passes it.
    AnySize,
    Unknown,
}

/// All lines, and what is wrong with them.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub study: &'static str,
    pub lines: Vec<ReportLine>,
    /// Rows that are missing, in an order in which each stands behind what it rests on, worst ratio first.
    pub order: Vec<&'static str>,
    /// One line each; any of them makes the command fail.
    pub faults: Vec<String>,
    /// Rows that are named as missing and are none.
    pub unknown: Vec<String>,
}

/// A row's value by size.
struct Curve {
    fit: Option<Fit>,
    slope: f64,
    base: f64,
    factor: f64,
    /// Whether it grows with the size once more: a sum over all servers of what each sees.
    sum_over_servers: bool,
    measured_at_target: Option<f64>,
    origin: String,
    points: Option<String>,
}

impl Curve {
    fn at(&self, size: f64) -> f64 {
        let value = (self.slope * size + self.base) * self.factor;
        if self.sum_over_servers { value * size } else { value }
    }
}

/// The curve of the first source that has figures.
fn first_curve(row: &Row, measurements: &Measurements) -> Option<Curve> {
    row.sources.iter().find_map(|source| match source {
        Source::Computed { origin, slope, base } => Some(computed_curve(origin, *slope, *base)),
        Source::Measured { figures, cases, seeds, factor, sum_over_servers } => {
            let series = measurements.find(figures, cases, row.dimension)?;
            let scale = if *sum_over_servers { factor * row.size } else { *factor };
            let measured_at_target = series.value_near(row.size, *seeds).map(|value| value * scale);
            let origin = series.command.clone();
            match series.fit(*seeds) {
                Some(fit) => Some(Curve {
                    factor: *factor,
                    sum_over_servers: *sum_over_servers,
                    measured_at_target,
                    ..fitted_curve(fit, origin)
                }),
                // One size tells nothing of another.
                None => measured_at_target.map(|value| curve_at_one_size(value, origin)),
            }
        }
    })
}

fn computed_curve(origin: &str, slope: f64, base: f64) -> Curve {
    let origin = format!("computed from {origin}");
    Curve {
        fit: None,
        slope,
        base,
        factor: 1.0,
        sum_over_servers: false,
        measured_at_target: None,
        origin,
        points: None,
    }
}

fn fitted_curve(fit: Fit, origin: String) -> Curve {
    let (least, most) = (format_significant(fit.smallest_size), format_significant(fit.largest_size));
    let points = format!("{} sizes from {least} to {most}, {} points", fit.size_count, fit.point_count);
    Curve {
        fit: Some(fit),
        slope: fit.slope,
        base: fit.base,
        factor: 1.0,
        sum_over_servers: false,
        measured_at_target: None,
        origin,
        points: Some(points),
    }
}

fn curve_at_one_size(value: f64, origin: String) -> Curve {
    Curve {
        fit: None,
        slope: f64::NAN,
        base: f64::NAN,
        factor: 1.0,
        sum_over_servers: false,
        measured_at_target: Some(value),
        origin,
        points: Some("at the target only".into()),
    }
}

fn finite(value: f64) -> Option<f64> {
    value.is_finite().then_some(value)
}

fn budget_crossing(curve: &Curve, target: f64, budget: Option<f64>) -> BudgetCrossing {
    let Some(budget) = budget.filter(|_| curve.slope.is_finite()) else { return BudgetCrossing::Unknown };
    if curve.at(0.0) > budget {
        return BudgetCrossing::AnySize;
    }
    let (mut within, mut exceeding) = (0.0, target * 1000.0);
    if curve.at(exceeding) <= budget {
        return BudgetCrossing::Never;
    }
    for _ in 0..100 {
        let middle = (within + exceeding) / 2.0;
        if curve.at(middle) <= budget { within = middle } else { exceeding = middle }
    }
    BudgetCrossing::At(within)
}

fn report_line(row: &Row, measurements: &Measurements) -> ReportLine {
    let curve = first_curve(row, measurements);
    let target = curve.as_ref().and_then(|curve| {
        // A point at the size itself counts where it is worse than the line.
        let on_curve = finite(curve.at(row.size));
        [on_curve, curve.measured_at_target].into_iter().flatten().reduce(f64::max)
    });
    let budget = row.budget.map(|budget| budget.limit);
    let ratio = target.zip(budget).map(|(target, budget)| target / budget);
    let state = match (row.mechanism_status, ratio, target) {
        (MechanismStatus::Absent, ..) => State::Missing,
        (_, Some(ratio), _) if ratio > 1.0 => State::Missing,
        (_, Some(_), _) => State::Fits,
        (_, None, Some(_)) => State::NoBudget,
        (_, None, None) => State::NotMeasured,
    };
    ReportLine {
        row: row.name,
        role: row.role,
        description: row.description,
        unit: row.unit,
        formula: row.formula.clone(),
        dimension: row.dimension,
        size: row.size,
        slope: curve.as_ref().and_then(|curve| finite(curve.slope)),
        base: curve.as_ref().and_then(|curve| finite(curve.base)),
        deviation: curve.as_ref().and_then(|curve| curve.fit).map(|fit| fit.deviation),
        origin: curve.as_ref().map_or(String::new(), |curve| curve.origin.clone()),
        points: curve.as_ref().and_then(|curve| curve.points.clone()),
        target,
        twice: curve.as_ref().and_then(|curve| finite(curve.at(2.0 * row.size))),
        budget,
        budget_origin: row.budget.map_or("", |budget| budget.origin),
        ratio,
        mechanism: row.mechanism,
        budget_crossing: curve
            .as_ref()
            .map_or(BudgetCrossing::Unknown, |curve| budget_crossing(curve, row.size, budget)),
        state,
        prerequisites: row.prerequisites.to_vec(),
        known: None,
    }
}

/// A sum of other rows: what is known of it, and whether that is all.
fn sum_line(row: &Row, lines: &[ReportLine]) -> ReportLine {
    let parts: Vec<&ReportLine> =
        row.sum_of.iter().filter_map(|name| lines.iter().find(|line| line.row == *name)).collect();
    let total = |figure: &dyn Fn(&ReportLine) -> Option<f64>| {
        parts.iter().filter_map(|line| figure(line)).reduce(|a, b| a + b)
    };
    let unknown: Vec<&str> = parts.iter().filter(|line| line.target.is_none()).map(|line| line.row).collect();
    let (target, budget) = (total(&|line| line.target), row.budget.map(|budget| budget.limit));
    let ratio = target.zip(budget).map(|(target, budget)| target / budget);
    let state = match ratio {
        Some(ratio) if ratio > 1.0 => State::Missing,
        Some(_) if unknown.is_empty() => State::Fits,
        _ => State::NotMeasured,
    };
    let mut line = report_line(row, &Measurements::default());
    line.origin = "the rows above".into();
    if !unknown.is_empty() {
        line.origin = format!("the rows above, without {}, which nobody measured", unknown.join(", "));
    }
    // A part of a sum says how much it is at least, and nothing of its budget.
    let ratio = ratio.filter(|_| state != State::NotMeasured);
    line.twice = parts.iter().all(|line| line.twice.is_some()).then(|| total(&|line| line.twice)).flatten();
    ReportLine { target, ratio, state, ..line }
}

/// Everything, from the rows of the model.
pub fn build_report(size: &SizeFile, measurements: &Measurements, missing_list: &MissingList) -> Report {
    build_report_from_rows(&super::rows::rows(size), measurements, missing_list)
}

/// Everything, from rows that are handed in.
pub fn build_report_from_rows(
    rows: &[Row],
    measurements: &Measurements,
    missing_list: &MissingList,
) -> Report {
    let mut lines: Vec<ReportLine> = Vec::new();
    for row in rows {
        let line = if row.sum_of.is_empty() { report_line(row, measurements) } else { sum_line(row, &lines) };
        lines.push(line);
    }
    let (mut faults, mut unknown) = (Vec::new(), Vec::new());
    for entry in &missing_list.missing {
        let Some(line) = lines.iter_mut().find(|line| line.row == entry.row) else {
            unknown.push(entry.row.clone());
            continue;
        };
        line.known = Some((entry.why.clone(), entry.roadmap.clone()));
        if line.state == State::Fits || line.state == State::NoBudget {
            faults.push(format!("{}: named as missing, and fits", entry.row));
        }
    }
    for line in lines.iter().filter(|line| line.state == State::Missing && line.known.is_none()) {
        faults.push(match (line.target, line.budget, line.ratio.filter(|ratio| *ratio > 1.0)) {
            (Some(target), Some(budget), Some(ratio)) => format!(
                "{}: {} at the target, over its budget of {}, {} times; not named as missing",
                line.row,
                super::format_with_unit(target, line.unit),
                super::format_with_unit(budget, line.unit),
                format_significant(ratio),
            ),
            _ => format!("{}: nothing carries it; not named as missing", line.row),
        });
    }
    let order = order_missing(&lines);
    Report { study: "capacity", lines, order, faults, unknown }
}

impl Report {
    /// Missing lines, worst ratio first; those without a figure of their own after them.
    pub fn missing(&self) -> Vec<&ReportLine> {
        let mut missing: Vec<&ReportLine> =
            self.lines.iter().filter(|line| line.state == State::Missing).collect();
        missing.sort_by(|a, b| compare_severity(a, b));
        missing
    }

    /// How many missing rows rest on one, directly or by others.
    pub fn dependent_count(&self, row: &str) -> usize {
        let missing = self.missing();
        missing
            .iter()
            .filter(|line| line.row != row && depends_on(&missing, line, row, &mut BTreeSet::new()))
            .count()
    }

    /// As JSON, with three digits.
    pub fn to_json(&self) -> serde_json::Value {
        let mut json = serde_json::to_value(self).unwrap_or_default();
        round_numbers(&mut json);
        json
    }
}

fn round_numbers(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Number(number) => {
            if let Some(rounded) =
                number.as_f64().map(round_significant).and_then(serde_json::Number::from_f64)
            {
                *number = rounded;
            }
        }
        serde_json::Value::Array(all) => all.iter_mut().for_each(round_numbers),
        serde_json::Value::Object(all) => all.values_mut().for_each(round_numbers),
        _ => {}
    }
}

fn compare_severity(a: &ReportLine, b: &ReportLine) -> std::cmp::Ordering {
    let ratio = |line: &ReportLine| line.ratio.unwrap_or(0.0);
    ratio(b).total_cmp(&ratio(a)).then(a.row.cmp(b.row))
}

fn depends_on(
    missing: &[&ReportLine],
    line: &ReportLine,
    prerequisite: &str,
    visited: &mut BTreeSet<&'static str>,
) -> bool {
    line.prerequisites.iter().any(|required| {
        *required == prerequisite
            || visited.insert(required)
                && missing
                    .iter()
                    .any(|other| other.row == *required && depends_on(missing, other, prerequisite, visited))
    })
}

/// Always the worst of those whose ground is laid.
fn order_missing(lines: &[ReportLine]) -> Vec<&'static str> {
    let mut remaining: BTreeMap<&'static str, &ReportLine> =
        lines.iter().filter(|line| line.state == State::Missing).map(|line| (line.row, line)).collect();
    let mut order = Vec::new();
    while !remaining.is_empty() {
        let ready =
            |line: &&&ReportLine| !line.prerequisites.iter().any(|required| remaining.contains_key(required));
        // Those on which others rest come first.
        let is_prerequisite = |candidate: &ReportLine| {
            remaining.values().any(|line| line.prerequisites.contains(&candidate.row))
        };
        let next = remaining
            .values()
            .filter(ready)
            .min_by(|a, b| is_prerequisite(b).cmp(&is_prerequisite(a)).then(compare_severity(a, b)));
        // A circle would be a fault of the rows; it is cut at its worst.
        let Some(next) =
            next.or_else(|| remaining.values().min_by(|a, b| compare_severity(a, b))).map(|line| line.row)
        else {
            break;
        };
        remaining.remove(next);
        order.push(next);
    }
    order
}
