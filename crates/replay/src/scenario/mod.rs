//! Scripted scenarios: a trace is replayed through a fleet, faults are injected at given times, and
//! the results are compared with expectations.
//!
//! A scenario is a text file with one statement per line. `#` starts a comment.
//!
//! ```text
//! deployment irazabal
//! trace ../traces/irazabal-small.jsonl
//! entries 3
//! at 2s engine 3 crash
//! at 1s keyvalue outage 5s
//! expect ttft.p99 short <= 250ms
//! expect bookings.max_runs == 1
//! ```

mod parse;
mod run;
mod statement;

use std::{path::PathBuf, time::Duration};

use carobvane_standin::{
    engine::FaultUpdate,
    keyvalue::{KeyValueFaults, OutageKind},
    service::ServiceFaults,
};

pub use self::{
    parse::{ScenarioError, parse},
    run::{ExpectationResult, ScenarioResult, run},
};
use crate::{deployment::DeploymentSpec, trace::TraceClass};

/// A parsed scenario file.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Path of the scenario file.
    pub path: PathBuf,
    /// Deployment that provides the workspaces and the default numbers of servers.
    pub deployment: DeploymentSpec,
    /// Path of the trace file. The scenario file gives it relative to its own folder.
    pub trace: PathBuf,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain servers.
    pub services: usize,
    /// Faults, in the order of the file.
    pub events: Vec<ScenarioEvent>,
    /// Expectations, in the order of the file.
    pub expectations: Vec<Expectation>,
}

/// An action at a given time of the trace.
#[derive(Debug, Clone, PartialEq)]
pub struct ScenarioEvent {
    /// Time from the start of the trace.
    pub at: Duration,
    /// The action.
    pub action: ScenarioAction,
}

/// A fault to inject. Indices start at zero.
#[derive(Debug, Clone, PartialEq)]
pub enum ScenarioAction {
    /// Changes the faults of an engine.
    Engine(usize, FaultUpdate),
    /// Changes the faults of the key-value service.
    KeyValue(KeyValueFaults),
    /// Makes the key-value service unavailable for the given duration.
    Outage(OutageKind, Duration),
    /// Changes the faults of a plain server.
    Service(usize, ServiceFaults),
    /// Stops an entry at once, without finishing its requests.
    StopEntry(usize),
}

/// A bound on a measure that must hold after the scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Expectation {
    /// Line number in the file, starting at one.
    pub line: usize,
    /// The statement as written.
    pub text: String,
    /// What is measured.
    pub measure: ScenarioMeasure,
    /// How the measured value is compared with the bound.
    pub comparison: Comparison,
    /// The bound. Times are in milliseconds and percentages are shares from 0 to 1.
    pub bound: f64,
}

/// A value measured over a scenario. A class of `None` stands for all requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ScenarioMeasure {
    /// A percentile of the time to first token, in milliseconds.
    FirstToken(f64, Option<TraceClass>),
    /// A percentile of the time to the end, in milliseconds.
    Total(f64, Option<TraceClass>),
    /// Share of requests with a complete response.
    Answered(Option<TraceClass>),
    /// Number of requests that got an error response.
    Refused(Option<TraceClass>),
    /// Number of requests whose connection broke before the end of the response.
    Broken(Option<TraceClass>),
    /// Number of responses that look complete but are not, or that have the wrong text.
    Wrong,
    /// Largest number of times that any one booking ran.
    MaxBookingRuns,
    /// Share of the prompt tokens that the engines found in their caches.
    HitRate,
    /// Largest number of writes and lease calls to the key-value service within one second.
    PeakKeyValueWrites,
    /// Largest number of reads and watches of the key-value service within one second.
    PeakKeyValueReads,
}

/// A comparison of a measured value with a bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Comparison {
    /// `<=`
    AtMost,
    /// `<`
    Below,
    /// `>=`
    AtLeast,
    /// `>`
    Above,
    /// `==`
    Equal,
}

impl Comparison {
    /// Returns whether `value` satisfies the comparison with `bound`.
    pub fn holds(self, value: f64, bound: f64) -> bool {
        match self {
            Comparison::AtMost => value <= bound,
            Comparison::Below => value < bound,
            Comparison::AtLeast => value >= bound,
            Comparison::Above => value > bound,
            Comparison::Equal => value == bound,
        }
    }
}
