//! Keeps long prompts apart from the streams of short ones.
//!
//! Engines prefill a prompt in chunks between the decode steps of all other streams, so one long
//! prompt lengthens the gaps between events of every stream at its server beyond what clients
//! accept. Long prompts therefore prefer a few servers, the pool, and short prompts prefer the
//! rest. The size of the pool follows the prefill time of the long prompts. All nodes rank the
//! servers alike, so nodes with different estimates disagree only about the last servers of it.

use std::time::Duration;

use crate::clock::ClockTime;

/// Prompts of at least this length go to the pool. It is the size of an engine's prefill chunk.
pub const LONG_PROMPT_TOKENS: u32 = 2_048;
/// Share of the pool's time that long prompts may fill.
const MAX_POOL_LOAD: f64 = 0.5;
/// Share of all servers that the pool may contain.
const MAX_POOL_SHARE: f64 = 0.7;
/// Time constant with which the average of the prefill rate decays.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Estimates how many servers the pool needs.
#[derive(Debug, Clone, Default)]
pub struct LongPromptPool {
    /// Prefill time of the long prompts that arrive at this node, in ms per second, averaged.
    prefill_rate: f64,
    updated_at: ClockTime,
}

impl LongPromptPool {
    /// Records a long prompt that takes a server `prefill_ms` to prefill.
    pub fn on_prompt(&mut self, now: ClockTime, prefill_ms: f64) {
        self.prefill_rate = self.decayed_rate(now) + prefill_ms / RATE_TIME_CONSTANT.as_secs_f64();
        self.updated_at = now;
    }

    /// Number of servers in the pool out of `servers`, if each of `nodes` gets a similar load.
    pub fn size(&self, now: ClockTime, servers: usize, nodes: usize) -> usize {
        let prefill_ms = self.decayed_rate(now) * nodes as f64;
        let wanted = (prefill_ms / 1_000.0 / MAX_POOL_LOAD).ceil() as usize;
        let limit = (servers as f64 * MAX_POOL_SHARE) as usize;
        wanted.clamp(1, limit.max(1))
    }

    fn decayed_rate(&self, now: ClockTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64();
        self.prefill_rate * (-age).exp()
    }
}
