//! Composes batches and follows the open exchange.

use super::*;

impl ClaimBook {
    /// Starts the next batch if something waits, no exchange is open and the pace allows it.
    pub(super) fn pump(&mut self, now: ClockTime, effects: &mut Vec<ClaimEffect>) {
        if self.exchange.is_some() || (self.queue.is_empty() && self.after.is_empty()) {
            return;
        }
        let due = self.pace.next_write();
        if now < due {
            if self.write_timer.is_none_or(|set| due < set) {
                self.write_timer = Some(due);
                self.timers.schedule(due, ClaimTimer::Write);
            }
            return;
        }
        let (tickets, items) = self.compose(now);
        if items.is_empty() {
            return;
        }
        let id = self.open_call(now);
        self.exchange = Some(OpenExchange { id, stage: ExchangeStage::Writing, tickets });
        self.pace.wrote(now);
        effects.push(ClaimEffect::Write { exchange: id, items });
    }

    /// Takes what fits into a batch: creations first, because callers wait for them.
    fn compose(&mut self, now: ClockTime) -> (Vec<ClaimTicket>, Vec<BatchItem>) {
        let mut tickets = Vec::new();
        let mut items = Vec::new();
        let reserved = self.after.len().min(RESERVED_BATCH_ITEMS);
        while items.len() < MAX_BATCH_ITEMS - reserved && !self.pace.is_held(now) {
            let Some(ticket) = self.queue.pop_front() else { break };
            let Some(claim) = self.claims.get_mut(ticket) else { continue };
            // The deadline timer answers it.
            if claim.dispatch_by <= now {
                continue;
            }
            claim.phase = ClaimPhase::Writing { answered: false };
            let record = self.record(ticket, ClaimState::Claimed);
            if let Some((key, record)) = record {
                tickets.push(ticket);
                items.push(BatchItem::Create { key, record });
            }
        }
        let mut bytes = 0;
        while items.len() < MAX_BATCH_ITEMS && bytes < MAX_BATCH_BYTES {
            let Some(ticket) = self.after.pop_front() else { break };
            let item = match self.claims.get(ticket).map(|claim| &claim.phase) {
                Some(ClaimPhase::Storing { revision, response }) => {
                    bytes += response.body.len();
                    let (revision, state) = (*revision, ClaimState::Done(response.clone()));
                    self.record(ticket, state).map(|(key, record)| BatchItem::Store {
                        key,
                        revision,
                        record,
                    })
                }
                Some(ClaimPhase::Releasing) => self
                    .record(ticket, ClaimState::Claimed)
                    .map(|(key, record)| BatchItem::Release { key, record }),
                _ => None,
            };
            if let Some(item) = item {
                tickets.push(ticket);
                items.push(item);
            }
        }
        (tickets, items)
    }

    fn record(&self, ticket: ClaimTicket, state: ClaimState) -> Option<(ClaimKey, ClaimRecord)> {
        let claim = self.claims.get(ticket)?;
        let writer = ClaimWriter { life: self.life, sequence: claim.sequence };
        Some((claim.key, ClaimRecord { writer, fingerprint: claim.fingerprint, state }))
    }

    /// An exchange timer is due: the call has timed out, or the wait before a read-back has ended.
    pub(super) fn exchange_due(&mut self, id: u64, now: ClockTime, effects: &mut Vec<ClaimEffect>) {
        let Some(stage) =
            self.exchange.as_ref().filter(|open| open.id == id).map(|open| open.stage)
        else {
            return;
        };
        if stage != ExchangeStage::Waiting {
            self.lost(id, now);
            return;
        }
        let next = self.open_call(now);
        let claims = &self.claims;
        let Some(open) = &mut self.exchange else { return };
        open.id = next;
        open.stage = ExchangeStage::ReadingBack;
        let keys =
            open.tickets.iter().filter_map(|&ticket| claims.get(ticket)).map(|claim| claim.key);
        effects.push(ClaimEffect::ReadBack { exchange: next, keys: keys.collect() });
    }

    /// Names a call and subscribes its timeout.
    fn open_call(&mut self, now: ClockTime) -> u64 {
        self.next_exchange += 1;
        let id = self.next_exchange;
        self.timers.schedule(now + EXCHANGE_TIMEOUT, ClaimTimer::Exchange(id));
        id
    }

    /// Closes the exchange if `id` names its present call.
    pub(super) fn take_exchange(&mut self, id: u64, stage: ExchangeStage) -> Option<OpenExchange> {
        self.exchange.take_if(|open| open.id == id && open.stage == stage)
    }

    /// Closes the exchange if `id` names its present call, whether it writes or reads.
    pub(super) fn take_any_exchange(&mut self, id: u64) -> Option<OpenExchange> {
        self.exchange.take_if(|open| open.id == id && open.stage != ExchangeStage::Waiting)
    }
}
