//! Coordinates the claims of one entry: when they are written and what callers are answered.

mod batch;
mod resolve;

use std::collections::{HashMap, VecDeque};

use super::{
    BatchItem, BodyFingerprint, ClaimAnswer, ClaimEffect, ClaimHandle, ClaimKey, ClaimRecord,
    ClaimRequest, ClaimState, ClaimWriter, DispatchOutcome, ExistingClaim, LATE_RESULT_GRACE,
    MAX_BATCH_BYTES, MAX_BATCH_ITEMS, MAX_CLAIMS, MAX_PENDING_RESPONSE_BYTES,
    MAX_STORED_RESPONSE_BYTES, MAX_WAITING_WHILE_DOWN, NotRunCause, RESERVED_BATCH_ITEMS,
    STORE_CALL_TIMEOUT, StoredResponse, UnknownCause,
    call::{BatchStage, CallPacer, InFlightBatch},
};
use crate::{
    arena::KeyArena,
    clock::{ClockTime, TimerQueue},
    ids::NodeIncarnation,
};

/// Decides when claims are written and what callers are answered.
///
/// Each method that takes `effects` appends the actions that the host carries out, in order. After
/// each call the host waits until [`ClaimCoordinator::next_due`] and calls
/// [`ClaimCoordinator::on_timer`].
#[derive(Debug, Clone)]
pub struct ClaimCoordinator {
    own: NodeIncarnation,
    /// Sequence number of the latest request.
    sequence: u64,
    claims: KeyArena<ClaimHandle, PendingClaim>,
    /// Invariant: contains exactly the keys in `claims`, each once.
    by_key: HashMap<ClaimKey, ClaimHandle>,
    /// Claims to create, oldest first. Handles of expired requests stay until they are popped or
    /// the queue is full.
    create_queue: VecDeque<ClaimHandle>,
    /// Results to store and claims to release.
    follow_ups: VecDeque<ClaimHandle>,
    /// The batch that was sent and is not resolved yet.
    in_flight: Option<InFlightBatch>,
    last_call_id: u64,
    pacer: CallPacer,
    /// Body bytes of all responses that wait to be stored.
    pending_response_bytes: usize,
    timers: TimerQueue<ClaimTimer>,
    /// When the earliest [`ClaimTimer::Write`] is due.
    write_timer: Option<ClockTime>,
}

/// A request and its claim.
#[derive(Debug, Clone)]
struct PendingClaim {
    key: ClaimKey,
    fingerprint: BodyFingerprint,
    sequence: u64,
    dispatch_by: ClockTime,
    deadline: ClockTime,
    phase: ClaimPhase,
}

/// How far a request has got. It is dispatched only when it changes from `Queued` or
/// `Writing { answered: false }` to `Running`.
#[derive(Debug, Clone)]
enum ClaimPhase {
    /// The claim waits to be put into a batch.
    Queued,
    /// The creation of the claim is in the batch in flight. `answered`: the caller got `not_run`.
    Writing { answered: bool },
    /// The request was dispatched; its claim has `revision`. `answered`: the caller got
    /// `outcome_unknown`.
    Running { revision: i64, answered: bool },
    /// The result waits to be stored, or is in the batch in flight.
    Storing { revision: i64, response: StoredResponse },
    /// The claim was created, but the request did not run. The deletion of the claim waits or is in
    /// the batch in flight.
    Releasing,
}

#[derive(Debug, Clone, Copy)]
enum ClaimTimer {
    /// Answer a request that has waited until `dispatch_by` or run until its deadline.
    Deadline(ClaimHandle),
    /// Remove a dispatched request that has no result after [`LATE_RESULT_GRACE`].
    DropRunning(ClaimHandle),
    /// The pace allows the next write.
    Write,
    /// The call with this id has timed out, or its read-back is due.
    Call(u64),
}

/// State of a coordinator for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ClaimStats {
    /// Requests in the coordinator, including those whose result waits to be stored.
    pub claims: usize,
    /// Body bytes of all responses that wait to be stored.
    pub pending_response_bytes: usize,
    /// Whether the key-value service counts as down.
    pub store_down: bool,
}

impl ClaimCoordinator {
    /// Creates the coordinator of one incarnation of an entry, without requests.
    pub fn new(own: NodeIncarnation) -> ClaimCoordinator {
        ClaimCoordinator {
            own,
            sequence: 0,
            claims: KeyArena::new(),
            by_key: HashMap::new(),
            create_queue: VecDeque::new(),
            follow_ups: VecDeque::new(),
            in_flight: None,
            last_call_id: 0,
            pacer: CallPacer::new(),
            pending_response_bytes: 0,
            timers: TimerQueue::new(),
            write_timer: None,
        }
    }

    /// Sets the number of live entries, including this one, that share the write rate.
    pub fn set_live_entries(&mut self, count: u32) {
        self.pacer.set_live_entries(count);
    }

    /// Accepts a request, which is answered later by an effect for the returned handle.
    ///
    /// # Errors
    ///
    /// The answer to the caller, if it needs no call to the key-value service.
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
        let handle = self.claims.insert(PendingClaim {
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

    /// Handles that the batch was written. Its keys have `revision`.
    pub fn on_written(
        &mut self,
        call_id: u64,
        revision: i64,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(batch) = self.take_batch_at(call_id, BatchStage::Writing) else { return };
        self.pacer.on_answer(revision, now);
        for handle in batch.handles {
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

    /// Handles the existing values of the batch's keys, read at `revision` of the key-value
    /// service: either a condition of the batch did not hold, or a read-back was answered.
    pub fn on_existing(
        &mut self,
        call_id: u64,
        revision: i64,
        existing: &[ExistingClaim],
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(batch) = self.take_batch(call_id) else { return };
        self.pacer.on_answer(revision, now);
        let existing = existing.iter().map(|claim| (claim.key, claim)).collect::<HashMap<_, _>>();
        // In reverse, so that claims that go back to the front of the queue keep their order.
        for &handle in batch.handles.iter().rev() {
            let Some(claim) = self.claims.get(handle) else { continue };
            let found = existing.get(&claim.key).copied();
            self.resolve(handle, found, now, effects);
        }
        self.start_batch(now, effects);
    }

    /// Handles that a call failed or was not answered. Its write may have taken effect.
    pub fn on_call_lost(&mut self, call_id: u64, now: ClockTime) {
        let next = self.last_call_id + 1;
        let Some(batch) = self.in_flight.as_mut().filter(|batch| batch.call_id == call_id) else {
            return;
        };
        if batch.stage == BatchStage::Waiting {
            return;
        }
        batch.call_id = next;
        batch.stage = BatchStage::Waiting;
        self.last_call_id = next;
        let backoff = self.pacer.on_lost();
        self.timers.schedule(now + backoff, ClaimTimer::Call(next));
    }

    /// Handles the result of a dispatch.
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

    /// Returns when [`ClaimCoordinator::on_timer`] is to be called next.
    pub fn next_due(&self) -> Option<ClockTime> {
        self.timers.next_due()
    }

    /// Handles due timers.
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

    /// Returns the present state for metrics.
    pub fn stats(&self) -> ClaimStats {
        ClaimStats {
            claims: self.claims.len(),
            pending_response_bytes: self.pending_response_bytes,
            store_down: self.pacer.is_down(),
        }
    }

    /// Returns the answer to a request while another one with its key is in the coordinator.
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

    /// Returns why a request with a new key cannot be accepted now; `None` if it can.
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

    /// Answers a request that has waited until `dispatch_by` or run until its deadline.
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

    /// Queues the result of a request to be stored, unless it is too large.
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
