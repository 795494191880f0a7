//! What each plan may spend, fleet-wide, in any window.

mod limits;

pub use limits::{LimitKind, PlanLimits};
