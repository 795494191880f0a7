//! Settles the items of a batch from what the key-value service holds.

use super::*;

impl ClaimCoordinator {
    /// The claim of a request in the call in flight is its own.
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
        // A paused process may see the acknowledgement before its own deadline timer.
        claim.phase = ClaimPhase::Releasing;
        self.follow_ups.push_back(handle);
        if !answered {
            let cause = if paused { NotRunCause::StoreRestored } else { NotRunCause::Expired };
            effects.push(ClaimEffect::Answer { handle, answer: ClaimAnswer::NotRun(cause) });
        }
    }

    /// Settles one item of a batch from what the service holds under its key.
    pub(super) fn resolve(
        &mut self,
        handle: ClaimHandle,
        found: Option<&ExistingClaim>,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(claim) = self.claims.get_mut(handle) else { return };
        let writer = ClaimWriter { life: self.life, sequence: claim.sequence };
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

/// The answer to a request whose key another writer holds.
fn answer_conflict(record: Option<&ClaimRecord>, fingerprint: BodyFingerprint) -> ClaimAnswer {
    match record {
        Some(record) if record.fingerprint != fingerprint => ClaimAnswer::BodyMismatch,
        Some(ClaimRecord { state: ClaimState::Done(response), .. }) => {
            ClaimAnswer::Stored(response.clone())
        }
        _ => ClaimAnswer::OutcomeUnknown(UnknownCause::ClaimedElsewhere),
    }
}
