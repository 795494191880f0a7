//! Enforces the limits of plans across the fleet, without a central counter.
//!
//! The amount of each limit is divided into units, which are distributed over the home entries of
//! the plan. An entry that needs more units than its own share borrows them from the home entries.
//! A unit is at one entry at a time and is used at most once in any window, so the fleet's use in
//! any window never exceeds the amount. `docs/state-control.md` contains the proof.

mod confirm;
mod homes;
mod limit_share;
mod limiter;
mod limits;
mod list_versions;
mod messages;
mod share_versions;
mod state;
#[cfg(test)]
mod tests;
mod usage;
mod window;
pub mod workspace_limit;

pub use homes::{MAX_HOMES, home_entries, home_share};
pub use limiter::{PlanLimiter, PlanRejection, PlanReservation};
pub use limits::{LimitKind, MAX_STREAM_TIME, PlanLimits};
pub use messages::{
    LOAN_DURATION, LimiterEffect, LimiterMessage, LoanGrant, LoanRequest, PlanId, reclaim_delay,
};
pub use usage::{PlanUsage, UsageCounters, WorkspaceUsage};
pub use window::UsageWindow;
