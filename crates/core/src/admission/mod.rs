//! Decides when a request starts: queue order, reserved slots and early refusal.
//!
//! A request that finds a free slot starts at once and never enters the queue. One that waits has a
//! time by which it must start; if the estimated wait exceeds it, the request is refused at once
//! with a retry time instead of being held until it fails.

mod limits;
mod predictor;
mod queue;

pub use self::{
    limits::SlotLimits,
    predictor::{RequestFeatures, SHORT_WORK_LIMIT_MS, TokenCosts, WorkPrediction, WorkPredictor},
    queue::{FairQueue, QueueEntry, QueueRefusal, QueueSettings, RefusalCause},
};
