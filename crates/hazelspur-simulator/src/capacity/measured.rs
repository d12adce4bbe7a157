//! Measurements: the points of all studies, grouped into one series for each figure, case and dimension, and
//! the straight line fitted to a series.

use serde::Deserialize;
use std::collections::BTreeMap;

/// Contents of one study's JSON file.
#[derive(Clone, Debug, Deserialize)]
pub struct Study {
    /// Name of the study.
    pub study: String,
    /// Command that repeats the study.
    #[serde(default)]
    pub command: String,
    /// Commit that was measured.
    #[serde(default, rename = "text")]
    pub commit: String,
    /// Machine that the study ran on.
    #[serde(default)]
    pub machine: String,
    #[serde(default)]
    pub points: Vec<Point>,
}

/// One measured value.
#[derive(Clone, Debug, Deserialize)]
pub struct Point {
    /// Name of the measured quantity.
    pub figure: String,
    /// Situation in which it was measured, such as `rest` or `storm`.
    #[serde(default)]
    pub case: String,
    #[serde(default)]
    pub unit: String,
    /// Quantity that `size` counts, such as `servers`.
    #[serde(rename = "by")]
    pub dimension: String,
    pub size: f64,
    /// Seed of the simulation; absent where there is none.
    #[serde(default)]
    pub seed: Option<u64>,
    /// Measured value; absent if the measurement gave none.
    pub value: Option<f64>,
}

/// Key of a series. It includes the study because two studies may use the same figure name, and points from
/// virtual time and from real processes must not be fitted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeriesKey {
    pub study: String,
    pub figure: String,
    pub case: String,
    pub dimension: String,
}

/// All points of one study's figure in one case, by one dimension.
#[derive(Clone, Debug, Default)]
pub struct Series {
    pub unit: String,
    /// Command that repeats the study.
    pub command: String,
    /// Size and value of each point, in the order of the file.
    pub points: Vec<(f64, f64)>,
}

/// Choice among the points of one size that differ by seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seeds {
    /// All points, so that the fitted line is their mean.
    All,
    /// The largest value of each size.
    Worst,
}

/// Straight line `slope * size + base`, fitted by least squares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    pub slope: f64,
    pub base: f64,
    /// Largest distance of a point from the line, as a fraction of the largest absolute value.
    pub deviation: f64,
    pub smallest_size: f64,
    pub largest_size: f64,
    pub size_count: usize,
    pub point_count: usize,
}

impl Fit {
    /// Returns the value of the line at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.slope * size + self.base
    }
}

/// Measurements of several studies.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    pub series: BTreeMap<SeriesKey, Series>,
    /// Studies in the order in which they were read.
    pub studies: Vec<Study>,
}

impl Study {
    /// Parses a study's JSON file.
    ///
    /// # Errors
    /// Fails if the text is not valid JSON or a key is missing or of another type.
    pub fn parse(text: &str) -> serde_json::Result<Self> {
        serde_json::from_str(text)
    }
}

impl Measurements {
    /// Groups the points of all studies into series, without those that lack a finite size or value.
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

    /// Returns the series of the figures by a dimension, merged into one; `None` if there is none.
    ///
    /// A figure is given as `name` or `study/name`. The first case that has points is used, and without
    /// `cases` all cases together. All points come from one study, the first by name that has any of the
    /// figures.
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

    /// Returns size and value of the points that the choice of seeds selects.
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

    /// Fits a straight line to the points; `None` with fewer than two different sizes.
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

    /// Returns the mean of the selected points whose size is within 1 % of the given one; `None` if there are
    /// none.
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
