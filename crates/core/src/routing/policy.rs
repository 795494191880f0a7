//! The rule that chooses among servers, and the one that the entry uses.

use rand::Rng;
use smallvec::SmallVec;

use super::{
    CandidateCost, CandidateList, CandidateSource, PrefixRates, RouteDecision, RouteReason,
    RouteRefusal, RouteRequest, RouterState, ring::MAX_HOMES,
};
use crate::{
    clock::ClockTime,
    ids::ServerKey,
    prefix::{PieceHash, PrefixHolder},
};

/// Earlier requests, decayed, from which a prefix counts as shared.
const MIN_SHARED_COUNT: f32 = 0.5;
/// Share of a home's slots that one prefix should use before it gets a further home.
const HOME_SHARE: f32 = 0.5;
/// A home is skipped when it has this many times the mean load, plus one request.
const MAX_HOME_LOAD: f32 = 1.25;
/// Holders of the prefix that are compared: the ones with the longest prefix, and among equal ones
/// a random choice. Comparing all twelve doubled the time of a decision.
const HOLDER_CANDIDATES: usize = 6;
/// Random alternatives.
const RANDOM_CANDIDATES: usize = 2;
/// Further random servers that are tried when no candidate has a free slot.
const FALLBACK_TRIES: usize = 12;
/// Random addition to a cost as a share of it, so that entries do not choose alike.
const JITTER_SHARE: f32 = 0.02;
/// Random addition to a cost in ms.
const JITTER_MS: f32 = 1.0;

/// Chooses a server by what the entry knows.
pub trait RoutingPolicy {
    /// The policy's own settings.
    type Settings: Clone + Default;

    /// Creates the policy.
    fn new(settings: Self::Settings) -> Self;

    /// Chooses a server for the request.
    fn choose<R: Rng>(
        &mut self,
        state: &mut RouterState,
        now: ClockTime,
        request: &RouteRequest<'_>,
        rng: &mut R,
    ) -> Result<RouteDecision, RouteRefusal>;
}

/// The lowest expected cost among holders of the prefix, its homes and random alternatives.
#[derive(Debug, Clone, Copy, Default)]
pub struct CostPolicy;

type HomeList = SmallVec<[ServerKey; MAX_HOMES]>;

impl RoutingPolicy for CostPolicy {
    type Settings = ();

    fn new((): ()) -> CostPolicy {
        CostPolicy
    }

    fn choose<R: Rng>(
        &mut self,
        state: &mut RouterState,
        now: ClockTime,
        request: &RouteRequest<'_>,
        rng: &mut R,
    ) -> Result<RouteDecision, RouteRefusal> {
        state.lookup(now, request);
        let homes = find_homes(state, now, request);
        let mut candidates = CandidateList::default();
        collect_candidates(state, now, request, &homes, rng, &mut candidates);
        if !candidates.iter().any(|candidate| candidate.eligible) {
            add_fallback(state, now, request, &homes, rng, &mut candidates);
        }
        for candidate in candidates.iter_mut() {
            let spread = JITTER_MS + candidate.cost.first_token_ms() * JITTER_SHARE;
            candidate.cost.jitter = rng.random::<f32>() * spread;
        }
        let eligible = candidates.iter().filter(|candidate| candidate.eligible);
        let best = eligible.min_by(|a, b| a.cost.total_ms().total_cmp(&b.cost.total_ms()));
        let Some(&best) = best else {
            return Err(state.refusal(request, !candidates.is_empty()));
        };
        let reason = route_reason(state, &best, &candidates);
        state.decision_for(&best, reason, candidates)
    }
}

/// The homes of the deepest shared prefix, followed by that of the root.
fn find_homes(state: &mut RouterState, now: ClockTime, request: &RouteRequest<'_>) -> HomeList {
    let Some((anchor, count)) = count_levels(&mut state.prefix_rates, now, request.chain.pieces())
    else {
        return HomeList::new();
    };
    let Some(ring) = state.table.ring(request.model) else { return HomeList::new() };
    let width = home_width(state, request, PrefixRates::requests_per_second(count));
    let bound = MAX_HOME_LOAD * (state.table.mean_in_flight() + 1.0);
    ring.homes(anchor.as_raw(), width, |server| {
        let load = state.table.get(server).map_or(0, |record| record.in_flight.total());
        state.can_serve(request, server) && load as f32 + 1.0 <= bound
    })
}

/// Counts the request at the chain's levels, which are one piece, two, four and so on up to the
/// whole chain. Returns the deepest one that earlier requests shared, with its count; otherwise the
/// first.
fn count_levels(
    prefix_rates: &mut PrefixRates,
    now: ClockTime,
    pieces: &[PieceHash],
) -> Option<(PieceHash, f32)> {
    let mut anchor = None;
    let mut depth = 1;
    loop {
        let depth_here = depth.min(pieces.len());
        let piece = *pieces.get(depth_here.checked_sub(1)?)?;
        let count = prefix_rates.count_request(now, piece);
        if anchor.is_none() || count >= MIN_SHARED_COUNT {
            anchor = Some((piece, count));
        }
        if depth >= pieces.len() {
            return anchor;
        }
        depth *= 2;
    }
}

/// How many homes a prefix with this rate needs.
fn home_width(state: &RouterState, request: &RouteRequest<'_>, rate: f32) -> usize {
    let slots = state
        .table
        .ring(request.model)
        .and_then(|ring| ring.server_at(0))
        .and_then(|server| state.table.get(server))
        .map_or(1, |record| record.slots.max(1));
    let busy = rate * state.settings.entry_count as f32 * state.cost.service_ms() / 1_000.0;
    1 + (busy / (slots as f32 * HOME_SHARE)) as usize
}

fn collect_candidates<R: Rng>(
    state: &RouterState,
    now: ClockTime,
    request: &RouteRequest<'_>,
    homes: &[ServerKey],
    rng: &mut R,
    candidates: &mut CandidateList,
) {
    for &home in homes {
        let cost = state.evaluate(now, request, home, CandidateSource::Home, homes);
        push_evaluated(candidates, cost);
    }
    for holder in longest_holders(state.scratch.holders(), rng) {
        let Some(server) = state.table.by_index_number(holder.server) else { continue };
        if !candidates.contains(server) {
            push_evaluated(
                candidates,
                state.evaluate(now, request, server, CandidateSource::Holder, homes),
            );
        }
    }
    for _ in 0..RANDOM_CANDIDATES {
        add_random(state, now, request, homes, rng, candidates);
    }
}

/// The holders with the longest prefixes. The start is random, so that equal ones share the load.
fn longest_holders<R: Rng>(
    holders: &[PrefixHolder],
    rng: &mut R,
) -> SmallVec<[PrefixHolder; HOLDER_CANDIDATES + 1]> {
    let mut longest: SmallVec<[PrefixHolder; HOLDER_CANDIDATES + 1]> = SmallVec::new();
    let start = rng.random_range(0..holders.len().max(1));
    for &holder in holders[start..].iter().chain(&holders[..start]) {
        let rank = longest.partition_point(|other| other.pieces >= holder.pieces);
        if rank < HOLDER_CANDIDATES {
            longest.insert(rank, holder);
            longest.truncate(HOLDER_CANDIDATES);
        }
    }
    longest
}

/// Tries further random servers, so that a decision fails only when the fleet has hardly a free
/// slot.
fn add_fallback<R: Rng>(
    state: &RouterState,
    now: ClockTime,
    request: &RouteRequest<'_>,
    homes: &[ServerKey],
    rng: &mut R,
    candidates: &mut CandidateList,
) {
    let Some(ring) = state.table.ring(request.model) else { return };
    let start = rng.random_range(0..ring.len().max(1));
    let window = ring.len().min(super::ring::WINDOW_SERVERS.max(FALLBACK_TRIES));
    let serving = || {
        let servers = (0..window).filter_map(|step| ring.server_at(start + step));
        servers.filter(|&server| state.can_serve(request, server))
    };
    let free = serving().find(|&server| state.has_slot(now, request, server));
    // A straggler is better than a wait when nothing else can answer.
    let straggler = || serving().find(|&server| state.has_slot_as_straggler(now, request, server));
    let usable = free.or_else(straggler);
    // Without a slot anywhere, the candidate only shows that the request may wait for one.
    let Some(server) = usable.or_else(|| serving().next()) else { return };
    let cost = state.evaluate(now, request, server, CandidateSource::Random, homes);
    if let Some(cost) = cost {
        candidates.push_replacing_last(CandidateCost { eligible: usable.is_some(), ..cost });
    }
}

fn add_random<R: Rng>(
    state: &RouterState,
    now: ClockTime,
    request: &RouteRequest<'_>,
    homes: &[ServerKey],
    rng: &mut R,
    candidates: &mut CandidateList,
) {
    let Some(ring) = state.table.ring(request.model) else { return };
    if ring.is_empty() {
        return;
    }
    let Some(server) = ring.server_at(rng.random_range(0..ring.len())) else { return };
    if !candidates.contains(server) {
        push_evaluated(
            candidates,
            state.evaluate(now, request, server, CandidateSource::Random, homes),
        );
    }
}

fn push_evaluated(candidates: &mut CandidateList, cost: Option<CandidateCost>) {
    if let Some(cost) = cost {
        candidates.push(cost);
    }
}

fn route_reason(
    state: &RouterState,
    best: &CandidateCost,
    candidates: &CandidateList,
) -> RouteReason {
    let straggler =
        state.table.get(best.server).is_some_and(|record| record.straggler.is_straggler());
    let longest = candidates.iter().map(|candidate| candidate.hit_pieces).max().unwrap_or(0);
    if straggler {
        RouteReason::Probe
    } else if best.hit_pieces < longest {
        RouteReason::LowerCost
    } else if best.hit_pieces > 0 {
        RouteReason::PrefixHit
    } else if best.source == CandidateSource::Home {
        RouteReason::PrefixHome
    } else {
        RouteReason::LowerCost
    }
}
