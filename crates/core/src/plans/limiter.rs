//! The share ledger of one entry: all plans, all limits.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use super::{
    LimitKind, LimiterEffect, LimiterMessage, LoanGrant, LoanRequest, PlanId, PlanUsage,
    messages::{LOAN_DURATION, sender_of, with_drift_margin},
    state::PlanState,
};
use crate::{
    clock::{ClockTime, TimerQueue},
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

/// Time between two looks at loans while there is demand for them. Statements of all plans to
/// one entry travel in one message.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two requests for a missing confirmation.
pub(super) const MAX_CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// First pause between requests for confirmations; doubled up to [`MAX_CONFIRM_INTERVAL`]. With a second
/// from the start, entries that started together lent nothing for up to 2 s.
pub(super) const FIRST_CONFIRM_INTERVAL: Duration = Duration::from_millis(50);

/// A use to settle at the request's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanReservation {
    /// The plan.
    pub plan: PlanId,
    /// When the use was recorded.
    pub at: ClockTime,
    /// Tokens reserved.
    pub tokens: u64,
    /// Whether a stream unit is held.
    pub stream: bool,
}

/// Why a request may not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanRejection {
    /// The limit that is reached.
    pub limit: LimitKind,
    /// Time after which the caller may try again.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LimiterTimer {
    Tick,
    Confirm,
    RemoveNode(NodeId),
}

/// Shares of all plans at one entry.
#[derive(Debug, Clone)]
pub struct PlanLimiter {
    pub(super) own: NodeIncarnation,
    /// Base units of each limit are unusable before, because an earlier life of this entry may
    /// have spent or lent them.
    pub(super) quarantine: [ClockTime; 3],
    pub(super) version: u64,
    pub(super) entries: BTreeSet<NodeId>,
    pub(super) plans: HashMap<PlanId, PlanState>,
    /// Versions with a reduction that is not complete here.
    pub(super) pending_reductions: Vec<(u64, PlanId)>,
    /// Highest life seen of each entry; messages of earlier lives are dropped.
    latest_incarnations: HashMap<NodeId, IncarnationId>,
    /// Time of the last requests to each lender; only the answer to these counts.
    last_sent: HashMap<NodeId, ClockTime>,
    /// Time (borrower's clock) of the last requests from each borrower.
    last_received: HashMap<NodeId, ClockTime>,
    pub(super) timers: TimerQueue<LimiterTimer>,
    tick_scheduled: bool,
    pub(super) confirm_scheduled: bool,
    /// Pause before the next request for confirmations.
    pub(super) confirm_interval: Duration,
    last_tick: ClockTime,
    draining: bool,
}

impl PlanLimiter {
    /// Starts a life without a list version.
    pub fn start(now: ClockTime, own: NodeIncarnation) -> PlanLimiter {
        let quarantine = LimitKind::ALL.map(|kind| match kind {
            // Streams of an earlier life ended with it; loans are reported by their borrowers.
            LimitKind::Streams => now + with_drift_margin(LOAN_DURATION),
            _ => now + with_drift_margin(LOAN_DURATION + kind.window()),
        });
        PlanLimiter {
            own,
            quarantine,
            version: 0,
            entries: BTreeSet::new(),
            plans: HashMap::new(),
            pending_reductions: Vec::new(),
            latest_incarnations: HashMap::new(),
            last_sent: HashMap::new(),
            last_received: HashMap::new(),
            timers: TimerQueue::new(),
            tick_scheduled: false,
            confirm_scheduled: false,
            confirm_interval: FIRST_CONFIRM_INTERVAL,
            last_tick: ClockTime::ZERO,
            draining: false,
        }
    }

    /// Starts a life of a node of which no earlier life can have spent or lent units that still
    /// count, such as the first of a new VM. It has no quarantine.
    pub fn start_without_quarantine(own: NodeIncarnation) -> PlanLimiter {
        PlanLimiter { quarantine: [ClockTime::ZERO; 3], ..PlanLimiter::start(ClockTime::ZERO, own) }
    }

    /// Takes a request's use, or names the limit that is reached.
    pub fn try_reserve(
        &mut self,
        now: ClockTime,
        plan: PlanId,
        tokens: u64,
        stream: bool,
    ) -> Result<PlanReservation, PlanRejection> {
        let quarantine = self.quarantine;
        let Some(state) = self.plans.get_mut(&plan) else {
            return Err(PlanRejection { limit: LimitKind::Requests, retry_after: LOAN_DURATION });
        };
        state.update_base(now, &quarantine);
        let amounts = [1, tokens, u64::from(stream)];
        let refused = LimitKind::ALL
            .into_iter()
            .find(|kind| !state.shares[kind.index()].admits(now, amounts[kind.index()]));
        let result = match refused {
            Some(limit) => {
                let index = limit.index();
                let retry_after = state.shares[index].retry_after(now, amounts[index]);
                Err(PlanRejection { limit, retry_after })
            }
            None => {
                for kind in LimitKind::ALL {
                    state.shares[kind.index()].record_use(now, amounts[kind.index()]);
                }
                Ok(PlanReservation { plan, at: now, tokens, stream })
            }
        };
        if !self.tick_scheduled && state.is_active(now, self.draining) {
            self.schedule_tick(now);
        }
        result
    }

    /// Ends a request that used `tokens`. A use above the reservation counts from now on; it can
    /// exceed the limit by itself, so callers reserve an upper bound.
    pub fn settle(&mut self, now: ClockTime, reservation: PlanReservation, tokens: u64) {
        let Some(state) = self.plans.get_mut(&reservation.plan) else { return };
        let unused = reservation.tokens.saturating_sub(tokens);
        state.shares[LimitKind::Tokens.index()].refund(now, reservation.at, unused);
        let extra = tokens.saturating_sub(reservation.tokens);
        if extra > 0 {
            state.shares[LimitKind::Tokens.index()].record_use(now, extra);
        }
        if reservation.stream {
            state.shares[LimitKind::Streams.index()].refund(now, reservation.at, 1);
        }
    }

    /// Stops waiting for an entry whose VM no longer exists. Not for an unreachable one.
    pub fn on_vm_removed(&mut self, now: ClockTime, node: NodeId) {
        let wait = with_drift_margin(LOAN_DURATION + LimitKind::Streams.window());
        self.timers.schedule(now + wait, LimiterTimer::RemoveNode(node));
    }

    /// Stops borrowing and lends everything unused.
    pub fn drain(&mut self, now: ClockTime) {
        self.draining = true;
        self.schedule_tick(now);
    }

    /// Time of the next timer.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Units and use of a plan, for the status page.
    pub fn usage(&mut self, now: ClockTime, plan: PlanId) -> PlanUsage {
        let quarantine = self.quarantine;
        let Some(state) = self.plans.get_mut(&plan) else { return PlanUsage::default() };
        state.update_base(now, &quarantine);
        PlanUsage {
            used: LimitKind::ALL.map(|kind| state.shares[kind.index()].used(now)),
            cap: LimitKind::ALL.map(|kind| state.shares[kind.index()].cap(now)),
            lent: LimitKind::ALL.map(|kind| state.shares[kind.index()].lent(now)),
        }
    }

    /// Handles due timers.
    pub fn on_timer(&mut self, now: ClockTime) -> Vec<LimiterEffect> {
        let mut effects = Vec::new();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                LimiterTimer::Tick => self.tick(now, &mut effects),
                LimiterTimer::Confirm => self.request_confirms(now, &mut effects),
                LimiterTimer::RemoveNode(node) => {
                    self.plans.values_mut().for_each(|state| state.versions.stop_awaiting(node));
                }
            }
        }
        effects
    }

    /// Handles a message of another entry.
    pub fn on_message(
        &mut self,
        now: ClockTime,
        from: NodeId,
        message: LimiterMessage,
    ) -> Vec<LimiterEffect> {
        if !self.accept_incarnation(sender_of(from, &message)) {
            return Vec::new();
        }
        let own = self.own.incarnation;
        match message {
            LimiterMessage::LoanRequests { incarnation, sent_at, requests } => {
                let borrower = NodeIncarnation { node: from, incarnation };
                self.on_loan_requests(now, borrower, sent_at, &requests)
            }
            LimiterMessage::LoanGrants { to, requested_at, version, grants, .. } if to == own => {
                self.on_loan_grants(now, from, (requested_at, version), &grants)
            }
            LimiterMessage::ConfirmRequest { incarnation, .. } => {
                vec![self.confirm(now, from, incarnation)]
            }
            LimiterMessage::Confirm {
                incarnation,
                to,
                active_version,
                reduced_version,
                streams,
            } if to == own => {
                let borrower = NodeIncarnation { node: from, incarnation };
                self.on_confirm(now, borrower, active_version, reduced_version, &streams);
                Vec::new()
            }
            LimiterMessage::LoanGrants { .. } | LimiterMessage::Confirm { .. } => Vec::new(),
        }
    }

    /// Notes the sender's life; false for an earlier life than one seen.
    fn accept_incarnation(&mut self, peer: NodeIncarnation) -> bool {
        let known = self.latest_incarnations.entry(peer.node).or_insert(peer.incarnation);
        if peer.incarnation < *known {
            return false;
        }
        if peer.incarnation > *known {
            *known = peer.incarnation;
            self.last_received.remove(&peer.node);
            for state in self.plans.values_mut() {
                state
                    .shares
                    .iter_mut()
                    .for_each(|share| share.on_new_incarnation(peer.node, peer.incarnation));
            }
        }
        true
    }

    fn schedule_tick(&mut self, now: ClockTime) {
        if !self.tick_scheduled {
            self.tick_scheduled = true;
            // At once after a quiet time, so that a restarted entry borrows immediately.
            let due = if now.since(self.last_tick) >= TICK_INTERVAL {
                now
            } else {
                self.last_tick + TICK_INTERVAL
            };
            self.timers.schedule(due, LimiterTimer::Tick);
        }
    }

    fn on_loan_requests(
        &mut self,
        now: ClockTime,
        borrower: NodeIncarnation,
        sent_at: ClockTime,
        requests: &[LoanRequest],
    ) -> Vec<LimiterEffect> {
        if self.last_received.get(&borrower.node).is_some_and(|last| *last >= sent_at) {
            return Vec::new();
        }
        self.last_received.insert(borrower.node, sent_at);
        // A restarted entry asks the listed entries for its loans, so no other may have any.
        let may_lend = self.entries.contains(&borrower.node);
        let mut grants = Vec::new();
        for request in requests {
            let Some(state) = self.plans.get_mut(&request.plan) else { continue };
            state.update_base(now, &self.quarantine);
            let share = &mut state.shares[request.kind.index()];
            let (amount, extended) = share.grant(now, borrower, request, may_lend, self.draining);
            grants.push(LoanGrant { plan: request.plan, kind: request.kind, amount, extended });
        }
        let incarnation = self.own.incarnation;
        let to = borrower.incarnation;
        let (requested_at, version) = (sent_at, self.version);
        let message = LimiterMessage::LoanGrants { incarnation, to, requested_at, version, grants };
        vec![LimiterEffect::Send { to: borrower.node, message }]
    }

    fn on_loan_grants(
        &mut self,
        now: ClockTime,
        from: NodeId,
        (requested_at, version): (ClockTime, u64),
        grants: &[LoanGrant],
    ) -> Vec<LimiterEffect> {
        if self.last_sent.get(&from) != Some(&requested_at) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for grant in grants {
            let Some(state) = self.plans.get_mut(&grant.plan) else { continue };
            if version < state.versions.version() {
                // The lender may still count units that this version takes away.
                continue;
            }
            let share = &mut state.shares[grant.kind.index()];
            let received = share.on_grant(now, from, requested_at, grant.amount, grant.extended);
            let effect = LimiterEffect::UnitsReceived(grant.plan);
            if received && !effects.contains(&effect) {
                effects.push(effect);
            }
        }
        effects
    }

    fn tick(&mut self, now: ClockTime, effects: &mut Vec<LimiterEffect>) {
        self.tick_scheduled = false;
        self.last_tick = now;
        let mut batches: BTreeMap<NodeId, Vec<LoanRequest>> = BTreeMap::new();
        let mut active = false;
        for (&plan, state) in &mut self.plans {
            state.update_base(now, &self.quarantine);
            if !state.is_active(now, self.draining) {
                continue;
            }
            active = true;
            for (to, request) in state.loan_requests(now, self.own.node, plan, self.draining) {
                batches.entry(to).or_default().push(request);
            }
        }
        for (&plan, state) in &mut self.plans {
            for (to, request) in state.renewals(now, plan, |lender| batches.contains_key(&lender)) {
                batches.entry(to).or_default().push(request);
            }
        }
        for (to, requests) in batches {
            self.last_sent.insert(to, now);
            let message = LimiterMessage::LoanRequests {
                incarnation: self.own.incarnation,
                sent_at: now,
                requests,
            };
            effects.push(LimiterEffect::Send { to, message });
        }
        if active {
            self.schedule_tick(now);
        }
    }
}
