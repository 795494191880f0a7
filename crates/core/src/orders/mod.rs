//! Orders that tell each engine which model weights and adapters to hold.
//!
//! Only the steward that holds a lease sends orders, each with the fencing token of the lease. An
//! order names the complete target state rather than a change to it, and the steward reads the
//! state back, so an order that arrives late or twice does no lasting harm.

mod controller;
mod lease;
mod messages;
#[cfg(test)]
mod tests;

pub use controller::{MAX_LOAD_DURATION, OrderController};
pub use lease::{LEASE_LIFETIME, LeaseState, LeaseTimes, ORDER_TIMEOUT, PREDECESSOR_WAIT};
pub use messages::{EngineWeights, LeaseEvent, OrderEffect, OrderOutcome, WeightsStatus};
