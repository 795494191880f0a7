//! Enforces the limits of workspaces over all nodes together.
//!
//! Handles a workspace that asks for several times its limit within seconds while its requests
//! arrive at all nodes at random and one request costs from a fraction of a percent to twice what the
//! limit adds in a second.
//!
//! The limit is split over [`SLOTS`] slots. The home of a slot is the node that rendezvous hashing
//! ranks first; it keeps the slot's [`SlotBucket`] and is the only one that grants its tokens. A node
//! asks a home for the tokens of each request after the request has arrived, and sends the request
//! once it has them. `docs/design/workspace-limits.md` gives the argument for the bound.

mod home_rights;
mod limiter;
mod messages;
mod purchase;
mod purchase_parts;
mod slot_bucket;
mod slot_homes;
mod spec;
#[cfg(test)]
mod tests;

pub use limiter::WorkspaceLimiter;
pub use messages::{
    AskOutcome, HandedSlot, HomeAnswer, HomeCheck, LimitMessage, NamedLimit, NodeName, SlotKey,
    TokenAnswer, TokenAsk, TokenReturn, WorkspaceId,
};
pub use purchase::{PurchaseStep, TokenPurchase, TokenReceipt};
pub use slot_bucket::{SlotBucket, SlotShare};
pub use spec::{LimitProblem, LimitSetting, LimitUnit, WorkspaceLimit};

use std::time::Duration;

/// Number of slots of a workspace. While a home is replaced, the other two thirds remain usable.
pub const SLOTS: u8 = 3;
/// A granted request is sent to its first server within this time after its tokens are due, on the
/// clock of the asking node, counted from when it asked.
pub const GRANT_LIFETIME: Duration = Duration::from_millis(250);
/// Nobody grants for a slot for at least this long between two homes of which the later one does not
/// know what the earlier one has granted.
pub const HANDOVER_GAP: Duration = Duration::from_millis(1_500);
/// Time after which a home that has not answered is regarded as silent.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
