//! Measured figures as points, their file, and their table. The capacity command reads the file.

use serde::{Deserialize, Serialize};
use std::path::Path;

/// One figure of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Dotted.
    pub figure: String,
    /// The situation.
    pub case: String,
    pub unit: String,
    /// What `size` counts.
    pub by: String,
    pub size: usize,
    pub seed: u64,
    pub value: f64,
}

impl Point {
    pub fn of_servers(figure: &str, case: &str, unit: &str, size: usize, seed: u64, value: f64) -> Self {
        let (figure, case, unit) = (figure.into(), case.into(), unit.into());
        Self { figure, case, unit, by: "servers".into(), size, seed, value }
    }

    fn key(&self) -> (&str, &str, &str, usize, u64) {
        (&self.figure, &self.case, &self.by, self.size, self.seed)
    }
}

/// One file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Study {
    pub study: String,
    pub command: String,
    /// The revision of the text that was run.
    pub text: String,
    pub machine: String,
    pub points: Vec<Point>,
}

impl Study {
    /// What was written before stays, but for points that were measured anew; commands and revisions are
    /// listed one after the other. Errors name the file.
    pub fn append_to(mut self, file: &Path) -> Result<Self, String> {
        let Some(old) = Self::read(file)? else { return Ok(self) };
        if old.study != self.study {
            return Err(format!("{}: is of the study {}", file.display(), old.study));
        }
        let joined = |old: String, new: String| {
            if old.split("; ").any(|one| one == new) { old } else { format!("{old}; {new}") }
        };
        self.command = joined(old.command, self.command);
        self.text = joined(old.text, self.text);
        self.machine = joined(old.machine, self.machine);
        let new: std::collections::BTreeSet<_> = self.points.iter().map(Point::key).collect();
        let mut kept: Vec<Point> =
            old.points.into_iter().filter(|point| !new.contains(&point.key())).collect();
        kept.append(&mut self.points);
        self.points = kept;
        Ok(self)
    }

    /// `None` where there is no such file.
    pub fn read(file: &Path) -> Result<Option<Self>, String> {
        let name = file.display();
        match std::fs::read_to_string(file) {
            Ok(text) => serde_json::from_str(&text).map(Some).map_err(|why| format!("{name}: {why}")),
            Err(why) if why.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(why) => Err(format!("{name}: {why}")),
        }
    }

    /// One point a line, sorted, so that two files are easily compared.
    pub fn write(&mut self, file: &Path) -> Result<(), String> {
        self.points.sort_by(|a, b| a.key().cmp(&b.key()));
        let said = |text: &str| serde_json::to_string(text).map_err(|why| why.to_string());
        let points: Result<Vec<String>, _> = self.points.iter().map(serde_json::to_string).collect();
        let points = points.map_err(|why| why.to_string())?.join(",\n  ");
        let text = format!(
            "{{\"study\":{},\n \"command\":{},\n \"text\":{},\n \"machine\":{},\n \"points\":[\n  {points}\n]}}\n",
            said(&self.study)?,
            said(&self.command)?,
            said(&self.text)?,
            said(&self.machine)?,
        );
        if let Some(folder) = file.parent() {
            std::fs::create_dir_all(folder).map_err(|why| format!("{}: {why}", folder.display()))?;
        }
        std::fs::write(file, text).map_err(|why| format!("{}: {why}", file.display()))
    }
}

/// One line of the table: a figure of a case by size, least, mean and most over the seeds.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub figure: String,
    pub case: String,
    pub unit: String,
    pub cells: Vec<Option<(f64, f64, f64)>>,
}

/// In the order in which figures first appear.
pub fn lines(points: &[Point], sizes: &[usize]) -> Vec<Line> {
    let mut lines: Vec<Line> = Vec::new();
    for point in points {
        if lines.iter().any(|line| line.figure == point.figure && line.case == point.case) {
            continue;
        }
        let cell = |size: &usize| {
            let same = |other: &&Point| (&other.figure, &other.case) == (&point.figure, &point.case);
            let of: Vec<f64> =
                points.iter().filter(same).filter(|p| p.size == *size).map(|p| p.value).collect();
            let least = of.iter().copied().fold(f64::INFINITY, f64::min);
            let most = of.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            (!of.is_empty()).then(|| (least, of.iter().sum::<f64>() / of.len() as f64, most))
        };
        let cells = sizes.iter().map(cell).collect();
        let (figure, case, unit) = (point.figure.clone(), point.case.clone(), point.unit.clone());
        lines.push(Line { figure, case, unit, cells });
    }
    lines
}
