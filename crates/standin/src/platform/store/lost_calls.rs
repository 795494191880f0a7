//! Calls to the simulated store that get no answer, and writes that are carried out late.

use super::{StoreCore, StoreHandle, handlers::TransactBody};

/// Calls that get no answer.
#[derive(Debug, Default)]
pub(super) struct LostCalls {
    /// The next transaction that writes this key is held back.
    held_key: Option<String>,
    /// A transaction that was held back.
    held_write: Option<TransactBody>,
    /// Number of renewals that are lost before they are carried out.
    renewals: u32,
}

impl StoreCore {
    /// Holds a transaction back if it writes the key for which that was asked. Returns it otherwise.
    pub(super) fn hold_back(&mut self, body: TransactBody) -> Option<TransactBody> {
        let key = self.lost_calls.held_key.take_if(|key| body.writes_key(key));
        if key.is_none() {
            return Some(body);
        }
        self.lost_calls.held_write = Some(body);
        None
    }

    /// Takes one renewal off those that are to be lost. Returns whether there was one.
    pub(super) fn loses_renewal(&mut self) -> bool {
        let left = self.lost_calls.renewals;
        self.lost_calls.renewals = left.saturating_sub(1);
        left > 0
    }
}

impl StoreHandle {
    /// Holds the next transaction back that writes `key`. It gets no answer.
    pub fn hold_next_write(&self, key: &str) {
        self.shared.change(|core| core.lost_calls.held_key = Some(key.to_string()));
    }

    /// Whether a transaction is held back.
    pub fn holds_write(&self) -> bool {
        crate::util::lock(&self.shared.core).lost_calls.held_write.is_some()
    }

    /// Carries out the transaction that was held back, if its conditions hold now. Returns whether they
    /// did.
    pub fn carry_out_held_write(&self) -> bool {
        self.shared.change(|core| {
            core.expire_leases();
            let held = core.lost_calls.held_write.take();
            held.is_some_and(|body| core.carry_out(body).is_ok())
        })
    }

    /// Loses the next renewals: they are not carried out and get no answer.
    pub fn lose_next_renewals(&self, count: u32) {
        self.shared.change(|core| core.lost_calls.renewals = count);
    }
}
