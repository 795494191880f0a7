//! Percentiles, and medians with their spread over runs.

use serde::{Deserialize, Serialize};

/// The value below which `share` of the values lie, by the nearest rank; 0 without values.
pub fn percentile(values: &[f64], share: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (share * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// A measure over several runs.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct SampleSummary {
    /// The median.
    pub median: f64,
    /// The lowest value.
    pub low: f64,
    /// The highest value.
    pub high: f64,
    /// Number of runs.
    pub runs: usize,
}

impl SampleSummary {
    /// Summarizes the values of several runs.
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
