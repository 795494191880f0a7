//! Orders to backend servers: which weights each engine should hold.
//!
//! One steward holds a lease with a fencing token. It sends the state that is wanted, never a
//! step towards it, and reads the state back, so an order that arrives late or twice does no
//! lasting harm.

mod controller;
mod lease;
mod messages;
#[cfg(test)]
mod tests;

pub use controller::{MAX_LOAD_DURATION, OrderController};
pub use lease::{LEASE_LIFETIME, LeaseState, LeaseTimes, ORDER_TIMEOUT, PREDECESSOR_WAIT};
pub use messages::{EngineWeights, LeaseEvent, OrderEffect, OrderOutcome, WeightsStatus};
