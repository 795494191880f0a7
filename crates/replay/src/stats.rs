//! Percentiles, and summaries of a measure over several runs.

use serde::{Deserialize, Serialize};

/// Returns the percentile of `values` at `share` (0 to 1) by the nearest-rank method, or 0 if there
/// are no values.
pub fn percentile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Median and range of a measure over several runs.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct SampleSummary {
    /// Median of the values; the mean of the middle two for an even number of runs.
    pub median: f64,
    /// Lowest value.
    pub low: f64,
    /// Highest value.
    pub high: f64,
    /// Number of runs.
    pub runs: usize,
}

impl SampleSummary {
    /// Summarizes the values of several runs, one each. All fields are 0 if there are none.
    pub fn from_values(values: &[f64]) -> SampleSummary {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let middle = sorted.len() / 2;
        let median = match sorted.len() {
            0 => 0.0,
            count if count % 2 == 1 => sorted[middle],
            _ => (sorted[middle - 1] + sorted[middle]) / 2.0,
        };
        let low = sorted.first().copied().unwrap_or(0.0);
        let high = sorted.last().copied().unwrap_or(0.0);
        SampleSummary { median, low, high, runs: sorted.len() }
    }
}
