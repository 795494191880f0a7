//! Composes batches, sends them one at a time and reads them back after a lost call.

use super::*;

impl ClaimCoordinator {
    /// Sends the next batch if there is something to write, no batch is in flight and the pace
    /// allows a write. If only the pace prevents it, schedules the write.
    pub(super) fn start_batch(&mut self, now: ClockTime, effects: &mut Vec<ClaimEffect>) {
        if self.in_flight.is_some() || (self.create_queue.is_empty() && self.follow_ups.is_empty())
        {
            return;
        }
        let due = self.pacer.next_write();
        if now < due {
            if self.write_timer.is_none_or(|set| due < set) {
                self.write_timer = Some(due);
                self.timers.schedule(due, ClaimTimer::Write);
            }
            return;
        }
        let (handles, items) = self.compose_batch(now);
        if items.is_empty() {
            return;
        }
        let call_id = self.start_call(now);
        self.in_flight = Some(InFlightBatch { call_id, stage: BatchStage::Writing, handles });
        self.pacer.on_write(now);
        effects.push(ClaimEffect::Write { call_id, items });
    }

    /// Takes the operations that fit into a batch from the queues. Creations come first because
    /// callers wait for them; [`RESERVED_BATCH_ITEMS`] keep results and releases from being delayed
    /// for ever.
    fn compose_batch(&mut self, now: ClockTime) -> (Vec<ClaimHandle>, Vec<BatchItem>) {
        let mut handles = Vec::new();
        let mut items = Vec::new();
        let reserved = self.follow_ups.len().min(RESERVED_BATCH_ITEMS);
        while items.len() < MAX_BATCH_ITEMS - reserved && !self.pacer.is_paused(now) {
            let Some(handle) = self.create_queue.pop_front() else { break };
            let Some(claim) = self.claims.get_mut(handle) else { continue };
            // The deadline timer answers this request.
            if claim.dispatch_by <= now {
                continue;
            }
            claim.phase = ClaimPhase::Writing { answered: false };
            let record = self.claim_record(handle, ClaimState::Claimed);
            if let Some((key, record)) = record {
                handles.push(handle);
                items.push(BatchItem::Create { key, record });
            }
        }
        let mut bytes = 0;
        while items.len() < MAX_BATCH_ITEMS && bytes < MAX_BATCH_BYTES {
            let Some(handle) = self.follow_ups.pop_front() else { break };
            let item = match self.claims.get(handle).map(|claim| &claim.phase) {
                Some(ClaimPhase::Storing { revision, response }) => {
                    bytes += response.body.len();
                    let (revision, state) = (*revision, ClaimState::Done(response.clone()));
                    self.claim_record(handle, state).map(|(key, record)| BatchItem::Store {
                        key,
                        revision,
                        record,
                    })
                }
                Some(ClaimPhase::Releasing) => self
                    .claim_record(handle, ClaimState::Claimed)
                    .map(|(key, record)| BatchItem::Release { key, record }),
                _ => None,
            };
            if let Some(item) = item {
                handles.push(handle);
                items.push(item);
            }
        }
        (handles, items)
    }

    /// Returns the key and value of a request's claim in `state`.
    fn claim_record(
        &self,
        handle: ClaimHandle,
        state: ClaimState,
    ) -> Option<(ClaimKey, ClaimRecord)> {
        let claim = self.claims.get(handle)?;
        let writer = ClaimWriter { incarnation: self.own, sequence: claim.sequence };
        Some((claim.key, ClaimRecord { writer, fingerprint: claim.fingerprint, state }))
    }

    /// Handles the timer of a call: the call has timed out, or the wait before its read-back has
    /// ended.
    pub(super) fn on_call_timer(
        &mut self,
        id: u64,
        now: ClockTime,
        effects: &mut Vec<ClaimEffect>,
    ) {
        let Some(stage) =
            self.in_flight.as_ref().filter(|batch| batch.call_id == id).map(|batch| batch.stage)
        else {
            return;
        };
        if stage != BatchStage::Waiting {
            self.on_call_lost(id, now);
            return;
        }
        let next = self.start_call(now);
        let claims = &self.claims;
        let Some(batch) = &mut self.in_flight else { return };
        batch.call_id = next;
        batch.stage = BatchStage::ReadingBack;
        let keys =
            batch.handles.iter().filter_map(|&handle| claims.get(handle)).map(|claim| claim.key);
        effects.push(ClaimEffect::ReadBack { call_id: next, keys: keys.collect() });
    }

    /// Returns the id of a new call and schedules its timeout.
    fn start_call(&mut self, now: ClockTime) -> u64 {
        self.last_call_id += 1;
        let id = self.last_call_id;
        self.timers.schedule(now + STORE_CALL_TIMEOUT, ClaimTimer::Call(id));
        id
    }

    /// Takes the batch in flight if it has this id and stage.
    pub(super) fn take_batch_at(&mut self, id: u64, stage: BatchStage) -> Option<InFlightBatch> {
        self.in_flight.take_if(|batch| batch.call_id == id && batch.stage == stage)
    }

    /// Takes the batch in flight if it has this id and is a write or a read-back that was sent.
    pub(super) fn take_batch(&mut self, id: u64) -> Option<InFlightBatch> {
        self.in_flight.take_if(|batch| batch.call_id == id && batch.stage != BatchStage::Waiting)
    }
}
