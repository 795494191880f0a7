//! Comparison of routing policies over simulated engines, through real sockets.
//!
//! Each run starts the deployment's engines, plays one trace with one policy and counts outcomes.
//! All policies get the same traces, cache events and load reports. Times are simulated
//! milliseconds: real ones times the time scale.

mod attempt;
mod chooser;
mod feeds;
mod fleet;
mod measures;
mod oracle;
mod player;
mod serve;

pub use self::{
    chooser::{FleetChooser, RouterChooser},
    fleet::{EngineFleet, FleetSettings},
    measures::{PolicyRuns, RunKind, add_rows},
    oracle::OracleChooser,
    player::{DECODE_MS, PREFILL_MS, PlaySettings, RequestOutcome, RunResult, play},
};
