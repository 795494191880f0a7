//! Confirmations between limiters, after a change of the list version or a restart.

use super::{
    LimitKind, LimiterEffect, LimiterMessage, PlanId,
    limiter::{FIRST_CONFIRM_INTERVAL, LimiterTimer, MAX_CONFIRM_INTERVAL, PlanLimiter},
};
use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

impl PlanLimiter {
    /// Returns the highest list version up to which this entry neither uses nor lends units that a
    /// version took from it.
    pub(super) fn reduced_version(&mut self, now: ClockTime) -> u64 {
        let (plans, quarantine) = (&mut self.plans, &self.quarantine);
        self.pending_reductions.retain(|(_, id)| {
            let Some(state) = plans.get_mut(id) else { return false };
            state.update_base(now, quarantine);
            !state.shares.iter_mut().all(|share| share.has_completed_reductions(now))
        });
        let first = self.pending_reductions.iter().map(|(version, _)| *version).min();
        first.map_or(self.version, |version| version - 1)
    }

    /// Answers a confirm request of the incarnation `incarnation` of `to`.
    pub(super) fn confirm(
        &mut self,
        now: ClockTime,
        to: NodeId,
        incarnation: IncarnationId,
    ) -> LimiterEffect {
        let reduced_version = self.reduced_version(now);
        let streams = self.plans.iter_mut().filter_map(|(id, state)| {
            let held = state.shares[LimitKind::Streams.index()].held_units_from(now, to);
            (held > 0).then_some((*id, held))
        });
        let message = LimiterMessage::Confirm {
            incarnation: self.own.incarnation,
            to: incarnation,
            active_version: self.version,
            reduced_version,
            streams: streams.collect(),
        };
        LimiterEffect::Send { to, message }
    }

    /// Handles a confirmation. After a restart of this entry it also reports the stream units that
    /// `borrower` still holds, which are recorded as lent.
    pub(super) fn on_confirm(
        &mut self,
        now: ClockTime,
        borrower: NodeIncarnation,
        active_version: u64,
        reduced_version: u64,
        streams: &[(PlanId, u64)],
    ) {
        let own = self.version;
        for (id, state) in &mut self.plans {
            if state.versions.awaits_restart(borrower.node) {
                let held = streams.iter().find(|(plan, _)| plan == id);
                if let Some(&(_, amount)) = held {
                    state.shares[LimitKind::Streams.index()].restore_loan(now, borrower, amount);
                }
            }
            state.versions.confirm(borrower.node, active_version, reduced_version, own);
        }
    }

    /// Requests all missing confirmations, and schedules the next request while some are missing.
    pub(super) fn request_confirms(&mut self, now: ClockTime, effects: &mut Vec<LimiterEffect>) {
        self.confirm_scheduled = false;
        let states = self.plans.values().filter(|state| !state.versions.is_confirmed());
        let mut awaited: Vec<NodeId> = states.flat_map(|state| state.versions.awaited()).collect();
        awaited.sort();
        awaited.dedup();
        let message =
            |incarnation| LimiterMessage::ConfirmRequest { incarnation, version: self.version };
        effects.extend(
            awaited
                .iter()
                .map(|&to| LimiterEffect::Send { to, message: message(self.own.incarnation) }),
        );
        if !awaited.is_empty() {
            self.confirm_scheduled = true;
            self.timers.schedule(now + self.confirm_interval, LimiterTimer::Confirm);
            self.confirm_interval = (self.confirm_interval * 2).min(MAX_CONFIRM_INTERVAL);
        }
    }

    /// Handles that an entry can be reached again: requests a missing confirmation of it at once.
    pub fn on_peer_reachable(&mut self, node: NodeId) -> Vec<LimiterEffect> {
        let awaits = |step: NodeId| step == node;
        if !self.plans.values().any(|state| state.versions.awaited().any(awaits)) {
            return Vec::new();
        }
        let incarnation = self.own.incarnation;
        let message = LimiterMessage::ConfirmRequest { incarnation, version: self.version };
        vec![LimiterEffect::Send { to: node, message }]
    }

    /// Schedules requests for confirmations of a version that was just activated.
    pub(super) fn schedule_confirm_requests(&mut self, now: ClockTime) {
        self.confirm_interval = FIRST_CONFIRM_INTERVAL;
        if !self.confirm_scheduled {
            self.confirm_scheduled = true;
            self.timers.schedule(now, LimiterTimer::Confirm);
        }
    }
}
