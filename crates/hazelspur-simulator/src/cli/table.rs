//! Tables and statistics that several subcommands print.

use comfy_table::{Table, presets};
use std::fmt;

/// Two-sided 95% quantiles of Student's t for 1 to 9 degrees of freedom.
const STUDENT_T_95: [f64; 9] = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26];
/// Quantile for more degrees of freedom than `STUDENT_T_95` has.
const STUDENT_T_95_BEYOND: f64 = 2.09;

/// Mean of some values, with the half width of its 95% confidence interval.
pub(crate) struct Interval {
    pub(crate) mean: f64,
    /// `None` for fewer than two values.
    pub(crate) half_width: Option<f64>,
}

impl fmt::Display for Interval {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:+.3}", self.mean)?;
        self.half_width.map_or(Ok(()), |half_width| write!(f, " ± {half_width:.3}"))
    }
}

/// Returns the mean of a few values with its confidence interval by Student's t.
pub(crate) fn interval(values: &[f64]) -> Interval {
    let count = values.len().max(1) as f64;
    let mean = values.iter().sum::<f64>() / count;
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0).max(1.0);
    let t = STUDENT_T_95.get(values.len().saturating_sub(2)).copied().unwrap_or(STUDENT_T_95_BEYOND);
    let half_width = (values.len() > 1).then(|| t * (variance / count).sqrt());
    Interval { mean, half_width }
}

/// Returns an empty table in Markdown with this header.
pub(crate) fn markdown_table<const COLUMNS: usize>(header: [&str; COLUMNS]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(header);
    table
}
