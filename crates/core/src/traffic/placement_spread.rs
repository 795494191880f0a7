//! Spreads the choices of nodes that do not know each other's.
//!
//! Load pattern: many nodes choose at the same time among servers of nearly equal cost. Each knows its
//! own choices at once and those of the others only after the time that notices take. If all took the
//! cheapest server, it would get everything that arrives meanwhile.
//!
//! A node therefore estimates how many requests the others have sent that it does not know of. Spread
//! well, they would raise the cheapest servers to a common cost, the level. The node draws one of the
//! servers below the level, in proportion to the number of requests that each takes until it reaches
//! it. A single node, or one that knows everything, takes the cheapest server. What a server is
//! cheaper by, for instance since it holds the prompt's prefix, counts until the level exceeds it.

use std::{collections::HashMap, time::Duration};

use rand::Rng;

use super::MIN_RELAYED_NODES;
use crate::{clock::ClockTime, ids::ServerKey};

/// Costs that differ by less count as equal, in ms.
const MIN_MARGIN_MS: f64 = 0.5;
/// Time until a choice is known at the other nodes: batch delay, way, and their own work.
const NOTICE_DELAY: Duration = Duration::from_millis(25);
/// The same if relays pass notices on, of which each waits for a batch.
const RELAYED_NOTICE_DELAY: Duration = Duration::from_millis(110);
/// A node that has heard no request of others for this long knows only what servers report to it, which
/// is as old as this on average.
const DEAF_AFTER: Duration = Duration::from_millis(500);
/// Time constant with which the rates of requests decay.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Smallest rise of a server's cost by a request, in ms.
const MIN_STEP_MS: f64 = 0.2;
/// Number of requests that a server is assumed to take if it has no free slot.
const MIN_ROOM: f64 = 0.1;

/// Decaying count of requests.
#[derive(Debug, Clone, Copy, Default)]
struct RequestRate {
    /// Requests and their tokens in the last time constant.
    count: f64,
    tokens: f64,
    at: ClockTime,
}

impl RequestRate {
    fn add(&mut self, now: ClockTime, tokens: u32) {
        let kept = self.kept(now);
        self.count = self.count * kept + 1.0;
        self.tokens = self.tokens * kept + f64::from(tokens);
        self.at = now;
    }

    fn per_second(&self, now: ClockTime) -> f64 {
        self.count * self.kept(now) / RATE_TIME_CONSTANT.as_secs_f64()
    }

    fn kept(&self, now: ClockTime) -> f64 {
        (-now.since(self.at).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// Requests to one service.
#[derive(Debug, Clone, Copy, Default)]
struct ServiceRequests {
    /// Requests of all nodes, as far as known.
    known: RequestRate,
    /// Requests of this node.
    own: RequestRate,
    /// When a request of another node was last heard of.
    heard_at: Option<ClockTime>,
}

/// Estimates which requests of other nodes this node does not know of.
#[derive(Debug, Clone, Default)]
pub struct RequestRates {
    by_service: HashMap<String, ServiceRequests>,
}

impl RequestRates {
    /// Records a request of this node.
    pub fn on_own_request(&mut self, now: ClockTime, service: &str, tokens: u32) {
        let requests = self.by_service.entry(service.to_string()).or_default();
        requests.own.add(now, tokens);
        requests.known.add(now, tokens);
    }

    /// Records that another node has sent a request.
    pub fn on_peer_request(&mut self, now: ClockTime, service: &str, tokens: u32) {
        let requests = self.by_service.entry(service.to_string()).or_default();
        requests.known.add(now, tokens);
        requests.heard_at = Some(now);
    }

    /// Number of requests that the others of `nodes` have sent and this node does not know of.
    pub fn unknown_requests(&self, now: ClockTime, service: &str, nodes: usize) -> f64 {
        let Some(requests) = self.by_service.get(service).filter(|_| nodes > 1) else { return 0.0 };
        let own = requests.own.per_second(now);
        if requests.heard_at.is_none_or(|at| now.since(at) > DEAF_AFTER) {
            // Nothing else is known than that all nodes get about as many.
            return own * (nodes - 1) as f64 * DEAF_AFTER.as_secs_f64();
        }
        let is_relayed = nodes >= MIN_RELAYED_NODES;
        let delay = if is_relayed { RELAYED_NOTICE_DELAY } else { NOTICE_DELAY };
        (requests.known.per_second(now) - own).max(0.0) * delay.as_secs_f64()
    }

    /// Mean prompt tokens to prefill of a service's requests; 0 if none are known.
    pub fn mean_tokens(&self, service: &str) -> f64 {
        let known = self.by_service.get(service).map(|requests| requests.known);
        known.map_or(0.0, |known| known.tokens / known.count.max(1e-9))
    }
}

/// A server that may run a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub server: ServerKey,
    pub cost_ms: f64,
    /// Rise of the cost by another request.
    pub step_ms: f64,
    /// Number of free slots.
    pub room: u32,
}

impl Candidate {
    /// Requests that the server takes until its cost reaches `level_ms`.
    fn share(&self, level_ms: f64) -> f64 {
        let taken = (level_ms - self.cost_ms).max(0.0) / self.step_ms.max(MIN_STEP_MS);
        taken.min(f64::from(self.room).max(MIN_ROOM))
    }
}

/// Draws one of the servers that the cheapest ones would be if `unknown` requests were spread over them.
pub(super) fn draw_server(
    mut candidates: Vec<Candidate>,
    unknown: f64,
    rng: &mut impl Rng,
) -> Option<ServerKey> {
    candidates.sort_unstable_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    let lowest_ms = candidates.first()?.cost_ms;
    let level_ms = common_level(&candidates, unknown).max(lowest_ms + MIN_MARGIN_MS);
    candidates.retain(|candidate| candidate.cost_ms < level_ms);
    let total: f64 = candidates.iter().map(|candidate| candidate.share(level_ms)).sum();
    let mut left = rng.random_range(0.0..1.0) * total;
    for candidate in &candidates {
        left -= candidate.share(level_ms);
        if left < 0.0 {
            return Some(candidate.server);
        }
    }
    candidates.first().map(|candidate| candidate.server)
}

/// Cost of the cheapest servers after they have taken some requests. `candidates` are sorted by cost.
fn common_level(candidates: &[Candidate], requests: f64) -> f64 {
    // Servers below the level: sum of 1 / step and of cost / step.
    let (mut speed, mut weighed, mut level) = (0.0, 0.0, f64::NEG_INFINITY);
    for candidate in candidates {
        if candidate.cost_ms >= level && speed > 0.0 {
            break;
        }
        let per_ms = 1.0 / candidate.step_ms.max(MIN_STEP_MS);
        speed += per_ms;
        weighed += candidate.cost_ms * per_ms;
        level = (requests + weighed) / speed;
    }
    level
}
