//! Orders to backend servers: which weights each engine should hold.
//!
//! One steward holds a lease with a fencing token. It sends the state that is wanted, never a
//! step towards it, and reads the state back, so an order that arrives late or twice does no
//! lasting harm.

mod lease;
mod machine;
mod messages;
#[cfg(test)]
mod tests;

pub use lease::{LEASE_TIME, LeaseState, LeaseTimes, PREDECESSOR_WAIT, REQUEST_TIMEOUT};
pub use machine::{MAX_LOAD_TIME, OrderMachine};
pub use messages::{HoldOrder, LeaseEvent, OrderEffect, OrderOutcome, ServerReading};
