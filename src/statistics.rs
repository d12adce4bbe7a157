//! Sliding windows of samples, and statistics computed from samples on demand.
//!
//! A window keeps the newest `CAPACITY` samples. Sums run from the oldest sample to the newest, so that the
//! same samples always give the same floating-point result.

use std::collections::VecDeque;

/// Capacity of the windows of run times, call latencies and core usage, in samples.
pub(crate) const SAMPLE_CAPACITY: usize = 24;

/// A sliding window of the newest `CAPACITY` samples, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct SampleWindow<T, const CAPACITY: usize> {
    samples: VecDeque<T>,
}

impl<T, const CAPACITY: usize> Default for SampleWindow<T, CAPACITY> {
    fn default() -> Self {
        Self { samples: VecDeque::new() }
    }
}

impl<T: Copy, const CAPACITY: usize> SampleWindow<T, CAPACITY> {
    /// Adds a sample; a full window drops its oldest one.
    pub(crate) fn push(&mut self, sample: T) {
        if self.samples.len() == CAPACITY {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Iterates from the oldest sample to the newest.
    pub(crate) fn iter(&self) -> impl Iterator<Item = T> + Clone + '_ {
        self.samples.iter().copied()
    }

    /// Returns the number of samples.
    pub(crate) fn len(&self) -> usize {
        self.samples.len()
    }

    /// Returns the oldest sample.
    pub(crate) fn oldest(&self) -> Option<T> {
        self.samples.front().copied()
    }
}

impl<const CAPACITY: usize> SampleWindow<f64, CAPACITY> {
    /// Returns the mean of all samples; `None` without samples.
    pub(crate) fn mean(&self) -> Option<f64> {
        mean(self.iter())
    }

    /// Returns the mean of the samples from the median up; `None` without samples.
    pub(crate) fn mean_of_upper_half(&self) -> Option<f64> {
        let sorted = sorted(self.iter());
        mean(sorted[sorted.len() / 2..].iter().copied())
    }
}

/// Returns the arithmetic mean; `None` without samples.
pub(crate) fn mean(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = samples.fold((0.0, 0u32), |(sum, count), sample| (sum + sample, count + 1));
    (count > 0).then(|| sum / f64::from(count))
}

/// Returns the mean without the largest samples, of which the share `ignored_top_share` is left out; `None`
/// without samples.
pub(crate) fn mean_without_top(samples: impl Iterator<Item = f64>, ignored_top_share: f64) -> Option<f64> {
    let sorted = sorted(samples);
    let ignored = (sorted.len() as f64 * ignored_top_share) as usize;
    mean(sorted[..sorted.len() - ignored].iter().copied())
}

/// Returns the median; for an even number of samples the geometric mean of the two in the middle; `None`
/// without samples.
pub(crate) fn geometric_median(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let sorted = sorted(samples);
    let upper = sorted.get(sorted.len() / 2)?;
    Some((sorted[(sorted.len() - 1) / 2] * upper).sqrt())
}

/// Returns the effective number of weights, the inverse of their Herfindahl index: `n` equal weights give
/// `n`, uneven ones give fewer. Returns 1 if there are no weights or all are zero.
pub(crate) fn effective_count(weights: impl Iterator<Item = f64>) -> f64 {
    let (sum, squares) =
        weights.fold((0.0, 0.0), |(sum, squares), weight| (sum + weight, squares + weight * weight));
    if squares > 0.0 { sum * sum / squares } else { 1.0 }
}

fn sorted(samples: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut sorted: Vec<f64> = samples.collect();
    sorted.sort_by(f64::total_cmp);
    sorted
}
