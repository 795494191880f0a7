//! The routing policy interface, and the cost-based policy that entries use.

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

/// Decayed number of earlier requests from which a prefix counts as shared.
const MIN_SHARED_COUNT: f32 = 0.5;
/// Share of a server's slots that one prefix may keep busy before the prefix gets another home.
const HOME_SLOT_SHARE: f32 = 0.5;
/// Load bound of a home, as a multiple of the mean load plus one request. A home that would exceed
/// it is skipped.
const MAX_HOME_LOAD: f32 = 1.25;
/// Number of prefix holders to compare. The holders with the longest prefixes are taken, with
/// random choice among equals. Comparing all twelve doubled the time of a decision.
const HOLDER_CANDIDATES: usize = 6;
/// Number of random servers to compare.
const RANDOM_CANDIDATES: usize = 2;
/// Minimum number of servers to check when no candidate has a free slot. `WINDOW_SERVERS` applies
/// if it is larger.
const FALLBACK_TRIES: usize = 12;
/// Upper bound of the random share added to a cost, so that entries with similar views do not all
/// choose the same server.
const JITTER_SHARE: f32 = 0.02;
/// Upper bound in milliseconds of the fixed part of that random addition.
const JITTER_MS: f32 = 1.0;

/// A rule that chooses a server from the state of an entry.
pub trait RoutingPolicy {
    /// Settings of the policy.
    type Settings: Clone + Default;

    /// Creates the policy with its settings.
    fn new(settings: Self::Settings) -> Self;

    /// Chooses a server for the request, or returns why none can take it.
    fn choose<R: Rng>(
        &mut self,
        state: &mut RouterState,
        now: ClockTime,
        request: &RouteRequest<'_>,
        rng: &mut R,
    ) -> Result<RouteDecision, RouteRefusal>;
}

/// Chooses the server with the lowest expected cost among the holders of the prefix, its homes and
/// random alternatives.
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

/// Returns the homes of the deepest shared prefix. Empty for a prompt without a full piece.
fn find_homes(state: &mut RouterState, now: ClockTime, request: &RouteRequest<'_>) -> HomeList {
    let Some((anchor, count)) = count_levels(&mut state.prefix_rates, now, request.chain.pieces())
    else {
        return HomeList::new();
    };
    let Some(ring) = state.table.ring(request.model) else { return HomeList::new() };
    let max_homes = home_count(state, request, PrefixRates::requests_per_second(count));
    let bound = MAX_HOME_LOAD * (state.table.mean_in_flight() + 1.0);
    ring.homes(anchor.as_raw(), max_homes, |server| {
        let load = state.table.get(server).map_or(0, |record| record.in_flight.total());
        state.can_serve(request, server) && load as f32 + 1.0 <= bound
    })
}

/// Counts the request for its prefixes of one, two, four and so on pieces, up to the whole chain.
/// Returns the last piece and count of the longest prefix that earlier requests shared, or of the
/// first prefix if none was shared.
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

/// Returns the number of homes for a prefix with this request rate at one entry, in requests per
/// second.
fn home_count(state: &RouterState, request: &RouteRequest<'_>, rate: f32) -> usize {
    let slots = state
        .table
        .ring(request.model)
        .and_then(|ring| ring.server_at(0))
        .and_then(|server| state.table.get(server))
        .map_or(1, |record| record.slots.max(1));
    let busy_slots = rate * state.settings.entry_count as f32 * state.cost.service_ms() / 1_000.0;
    1 + (busy_slots / (slots as f32 * HOME_SLOT_SHARE)) as usize
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

/// Returns the holders with the longest prefixes. The scan starts at a random holder, so that equal
/// holders share the load.
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

/// Adds a candidate from a random window of the ring, so that a decision fails only when hardly any
/// server has a free slot.
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
    // If no other server has a slot, a straggler is better than waiting.
    let straggler = || serving().find(|&server| state.has_slot_as_straggler(now, request, server));
    let usable = free.or_else(straggler);
    // If no server has a slot, the candidate is ineligible and only shows that the request can wait
    // for one.
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
