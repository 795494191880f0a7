//! What the rollout of weights asks of its host, and what it is told.

use std::time::Duration;

use crate::{
    ids::{ServerKey, WeightsVersion},
    orders::LeaseTimes,
};

/// Times that a deployment sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutSettings {
    /// Times of the lease.
    pub lease: LeaseTimes,
    /// Time between the orders of two holders to one server.
    pub handover_gap: Duration,
    /// Time after the naming of weights in which requests may begin on older ones.
    pub old_version_lifetime: Duration,
}

/// What became of an order or a reading.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderReply {
    /// The order was accepted, or already holds.
    Accepted,
    /// The server refused it: another is in progress or its count of orders differs.
    Conflict,
    /// The server has seen a higher fencing token.
    Fenced,
    /// It does not know the version yet, or refused otherwise.
    Refused,
    /// No answer: the order may be carried out later.
    Unknown,
    /// The server's state.
    Reading {
        /// Version of its weights.
        version: WeightsVersion,
        /// Whether an order is in progress.
        busy: bool,
        /// Orders that it has accepted.
        sequence: u64,
        /// Requests that run or wait there.
        requests: u32,
    },
}

/// An order to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadOrder {
    /// The server.
    pub server: ServerKey,
    /// The model.
    pub model: String,
    /// The wanted version.
    pub version: WeightsVersion,
    /// The fencing token.
    pub fencing: u64,
    /// Orders that the server must have accepted so far, if known.
    pub expected_sequence: Option<u64>,
}

/// What the host carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutEffect {
    /// Keep requests from a server that will be ordered to load.
    Drain {
        /// The server.
        server: ServerKey,
    },
    /// Let a server have requests again that did not load.
    Undrain {
        /// The server.
        server: ServerKey,
    },
    /// Order a server to load weights.
    Order(LoadOrder),
    /// Read a server's state.
    QueryState {
        /// The server.
        server: ServerKey,
        /// The model.
        model: String,
    },
}
