//! How far an engine is on its way to new weights.

use std::time::Duration;

use crate::clock::ClockTime;

/// Usual time that an engine without requests takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(420);

/// What an engine does with regard to new weights, as the holder of the lease knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadStage {
    /// Gets no new requests; its state is queried at `due`.
    Draining,
    /// Gets no new requests; a state query is in progress.
    QueriedDraining,
    /// Runs no requests, or has drained for the longest time; gets an order next.
    Drained,
    /// An order was sent and has no reply yet.
    Ordered,
    /// A state query is in progress.
    Queried,
    /// Has accepted an order; its state is queried at `due`.
    Loading,
    /// An order or query failed; the state is queried at `due` before any further order.
    Unconfirmed,
    /// Known not to load; may be drained again.
    Idle,
}

/// One engine that drains or loads.
#[derive(Debug, Clone)]
pub(super) struct ServerLoading {
    /// What it does now.
    pub(super) stage: LoadStage,
    /// When the drain began.
    pub(super) since: ClockTime,
    /// When the next state query is due.
    pub(super) due: ClockTime,
    /// When it got its last order.
    pub(super) ordered_at: ClockTime,
    /// Number of orders that the server had accepted when its state was last queried.
    pub(super) sequence: Option<u64>,
}

impl ServerLoading {
    /// Begins a stage whose next step is due at `due`.
    pub(super) fn wait(&mut self, stage: LoadStage, due: ClockTime) {
        self.stage = stage;
        self.due = due;
    }

    /// Whether the server is probably loading. Servers that load at the same time slow each other.
    pub(super) fn is_loading(&self, now: ClockTime) -> bool {
        self.is_ordered() && now.since(self.ordered_at) < LOAD_TIME
    }

    /// Whether the server may be loading because of an order of this node.
    pub(super) fn is_ordered(&self) -> bool {
        matches!(self.stage, LoadStage::Ordered | LoadStage::Queried | LoadStage::Loading)
    }

    /// Whether the server gets no requests because it drains or loads.
    pub(super) fn is_out_of_service(&self) -> bool {
        let draining = matches!(
            self.stage,
            LoadStage::Draining | LoadStage::QueriedDraining | LoadStage::Drained
        );
        draining || self.is_ordered()
    }
}
