//! Maintains the routing state from typed inputs and delegates decisions to a policy.

use std::time::Duration;

use rand::Rng;

use super::{
    CacheUpdate, CostPolicy, FailureKind, ReportedLoad, RequestClass, RouteDecision, RouteRefusal,
    RouteRequest, RouterSettings, RouterState, RoutingPolicy, ServerTable, ServerUpdate,
    dispatch::{Dispatch, DispatchKey},
    state::{STORE_NUMBER, index_number},
    table::TableChange,
};
use crate::{
    arena::KeyArena,
    clock::ClockTime,
    ids::{IncarnationId, ModelKey, ServerKey},
    prefix::{BlockSource, EventAction, PrefixChain},
};

/// Maximum number of servers that [`PrefixRouter::has_free_slot`] checks.
pub const MAX_SLOT_CHECKS: usize = 32;

/// Chooses servers, and updates its estimates from the progress of the requests, load reports and
/// cache events.
#[derive(Debug, Clone)]
pub struct PrefixRouter<P: RoutingPolicy = CostPolicy> {
    pub(super) state: RouterState,
    policy: P,
    /// Requests in flight that this entry sent.
    pub(super) dispatches: KeyArena<DispatchKey, Dispatch>,
}

impl<P: RoutingPolicy> PrefixRouter<P> {
    /// Creates a router that knows no servers.
    pub fn new(settings: RouterSettings, policy: P::Settings) -> PrefixRouter<P> {
        PrefixRouter {
            state: RouterState::new(settings),
            policy: P::new(policy),
            dispatches: KeyArena::new(),
        }
    }

    /// Returns the known servers.
    pub fn table(&self) -> &ServerTable {
        &self.state.table
    }

    /// Returns the state that policies read.
    pub fn state(&self) -> &RouterState {
        &self.state
    }

    /// Sets the number of entries that share the servers; zero counts as one.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.state.settings.entry_count = entry_count.max(1);
    }

    /// Chooses a server without recording anything about the request's execution. The caller sends
    /// the request and then calls [`PrefixRouter::record_dispatch`].
    pub fn decide<R: Rng>(
        &mut self,
        now: ClockTime,
        request: &RouteRequest<'_>,
        rng: &mut R,
    ) -> Result<RouteDecision, RouteRefusal> {
        self.policy.choose(&mut self.state, now, request, rng)
    }

    /// Returns the number of leading pieces in the longest prefix that any server or the KV cache
    /// store is believed to hold. Used to predict the work of a request.
    pub fn longest_hit(&mut self, now: ClockTime, chain: &PrefixChain) -> u16 {
        let state = &mut self.state;
        state.index.lookup(now, chain.pieces(), &mut state.scratch);
        state.scratch.holders().iter().map(|holder| holder.pieces).max().unwrap_or(0)
    }

    /// Returns whether a server of the model can take a request of this class. Checks at most
    /// [`MAX_SLOT_CHECKS`] servers, starting at a random one, so it can miss a free slot in a
    /// larger fleet.
    pub fn has_free_slot<R: Rng>(
        &self,
        now: ClockTime,
        model: ModelKey,
        class: RequestClass,
        rng: &mut R,
    ) -> bool {
        let Some(ring) = self.state.table.ring(model).filter(|ring| !ring.is_empty()) else {
            return false;
        };
        let start = rng.random_range(0..ring.len());
        (0..ring.len().min(MAX_SLOT_CHECKS))
            .filter_map(|step| self.state.table.get(ring.server_at(start + step)?))
            .any(|record| {
                !record.draining && !record.unreachable && {
                    let total = record.load_at(now).requests;
                    let limits = &self.state.settings.limits;
                    !record.exclusive && limits.admits(class, record.in_flight, total, record.slots)
                }
            })
    }

    /// Marks a server as unreachable after a failed connection, or clears the mark after a
    /// successful one. An unreachable server receives no requests.
    pub fn set_server_unreachable(&mut self, server: ServerKey, unreachable: bool) {
        if let Some(record) = self.state.table.get_mut(server) {
            record.unreachable = unreachable;
        }
    }

    /// Records that a request was sent to the chosen server. The prompt's pieces count as cached
    /// there until a cache event says otherwise. Each dispatch must be ended with
    /// [`PrefixRouter::finish_dispatch`] or [`PrefixRouter::fail_dispatch`].
    pub fn record_dispatch(
        &mut self,
        now: ClockTime,
        request: &RouteRequest<'_>,
        decision: &RouteDecision,
    ) -> DispatchKey {
        let server = decision.server;
        let expected_ms = decision.cost.first_token_ms() - decision.cost.slowdown;
        let held = decision.hit_pieces + decision.transfer_pieces;
        let missing =
            self.state.cost.missing_tokens(request.prompt_tokens, held, decision.uncertain_pieces)
                as u32;
        let dispatch = Dispatch {
            server,
            incarnation: decision.incarnation,
            class: request.class,
            sent_at: now,
            expected_ms,
            queue_ms: decision.cost.queue,
            prompt_tokens: request.prompt_tokens,
            held_pieces: held,
            waiting_tokens: missing,
            exclusive: request.exclusive,
        };
        let current = self.is_current(&dispatch);
        if current {
            let state = &mut self.state;
            if let Some(record) = state.table.get_mut(server) {
                record.straggler.record_dispatch(now, record.in_flight.total(), expected_ms);
                record.waiting_tokens += u64::from(missing);
                record.exclusive |= request.exclusive;
            }
            state.table.add_in_flight(server, request.class);
            if let Some(number) = index_number(server) {
                for &piece in request.chain.pieces() {
                    state.index.insert(now, number, piece, BlockSource::Decision);
                }
            }
        }
        self.dispatches.insert(dispatch)
    }

    /// Records the first token of an attempt. `hit_pieces` is the cache hit that the server
    /// reported.
    ///
    /// The observed time is compared with the prediction for the reported hit, so that a wrong
    /// guess about the cache does not make the server look slow. Requests that were expected to
    /// spend most of the time in the queue are not used as a measure of the server's speed.
    pub fn record_first_token(
        &mut self,
        now: ClockTime,
        key: DispatchKey,
        hit_pieces: Option<u32>,
    ) {
        let Some(dispatch) = self.dispatches.get_mut(key) else { return };
        let waiting = std::mem::take(&mut dispatch.waiting_tokens);
        let dispatch = *dispatch;
        if !self.is_current(&dispatch) {
            return;
        }
        let expected_ms = dispatch.expected_ms_for_hit(&self.state.cost.settings, hit_pieces);
        let Some(record) = self.state.table.get_mut(dispatch.server) else { return };
        record.note_waiting_prompts(now);
        record.waiting_tokens = record.waiting_tokens.saturating_sub(u64::from(waiting));
        if dispatch.mostly_queued(expected_ms) {
            record.straggler.record_progress(now);
            return;
        }
        let observed_ms = millis(now.since(dispatch.sent_at));
        self.state.detector.add_first_token(now, &mut record.straggler, observed_ms, expected_ms);
    }

    /// Records the typical gap between tokens since the last call for this attempt. The gap is a
    /// low quantile, because the prefill of other requests widens some gaps even on a healthy
    /// engine. Gaps are not used while prompts wait for prefill, which widens all of them.
    pub fn record_token_gap(&mut self, now: ClockTime, key: DispatchKey, gap: Duration) {
        let Some(dispatch) = self.dispatches.get(key).copied() else { return };
        if !self.is_current(&dispatch) {
            return;
        }
        if let Some(record) = self.state.table.get_mut(dispatch.server) {
            if record.recently_prefilled(now) {
                record.straggler.record_progress(now);
                return;
            }
            self.state.detector.add_token_gap(now, &mut record.straggler, millis(gap));
        }
    }

    /// Records that an attempt is complete and updates the mean service time.
    pub fn finish_dispatch(&mut self, now: ClockTime, key: DispatchKey) {
        if let Some(dispatch) = self.end_dispatch(now, key) {
            self.state.cost.observe_service_time(millis(now.since(dispatch.sent_at)));
        }
    }

    /// Records that an attempt failed or was cancelled.
    pub fn fail_dispatch(&mut self, now: ClockTime, key: DispatchKey, kind: FailureKind) {
        let Some(dispatch) = self.end_dispatch(now, key) else { return };
        if kind == FailureKind::Cancelled && dispatch.waiting_tokens > 0 {
            // A cancelled attempt that had no first token yet gives a lower bound for the time to
            // first token, which still counts as an observation if it exceeds the prediction.
            let observed_ms = millis(now.since(dispatch.sent_at));
            if observed_ms > dispatch.expected_ms
                && self.is_current(&dispatch)
                && let Some(record) = self.state.table.get_mut(dispatch.server)
            {
                let state = &mut record.straggler;
                self.state.detector.add_first_token(now, state, observed_ms, dispatch.expected_ms);
            }
        }
    }

    /// Applies one event from a server's cache event stream and returns how the event was
    /// handled.
    pub fn apply_cache_event(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        incarnation: IncarnationId,
        sequence: u64,
        update: CacheUpdate<'_>,
    ) -> EventAction {
        let action = match self.state.table.get_mut(server) {
            Some(record) if incarnation > record.incarnation => {
                self.advance_incarnation(server, incarnation);
                self.accept_event(server, incarnation, sequence);
                EventAction::ApplyInNewIncarnation
            }
            Some(record) => record.event_cursor.accept_event(incarnation, sequence),
            None => EventAction::OldIncarnation,
        };
        let Some(number) = index_number(server) else { return action };
        match action {
            EventAction::Duplicate | EventAction::OldIncarnation => return action,
            EventAction::ApplyAfterGap { .. } => self.state.index.mark_uncertain(number),
            EventAction::Apply | EventAction::ApplyInNewIncarnation => {}
        }
        self.apply_update(now, number, update);
        action
    }

    /// Marks the cache records of a server as uncertain after events were lost, for example because
    /// the event stream broke.
    pub fn record_event_gap(&mut self, server: ServerKey) {
        if let Some(number) =
            index_number(server).filter(|_| self.state.table.get(server).is_some())
        {
            self.state.index.mark_uncertain(number);
        }
    }

    /// Applies a change of the content of the KV cache store.
    pub fn apply_store_event(&mut self, now: ClockTime, update: CacheUpdate<'_>) {
        self.apply_update(now, STORE_NUMBER, update);
    }

    /// Applies a server's load report. Reports of another incarnation are ignored.
    pub fn apply_load_report(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        incarnation: IncarnationId,
        load: ReportedLoad,
    ) {
        if let Some(record) = self.state.table.get_mut(server)
            && record.incarnation == incarnation
        {
            record.apply_report(now, load);
        }
    }

    /// Adds a server, or updates its slots, models and incarnation. Returns `None` for an earlier
    /// incarnation than the known one, and for a new server when the table is full.
    pub fn upsert_server(&mut self, update: &ServerUpdate<'_>) -> Option<ServerKey> {
        match self.state.table.upsert(update) {
            TableChange::Ignored => None,
            TableChange::Known(server) => Some(server),
            TableChange::NewIncarnation(server) => {
                self.invalidate_cache(server);
                Some(server)
            }
        }
    }

    /// Advances a server to the incarnation that one of its responses named. A known or earlier
    /// incarnation changes nothing.
    pub fn observe_incarnation(&mut self, server: ServerKey, incarnation: IncarnationId) {
        self.advance_incarnation(server, incarnation);
    }

    /// Records that a server in this incarnation has computed a prompt and therefore holds all its
    /// pieces. This also confirms records that are uncertain after an event gap: engines publish
    /// only newly stored pieces, so no event confirms pieces that were already in the cache.
    pub fn record_computed_prefix(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        incarnation: IncarnationId,
        chain: &PrefixChain,
    ) {
        let current = self.state.table.get(server).map(|record| record.incarnation);
        if let Some(number) = index_number(server).filter(|_| current == Some(incarnation)) {
            for &piece in chain.pieces() {
                self.state.index.insert(now, number, piece, BlockSource::Event);
            }
        }
    }

    /// Excludes a server from new requests before its shutdown, or includes it again.
    pub fn set_server_draining(&mut self, server: ServerKey, draining: bool) {
        if let Some(record) = self.state.table.get_mut(server) {
            record.draining = draining;
        }
    }

    /// Removes a server. The caller still ends its attempts in flight with
    /// [`PrefixRouter::fail_dispatch`].
    pub fn remove_server(&mut self, server: ServerKey) {
        if self.state.table.remove(server) {
            self.invalidate_cache(server);
        }
    }

    fn accept_event(&mut self, server: ServerKey, incarnation: IncarnationId, sequence: u64) {
        if let Some(record) = self.state.table.get_mut(server) {
            record.event_cursor.accept_event(incarnation, sequence);
        }
    }

    fn advance_incarnation(&mut self, server: ServerKey, incarnation: IncarnationId) {
        if self.state.table.advance_to(server, incarnation) {
            self.invalidate_cache(server);
        }
    }

    fn invalidate_cache(&mut self, server: ServerKey) {
        if let Some(number) = index_number(server) {
            self.state.index.invalidate(number);
            self.state.scratch.reserve(usize::from(number) + 1);
        }
    }

    fn apply_update(&mut self, now: ClockTime, number: u16, update: CacheUpdate<'_>) {
        let index = &mut self.state.index;
        match update {
            CacheUpdate::Stored(pieces) => {
                for &piece in pieces {
                    index.insert(now, number, piece, BlockSource::Event);
                }
            }
            CacheUpdate::Removed(pieces) => {
                for &piece in pieces {
                    index.remove(number, piece);
                }
            }
            CacheUpdate::Cleared => index.invalidate(number),
        }
    }

    /// Returns whether the server is still in the incarnation that the request was sent to.
    fn is_current(&self, dispatch: &Dispatch) -> bool {
        let record = self.state.table.get(dispatch.server);
        record.is_some_and(|record| record.incarnation == dispatch.incarnation)
    }

    fn end_dispatch(&mut self, now: ClockTime, key: DispatchKey) -> Option<Dispatch> {
        let dispatch = self.dispatches.remove(key)?;
        if self.is_current(&dispatch) {
            self.state.table.remove_in_flight(dispatch.server, dispatch.class);
            if let Some(record) = self.state.table.get_mut(dispatch.server) {
                let waiting = u64::from(dispatch.waiting_tokens);
                record.waiting_tokens = record.waiting_tokens.saturating_sub(waiting);
                record.exclusive &= !dispatch.exclusive;
                record.straggler.record_progress(now);
            }
        }
        Some(dispatch)
    }
}

fn millis(duration: Duration) -> f32 {
    duration.as_secs_f32() * 1_000.0
}
