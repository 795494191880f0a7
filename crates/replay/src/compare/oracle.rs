//! An upper bound for routing policies: selects the engine with the lowest expected time to first
//! token, computed from the true state of the engines.
//!
//! It reads the caches, the slow factors and all requests in flight without delay, which no entry
//! can do. The selection is greedy: it shows the gain from perfect information, not the optimal
//! assignment of requests.

use std::time::Duration;

use carobvane_core::{
    arena::KeyArena,
    clock::ClockTime,
    define_key,
    prefix::PrefixChain,
    routing::{FailureKind, RequestClass},
};
use carobvane_proto::engine::{CacheEvent, LoadReport};
use carobvane_standin::engine::{EngineHandle, EngineSettings};

use super::selector::{EngineChoice, EngineSelector, RequestView};

/// Cost of evicting blocks of other requests, as a share of the prefill time of the pieces that
/// have to be cached.
const EVICTION_COST_SHARE: f64 = 0.1;

define_key!(
    /// Key of an attempt of the oracle.
    OracleAttemptKey
);

struct OracleAttempt {
    engine: usize,
    /// The prefill that the engine still has to do; `None` after the first token.
    pending: Option<PendingPrefill>,
}

/// A prefill that has not ended, and its prompt.
struct PendingPrefill {
    hashes: Vec<u64>,
    salt: String,
    /// Prompt tokens that were not in the engine's cache when it was selected.
    missing_tokens: f64,
}

/// Selects engines by their true state.
pub struct OracleSelector {
    engines: Vec<EngineHandle>,
    settings: EngineSettings,
    attempts: KeyArena<OracleAttemptKey, OracleAttempt>,
    /// Number of requests in flight on each engine.
    in_flight: Vec<u32>,
}

impl OracleSelector {
    /// Creates an oracle that reads the state of `engines` directly.
    pub fn new(engines: &[EngineHandle]) -> OracleSelector {
        OracleSelector {
            engines: engines.to_vec(),
            settings: EngineSettings::default(),
            attempts: KeyArena::new(),
            in_flight: vec![0; engines.len()],
        }
    }

    /// Number of leading pieces that will be in the engine's cache when a new request starts. This
    /// includes the pieces that requests in flight are about to compute.
    fn expected_hit_pieces(&self, engine: usize, salt: &str, hashes: &[u64]) -> usize {
        let cached = self.engines[engine].cached_prefix_pieces(salt, hashes);
        let pending = self.attempts.iter().filter_map(|(_, attempt)| {
            let pending = attempt.pending.as_ref().filter(|pending| pending.salt == salt)?;
            (attempt.engine == engine).then_some(&pending.hashes)
        });
        let common_prefix = |other: &Vec<u64>| {
            other.iter().zip(hashes).take_while(|(pending, requested)| pending == requested).count()
        };
        pending.map(common_prefix).max().unwrap_or(0).max(cached)
    }

    /// Expected cost in milliseconds, and the number of prompt tokens to compute.
    fn expected_cost(
        &self,
        engine: usize,
        salt: &str,
        hashes: &[u64],
        prompt_tokens: u32,
    ) -> (f64, f64) {
        let settings = &self.settings;
        let hit = self.expected_hit_pieces(engine, salt, hashes) as u32 * settings.piece_tokens;
        let missing_tokens = f64::from(prompt_tokens.saturating_sub(hit));
        let waiting_tokens: f64 = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.engine == engine)
            .filter_map(|(_, attempt)| Some(attempt.pending.as_ref()?.missing_tokens))
            .sum();
        let batch_size = f64::from(self.in_flight[engine]);
        let slots = settings.slots as f64;
        let step_ms = settings.decode_base_ms + settings.decode_ms_per_sequence * batch_size;
        // The engine runs one decode step between two chunks of a prefill.
        let chunks =
            (missing_tokens + waiting_tokens) / f64::from(settings.prefill_chunk_tokens) + 1.0;
        let queueing_ms = (batch_size + 1.0 - slots).max(0.0) * SLOT_OCCUPANCY_MS / slots;
        let first_token_ms = (missing_tokens + waiting_tokens) * settings.prefill_ms_per_token
            + chunks * step_ms
            + queueing_ms;
        let eviction_ms = missing_tokens * settings.prefill_ms_per_token * EVICTION_COST_SHARE;
        (first_token_ms * self.engines[engine].slow_factor() + eviction_ms, missing_tokens)
    }

    fn remove_attempt(&mut self, attempt_key: OracleAttemptKey) {
        if let Some(attempt) = self.attempts.remove(attempt_key) {
            self.in_flight[attempt.engine] -= 1;
        }
    }
}

/// Typical time that a request occupies a slot, in milliseconds.
const SLOT_OCCUPANCY_MS: f64 = 1_500.0;

fn raw_hashes(chain: &PrefixChain) -> Vec<u64> {
    chain.pieces().iter().map(|piece| piece.as_raw()).collect()
}

impl EngineSelector for OracleSelector {
    type AttemptKey = OracleAttemptKey;

    fn select_engine(
        &mut self,
        _now: ClockTime,
        request: &RequestView<'_>,
    ) -> Option<EngineChoice<OracleAttemptKey>> {
        let hashes = raw_hashes(request.chain);
        let salt = request.salt;
        let costs =
            (0..self.engines.len()).filter(|engine| !request.excluded.contains(engine)).map(
                |engine| (engine, self.expected_cost(engine, salt, &hashes, request.prompt_tokens)),
            );
        let (engine, (cost, missing_tokens)) =
            costs.min_by(|(_, (a, _)), (_, (b, _))| a.total_cmp(b))?;
        let hit_pieces = self.expected_hit_pieces(engine, salt, &hashes) as u32;
        self.in_flight[engine] += 1;
        let pending = Some(PendingPrefill { hashes, salt: salt.to_string(), missing_tokens });
        let attempt_key = self.attempts.insert(OracleAttempt { engine, pending });
        let hedge_after = Duration::from_secs_f64(cost.max(1.0));
        Some(EngineChoice { engine, attempt_key, hedge_after, hit_pieces })
    }

    fn has_capacity(&self, _class: RequestClass) -> bool {
        true
    }

    fn record_first_token(
        &mut self,
        _now: ClockTime,
        attempt_key: OracleAttemptKey,
        _engine: usize,
        _hit_pieces: Option<u32>,
        _chain: &PrefixChain,
    ) {
        if let Some(attempt) = self.attempts.get_mut(attempt_key) {
            attempt.pending = None;
        }
    }

    fn record_token_gap(
        &mut self,
        _now: ClockTime,
        _attempt_key: OracleAttemptKey,
        _gap: Duration,
    ) {
    }

    fn record_completion(&mut self, _now: ClockTime, attempt_key: OracleAttemptKey) {
        self.remove_attempt(attempt_key);
    }

    fn record_failure(
        &mut self,
        _now: ClockTime,
        attempt_key: OracleAttemptKey,
        _kind: FailureKind,
    ) {
        self.remove_attempt(attempt_key);
    }

    fn apply_cache_event(&mut self, _now: ClockTime, _engine: usize, _event: &CacheEvent) {}

    fn apply_load_report(&mut self, _now: ClockTime, _engine: usize, _report: &LoadReport) {}
}
