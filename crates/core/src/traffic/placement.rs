//! Which server runs a request.
//!
//! Each usable server gets a cost in ms: the wait for a slot, the prompt tokens that it has to
//! read, its observed slowness and failures, and the distance. The shared prefix of a prompt has a
//! home, the first server in rendezvous order, so that nodes that tell each other nothing still
//! send a prefix to the same memory. Load moves a request away from the home only when waiting
//! there costs more than reading the prefix again.

use std::{collections::HashMap, time::Duration};

use rand::Rng;

use super::{BackendServer, CacheMap, PromptShape, ServerRoster, ServerStanding};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    rendezvous::rendezvous_score,
};

/// Prompt tokens that an engine reads in a ms before its own pace has been observed.
const READ_TOKENS_PER_MS: f64 = 36.0;
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
/// Longest time for which a refused caller is told to stay away.
const MAX_RETRY: Duration = Duration::from_secs(2);
/// Shortest time for which a refused caller is told to stay away.
const MIN_RETRY: Duration = Duration::from_millis(150);

/// A request that needs a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that it is for.
    pub service: &'a str,
    /// Model; `None` on a plain service.
    pub model: Option<&'a str>,
    /// Its prompt; empty on a plain service.
    pub prompt: &'a PromptShape,
    /// Scope of its KV cache: differs between workspaces that share none.
    pub cache_scope: u64,
    /// Bytes of the request.
    pub bytes: usize,
    /// Longest wait for an answer that is worth sending it.
    pub patience: Duration,
}

/// The server that was chosen, and why.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlacementChoice {
    /// The server.
    pub server: ServerKey,
    /// Its cost.
    pub cost_ms: f64,
    /// Expected time to the answer or the first event, before the server's slowness is applied.
    pub base_ms: f64,
    /// Prompt tokens that it is believed to hold.
    pub held_tokens: u32,
    /// Version of its weights; `None` on a plain service.
    pub weights: Option<WeightsVersion>,
    /// Servers that were weighed.
    pub weighed: usize,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum PlacementRefusal {
    /// No server of the service may be used.
    NoServer,
    /// All are too busy; the caller may return after this time.
    Busy(Duration),
}

/// Weights of a model that were named last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WantedWeights {
    version: WeightsVersion,
    named_at: ClockTime,
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
    wanted: HashMap<String, WantedWeights>,
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
            wanted: HashMap::new(),
            plain_work: HashMap::new(),
        }
    }

    /// Notes which weights of a model are wanted. Returns whether they are newer.
    pub fn want(&mut self, now: ClockTime, model: &str, version: WeightsVersion) -> bool {
        if self.wanted.get(model).is_some_and(|wanted| wanted.version >= version) {
            return false;
        }
        self.wanted.insert(model.to_string(), WantedWeights { version, named_at: now });
        true
    }

    /// Notes how long a plain service took for a request, from its sending to its answer.
    pub fn on_plain_work(&mut self, service: &str, took: Duration) {
        let ms = took.as_secs_f64() * 1_000.0;
        let work = self.plain_work.entry(service.to_string()).or_insert(ms);
        // Slowly, so that a single slow answer does not make all servers look slow.
        *work += (ms - *work) * 0.05;
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
        let home = self.home(now, roster, request);
        let mut best: Option<(f64, PlacementChoice)> = None;
        let mut weighed = 0;
        for (key, server) in roster.usable(request.service) {
            if tried.contains(&key) || !self.is_open(now, server, request) {
                continue;
            }
            weighed += 1;
            let choice = self.weigh(now, key, server, request, home == Some(key));
            // Draws among equal servers, so that nodes do not all turn to the same one.
            let drawn = choice.cost_ms + rng.random_range(0.0..TIE_MS);
            if best.is_none_or(|(lowest, _)| drawn < lowest) {
                best = Some((drawn, choice));
            }
        }
        let Some((_, mut choice)) = best else { return Err(PlacementRefusal::NoServer) };
        choice.weighed = weighed;
        let expected = self.expected(roster, &choice);
        if expected > request.patience {
            let over = expected - request.patience;
            return Err(PlacementRefusal::Busy(over.clamp(MIN_RETRY, MAX_RETRY)));
        }
        Ok(choice)
    }

    /// Whether a server's weights may be used for a request that begins now.
    fn is_current(&self, now: ClockTime, model: &str, version: WeightsVersion) -> bool {
        let Some(wanted) = self.wanted.get(model) else { return true };
        version >= wanted.version || now.since(wanted.named_at) < self.version_time
    }

    fn is_open(
        &self,
        now: ClockTime,
        server: &BackendServer,
        request: &PlacementRequest<'_>,
    ) -> bool {
        if server.health.is_paused(now) || now < server.loading_until {
            return false;
        }
        if server.health.is_doubtful() && server.in_flight > 0 {
            return false;
        }
        let Some(model) = request.model else { return true };
        server.weights(model).is_some_and(|version| self.is_current(now, model, version))
    }

    /// The server that all nodes prefer for a prompt's shared prefix.
    fn home(
        &self,
        now: ClockTime,
        roster: &ServerRoster,
        request: &PlacementRequest<'_>,
    ) -> Option<ServerKey> {
        let prefix = (request.prompt.affinity()? ^ request.cache_scope).to_le_bytes();
        let open = roster.usable(request.service).filter(|(_, server)| {
            server.standing == ServerStanding::Ready && !server.health.is_paused(now)
        });
        let scored = open.map(|(key, server)| {
            (rendezvous_score(&prefix, instance_number(&server.listing.instance)), key)
        });
        scored.max().map(|(_, key)| key)
    }

    fn weigh(
        &self,
        now: ClockTime,
        key: ServerKey,
        server: &BackendServer,
        request: &PlacementRequest<'_>,
        is_home: bool,
    ) -> PlacementChoice {
        let weights = request.model.and_then(|model| server.weights(model));
        let mut held_tokens = 0;
        let base_ms = match weights {
            Some(version) => {
                let salt = cache_salt(request.cache_scope, version);
                held_tokens = self.cache.held_tokens(now, key, salt, request.prompt);
                if is_home {
                    held_tokens = held_tokens.max(request.prompt.shared_tokens());
                }
                engine_ms(now, server, request.prompt, held_tokens)
            }
            None => self.plain_ms(now, server, request.service),
        };
        let mut cost_ms = base_ms * server.health.slowness();
        cost_ms += server.health.failure_share(now) * FAILURE_MS;
        if server.health.is_doubtful() || server.standing == ServerStanding::Lapsed {
            cost_ms += DOUBT_MS;
        }
        if server.listing.data_centre != self.data_centre {
            cost_ms += DISTANCE_MS + DISTANCE_MS_PER_KB * request.bytes as f64 / 1_000.0;
        }
        if let (Some(model), Some(version)) = (request.model, weights) {
            cost_ms += self.age_cost(now, model, version);
        }
        PlacementChoice { server: key, cost_ms, base_ms, held_tokens, weights, weighed: 0 }
    }

    fn age_cost(&self, now: ClockTime, model: &str, version: WeightsVersion) -> f64 {
        let old = self.wanted.get(model).is_some_and(|wanted| {
            version < wanted.version && now.since(wanted.named_at) > OLD_WEIGHTS_AFTER
        });
        if old { OLD_WEIGHTS_MS } else { 0.0 }
    }

    fn plain_ms(&self, now: ClockTime, server: &BackendServer, service: &str) -> f64 {
        let work = self.plain_work.get(service).copied().unwrap_or(PLAIN_WORK_MS);
        let load = server.health.load(now).unwrap_or_default();
        let busy = (load.running + load.waiting).max(server.in_flight);
        let slots = server.listing.slots.max(1);
        let queued = (busy + 1).saturating_sub(slots);
        let wait = f64::from(queued) / f64::from(slots) * work;
        // A server that is nearly full works more slowly.
        work * (1.0 + 0.4 * f64::from(busy.min(slots)) / f64::from(slots)) + wait
    }

    fn expected(&self, roster: &ServerRoster, choice: &PlacementChoice) -> Duration {
        let slowness = roster.get(choice.server).map_or(1.0, |server| server.health.slowness());
        Duration::from_secs_f64((choice.base_ms * slowness / 1_000.0).clamp(0.0, 3_600.0))
    }
}

/// Time to the first event at an engine, in ms.
fn engine_ms(
    now: ClockTime,
    server: &BackendServer,
    prompt: &PromptShape,
    held_tokens: u32,
) -> f64 {
    let own = prompt.prompt_tokens.saturating_sub(held_tokens);
    let load = server.health.load(now).unwrap_or_default();
    let running = (load.running + load.waiting).max(server.in_flight);
    let slots = server.listing.slots.max(1);
    let queued = running.saturating_sub(slots) + load.waiting;
    let ahead_ms = server.pending_tokens as f64 / READ_TOKENS_PER_MS;
    let queue_ms = f64::from(queued) * FIRST_EVENT_MS;
    let read_ms = f64::from(own) / READ_TOKENS_PER_MS;
    FIRST_EVENT_MS + ahead_ms + queue_ms + read_ms + f64::from(running) * RUNNING_MS
}

/// Number of an instance that all nodes derive alike.
fn instance_number(instance: &str) -> u64 {
    rendezvous_score(instance.as_bytes(), 0)
}

/// Identity of the KV cache that requests of a scope share on a version of the weights.
pub fn cache_salt(cache_scope: u64, version: WeightsVersion) -> u64 {
    rendezvous_score(&version.0.to_le_bytes(), cache_scope)
}
