//! Evaluates the rows of the model. For each row it computes the value at the target size and at twice that
//! size, the size at which the budget is exceeded, and the row's state; it orders the missing rows so that
//! each follows its prerequisites. The report depends on the size file, the measurements and the missing list
//! alone.

use super::measured::{Fit, Measurements};
use super::rows::{MechanismStatus, Role, Row, Source};
use super::size::SizeFile;
use super::{format_significant, round_significant};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Contents of missing.toml: rows that are known to exceed their budget or to have no mechanism.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingList {
    #[serde(default)]
    pub missing: Vec<MissingEntry>,
}

/// Entry for one row that is known to be missing.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MissingEntry {
    /// Name of the row.
    pub row: String,
    /// Reason why the row is missing.
    pub why: String,
    /// Entry of docs/ROADMAP.md that covers it.
    pub roadmap: String,
}

/// Error in missing.toml, with the parser's message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct MissingListError(String);

impl MissingList {
    /// Parses missing.toml.
    ///
    /// # Errors
    /// Fails if the text is not valid TOML or has an unknown key or lacks one; the error names the key.
    pub fn parse(text: &str) -> Result<Self, MissingListError> {
        toml::from_str(text).map_err(|error| MissingListError(error.message().to_string()))
    }
}

/// State of a row relative to its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Within its budget.
    Fits,
    /// Over its budget, or without a mechanism that carries it.
    Missing,
    /// Without a measured or computed value, or the sum of rows of which at least one has none.
    NotMeasured,
    /// Without a budget of its own, and shown for its value.
    #[serde(rename = "stated")]
    NoBudget,
}

impl State {
    /// Returns the name of the state in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fits => "fits",
            Self::Missing => "missing",
            Self::NotMeasured => "not measured",
            Self::NoBudget => "no budget",
        }
    }
}

/// A row of the model with its evaluated figures; a figure that is unknown is absent.
#[derive(Clone, Debug, Serialize)]
pub struct ReportLine {
    /// Name of the row.
    pub row: &'static str,
    #[serde(skip)]
    pub role: Role,
    #[serde(rename = "what")]
    pub description: &'static str,
    pub unit: &'static str,
    pub formula: String,
    /// Quantity that `size` counts.
    #[serde(rename = "by")]
    pub dimension: &'static str,
    /// Target size.
    pub size: f64,
    /// Increase of the value per unit of the dimension, before scaling and summing over servers.
    pub slope: Option<f64>,
    /// Value at size 0, before scaling and summing over servers.
    pub base: Option<f64>,
    /// Largest distance of a measured point from the line, as a fraction of the largest value.
    pub deviation: Option<f64>,
    /// Command that measured the value, or the source it is computed from; empty if neither exists.
    #[serde(rename = "from")]
    pub origin: String,
    /// Number and range of the sizes, and number of points, behind a measured value.
    pub points: Option<String>,
    /// Value at the target size; a lower bound if the row is a sum with parts that were not measured.
    pub target: Option<f64>,
    /// Value at twice the target size.
    pub twice: Option<f64>,
    /// Largest value allowed at the target size.
    pub budget: Option<f64>,
    /// Source of the budget; empty without a budget.
    #[serde(rename = "budget_from")]
    pub budget_origin: &'static str,
    /// Value at the target size divided by the budget.
    pub ratio: Option<f64>,
    /// File and item of the mechanism that carries the load, or an explanation why there is none.
    pub mechanism: &'static str,
    #[serde(rename = "stops_at")]
    pub budget_crossing: BudgetCrossing,
    pub state: State,
    /// Rows that must fit before this one can.
    #[serde(rename = "rests_on")]
    pub prerequisites: Vec<&'static str>,
    /// Reason and roadmap entry of the row's entry in missing.toml.
    pub known: Option<(String, String)>,
}

/// Size at which a row exceeds its budget.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BudgetCrossing {
    /// Size in units of the row's dimension.
    At(f64),
    /// Within its budget at 1,000 times the target size.
    Never,
    /// Over its budget already at size 0.
    AnySize,
    /// No budget, or no value at other sizes.
    Unknown,
}

/// Evaluation of all rows.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Constant `capacity`, by which this JSON file is told from those of the studies.
    pub study: &'static str,
    /// Rows in the order of the model.
    pub lines: Vec<ReportLine>,
    /// Names of the missing rows, each after its prerequisites; among those that are ready, prerequisites of
    /// others come first, then higher ratios.
    pub order: Vec<&'static str>,
    /// Differences between the states and missing.toml, one message each; any of them makes the command fail.
    pub faults: Vec<String>,
    /// Names in missing.toml that belong to no row.
    pub unknown: Vec<String>,
}

/// Value of a row as a function of the size.
struct Curve {
    fit: Option<Fit>,
    slope: f64,
    base: f64,
    factor: f64,
    /// Whether the value of one server is summed over all servers, that is, multiplied by the size.
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

/// Returns the curve of the row's first source that has a value.
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
                // Points of one size give no slope, so the curve has a value at the target only.
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
        // A point measured at the target size takes precedence over the fitted line if it is larger.
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

/// Evaluates a row that sums other rows. If some parts have no value, the sum of the others is a lower bound.
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
    // A lower bound within the budget does not show that the sum fits, so it has no ratio.
    let ratio = ratio.filter(|_| state != State::NotMeasured);
    line.twice = parts.iter().all(|line| line.twice.is_some()).then(|| total(&|line| line.twice)).flatten();
    ReportLine { target, ratio, state, ..line }
}

/// Evaluates the rows of the model.
pub fn build_report(size: &SizeFile, measurements: &Measurements, missing_list: &MissingList) -> Report {
    build_report_from_rows(&super::rows::rows(size), measurements, missing_list)
}

/// Evaluates the given rows; a row that sums others must come after them.
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
    /// Returns the missing rows by falling ratio; those without a ratio come last.
    pub fn missing(&self) -> Vec<&ReportLine> {
        let mut missing: Vec<&ReportLine> =
            self.lines.iter().filter(|line| line.state == State::Missing).collect();
        missing.sort_by(|a, b| compare_severity(a, b));
        missing
    }

    /// Returns the number of missing rows that have the given one as a direct or indirect prerequisite.
    pub fn dependent_count(&self, row: &str) -> usize {
        let missing = self.missing();
        missing
            .iter()
            .filter(|line| line.row != row && depends_on(&missing, line, row, &mut BTreeSet::new()))
            .count()
    }

    /// Returns the report as JSON, with numbers rounded to three significant digits.
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

/// Returns whether a missing row has the given prerequisite, directly or through other missing rows.
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

/// Orders the missing rows: repeatedly takes, among those without an unordered prerequisite, first the ones
/// that are prerequisites themselves, then the one with the highest ratio.
fn order_missing(lines: &[ReportLine]) -> Vec<&'static str> {
    let mut remaining: BTreeMap<&'static str, &ReportLine> =
        lines.iter().filter(|line| line.state == State::Missing).map(|line| (line.row, line)).collect();
    let mut order = Vec::new();
    while !remaining.is_empty() {
        let ready =
            |line: &&&ReportLine| !line.prerequisites.iter().any(|required| remaining.contains_key(required));
        let is_prerequisite = |candidate: &ReportLine| {
            remaining.values().any(|line| line.prerequisites.contains(&candidate.row))
        };
        let next = remaining
            .values()
            .filter(ready)
            .min_by(|a, b| is_prerequisite(b).cmp(&is_prerequisite(a)).then(compare_severity(a, b)));
        // Rows that are each other's prerequisites are a fault of the model; the worst of them is taken.
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
