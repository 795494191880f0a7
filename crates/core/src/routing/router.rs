//! The router: typed inputs, and decisions by a policy.

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

/// Servers that [`PrefixRouter::has_free_slot`] looks at.
pub const MAX_SLOT_CHECKS: usize = 32;

/// Chooses servers, and learns from what happens to the requests.
#[derive(Debug, Clone)]
pub struct PrefixRouter<P: RoutingPolicy = CostPolicy> {
    pub(super) state: RouterState,
    policy: P,
    /// Requests that are in flight.
    pub(super) dispatches: KeyArena<DispatchKey, Dispatch>,
}

impl<P: RoutingPolicy> PrefixRouter<P> {
    /// Creates a router without servers.
    pub fn new(settings: RouterSettings, policy: P::Settings) -> PrefixRouter<P> {
        PrefixRouter {
            state: RouterState::new(settings),
            policy: P::new(policy),
            dispatches: KeyArena::new(),
        }
    }

    /// The servers.
    pub fn table(&self) -> &ServerTable {
        &self.state.table
    }

    /// What the router knows.
    pub fn state(&self) -> &RouterState {
        &self.state
    }

    /// Sets the number of entries that share the servers.
    pub fn set_entry_count(&mut self, entry_count: u32) {
        self.state.settings.entry_count = entry_count.max(1);
    }

    /// Chooses a server. The caller then sends the request and calls
    /// [`PrefixRouter::record_dispatch`].
    pub fn decide<R: Rng>(
        &mut self,
        now: ClockTime,
        request: &RouteRequest<'_>,
        rng: &mut R,
    ) -> Result<RouteDecision, RouteRefusal> {
        self.policy.choose(&mut self.state, now, request, rng)
    }

    /// The longest prefix in pieces that any server is believed to hold, for the prediction of a
    /// request's work.
    pub fn longest_hit(&mut self, now: ClockTime, chain: &PrefixChain) -> u16 {
        let state = &mut self.state;
        state.index.lookup(now, chain.pieces(), &mut state.scratch);
        state.scratch.holders().iter().map(|holder| holder.pieces).max().unwrap_or(0)
    }

    /// Whether some server of the model has a slot for a request of this class. At most
    /// [`MAX_SLOT_CHECKS`] servers are looked at, from a random one on.
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

    /// Notes that a connection to a server failed, or succeeded again. An unreachable server gets
    /// no requests.
    pub fn set_server_unreachable(&mut self, server: ServerKey, unreachable: bool) {
        if let Some(record) = self.state.table.get_mut(server) {
            record.unreachable = unreachable;
        }
    }

    /// Notes that a request was sent. Its pieces count as held by the server until an event
    /// corrects that. The caller ends the dispatch by [`PrefixRouter::finish_dispatch`] or
    /// [`PrefixRouter::fail_dispatch`].
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

    /// Notes the first token of an attempt. `hit_pieces` is what the server says it found in its
    /// cache.
    ///
    /// The time is compared with the prediction for that hit, because a wrong guess about the cache
    /// must not make a server look slow. A request that waited behind others says nothing about the
    /// server's speed.
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
        self.state.straggler_detector.observe_first_token(
            now,
            &mut record.straggler,
            observed_ms,
            expected_ms,
        );
    }

    /// Notes a typical gap between tokens since the last report of this attempt: a low quantile,
    /// since the prefill of other requests widens some gaps of a healthy engine. While prompts wait
    /// there, prefill widens all of them, and the gap says nothing about the server's speed.
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
            self.state.straggler_detector.observe_token_gap(
                now,
                &mut record.straggler,
                millis(gap),
            );
        }
    }

    /// Notes that an attempt is complete.
    pub fn finish_dispatch(&mut self, now: ClockTime, key: DispatchKey) {
        if let Some(dispatch) = self.end_dispatch(now, key) {
            self.state.cost.observe_service_time(millis(now.since(dispatch.sent_at)));
        }
    }

    /// Notes that an attempt failed or was given up.
    pub fn fail_dispatch(&mut self, now: ClockTime, key: DispatchKey, kind: FailureKind) {
        let Some(dispatch) = self.end_dispatch(now, key) else { return };
        if kind == FailureKind::Cancelled && dispatch.waiting_tokens > 0 {
            // A loser without a first token took at least this long, which is an observation too.
            let observed_ms = millis(now.since(dispatch.sent_at));
            if observed_ms > dispatch.expected_ms
                && self.is_current(&dispatch)
                && let Some(record) = self.state.table.get_mut(dispatch.server)
            {
                let straggler = &mut record.straggler;
                self.state.straggler_detector.observe_first_token(
                    now,
                    straggler,
                    observed_ms,
                    dispatch.expected_ms,
                );
            }
        }
    }

    /// Applies an event of a server's cache.
    pub fn apply_cache_event(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        incarnation: IncarnationId,
        sequence: u64,
        update: CacheUpdate<'_>,
    ) -> EventAction {
        let verdict = match self.state.table.get_mut(server) {
            Some(record) if incarnation > record.incarnation => {
                self.advance_incarnation(server, incarnation);
                self.accept_event(server, incarnation, sequence);
                EventAction::ApplyInNewIncarnation
            }
            Some(record) => record.event_cursor.accept_event(incarnation, sequence),
            None => EventAction::OldIncarnation,
        };
        let Some(number) = index_number(server) else { return verdict };
        match verdict {
            EventAction::Duplicate | EventAction::OldIncarnation => return verdict,
            EventAction::ApplyAfterGap { .. } => self.state.index.mark_uncertain(number),
            EventAction::Apply | EventAction::ApplyInNewIncarnation => {}
        }
        self.apply_update(now, number, update);
        verdict
    }

    /// Notes that events of a server were lost, for example because its stream broke.
    pub fn record_event_gap(&mut self, server: ServerKey) {
        if let Some(number) =
            index_number(server).filter(|_| self.state.table.get(server).is_some())
        {
            self.state.index.mark_uncertain(number);
        }
    }

    /// Applies a change of the KV cache store's content.
    pub fn apply_store_event(&mut self, now: ClockTime, update: CacheUpdate<'_>) {
        self.apply_update(now, STORE_NUMBER, update);
    }

    /// Takes a load report. Reports of an earlier life are ignored.
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

    /// Takes a sighting of a server: new, known, with other weights or in a new life. Returns
    /// nothing for an earlier life, and when the table is full.
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

    /// Takes the life that a response of a server carries.
    pub fn observe_incarnation(&mut self, server: ServerKey, incarnation: IncarnationId) {
        self.advance_incarnation(server, incarnation);
    }

    /// Notes that a server in this life has computed a prompt, so it holds all its pieces now. This
    /// confirms records that a gap in the events had made uncertain: engines publish only new
    /// pieces, so those that are found in the cache never come as events.
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

    /// Stops new work for a server that is to be shut down, or allows it again.
    pub fn set_server_draining(&mut self, server: ServerKey, draining: bool) {
        if let Some(record) = self.state.table.get_mut(server) {
            record.draining = draining;
        }
    }

    /// Removes a server. Its attempts in flight still end by [`PrefixRouter::fail_dispatch`].
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
        if self.state.table.advance_incarnation(server, incarnation) {
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

    /// Whether the server of a dispatch is still in the life that it was sent to.
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
