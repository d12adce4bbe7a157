//! Computes the latency that a server adds, and reads and writes the JSON file of measured points that the
//! capacity report is made from.

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::path::Path;

/// One measured figure, identified by all fields but `unit` and `value`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Name of the figure, such as `server.memory.anon_bytes`.
    pub figure: String,
    /// Variant that was measured: a table size, or for ratios what is compared.
    pub case: String,
    /// Unit of `value`.
    pub unit: String,
    /// Name of the quantity that `size` counts, such as `tenants`.
    pub by: String,
    /// Amount of the quantity named by `by`.
    pub size: f64,
    /// Seed of the run.
    pub seed: u64,
    /// Measured value.
    pub value: f64,
}

impl Point {
    fn key(&self) -> (&str, &str, &str, u64, u64) {
        (&self.figure, &self.case, &self.by, self.size.to_bits(), self.seed)
    }
}

/// Contents of a JSON file of measured points, with their origin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Study {
    /// Name of the study.
    pub study: String,
    /// Commands that measured the points, separated by `; `.
    pub command: String,
    /// Source version that the measured program was built from.
    pub text: String,
    /// Machine that the program ran on.
    pub machine: String,
    /// Measured points.
    pub points: Vec<Point>,
}

impl Study {
    /// Returns this study with the points of `previous` that it did not measure again. A previous study of
    /// another name, source version or machine is dropped whole.
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

    /// Writes the study to the file, merged with what the file held before.
    ///
    /// # Errors
    /// Returns an error if the file or its directory cannot be created, or if the file exists and is not a
    /// study.
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
        // Each point has a line of its own, so that a diff of two runs is readable.
        let lines: Vec<String> = merged.points.iter().map(serde_json::to_string).collect::<Result<_, _>>()?;
        json += &format!("\"points\":[\n  {}\n]}}\n", lines.join(",\n  "));
        if let Some(directory) = file.parent() {
            std::fs::create_dir_all(directory).with_context(|| format!("{directory:?}"))?;
        }
        std::fs::write(file, json).with_context(|| format!("{file:?}"))
    }
}

/// Returns the latencies through a server, each less the median latency of direct requests to the same
/// worker. This removes the usual time of the worker and of the load generator, and keeps everything else.
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

/// Returns a quantile of a histogram of microseconds, in milliseconds.
pub fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}
