//! Benchmarks of `carobvane-bench`, with one module per subcommand.
//!
//! Each figure is measured in several runs and reported as their median, lowest and highest value,
//! because other work on the machine affects single runs.

pub mod decide;
pub mod path;
pub mod program;
pub mod state;

use std::{fs, path::Path};

use eyre::WrapErr;
use serde::Serialize;

/// A measured quantity with the statistics of its runs.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub struct BenchFigure {
    /// What was measured.
    pub name: String,
    /// Unit of the values.
    pub unit: &'static str,
    /// Median of all runs; with an even number of runs the higher of the two middle values.
    pub median: f64,
    /// Value of the lowest run.
    pub low: f64,
    /// Value of the highest run.
    pub high: f64,
    /// Number of runs.
    pub runs: usize,
    /// Upper limit that the design sets for the median, if any.
    pub target: Option<f64>,
}

impl BenchFigure {
    /// Creates a figure from the values of all runs. Its statistics are NaN if there are none.
    pub fn new(name: impl Into<String>, unit: &'static str, mut values: Vec<f64>) -> BenchFigure {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
        BenchFigure {
            name: name.into(),
            unit,
            median: at(values.len() / 2),
            low: at(0),
            high: at(values.len().saturating_sub(1)),
            runs: values.len(),
            target: None,
        }
    }

    /// Sets the upper limit that the design sets for the median.
    pub fn with_target(mut self, target: f64) -> BenchFigure {
        self.target = Some(target);
        self
    }
}

/// Prints the figures as a table, each with its target and whether the median meets it.
pub fn print_table(figures: &[BenchFigure]) {
    let width = figures.iter().map(|figure| figure.name.len()).max().unwrap_or(0);
    println!(
        "{:width$}  {:>10}  {:>10}  {:>10}  {:>8}  target",
        "figure", "median", "low", "high", "unit"
    );
    for BenchFigure { name, unit, median, low, high, target, .. } in figures {
        let target = target.map_or(String::new(), |target| {
            let verdict = if *median <= target { "met" } else { "missed" };
            format!("<= {target} ({verdict})")
        });
        println!("{name:width$}  {median:>10.3}  {low:>10.3}  {high:>10.3}  {unit:>8}  {target}");
    }
}

/// Writes the figures as JSON to `path` and creates its folder if necessary. Fails if the folder or
/// the file cannot be written.
pub fn write_json(path: &Path, figures: &[BenchFigure]) -> eyre::Result<()> {
    if let Some(folder) = path.parent() {
        fs::create_dir_all(folder)
            .wrap_err_with(|| format!("failed to create {}", folder.display()))?;
    }
    let text = serde_json::to_string_pretty(figures).wrap_err("failed to encode the figures")?;
    fs::write(path, text).wrap_err_with(|| format!("failed to write {}", path.display()))
}

/// Returns the least-squares slope of `log(value)` over `log(size)` for points of size and value.
/// A slope of 1 means linear growth, 0 means no growth.
pub fn log_slope(points: &[(f64, f64)]) -> f64 {
    let logs: Vec<(f64, f64)> = points.iter().map(|&(x, y)| (x.ln(), y.ln())).collect();
    let count = logs.len() as f64;
    let mean_x = logs.iter().map(|&(x, _)| x).sum::<f64>() / count;
    let mean_y = logs.iter().map(|&(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = logs.iter().map(|&(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = logs.iter().map(|&(x, _)| (x - mean_x).powi(2)).sum();
    covariance / variance
}
