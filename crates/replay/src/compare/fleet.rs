//! The simulated engines of one replay.

use std::net::SocketAddr;

use actix_rt::Arbiter;
use carobvane_standin::engine::{self, EngineCounters, EngineHandle, EngineSettings};
use eyre::{Result, WrapErr};
use tokio::sync::oneshot;

/// Number of threads that run the engines.
const ENGINE_THREADS: usize = 3;
/// Capacity of an engine's prefix cache, in pieces. Twelve engines can together hold the file and
/// group pieces of all workspaces about once.
const CACHE_PIECES: usize = 256;
/// Tokens in one response chunk. Larger chunks reduce the CPU time of the replay itself.
const CHUNK_TOKENS: u32 = 8;
/// Share of cache events that the engines drop.
const CACHE_EVENT_LOSS_SHARE: f64 = 0.01;

/// Settings of an [`EngineFleet`].
#[derive(Debug, Clone, Copy)]
pub struct EngineFleetSettings {
    /// Number of engines.
    pub engines: usize,
    /// Simulated milliseconds that pass in one real millisecond.
    pub time_scale: f64,
    /// Seed of the dropped cache events.
    pub seed: u64,
}

/// A set of running simulated engines.
pub struct EngineFleet {
    /// The engines, by index.
    pub engines: Vec<EngineHandle>,
    arbiters: Vec<Arbiter>,
}

impl EngineFleet {
    /// Starts the engines, distributed over separate threads.
    pub async fn start(settings: EngineFleetSettings) -> Result<EngineFleet> {
        let arbiters: Vec<Arbiter> = (0..ENGINE_THREADS).map(|_| Arbiter::new()).collect();
        let mut engines = Vec::new();
        for index in 0..settings.engines {
            let engine_settings = EngineSettings {
                time_scale: settings.time_scale,
                cache_pieces: CACHE_PIECES,
                chunk_tokens: CHUNK_TOKENS,
                event_loss: CACHE_EVENT_LOSS_SHARE,
                seed: settings.seed + index as u64,
                ..EngineSettings::default()
            };
            let (sender, receiver) = oneshot::channel();
            arbiters[index % ENGINE_THREADS].spawn(async move {
                // Sending fails only if `start` was cancelled.
                let _ = sender.send(engine::start(engine_settings).await);
            });
            let engine = receiver.await.wrap_err("failed to start an engine thread")?;
            engines.push(engine.wrap_err("failed to start an engine")?);
        }
        Ok(EngineFleet { engines, arbiters })
    }

    /// Addresses of the engines, by index.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(EngineHandle::addr).collect()
    }

    /// Sum of the engines' counters.
    pub fn counters(&self) -> EngineCounters {
        let mut sum = EngineCounters::default();
        for engine in &self.engines {
            let counters = engine.counters();
            sum.requests += counters.requests;
            sum.completed += counters.completed;
            sum.cancelled += counters.cancelled;
            sum.prompt_tokens += counters.prompt_tokens;
            sum.hit_tokens += counters.hit_tokens;
            sum.prefill_tokens += counters.prefill_tokens;
            sum.decode_tokens += counters.decode_tokens;
            sum.events_lost += counters.events_lost;
        }
        sum
    }

    /// Stops the engines and their threads.
    pub async fn stop(self) {
        for engine in &self.engines {
            engine.stop().await;
        }
        for arbiter in &self.arbiters {
            arbiter.stop();
        }
    }
}
