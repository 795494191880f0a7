//! Confirmations between ledgers: version changes and restarts.

use super::{
    LimitKind, PlanId, ShareEffect, ShareMessage,
    ledger::{CONFIRM_TIME, FIRST_CONFIRM_TIME, LedgerTimer, ShareLedger},
};
use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

impl ShareLedger {
    /// Highest version whose reductions are complete here.
    pub(super) fn clean_version(&mut self, now: ClockTime) -> u64 {
        let (plans, quarantine) = (&mut self.plans, &self.quarantine);
        self.unclean.retain(|(_, id)| {
            let Some(state) = plans.get_mut(id) else { return false };
            state.refresh(now, quarantine);
            !state.kinds.iter_mut().all(|kind| kind.is_clean(now))
        });
        let first = self.unclean.iter().map(|(version, _)| *version).min();
        first.map_or(self.version, |version| version - 1)
    }

    pub(super) fn confirm(
        &mut self,
        now: ClockTime,
        to: NodeId,
        life: IncarnationId,
    ) -> ShareEffect {
        let clean = self.clean_version(now);
        let streams = self.plans.iter_mut().filter_map(|(id, state)| {
            let held = state.kinds[LimitKind::Streams.index()].held_from(now, to);
            (held > 0).then_some((*id, held))
        });
        let message = ShareMessage::Confirm {
            life: self.life.incarnation,
            to: life,
            running: self.version,
            clean,
            streams: streams.collect(),
        };
        ShareEffect::Send { to, message }
    }

    pub(super) fn on_confirm(
        &mut self,
        now: ClockTime,
        borrower: NodeIncarnation,
        running: u64,
        clean: u64,
        streams: &[(PlanId, u64)],
    ) {
        let own = self.version;
        for (id, state) in &mut self.plans {
            if state.steps.awaits_restart(borrower.node) {
                let held = streams.iter().find(|(plan, _)| plan == id);
                if let Some(&(_, amount)) = held {
                    state.kinds[LimitKind::Streams.index()].adopt(now, borrower, amount);
                }
            }
            state.steps.confirm(borrower.node, running, clean, own);
        }
    }

    pub(super) fn request_confirms(&mut self, now: ClockTime, effects: &mut Vec<ShareEffect>) {
        self.confirm_open = false;
        let states = self.plans.values().filter(|state| !state.steps.is_settled());
        let mut awaited: Vec<NodeId> = states.flat_map(|state| state.steps.awaited()).collect();
        awaited.sort();
        awaited.dedup();
        let message = |life| ShareMessage::ConfirmRequest { life, version: self.version };
        effects.extend(
            awaited
                .iter()
                .map(|&to| ShareEffect::Send { to, message: message(self.life.incarnation) }),
        );
        if !awaited.is_empty() {
            self.confirm_open = true;
            self.timers.schedule(now + self.confirm_pause, LedgerTimer::Confirm);
            self.confirm_pause = (self.confirm_pause * 2).min(CONFIRM_TIME);
        }
    }

    /// An entry can be reached again: a confirmation that waits for it is requested at once.
    pub fn on_joined(&mut self, node: NodeId) -> Vec<ShareEffect> {
        let awaits = |step: NodeId| step == node;
        if !self.plans.values().any(|state| state.steps.awaited().any(awaits)) {
            return Vec::new();
        }
        let life = self.life.incarnation;
        let message = ShareMessage::ConfirmRequest { life, version: self.version };
        vec![ShareEffect::Send { to: node, message }]
    }

    pub(super) fn open_confirm(&mut self, now: ClockTime) {
        self.confirm_pause = FIRST_CONFIRM_TIME;
        if !self.confirm_open {
            self.confirm_open = true;
            self.timers.schedule(now, LedgerTimer::Confirm);
        }
    }
}
