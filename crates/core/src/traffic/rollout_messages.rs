//! Settings, inputs and effects of the weights rollout.

use std::time::Duration;

use crate::{
    ids::{ServerKey, WeightsVersion},
    orders::LeaseTimes,
};

/// Time limits of the rollout, set by the deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Lifetime and margins of the lease that the ordering node holds.
    pub lease: LeaseTimes,
    /// Minimum time between orders of different lease holders to the same server.
    pub handover_gap: Duration,
    /// How long after new weights are announced requests may still start on the old ones.
    pub old_version_lifetime: Duration,
}

/// Outcome of a load order or a state query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderReply {
    /// The order was accepted, or the server already has the weights.
    Accepted,
    /// The server refused the order: another one is in progress, or the expected number of accepted
    /// orders differs from the server's.
    Conflict,
    /// The server refused the order because it has seen a higher fencing token.
    Fenced,
    /// The order had no effect for another reason, such as a version unknown to the server.
    Refused,
    /// No readable reply: the order may still be carried out.
    Unknown,
    /// The server's state, in reply to a query.
    Reading {
        /// Version of the model's weights.
        version: WeightsVersion,
        /// Whether an order is in progress.
        busy: bool,
        /// Number of orders that the server has accepted.
        sequence: u64,
        /// Number of requests that run or wait at the server.
        requests: u32,
    },
}

/// An order to a server to load weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// Server that has to load.
    pub server: ServerKey,
    /// Model whose weights change.
    pub model: String,
    /// Version to load.
    pub version: WeightsVersion,
    /// Fencing token of the lease; servers refuse orders with a lower one than they have seen.
    pub fencing: u64,
    /// Number of orders that the server must have accepted so far; `None` if unknown.
    pub expected_sequence: Option<u64>,
}

/// What the host has to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutEffect {
    /// Stop sending requests to a server that is about to load weights.
    Drain {
        /// Server to drain.
        server: ServerKey,
    },
    /// Send requests again to a drained server that does not load.
    Undrain {
        /// Server that may get requests again.
        server: ServerKey,
    },
    /// Send a load order.
    Order(LoadOrder),
    /// Query a server's state.
    Query {
        /// Server to query.
        server: ServerKey,
        /// Model whose weights version is wanted.
        model: String,
    },
}
