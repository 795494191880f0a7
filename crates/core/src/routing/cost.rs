//! Expected time to the first token, in milliseconds.

use serde::{Deserialize, Serialize};

use super::{ServerRecord, StragglerDetector, table::LoadEstimate};
use crate::{
    clock::ClockTime,
    ids::{ModelKey, WeightsVersion},
};

/// Weight of a piece whose record is uncertain after an event gap.
const UNCERTAIN_WEIGHT: f32 = 0.5;
/// Share of the missed prefill that a copy outside the prefix's homes costs others by evicting
/// their blocks.
const REPLICATION_SHARE: f32 = 0.5;
/// Milliseconds by which a fully used batch delays a prefill, compared with an idle server.
const BATCH_DELAY_MS: f32 = 20.0;

/// Speeds that the costs are computed with.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct CostSettings {
    /// Tokens of a piece.
    pub piece_tokens: u32,
    /// Prefill time in ms a token.
    pub prefill_ms: f32,
    /// Decode time in ms a token.
    pub decode_ms: f32,
    /// Time in ms to start a transfer from the KV cache store.
    pub transfer_setup_ms: f32,
    /// Time in ms to transfer a piece from the KV cache store.
    pub transfer_piece_ms: f32,
    /// Time in ms to load a model's weights.
    pub weights_load_ms: f32,
}

impl Default for CostSettings {
    fn default() -> CostSettings {
        CostSettings {
            piece_tokens: 2_000,
            prefill_ms: 0.05,
            decode_ms: 20.0,
            transfer_setup_ms: 5.0,
            transfer_piece_ms: 8.0,
            weights_load_ms: 500.0,
        }
    }
}

/// A cost by part, in ms.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct CostParts {
    /// Prefill of tokens that the server does not hold.
    pub prefill: f32,
    /// Requests ahead in the server's queue and batch.
    pub queue: f32,
    /// Extra time because the server was observed to be slow.
    pub slowdown: f32,
    /// Transfer from the KV cache store.
    pub transfer: f32,
    /// Load of the model's weights.
    pub weights: f32,
    /// Eviction that a further copy of the prefix causes.
    pub placement: f32,
    /// Random addition that keeps entries from choosing alike.
    pub jitter: f32,
}

impl CostParts {
    /// The sum of all parts.
    pub fn total_ms(&self) -> f32 {
        self.first_token_ms() + self.placement + self.jitter
    }

    /// The expected time to the first token.
    pub fn first_token_ms(&self) -> f32 {
        self.prefill + self.queue + self.slowdown + self.transfer + self.weights
    }
}

/// What is known about a prefix on one server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PrefixHit {
    pub(super) pieces: u16,
    pub(super) uncertain: u16,
    /// Leading pieces in the KV cache store.
    pub(super) stored: u16,
    /// Whether the server is one of the prefix's homes.
    pub(super) home: bool,
}

/// The request's share of the cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct CostRequest {
    pub(super) now: ClockTime,
    pub(super) model: ModelKey,
    pub(super) weights: WeightsVersion,
    pub(super) prompt_tokens: u32,
}

/// Computes costs.
#[derive(Debug, Clone, Default)]
pub struct CostModel {
    /// The speeds.
    pub settings: CostSettings,
    /// Mean time in ms that a request occupies a slot; decayed over finished requests.
    service_ms: Option<f32>,
}

impl CostModel {
    /// Weight of the newest request in the mean service time.
    const SERVICE_WEIGHT: f32 = 0.05;
    /// Mean service time in ms before any request has finished.
    const SERVICE_DEFAULT_MS: f32 = 1_000.0;

    /// Creates a model with these speeds.
    pub fn new(settings: CostSettings) -> CostModel {
        CostModel { settings, service_ms: None }
    }

    /// Mean time in ms that a request occupies a slot.
    pub fn service_ms(&self) -> f32 {
        self.service_ms.unwrap_or(CostModel::SERVICE_DEFAULT_MS)
    }

    pub(super) fn observe_service_time(&mut self, service_ms: f32) {
        let mean = self.service_ms.get_or_insert(service_ms);
        *mean += (service_ms - *mean) * CostModel::SERVICE_WEIGHT;
    }

    /// Tokens to prefill after a hit.
    pub(super) fn missing_tokens(&self, prompt_tokens: u32, pieces: u16, uncertain: u16) -> f32 {
        let weighted = f32::from(pieces) - f32::from(uncertain) * (1.0 - UNCERTAIN_WEIGHT);
        (prompt_tokens as f32 - weighted * self.settings.piece_tokens as f32).max(0.0)
    }

    /// The cost of a server, and the pieces to transfer to it.
    pub(super) fn estimate(
        &self,
        request: &CostRequest,
        server: &ServerRecord,
        load: LoadEstimate,
        hit: PrefixHit,
        straggler_detector: &StragglerDetector,
    ) -> (CostParts, u16) {
        let settings = &self.settings;
        let missing = self.missing_tokens(request.prompt_tokens, hit.pieces, hit.uncertain);
        let mut prefill = missing * settings.prefill_ms;
        let factor =
            straggler_detector.slowdown(request.now, &server.straggler, server.in_flight.total());
        let mut transfer = 0.0;
        let mut transfer_pieces = 0;
        let extra = hit.stored.saturating_sub(hit.pieces);
        if extra > 0 {
            let saved = (f32::from(extra) * settings.piece_tokens as f32).min(missing)
                * settings.prefill_ms;
            let price = settings.transfer_setup_ms + f32::from(extra) * settings.transfer_piece_ms;
            if price < saved * factor {
                prefill -= saved;
                transfer = price;
                transfer_pieces = extra;
            }
        }
        let queue = self.queue_ms(load, server.slots);
        let weights = if server.weights_of(request.model) == Some(request.weights) {
            0.0
        } else {
            settings.weights_load_ms
        };
        let placement = if hit.home { 0.0 } else { prefill * REPLICATION_SHARE };
        let slowdown = (prefill + queue) * (factor - 1.0);
        let parts =
            CostParts { prefill, queue, slowdown, transfer, weights, placement, jitter: 0.0 };
        (parts, transfer_pieces)
    }

    /// Time in ms until a new request on this server starts its prefill.
    fn queue_ms(&self, load: LoadEstimate, slots: u32) -> f32 {
        let slots = slots.max(1) as f32;
        let over = (load.requests + 1.0 - slots).max(0.0);
        let backlog = load.waiting_tokens * self.settings.prefill_ms;
        let batch = (load.requests / slots).min(1.0) * BATCH_DELAY_MS;
        backlog + batch + over * self.service_ms() / slots
    }
}
