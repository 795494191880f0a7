//! Settles the items of a batch from what the key-value service holds.

use super::*;

impl ClaimBook {
    /// The claim of a request in the open exchange is its own.
    pub(super) fn acquired(
        &mut self,
        ticket: ClaimTicket,
        revision: i64,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let held = self.pace.is_held(now);
        let Some(claim) = self.claims.get_mut(ticket) else { return };
        let ClaimPhase::Writing { answered } = claim.phase else { return };
        if !answered && !held && now < claim.dispatch_by {
            claim.phase = ClaimPhase::Running { revision, answered: false };
            effects.push(ClaimEffect::Dispatch { ticket, not_after: claim.dispatch_by });
            return;
        }
        // A paused process may see the acknowledgement before its own deadline timer.
        claim.phase = ClaimPhase::Releasing;
        self.after.push_back(ticket);
        if !answered {
            let cause = if held { NotRunCause::StoreRestored } else { NotRunCause::Expired };
            effects.push(ClaimEffect::Answer { ticket, answer: ClaimAnswer::NotRun(cause) });
        }
    }

    /// Settles one item of a batch from what the service holds under its key.
    pub(super) fn resolve(
        &mut self,
        ticket: ClaimTicket,
        found: Option<&ExistingClaim>,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(claim) = self.claims.get_mut(ticket) else { return };
        let writer = ClaimWriter { life: self.life, sequence: claim.sequence };
        let record = found.and_then(|found| found.record.as_ref());
        let own = record.filter(|record| record.writer == writer);
        match (&claim.phase, found) {
            (ClaimPhase::Writing { answered: false }, None) => {
                claim.phase = ClaimPhase::Queued;
                self.queue.push_front(ticket);
            }
            (ClaimPhase::Writing { .. }, Some(found)) if own.is_some() => {
                self.acquired(ticket, found.revision, now, effects);
            }
            (ClaimPhase::Writing { answered }, found) => {
                if let (false, Some(_)) = (*answered, found) {
                    let answer = answer_foreign(record, claim.fingerprint);
                    effects.push(ClaimEffect::Answer { ticket, answer });
                }
                self.remove(ticket);
            }
            (ClaimPhase::Storing { revision, .. }, Some(found)) if found.revision == *revision => {
                self.after.push_front(ticket);
            }
            (ClaimPhase::Releasing, Some(_))
                if own.is_some_and(|own| own.state == ClaimState::Claimed) =>
            {
                self.after.push_front(ticket);
            }
            _ => self.remove(ticket),
        }
    }
}

/// The answer to a request whose key another writer holds.
fn answer_foreign(record: Option<&ClaimRecord>, fingerprint: BodyFingerprint) -> ClaimAnswer {
    match record {
        Some(record) if record.fingerprint != fingerprint => ClaimAnswer::BodyMismatch,
        Some(ClaimRecord { state: ClaimState::Done(response), .. }) => {
            ClaimAnswer::Stored(response.clone())
        }
        _ => ClaimAnswer::OutcomeUnknown(UnknownCause::ClaimedElsewhere),
    }
}
