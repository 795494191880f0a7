//! Resolves the operations of a batch by the values that exist in the key-value service.

use super::*;

impl ClaimCoordinator {
    /// Handles that the claim of a request was created: dispatches the request, or releases the
    /// claim if the request may no longer run.
    pub(super) fn on_acquired(
        &mut self,
        handle: ClaimHandle,
        revision: i64,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let paused = self.pacer.is_paused(now);
        let Some(claim) = self.claims.get_mut(handle) else { return };
        let ClaimPhase::Writing { answered } = claim.phase else { return };
        if !answered && !paused && now < claim.dispatch_by {
            claim.phase = ClaimPhase::Running { revision, answered: false };
            effects.push(ClaimEffect::Dispatch { handle, not_after: claim.dispatch_by });
            return;
        }
        // A process that was paused may handle the acknowledgement before its own deadline timer,
        // so an expired request may not have been answered yet.
        claim.phase = ClaimPhase::Releasing;
        self.follow_ups.push_back(handle);
        if !answered {
            let cause = if paused { NotRunCause::StoreRestored } else { NotRunCause::Expired };
            effects.push(ClaimEffect::Answer { handle, answer: ClaimAnswer::NotRun(cause) });
        }
    }

    /// Resolves one operation of a batch by `found`, the claim that exists under its key. The
    /// operation took effect, is queued again, or is dropped because another writer changed the
    /// key.
    pub(super) fn resolve(
        &mut self,
        handle: ClaimHandle,
        found: Option<&ExistingClaim>,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(claim) = self.claims.get_mut(handle) else { return };
        let writer = ClaimWriter { incarnation: self.own, sequence: claim.sequence };
        let record = found.and_then(|found| found.record.as_ref());
        let own = record.filter(|record| record.writer == writer);
        match (&claim.phase, found) {
            (ClaimPhase::Writing { answered: false }, None) => {
                claim.phase = ClaimPhase::Queued;
                self.create_queue.push_front(handle);
            }
            (ClaimPhase::Writing { .. }, Some(found)) if own.is_some() => {
                self.on_acquired(handle, found.revision, now, effects);
            }
            (ClaimPhase::Writing { answered }, found) => {
                if let (false, Some(_)) = (*answered, found) {
                    let answer = answer_conflict(record, claim.fingerprint);
                    effects.push(ClaimEffect::Answer { handle, answer });
                }
                self.remove(handle);
            }
            (ClaimPhase::Storing { revision, .. }, Some(found)) if found.revision == *revision => {
                self.follow_ups.push_front(handle);
            }
            (ClaimPhase::Releasing, Some(_))
                if own.is_some_and(|own| own.state == ClaimState::Claimed) =>
            {
                self.follow_ups.push_front(handle);
            }
            _ => self.remove(handle),
        }
    }
}

/// Returns the answer to a request whose claim belongs to another writer.
fn answer_conflict(record: Option<&ClaimRecord>, fingerprint: BodyFingerprint) -> ClaimAnswer {
    match record {
        Some(record) if record.fingerprint != fingerprint => ClaimAnswer::BodyMismatch,
        Some(ClaimRecord { state: ClaimState::Done(response), .. }) => {
            ClaimAnswer::Stored(response.clone())
        }
        _ => ClaimAnswer::OutcomeUnknown(UnknownCause::ClaimedElsewhere),
    }
}
