//! Estimates the time to first token in milliseconds.

use serde::{Deserialize, Serialize};

use super::{ServerRecord, StragglerDetector, table::LoadEstimate};
use crate::{
    clock::ClockTime,
    ids::{ModelKey, WeightsVersion},
};

/// Weight of a cached piece whose record is uncertain after an event gap.
const UNCERTAIN_WEIGHT: f32 = 0.5;
/// Cost of a copy outside the prefix's homes, as a share of the missing prefill. The copy evicts
/// blocks that other requests need.
const REPLICATION_SHARE: f32 = 0.5;
/// Delay of a prefill in milliseconds when the batch is full, compared with an idle server.
const BATCH_DELAY_MS: f32 = 20.0;

/// Speed parameters of the cost model.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CostSettings {
    /// Number of tokens in a piece.
    pub piece_tokens: u32,
    /// Prefill time per token in milliseconds.
    pub prefill_ms: f32,
    /// Decode time per token in milliseconds.
    pub decode_ms: f32,
    /// Fixed time of a transfer from the KV cache store, in milliseconds.
    pub transfer_setup_ms: f32,
    /// Transfer time per piece from the KV cache store, in milliseconds.
    pub transfer_piece_ms: f32,
    /// Time to load a model's weights, in milliseconds.
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

/// The components of a cost, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct CostParts {
    /// Time to prefill the tokens that the server does not hold.
    pub prefill: f32,
    /// Time spent behind other requests in the server's queue and batch.
    pub queue: f32,
    /// Additional time because the server was observed to be slow.
    pub slowdown: f32,
    /// Time to transfer pieces from the KV cache store.
    pub transfer: f32,
    /// Time to load the model's weights.
    pub weights: f32,
    /// Cost to other requests of the blocks that another copy of the prefix evicts. Not part of the
    /// time to first token.
    pub placement: f32,
    /// Random addition that keeps entries from all choosing the same server. Not part of the time
    /// to first token.
    pub jitter: f32,
}

impl CostParts {
    /// Returns the sum of all components in milliseconds.
    pub fn total_ms(&self) -> f32 {
        self.first_token_ms() + self.placement + self.jitter
    }

    /// Returns the expected time to first token in milliseconds.
    pub fn first_token_ms(&self) -> f32 {
        self.prefill + self.queue + self.slowdown + self.transfer + self.weights
    }
}

/// The part of a prompt's prefix that is cached for one server.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PrefixHit {
    pub(super) pieces: u16,
    pub(super) uncertain: u16,
    /// Leading pieces that the KV cache store holds.
    pub(super) stored: u16,
    /// Whether the server is one of the prefix's homes.
    pub(super) home: bool,
}

/// Properties of a request that its cost depends on.
#[derive(Debug, Clone, Copy)]
pub(super) struct CostRequest {
    pub(super) now: ClockTime,
    pub(super) model: ModelKey,
    pub(super) weights: WeightsVersion,
    pub(super) prompt_tokens: u32,
}

/// Estimates costs from the speed parameters and the observed service time.
#[derive(Debug, Clone, Default)]
pub struct CostModel {
    /// The speed parameters.
    pub settings: CostSettings,
    /// Exponential moving average, in milliseconds, of the time that a request occupies a slot.
    /// `None` before any request has finished.
    service_ms: Option<f32>,
}

impl CostModel {
    /// Weight of the newest request in the mean service time.
    const SERVICE_WEIGHT: f32 = 0.05;
    /// Mean service time in milliseconds before any request has finished.
    const SERVICE_DEFAULT_MS: f32 = 1_000.0;

    /// Creates a model with these speed parameters.
    pub fn new(settings: CostSettings) -> CostModel {
        CostModel { settings, service_ms: None }
    }

    /// Returns the mean time in milliseconds that a request occupies a slot.
    pub fn service_ms(&self) -> f32 {
        self.service_ms.unwrap_or(CostModel::SERVICE_DEFAULT_MS)
    }

    pub(super) fn observe_service_time(&mut self, service_ms: f32) {
        let mean = self.service_ms.get_or_insert(service_ms);
        *mean += (service_ms - *mean) * CostModel::SERVICE_WEIGHT;
    }

    /// Returns the number of tokens to prefill after a cache hit. Uncertain pieces count with a
    /// reduced weight.
    pub(super) fn missing_tokens(&self, prompt_tokens: u32, pieces: u16, uncertain: u16) -> f32 {
        let weighted = f32::from(pieces) - f32::from(uncertain) * (1.0 - UNCERTAIN_WEIGHT);
        (prompt_tokens as f32 - weighted * self.settings.piece_tokens as f32).max(0.0)
    }

    /// Returns the cost of a server, and the number of pieces to transfer to it from the KV cache
    /// store.
    pub(super) fn estimate(
        &self,
        request: &CostRequest,
        server: &ServerRecord,
        load: LoadEstimate,
        hit: PrefixHit,
        detector: &StragglerDetector,
    ) -> (CostParts, u16) {
        let settings = &self.settings;
        let missing = self.missing_tokens(request.prompt_tokens, hit.pieces, hit.uncertain);
        let mut prefill = missing * settings.prefill_ms;
        let factor = detector.slowdown(request.now, &server.straggler, server.in_flight.total());
        let mut transfer = 0.0;
        let mut transfer_pieces = 0;
        let extra = hit.stored.saturating_sub(hit.pieces);
        if extra > 0 {
            let saved = (f32::from(extra) * settings.piece_tokens as f32).min(missing)
                * settings.prefill_ms;
            let transfer_ms =
                settings.transfer_setup_ms + f32::from(extra) * settings.transfer_piece_ms;
            if transfer_ms < saved * factor {
                prefill -= saved;
                transfer = transfer_ms;
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

    /// Returns the expected time in milliseconds until a new request on this server starts its
    /// prefill.
    fn queue_ms(&self, load: LoadEstimate, slots: u32) -> f32 {
        let slots = slots.max(1) as f32;
        let over = (load.requests + 1.0 - slots).max(0.0);
        let backlog = load.waiting_tokens * self.settings.prefill_ms;
        let batch = (load.requests / slots).min(1.0) * BATCH_DELAY_MS;
        backlog + batch + over * self.service_ms() / slots
    }
}
