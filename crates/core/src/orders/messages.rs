//! Inputs of the order controller and the effects that its host carries out.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// The weights that a server holds or should hold: one version of one model with exactly these
/// adapters.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineWeights {
    /// Name of the model.
    pub model: String,
    /// Version of the weights.
    pub version: u64,
    /// Names of the adapters.
    pub adapters: BTreeSet<String>,
}

/// The state that a server reported when it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightsStatus {
    /// The weights that it holds; `None` if it holds none.
    pub held: Option<EngineWeights>,
    /// Whether it is loading weights.
    pub loading: bool,
}

/// The result of sending an order to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server accepted the order; it may still be loading the weights.
    Accepted,
    /// The server refused the order because it has seen a higher fencing token.
    StaleFencing,
    /// There was no answer, or one that does not say whether the order took effect.
    Unknown,
}

/// What the host learned about the lease under the key `orders/holder`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This node created the key, so it holds the lease.
    Acquired {
        /// Creation revision of the key, which serves as the fencing token.
        fencing: u64,
        /// When the request for the lease was sent.
        sent_at: ClockTime,
    },
    /// The key-value service renewed the lease.
    Renewed {
        /// When the request for the renewal was sent.
        sent_at: ClockTime,
    },
    /// Another node holds the lease.
    HeldByOther,
    /// No node holds the lease, or the holder is unknown.
    Free,
    /// This node's lease has expired at the key-value service.
    Lost,
}

/// An action that the host carries out for the controller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEffect {
    /// Request a lease, and create the key `orders/holder` under it if the key does not exist.
    Acquire,
    /// Renew the lease.
    Renew,
    /// Read the state of a server.
    Read {
        /// Name of the server.
        server: String,
    },
    /// Send an order to a server, and give up after [`ORDER_TIMEOUT`](super::ORDER_TIMEOUT).
    Send {
        /// Name of the server.
        server: String,
        /// Fencing token of the sender's lease.
        fencing: u64,
        /// The weights that the server should hold.
        order: EngineWeights,
    },
}
