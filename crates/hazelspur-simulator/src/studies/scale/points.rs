//! Measured figures as points, their file, and their table. The capacity command reads the file.

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// Why a study's file cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StudyError {
    /// The file system refused.
    #[error("{file}: {source}", file = file.display())]
    Io {
        /// The study's file, or its folder.
        file: PathBuf,
        /// What the file system said.
        source: std::io::Error,
    },
    /// The file is no study.
    #[error("{file}: {source}", file = file.display())]
    Syntax {
        /// The study's file.
        file: PathBuf,
        /// What is wrong in it.
        source: serde_json::Error,
    },
    /// The file has the points of another study.
    #[error("{file}: is of the study {study}", file = file.display())]
    OtherStudy {
        /// The study's file.
        file: PathBuf,
        /// The study that it has.
        study: String,
    },
    /// The study cannot be encoded.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
}

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
    /// A point whose size counts servers.
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
    #[serde(rename = "text")]
    pub revision: String,
    pub machine: String,
    pub points: Vec<Point>,
}

impl Study {
    /// What was written before stays, but for points that were measured anew; commands and revisions are
    /// listed one after the other. Errors name the file.
    pub fn append_to(mut self, file: &Path) -> Result<Self, StudyError> {
        let Some(old) = Self::read(file)? else { return Ok(self) };
        if old.study != self.study {
            return Err(StudyError::OtherStudy { file: file.into(), study: old.study });
        }
        let joined = |old: String, new: String| {
            if old.split("; ").any(|part| part == new) { old } else { format!("{old}; {new}") }
        };
        self.command = joined(old.command, self.command);
        self.revision = joined(old.revision, self.revision);
        self.machine = joined(old.machine, self.machine);
        let new: std::collections::BTreeSet<_> = self.points.iter().map(Point::key).collect();
        let mut kept: Vec<Point> =
            old.points.into_iter().filter(|point| !new.contains(&point.key())).collect();
        kept.append(&mut self.points);
        self.points = kept;
        Ok(self)
    }

    /// `None` where there is no such file.
    pub fn read(file: &Path) -> Result<Option<Self>, StudyError> {
        match std::fs::read_to_string(file) {
            Ok(text) => serde_json::from_str(&text)
                .map(Some)
                .map_err(|source| StudyError::Syntax { file: file.into(), source }),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(source) => Err(StudyError::Io { file: file.into(), source }),
        }
    }

    /// One point a line, sorted, so that two files are easily compared.
    pub fn write(&mut self, file: &Path) -> Result<(), StudyError> {
        self.points.sort_by(|a, b| a.key().cmp(&b.key()));
        let quoted = |text: &str| serde_json::to_string(text);
        let points: Result<Vec<String>, _> = self.points.iter().map(serde_json::to_string).collect();
        let points = points?.join(",\n  ");
        let text = format!(
            "{{\"study\":{},\n \"command\":{},\n \"text\":{},\n \"machine\":{},\n \"points\":[\n  {points}\n]}}\n",
            quoted(&self.study)?,
            quoted(&self.command)?,
            quoted(&self.revision)?,
            quoted(&self.machine)?,
        );
        if let Some(folder) = file.parent() {
            std::fs::create_dir_all(folder)
                .map_err(|source| StudyError::Io { file: folder.into(), source })?;
        }
        std::fs::write(file, text).map_err(|source| StudyError::Io { file: file.into(), source })
    }
}

/// One line of the table: a figure of a case by size, least, mean and most over the seeds.
#[derive(Clone, Debug, PartialEq)]
pub struct SummaryLine {
    pub figure: String,
    pub case: String,
    pub unit: String,
    pub cells: Vec<Option<(f64, f64, f64)>>,
}

/// In the order in which figures first appear.
pub fn summarize(points: &[Point], sizes: &[usize]) -> Vec<SummaryLine> {
    let mut lines: Vec<SummaryLine> = Vec::new();
    for point in points {
        if lines.iter().any(|line| line.figure == point.figure && line.case == point.case) {
            continue;
        }
        let cell = |size: &usize| {
            let same = |other: &&Point| (&other.figure, &other.case) == (&point.figure, &point.case);
            let values: Vec<f64> =
                points.iter().filter(same).filter(|p| p.size == *size).map(|p| p.value).collect();
            let min = values.iter().copied().fold(f64::INFINITY, f64::min);
            let max = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            (!values.is_empty()).then(|| (min, values.iter().sum::<f64>() / values.len() as f64, max))
        };
        let cells = sizes.iter().map(cell).collect();
        let (figure, case, unit) = (point.figure.clone(), point.case.clone(), point.unit.clone());
        lines.push(SummaryLine { figure, case, unit, cells });
    }
    lines
}
