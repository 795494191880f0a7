//! Applies to the node what its calls show of the platform's store.

use std::time::Duration;

use carobvane_core::{clock::ClockTime, traffic::OutageChange};

use crate::{
    clock,
    fleet::{members::LEASE_LIFETIME, registration::RENEW_INTERVAL},
    node::{Node, NodeState},
    settings::NodeBounds,
};

/// A server's entry lapses after three heartbeats, one of which may have passed before an outage begins.
/// The remaining half of a heartbeat allows for late ones.
const LAPSE_HEARTBEATS: f64 = 1.5;

/// Returns the shortest outage of the store in which entries of servers or nodes may lapse.
pub fn lapse_time(bounds: &NodeBounds) -> Duration {
    let of_servers = bounds.server_heartbeat.mul_f64(LAPSE_HEARTBEATS);
    of_servers.min(LEASE_LIFETIME - RENEW_INTERVAL)
}

impl Node {
    /// Records that the platform's store answered a call of this node. Called before what the answer
    /// brings is applied.
    pub fn on_store_answered(&self) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let change = state.store_outage.on_answer(now);
        state.registry.on_store_call(true);
        state.apply_store_outage(now, change);
    }

    /// Records that a call of this node to the platform's store failed.
    pub fn on_store_call_failed(&self) {
        let now = clock::now();
        let state = &mut *self.state.borrow_mut();
        let change = state.store_outage.on_failure(now);
        state.registry.on_store_call(false);
        state.apply_store_outage(now, change);
    }
}

impl NodeState {
    /// Whether the last call to the platform's store got a reply.
    pub fn is_store_reachable(&self) -> bool {
        self.store_outage.is_reachable()
    }

    /// Whether an outage of the platform's store is on.
    pub fn is_store_away(&self) -> bool {
        self.store_outage.is_away()
    }

    /// Records that the platform's store answered another node at `at`.
    pub fn on_store_answered_other(&mut self, now: ClockTime, at: ClockTime) {
        let change = self.store_outage.on_other_answer(now, at);
        self.apply_store_outage(now, change);
    }

    /// Notices an outage of the platform's store that has become long enough for entries to lapse.
    pub fn check_store_outage(&mut self, now: ClockTime) {
        let change = self.store_outage.check(now);
        self.apply_store_outage(now, change);
    }

    /// During an outage and shortly after it, nodes and servers whose entries vanish are not dropped
    /// at once.
    fn apply_store_outage(&mut self, now: ClockTime, change: Option<OutageChange>) {
        match change {
            None => {}
            Some(OutageChange::Began) => {
                log::warn!(reachable = self.is_store_reachable(); "store is away");
                self.registry.on_store_away();
                self.members.on_store_lost();
            }
            Some(OutageChange::Ended(lasted)) => {
                let away_ms = lasted.as_millis() as u64;
                log::info!(away_ms; "store is back");
                self.registry.on_store_back(now);
                self.members.on_store_back(now);
            }
        }
    }
}
