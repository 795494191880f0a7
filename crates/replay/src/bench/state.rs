//! `carobvane-bench state`: cost of membership, plan shares and lists for different fleet sizes.
//!
//! The control logic of all entries runs in one process. The entries exchange messages over a queue
//! with a fixed latency, and the benchmark advances their clock. Bytes are those of the encoded
//! frames, without the overhead of QUIC and UDP. Time is the time spent in the handlers and in
//! encoding.

mod fleet;
mod key_value;

use std::path::PathBuf;

use super::{BenchFigure, log_slope, print_table, write_json};
use fleet::{BenchFleet, Component};

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub struct StateOptions {
    /// Number of runs per figure.
    pub runs: usize,
    /// The numbers of nodes to measure.
    pub sizes: Vec<usize>,
    /// File to write the figures to as JSON.
    pub json: PathBuf,
    /// Returns the number of bytes that the process has allocated now.
    pub live_bytes: fn() -> usize,
}

/// Measures the figures and their growth over the fleet sizes, prints them as a table and writes
/// them as JSON. Fails if the file cannot be written.
pub fn run(options: &StateOptions) -> eyre::Result<()> {
    let mut figures = Vec::new();
    let mut points: Vec<(&'static str, Vec<(f64, f64)>)> = Vec::new();
    for &nodes in &options.sizes {
        let runs = (0..options.runs)
            .map(|run| BenchFleet::measure(nodes, run as u64 + 1, options.live_bytes))
            .collect::<Vec<_>>();
        let names: Vec<&'static str> = runs[0].iter().map(|value| value.name).collect();
        for (index, name) in names.into_iter().enumerate() {
            let values = runs.iter().map(|run| run[index].value).collect();
            let unit = runs[0][index].unit;
            let mut figure = BenchFigure::new(format!("{name}, {nodes} nodes"), unit, values);
            figure.target = runs[0][index].target;
            match points.iter_mut().find(|(known, _)| *known == name) {
                Some((_, points)) => points.push((nodes as f64, figure.median)),
                None => points.push((name, vec![(nodes as f64, figure.median)])),
            }
            figures.push(figure);
        }
    }
    for (name, points) in points {
        if points.len() > 1 && points.iter().all(|(_, value)| *value > 0.0) {
            let slope = vec![log_slope(&points)];
            figures.push(BenchFigure::new(format!("{name}, slope"), "log/log", slope));
        }
    }
    print_table(&figures);
    write_json(&options.json, &figures)
}

/// The value that one run measured for a figure.
#[derive(Debug, Clone)]
struct RunValue {
    name: &'static str,
    unit: &'static str,
    value: f64,
    target: Option<f64>,
}

impl RunValue {
    fn new(name: &'static str, unit: &'static str, value: f64) -> RunValue {
        RunValue { name, unit, value, target: None }
    }

    fn with_target(mut self, target: f64) -> RunValue {
        self.target = Some(target);
        self
    }
}

impl Component {
    /// Returns the names of the figures for bytes, messages and time.
    fn names(self) -> [&'static str; 3] {
        match self {
            Component::Members => {
                ["membership bytes", "membership messages", "membership handler time"]
            }
            Component::Lists => ["lists bytes", "lists messages", "lists handler time"],
            Component::Shares => ["shares bytes", "shares messages", "shares handler time"],
        }
    }
}
