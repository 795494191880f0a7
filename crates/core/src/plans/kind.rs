//! One limit of one plan at one entry: base units, loans in both directions, use.

use std::time::Duration;

use super::{LOAN_TIME, LimitKind, ShareAsk, UsageWindow, reclaim_time};
use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};

/// Sub-buckets of a usage window: a use counts at most 1/64 (1.6 %) longer than the window, so
/// at least 98 % of a limit is usable.
const WINDOW_BUCKETS: usize = 64;
/// Sub-buckets of the last second's demand.
const RECENT_BUCKETS: usize = 4;
/// Time over which demand is measured.
const RECENT_TIME: Duration = Duration::from_secs(1);
/// A loan is renewed when less than this is left: two ticks, so one may be lost.
const RENEW_BEFORE: Duration = Duration::from_millis(600);
/// A lender that gave less than asked is left out for this time.
const DRY_TIME: Duration = Duration::from_millis(500);
/// An unanswered statement is repeated after this time. Without that, a lost answer would bind
/// stream units for the longest stream.
const RESTATE_TIME: Duration = Duration::from_secs(1);
/// Loans older than this are renewed with any other statement to the same lender, so that the
/// loans of all plans share their messages.
const RENEW_TOGETHER: Duration = Duration::from_millis(500);
/// Units in reserve, as a part of the last second's use.
const AHEAD_DIVISOR: u64 = 4;
/// Borrowed units are kept while the unneeded part is below 1/4 of the cap, against repeated
/// lending and returning of the same units.
const EXCESS_DIVISOR: u64 = 4;
/// Nothing is asked for while less than 1/8 of the cap is missing, unless requests are refused
/// or all units are in use.
const MISSING_DIVISOR: u64 = 8;

#[derive(Debug, Clone)]
enum UsedAmount {
    Window(UsageWindow<WINDOW_BUCKETS>),
    Open(u64),
}

/// Units lent to a life of another entry.
#[derive(Debug, Clone)]
pub(super) struct LentShare {
    pub to: NodeIncarnation,
    pub amount: u64,
    /// Invariant: at least `reclaim_time` after the last extension.
    pub reclaim_at: ClockTime,
}

/// Units borrowed from another entry.
#[derive(Debug, Clone)]
pub(super) struct BorrowedShare {
    pub from: NodeId,
    /// Counts in the cap until `expires`; afterwards it is the part still in use.
    pub amount: u64,
    /// Invariant: at most `LOAN_TIME` after the request that the lender answered.
    pub expires: ClockTime,
    /// The lender did not extend; unused units go back with the next statement.
    pressed: bool,
    dry_until: ClockTime,
    /// The last total that was asked for.
    wanted: u64,
    /// When the last statement was sent, and whether the lender answered it. Until then the
    /// lender may have lent more than this entry knows.
    stated_at: ClockTime,
    answered: bool,
}

/// One limit of one plan at one entry.
#[derive(Debug, Clone)]
pub(super) struct KindShare {
    kind: LimitKind,
    /// Fleet-wide amount in the active version.
    pub amount: u64,
    /// Own units: the lowest share of all versions that other entries may still run; 0 during
    /// the quarantine after a start.
    pub base: u64,
    used: UsedAmount,
    recent: UsageWindow<RECENT_BUCKETS>,
    denied: UsageWindow<RECENT_BUCKETS>,
    /// Borrowers that got less than they asked for in the last second.
    unmet: Vec<(NodeId, ClockTime)>,
    lent: Vec<LentShare>,
    borrowed: Vec<BorrowedShare>,
}

impl KindShare {
    pub fn new(kind: LimitKind) -> KindShare {
        let used = match kind {
            LimitKind::Streams => UsedAmount::Open(0),
            _ => UsedAmount::Window(UsageWindow::new(kind.window())),
        };
        let recent = || UsageWindow::new(RECENT_TIME);
        KindShare {
            kind,
            amount: 0,
            base: 0,
            used,
            recent: recent(),
            denied: recent(),
            unmet: Vec::new(),
            lent: Vec::new(),
            borrowed: Vec::new(),
        }
    }

    /// Units that may be in use at `now`.
    pub fn cap(&mut self, now: ClockTime) -> u64 {
        let live = self.borrowed.iter().filter(|share| share.expires > now);
        let borrowed: u64 = live.map(|share| share.amount).sum();
        self.own(now) + borrowed
    }

    /// Base units that are not lent.
    fn own(&mut self, now: ClockTime) -> u64 {
        self.base.saturating_sub(self.lent(now))
    }

    /// Units lent and not reclaimed.
    pub fn lent(&mut self, now: ClockTime) -> u64 {
        self.lent.retain(|share| share.amount > 0 && share.reclaim_at > now);
        self.lent.iter().map(|share| share.amount).sum()
    }

    /// Use that counts at `now`.
    pub fn used(&mut self, now: ClockTime) -> u64 {
        match &mut self.used {
            UsedAmount::Window(window) => window.total(now),
            UsedAmount::Open(open) => *open,
        }
    }

    /// Whether `amount` more may be used; a refusal counts as demand.
    pub fn admits(&mut self, now: ClockTime, amount: u64) -> bool {
        let admitted = self.used(now) + amount <= self.cap(now);
        if !admitted {
            self.denied.add(now, amount);
        }
        admitted
    }

    /// Records a use that [`KindShare::admits`] allowed.
    pub fn spend(&mut self, now: ClockTime, amount: u64) {
        self.recent.add(now, amount);
        match &mut self.used {
            UsedAmount::Window(window) => window.add(now, amount),
            UsedAmount::Open(open) => *open += amount,
        }
    }

    /// Takes back a use recorded at `at`.
    pub fn refund(&mut self, now: ClockTime, at: ClockTime, amount: u64) {
        match &mut self.used {
            UsedAmount::Window(window) => window.refund(now, at, amount),
            UsedAmount::Open(open) => *open = open.saturating_sub(amount),
        }
    }

    /// How long a refused caller should wait.
    pub fn retry_after(&mut self, now: ClockTime, amount: u64) -> Duration {
        let over = (self.used(now) + amount).saturating_sub(self.cap(now));
        let freed = match &mut self.used {
            UsedAmount::Window(window) => window.time_until_freed(now, over),
            UsedAmount::Open(_) => None,
        };
        freed.unwrap_or(RECENT_TIME)
    }

    /// Units that this entry wants to have: use, refused demand and a reserve.
    fn target(&mut self, now: ClockTime, draining: bool) -> u64 {
        let used = self.used(now);
        if draining {
            return used;
        }
        let recent = self.recent.total(now);
        let ahead = recent.div_ceil(AHEAD_DIVISOR) + self.denied.total(now);
        (used + ahead).min(self.amount.max(used))
    }

    /// Whether a periodic look is needed.
    pub fn is_active(&mut self, now: ClockTime, draining: bool) -> bool {
        !self.borrowed.is_empty() || self.target(now, draining) > self.cap(now)
    }

    /// Whether reductions are complete: nothing lent beyond the base, nothing used beyond the cap.
    pub fn is_clean(&mut self, now: ClockTime) -> bool {
        self.lent(now) <= self.base && self.used(now) <= self.cap(now)
    }

    /// Whether nothing has to be kept.
    pub fn is_idle(&mut self, now: ClockTime) -> bool {
        self.borrowed.is_empty() && self.lent(now) == 0 && self.used(now) == 0
    }

    /// States what is held and asks for what is missing; `lenders` excludes this entry.
    pub fn asks(
        &mut self,
        now: ClockTime,
        lenders: &[NodeId],
        draining: bool,
        asks: &mut Vec<(NodeId, ShareAsk)>,
        make: impl Fn(u64, u64, bool) -> ShareAsk,
    ) {
        let before: Vec<u64> = self.borrowed.iter().map(|share| share.amount).collect();
        let target = self.target(now, draining);
        self.give_back(now, target);
        let cap = self.cap(now);
        let missing = target.saturating_sub(cap);
        let short = self.denied.total(now) > 0;
        let used_up = self.used(now) >= cap;
        let urgent = short || used_up || missing > cap / MISSING_DIVISOR;
        let missing = if urgent { missing } else { 0 };
        let mut wet: Vec<NodeId> = lenders.to_vec();
        wet.retain(|id| self.dry_until(*id) <= now);
        // The lender that ran short longest ago first, so that all of them are tried in turn.
        wet.sort_by_key(|id| self.dry_until(*id));
        // As few lenders as can have the missing units: each loan costs messages.
        let share = (self.amount / (lenders.len() as u64 + 1)).max(1);
        let count = (missing.div_ceil(share) as usize).min(wet.len());
        let each = missing.div_ceil(count.max(1) as u64);
        let start = self.borrowed.len();
        for &from in wet.iter().take(count) {
            if !self.borrowed.iter().any(|share| share.from == from) {
                self.borrowed.push(BorrowedShare {
                    from,
                    amount: 0,
                    expires: ClockTime::ZERO,
                    pressed: false,
                    dry_until: ClockTime::ZERO,
                    wanted: 0,
                    stated_at: now,
                    answered: false,
                });
            }
        }
        for (index, share) in self.borrowed.iter_mut().enumerate() {
            let asked = wet[..count].contains(&share.from);
            let changed = index >= start || share.amount != before[index];
            let due = share.amount > 0 && share.expires.since(now) < RENEW_BEFORE;
            let lost = !share.answered && now.since(share.stated_at) >= RESTATE_TIME;
            if !(asked || changed || due || lost) {
                continue;
            }
            (share.stated_at, share.answered) = (now, false);
            let more = if asked { each } else { 0 };
            share.wanted = share.amount + more;
            asks.push((share.from, make(share.amount, more, short)));
        }
        self.borrowed.retain(|share| share.amount > 0 || !share.answered || share.dry_until > now);
    }

    /// Renews loans of lenders to which a statement goes anyway.
    pub fn renew_with(
        &mut self,
        now: ClockTime,
        lenders: impl Fn(NodeId) -> bool,
        asks: &mut Vec<(NodeId, ShareAsk)>,
        make: impl Fn(u64, u64, bool) -> ShareAsk,
    ) {
        let short = self.denied.total(now) > 0;
        for share in &mut self.borrowed {
            let old = share.expires > now && share.expires.since(now) < LOAN_TIME - RENEW_TOGETHER;
            if old && share.amount > 0 && share.stated_at != now && lenders(share.from) {
                (share.stated_at, share.answered) = (now, false);
                share.wanted = share.amount;
                asks.push((share.from, make(share.amount, 0, short)));
            }
        }
    }

    /// Shrinks loans to what is needed. Units that are in use stay with their loan.
    fn give_back(&mut self, now: ClockTime, target: u64) {
        let (used, cap) = (self.used(now), self.cap(now));
        let mut over = used.saturating_sub(cap);
        let mut free = cap.saturating_sub(used);
        let excess = cap.saturating_sub(target.max(used));
        let mut excess = if excess > cap / EXCESS_DIVISOR { excess } else { 0 };
        for share in &mut self.borrowed {
            if share.expires <= now {
                share.amount = share.amount.min(over);
                over -= share.amount;
            } else {
                let unneeded = if share.pressed { free } else { excess };
                let returned = unneeded.min(free).min(share.amount);
                share.amount -= returned;
                free -= returned;
                excess = excess.saturating_sub(returned);
            }
        }
    }

    fn dry_until(&self, lender: NodeId) -> ClockTime {
        let share = self.borrowed.iter().find(|share| share.from == lender);
        share.map_or(ClockTime::ZERO, |share| share.dry_until)
    }

    /// Takes an answer to the request sent at `asked_at`. Returns whether units arrived.
    pub fn on_grant(
        &mut self,
        now: ClockTime,
        from: NodeId,
        asked_at: ClockTime,
        amount: u64,
        extended: bool,
    ) -> bool {
        let Some(share) = self.borrowed.iter_mut().find(|share| share.from == from) else {
            return false;
        };
        let grown = amount > share.amount;
        if extended {
            share.amount = amount;
            share.expires = asked_at + LOAN_TIME;
        } else {
            share.amount = share.amount.min(amount);
        }
        share.pressed = !extended;
        share.answered = true;
        if amount < share.wanted {
            share.dry_until = now + DRY_TIME;
        }
        extended && grown
    }

    /// Ends all loans to this entry; units in use stay stated as held.
    pub fn drop_loans(&mut self) {
        self.borrowed.iter_mut().for_each(|share| share.expires = ClockTime::ZERO);
    }

    /// Answers a borrower: the amount it has from now on, and whether the loan runs anew.
    pub fn grant(
        &mut self,
        now: ClockTime,
        to: NodeIncarnation,
        ask: &ShareAsk,
        may_lend: bool,
        draining: bool,
    ) -> (u64, bool) {
        let target = self.target(now, draining);
        // Returned units first, so that they are free for others.
        for share in self.lent.iter_mut().filter(|share| share.to == to) {
            share.amount = share.amount.min(ask.hold);
        }
        let lent = self.lent(now);
        let index = self.lent.iter().position(|share| share.to == to);
        let held = index.map_or(0, |index| self.lent[index].amount);
        let free = self.cap(now).saturating_sub(target).min(self.own(now));
        let starving = !draining && self.denied.total(now) > 0;
        let fair = self.base / (self.lent.len() as u64 + 1);
        self.unmet.retain(|(_, at)| now.since(*at) < RECENT_TIME);
        let pressed = held > fair && self.unmet.iter().any(|(node, _)| *node != to.node);
        let want = ask.hold + ask.more;
        let extra = if may_lend { want.saturating_sub(held).min(free) } else { 0 };
        if may_lend && ask.short && want > held + extra {
            self.unmet.retain(|(node, _)| *node != to.node);
            self.unmet.push((to.node, now));
        }
        if !may_lend || starving || pressed || lent > self.base {
            return (held, false);
        }
        let (amount, reclaim_at) = (held + extra, now + reclaim_time(self.kind));
        match index {
            Some(index) => self.lent[index] = LentShare { to, amount, reclaim_at },
            None if amount > 0 => self.lent.push(LentShare { to, amount, reclaim_at }),
            None => {}
        }
        (amount, true)
    }

    /// Units of `lender` that are held or still in use, for its new life.
    pub fn held_from(&mut self, now: ClockTime, lender: NodeId) -> u64 {
        let over = self.used(now).saturating_sub(self.cap(now));
        let shares = self.borrowed.iter().filter(|share| share.from == lender);
        let held = shares.map(|share| match share.expires > now {
            true => share.amount,
            false => share.amount.min(over),
        });
        held.sum()
    }

    /// Records a loan of an earlier life of this entry.
    pub fn adopt(&mut self, now: ClockTime, to: NodeIncarnation, amount: u64) {
        let reclaim_at = now + reclaim_time(self.kind);
        match self.lent.iter_mut().find(|share| share.to == to) {
            Some(share) => share.amount = share.amount.max(amount),
            None => self.lent.push(LentShare { to, amount, reclaim_at }),
        }
    }

    /// Drops stream loans to earlier lives of a node: their streams ended with the process.
    pub fn on_new_life(&mut self, node: NodeId, incarnation: IncarnationId) {
        if self.kind == LimitKind::Streams {
            self.lent.retain(|share| share.to.node != node || share.to.incarnation >= incarnation);
        }
    }
}
