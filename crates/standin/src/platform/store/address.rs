//! What one address of the simulated store does differently from the others.

use std::collections::BTreeMap;

use tokio::sync::watch;

use super::StoreHandle;

/// Settings and counts of one address of the store.
#[derive(Debug)]
pub(super) struct StoreAddress {
    /// Values that the address returns in place of those that the store holds, by their keys.
    values: BTreeMap<String, Vec<u8>>,
    /// Whether answers of watches with changes are held back.
    holds_answers: watch::Sender<bool>,
    /// Number of watches received, and of answers that were held back so far.
    counts: watch::Sender<WatchCounts>,
}

#[derive(Debug, Clone, Copy, Default)]
struct WatchCounts {
    received: u64,
    held: u64,
}

impl StoreAddress {
    /// Creates an address that returns these values in place of those that the store holds.
    pub(super) fn new(values: BTreeMap<String, Vec<u8>>) -> StoreAddress {
        StoreAddress {
            values,
            holds_answers: watch::Sender::default(),
            counts: watch::Sender::default(),
        }
    }

    /// Returns the value in place of that of a key, if there is one.
    pub(super) fn value(&self, key: &str) -> Option<&Vec<u8>> {
        self.values.get(key)
    }

    /// Counts a watch.
    pub(super) fn record_watch(&self) {
        self.counts.send_modify(|counts| counts.received += 1);
    }

    /// Waits while answers are held back.
    pub(super) async fn wait_until_released(&self) {
        if *self.holds_answers.borrow() {
            self.counts.send_modify(|counts| counts.held += 1);
            // Fails only if the sender is dropped; `self` keeps it alive.
            drop(self.holds_answers.subscribe().wait_for(|holds| !holds).await);
        }
    }
}

impl StoreHandle {
    /// Holds back the answers of watches with changes at this address, or lets them go.
    pub fn hold_watch_answers(&self, holds: bool) {
        self.address.holds_answers.send_replace(holds);
    }

    /// Waits until an answer is held back at this address.
    pub async fn wait_for_held_answer(&self) {
        drop(self.address.counts.subscribe().wait_for(|counts| counts.held > 0).await);
    }

    /// Waits until the client at this address has sent another watch, so it has read the answer to the
    /// last one.
    pub async fn wait_for_next_watch(&self) {
        let before = self.address.counts.borrow().received;
        drop(self.address.counts.subscribe().wait_for(|counts| counts.received > before).await);
    }
}
