//! The capacity model. It extrapolates measured and computed costs to the target size of the deployment and
//! compares each with its budget. `hazelspur-simulator capacity` prints the result and generates the tables
//! of docs/CAPACITY.md; with `--check` it verifies them instead, which CI does.
//!
//! - `size`: target size, budgets and assumptions from a TOML file, each with its reason;
//! - `measured`: measured points of all studies, and straight lines fitted to them;
//! - `constants`: limits and intervals that the code sets, with the source text that sets them;
//! - `rows`: the quantities that grow with the size, each with its formula, budget and mechanism;
//! - `report`: evaluation of the rows; no I/O and no clock;
//! - `page`: the report as Markdown tables, and their replacement in the page;
//! - `command`: the subcommand, which reads the files, prints the report and returns the exit status.
//!
//! The model measures nothing itself. Each figure states its origin (measured, assumed or computed), and a
//! quantity without a measurement is reported as not measured.

pub mod command;
pub mod constants;
pub mod measured;
pub mod page;
pub mod report;
pub mod rows;
pub mod size;

/// Formats a number with three significant digits and a comma after each group of thousands; a number that is
/// not finite becomes `-`.
pub fn format_significant(value: f64) -> String {
    if value == 0.0 {
        return "0".into();
    }
    if !value.is_finite() {
        return "-".into();
    }
    let rounded = round_significant(value);
    let places = (2 - rounded.abs().log10().floor() as i32).max(0) as usize;
    let text = format!("{rounded:.places$}");
    let text = if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.') } else { &text };
    let (sign, text) = text.strip_prefix('-').map_or(("", text), |rest| ("-", rest));
    let (integer, fraction) = text.split_at(text.find('.').unwrap_or(text.len()));
    let mut with_commas = String::new();
    for (index, digit) in integer.chars().enumerate() {
        if index > 0 && (integer.len() - index).is_multiple_of(3) {
            with_commas.push(',');
        }
        with_commas.push(digit);
    }
    format!("{sign}{with_commas}{fraction}")
}

/// Rounds a number to three significant digits; 0 and numbers that are not finite stay as they are.
pub fn round_significant(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() { value } else { format!("{value:.2e}").parse().unwrap_or(value) }
}

/// Formats a number with three significant digits and its unit. Bytes, also per time, are scaled to kB, MB or
/// GB, in steps of 1000.
pub fn format_with_unit(value: f64, unit: &str) -> String {
    let Some(suffix) = unit.strip_prefix('B').filter(|rest| rest.is_empty() || rest.starts_with('/')) else {
        return format!("{} {unit}", format_significant(value)).trim_end().to_string();
    };
    let (scale, name) = match value.abs() {
        n if n >= 1e9 => (1e9, "GB"),
        n if n >= 1e6 => (1e6, "MB"),
        n if n >= 1e3 => (1e3, "kB"),
        _ => (1.0, "B"),
    };
    format!("{} {name}{suffix}", format_significant(value / scale))
}
