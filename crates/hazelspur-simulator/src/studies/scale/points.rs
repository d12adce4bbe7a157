//! Measured figures as points, the JSON file that holds them, and their summary for the printed table. The
//! subcommand `capacity` reads the file.

use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// Error of reading or writing a study's file.
#[derive(Debug, thiserror::Error)]
pub enum StudyError {
    /// Failure of the file system.
    #[error("{file}: {source}", file = file.display())]
    Io {
        /// Path of the study's file, or of its folder.
        file: PathBuf,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// File that is not a study in JSON.
    #[error("{file} is not a study: {source}", file = file.display())]
    Syntax {
        /// The study's file.
        file: PathBuf,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// File that holds the points of another study, so that none can be appended.
    #[error(
        "{file} holds the study {study}, and points of another study cannot be appended",
        file = file.display()
    )]
    OtherStudy {
        /// The study's file.
        file: PathBuf,
        /// Name of the study in the file.
        study: String,
    },
    /// Failure to encode the study in JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
}

/// Value of one figure in one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Name of the figure, with the part that was measured before a dot, such as `members.agree_s`.
    pub figure: String,
    /// Situation in which the figure was measured, such as `zone lost`.
    pub case: String,
    /// Unit of the value.
    pub unit: String,
    /// Dimension that `size` counts, such as `servers`.
    pub by: String,
    /// Size of the run in that dimension.
    pub size: usize,
    /// Seed of the run.
    pub seed: u64,
    /// Measured value in `unit`.
    pub value: f64,
}

impl Point {
    /// Creates a point whose size counts servers.
    pub fn of_servers(figure: &str, case: &str, unit: &str, size: usize, seed: u64, value: f64) -> Self {
        let (figure, case, unit) = (figure.into(), case.into(), unit.into());
        Self { figure, case, unit, by: "servers".into(), size, seed, value }
    }

    fn key(&self) -> (&str, &str, &str, usize, u64) {
        (&self.figure, &self.case, &self.by, self.size, self.seed)
    }
}

/// Content of a study's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Study {
    /// Name of the study.
    pub study: String,
    /// Command line that measured the points.
    pub command: String,
    /// Revision of the source that was run.
    #[serde(rename = "text")]
    pub revision: String,
    /// Machine on which the study ran.
    pub machine: String,
    /// All measured points.
    pub points: Vec<Point>,
}

impl Study {
    /// Returns this study with the points of the file added, except those that this study measured again.
    /// Commands, revisions and machines of both are joined by semicolons. Without a file the study stays as
    /// it is.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is not a study, or holds another study.
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

    /// Reads a study's file; returns `None` if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is not a study.
    pub fn read(file: &Path) -> Result<Option<Self>, StudyError> {
        match std::fs::read_to_string(file) {
            Ok(text) => serde_json::from_str(&text)
                .map(Some)
                .map_err(|source| StudyError::Syntax { file: file.into(), source }),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(None),
            Err(source) => Err(StudyError::Io { file: file.into(), source }),
        }
    }

    /// Writes the study's file, and its folder if that is missing. Points are sorted and take one line each,
    /// so that a diff of two files shows which points changed.
    ///
    /// # Errors
    /// Returns an error if the study cannot be encoded, or the file or folder cannot be written.
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

/// One line of the printed table: one figure in one case.
#[derive(Clone, Debug, PartialEq)]
pub struct SummaryLine {
    /// Name of the figure.
    pub figure: String,
    /// Situation in which the figure was measured.
    pub case: String,
    /// Unit of the values.
    pub unit: String,
    /// Minimum, mean and maximum over the seeds for each size; `None` where the figure was not measured.
    pub cells: Vec<Option<(f64, f64, f64)>>,
}

/// Returns a line for each figure and case, in the order in which they first appear among the points.
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
