//! The claims of one entry.

mod batch;
mod settle;

use std::collections::{HashMap, VecDeque};

use super::{
    BatchItem, BodyFingerprint, ClaimAnswer, ClaimEffect, ClaimKey, ClaimRecord, ClaimRequest,
    ClaimState, ClaimTicket, ClaimWriter, DispatchOutcome, EXCHANGE_TIMEOUT, ExistingClaim,
    MAX_BATCH_BYTES, MAX_BATCH_ITEMS, MAX_CLAIMS, MAX_PENDING_RESPONSE_BYTES,
    MAX_STORED_RESPONSE_BYTES, MAX_WAITING_WHILE_DOWN, NotRunCause, RESERVED_BATCH_ITEMS,
    RESULT_GRACE, StoredResponse, UnknownCause,
    exchange::{ExchangePace, ExchangeStage, OpenExchange},
};
use crate::{
    arena::KeyArena,
    clock::{ClockTime, TimerQueue},
    ids::NodeIncarnation,
};

/// Decides when claims are written and what callers are answered.
///
/// Each method that takes `effects` appends what the host has to do, in order. After each input
/// the host waits until [`ClaimBook::next_due`] and calls [`ClaimBook::tick`].
#[derive(Debug, Clone)]
pub struct ClaimBook {
    life: NodeIncarnation,
    sequence: u64,
    claims: KeyArena<ClaimTicket, WaitingClaim>,
    /// Invariant: holds exactly the keys in `claims`, each once.
    by_key: HashMap<ClaimKey, ClaimTicket>,
    /// Claims to create. Tickets of expired requests stay until they are taken or purged.
    queue: VecDeque<ClaimTicket>,
    /// Results to store and claims to release.
    after: VecDeque<ClaimTicket>,
    exchange: Option<OpenExchange>,
    next_exchange: u64,
    pace: ExchangePace,
    pending_bytes: usize,
    timers: TimerQueue<ClaimTimer>,
    write_timer: Option<ClockTime>,
}

#[derive(Debug, Clone)]
struct WaitingClaim {
    key: ClaimKey,
    fingerprint: BodyFingerprint,
    sequence: u64,
    dispatch_by: ClockTime,
    deadline: ClockTime,
    phase: ClaimPhase,
}

/// Only the step from `Queued` or `Writing { answered: false }` to `Running` dispatches.
#[derive(Debug, Clone)]
enum ClaimPhase {
    /// Waits for a batch.
    Queued,
    /// In the open exchange. `answered`: the caller has been told `not_run`.
    Writing { answered: bool },
    /// Dispatched. `answered`: the caller has been told `outcome_unknown`.
    Running { revision: i64, answered: bool },
    /// The result waits to be stored, or is in the open exchange.
    Storing { revision: i64, response: StoredResponse },
    /// The claim was acquired and did not run; its deletion waits or is in the open exchange.
    Releasing,
}

#[derive(Debug, Clone, Copy)]
enum ClaimTimer {
    Deadline(ClaimTicket),
    Forget(ClaimTicket),
    Write,
    Exchange(u64),
}

/// Numbers for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimStats {
    /// Requests in the book.
    pub claims: usize,
    /// Response bytes that wait to be stored.
    pub pending_bytes: usize,
    /// Whether the key-value service counts as down.
    pub down: bool,
}

impl ClaimBook {
    /// Creates the book of one incarnation of an entry.
    pub fn new(life: NodeIncarnation) -> ClaimBook {
        ClaimBook {
            life,
            sequence: 0,
            claims: KeyArena::new(),
            by_key: HashMap::new(),
            queue: VecDeque::new(),
            after: VecDeque::new(),
            exchange: None,
            next_exchange: 0,
            pace: ExchangePace::new(),
            pending_bytes: 0,
            timers: TimerQueue::new(),
            write_timer: None,
        }
    }

    /// Sets the number of live entries, this one included, that share the write rate.
    pub fn set_live_entries(&mut self, count: u32) {
        self.pace.set_live_entries(count);
    }

    /// Takes a request. It is answered at once, or later by an effect for the ticket.
    pub fn submit(
        &mut self,
        request: ClaimRequest,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) -> Result<ClaimTicket, ClaimAnswer> {
        if let Some(ticket) = self.by_key.get(&request.key) {
            return Err(self.answer_known(*ticket, request.fingerprint));
        }
        if let Some(cause) = self.refuse(request.dispatch_by, now) {
            return Err(ClaimAnswer::NotRun(cause));
        }
        self.sequence += 1;
        let ticket = self.claims.insert(WaitingClaim {
            key: request.key,
            fingerprint: request.fingerprint,
            sequence: self.sequence,
            dispatch_by: request.dispatch_by,
            deadline: request.deadline,
            phase: ClaimPhase::Queued,
        });
        self.by_key.insert(request.key, ticket);
        self.queue.push_back(ticket);
        self.timers.schedule(request.dispatch_by, ClaimTimer::Deadline(ticket));
        self.timers.schedule(request.deadline, ClaimTimer::Deadline(ticket));
        self.pump(now, effects);
        Ok(ticket)
    }

    /// The batch was written; its keys have `revision`.
    pub fn acknowledged(
        &mut self,
        exchange: u64,
        revision: i64,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(open) = self.take_exchange(exchange, ExchangeStage::Writing) else { return };
        self.pace.answered(revision, now);
        for ticket in open.tickets {
            match self.claims.get(ticket).map(|claim| &claim.phase) {
                Some(ClaimPhase::Writing { .. }) => self.acquired(ticket, revision, now, effects),
                Some(_) => self.remove(ticket),
                None => {}
            }
        }
        self.pump(now, effects);
    }

    /// The service at `revision` showed the existing values of the batch's keys: the batch's
    /// conditions did not hold, or a read-back was answered.
    pub fn seen(
        &mut self,
        exchange: u64,
        revision: i64,
        existing: &[ExistingClaim],
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(open) = self.take_any_exchange(exchange) else { return };
        self.pace.answered(revision, now);
        let existing = existing.iter().map(|claim| (claim.key, claim)).collect::<HashMap<_, _>>();
        // In reverse, so that requeued claims keep their order at the front.
        for &ticket in open.tickets.iter().rev() {
            let Some(claim) = self.claims.get(ticket) else { continue };
            let found = existing.get(&claim.key).copied();
            self.resolve(ticket, found, now, effects);
        }
        self.pump(now, effects);
    }

    /// The call failed or its answer is lost; the write may have taken effect.
    pub fn lost(&mut self, exchange: u64, now: ClockTime) {
        let next = self.next_exchange + 1;
        let Some(open) = self.exchange.as_mut().filter(|open| open.id == exchange) else { return };
        if open.stage == ExchangeStage::Waiting {
            return;
        }
        open.id = next;
        open.stage = ExchangeStage::Waiting;
        self.next_exchange = next;
        let backoff = self.pace.lost();
        self.timers.schedule(now + backoff, ClaimTimer::Exchange(next));
    }

    /// A dispatched request ended.
    pub fn dispatched(
        &mut self,
        ticket: ClaimTicket,
        outcome: DispatchOutcome,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(claim) = self.claims.get_mut(ticket) else { return };
        let ClaimPhase::Running { revision, answered } = claim.phase else { return };
        let answer = match outcome {
            DispatchOutcome::Response(response) => {
                self.store_result(ticket, revision, &response);
                ClaimAnswer::Response(response)
            }
            DispatchOutcome::NotRun => {
                claim.phase = ClaimPhase::Releasing;
                self.after.push_back(ticket);
                ClaimAnswer::NotRun(NotRunCause::NotSent)
            }
            DispatchOutcome::Unknown => {
                self.remove(ticket);
                ClaimAnswer::OutcomeUnknown(UnknownCause::NoResult)
            }
        };
        if !answered {
            effects.push(ClaimEffect::Answer { ticket, answer });
        }
        self.pump(now, effects);
    }

    /// The time of the next call of [`ClaimBook::tick`].
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles what is due.
    pub fn tick(&mut self, now: ClockTime, effects: &mut Vec<ClaimEffect>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                ClaimTimer::Deadline(ticket) => self.expire(ticket, now, effects),
                ClaimTimer::Forget(ticket) => {
                    if let Some(ClaimPhase::Running { .. }) =
                        self.claims.get(ticket).map(|claim| &claim.phase)
                    {
                        self.remove(ticket);
                    }
                }
                ClaimTimer::Write => self.write_timer = None,
                ClaimTimer::Exchange(id) => self.exchange_due(id, now, effects),
            }
        }
        self.pump(now, effects);
    }

    /// Numbers for metrics.
    pub fn stats(&self) -> ClaimStats {
        ClaimStats {
            claims: self.claims.len(),
            pending_bytes: self.pending_bytes,
            down: self.pace.is_down(),
        }
    }

    /// The answer to a request whose key is in the book.
    fn answer_known(&self, ticket: ClaimTicket, fingerprint: BodyFingerprint) -> ClaimAnswer {
        let Some(claim) = self.claims.get(ticket) else {
            return ClaimAnswer::OutcomeUnknown(UnknownCause::InProgress);
        };
        if claim.fingerprint != fingerprint {
            return ClaimAnswer::BodyMismatch;
        }
        match &claim.phase {
            ClaimPhase::Queued
            | ClaimPhase::Writing { answered: false }
            | ClaimPhase::Running { .. } => ClaimAnswer::OutcomeUnknown(UnknownCause::InProgress),
            ClaimPhase::Storing { response, .. } => ClaimAnswer::Stored(response.clone()),
            ClaimPhase::Writing { answered: true } | ClaimPhase::Releasing => {
                ClaimAnswer::NotRun(NotRunCause::Settling)
            }
        }
    }

    fn refuse(&mut self, dispatch_by: ClockTime, now: ClockTime) -> Option<NotRunCause> {
        if dispatch_by <= now {
            return Some(NotRunCause::Expired);
        }
        if self.pace.is_held(now) {
            return Some(NotRunCause::StoreRestored);
        }
        if self.claims.len() >= MAX_CLAIMS {
            return Some(NotRunCause::Full);
        }
        let limit = if self.pace.is_down() { MAX_WAITING_WHILE_DOWN } else { MAX_CLAIMS };
        if self.queue.len() >= limit {
            let claims = &self.claims;
            self.queue.retain(|&ticket| claims.get(ticket).is_some());
        }
        (self.queue.len() >= limit).then_some(NotRunCause::StoreDown)
    }

    /// A request has waited, or has run, for as long as it may.
    fn expire(&mut self, ticket: ClaimTicket, now: ClockTime, effects: &mut Vec<ClaimEffect>) {
        let Some(claim) = self.claims.get_mut(ticket) else { return };
        let answer = match &mut claim.phase {
            ClaimPhase::Queued => {
                self.remove(ticket);
                ClaimAnswer::NotRun(NotRunCause::Expired)
            }
            ClaimPhase::Writing { answered } if !*answered => {
                *answered = true;
                ClaimAnswer::NotRun(NotRunCause::Expired)
            }
            ClaimPhase::Running { answered, .. } if !*answered && claim.deadline <= now => {
                *answered = true;
                let due = claim.deadline + RESULT_GRACE;
                self.timers.schedule(due, ClaimTimer::Forget(ticket));
                ClaimAnswer::OutcomeUnknown(UnknownCause::LateResult)
            }
            _ => return,
        };
        effects.push(ClaimEffect::Answer { ticket, answer });
    }

    fn store_result(&mut self, ticket: ClaimTicket, revision: i64, response: &StoredResponse) {
        let bytes = response.body.len();
        let fits = bytes <= MAX_STORED_RESPONSE_BYTES
            && self.pending_bytes + bytes <= MAX_PENDING_RESPONSE_BYTES;
        match self.claims.get_mut(ticket) {
            Some(claim) if fits => {
                claim.phase = ClaimPhase::Storing { revision, response: response.clone() };
                self.pending_bytes += bytes;
                self.after.push_back(ticket);
            }
            _ => self.remove(ticket),
        }
    }

    fn remove(&mut self, ticket: ClaimTicket) {
        let Some(claim) = self.claims.remove(ticket) else { return };
        self.by_key.remove(&claim.key);
        if let ClaimPhase::Storing { response, .. } = claim.phase {
            self.pending_bytes -= response.body.len();
        }
    }
}
