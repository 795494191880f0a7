//! Admission control: decides when a request starts, in which order, and when to refuse it early.
//!
//! A request that finds a free slot starts at once without entering the queue. A queued request has
//! a time by which it must start. If the estimated wait exceeds that time, the request is refused
//! at once with a retry time, instead of being held until it fails.

mod limits;
mod predictor;
mod queue;

pub use self::{
    limits::SlotLimits,
    predictor::{RequestFeatures, SHORT_WORK_LIMIT_MS, TokenCosts, WorkPrediction, WorkPredictor},
    queue::{FairQueue, QueueEntry, QueueRefusal, QueueSettings, RefusalCause},
};
