//! The claims of one entry.

mod batch;
mod resolve;

use std::collections::{HashMap, VecDeque};

use super::{
    BatchItem, BodyFingerprint, ClaimAnswer, ClaimEffect, ClaimHandle, ClaimKey, ClaimRecord,
    ClaimRequest, ClaimState, ClaimWriter, DispatchOutcome, ExistingClaim, LATE_RESULT_GRACE,
    MAX_BATCH_BYTES, MAX_BATCH_ITEMS, MAX_CLAIMS, MAX_PENDING_RESPONSE_BYTES,
    MAX_STORED_RESPONSE_BYTES, MAX_WAITING_WHILE_DOWN, NotRunCause, RESERVED_BATCH_ITEMS,
    STORE_CALL_TIMEOUT, StoredResponse, UnknownCause,
    call::{CallPacer, CallStage, InFlightCall},
};
use crate::{
    arena::KeyArena,
    clock::{ClockTime, TimerQueue},
    ids::NodeIncarnation,
};

/// Decides when claims are written and what callers are answered.
///
/// Each method that takes `effects` appends what the host has to do, in order. After each input
/// the host waits until [`ClaimCoordinator::next_due`] and calls [`ClaimCoordinator::on_timer`].
#[derive(Debug, Clone)]
pub struct ClaimCoordinator {
    life: NodeIncarnation,
    sequence: u64,
    claims: KeyArena<ClaimHandle, WaitingClaim>,
    /// Invariant: holds exactly the keys in `claims`, each once.
    by_key: HashMap<ClaimKey, ClaimHandle>,
    /// Claims to create. Tickets of expired requests stay until they are taken or purged.
    create_queue: VecDeque<ClaimHandle>,
    /// Results to store and claims to release.
    follow_ups: VecDeque<ClaimHandle>,
    call: Option<InFlightCall>,
    last_call_id: u64,
    pacer: CallPacer,
    pending_response_bytes: usize,
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
    /// In the call in flight. `answered`: the caller has been told `not_run`.
    Writing { answered: bool },
    /// Dispatched. `answered`: the caller has been told `outcome_unknown`.
    Running { revision: i64, answered: bool },
    /// The result waits to be stored, or is in the call in flight.
    Storing { revision: i64, response: StoredResponse },
    /// The claim was acquired and did not run; its deletion waits or is in the call in flight.
    Releasing,
}

#[derive(Debug, Clone, Copy)]
enum ClaimTimer {
    Deadline(ClaimHandle),
    DropRunning(ClaimHandle),
    Write,
    Call(u64),
}

/// Numbers for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimStats {
    /// Requests in the coordinator.
    pub claims: usize,
    /// Response bytes that wait to be stored.
    pub pending_response_bytes: usize,
    /// Whether the key-value service counts as down.
    pub store_down: bool,
}

impl ClaimCoordinator {
    /// Creates the coordinator of one incarnation of an entry.
    pub fn new(life: NodeIncarnation) -> ClaimCoordinator {
        ClaimCoordinator {
            life,
            sequence: 0,
            claims: KeyArena::new(),
            by_key: HashMap::new(),
            create_queue: VecDeque::new(),
            follow_ups: VecDeque::new(),
            call: None,
            last_call_id: 0,
            pacer: CallPacer::new(),
            pending_response_bytes: 0,
            timers: TimerQueue::new(),
            write_timer: None,
        }
    }

    /// Sets the number of live entries, this one included, that share the write rate.
    pub fn set_live_entries(&mut self, count: u32) {
        self.pacer.set_live_entries(count);
    }

    /// Takes a request. It is answered at once, or later by an effect for the handle.
    pub fn submit(
        &mut self,
        request: ClaimRequest,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) -> Result<ClaimHandle, ClaimAnswer> {
        if let Some(handle) = self.by_key.get(&request.key) {
            return Err(self.answer_duplicate(*handle, request.fingerprint));
        }
        if let Some(cause) = self.rejection_cause(request.dispatch_by, now) {
            return Err(ClaimAnswer::NotRun(cause));
        }
        self.sequence += 1;
        let handle = self.claims.insert(WaitingClaim {
            key: request.key,
            fingerprint: request.fingerprint,
            sequence: self.sequence,
            dispatch_by: request.dispatch_by,
            deadline: request.deadline,
            phase: ClaimPhase::Queued,
        });
        self.by_key.insert(request.key, handle);
        self.create_queue.push_back(handle);
        self.timers.schedule(request.dispatch_by, ClaimTimer::Deadline(handle));
        self.timers.schedule(request.deadline, ClaimTimer::Deadline(handle));
        self.start_batch(now, effects);
        Ok(handle)
    }

    /// The batch was written; its keys have `revision`.
    pub fn on_written(
        &mut self,
        call_id: u64,
        revision: i64,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(call) = self.take_call(call_id, CallStage::Writing) else { return };
        self.pacer.on_answer(revision, now);
        for handle in call.handles {
            match self.claims.get(handle).map(|claim| &claim.phase) {
                Some(ClaimPhase::Writing { .. }) => {
                    self.on_acquired(handle, revision, now, effects)
                }
                Some(_) => self.remove(handle),
                None => {}
            }
        }
        self.start_batch(now, effects);
    }

    /// The service at `revision` showed the existing values of the batch's keys: the batch's
    /// conditions did not hold, or a read-back was answered.
    pub fn on_existing(
        &mut self,
        call_id: u64,
        revision: i64,
        existing: &[ExistingClaim],
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(call) = self.take_sent_call(call_id) else { return };
        self.pacer.on_answer(revision, now);
        let existing = existing.iter().map(|claim| (claim.key, claim)).collect::<HashMap<_, _>>();
        // In reverse, so that requeued claims keep their order at the front.
        for &handle in call.handles.iter().rev() {
            let Some(claim) = self.claims.get(handle) else { continue };
            let found = existing.get(&claim.key).copied();
            self.resolve(handle, found, now, effects);
        }
        self.start_batch(now, effects);
    }

    /// The call failed or its answer is lost; the write may have taken effect.
    pub fn on_call_lost(&mut self, call_id: u64, now: ClockTime) {
        let next = self.last_call_id + 1;
        let Some(call) = self.call.as_mut().filter(|call| call.id == call_id) else { return };
        if call.stage == CallStage::Waiting {
            return;
        }
        call.id = next;
        call.stage = CallStage::Waiting;
        self.last_call_id = next;
        let backoff = self.pacer.on_lost();
        self.timers.schedule(now + backoff, ClaimTimer::Call(next));
    }

    /// A dispatched request ended.
    pub fn on_dispatch_outcome(
        &mut self,
        handle: ClaimHandle,
        outcome: DispatchOutcome,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(claim) = self.claims.get_mut(handle) else { return };
        let ClaimPhase::Running { revision, answered } = claim.phase else { return };
        let answer = match outcome {
            DispatchOutcome::Response(response) => {
                self.store_result(handle, revision, &response);
                ClaimAnswer::Response(response)
            }
            DispatchOutcome::NotRun => {
                claim.phase = ClaimPhase::Releasing;
                self.follow_ups.push_back(handle);
                ClaimAnswer::NotRun(NotRunCause::NotSent)
            }
            DispatchOutcome::Unknown => {
                self.remove(handle);
                ClaimAnswer::OutcomeUnknown(UnknownCause::NoResult)
            }
        };
        if !answered {
            effects.push(ClaimEffect::Answer { handle, answer });
        }
        self.start_batch(now, effects);
    }

    /// The time of the next call of [`ClaimCoordinator::on_timer`].
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles what is due.
    pub fn on_timer(&mut self, now: ClockTime, effects: &mut Vec<ClaimEffect>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                ClaimTimer::Deadline(handle) => self.expire(handle, now, effects),
                ClaimTimer::DropRunning(handle) => {
                    if let Some(ClaimPhase::Running { .. }) =
                        self.claims.get(handle).map(|claim| &claim.phase)
                    {
                        self.remove(handle);
                    }
                }
                ClaimTimer::Write => self.write_timer = None,
                ClaimTimer::Call(id) => self.on_call_timer(id, now, effects),
            }
        }
        self.start_batch(now, effects);
    }

    /// Numbers for metrics.
    pub fn stats(&self) -> ClaimStats {
        ClaimStats {
            claims: self.claims.len(),
            pending_response_bytes: self.pending_response_bytes,
            store_down: self.pacer.is_down(),
        }
    }

    /// The answer to a request whose key is in the coordinator.
    fn answer_duplicate(&self, handle: ClaimHandle, fingerprint: BodyFingerprint) -> ClaimAnswer {
        let Some(claim) = self.claims.get(handle) else {
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
                ClaimAnswer::NotRun(NotRunCause::ReleasePending)
            }
        }
    }

    fn rejection_cause(&mut self, dispatch_by: ClockTime, now: ClockTime) -> Option<NotRunCause> {
        if dispatch_by <= now {
            return Some(NotRunCause::Expired);
        }
        if self.pacer.is_paused(now) {
            return Some(NotRunCause::StoreRestored);
        }
        if self.claims.len() >= MAX_CLAIMS {
            return Some(NotRunCause::Full);
        }
        let limit = if self.pacer.is_down() { MAX_WAITING_WHILE_DOWN } else { MAX_CLAIMS };
        if self.create_queue.len() >= limit {
            let claims = &self.claims;
            self.create_queue.retain(|&handle| claims.get(handle).is_some());
        }
        (self.create_queue.len() >= limit).then_some(NotRunCause::StoreDown)
    }

    /// A request has waited, or has run, for as long as it may.
    fn expire(&mut self, handle: ClaimHandle, now: ClockTime, effects: &mut Vec<ClaimEffect>) {
        let Some(claim) = self.claims.get_mut(handle) else { return };
        let answer = match &mut claim.phase {
            ClaimPhase::Queued => {
                self.remove(handle);
                ClaimAnswer::NotRun(NotRunCause::Expired)
            }
            ClaimPhase::Writing { answered } if !*answered => {
                *answered = true;
                ClaimAnswer::NotRun(NotRunCause::Expired)
            }
            ClaimPhase::Running { answered, .. } if !*answered && claim.deadline <= now => {
                *answered = true;
                let due = claim.deadline + LATE_RESULT_GRACE;
                self.timers.schedule(due, ClaimTimer::DropRunning(handle));
                ClaimAnswer::OutcomeUnknown(UnknownCause::LateResult)
            }
            _ => return,
        };
        effects.push(ClaimEffect::Answer { handle, answer });
    }

    fn store_result(&mut self, handle: ClaimHandle, revision: i64, response: &StoredResponse) {
        let bytes = response.body.len();
        let fits = bytes <= MAX_STORED_RESPONSE_BYTES
            && self.pending_response_bytes + bytes <= MAX_PENDING_RESPONSE_BYTES;
        match self.claims.get_mut(handle) {
            Some(claim) if fits => {
                claim.phase = ClaimPhase::Storing { revision, response: response.clone() };
                self.pending_response_bytes += bytes;
                self.follow_ups.push_back(handle);
            }
            _ => self.remove(handle),
        }
    }

    fn remove(&mut self, handle: ClaimHandle) {
        let Some(claim) = self.claims.remove(handle) else { return };
        self.by_key.remove(&claim.key);
        if let ClaimPhase::Storing { response, .. } = claim.phase {
            self.pending_response_bytes -= response.body.len();
        }
    }
}
