//! The share ledger of one entry: all plans, all limits.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use super::{
    LimitKind, PlanId, PlanUsage, ShareAsk, ShareEffect, ShareGrant, ShareMessage,
    messages::{LOAN_TIME, life_of, with_margin},
    state::PlanState,
};
use crate::{
    clock::{ClockTime, TimerQueue},
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

/// Time between two looks at loans while there is demand for them. Statements of all plans to
/// one entry travel in one message.
pub const TICK_TIME: Duration = Duration::from_millis(250);
/// Time between two requests for a missing confirmation.
pub(super) const CONFIRM_TIME: Duration = Duration::from_secs(1);
/// First pause between requests for confirmations; doubled up to [`CONFIRM_TIME`]. With a second
/// from the start, entries that started together lent nothing for up to 2 s.
pub(super) const FIRST_CONFIRM_TIME: Duration = Duration::from_millis(50);

/// A use to settle at the request's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SpendTicket {
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
pub(super) enum LedgerTimer {
    Tick,
    Confirm,
    Forget(NodeId),
}

/// Shares of all plans at one entry.
#[derive(Debug, Clone)]
pub struct ShareLedger {
    pub(super) life: NodeIncarnation,
    /// Base units of each limit are unusable before, because an earlier life of this entry may
    /// have spent or lent them.
    pub(super) quarantine: [ClockTime; 3],
    pub(super) version: u64,
    pub(super) entries: BTreeSet<NodeId>,
    pub(super) plans: HashMap<PlanId, PlanState>,
    /// Versions with a reduction that is not complete here.
    pub(super) unclean: Vec<(u64, PlanId)>,
    /// Highest life seen of each entry; messages of earlier lives are dropped.
    lives: HashMap<NodeId, IncarnationId>,
    /// Time of the last asks to each lender; only the answer to these counts.
    asked: HashMap<NodeId, ClockTime>,
    /// Time (borrower's clock) of the last asks from each borrower.
    heard: HashMap<NodeId, ClockTime>,
    pub(super) timers: TimerQueue<LedgerTimer>,
    tick_open: bool,
    pub(super) confirm_open: bool,
    /// Pause before the next request for confirmations.
    pub(super) confirm_pause: Duration,
    last_tick: ClockTime,
    draining: bool,
}

impl ShareLedger {
    /// Starts a life without a list version.
    pub fn start(now: ClockTime, life: NodeIncarnation) -> ShareLedger {
        let quarantine = LimitKind::ALL.map(|kind| match kind {
            // Streams of an earlier life ended with it; loans are reported by their borrowers.
            LimitKind::Streams => now + with_margin(LOAN_TIME),
            _ => now + with_margin(LOAN_TIME + kind.window()),
        });
        ShareLedger {
            life,
            quarantine,
            version: 0,
            entries: BTreeSet::new(),
            plans: HashMap::new(),
            unclean: Vec::new(),
            lives: HashMap::new(),
            asked: HashMap::new(),
            heard: HashMap::new(),
            timers: TimerQueue::new(),
            tick_open: false,
            confirm_open: false,
            confirm_pause: FIRST_CONFIRM_TIME,
            last_tick: ClockTime::ZERO,
            draining: false,
        }
    }

    /// Starts a life of a node of which no earlier life can have spent or lent units that still
    /// count, such as the first of a new VM. It has no quarantine.
    pub fn start_fresh(life: NodeIncarnation) -> ShareLedger {
        ShareLedger {
            quarantine: [ClockTime::ZERO; 3],
            ..ShareLedger::start(ClockTime::ZERO, life)
        }
    }

    /// Takes a request's use, or names the limit that is reached.
    pub fn try_spend(
        &mut self,
        now: ClockTime,
        plan: PlanId,
        tokens: u64,
        stream: bool,
    ) -> Result<SpendTicket, PlanRejection> {
        let quarantine = self.quarantine;
        let Some(state) = self.plans.get_mut(&plan) else {
            return Err(PlanRejection { limit: LimitKind::Requests, retry_after: LOAN_TIME });
        };
        state.refresh(now, &quarantine);
        let amounts = [1, tokens, u64::from(stream)];
        let refused = LimitKind::ALL
            .into_iter()
            .find(|kind| !state.kinds[kind.index()].admits(now, amounts[kind.index()]));
        let result = match refused {
            Some(limit) => {
                let index = limit.index();
                let retry_after = state.kinds[index].retry_after(now, amounts[index]);
                Err(PlanRejection { limit, retry_after })
            }
            None => {
                for kind in LimitKind::ALL {
                    state.kinds[kind.index()].spend(now, amounts[kind.index()]);
                }
                Ok(SpendTicket { plan, at: now, tokens, stream })
            }
        };
        if !self.tick_open && state.is_active(now, self.draining) {
            self.open_tick(now);
        }
        result
    }

    /// Ends a request that used `tokens`. A use above the reservation counts from now on; it can
    /// exceed the limit by itself, so callers reserve an upper bound.
    pub fn settle(&mut self, now: ClockTime, ticket: SpendTicket, tokens: u64) {
        let Some(state) = self.plans.get_mut(&ticket.plan) else { return };
        let unused = ticket.tokens.saturating_sub(tokens);
        state.kinds[LimitKind::Tokens.index()].refund(now, ticket.at, unused);
        let extra = tokens.saturating_sub(ticket.tokens);
        if extra > 0 {
            state.kinds[LimitKind::Tokens.index()].spend(now, extra);
        }
        if ticket.stream {
            state.kinds[LimitKind::Streams.index()].refund(now, ticket.at, 1);
        }
    }

    /// Stops waiting for an entry whose VM no longer exists. Not for an unreachable one.
    pub fn on_gone(&mut self, now: ClockTime, node: NodeId) {
        let wait = with_margin(LOAN_TIME + LimitKind::Streams.window());
        self.timers.schedule(now + wait, LedgerTimer::Forget(node));
    }

    /// Stops borrowing and lends everything unused.
    pub fn drain(&mut self, now: ClockTime) {
        self.draining = true;
        self.open_tick(now);
    }

    /// Time of the next timer.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Units and use of a plan, for the status page.
    pub fn usage(&mut self, now: ClockTime, plan: PlanId) -> PlanUsage {
        let quarantine = self.quarantine;
        let Some(state) = self.plans.get_mut(&plan) else { return PlanUsage::default() };
        state.refresh(now, &quarantine);
        PlanUsage {
            used: LimitKind::ALL.map(|kind| state.kinds[kind.index()].used(now)),
            cap: LimitKind::ALL.map(|kind| state.kinds[kind.index()].cap(now)),
            lent: LimitKind::ALL.map(|kind| state.kinds[kind.index()].lent(now)),
        }
    }

    /// Handles due timers.
    pub fn on_timer(&mut self, now: ClockTime) -> Vec<ShareEffect> {
        let mut effects = Vec::new();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                LedgerTimer::Tick => self.tick(now, &mut effects),
                LedgerTimer::Confirm => self.request_confirms(now, &mut effects),
                LedgerTimer::Forget(node) => {
                    self.plans.values_mut().for_each(|state| state.steps.forget(node));
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
        message: ShareMessage,
    ) -> Vec<ShareEffect> {
        if !self.meet(life_of(from, &message)) {
            return Vec::new();
        }
        let own = self.life.incarnation;
        match message {
            ShareMessage::Asks { life, sent_at, asks } => {
                let borrower = NodeIncarnation { node: from, incarnation: life };
                self.on_asks(now, borrower, sent_at, &asks)
            }
            ShareMessage::Grants { to, answers, version, grants, .. } if to == own => {
                self.on_grants(now, from, (answers, version), &grants)
            }
            ShareMessage::ConfirmRequest { life, .. } => vec![self.confirm(now, from, life)],
            ShareMessage::Confirm { life, to, running, clean, streams } if to == own => {
                let borrower = NodeIncarnation { node: from, incarnation: life };
                self.on_confirm(now, borrower, running, clean, &streams);
                Vec::new()
            }
            ShareMessage::Grants { .. } | ShareMessage::Confirm { .. } => Vec::new(),
        }
    }

    /// Notes the sender's life; false for an earlier life than one seen.
    fn meet(&mut self, peer: NodeIncarnation) -> bool {
        let known = self.lives.entry(peer.node).or_insert(peer.incarnation);
        if peer.incarnation < *known {
            return false;
        }
        if peer.incarnation > *known {
            *known = peer.incarnation;
            self.heard.remove(&peer.node);
            for state in self.plans.values_mut() {
                state
                    .kinds
                    .iter_mut()
                    .for_each(|kind| kind.on_new_life(peer.node, peer.incarnation));
            }
        }
        true
    }

    fn open_tick(&mut self, now: ClockTime) {
        if !self.tick_open {
            self.tick_open = true;
            // At once after a quiet time, so that a restarted entry borrows immediately.
            let due = if now.since(self.last_tick) >= TICK_TIME {
                now
            } else {
                self.last_tick + TICK_TIME
            };
            self.timers.schedule(due, LedgerTimer::Tick);
        }
    }

    fn on_asks(
        &mut self,
        now: ClockTime,
        borrower: NodeIncarnation,
        sent_at: ClockTime,
        asks: &[ShareAsk],
    ) -> Vec<ShareEffect> {
        if self.heard.get(&borrower.node).is_some_and(|last| *last >= sent_at) {
            return Vec::new();
        }
        self.heard.insert(borrower.node, sent_at);
        // A restarted entry asks the listed entries for its loans, so no other may have any.
        let may_lend = self.entries.contains(&borrower.node);
        let mut grants = Vec::new();
        for ask in asks {
            let Some(state) = self.plans.get_mut(&ask.plan) else { continue };
            state.refresh(now, &self.quarantine);
            let kind = &mut state.kinds[ask.kind.index()];
            let (amount, extended) = kind.grant(now, borrower, ask, may_lend, self.draining);
            grants.push(ShareGrant { plan: ask.plan, kind: ask.kind, amount, extended });
        }
        let life = self.life.incarnation;
        let to = borrower.incarnation;
        let (answers, version) = (sent_at, self.version);
        let message = ShareMessage::Grants { life, to, answers, version, grants };
        vec![ShareEffect::Send { to: borrower.node, message }]
    }

    fn on_grants(
        &mut self,
        now: ClockTime,
        from: NodeId,
        (answers, version): (ClockTime, u64),
        grants: &[ShareGrant],
    ) -> Vec<ShareEffect> {
        if self.asked.get(&from) != Some(&answers) {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for grant in grants {
            let Some(state) = self.plans.get_mut(&grant.plan) else { continue };
            if version < state.steps.version() {
                // The lender may still count units that this version takes away.
                continue;
            }
            let kind = &mut state.kinds[grant.kind.index()];
            let refilled = kind.on_grant(now, from, answers, grant.amount, grant.extended);
            let effect = ShareEffect::Refilled(grant.plan);
            if refilled && !effects.contains(&effect) {
                effects.push(effect);
            }
        }
        effects
    }

    fn tick(&mut self, now: ClockTime, effects: &mut Vec<ShareEffect>) {
        self.tick_open = false;
        self.last_tick = now;
        let mut batches: BTreeMap<NodeId, Vec<ShareAsk>> = BTreeMap::new();
        let mut active = false;
        for (&plan, state) in &mut self.plans {
            state.refresh(now, &self.quarantine);
            if !state.is_active(now, self.draining) {
                continue;
            }
            active = true;
            for (to, ask) in state.asks(now, self.life.node, plan, self.draining) {
                batches.entry(to).or_default().push(ask);
            }
        }
        for (&plan, state) in &mut self.plans {
            for (to, ask) in state.renewals(now, plan, |lender| batches.contains_key(&lender)) {
                batches.entry(to).or_default().push(ask);
            }
        }
        for (to, asks) in batches {
            self.asked.insert(to, now);
            let message = ShareMessage::Asks { life: self.life.incarnation, sent_at: now, asks };
            effects.push(ShareEffect::Send { to, message });
        }
        if active {
            self.open_tick(now);
        }
    }
}
