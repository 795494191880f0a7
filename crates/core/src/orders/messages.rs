//! Inputs and effects of orders.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::clock::ClockTime;

/// The state that a server should take: this version of this model with exactly these adapters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineWeights {
    /// Model name.
    pub model: String,
    /// Weights version.
    pub version: u64,
    /// Adapters.
    pub adapters: BTreeSet<String>,
}

/// What a server reported of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsStatus {
    /// What it holds; `None` for no weights.
    pub held: Option<EngineWeights>,
    /// Whether a load is in progress.
    pub loading: bool,
}

/// What became of an order that was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The server accepted it; the load may still run.
    Accepted,
    /// The server has seen a higher fencing token.
    StaleFencing,
    /// No answer, or an answer that does not say whether the order took effect.
    Unknown,
}

/// What the host learned about the lease `orders/holder`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseEvent {
    /// This node's create-only write took effect.
    Acquired {
        /// Creation revision of the key.
        fencing: u64,
        /// When the lease was requested.
        sent_at: ClockTime,
    },
    /// The lease was kept alive.
    Renewed {
        /// When the renewal was requested.
        sent_at: ClockTime,
    },
    /// Another node holds the lease.
    HeldByOther,
    /// Nobody holds the lease, or it is not known.
    Free,
    /// This node's lease has expired at the service.
    Lost,
}

/// What the host carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderEffect {
    /// Request a lease and write `orders/holder` with it if the key does not exist.
    Acquire,
    /// Keep the lease alive.
    Renew,
    /// Read the server's state.
    Read {
        /// Name of the server.
        server: String,
    },
    /// Send an order; the host gives up after `ORDER_TIMEOUT`.
    Send {
        /// Name of the server.
        server: String,
        /// The fencing token.
        fencing: u64,
        /// The wanted state.
        order: EngineWeights,
    },
}
