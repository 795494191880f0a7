//! `carobvane-bench state`: cost of membership, shares and lists over the number of nodes.
//!
//! Instances of the control logic of all entries exchange encoded frames over an in-process queue
//! with a fixed latency and a clock that the bench turns. Bytes are those of the frames, without
//! QUIC and UDP. Time is the time spent in the handlers, encoding included.

mod fleet;
mod key_value;

use std::path::PathBuf;

use super::{BenchFigure, log_slope, print_table, write_json};
use fleet::{BenchFleet, Component};

/// How to measure.
#[derive(Debug, Clone)]
pub struct StateOptions {
    /// Runs of each figure.
    pub runs: usize,
    /// Numbers of nodes.
    pub sizes: Vec<usize>,
    /// Where to write the figures as JSON.
    pub json: PathBuf,
    /// Bytes that the process holds.
    pub live_bytes: fn() -> usize,
}

/// Measures, prints a table and writes JSON.
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

/// One measured value of a run.
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
    /// Names of bytes, messages and time.
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
