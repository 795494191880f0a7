//! One plan at one entry.

use super::{
    LimitKind, LoanRequest, PlanId, PlanLimits,
    limit_share::LimitShare,
    share_versions::{ShareVersion, ShareVersions},
};
use crate::{clock::ClockTime, ids::NodeId};

/// Shares, steps and loans of one plan.
#[derive(Debug, Clone)]
pub(super) struct PlanState {
    pub versions: ShareVersions,
    /// Home entries of the active version with their shares, in the plan's order.
    pub homes: Vec<(NodeId, [u64; 3])>,
    pub shares: [LimitShare; 3],
}

impl PlanState {
    pub fn new() -> PlanState {
        let shares = LimitKind::ALL.map(LimitShare::new);
        PlanState { versions: ShareVersions::new(), homes: Vec::new(), shares }
    }

    /// Home entries of the active version that lose units to the homes of the next.
    pub fn nodes_losing_units(&self, next: &[(NodeId, [u64; 3])]) -> Vec<NodeId> {
        let share =
            |node| next.iter().find(|(home, _)| *home == node).map_or([0; 3], |home| home.1);
        let loses = |(node, old): &&(NodeId, [u64; 3])| {
            old.iter().zip(share(*node)).any(|(old, new)| *old > new)
        };
        self.homes.iter().filter(loses).map(|(node, _)| *node).collect()
    }

    /// Puts the shares of a version into use. Returns whether this entry loses units.
    pub fn apply_version(
        &mut self,
        own: NodeId,
        version: u64,
        homes: Vec<(NodeId, [u64; 3])>,
        mut awaited: Vec<NodeId>,
        (skipped, restart): (bool, bool),
    ) -> bool {
        let base = homes.iter().find(|(node, _)| *node == own).map_or([0; 3], |home| home.1);
        let latest = self.versions.latest();
        let loses = latest.iter().zip(base).any(|(old, new)| *old > new);
        let same = latest == base && self.homes == homes;
        self.homes = homes;
        awaited.retain(|node| *node != own);
        // A loan from before may be more than the lender has in this version.
        self.shares.iter_mut().for_each(LimitShare::expire_loans);
        if skipped {
            // A version in between may have given all units of this entry to others.
            let awaited = Vec::new();
            self.versions.push(ShareVersion { version, base: [0; 3], awaited, restart: false });
        }
        if !same || skipped {
            self.versions.push(ShareVersion { version, base, awaited, restart });
        }
        // A new life has no use yet that a version could end.
        !restart && (loses || skipped)
    }

    /// Whether the plan is in the active version with these limits.
    pub fn matches_limits(&self, limits: &PlanLimits) -> bool {
        !self.homes.is_empty()
            && LimitKind::ALL
                .iter()
                .all(|kind| self.shares[kind.index()].amount == limits.amount(*kind))
    }

    /// Sets the usable base units at `now`.
    pub fn update_base(&mut self, now: ClockTime, quarantine: &[ClockTime; 3]) {
        let usable = self.versions.usable();
        for (index, share) in self.shares.iter_mut().enumerate() {
            share.base = if now >= quarantine[index] { usable[index] } else { 0 };
        }
    }

    pub fn is_active(&mut self, now: ClockTime, draining: bool) -> bool {
        self.shares.iter_mut().any(|share| share.is_active(now, draining))
    }

    /// Whether nothing has to be kept of a plan that left the lists.
    pub fn is_idle(&mut self, now: ClockTime) -> bool {
        self.homes.is_empty()
            && self.versions.is_confirmed()
            && self.shares.iter_mut().all(|share| share.is_idle(now))
    }

    /// Statements and requests of all limits.
    pub fn loan_requests(
        &mut self,
        now: ClockTime,
        own: NodeId,
        plan: PlanId,
        draining: bool,
    ) -> Vec<(NodeId, LoanRequest)> {
        let others = self.homes.iter().map(|(node, _)| *node).filter(|node| *node != own);
        let lenders: Vec<NodeId> = others.collect();
        let mut requests = Vec::new();
        for kind in LimitKind::ALL {
            let make_request = |held, additional, had_refusals| LoanRequest {
                plan,
                kind,
                held,
                additional,
                had_refusals,
            };
            self.shares[kind.index()].loan_requests(
                now,
                &lenders,
                draining,
                &mut requests,
                make_request,
            );
        }
        requests
    }

    /// Renewals to lenders to which a statement goes anyway.
    pub fn renewals(
        &mut self,
        now: ClockTime,
        plan: PlanId,
        lenders: impl Fn(NodeId) -> bool,
    ) -> Vec<(NodeId, LoanRequest)> {
        let mut requests = Vec::new();
        for kind in LimitKind::ALL {
            let make_request = |held, additional, had_refusals| LoanRequest {
                plan,
                kind,
                held,
                additional,
                had_refusals,
            };
            self.shares[kind.index()].batched_renewals(now, &lenders, &mut requests, make_request);
        }
        requests
    }
}
