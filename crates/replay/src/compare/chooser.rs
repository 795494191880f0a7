//! The interface between a run and the policy that chooses engines.

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

/// The weights version of all engines.
const WEIGHTS: WeightsVersion = WeightsVersion(1);

/// A request as policies see it.
#[derive(Debug, Clone, Copy)]
pub struct RequestView<'a> {
    /// The cache salt.
    pub salt: &'a str,
    /// The prompt's chain.
    pub chain: &'a PrefixChain,
    /// Short or long, as predicted.
    pub class: RequestClass,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Predicted tokens of the answer.
    pub decode_tokens: u32,
    /// Engines of earlier attempts.
    pub excluded: &'a [usize],
}

/// A chosen engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineChoice<T> {
    /// The engine's index.
    pub engine: usize,
    /// Names the attempt in later calls.
    pub ticket: T,
    /// How long to wait for the first token before a hedge.
    pub hedge_after: Duration,
    /// Pieces that the engine is believed to hold.
    pub hit_pieces: u32,
}

/// Chooses engines and learns from what happens.
pub trait FleetChooser: Sized + 'static {
    /// Names an attempt.
    type Ticket: Copy + 'static;

    /// Chooses an engine and counts the request as sent; nothing while all are at their limits.
    fn choose(
        &mut self,
        now: ClockTime,
        request: &RequestView<'_>,
    ) -> Option<EngineChoice<Self::Ticket>>;
    /// Whether an engine may take a request of this class.
    fn has_room(&self, class: RequestClass) -> bool;
    /// Takes the first token of an attempt, with the pieces that the engine found in its cache.
    fn first_token(
        &mut self,
        now: ClockTime,
        ticket: Self::Ticket,
        engine: usize,
        hit_pieces: Option<u32>,
        chain: &PrefixChain,
    );
    /// Takes the typical gap between tokens of an attempt.
    fn token_gap(&mut self, now: ClockTime, ticket: Self::Ticket, gap: Duration);
    /// Takes the end of a complete attempt.
    fn finished(&mut self, now: ClockTime, ticket: Self::Ticket);
    /// Takes the end of an attempt that failed or was given up.
    fn failed(&mut self, now: ClockTime, ticket: Self::Ticket, kind: FailureKind);
    /// Takes a cache event of an engine.
    fn cache_event(&mut self, now: ClockTime, engine: usize, event: &CacheEvent);
    /// Takes a load report of an engine.
    fn load_report(&mut self, now: ClockTime, engine: usize, report: &LoadReport);
}

/// A policy of the decision library.
pub struct RouterChooser<P: RoutingPolicy> {
    router: PrefixRouter<P>,
    model: ModelKey,
    servers: Vec<ServerKey>,
    rng: SmallRng,
    /// Whether first tokens and gaps reach the router. Simple baselines do not look at them, and
    /// without them no engine counts as a straggler.
    observes: bool,
}

impl<P: RoutingPolicy> RouterChooser<P> {
    /// Creates a router that knows the engines and nothing else.
    pub fn new(
        engines: &[EngineHandle],
        settings: RouterSettings,
        policy: P::Settings,
        seed: u64,
        observes: bool,
    ) -> RouterChooser<P> {
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
        RouterChooser { router, model, servers, rng: SmallRng::seed_from_u64(seed), observes }
    }
}

impl<P: RoutingPolicy + 'static> FleetChooser for RouterChooser<P> {
    type Ticket = DispatchKey;

    fn choose(
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
        let ticket = self.router.record_dispatch(now, &route, &decision);
        Some(EngineChoice {
            engine,
            ticket,
            hedge_after: hedge_delay(&decision.cost),
            hit_pieces: u32::from(decision.hit_pieces),
        })
    }

    fn has_room(&self, class: RequestClass) -> bool {
        let limits = &self.router.state().settings.limits;
        self.router.table().iter().any(|(_, record)| {
            let total = record.in_flight.total() as f32;
            !record.straggler.is_straggler()
                && limits.admits(class, record.in_flight, total, record.slots)
        })
    }

    fn first_token(
        &mut self,
        now: ClockTime,
        ticket: DispatchKey,
        engine: usize,
        hit_pieces: Option<u32>,
        chain: &PrefixChain,
    ) {
        let server = self.servers[engine];
        let life = self.router.table().get(server).map(|record| record.incarnation);
        if let Some(life) = life {
            self.router.record_computed_prefix(now, server, life, chain);
        }
        if self.observes {
            self.router.record_first_token(now, ticket, hit_pieces);
        }
    }

    fn token_gap(&mut self, now: ClockTime, ticket: DispatchKey, gap: Duration) {
        if self.observes {
            self.router.record_token_gap(now, ticket, gap);
        }
    }

    fn finished(&mut self, now: ClockTime, ticket: DispatchKey) {
        self.router.finish_dispatch(now, ticket);
    }

    fn failed(&mut self, now: ClockTime, ticket: DispatchKey, kind: FailureKind) {
        self.router.fail_dispatch(now, ticket, kind);
    }

    fn cache_event(&mut self, now: ClockTime, engine: usize, event: &CacheEvent) {
        let pieces = |hashes: &[u64]| -> Vec<PieceHash> {
            hashes.iter().map(|hash| PieceHash::from_raw(*hash)).collect()
        };
        let server = self.servers[engine];
        let life = IncarnationId(event.incarnation);
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
        self.router.apply_cache_event(now, server, life, event.sequence, update);
    }

    fn load_report(&mut self, now: ClockTime, engine: usize, report: &LoadReport) {
        let load = ReportedLoad {
            running: report.running,
            waiting: report.waiting,
            waiting_tokens: report.waiting_tokens,
        };
        let life = IncarnationId(report.incarnation);
        self.router.apply_load_report(now, self.servers[engine], life, load);
    }
}
