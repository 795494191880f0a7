//! Keeps long prompts away from the streams of short ones.
//!
//! Engines read a prompt in chunks between the steps of all other streams, so one long prompt
//! stretches the pauses of every stream at its server beyond what their callers accept. Long
//! prompts therefore prefer a few servers, the lane, and short ones the rest. The lane's size
//! follows the work of the long prompts; its order of servers is the same on all nodes, so that
//! nodes whose estimates differ disagree about its last servers only.

use std::time::Duration;

use crate::clock::ClockTime;

/// Prompt length from which on a request belongs into the pool: the size of an engine's chunk.
pub const LONG_PROMPT_TOKENS: u32 = 2_048;
/// Share of the lane's time that its requests may fill.
const MAX_POOL_LOAD: f64 = 0.5;
/// Share of all servers that the lane may have.
const MAX_POOL_SHARE: f64 = 0.7;
/// Time constant of the average of work.
const AVERAGE_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Estimates the width of the pool.
#[derive(Debug, Clone, Default)]
pub struct LongPromptPool {
    /// Milliseconds of reading that arrive in a second at this node, averaged.
    work_rate: f64,
    updated: ClockTime,
}

impl LongPromptPool {
    /// Notes a long prompt that takes a server this long to read.
    pub fn on_prompt(&mut self, now: ClockTime, prefill_ms: f64) {
        self.work_rate = self.rate(now) + prefill_ms / AVERAGE_TIME_CONSTANT.as_secs_f64();
        self.updated = now;
    }

    /// Number of servers in the lane, of `servers`, when `nodes` get about the same work.
    pub fn size(&self, now: ClockTime, servers: usize, nodes: usize) -> usize {
        let work_ms = self.rate(now) * nodes as f64;
        let wanted = (work_ms / 1_000.0 / MAX_POOL_LOAD).ceil() as usize;
        let most = (servers as f64 * MAX_POOL_SHARE) as usize;
        wanted.clamp(1, most.max(1))
    }

    fn rate(&self, now: ClockTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / AVERAGE_TIME_CONSTANT.as_secs_f64();
        self.work_rate * (-age).exp()
    }
}
