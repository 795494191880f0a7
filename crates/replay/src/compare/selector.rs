//! The interface between a replay and the policy that selects engines, and its implementation by
//! the router of `carobvane-core`.

use std::time::Duration;

use carobvane_core::{
    arena::KeyArena,
    clock::ClockTime,
    ids::{AddressId, IncarnationId, ModelKey, ServerKey, WeightsVersion},
    prefix::{PieceHash, PrefixChain},
    routing::{
        CacheUpdate, DispatchKey, FailureKind, PrefixRouter, ReportedLoad, RequestClass,
        RouteRefusal, RouteRequest, RouterSettings, RoutingPolicy, ServerUpdate, hedge_delay,
    },
};
use carobvane_proto::engine::{CacheChange, CacheEvent, LoadReport};
use carobvane_standin::engine::EngineHandle;
use rand::{SeedableRng, rngs::SmallRng};

/// Weights version that all simulated engines serve.
const WEIGHTS: WeightsVersion = WeightsVersion(1);

/// The properties of a request that a policy may use.
#[derive(Debug, Clone, Copy)]
pub struct RequestView<'a> {
    /// Cache salt: only requests with equal salts share cached pieces.
    pub salt: &'a str,
    /// Hash chain of the prompt's pieces.
    pub chain: &'a PrefixChain,
    /// Predicted class, short or long.
    pub class: RequestClass,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Predicted number of tokens in the response.
    pub decode_tokens: u32,
    /// Indices of engines that earlier attempts have used; they must not be selected.
    pub excluded: &'a [usize],
}

/// The engine selected for an attempt.
#[derive(Debug, Clone, Copy)]
pub struct EngineChoice<T> {
    /// Index of the engine in the fleet.
    pub engine: usize,
    /// Identifies the attempt in later calls.
    pub attempt_key: T,
    /// Simulated time to wait for the first token before a hedge is started.
    pub hedge_after: Duration,
    /// Estimated number of leading prompt pieces in the engine's cache.
    pub hit_pieces: u32,
}

/// A policy that selects engines and updates its state from events.
pub trait EngineSelector: Sized + 'static {
    /// Identifies an attempt.
    type AttemptKey: Copy + 'static;

    /// Selects an engine and records the request as dispatched to it. Returns `None` while every
    /// engine is at its limits.
    fn select_engine(
        &mut self,
        now: ClockTime,
        request: &RequestView<'_>,
    ) -> Option<EngineChoice<Self::AttemptKey>>;
    /// Returns whether some engine can accept a request of this class.
    fn has_capacity(&self, class: RequestClass) -> bool;
    /// Records the first token of an attempt, and the number of pieces that the engine found in its
    /// cache if it reported one.
    fn record_first_token(
        &mut self,
        now: ClockTime,
        attempt_key: Self::AttemptKey,
        engine: usize,
        hit_pieces: Option<u32>,
        chain: &PrefixChain,
    );
    /// Records the typical gap between tokens of an attempt, in simulated time.
    fn record_token_gap(&mut self, now: ClockTime, attempt_key: Self::AttemptKey, gap: Duration);
    /// Records that an attempt completed.
    fn record_completion(&mut self, now: ClockTime, attempt_key: Self::AttemptKey);
    /// Records that an attempt failed or was cancelled.
    fn record_failure(&mut self, now: ClockTime, attempt_key: Self::AttemptKey, kind: FailureKind);
    /// Applies a cache event of an engine.
    fn apply_cache_event(&mut self, now: ClockTime, engine: usize, event: &CacheEvent);
    /// Applies a load report of an engine.
    fn apply_load_report(&mut self, now: ClockTime, engine: usize, report: &LoadReport);
}

/// Selects engines with the router of `carobvane-core` and the routing policy `P`.
pub struct RouterSelector<P: RoutingPolicy> {
    router: PrefixRouter<P>,
    model: ModelKey,
    servers: Vec<ServerKey>,
    rng: SmallRng,
    /// Whether first tokens and token gaps are passed to the router. The baseline policies do not
    /// use them; without them the router never detects a straggler.
    uses_observations: bool,
}

impl<P: RoutingPolicy> RouterSelector<P> {
    /// Creates a router with the given engines, and without any cached prefix or load.
    pub fn new(
        engines: &[EngineHandle],
        settings: RouterSettings,
        policy: P::Settings,
        seed: u64,
        uses_observations: bool,
    ) -> RouterSelector<P> {
        let mut models: KeyArena<ModelKey, ()> = KeyArena::new();
        let model = models.insert(());
        let mut router = PrefixRouter::new(settings, policy);
        let servers = engines.iter().filter_map(|engine| {
            router.upsert_server(&ServerUpdate {
                address: AddressId::from_address(&engine.addr().to_string()),
                incarnation: IncarnationId(engine.incarnation()),
                models: &[(model, WEIGHTS)],
                slots: engine.current_load().slots,
            })
        });
        let servers = servers.collect();
        RouterSelector {
            router,
            model,
            servers,
            rng: SmallRng::seed_from_u64(seed),
            uses_observations,
        }
    }
}

impl<P: RoutingPolicy + 'static> EngineSelector for RouterSelector<P> {
    type AttemptKey = DispatchKey;

    fn select_engine(
        &mut self,
        now: ClockTime,
        request: &RequestView<'_>,
    ) -> Option<EngineChoice<DispatchKey>> {
        let excluded: Vec<ServerKey> =
            request.excluded.iter().map(|engine| self.servers[*engine]).collect();
        let route = RouteRequest {
            model: self.model,
            weights: WEIGHTS,
            chain: request.chain,
            class: request.class,
            prompt_tokens: request.prompt_tokens,
            decode_tokens: request.decode_tokens,
            excluded: &excluded,
            exclusive: false,
        };
        let decision = match self.router.decide(now, &route, &mut self.rng) {
            Ok(decision) => decision,
            Err(RouteRefusal::Saturated { .. }) => return None,
            Err(refusal) => {
                log::debug!("no engine is eligible: {refusal:?}");
                return None;
            }
        };
        let engine = self.servers.iter().position(|server| *server == decision.server)?;
        let attempt_key = self.router.record_dispatch(now, &route, &decision);
        Some(EngineChoice {
            engine,
            attempt_key,
            hedge_after: hedge_delay(&decision.cost),
            hit_pieces: u32::from(decision.hit_pieces),
        })
    }

    fn has_capacity(&self, class: RequestClass) -> bool {
        let limits = &self.router.state().settings.limits;
        self.router.table().iter().any(|(_, record)| {
            let total = record.in_flight.total() as f32;
            !record.straggler.is_straggler()
                && limits.admits(class, record.in_flight, total, record.slots)
        })
    }

    fn record_first_token(
        &mut self,
        now: ClockTime,
        attempt_key: DispatchKey,
        engine: usize,
        hit_pieces: Option<u32>,
        chain: &PrefixChain,
    ) {
        let server = self.servers[engine];
        let incarnation = self.router.table().get(server).map(|record| record.incarnation);
        if let Some(incarnation) = incarnation {
            self.router.record_computed_prefix(now, server, incarnation, chain);
        }
        if self.uses_observations {
            self.router.record_first_token(now, attempt_key, hit_pieces);
        }
    }

    fn record_token_gap(&mut self, now: ClockTime, attempt_key: DispatchKey, gap: Duration) {
        if self.uses_observations {
            self.router.record_token_gap(now, attempt_key, gap);
        }
    }

    fn record_completion(&mut self, now: ClockTime, attempt_key: DispatchKey) {
        self.router.finish_dispatch(now, attempt_key);
    }

    fn record_failure(&mut self, now: ClockTime, attempt_key: DispatchKey, kind: FailureKind) {
        self.router.fail_dispatch(now, attempt_key, kind);
    }

    fn apply_cache_event(&mut self, now: ClockTime, engine: usize, event: &CacheEvent) {
        let pieces = |hashes: &[u64]| -> Vec<PieceHash> {
            hashes.iter().map(|hash| PieceHash::from_raw(*hash)).collect()
        };
        let server = self.servers[engine];
        let incarnation = IncarnationId(event.incarnation);
        let (stored, removed);
        let update = match &event.change {
            CacheChange::Stored { hashes } => {
                stored = pieces(hashes);
                CacheUpdate::Stored(&stored)
            }
            CacheChange::Removed { hashes } => {
                removed = pieces(hashes);
                CacheUpdate::Removed(&removed)
            }
            CacheChange::Cleared => CacheUpdate::Cleared,
        };
        self.router.apply_cache_event(now, server, incarnation, event.sequence, update);
    }

    fn apply_load_report(&mut self, now: ClockTime, engine: usize, report: &LoadReport) {
        let load = ReportedLoad {
            running: report.running,
            waiting: report.waiting,
            waiting_tokens: report.waiting_tokens,
        };
        let incarnation = IncarnationId(report.incarnation);
        self.router.apply_load_report(now, self.servers[engine], incarnation, load);
    }
}
