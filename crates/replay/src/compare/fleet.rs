//! The simulated engines of one run.

use std::net::SocketAddr;

use actix_rt::Arbiter;
use carobvane_standin::engine::{self, EngineCounters, EngineHandle, EngineSettings};
use eyre::{Result, WrapErr};
use tokio::sync::oneshot;

/// Threads that run the engines' compute loops.
const ENGINE_THREADS: usize = 3;
/// Pieces that an engine's prefix cache holds: a fleet of twelve holds the files and groups of all
/// workspaces about once.
const CACHE_PIECES: usize = 256;
/// Tokens in one chunk of an answer; fewer chunks keep the driver's own cost low.
const CHUNK_TOKENS: u32 = 8;
/// Share of cache events lost.
const CACHE_EVENT_LOSS_SHARE: f64 = 0.01;

/// The engines of a run.
#[derive(Debug, Clone, Copy)]
pub struct EngineFleetSettings {
    /// Number of engines.
    pub engines: usize,
    /// Simulated milliseconds that pass in one real millisecond.
    pub time_scale: f64,
    /// Seed of event losses.
    pub seed: u64,
}

/// Running engines.
pub struct EngineFleet {
    /// The engines in order.
    pub engines: Vec<EngineHandle>,
    arbiters: Vec<Arbiter>,
}

impl EngineFleet {
    /// Starts the engines on threads of their own.
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
                // The receiver is gone only when the run was given up.
                let _ = sender.send(engine::start(engine_settings).await);
            });
            let engine = receiver.await.wrap_err("failed to start an engine thread")?;
            engines.push(engine.wrap_err("failed to start an engine")?);
        }
        Ok(EngineFleet { engines, arbiters })
    }

    /// The engines' addresses in order.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.engines.iter().map(EngineHandle::addr).collect()
    }

    /// The sum of the engines' counters.
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
