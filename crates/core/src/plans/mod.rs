//! What each plan may spend, fleet-wide, in any window.
//!
//! A plan's amount is split into units over its home entries; every other use borrows units. A
//! unit is at one entry at a time and is spent at most once in any window, so the fleet's use in
//! any window never exceeds the amount. `docs/state-control.md` has the proof.

mod confirm;
mod homes;
mod kind;
mod ledger;
mod limits;
mod messages;
mod state;
mod steps;
#[cfg(test)]
mod tests;
mod usage;
mod versions;
mod window;

pub use homes::{MAX_HOMES, home_entries, home_share};
pub use ledger::{PlanRejection, ShareLedger, SpendTicket};
pub use limits::{LimitKind, MAX_STREAM_TIME, PlanLimits};
pub use messages::{
    LOAN_TIME, PlanId, ShareAsk, ShareEffect, ShareGrant, ShareMessage, reclaim_time,
};
pub use usage::{PlanUsage, UsageBook, WorkspaceUsage};
pub use window::UsageWindow;
