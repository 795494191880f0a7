//! Settings, faults and counters of a simulated engine.

use std::net::SocketAddr;

use carobvane_proto::engine::LoadedModel;
use serde::{Deserialize, Serialize};

/// Settings of a simulated engine. Times are in simulated milliseconds.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Address to listen on. Port 0 selects an ephemeral port.
    pub addr: SocketAddr,
    /// First incarnation. If absent, it is derived from the clock, so that a process that starts
    /// later has a higher one.
    pub incarnation: Option<u64>,
    /// Models whose weights are loaded at start and after each crash.
    pub models: Vec<LoadedModel>,
    /// Number of versions of one model that can be loaded at the same time. A further version
    /// replaces the oldest.
    pub held_versions: usize,
    /// Maximum batch size, in sequences.
    pub slots: usize,
    /// Tokens in one prompt piece.
    pub piece_tokens: u32,
    /// Capacity of the prefix cache, in pieces.
    pub cache_pieces: usize,
    /// Prefill time of an uncached token. With 0.04 ms, 2,000 tokens take 80 ms.
    pub prefill_ms_per_token: f64,
    /// Maximum number of prompt tokens computed in one step.
    pub prefill_chunk_tokens: u32,
    /// Constant part of the duration of a decode step.
    pub decode_base_ms: f64,
    /// Additional duration of a decode step for each sequence in the batch.
    pub decode_ms_per_sequence: f64,
    /// Tokens in one chunk of a stream; the first chunk always has one.
    pub chunk_tokens: u32,
    /// Simulated milliseconds that pass in one real millisecond.
    pub time_scale: f64,
    /// Delay until a cache event is delivered.
    pub event_delay_ms: f64,
    /// Share of cache events lost.
    pub event_loss: f64,
    /// Age of the load that `GET /load` reports.
    pub load_lag_ms: f64,
    /// Whether orders with a stale fencing number are rejected. Otherwise the number is ignored.
    pub check_fencing: bool,
    /// Address of the weight store. Without one, a load of weights takes `load_ms`.
    pub weight_store: Option<SocketAddr>,
    /// Duration of a load of weights without a weight store.
    pub load_ms: f64,
    /// Transfer time of the KV cache of one token.
    pub transfer_ms_per_token: f64,
    /// Seed of the random event losses.
    pub seed: u64,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            addr: crate::util::ephemeral_addr(),
            incarnation: None,
            models: vec![LoadedModel { model: "carob".to_string(), version: 1, adapters: vec![] }],
            held_versions: 1,
            slots: 16,
            piece_tokens: 2_000,
            cache_pieces: 512,
            prefill_ms_per_token: 0.04,
            prefill_chunk_tokens: 512,
            decode_base_ms: 8.0,
            decode_ms_per_sequence: 0.25,
            chunk_tokens: 1,
            time_scale: 1.0,
            event_delay_ms: 20.0,
            event_loss: 0.0,
            load_lag_ms: 200.0,
            check_fencing: true,
            weight_store: None,
            load_ms: 400.0,
            transfer_ms_per_token: 0.004,
            seed: 1,
        }
    }
}

/// Faults in force.
#[derive(Debug, Clone)]
pub struct EngineFaults {
    /// Factor on all compute times.
    pub slow_factor: f64,
    /// Share of cache events lost.
    pub event_loss: f64,
    /// Sends chunks that are no JSON.
    pub garbage: bool,
    /// Sends bytes without the end of an event in place of tokens.
    pub endless: bool,
    /// Adds chunks of other attempts and repeats chunks.
    pub mix_up: bool,
    /// Ends streams without `[DONE]` after this many tokens.
    pub short_stream: Option<u32>,
    /// Computes nothing.
    pub stall: bool,
    /// A prompt with this text crashes the engine.
    pub poison: Option<String>,
    /// How long the engine stays down after a crash, in simulated milliseconds.
    pub restart_ms: f64,
}

/// A change of faults (`POST /faults`); absent fields stay as they are.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultUpdate {
    /// Factor on all compute times.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_factor: Option<f64>,
    /// Share of cache events lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub event_loss: Option<f64>,
    /// Sends chunks that are no JSON.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub garbage: Option<bool>,
    /// Sends bytes without the end of an event in place of tokens.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub endless: Option<bool>,
    /// Adds chunks of other attempts and repeats chunks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mix_up: Option<bool>,
    /// Ends streams without `[DONE]` after this many tokens; 0 ends the fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub short_stream: Option<u32>,
    /// Computes nothing.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stall: Option<bool>,
    /// A prompt with this text crashes the engine; empty text ends the fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub poison: Option<String>,
    /// How long the engine stays down after a crash, in simulated milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub restart_ms: Option<f64>,
    /// Crashes the engine now: connections close, the cache is lost and the incarnation increases.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub crash: Option<bool>,
}

/// Default of [`EngineFaults::restart_ms`], in simulated milliseconds.
const RESTART_MS: f64 = 500.0;

impl EngineFaults {
    /// Returns the initial faults: none but the event loss of the settings.
    pub fn from_settings(settings: &EngineSettings) -> EngineFaults {
        EngineFaults {
            slow_factor: 1.0,
            event_loss: settings.event_loss,
            garbage: false,
            endless: false,
            mix_up: false,
            short_stream: None,
            stall: false,
            poison: None,
            restart_ms: RESTART_MS,
        }
    }

    /// Sets the faults that `update` names. The slow factor is at least 0.01.
    pub fn update(&mut self, update: &FaultUpdate) {
        self.slow_factor = update.slow_factor.unwrap_or(self.slow_factor).max(0.01);
        self.event_loss = update.event_loss.unwrap_or(self.event_loss);
        self.garbage = update.garbage.unwrap_or(self.garbage);
        self.endless = update.endless.unwrap_or(self.endless);
        self.mix_up = update.mix_up.unwrap_or(self.mix_up);
        self.stall = update.stall.unwrap_or(self.stall);
        self.restart_ms = update.restart_ms.unwrap_or(self.restart_ms);
        if let Some(tokens) = update.short_stream {
            self.short_stream = (tokens > 0).then_some(tokens);
        }
        if let Some(marker) = &update.poison {
            self.poison = (!marker.is_empty()).then(|| marker.clone());
        }
    }
}

/// Counters of an engine since its start, over all incarnations (`GET /counters`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineCounters {
    /// Completion requests accepted.
    pub requests: u64,
    /// Completion requests answered completely.
    pub completed: u64,
    /// Completion requests that were cancelled or whose client disconnected.
    pub cancelled: u64,
    /// Completion requests lost in a crash.
    pub lost: u64,
    /// Prompt tokens of requests whose prefill has started.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub hit_tokens: u64,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Completion tokens computed.
    pub decode_tokens: u64,
    /// Cache events published and not lost.
    pub events: u64,
    /// Cache events dropped by `event_loss`.
    pub events_lost: u64,
    /// Crashes by fault or by a `poison` prompt.
    pub crashes: u64,
    /// Orders rejected for a stale fencing number.
    pub stale_orders: u64,
    /// Loads of weights finished.
    pub loads: u64,
}
