//! Compares routing policies on simulated engines, over real sockets.
//!
//! Each run starts the engines of a deployment, replays one trace with one policy and records the
//! outcome of every request. All policies receive the same traces, and cache events and load
//! reports from the same endpoints. Times are simulated milliseconds: real milliseconds multiplied
//! by the time scale.

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
