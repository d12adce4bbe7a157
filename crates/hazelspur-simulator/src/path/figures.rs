//! What was added beside the runtime's own time, and the file of measured points that `docs/capacity` keeps.

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One measured figure: `value` in `unit`, at `size` of what `by` counts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    pub figure: String,
    pub case: String,
    pub unit: String,
    pub by: String,
    pub size: f64,
    pub seed: u64,
    pub value: f64,
}

impl Point {
    fn key(&self) -> (&str, &str, &str, u64, u64) {
        (&self.figure, &self.case, &self.by, self.size.to_bits(), self.seed)
    }
}

/// A file of points, and what made them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Study {
    pub study: String,
    pub command: String,
    pub text: String,
    pub machine: String,
    pub points: Vec<Point>,
}

impl Study {
    /// Takes the place of those points that this one measured too; a file of another text or machine is
    /// replaced whole.
    pub fn merged_with(mut self, previous: Option<Self>) -> Self {
        let same_origin =
            |old: &Self| old.study == self.study && old.text == self.text && old.machine == self.machine;
        let Some(old) = previous.filter(same_origin) else { return self };
        let measured = |point: &Point| self.points.iter().any(|new| new.key() == point.key());
        let mut points: Vec<Point> = old.points.into_iter().filter(|point| !measured(point)).collect();
        points.append(&mut self.points);
        let known_command = old.command.split("; ").any(|command| command == self.command);
        self.command = if known_command { old.command } else { format!("{}; {}", old.command, self.command) };
        Self { points, ..self }
    }

    /// Writes the file, with those points of it that were not measured again.
    ///
    /// # Errors
    /// Where the file or its directory can't be made, or is there and not of this form.
    pub fn save(self, file: &Path) -> anyhow::Result<()> {
        let previous = if file.exists() {
            let text = std::fs::read(file).with_context(|| format!("{file:?}"))?;
            Some(serde_json::from_slice(&text).with_context(|| format!("{file:?}"))?)
        } else {
            None
        };
        let merged = self.merged_with(previous);
        let mut json = String::from("{");
        for (key, text) in [
            ("study", &merged.study),
            ("command", &merged.command),
            ("text", &merged.text),
            ("machine", &merged.machine),
        ] {
            json += &format!("\"{key}\":{},\n ", serde_json::to_string(text)?);
        }
        // A point a line, so that differences between two runs can be read.
        let lines: Vec<String> = merged.points.iter().map(serde_json::to_string).collect::<Result<_, _>>()?;
        json += &format!("\"points\":[\n  {}\n]}}\n", lines.join(",\n  "));
        if let Some(directory) = file.parent() {
            std::fs::create_dir_all(directory).with_context(|| format!("{directory:?}"))?;
        }
        std::fs::write(file, json).with_context(|| format!("{file:?}"))
    }
}

/// Each latency less the middle one of requests that went straight to the same runtime, so that what the runtime
/// and this tool take at all times is taken out, and whatever is beside that stays in.
pub fn added_latency(through_server_us: &Histogram<u64>, direct_us: &Histogram<u64>) -> Histogram<u64> {
    let direct_median = direct_us.value_at_quantile(0.5);
    let mut added = super::load::latency_histogram();
    for step in through_server_us.iter_recorded() {
        added.saturating_record_n(
            step.value_iterated_to().saturating_sub(direct_median),
            step.count_at_value(),
        );
    }
    added
}

/// A quantile of a histogram of microseconds, in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
