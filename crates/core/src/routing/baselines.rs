//! Simple routing policies that replays compare with [`CostPolicy`](super::CostPolicy).

use rand::Rng;

use super::{
    CandidateList, CandidateSource, RouteDecision, RouteReason, RouteRefusal, RouteRequest,
    RouterState, RoutingPolicy, ring::MAX_HOMES,
};
use crate::{clock::ClockTime, ids::ServerKey};

/// Chooses the servers in turn.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    next: usize,
}

/// Chooses the server with the fewest requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoaded;

/// Chooses the server with the fewest requests, after subtracting a bonus for its cached share of
/// the prompt.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastLoadedPrefix {
    settings: BonusSettings,
}

/// Settings of [`LeastLoadedPrefix`].
#[derive(Debug, Clone, Copy)]
pub struct BonusSettings {
    /// Number of requests that a hit of the whole prompt outweighs.
    pub requests: f32,
}

impl Default for BonusSettings {
    fn default() -> BonusSettings {
        BonusSettings { requests: 4.0 }
    }
}

/// Chooses servers by consistent hashing of the prompt's first pieces, with bounded loads.
#[derive(Debug, Clone, Copy, Default)]
pub struct PrefixHashing {
    settings: HashingSettings,
}

/// Settings of [`PrefixHashing`].
#[derive(Debug, Clone, Copy)]
pub struct HashingSettings {
    /// Number of leading pieces that are hashed.
    pub pieces: usize,
    /// Load bound as a multiple of the mean load plus one request. A server that would exceed it is
    /// skipped.
    pub load_bound: f32,
}

impl Default for HashingSettings {
    fn default() -> HashingSettings {
        HashingSettings { pieces: 4, load_bound: 1.25 }
    }
}

impl RoutingPolicy for RoundRobin {
    type Settings = ();

    fn new((): ()) -> RoundRobin {
        RoundRobin::default()
    }

    fn choose<R: Rng>(
        &mut self,
        state: &mut RouterState,
        now: ClockTime,
        request: &RouteRequest<'_>,
        _rng: &mut R,
    ) -> Result<RouteDecision, RouteRefusal> {
        self.next = self.next.wrapping_add(1);
        let start = self.next;
        choose_lowest(state, now, request, |_, _, place, count| {
            ((place + count - start % count) % count) as f32
        })
    }
}

impl RoutingPolicy for LeastLoaded {
    type Settings = ();

    fn new((): ()) -> LeastLoaded {
        LeastLoaded
    }

    fn choose<R: Rng>(
        &mut self,
        state: &mut RouterState,
        now: ClockTime,
        request: &RouteRequest<'_>,
        rng: &mut R,
    ) -> Result<RouteDecision, RouteRefusal> {
        choose_lowest(state, now, request, |state, server, _, _| {
            server_load(state, now, server) + rng.random::<f32>() * TIE_BREAK
        })
    }
}

impl RoutingPolicy for LeastLoadedPrefix {
    type Settings = BonusSettings;

    fn new(settings: BonusSettings) -> LeastLoadedPrefix {
        LeastLoadedPrefix { settings }
    }

    fn choose<R: Rng>(
        &mut self,
        state: &mut RouterState,
        now: ClockTime,
        request: &RouteRequest<'_>,
        rng: &mut R,
    ) -> Result<RouteDecision, RouteRefusal> {
        let pieces = request.chain.len().max(1) as f32;
        let bonus = self.settings.requests;
        choose_lowest(state, now, request, |state, server, _, _| {
            let share = f32::from(state.prefix_hit(server).pieces) / pieces;
            server_load(state, now, server) - bonus * share + rng.random::<f32>() * TIE_BREAK
        })
    }
}

impl RoutingPolicy for PrefixHashing {
    type Settings = HashingSettings;

    fn new(settings: HashingSettings) -> PrefixHashing {
        PrefixHashing { settings }
    }

    fn choose<R: Rng>(
        &mut self,
        state: &mut RouterState,
        now: ClockTime,
        request: &RouteRequest<'_>,
        rng: &mut R,
    ) -> Result<RouteDecision, RouteRefusal> {
        state.lookup(now, request);
        let pieces = request.chain.pieces();
        let key = match pieces.get(self.settings.pieces.min(pieces.len()).wrapping_sub(1)) {
            Some(piece) => piece.as_raw(),
            None => rng.random(),
        };
        let bound = self.settings.load_bound * (state.table.mean_in_flight() + 1.0);
        let ring = state.table.ring(request.model).ok_or(RouteRefusal::NoServer)?;
        let homes = ring.homes(key, MAX_HOMES, |server| {
            state.can_serve(request, server) && state.has_slot(now, request, server)
        });
        let within = |server: &&ServerKey| {
            let load = state.table.get(**server).map_or(0, |record| record.in_flight.total());
            load as f32 + 1.0 <= bound
        };
        let chosen = homes.iter().find(within).or(homes.first()).copied();
        decision_of(state, now, request, chosen)
    }
}

/// Upper bound of a random addition, in requests, that breaks ties between servers with the same
/// load.
const TIE_BREAK: f32 = 0.5;

fn server_load(state: &RouterState, now: ClockTime, server: ServerKey) -> f32 {
    state.table.get(server).map_or(0.0, |record| record.load_at(now).requests)
}

/// Returns the decision for the server of the model with the lowest score.
fn choose_lowest(
    state: &mut RouterState,
    now: ClockTime,
    request: &RouteRequest<'_>,
    mut score: impl FnMut(&RouterState, ServerKey, usize, usize) -> f32,
) -> Result<RouteDecision, RouteRefusal> {
    state.lookup(now, request);
    let ring = state.table.ring(request.model).ok_or(RouteRefusal::NoServer)?;
    let mut best: Option<(f32, ServerKey)> = None;
    for place in 0..ring.len() {
        let Some(server) = ring.server_at(place) else { continue };
        if !state.can_serve(request, server) || !state.has_slot(now, request, server) {
            continue;
        }
        let value = score(state, server, place, ring.len());
        if best.is_none_or(|(lowest, _)| value < lowest) {
            best = Some((value, server));
        }
    }
    decision_of(state, now, request, best.map(|(_, server)| server))
}

fn decision_of(
    state: &RouterState,
    now: ClockTime,
    request: &RouteRequest<'_>,
    chosen: Option<ServerKey>,
) -> Result<RouteDecision, RouteRefusal> {
    let chosen = chosen
        .and_then(|server| state.evaluate(now, request, server, CandidateSource::Random, &[]))
        .ok_or_else(|| state.refusal(request, true))?;
    let mut candidates = CandidateList::default();
    candidates.push(chosen);
    state.decision_for(&chosen, RouteReason::Baseline, candidates)
}
