//! What was measured: points of all studies, and a straight line through those of one figure in one case.

use serde::Deserialize;
use std::collections::BTreeMap;

/// One study's file.
#[derive(Clone, Debug, Deserialize)]
pub struct Study {
    pub study: String,
    /// How it is made again.
    #[serde(default)]
    pub command: String,
    /// The commit it was made on.
    #[serde(default, rename = "text")]
    pub commit: String,
    #[serde(default)]
    pub machine: String,
    #[serde(default)]
    pub points: Vec<Point>,
}

/// One measured figure.
#[derive(Clone, Debug, Deserialize)]
pub struct Point {
    pub figure: String,
    /// In which situation.
    #[serde(default)]
    pub case: String,
    #[serde(default)]
    pub unit: String,
    /// What `size` counts.
    #[serde(rename = "by")]
    pub dimension: String,
    pub size: f64,
    #[serde(default)]
    pub seed: Option<u64>,
    /// None where it could not be had.
    pub value: Option<f64>,
}

/// A study's figure in a case, by a dimension. Two studies may have one name for theirs: virtual time and real
/// processes are never one line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeriesKey {
    pub study: String,
    pub figure: String,
    pub case: String,
    pub dimension: String,
}

/// All points of one figure, case and dimension.
#[derive(Clone, Debug, Default)]
pub struct Series {
    pub unit: String,
    pub command: String,
    /// Size and value, as they came.
    pub points: Vec<(f64, f64)>,
}

/// Which of several seeds at a size counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seeds {
    /// All, so that the line goes through their middle.
    All,
    /// The greatest of each size.
    Worst,
}

/// `slope * size + base` by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub slope: f64,
    pub base: f64,
    /// The largest distance of a point from the line, of the greatest value.
    pub deviation: f64,
    pub smallest_size: f64,
    pub largest_size: f64,
    pub size_count: usize,
    pub point_count: usize,
}

impl Fit {
    /// The value of the line at this size.
    pub fn at(&self, size: f64) -> f64 {
        self.slope * size + self.base
    }
}

/// All series, by figure, case and dimension.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    pub series: BTreeMap<SeriesKey, Series>,
    /// As they came.
    pub studies: Vec<Study>,
}

impl Study {
    /// Errors name the key at fault.
    pub fn parse(text: &str) -> serde_json::Result<Self> {
        serde_json::from_str(text)
    }
}

impl Measurements {
    /// Sorts the points of all studies into series.
    pub fn from_studies(studies: Vec<Study>) -> Self {
        let mut series: BTreeMap<SeriesKey, Series> = BTreeMap::new();
        for study in &studies {
            for point in &study.points {
                let Some(value) = point.value.filter(|value| value.is_finite() && point.size.is_finite())
                else {
                    continue;
                };
                let Point { figure, case, dimension, unit, size, .. } = point.clone();
                let entry = series
                    .entry(SeriesKey { study: study.study.clone(), figure, case, dimension })
                    .or_default();
                entry.unit = unit;
                entry.command = study.command.clone();
                entry.points.push((size, value));
            }
        }
        Self { series, studies }
    }

    /// The series of some figures by a dimension, as one, in the first of the cases there is; without cases
    /// in any. A figure is `name` or `study/name`; without a study the first that has any of them counts.
    pub fn find(&self, figures: &[&str], cases: &[&str], dimension: &str) -> Option<Series> {
        let matches_name = |key: &SeriesKey, figure: &str| match figure.split_once('/') {
            Some((study, name)) => key.study == study && key.figure == name,
            None => key.figure == figure,
        };
        let find_in_case = |case: Option<&str>| {
            let is_wanted = |key: &&SeriesKey| {
                let figure = figures.iter().any(|figure| matches_name(key, figure));
                figure && key.dimension == dimension && case.is_none_or(|case| case == key.case)
            };
            let study = &self.series.keys().find(is_wanted)?.study;
            let in_study = self.series.iter().filter(|(key, _)| is_wanted(key) && key.study == *study);
            in_study.map(|(_, series)| series.clone()).reduce(Series::merged_with)
        };
        if cases.is_empty() {
            find_in_case(None)
        } else {
            cases.iter().find_map(|case| find_in_case(Some(case)))
        }
    }
}

impl Series {
    fn merged_with(mut self, other: Self) -> Self {
        self.points.extend(other.points);
        self
    }

    /// Sizes and values of the seeds that count.
    pub fn points_for(&self, seeds: Seeds) -> Vec<(f64, f64)> {
        if seeds == Seeds::All {
            return self.points.clone();
        }
        let mut worst: Vec<(f64, f64)> = Vec::new();
        for (size, value) in &self.points {
            match worst.iter_mut().find(|(other, _)| other == size) {
                Some((_, largest)) => *largest = largest.max(*value),
                None => worst.push((*size, *value)),
            }
        }
        worst
    }

    /// None with fewer than two sizes.
    pub fn fit(&self, seeds: Seeds) -> Option<Fit> {
        let points = self.points_for(seeds);
        let mut sizes: Vec<f64> = points.iter().map(|(size, _)| *size).collect();
        sizes.sort_by(f64::total_cmp);
        sizes.dedup();
        if sizes.len() < 2 {
            return None;
        }
        let n = points.len() as f64;
        let (mean_x, mean_y) =
            points.iter().fold((0.0, 0.0), |(mean_x, mean_y), (x, y)| (mean_x + x / n, mean_y + y / n));
        let (sum_xy, sum_xx) = points.iter().fold((0.0, 0.0), |(sum_xy, sum_xx), (x, y)| {
            (sum_xy + (x - mean_x) * (y - mean_y), sum_xx + (x - mean_x) * (x - mean_x))
        });
        let slope = sum_xy / sum_xx;
        let base = mean_y - slope * mean_x;
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let largest_error = points.iter().map(|(x, y)| (y - slope * x - base).abs()).fold(0.0, f64::max);
        Some(Fit {
            slope,
            base,
            deviation: largest_error / largest,
            smallest_size: sizes[0],
            largest_size: sizes[sizes.len() - 1],
            size_count: sizes.len(),
            point_count: points.len(),
        })
    }

    /// What was seen at this size, to a hundredth: the mean of all seeds, or the worst.
    pub fn value_near(&self, size: f64, seeds: Seeds) -> Option<f64> {
        let values: Vec<f64> = self
            .points_for(seeds)
            .iter()
            .filter(|(other, _)| (other - size).abs() < 0.01 * size)
            .map(|point| point.1)
            .collect();
        (!values.is_empty()).then(|| values.iter().sum::<f64>() / values.len() as f64)
    }
}
