//! The capacity model: figures of the size from a file, slopes from what was measured, and for each thing that
//! grows whether it is within its budget. `hazelspur-simulator capacity` prints it and keeps the tables of
//! docs/CAPACITY.md in step with it; CI runs the same check.
//!
//! - `size`: the figures of the size, the budgets and what is assumed, each with its reason;
//! - `measured`: points of all studies, and straight lines through them;
//! - `constants`: figures that the code itself sets, with the line that says so;
//! - `rows`: what grows, with what, by which formula, and which mechanism carries it;
//! - `report`: rows and slopes to figures, states and an order; no I/O, no clock;
//! - `page`: a report as tables, and the page between its markers;
//! - `command`: reads, prints, and picks the exit status.
//!
//! Nothing here measures, and a figure that nobody measured is said to be so.

pub mod command;
pub mod constants;
pub mod measured;
pub mod page;
pub mod report;
pub mod rows;
pub mod size;

/// Three significant digits, with commas from a thousand on.
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

/// The same as a number, for JSON.
pub fn round_significant(value: f64) -> f64 {
    if value == 0.0 || !value.is_finite() { value } else { format!("{value:.2e}").parse().unwrap_or(value) }
}

/// With its unit; bytes in kB and MB of 1000.
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
