//! Comparison of routing policies over simulated engines, through real sockets.
//!
//! Each run starts the deployment's engines, plays one trace with one policy and counts outcomes.
//! All policies get the same traces, cache events and load reports. Times are simulated
//! milliseconds: real ones times the time scale.

mod attempt;
mod feeds;
mod fleet;
mod measures;
mod oracle;
mod replay;
mod request;
mod selector;

pub use self::{
    fleet::{EngineFleet, EngineFleetSettings},
    measures::{PolicyRuns, RunKind, add_rows},
    oracle::OracleSelector,
    replay::{DECODE_MS, PREFILL_MS, ReplaySettings, RequestOutcome, RunResult, replay_trace},
    selector::{EngineSelector, RouterSelector},
};
