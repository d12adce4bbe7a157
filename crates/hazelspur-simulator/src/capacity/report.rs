//! Rows and slopes to figures at the target and at twice it, states, and the order in which what is missing
//! rests on each other. Pure: the same size, points and list give the same report.

use super::measured::{Fit, Measured};
use super::rows::{Found, Role, Row, Source};
use super::size::Size;
use super::{digits, rounded};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The list of rows that are known to be over their budget.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Known {
    #[serde(default)]
    pub missing: Vec<KnownMissing>,
}

/// A row that is known to be over its budget.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KnownMissing {
    /// The row's name.
    pub row: String,
    pub why: String,
    /// The entry of docs/ROADMAP.md.
    pub roadmap: String,
}

/// Why a list of known rows is refused; names the key at fault.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct KnownError(String);

impl Known {
    /// Errors name the key at fault.
    pub fn read(text: &str) -> Result<Self, KnownError> {
        toml::from_str(text).map_err(|error| KnownError(error.message().to_string()))
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
    Stated,
}

impl State {
    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fits => "fits",
            Self::Missing => "missing",
            Self::NotMeasured => "not measured",
            Self::Stated => "no budget",
        }
    }
}

/// A row with its figures; none where a figure could not be had.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    pub row: &'static str,
    #[serde(skip)]
    pub role: Role,
    pub what: &'static str,
    pub unit: &'static str,
    pub formula: String,
    /// The dimension that slope and size count.
    pub by: &'static str,
    pub size: f64,
    pub slope: Option<f64>,
    pub base: Option<f64>,
    /// Largest distance of a measured point from the line, of the greatest value.
    pub deviation: Option<f64>,
    /// The command that measured it, or the line of code it is computed from.
    pub from: String,
    /// Sizes and points behind a measured slope.
    pub points: Option<String>,
    pub target: Option<f64>,
    pub twice: Option<f64>,
    pub budget: Option<f64>,
    pub budget_from: &'static str,
    pub ratio: Option<f64>,
    pub mechanism: &'static str,
    pub stops_at: Stops,
    pub state: State,
    pub rests_on: Vec<&'static str>,
    /// Why it is known to be missing, and its place on the roadmap.
    pub known: Option<(String, String)>,
}

/// From which size on the budget is passed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Stops {
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
    pub lines: Vec<Line>,
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
    times: f64,
    /// Whether it grows with the size once more: a sum over all servers of what each sees.
    over_all: bool,
    seen: Option<f64>,
    from: String,
    points: Option<String>,
}

impl Curve {
    fn at(&self, size: f64) -> f64 {
        let one = (self.slope * size + self.base) * self.times;
        if self.over_all { one * size } else { one }
    }
}

/// The curve of the first source that has figures.
fn curve(row: &Row, measured: &Measured) -> Option<Curve> {
    row.sources.iter().find_map(|source| match source {
        Source::Computed { from, slope, base } => Some(computed_curve(from, *slope, *base)),
        Source::Measured { figures, cases, seeds, times, over_all } => {
            let series = measured.find(figures, cases, row.by)?;
            let scaled = if *over_all { times * row.size } else { *times };
            let seen = series.seen_at(row.size, *seeds).map(|seen| seen * scaled);
            let from = series.command.clone();
            match series.fit(*seeds) {
                Some(fit) => {
                    Some(Curve { times: *times, over_all: *over_all, seen, ..fitted_curve(fit, from) })
                }
                // One size tells nothing of another.
                None => seen.map(|seen| curve_at_one_size(seen, from)),
            }
        }
    })
}

fn computed_curve(from: &str, slope: f64, base: f64) -> Curve {
    let from = format!("computed from {from}");
    Curve { fit: None, slope, base, times: 1.0, over_all: false, seen: None, from, points: None }
}

fn fitted_curve(fit: Fit, from: String) -> Curve {
    let (least, most) = (digits(fit.least), digits(fit.most));
    let points = format!("{} sizes from {least} to {most}, {} points", fit.sizes, fit.points);
    Curve {
        fit: Some(fit),
        slope: fit.slope,
        base: fit.base,
        times: 1.0,
        over_all: false,
        seen: None,
        from,
        points: Some(points),
    }
}

fn curve_at_one_size(seen: f64, from: String) -> Curve {
    Curve {
        fit: None,
        slope: f64::NAN,
        base: f64::NAN,
        times: 1.0,
        over_all: false,
        seen: Some(seen),
        from,
        points: Some("at the target only".into()),
    }
}

fn finite(value: f64) -> Option<f64> {
    value.is_finite().then_some(value)
}

fn stops(curve: &Curve, target: f64, budget: Option<f64>) -> Stops {
    let Some(budget) = budget.filter(|_| curve.slope.is_finite()) else { return Stops::Unknown };
    if curve.at(0.0) > budget {
        return Stops::AnySize;
    }
    let (mut fits, mut passes) = (0.0, target * 1000.0);
    if curve.at(passes) <= budget {
        return Stops::Never;
    }
    for _ in 0..100 {
        let middle = (fits + passes) / 2.0;
        if curve.at(middle) <= budget { fits = middle } else { passes = middle }
    }
    Stops::At(fits)
}

fn line(row: &Row, measured: &Measured) -> Line {
    let curve = curve(row, measured);
    let target = curve.as_ref().and_then(|curve| {
        // A point at the size itself counts where it is worse than the line.
        let of_line = finite(curve.at(row.size));
        [of_line, curve.seen].into_iter().flatten().reduce(f64::max)
    });
    let budget = row.budget.map(|budget| budget.limit);
    let ratio = target.zip(budget).map(|(target, budget)| target / budget);
    let state = match (row.found, ratio, target) {
        (Found::Nothing, ..) => State::Missing,
        (_, Some(ratio), _) if ratio > 1.0 => State::Missing,
        (_, Some(_), _) => State::Fits,
        (_, None, Some(_)) => State::Stated,
        (_, None, None) => State::NotMeasured,
    };
    Line {
        row: row.name,
        role: row.role,
        what: row.what,
        unit: row.unit,
        formula: row.formula.clone(),
        by: row.by,
        size: row.size,
        slope: curve.as_ref().and_then(|c| finite(c.slope)),
        base: curve.as_ref().and_then(|c| finite(c.base)),
        deviation: curve.as_ref().and_then(|c| c.fit).map(|fit| fit.deviation),
        from: curve.as_ref().map_or(String::new(), |c| c.from.clone()),
        points: curve.as_ref().and_then(|c| c.points.clone()),
        target,
        twice: curve.as_ref().and_then(|c| finite(c.at(2.0 * row.size))),
        budget,
        budget_from: row.budget.map_or("", |budget| budget.from),
        ratio,
        mechanism: row.mechanism,
        stops_at: curve.as_ref().map_or(Stops::Unknown, |c| stops(c, row.size, budget)),
        state,
        rests_on: row.rests_on.to_vec(),
        known: None,
    }
}

/// A sum of other rows: what is known of it, and whether that is all.
fn sum(row: &Row, lines: &[Line]) -> Line {
    let parts: Vec<&Line> =
        row.sum_of.iter().filter_map(|name| lines.iter().find(|line| line.row == *name)).collect();
    let add =
        |of: &dyn Fn(&Line) -> Option<f64>| parts.iter().filter_map(|line| of(line)).reduce(|a, b| a + b);
    let unknown: Vec<&str> = parts.iter().filter(|line| line.target.is_none()).map(|line| line.row).collect();
    let (target, budget) = (add(&|line| line.target), row.budget.map(|budget| budget.limit));
    let ratio = target.zip(budget).map(|(target, budget)| target / budget);
    let state = match ratio {
        Some(ratio) if ratio > 1.0 => State::Missing,
        Some(_) if unknown.is_empty() => State::Fits,
        _ => State::NotMeasured,
    };
    let mut line = line(row, &Measured::default());
    line.from = "the rows above".into();
    if !unknown.is_empty() {
        line.from = format!("the rows above, without {}, which nobody measured", unknown.join(", "));
    }
    // A part of a sum says how much it is at least, and nothing of its budget.
    let ratio = ratio.filter(|_| state != State::NotMeasured);
    line.twice = parts.iter().all(|line| line.twice.is_some()).then(|| add(&|line| line.twice)).flatten();
    Line { target, ratio, state, ..line }
}

/// Everything, from the rows of the model.
pub fn report(size: &Size, measured: &Measured, known: &Known) -> Report {
    report_of(&super::rows::rows(size), measured, known)
}

/// Everything, from rows that are handed in.
pub fn report_of(rows: &[Row], measured: &Measured, known: &Known) -> Report {
    let mut lines: Vec<Line> = Vec::new();
    for row in rows {
        let line = if row.sum_of.is_empty() { line(row, measured) } else { sum(row, &lines) };
        lines.push(line);
    }
    let (mut faults, mut unknown) = (Vec::new(), Vec::new());
    for named in &known.missing {
        let Some(line) = lines.iter_mut().find(|line| line.row == named.row) else {
            unknown.push(named.row.clone());
            continue;
        };
        line.known = Some((named.why.clone(), named.roadmap.clone()));
        if line.state == State::Fits || line.state == State::Stated {
            faults.push(format!("{}: named as missing, and fits", named.row));
        }
    }
    for line in lines.iter().filter(|line| line.state == State::Missing && line.known.is_none()) {
        faults.push(match (line.target, line.budget, line.ratio.filter(|ratio| *ratio > 1.0)) {
            (Some(target), Some(budget), Some(ratio)) => format!(
                "{}: {} at the target, over its budget of {}, {} times; not named as missing",
                line.row,
                super::with_unit(target, line.unit),
                super::with_unit(budget, line.unit),
                digits(ratio),
            ),
            _ => format!("{}: nothing carries it; not named as missing", line.row),
        });
    }
    let order = order(&lines);
    Report { study: "capacity", lines, order, faults, unknown }
}

impl Report {
    /// Missing lines, worst ratio first; those without a figure of their own after them.
    pub fn missing(&self) -> Vec<&Line> {
        let mut missing: Vec<&Line> = self.lines.iter().filter(|l| l.state == State::Missing).collect();
        missing.sort_by(|a, b| worse(a, b));
        missing
    }

    /// How many missing rows rest on one, directly or by others.
    pub fn carries(&self, row: &str) -> usize {
        let missing = self.missing();
        missing
            .iter()
            .filter(|line| line.row != row && rests(&missing, line, row, &mut BTreeSet::new()))
            .count()
    }

    /// As JSON, with three digits.
    pub fn json(&self) -> serde_json::Value {
        let mut all = serde_json::to_value(self).unwrap_or_default();
        shorten(&mut all);
        all
    }
}

fn shorten(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Number(number) => {
            if let Some(short) = number.as_f64().map(rounded).and_then(serde_json::Number::from_f64) {
                *number = short;
            }
        }
        serde_json::Value::Array(all) => all.iter_mut().for_each(shorten),
        serde_json::Value::Object(all) => all.values_mut().for_each(shorten),
        _ => {}
    }
}

fn worse(a: &Line, b: &Line) -> std::cmp::Ordering {
    let of = |line: &Line| line.ratio.unwrap_or(0.0);
    of(b).total_cmp(&of(a)).then(a.row.cmp(b.row))
}

fn rests(missing: &[&Line], line: &Line, on: &str, looked: &mut BTreeSet<&'static str>) -> bool {
    line.rests_on.iter().any(|under| {
        *under == on
            || looked.insert(under)
                && missing.iter().any(|other| other.row == *under && rests(missing, other, on, looked))
    })
}

/// Always the worst of those whose ground is laid.
fn order(lines: &[Line]) -> Vec<&'static str> {
    let mut left: BTreeMap<&'static str, &Line> =
        lines.iter().filter(|line| line.state == State::Missing).map(|line| (line.row, line)).collect();
    let mut order = Vec::new();
    while !left.is_empty() {
        let ready = |line: &&&Line| !line.rests_on.iter().any(|under| left.contains_key(under));
        // Those on which others rest come first.
        let carries = |of: &Line| left.values().any(|line| line.rests_on.contains(&of.row));
        let next = left.values().filter(ready).min_by(|a, b| carries(b).cmp(&carries(a)).then(worse(a, b)));
        // A circle would be a fault of the rows; it is cut at its worst.
        let Some(next) = next.or_else(|| left.values().min_by(|a, b| worse(a, b))).map(|line| line.row)
        else {
            break;
        };
        left.remove(next);
        order.push(next);
    }
    order
}
