//! Activates list versions, which set the units of each plan at this entry.

use std::collections::BTreeSet;

use super::{LimitKind, PlanId, home_entries, home_share, limiter::PlanLimiter, state::PlanState};
use crate::{clock::ClockTime, ids::NodeId, lists::ListDocument};

impl PlanLimiter {
    /// Activates a list version. Versions may be skipped; a version that is not later than the
    /// active one is ignored.
    pub fn apply(&mut self, now: ClockTime, version: u64, document: &ListDocument) {
        if version <= self.version {
            return;
        }
        let restart = self.version == 0;
        let skipped = version != self.version + 1;
        self.version = version;
        let entries = document.entries.values().map(|entry| entry.node).collect();
        let entries_changed = std::mem::replace(&mut self.entries, entries) != self.entries;
        let mut listed = BTreeSet::new();
        for (name, plan) in &document.plans {
            let id = PlanId::from_name(name);
            listed.insert(id);
            let unchanged =
                self.plans.get(&id).is_some_and(|state| state.matches_limits(&plan.limits));
            if unchanged && !entries_changed && !skipped {
                // Most versions change neither limits nor entries, so the homes are the same.
                continue;
            }
            let homes = home_entries(document, name);
            let count = homes.len();
            let share = |(position, home)| (home, home_share(&plan.limits, count, position));
            let homes = homes.into_iter().enumerate().map(share).collect();
            self.apply_plan(version, id, homes, restart || skipped, restart);
            let state = self.plans.get_mut(&id).expect("inserted above");
            for kind in LimitKind::ALL {
                state.shares[kind.index()].amount = plan.limits.amount(kind);
            }
        }
        let removed = self.plans.keys().copied().filter(|id| !listed.contains(id));
        for id in removed.collect::<Vec<_>>() {
            self.apply_plan(version, id, Vec::new(), false, false);
            let state = self.plans.get_mut(&id).expect("inserted above");
            state.shares.iter_mut().for_each(|share| share.amount = 0);
        }
        self.plans.retain(|id, state| listed.contains(id) || !state.is_idle(now));
        self.schedule_confirm_requests(now);
    }

    /// Activates the shares of one plan in a list version. `homes` is empty for a plan that the
    /// version does not contain; `skipped` says that all entries have to confirm the version.
    fn apply_plan(
        &mut self,
        version: u64,
        id: PlanId,
        homes: Vec<(NodeId, [u64; 3])>,
        skipped: bool,
        restart: bool,
    ) {
        let state = self.plans.entry(id).or_insert_with(PlanState::new);
        let awaited = match skipped {
            // Skipped versions may have moved units to any entry.
            true => self.entries.iter().copied().collect(),
            false => state.nodes_losing_units(&homes),
        };
        if state.apply_version(self.own.node, version, homes, awaited, (skipped, restart)) {
            self.pending_reductions.push((version, id));
        }
    }
}
