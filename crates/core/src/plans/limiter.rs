//! Enforces the limits of all plans at one entry, and borrows and lends units.

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

/// Time between two ticks, which send loan requests, while a plan needs or has loans. The requests
/// of all plans to one lender are sent in one message.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two requests for a missing confirmation.
pub(super) const MAX_CONFIRM_INTERVAL: Duration = Duration::from_secs(1);
/// First time between two requests for confirmations; doubled up to [`MAX_CONFIRM_INTERVAL`]. With
/// one second from the start, entries that started together lent nothing for up to 2 s.
pub(super) const FIRST_CONFIRM_INTERVAL: Duration = Duration::from_millis(50);

/// The units that a request has reserved, to be settled when it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanReservation {
    /// Plan whose units are reserved.
    pub plan: PlanId,
    /// When the units were reserved.
    pub at: ClockTime,
    /// Number of reserved tokens.
    pub tokens: u64,
    /// Whether a stream unit was reserved.
    pub stream: bool,
}

/// Why a request was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlanRejection {
    /// The limit that is reached.
    pub limit: LimitKind,
    /// Time after which the caller may try again.
    pub retry_after: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LimiterTimer {
    /// Send the loan requests that are due.
    Tick,
    /// Request missing confirmations.
    Confirm,
    /// Stop waiting for confirmations of a node whose VM was removed.
    RemoveNode(NodeId),
}

/// Enforces the limits of all plans at one entry.
#[derive(Debug, Clone)]
pub struct PlanLimiter {
    pub(super) own: NodeIncarnation,
    /// Until when the base units of each limit must not be used, because an earlier incarnation of
    /// this entry may have used or lent them.
    pub(super) quarantine: [ClockTime; 3],
    /// Active list version; 0 before the first one.
    pub(super) version: u64,
    /// Entries in the active list version.
    pub(super) entries: BTreeSet<NodeId>,
    pub(super) plans: HashMap<PlanId, PlanState>,
    /// Versions and plans of which this entry still uses or lends units that it lost.
    pub(super) pending_reductions: Vec<(u64, PlanId)>,
    /// Latest incarnation of each entry that sent a message. Messages of earlier ones are dropped.
    latest_incarnations: HashMap<NodeId, IncarnationId>,
    /// When the last requests were sent to each lender. Only the answer to these counts.
    last_sent: HashMap<NodeId, ClockTime>,
    /// When each borrower sent its last requests, on the borrower's clock.
    last_received: HashMap<NodeId, ClockTime>,
    pub(super) timers: TimerQueue<LimiterTimer>,
    tick_scheduled: bool,
    pub(super) confirm_scheduled: bool,
    /// Time between the next request for confirmations and the one after it.
    pub(super) confirm_interval: Duration,
    last_tick: ClockTime,
    draining: bool,
}

impl PlanLimiter {
    /// Creates the limiter of a new incarnation, without a list version. Its base units are in
    /// quarantine, because an earlier incarnation may have used or lent them.
    pub fn start(now: ClockTime, own: NodeIncarnation) -> PlanLimiter {
        let quarantine = LimitKind::ALL.map(|kind| match kind {
            // Streams of an earlier incarnation ended with its process, and borrowers report the
            // stream units that they hold.
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

    /// Creates the limiter of an incarnation without a quarantine. For nodes of which no earlier
    /// incarnation can have used or lent units that still count, such as on a new VM.
    pub fn start_without_quarantine(own: NodeIncarnation) -> PlanLimiter {
        PlanLimiter { quarantine: [ClockTime::ZERO; 3], ..PlanLimiter::start(ClockTime::ZERO, own) }
    }

    /// Reserves the units of a request: one request, `tokens`, and one stream if `stream` is set.
    ///
    /// # Errors
    ///
    /// The first limit that is reached, or the limit of requests for a plan that is not in the
    /// lists.
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

    /// Ends a request that used `tokens`, and gives back what it did not use. Tokens above the
    /// reservation count from now on. They can exceed the limit, so callers should reserve an upper
    /// bound.
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

    /// Handles that the VM of an entry no longer exists: stops waiting for its confirmations once
    /// its loans and streams must have ended. Not for an entry that is only unreachable.
    pub fn on_vm_removed(&mut self, now: ClockTime, node: NodeId) {
        let wait = with_drift_margin(LOAN_DURATION + LimitKind::Streams.window());
        self.timers.schedule(now + wait, LimiterTimer::RemoveNode(node));
    }

    /// Stops borrowing, and from then on lends all units that are not in use.
    pub fn drain(&mut self, now: ClockTime) {
        self.draining = true;
        self.schedule_tick(now);
    }

    /// Returns when [`PlanLimiter::on_timer`] is to be called next.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Returns the units and use of a plan, for the status page; zero for an unknown plan.
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

    /// Records the sender's incarnation. Returns whether its message is to be handled: not if a
    /// later incarnation of that entry has sent one before.
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

    /// Schedules a tick, unless one is scheduled.
    fn schedule_tick(&mut self, now: ClockTime) {
        if !self.tick_scheduled {
            self.tick_scheduled = true;
            // Without a recent tick the next one is due at once, so that a restarted entry borrows
            // immediately.
            let due = if now.since(self.last_tick) >= TICK_INTERVAL {
                now
            } else {
                self.last_tick + TICK_INTERVAL
            };
            self.timers.schedule(due, LimiterTimer::Tick);
        }
    }

    /// Answers the loan requests of a borrower, which it sent at `sent_at` on its own clock.
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
        // A restarted entry asks only listed entries which loans they have from it, so no other
        // entry may get any.
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

    /// Handles the answers of a lender to the requests that were sent at `requested_at`.
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
                // The lender may have granted units that it loses in the version active here.
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

    /// Sends the loan requests of all plans that are due, in one message for each lender.
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
