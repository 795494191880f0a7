//! One plan at one entry.

use super::{
    LimitKind, PlanId, PlanLimits, ShareAsk,
    kind::KindShare,
    steps::{PlanSteps, ShareStep},
};
use crate::{clock::ClockTime, ids::NodeId};

/// Shares, steps and loans of one plan.
#[derive(Debug, Clone)]
pub(super) struct PlanState {
    pub steps: PlanSteps,
    /// Home entries of the active version with their shares, in the plan's order.
    pub homes: Vec<(NodeId, [u64; 3])>,
    pub kinds: [KindShare; 3],
}

impl PlanState {
    pub fn new() -> PlanState {
        let kinds = LimitKind::ALL.map(KindShare::new);
        PlanState { steps: PlanSteps::new(), homes: Vec::new(), kinds }
    }

    /// Home entries of the active version that lose units to the homes of the next.
    pub fn losers(&self, next: &[(NodeId, [u64; 3])]) -> Vec<NodeId> {
        let share =
            |node| next.iter().find(|(home, _)| *home == node).map_or([0; 3], |home| home.1);
        let loses = |(node, old): &&(NodeId, [u64; 3])| {
            old.iter().zip(share(*node)).any(|(old, new)| *old > new)
        };
        self.homes.iter().filter(loses).map(|(node, _)| *node).collect()
    }

    /// Puts the shares of a version into use. Returns whether this entry loses units.
    pub fn change(
        &mut self,
        own: NodeId,
        version: u64,
        homes: Vec<(NodeId, [u64; 3])>,
        mut awaited: Vec<NodeId>,
        (skipped, restart): (bool, bool),
    ) -> bool {
        let base = homes.iter().find(|(node, _)| *node == own).map_or([0; 3], |home| home.1);
        let latest = self.steps.latest();
        let loses = latest.iter().zip(base).any(|(old, new)| *old > new);
        let same = latest == base && self.homes == homes;
        self.homes = homes;
        awaited.retain(|node| *node != own);
        // A loan from before may be more than the lender has in this version.
        self.kinds.iter_mut().for_each(KindShare::drop_loans);
        if skipped {
            // A version in between may have given all units of this entry to others.
            let awaited = Vec::new();
            self.steps.push(ShareStep { version, base: [0; 3], awaited, restart: false });
        }
        if !same || skipped {
            self.steps.push(ShareStep { version, base, awaited, restart });
        }
        // A new life has no use yet that a version could end.
        !restart && (loses || skipped)
    }

    /// Whether the plan is in the active version with these limits.
    pub fn has_limits(&self, limits: &PlanLimits) -> bool {
        !self.homes.is_empty()
            && LimitKind::ALL
                .iter()
                .all(|kind| self.kinds[kind.index()].amount == limits.amount(*kind))
    }

    /// Sets the usable base units at `now`.
    pub fn refresh(&mut self, now: ClockTime, quarantine: &[ClockTime; 3]) {
        let usable = self.steps.usable();
        for (index, kind) in self.kinds.iter_mut().enumerate() {
            kind.base = if now >= quarantine[index] { usable[index] } else { 0 };
        }
    }

    pub fn is_active(&mut self, now: ClockTime, draining: bool) -> bool {
        self.kinds.iter_mut().any(|kind| kind.is_active(now, draining))
    }

    /// Whether nothing has to be kept of a plan that left the lists.
    pub fn is_idle(&mut self, now: ClockTime) -> bool {
        self.homes.is_empty()
            && self.steps.is_settled()
            && self.kinds.iter_mut().all(|kind| kind.is_idle(now))
    }

    /// Statements and requests of all limits.
    pub fn asks(
        &mut self,
        now: ClockTime,
        own: NodeId,
        plan: PlanId,
        draining: bool,
    ) -> Vec<(NodeId, ShareAsk)> {
        let others = self.homes.iter().map(|(node, _)| *node).filter(|node| *node != own);
        let lenders: Vec<NodeId> = others.collect();
        let mut asks = Vec::new();
        for kind in LimitKind::ALL {
            let make = |hold, more, short| ShareAsk { plan, kind, hold, more, short };
            self.kinds[kind.index()].asks(now, &lenders, draining, &mut asks, make);
        }
        asks
    }

    /// Renewals to lenders to which a statement goes anyway.
    pub fn renewals(
        &mut self,
        now: ClockTime,
        plan: PlanId,
        lenders: impl Fn(NodeId) -> bool,
    ) -> Vec<(NodeId, ShareAsk)> {
        let mut asks = Vec::new();
        for kind in LimitKind::ALL {
            let make = |hold, more, short| ShareAsk { plan, kind, hold, more, short };
            self.kinds[kind.index()].renew_with(now, &lenders, &mut asks, make);
        }
        asks
    }
}
