//! A bound: the lowest expected time to first token by the engines' true state.
//!
//! It sees the caches, the slow factors and all requests in flight without delay, which no entry
//! can. It is greedy, so it bounds what better information could give and is not an optimum.

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

use super::chooser::{EngineChoice, FleetChooser, RequestView};

/// Share of the missed prefill that a further copy costs others by evicting their blocks.
const REPLICATION_SHARE: f64 = 0.1;

define_key!(
    /// An attempt of the oracle.
    OracleTicket
);

struct OracleAttempt {
    engine: usize,
    /// Present until the first token.
    pending: Option<PendingPrefill>,
}

struct PendingPrefill {
    hashes: Vec<u64>,
    salt: String,
    missing_tokens: f64,
}

/// Chooses by the engines' true state.
pub struct OracleChooser {
    engines: Vec<EngineHandle>,
    settings: EngineSettings,
    attempts: KeyArena<OracleTicket, OracleAttempt>,
    in_flight: Vec<u32>,
}

impl OracleChooser {
    /// Creates an oracle that looks into the engines.
    pub fn new(engines: &[EngineHandle]) -> OracleChooser {
        OracleChooser {
            engines: engines.to_vec(),
            settings: EngineSettings::default(),
            attempts: KeyArena::new(),
            in_flight: vec![0; engines.len()],
        }
    }

    /// Pieces in the engine's cache by the time a new request gets there.
    fn hit(&self, engine: usize, salt: &str, hashes: &[u64]) -> usize {
        let held = self.engines[engine].cached_prefix_pieces(salt, hashes);
        let pending = self.attempts.iter().filter_map(|(_, attempt)| {
            let pending = attempt.pending.as_ref().filter(|pending| pending.salt == salt)?;
            (attempt.engine == engine).then_some(&pending.hashes)
        });
        let common = |other: &Vec<u64>| {
            other.iter().zip(hashes).take_while(|(held, wanted)| held == wanted).count()
        };
        pending.map(common).max().unwrap_or(0).max(held)
    }

    /// Expected cost in ms, and the tokens to compute.
    fn cost(&self, engine: usize, salt: &str, hashes: &[u64], prompt_tokens: u32) -> (f64, f64) {
        let settings = &self.settings;
        let hit = self.hit(engine, salt, hashes) as u32 * settings.piece_tokens;
        let missing = f64::from(prompt_tokens.saturating_sub(hit));
        let waiting: f64 = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.engine == engine)
            .filter_map(|(_, attempt)| Some(attempt.pending.as_ref()?.missing_tokens))
            .sum();
        let batch = f64::from(self.in_flight[engine]);
        let slots = settings.slots as f64;
        let step = settings.decode_base_ms + settings.decode_ms_per_sequence * batch;
        // A decode step runs between two parts of a prefill.
        let chunks = (missing + waiting) / f64::from(settings.prefill_chunk_tokens) + 1.0;
        let over = (batch + 1.0 - slots).max(0.0) * SERVICE_MS / slots;
        let time = (missing + waiting) * settings.prefill_ms_per_token + chunks * step + over;
        let placement = missing * settings.prefill_ms_per_token * REPLICATION_SHARE;
        (time * self.engines[engine].slow_factor() + placement, missing)
    }

    fn end(&mut self, ticket: OracleTicket) {
        if let Some(attempt) = self.attempts.remove(ticket) {
            self.in_flight[attempt.engine] -= 1;
        }
    }
}

/// Typical time in ms that a request occupies a slot.
const SERVICE_MS: f64 = 1_500.0;

fn raw_hashes(chain: &PrefixChain) -> Vec<u64> {
    chain.pieces().iter().map(|piece| piece.as_raw()).collect()
}

impl FleetChooser for OracleChooser {
    type Ticket = OracleTicket;

    fn choose(
        &mut self,
        _now: ClockTime,
        request: &RequestView<'_>,
    ) -> Option<EngineChoice<OracleTicket>> {
        let hashes = raw_hashes(request.chain);
        let salt = request.salt;
        let costs = (0..self.engines.len())
            .filter(|engine| !request.excluded.contains(engine))
            .map(|engine| (engine, self.cost(engine, salt, &hashes, request.prompt_tokens)));
        let (engine, (cost, missing_tokens)) =
            costs.min_by(|(_, (a, _)), (_, (b, _))| a.total_cmp(b))?;
        let hit_pieces = self.hit(engine, salt, &hashes) as u32;
        self.in_flight[engine] += 1;
        let pending = Some(PendingPrefill { hashes, salt: salt.to_string(), missing_tokens });
        let ticket = self.attempts.insert(OracleAttempt { engine, pending });
        let hedge_after = Duration::from_secs_f64(cost.max(1.0));
        Some(EngineChoice { engine, ticket, hedge_after, hit_pieces })
    }

    fn has_room(&self, _class: RequestClass) -> bool {
        true
    }

    fn first_token(
        &mut self,
        _now: ClockTime,
        ticket: OracleTicket,
        _engine: usize,
        _hit_pieces: Option<u32>,
        _chain: &PrefixChain,
    ) {
        if let Some(attempt) = self.attempts.get_mut(ticket) {
            attempt.pending = None;
        }
    }

    fn token_gap(&mut self, _now: ClockTime, _ticket: OracleTicket, _gap: Duration) {}

    fn finished(&mut self, _now: ClockTime, ticket: OracleTicket) {
        self.end(ticket);
    }

    fn failed(&mut self, _now: ClockTime, ticket: OracleTicket, _kind: FailureKind) {
        self.end(ticket);
    }

    fn cache_event(&mut self, _now: ClockTime, _engine: usize, _event: &CacheEvent) {}

    fn load_report(&mut self, _now: ClockTime, _engine: usize, _report: &LoadReport) {}
}
