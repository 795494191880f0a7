//! One limit of one plan at one entry: base units, loans in both directions, use.

use std::time::Duration;

use super::{LOAN_DURATION, LimitKind, LoanRequest, UsageWindow, reclaim_delay};
use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

/// Sub-buckets of a usage window: a use counts at most 1/64 (1.6 %) longer than the window, so
/// at least 98 % of a limit is usable.
const WINDOW_BUCKETS: usize = 64;
/// Sub-buckets of the last second's demand.
const DEMAND_BUCKETS: usize = 4;
/// Time over which demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// A loan is renewed when less than this is left: two ticks, so one may be lost.
const RENEW_MARGIN: Duration = Duration::from_millis(600);
/// A lender that gave less than asked is left out for this time.
const EXHAUSTED_LENDER_PAUSE: Duration = Duration::from_millis(500);
/// An unanswered statement is repeated after this time. Without that, a lost answer would bind
/// stream units for the longest stream.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Loans older than this are renewed with any other statement to the same lender, so that the
/// loans of all plans share their messages.
const MIN_BATCHED_RENEWAL_AGE: Duration = Duration::from_millis(500);
/// Units in reserve, as a part of the last second's use.
const RESERVE_DIVISOR: u64 = 4;
/// Borrowed units are kept while the unneeded part is below 1/4 of the cap, against repeated
/// lending and returning of the same units.
const KEPT_EXCESS_DIVISOR: u64 = 4;
/// Nothing is asked for while less than 1/8 of the cap is missing, unless requests are refused
/// or all units are in use.
const MIN_MISSING_DIVISOR: u64 = 8;

#[derive(Debug, Clone)]
enum UsageMeter {
    Window(UsageWindow<WINDOW_BUCKETS>),
    InUse(u64),
}

/// Units lent to a life of another entry.
#[derive(Debug, Clone)]
pub(super) struct LentUnits {
    pub to: NodeIncarnation,
    pub amount: u64,
    /// Invariant: at least `reclaim_delay` after the last extension.
    pub reclaim_at: ClockTime,
}

/// Units borrowed from another entry.
#[derive(Debug, Clone)]
pub(super) struct BorrowedUnits {
    pub from: NodeId,
    /// Counts in the cap until `expires`; afterwards it is the part still in use.
    pub amount: u64,
    /// Invariant: at most `LOAN_DURATION` after the request that the lender answered.
    pub expires: ClockTime,
    /// The lender did not extend; unused units go back with the next statement.
    recalled: bool,
    exhausted_until: ClockTime,
    /// The last total that was asked for.
    requested_total: u64,
    /// When the last statement was sent, and whether the lender answered it. Until then the
    /// lender may have lent more than this entry knows.
    requested_at: ClockTime,
    answered: bool,
}

/// One limit of one plan at one entry.
#[derive(Debug, Clone)]
pub(super) struct LimitShare {
    kind: LimitKind,
    /// Fleet-wide amount in the active version.
    pub amount: u64,
    /// Own units: the lowest share of all versions that other entries may still run; 0 during
    /// the quarantine after a start.
    pub base: u64,
    used: UsageMeter,
    recent_demand: UsageWindow<DEMAND_BUCKETS>,
    refused_demand: UsageWindow<DEMAND_BUCKETS>,
    /// Borrowers that got less than they asked for in the last second.
    refused_borrowers: Vec<(NodeId, ClockTime)>,
    lent: Vec<LentUnits>,
    borrowed: Vec<BorrowedUnits>,
}

impl LimitShare {
    pub fn new(kind: LimitKind) -> LimitShare {
        let used = match kind {
            LimitKind::Streams => UsageMeter::InUse(0),
            _ => UsageMeter::Window(UsageWindow::new(kind.window())),
        };
        let recent_demand = || UsageWindow::new(DEMAND_WINDOW);
        LimitShare {
            kind,
            amount: 0,
            base: 0,
            used,
            recent_demand: recent_demand(),
            refused_demand: recent_demand(),
            refused_borrowers: Vec::new(),
            lent: Vec::new(),
            borrowed: Vec::new(),
        }
    }

    /// Units that may be in use at `now`.
    pub fn cap(&mut self, now: ClockTime) -> u64 {
        let live = self.borrowed.iter().filter(|loan| loan.expires > now);
        let borrowed: u64 = live.map(|loan| loan.amount).sum();
        self.unlent_base(now) + borrowed
    }

    /// Base units that are not lent.
    fn unlent_base(&mut self, now: ClockTime) -> u64 {
        self.base.saturating_sub(self.lent(now))
    }

    /// Units lent and not reclaimed.
    pub fn lent(&mut self, now: ClockTime) -> u64 {
        self.lent.retain(|loan| loan.amount > 0 && loan.reclaim_at > now);
        self.lent.iter().map(|loan| loan.amount).sum()
    }

    /// Use that counts at `now`.
    pub fn used(&mut self, now: ClockTime) -> u64 {
        match &mut self.used {
            UsageMeter::Window(window) => window.total(now),
            UsageMeter::InUse(open) => *open,
        }
    }

    /// Whether `amount` more may be used; a refusal counts as demand.
    pub fn admits(&mut self, now: ClockTime, amount: u64) -> bool {
        let admitted = self.used(now) + amount <= self.cap(now);
        if !admitted {
            self.refused_demand.add(now, amount);
        }
        admitted
    }

    /// Records a use that [`LimitShare::admits`] allowed.
    pub fn record_use(&mut self, now: ClockTime, amount: u64) {
        self.recent_demand.add(now, amount);
        match &mut self.used {
            UsageMeter::Window(window) => window.add(now, amount),
            UsageMeter::InUse(open) => *open += amount,
        }
    }

    /// Takes back a use recorded at `at`.
    pub fn refund(&mut self, now: ClockTime, at: ClockTime, amount: u64) {
        match &mut self.used {
            UsageMeter::Window(window) => window.refund(now, at, amount),
            UsageMeter::InUse(open) => *open = open.saturating_sub(amount),
        }
    }

    /// How long a refused caller should wait.
    pub fn retry_after(&mut self, now: ClockTime, amount: u64) -> Duration {
        let over = (self.used(now) + amount).saturating_sub(self.cap(now));
        let freed = match &mut self.used {
            UsageMeter::Window(window) => window.time_until_freed(now, over),
            UsageMeter::InUse(_) => None,
        };
        freed.unwrap_or(DEMAND_WINDOW)
    }

    /// Units that this entry wants to have: use, refused demand and a reserve.
    fn target(&mut self, now: ClockTime, draining: bool) -> u64 {
        let used = self.used(now);
        if draining {
            return used;
        }
        let recent_demand = self.recent_demand.total(now);
        let reserve = recent_demand.div_ceil(RESERVE_DIVISOR) + self.refused_demand.total(now);
        (used + reserve).min(self.amount.max(used))
    }

    /// Whether a periodic look is needed.
    pub fn is_active(&mut self, now: ClockTime, draining: bool) -> bool {
        !self.borrowed.is_empty() || self.target(now, draining) > self.cap(now)
    }

    /// Whether reductions are complete: nothing lent beyond the base, nothing used beyond the cap.
    pub fn has_completed_reductions(&mut self, now: ClockTime) -> bool {
        self.lent(now) <= self.base && self.used(now) <= self.cap(now)
    }

    /// Whether nothing has to be kept.
    pub fn is_idle(&mut self, now: ClockTime) -> bool {
        self.borrowed.is_empty() && self.lent(now) == 0 && self.used(now) == 0
    }

    /// States what is held and asks for what is missing; `lenders` excludes this entry.
    pub fn loan_requests(
        &mut self,
        now: ClockTime,
        lenders: &[NodeId],
        draining: bool,
        requests: &mut Vec<(NodeId, LoanRequest)>,
        make_request: impl Fn(u64, u64, bool) -> LoanRequest,
    ) {
        let before: Vec<u64> = self.borrowed.iter().map(|loan| loan.amount).collect();
        let target = self.target(now, draining);
        self.return_excess(now, target);
        let cap = self.cap(now);
        let missing = target.saturating_sub(cap);
        let had_refusals = self.refused_demand.total(now) > 0;
        let used_up = self.used(now) >= cap;
        let urgent = had_refusals || used_up || missing > cap / MIN_MISSING_DIVISOR;
        let missing = if urgent { missing } else { 0 };
        let mut available: Vec<NodeId> = lenders.to_vec();
        available.retain(|id| self.exhausted_until(*id) <= now);
        // The lender that ran out of units longest ago first, so that all of them are tried in turn.
        available.sort_by_key(|id| self.exhausted_until(*id));
        // As few lenders as can have the missing units: each loan costs messages.
        let equal_share = (self.amount / (lenders.len() as u64 + 1)).max(1);
        let count = (missing.div_ceil(equal_share) as usize).min(available.len());
        let amount_each = missing.div_ceil(count.max(1) as u64);
        let first_new = self.borrowed.len();
        for &from in available.iter().take(count) {
            if !self.borrowed.iter().any(|loan| loan.from == from) {
                self.borrowed.push(BorrowedUnits {
                    from,
                    amount: 0,
                    expires: ClockTime::ZERO,
                    recalled: false,
                    exhausted_until: ClockTime::ZERO,
                    requested_total: 0,
                    requested_at: now,
                    answered: false,
                });
            }
        }
        for (index, loan) in self.borrowed.iter_mut().enumerate() {
            let asked = available[..count].contains(&loan.from);
            let changed = index >= first_new || loan.amount != before[index];
            let due = loan.amount > 0 && loan.expires.since(now) < RENEW_MARGIN;
            let lost = !loan.answered && now.since(loan.requested_at) >= REPEAT_INTERVAL;
            if !(asked || changed || due || lost) {
                continue;
            }
            (loan.requested_at, loan.answered) = (now, false);
            let additional = if asked { amount_each } else { 0 };
            loan.requested_total = loan.amount + additional;
            requests.push((loan.from, make_request(loan.amount, additional, had_refusals)));
        }
        self.borrowed
            .retain(|loan| loan.amount > 0 || !loan.answered || loan.exhausted_until > now);
    }

    /// Renews loans of lenders to which a statement goes anyway.
    pub fn batched_renewals(
        &mut self,
        now: ClockTime,
        lenders: impl Fn(NodeId) -> bool,
        requests: &mut Vec<(NodeId, LoanRequest)>,
        make_request: impl Fn(u64, u64, bool) -> LoanRequest,
    ) {
        let had_refusals = self.refused_demand.total(now) > 0;
        for loan in &mut self.borrowed {
            let old = loan.expires > now
                && loan.expires.since(now) < LOAN_DURATION - MIN_BATCHED_RENEWAL_AGE;
            if old && loan.amount > 0 && loan.requested_at != now && lenders(loan.from) {
                (loan.requested_at, loan.answered) = (now, false);
                loan.requested_total = loan.amount;
                requests.push((loan.from, make_request(loan.amount, 0, had_refusals)));
            }
        }
    }

    /// Shrinks loans to what is needed. Units that are in use stay with their loan.
    fn return_excess(&mut self, now: ClockTime, target: u64) {
        let (used, cap) = (self.used(now), self.cap(now));
        let mut over = used.saturating_sub(cap);
        let mut free = cap.saturating_sub(used);
        let excess = cap.saturating_sub(target.max(used));
        let mut excess = if excess > cap / KEPT_EXCESS_DIVISOR { excess } else { 0 };
        for loan in &mut self.borrowed {
            if loan.expires <= now {
                loan.amount = loan.amount.min(over);
                over -= loan.amount;
            } else {
                let unneeded = if loan.recalled { free } else { excess };
                let returned = unneeded.min(free).min(loan.amount);
                loan.amount -= returned;
                free -= returned;
                excess = excess.saturating_sub(returned);
            }
        }
    }

    fn exhausted_until(&self, lender: NodeId) -> ClockTime {
        let loan = self.borrowed.iter().find(|loan| loan.from == lender);
        loan.map_or(ClockTime::ZERO, |loan| loan.exhausted_until)
    }

    /// Takes an answer to the request sent at `requested_at`. Returns whether units arrived.
    pub fn on_grant(
        &mut self,
        now: ClockTime,
        from: NodeId,
        requested_at: ClockTime,
        amount: u64,
        extended: bool,
    ) -> bool {
        let Some(loan) = self.borrowed.iter_mut().find(|loan| loan.from == from) else {
            return false;
        };
        let grown = amount > loan.amount;
        if extended {
            loan.amount = amount;
            loan.expires = requested_at + LOAN_DURATION;
        } else {
            loan.amount = loan.amount.min(amount);
        }
        loan.recalled = !extended;
        loan.answered = true;
        if amount < loan.requested_total {
            loan.exhausted_until = now + EXHAUSTED_LENDER_PAUSE;
        }
        extended && grown
    }

    /// Ends all loans to this entry; units in use stay stated as held.
    pub fn expire_loans(&mut self) {
        self.borrowed.iter_mut().for_each(|loan| loan.expires = ClockTime::ZERO);
    }

    /// Answers a borrower: the amount it has from now on, and whether the loan runs anew.
    pub fn grant(
        &mut self,
        now: ClockTime,
        to: NodeIncarnation,
        request: &LoanRequest,
        may_lend: bool,
        draining: bool,
    ) -> (u64, bool) {
        let target = self.target(now, draining);
        // Returned units first, so that they are free for others.
        for loan in self.lent.iter_mut().filter(|loan| loan.to == to) {
            loan.amount = loan.amount.min(request.held);
        }
        let lent = self.lent(now);
        let index = self.lent.iter().position(|loan| loan.to == to);
        let held = index.map_or(0, |index| self.lent[index].amount);
        let free = self.cap(now).saturating_sub(target).min(self.unlent_base(now));
        let refusing = !draining && self.refused_demand.total(now) > 0;
        let fair_share = self.base / (self.lent.len() as u64 + 1);
        self.refused_borrowers.retain(|(_, at)| now.since(*at) < DEMAND_WINDOW);
        let recalled =
            held > fair_share && self.refused_borrowers.iter().any(|(node, _)| *node != to.node);
        let requested = request.held + request.additional;
        let additional = if may_lend { requested.saturating_sub(held).min(free) } else { 0 };
        if may_lend && request.had_refusals && requested > held + additional {
            self.refused_borrowers.retain(|(node, _)| *node != to.node);
            self.refused_borrowers.push((to.node, now));
        }
        if !may_lend || refusing || recalled || lent > self.base {
            return (held, false);
        }
        let (amount, reclaim_at) = (held + additional, now + reclaim_delay(self.kind));
        match index {
            Some(index) => self.lent[index] = LentUnits { to, amount, reclaim_at },
            None if amount > 0 => self.lent.push(LentUnits { to, amount, reclaim_at }),
            None => {}
        }
        (amount, true)
    }

    /// Units of `lender` that are held or still in use, for its new life.
    pub fn held_units_from(&mut self, now: ClockTime, lender: NodeId) -> u64 {
        let over = self.used(now).saturating_sub(self.cap(now));
        let loans = self.borrowed.iter().filter(|loan| loan.from == lender);
        let held = loans.map(|loan| match loan.expires > now {
            true => loan.amount,
            false => loan.amount.min(over),
        });
        held.sum()
    }

    /// Records a loan of an earlier life of this entry.
    pub fn restore_loan(&mut self, now: ClockTime, to: NodeIncarnation, amount: u64) {
        let reclaim_at = now + reclaim_delay(self.kind);
        match self.lent.iter_mut().find(|loan| loan.to == to) {
            Some(loan) => loan.amount = loan.amount.max(amount),
            None => self.lent.push(LentUnits { to, amount, reclaim_at }),
        }
    }

    /// Drops stream loans to earlier lives of a node: their streams ended with the process.
    pub fn on_new_incarnation(&mut self, node: NodeId, incarnation: IncarnationId) {
        if self.kind == LimitKind::Streams {
            self.lent.retain(|loan| loan.to.node != node || loan.to.incarnation >= incarnation);
        }
    }
}
