//! Scripted scenarios: a trace through a fleet, faults at given times, and stated outcomes.
//!
//! A scenario is a text file with one statement a line; `#` begins a comment.
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

/// A scenario as read from its file.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// The file.
    pub path: PathBuf,
    /// Sizes and workspaces.
    pub deployment: DeploymentSpec,
    /// The trace file; relative names count from the scenario's folder.
    pub trace: PathBuf,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain servers.
    pub services: usize,
    /// Faults in the order of the file.
    pub events: Vec<ScenarioEvent>,
    /// Outcomes that must hold.
    pub expectations: Vec<Expectation>,
}

/// Something that happens at a time of the trace.
#[derive(Debug, Clone, PartialEq)]
pub struct ScenarioEvent {
    /// Time from the start of the trace.
    pub at: Duration,
    /// What happens.
    pub action: ScenarioAction,
}

/// What can happen. Indices count from zero.
#[derive(Debug, Clone, PartialEq)]
pub enum ScenarioAction {
    /// Changes the faults of an engine.
    Engine(usize, FaultUpdate),
    /// Changes the faults of the key-value service.
    KeyValue(KeyValueFaults),
    /// Makes the key-value service unusable for a time.
    Outage(OutageKind, Duration),
    /// Changes the faults of a plain server.
    Service(usize, ServiceFaults),
    /// Stops an entry at once.
    StopEntry(usize),
}

/// A stated outcome.
#[derive(Debug, Clone, PartialEq)]
pub struct Expectation {
    /// The line in the file.
    pub line: usize,
    /// The statement.
    pub text: String,
    /// What is measured.
    pub measure: ScenarioMeasure,
    /// How it is compared.
    pub comparison: Comparison,
    /// The bound; times in milliseconds.
    pub bound: f64,
}

/// What a scenario measures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ScenarioMeasure {
    /// A percentile of the time to first token, in milliseconds.
    FirstToken(f64, Option<TraceClass>),
    /// A percentile of the time to the end, in milliseconds.
    Total(f64, Option<TraceClass>),
    /// Share of requests with a whole answer.
    Answered(Option<TraceClass>),
    /// Requests that were refused with an error.
    Refused(Option<TraceClass>),
    /// Requests whose connection broke visibly.
    Broken(Option<TraceClass>),
    /// Answers that claim to be complete and are not, or have the wrong text.
    Wrong,
    /// Most runs of one booking.
    MaxBookingRuns,
    /// Share of prompt tokens found in engine caches.
    HitRate,
    /// Most writes and lease calls in one second.
    PeakKeyValueWrites,
    /// Most reads and watches in one second.
    PeakKeyValueReads,
}

/// How a measure is compared with its bound.
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
    /// Whether `value` holds against `bound`.
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
