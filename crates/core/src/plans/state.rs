//! State of one plan at one entry.

use super::{
    LimitKind, LoanRequest, PlanId, PlanLimits,
    limit_share::LimitShare,
    share_versions::{ShareVersion, ShareVersions},
};
use crate::{clock::ClockTime, ids::NodeId};

/// Units, loans and pending list versions of one plan.
#[derive(Debug, Clone)]
pub(super) struct PlanState {
    /// Base units of this entry in all list versions that still count.
    pub versions: ShareVersions,
    /// Home entries in the active version with their shares, best first.
    pub homes: Vec<(NodeId, [u64; 3])>,
    /// Units of each limit, in the order of [`LimitKind::ALL`].
    pub shares: [LimitShare; 3],
}

impl PlanState {
    pub fn new() -> PlanState {
        let shares = LimitKind::ALL.map(LimitShare::new);
        PlanState { versions: ShareVersions::new(), homes: Vec::new(), shares }
    }

    /// Returns the home entries that have fewer units in the `next` version than in the active one.
    pub fn nodes_losing_units(&self, next: &[(NodeId, [u64; 3])]) -> Vec<NodeId> {
        let share =
            |node| next.iter().find(|(home, _)| *home == node).map_or([0; 3], |home| home.1);
        let loses = |(node, old): &&(NodeId, [u64; 3])| {
            old.iter().zip(share(*node)).any(|(old, new)| *old > new)
        };
        self.homes.iter().filter(loses).map(|(node, _)| *node).collect()
    }

    /// Activates the shares of a list version. Returns whether this entry has units to give up.
    ///
    /// `awaited` are the entries that must confirm the version, `skipped` says that versions before
    /// it were not seen here, and `restart` that it is the first one after a start of the process.
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
        // A loan from before may exceed what the lender has in this version.
        self.shares.iter_mut().for_each(LimitShare::expire_loans);
        if skipped {
            // A skipped version may have moved all units of this entry to others.
            let awaited = Vec::new();
            self.versions.push(ShareVersion { version, base: [0; 3], awaited, restart: false });
        }
        if !same || skipped {
            self.versions.push(ShareVersion { version, base, awaited, restart });
        }
        // After a start this process has not used or lent any units yet.
        !restart && (loses || skipped)
    }

    /// Whether the active version contains the plan with these limits.
    pub fn matches_limits(&self, limits: &PlanLimits) -> bool {
        !self.homes.is_empty()
            && LimitKind::ALL
                .iter()
                .all(|kind| self.shares[kind.index()].amount == limits.amount(*kind))
    }

    /// Sets the base units that are usable at `now`; none before the end of the quarantine.
    pub fn update_base(&mut self, now: ClockTime, quarantine: &[ClockTime; 3]) {
        let usable = self.versions.usable();
        for (index, share) in self.shares.iter_mut().enumerate() {
            share.base = if now >= quarantine[index] { usable[index] } else { 0 };
        }
    }

    /// Whether one of the limits needs a tick.
    pub fn is_active(&mut self, now: ClockTime, draining: bool) -> bool {
        self.shares.iter_mut().any(|share| share.is_active(now, draining))
    }

    /// Whether the state of a plan that was removed from the lists can be dropped.
    pub fn is_idle(&mut self, now: ClockTime) -> bool {
        self.homes.is_empty()
            && self.versions.is_confirmed()
            && self.shares.iter_mut().all(|share| share.is_idle(now))
    }

    /// Returns the loan requests of all limits that are due, with their lenders.
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

    /// Returns loan renewals for lenders to which a message is sent in any case.
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
