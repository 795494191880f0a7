//! One limit of one plan at one entry: its own units, lent and borrowed units, and their use.

use std::time::Duration;

use super::{LOAN_DURATION, LimitKind, LoanRequest, UsageWindow, reclaim_delay};
use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

/// Buckets of the window of a limit. A use counts for at most 1/64 (1.6 %) longer than the window,
/// so at least 98 % of the limit is usable.
const WINDOW_BUCKETS: usize = 64;
/// Buckets of [`DEMAND_WINDOW`], over which demand is measured.
const DEMAND_BUCKETS: usize = 4;
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// A loan is renewed when less than this is left of it: two ticks, so that one may be missed.
const RENEW_MARGIN: Duration = Duration::from_millis(600);
/// How long a lender that granted less than requested is not asked for additional units.
const EXHAUSTED_LENDER_PAUSE: Duration = Duration::from_millis(500);
/// Time after which an unanswered loan request is repeated. Without the repetition, a lost answer
/// could keep stream units lent but unused for as long as the longest stream.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Age from which a loan is renewed with any other request to the same lender, so that the loans of
/// all plans are renewed in the same messages.
const RENEWAL_AGE: Duration = Duration::from_millis(500);
/// The reserve of units that an entry wants beyond its use is 1/4 of the last second's use.
const RESERVE_DIVISOR: u64 = 4;
/// Unneeded borrowed units are kept while they are at most 1/4 of the cap, so that the same units
/// are not returned and borrowed again and again.
const KEPT_EXCESS_DIVISOR: u64 = 4;
/// No units are borrowed while at most 1/8 of the cap is missing, unless requests were refused or
/// all units are in use.
const MIN_MISSING_DIVISOR: u64 = 8;

/// Use that counts against a limit.
#[derive(Debug, Clone)]
enum UsageMeter {
    Window(UsageWindow<WINDOW_BUCKETS>),
    /// Number of open streams.
    InUse(u64),
}

/// Units lent to an incarnation of another entry.
#[derive(Debug, Clone)]
pub(super) struct LentUnits {
    pub to: NodeIncarnation,
    pub amount: u64,
    /// When this entry may use them again; at least [`reclaim_delay`] after the last extension.
    pub reclaim_at: ClockTime,
}

/// Units borrowed from another entry.
#[derive(Debug, Clone)]
pub(super) struct BorrowedUnits {
    pub from: NodeId,
    /// Units that count in the cap until `expires`. Afterwards only the part that is still in use.
    pub amount: u64,
    /// Invariant: at most [`LOAN_DURATION`] after the request that the lender answered was sent.
    pub expires: ClockTime,
    /// Whether the lender refused an extension. Unused units go back with the next request.
    recalled: bool,
    /// Until when the lender is not asked for more units.
    skipped_until: ClockTime,
    /// Total amount of the last request: the units held and the additional ones.
    requested_total: u64,
    requested_at: ClockTime,
    /// Until the lender answers the last request, it may have lent more than is known here.
    answered: bool,
}

/// Units and use of one limit of one plan at one entry.
#[derive(Debug, Clone)]
pub(super) struct LimitShare {
    kind: LimitKind,
    /// Fleet-wide amount of the limit in the active list version.
    pub amount: u64,
    /// Own units, including those that are lent: the lowest share in all list versions that other
    /// entries may still run; 0 during the quarantine after a start.
    pub base: u64,
    used: UsageMeter,
    /// Use that was admitted, and use that was refused, in the last second.
    recent_use: UsageWindow<DEMAND_BUCKETS>,
    refused_use: UsageWindow<DEMAND_BUCKETS>,
    /// Borrowers that refused requests and got too few units in the last second, with the time.
    underserved: Vec<(NodeId, ClockTime)>,
    lent: Vec<LentUnits>,
    borrowed: Vec<BorrowedUnits>,
}

impl LimitShare {
    pub fn new(kind: LimitKind) -> LimitShare {
        let used = match kind {
            LimitKind::Streams => UsageMeter::InUse(0),
            _ => UsageMeter::Window(UsageWindow::new(kind.window())),
        };
        let empty_window = || UsageWindow::new(DEMAND_WINDOW);
        LimitShare {
            kind,
            amount: 0,
            base: 0,
            used,
            recent_use: empty_window(),
            refused_use: empty_window(),
            underserved: Vec::new(),
            lent: Vec::new(),
            borrowed: Vec::new(),
        }
    }

    /// Returns how many units may be in use at `now`.
    pub fn cap(&mut self, now: ClockTime) -> u64 {
        let live = self.borrowed.iter().filter(|loan| loan.expires > now);
        let borrowed: u64 = live.map(|loan| loan.amount).sum();
        self.unlent_base(now) + borrowed
    }

    /// Returns the base units that are not lent.
    fn unlent_base(&mut self, now: ClockTime) -> u64 {
        self.base.saturating_sub(self.lent(now))
    }

    /// Returns the units that are lent and not yet reclaimed.
    pub fn lent(&mut self, now: ClockTime) -> u64 {
        self.lent.retain(|loan| loan.amount > 0 && loan.reclaim_at > now);
        self.lent.iter().map(|loan| loan.amount).sum()
    }

    /// Returns the use that counts at `now`.
    pub fn used(&mut self, now: ClockTime) -> u64 {
        match &mut self.used {
            UsageMeter::Window(window) => window.total(now),
            UsageMeter::InUse(open) => *open,
        }
    }

    /// Whether `amount` more may be used. A refused amount counts as demand.
    pub fn admits(&mut self, now: ClockTime, amount: u64) -> bool {
        let admitted = self.used(now) + amount <= self.cap(now);
        if !admitted {
            self.refused_use.add(now, amount);
        }
        admitted
    }

    /// Records a use that [`LimitShare::admits`] allowed.
    pub fn record_use(&mut self, now: ClockTime, amount: u64) {
        self.recent_use.add(now, amount);
        match &mut self.used {
            UsageMeter::Window(window) => window.add(now, amount),
            UsageMeter::InUse(open) => *open += amount,
        }
    }

    /// Subtracts `amount` from a use that was recorded at `at`.
    pub fn refund(&mut self, now: ClockTime, at: ClockTime, amount: u64) {
        match &mut self.used {
            UsageMeter::Window(window) => window.refund(now, at, amount),
            UsageMeter::InUse(open) => *open = open.saturating_sub(amount),
        }
    }

    /// Returns how long a caller should wait that was refused `amount`.
    pub fn retry_after(&mut self, now: ClockTime, amount: u64) -> Duration {
        let over = (self.used(now) + amount).saturating_sub(self.cap(now));
        let freed = match &mut self.used {
            UsageMeter::Window(window) => window.time_until_freed(now, over),
            UsageMeter::InUse(_) => None,
        };
        freed.unwrap_or(DEMAND_WINDOW)
    }

    /// Returns the wanted units: use, refused use and a reserve, or only the use while draining.
    fn target(&mut self, now: ClockTime, draining: bool) -> u64 {
        let used = self.used(now);
        if draining {
            return used;
        }
        let recent_use = self.recent_use.total(now);
        let reserve = recent_use.div_ceil(RESERVE_DIVISOR) + self.refused_use.total(now);
        (used + reserve).min(self.amount.max(used))
    }

    /// Whether a tick is needed, to borrow units or to renew or return loans.
    pub fn is_active(&mut self, now: ClockTime, draining: bool) -> bool {
        !self.borrowed.is_empty() || self.target(now, draining) > self.cap(now)
    }

    /// Whether all lost units are given up: lent at most the base, and used at most the cap.
    pub fn has_completed_reductions(&mut self, now: ClockTime) -> bool {
        self.lent(now) <= self.base && self.used(now) <= self.cap(now)
    }

    /// Whether there are no loans and no use.
    pub fn is_idle(&mut self, now: ClockTime) -> bool {
        self.borrowed.is_empty() && self.lent(now) == 0 && self.used(now) == 0
    }

    /// Appends the due requests to borrow, return, renew or repeat. `lenders` excludes this entry.
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
        let had_refusals = self.refused_use.total(now) > 0;
        let used_up = self.used(now) >= cap;
        let urgent = had_refusals || used_up || missing > cap / MIN_MISSING_DIVISOR;
        let missing = if urgent { missing } else { 0 };
        let mut available: Vec<NodeId> = lenders.to_vec();
        available.retain(|id| self.skipped_until(*id) <= now);
        // Lenders that ran out of units longest ago come first, so that all are tried in turn.
        available.sort_by_key(|id| self.skipped_until(*id));
        // As few lenders as can have the missing units, because each loan costs messages.
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
                    skipped_until: ClockTime::ZERO,
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
        self.borrowed.retain(|loan| loan.amount > 0 || !loan.answered || loan.skipped_until > now);
    }

    /// Appends renewals of loans from lenders to which a message is sent in any case.
    pub fn batched_renewals(
        &mut self,
        now: ClockTime,
        lenders: impl Fn(NodeId) -> bool,
        requests: &mut Vec<(NodeId, LoanRequest)>,
        make_request: impl Fn(u64, u64, bool) -> LoanRequest,
    ) {
        let had_refusals = self.refused_use.total(now) > 0;
        for loan in &mut self.borrowed {
            let old = loan.expires > now && loan.expires.since(now) < LOAN_DURATION - RENEWAL_AGE;
            if old && loan.amount > 0 && loan.requested_at != now && lenders(loan.from) {
                (loan.requested_at, loan.answered) = (now, false);
                loan.requested_total = loan.amount;
                requests.push((loan.from, make_request(loan.amount, 0, had_refusals)));
            }
        }
    }

    /// Reduces loans to the units that are needed. Units in use are not returned.
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

    fn skipped_until(&self, lender: NodeId) -> ClockTime {
        let loan = self.borrowed.iter().find(|loan| loan.from == lender);
        loan.map_or(ClockTime::ZERO, |loan| loan.skipped_until)
    }

    /// Handles the answer to the request sent at `requested_at`. Returns whether units were added.
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
            loan.skipped_until = now + EXHAUSTED_LENDER_PAUSE;
        }
        extended && grown
    }

    /// Ends all loans to this entry. Units in use are still reported as held.
    pub fn expire_loans(&mut self) {
        self.borrowed.iter_mut().for_each(|loan| loan.expires = ClockTime::ZERO);
    }

    /// Answers a borrower. Returns the units that it now holds, and whether its loan is extended.
    pub fn grant(
        &mut self,
        now: ClockTime,
        to: NodeIncarnation,
        request: &LoanRequest,
        may_lend: bool,
        draining: bool,
    ) -> (u64, bool) {
        let target = self.target(now, draining);
        // Returned units are taken back first, so that they can be lent again.
        for loan in self.lent.iter_mut().filter(|loan| loan.to == to) {
            loan.amount = loan.amount.min(request.held);
        }
        let lent = self.lent(now);
        let index = self.lent.iter().position(|loan| loan.to == to);
        let held = index.map_or(0, |index| self.lent[index].amount);
        let free = self.cap(now).saturating_sub(target).min(self.unlent_base(now));
        let refusing = !draining && self.refused_use.total(now) > 0;
        let fair_share = self.base / (self.lent.len() as u64 + 1);
        self.underserved.retain(|(_, at)| now.since(*at) < DEMAND_WINDOW);
        let recall = held > fair_share && self.underserved.iter().any(|(node, _)| *node != to.node);
        let requested = request.held + request.additional;
        let additional = if may_lend { requested.saturating_sub(held).min(free) } else { 0 };
        if may_lend && request.had_refusals && requested > held + additional {
            self.underserved.retain(|(node, _)| *node != to.node);
            self.underserved.push((to.node, now));
        }
        if !may_lend || refusing || recall || lent > self.base {
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

    /// Returns the units of `lender` held or in use here, which a restarted lender asks for.
    pub fn held_units_from(&mut self, now: ClockTime, lender: NodeId) -> u64 {
        let over = self.used(now).saturating_sub(self.cap(now));
        let loans = self.borrowed.iter().filter(|loan| loan.from == lender);
        let held = loans.map(|loan| match loan.expires > now {
            true => loan.amount,
            false => loan.amount.min(over),
        });
        held.sum()
    }

    /// Records a loan that an earlier incarnation of this entry granted.
    pub fn restore_loan(&mut self, now: ClockTime, to: NodeIncarnation, amount: u64) {
        let reclaim_at = now + reclaim_delay(self.kind);
        match self.lent.iter_mut().find(|loan| loan.to == to) {
            Some(loan) => loan.amount = loan.amount.max(amount),
            None => self.lent.push(LentUnits { to, amount, reclaim_at }),
        }
    }

    /// Drops stream loans to earlier incarnations of a node, whose streams ended with the process.
    pub fn on_new_incarnation(&mut self, node: NodeId, incarnation: IncarnationId) {
        if self.kind == LimitKind::Streams {
            self.lent.retain(|loan| loan.to.node != node || loan.to.incarnation >= incarnation);
        }
    }
}
