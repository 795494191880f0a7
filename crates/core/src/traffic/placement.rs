//! Which server runs a request.
//!
//! Each usable server gets a cost in ms: the wait for a slot, the prompt tokens that it has to
//! read or fetch, its observed slowness and failures, and the distance. A shared prefix that no
//! server is known to hold has a home, the first server in rendezvous order, so that nodes that
//! have not heard of each other's choices still send it to the same memory.

use std::{collections::HashMap, time::Duration};

use rand::Rng;

use super::{
    BackendServer, CacheBelief, CacheMap, CacheSource, HEAVY_PROMPT_TOKENS, PlacementChoice,
    PlacementRefusal, PlacementRequest, PrefillLane, PromptShape, ServerRoster, ServerStanding,
    WeightsHistory,
    cost::{backlog_ms, pace, plain_ms, read_ms},
};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    rendezvous::rendezvous_score,
};

/// Time to fetch KV cache from another server, in ms, and for each token.
const FETCH_MS: f64 = 4.0;
const FETCH_TOKEN_MS: f64 = 0.006;
/// Cost of a shared token that is read although some server has read it, in ms beyond its time.
const READ_AGAIN_TOKEN_MS: f64 = 0.04;
/// Share of a prompt's reading that is counted for each stream that it stalls.
const STALL_SHARE: f64 = 0.1;
/// Cost of a long prompt outside the lane, or a short one inside it, in ms.
const LANE_MS: f64 = 80.0;
/// Advantage of the server that all nodes prefer for a prefix, in ms.
const HOME_MS: f64 = 30.0;
/// Ranks the servers of the lane.
const LANE_KEY: &[u8] = b"prefill lane";
/// Time to the first event without any prompt to read, in ms.
const FIRST_EVENT_MS: f64 = 12.0;
/// Slowdown of a prompt's reading by each running request, in ms.
const RUNNING_MS: f64 = 0.6;
/// Work of a plain request before any was observed, in ms.
const PLAIN_WORK_MS: f64 = 40.0;
/// Cost of a hop to another data centre, in ms, beyond the latency: its bytes are dear.
const DISTANCE_MS: f64 = 6.0;
/// The same for each 1,000 bytes of the request.
const DISTANCE_MS_PER_KB: f64 = 1.2;
/// Cost of a server that fails every request, in ms.
const FAILURE_MS: f64 = 1_500.0;
/// Cost of testing a server that did not answer its last request, in ms.
const DOUBT_MS: f64 = 400.0;
/// Cost of an answer on weights that have been replaced, in ms.
const OLD_WEIGHTS_MS: f64 = 250.0;
/// Costs closer than this are equal; one of them is drawn.
const TIE_MS: f64 = 0.5;
/// Time after the naming of new weights from which answers on older ones are dear.
const OLD_WEIGHTS_AFTER: Duration = Duration::from_millis(1_000);
/// Time that a request may take longer than expected until it begins, and multiple of the expected
/// time: under load a request waits up to twice as long as expected.
const BEGIN_MARGIN: Duration = Duration::from_millis(1_200);
const WAIT_FACTOR: f64 = 1.5;
/// Time before the end of older weights at which a request that has not begun is withdrawn.
const WITHDRAW_MARGIN: Duration = Duration::from_millis(300);
/// Multiple of its time without others that a request may take: a long prompt is not refused for
/// its own length.
const ALONE_FACTOR: f64 = 1.3;
/// Longest time for which a refused caller is told to stay away.
const MAX_RETRY: Duration = Duration::from_secs(2);
/// Shortest time for which a refused caller is told to stay away.
const MIN_RETRY: Duration = Duration::from_millis(150);

/// A server that is believed to hold the start of a prompt.
#[derive(Debug, Clone, Copy)]
struct CacheHolder {
    server: ServerKey,
    version: WeightsVersion,
    tokens: u32,
}

/// How carefully servers are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlacementCare {
    /// Servers that did not answer are left alone for a while.
    Usual,
    /// Any server that may run the request.
    LastResort,
}

/// What is the same for all servers that are weighed for a request.
#[derive(Debug, Clone, Default)]
struct RequestView {
    /// The server with most of the prompt.
    holder: Option<CacheHolder>,
    /// The server that all nodes prefer for the shared prefix when none holds it.
    home: Option<ServerKey>,
    /// Servers for long prompts.
    lane: Vec<ServerKey>,
    is_heavy: bool,
}

/// Chooses servers.
#[derive(Debug, Clone)]
pub struct PlacementPlanner {
    /// Data centre of this node.
    data_centre: String,
    /// Time after the naming of new weights in which older ones may still be used.
    version_time: Duration,
    /// Believed contents of the servers' memories.
    pub cache: CacheMap,
    lane: PrefillLane,
    /// Which weights were named when.
    pub weights: WeightsHistory,
    /// Observed work of a plain service's requests, in ms.
    plain_work: HashMap<String, f64>,
}

impl PlacementPlanner {
    /// Creates a planner for a node in `data_centre`.
    pub fn new(data_centre: String, version_time: Duration) -> PlacementPlanner {
        PlacementPlanner {
            data_centre,
            version_time,
            cache: CacheMap::default(),
            lane: PrefillLane::default(),
            weights: WeightsHistory::default(),
            plain_work: HashMap::new(),
        }
    }

    /// Notes how long a plain service took for a request, from its sending to its answer.
    pub fn on_plain_work(&mut self, service: &str, took: Duration) {
        let ms = took.as_secs_f64() * 1_000.0;
        let work = self.plain_work.entry(service.to_string()).or_insert(ms);
        // Slowly, so that a single slow answer does not make all servers look slow.
        *work += (ms - *work) * 0.05;
    }

    /// Notes a prompt of a caller, from which the lane's width follows.
    pub fn on_prompt(&mut self, now: ClockTime, prompt: &PromptShape) {
        if prompt.prompt_tokens >= HEAVY_PROMPT_TOKENS {
            self.lane.on_prompt(now, read_ms(prompt.shared_tokens(), prompt.prompt_tokens));
        }
    }

    /// Chooses a server for a request that has not been sent to any of `tried`.
    pub fn choose(
        &self,
        now: ClockTime,
        roster: &ServerRoster,
        request: &PlacementRequest<'_>,
        tried: &[ServerKey],
        rng: &mut impl Rng,
    ) -> Result<PlacementChoice, PlacementRefusal> {
        let view = self.view(now, roster, request);
        let best = self.best(now, roster, request, &view, tried, PlacementCare::Usual, rng);
        // A server that may not answer is better than none.
        let best = best.or_else(|| {
            self.best(now, roster, request, &view, tried, PlacementCare::LastResort, rng)
        });
        let choice = best.ok_or(PlacementRefusal::NoServer)?;
        let server = roster.get(choice.server).ok_or(PlacementRefusal::NoServer)?;
        let expected = expected_wait(server, &choice);
        let alone = choice.alone_ms * server.health.slowness() * ALONE_FACTOR / 1_000.0;
        let alone = Duration::from_secs_f64(alone.clamp(0.0, 3_600.0));
        let longest = request.patience.max(alone).min(request.time_left);
        if expected > longest {
            let over = expected - longest;
            return Err(PlacementRefusal::Busy(over.clamp(MIN_RETRY, MAX_RETRY)));
        }
        Ok(choice)
    }

    #[expect(clippy::too_many_arguments, reason = "the inputs of one decision")]
    fn best(
        &self,
        now: ClockTime,
        roster: &ServerRoster,
        request: &PlacementRequest<'_>,
        view: &RequestView,
        tried: &[ServerKey],
        care: PlacementCare,
        rng: &mut impl Rng,
    ) -> Option<PlacementChoice> {
        let mut best: Option<(f64, PlacementChoice)> = None;
        let mut weighed = 0;
        for (key, server) in roster.usable(request.service) {
            if tried.contains(&key) || !self.is_open(now, server, request, care) {
                continue;
            }
            let choice = self.weigh(now, key, server, request, view);
            if let (Some(model), Some(version)) = (request.model, choice.weights) {
                let wait = expected_wait(server, &choice).mul_f64(WAIT_FACTOR) + BEGIN_MARGIN;
                if !self.is_current(now + wait, model, version) {
                    continue;
                }
            }
            weighed += 1;
            // Draws among equal servers, so that nodes do not all turn to the same one.
            let drawn = choice.cost_ms + rng.random_range(0.0..TIE_MS);
            if best.is_none_or(|(lowest, _)| drawn < lowest) {
                best = Some((drawn, choice));
            }
        }
        best.map(|(_, choice)| PlacementChoice { weighed, ..choice })
    }

    /// What is the same for all servers that are weighed for a request.
    fn view(
        &self,
        now: ClockTime,
        roster: &ServerRoster,
        request: &PlacementRequest<'_>,
    ) -> RequestView {
        let mut view = RequestView::default();
        let Some(model) = request.model else { return view };
        let is_heavy = request.prompt.prompt_tokens >= HEAVY_PROMPT_TOKENS;
        let mut ranked: Vec<(u64, ServerKey, WeightsVersion)> = Vec::new();
        for (key, server) in roster.usable(request.service) {
            let Some(version) = server.weights(model) else { continue };
            let salt = cache_salt(request.cache_scope, version);
            let belief = CacheBelief::Confirmed;
            let held = self.cache.held_tokens(now, key, salt, request.prompt, belief);
            if held > view.holder.map_or(0, |holder| holder.tokens) {
                view.holder = Some(CacheHolder { server: key, version, tokens: held });
            }
            if server.standing == ServerStanding::Ready && !server.health.is_paused(now) {
                let number = instance_number(&server.listing.instance);
                ranked.push((rendezvous_score(LANE_KEY, number), key, version));
            }
        }
        ranked.sort_unstable_by_key(|(score, key, _)| (std::cmp::Reverse(*score), *key));
        let width = self.lane.width(now, ranked.len(), request.nodes).min(ranked.len());
        view.lane = ranked[..width].iter().map(|(_, key, _)| *key).collect();
        view.is_heavy = is_heavy;
        let own_part = if is_heavy { &ranked[..width] } else { &ranked[width..] };
        let newest = own_part.iter().map(|(_, _, version)| *version).max();
        let Some(affinity) = request.prompt.affinity() else { return view };
        let prefix = (affinity ^ request.cache_scope).to_le_bytes();
        let candidates = own_part.iter().filter(|(_, _, version)| Some(*version) == newest);
        let scored = candidates.map(|(number, key, _)| (rendezvous_score(&prefix, *number), *key));
        view.home = scored.max().map(|(_, key)| key);
        view
    }

    /// Whether a server's weights may be used for a request that begins at `begins`.
    fn is_current(&self, begins: ClockTime, model: &str, version: WeightsVersion) -> bool {
        let replaced_at = self.weights.replaced_at(model, version);
        replaced_at.is_none_or(|at| begins.since(at) < self.version_time)
    }

    fn is_open(
        &self,
        now: ClockTime,
        server: &BackendServer,
        request: &PlacementRequest<'_>,
        care: PlacementCare,
    ) -> bool {
        if now < server.loading_until {
            return false;
        }
        let health = &server.health;
        let tested = health.is_doubtful() && server.in_flight > 0;
        if care == PlacementCare::Usual && (health.is_paused(now) || tested) {
            return false;
        }
        request.model.is_none_or(|model| server.weights(model).is_some())
    }

    fn weigh(
        &self,
        now: ClockTime,
        key: ServerKey,
        server: &BackendServer,
        request: &PlacementRequest<'_>,
        view: &RequestView,
    ) -> PlacementChoice {
        let weights = request.model.and_then(|model| server.weights(model));
        let mut choice = PlacementChoice {
            server: key,
            cost_ms: 0.0,
            base_ms: 0.0,
            alone_ms: 0.0,
            held_tokens: 0,
            shared_tokens: request.prompt.shared_tokens(),
            fetch_from: None,
            saves: false,
            begin_by: None,
            weights,
            weighed: 0,
        };
        match weights {
            Some(version) => self.weigh_engine(now, server, request, view, version, &mut choice),
            None => {
                choice.alone_ms = self.plain_work(request.service);
                choice.base_ms = plain_ms(now, server, choice.alone_ms);
                choice.cost_ms = choice.base_ms;
            }
        }
        choice.cost_ms *= server.health.slowness() * pace(now, server);
        choice.cost_ms += server.health.failure_share(now) * FAILURE_MS;
        let suspected = server.health.is_doubtful() || server.health.is_suspected(now);
        if suspected || server.standing == ServerStanding::Lapsed {
            choice.cost_ms += DOUBT_MS;
        }
        if server.listing.data_centre != self.data_centre {
            choice.cost_ms += DISTANCE_MS + DISTANCE_MS_PER_KB * request.bytes as f64 / 1_000.0;
        }
        if let (Some(model), Some(version)) = (request.model, weights) {
            choice.cost_ms += self.age_cost(now, model, version);
            let replaced_at = self.weights.replaced_at(model, version);
            choice.begin_by = replaced_at.map(|at| at + self.version_time - WITHDRAW_MARGIN);
        }
        choice
    }

    fn weigh_engine(
        &self,
        now: ClockTime,
        server: &BackendServer,
        request: &PlacementRequest<'_>,
        view: &RequestView,
        version: WeightsVersion,
        choice: &mut PlacementChoice,
    ) {
        let prompt = request.prompt;
        let salt = cache_salt(request.cache_scope, version);
        let belief = CacheBelief::Expected;
        let held = self.cache.held_tokens(now, choice.server, salt, prompt, belief);
        let stored =
            if request.has_store { self.cache.stored_tokens(now, salt, prompt) } else { 0 };
        let shared = prompt.shared_tokens();
        choice.saves = request.has_store && stored < shared;
        let holder = view.holder.filter(|holder| holder.version == version && holder.tokens > held);
        let (source, held_there) = match holder {
            Some(holder) if holder.tokens >= stored => {
                (Some(CacheSource::Server(holder.server)), holder.tokens)
            }
            _ if stored > held => (Some(CacheSource::Store), stored),
            // Nothing is known, such as after a restart: the question costs little.
            _ if held < shared && request.has_store => (Some(CacheSource::Store), held),
            _ => (None, held),
        };
        choice.fetch_from = source;
        choice.held_tokens = held.max(held_there);
        let fetched = choice.held_tokens - held;
        let own_ms = read_ms(choice.held_tokens, prompt.prompt_tokens);
        let fetch_ms =
            if fetched > 0 { FETCH_MS + f64::from(fetched) * FETCH_TOKEN_MS } else { 0.0 };
        let load = server.health.load(now).unwrap_or_default();
        let running = (load.running + load.waiting).max(server.in_flight);
        let queued = running.saturating_sub(server.listing.slots.max(1)) + load.waiting;
        let ahead_ms = backlog_ms(now, server);
        choice.alone_ms = FIRST_EVENT_MS + own_ms + fetch_ms;
        choice.base_ms = choice.alone_ms
            + ahead_ms
            + f64::from(queued) * FIRST_EVENT_MS
            + f64::from(running) * RUNNING_MS;
        let again = shared.saturating_sub(choice.held_tokens);
        choice.cost_ms = choice.base_ms + f64::from(again) * READ_AGAIN_TOKEN_MS;
        if view.is_heavy {
            // Every stream at the server waits while the prompt is read.
            choice.cost_ms += f64::from(running) * own_ms * STALL_SHARE;
        }
        if view.lane.contains(&choice.server) != view.is_heavy {
            choice.cost_ms += LANE_MS;
        }
        if view.holder.is_none() && view.home == Some(choice.server) {
            choice.cost_ms -= HOME_MS;
        }
    }

    fn age_cost(&self, now: ClockTime, model: &str, version: WeightsVersion) -> f64 {
        let replaced_at = self.weights.replaced_at(model, version);
        let old = replaced_at.is_some_and(|at| now.since(at) > OLD_WEIGHTS_AFTER);
        if old { OLD_WEIGHTS_MS } else { 0.0 }
    }

    fn plain_work(&self, service: &str) -> f64 {
        self.plain_work.get(service).copied().unwrap_or(PLAIN_WORK_MS)
    }
}

/// Expected time to the answer or the first event.
fn expected_wait(server: &BackendServer, choice: &PlacementChoice) -> Duration {
    let ms = choice.base_ms * server.health.slowness();
    Duration::from_secs_f64((ms / 1_000.0).clamp(0.0, 3_600.0))
}

/// Number of an instance that all nodes derive alike.
fn instance_number(instance: &str) -> u64 {
    rendezvous_score(instance.as_bytes(), 0)
}

/// Identity of the KV cache that requests of a scope share on a version of the weights.
pub fn cache_salt(cache_scope: u64, version: WeightsVersion) -> u64 {
    rendezvous_score(&version.0.to_le_bytes(), cache_scope)
}
