//! Keeps long prompts apart from the streams of short ones, where these would be late otherwise.
//!
//! Load pattern: bursts of long prompts beside streams of short ones. Engines prefill a prompt in chunks
//! between the decode steps of all other streams, so long prompts lengthen each gap between events of
//! every stream at their server by the time of a chunk. If clients accept such gaps, long and short
//! prompts share all servers, and each goes where the fewest prompts wait for prefill. Otherwise long
//! prompts prefer a few servers, the pool, and short prompts prefer the
//! rest. The size of the pool follows the prefill time of the long prompts. All nodes rank the
//! servers alike, so nodes with different estimates disagree only about the last servers of it.

use std::time::Duration;

use super::ServerSpeed;
use crate::clock::ClockTime;

/// Prompts of at least this length go to the pool. It is the size of an engine's prefill chunk.
pub const LONG_PROMPT_TOKENS: u32 = 2_048;
/// Share of the pool's time that long prompts may fill.
const MAX_POOL_LOAD: f64 = 0.5;
/// Share of all servers that the pool may contain.
const MAX_POOL_SHARE: f64 = 0.7;
/// Time constant with which the average of the prefill rate decays.
const RATE_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Long prompts share servers with short ones if this multiple of a step with a chunk is within the
/// gap that clients accept. A slow server takes about twice as long as the median.
const GAP_MARGIN: f64 = 2.5;
/// Least part of the average that counts as seen, so that a first prompt is not taken for a high rate.
const MIN_SEEN: f64 = 0.2;
/// A target for gaps counts for this long after a request with it.
const GAP_LIFETIME: Duration = Duration::from_secs(30);

/// Estimates how many servers the pool needs.
#[derive(Debug, Clone, Default)]
pub struct LongPromptPool {
    /// Prefill time of the long prompts that arrive at this node, in ms per second, averaged.
    prefill_rate: f64,
    updated_at: ClockTime,
    /// When the first long prompt arrived.
    started_at: Option<ClockTime>,
    /// Shortest target for gaps between events of recent streams, and when a stream had it last.
    gap_target: Option<(Duration, ClockTime)>,
}

impl LongPromptPool {
    /// Records a long prompt that takes a server `prefill_ms` to prefill.
    pub fn on_prompt(&mut self, now: ClockTime, prefill_ms: f64) {
        self.prefill_rate = self.decayed_rate(now) + prefill_ms / RATE_TIME_CONSTANT.as_secs_f64();
        self.updated_at = now;
        self.started_at.get_or_insert(now);
    }

    /// Records the longest gap between events with which a stream is on time.
    pub fn on_gap_target(&mut self, now: ClockTime, gap: Duration) {
        let known = self.gap_target.filter(|(_, at)| now.since(*at) < GAP_LIFETIME);
        if known.is_none_or(|(known, _)| gap <= known) {
            self.gap_target = Some((gap, now));
        }
    }

    /// Whether streams would be late beside long prompts at servers of this speed. Without a known
    /// target they may be.
    pub fn is_needed(&self, now: ClockTime, speed: &ServerSpeed) -> bool {
        let known = self.gap_target.filter(|(_, at)| now.since(*at) < GAP_LIFETIME);
        let chunk_ms = f64::from(LONG_PROMPT_TOKENS) / speed.prefill_tokens_per_ms;
        let gap_ms = (speed.first_event_ms + chunk_ms) * GAP_MARGIN;
        known.is_none_or(|(gap, _)| gap_ms > gap.as_secs_f64() * 1_000.0)
    }

    /// Number of servers in the pool out of `servers`, if each of `nodes` gets a similar load.
    pub fn size(&self, now: ClockTime, servers: usize, nodes: usize) -> usize {
        // The average has not seen more than the time since the first prompt.
        let seen = self.started_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        let seen = (1.0 - (-seen / RATE_TIME_CONSTANT.as_secs_f64()).exp()).max(MIN_SEEN);
        let prefill_ms = self.decayed_rate(now) / seen * nodes as f64;
        let wanted = (prefill_ms / 1_000.0 / MAX_POOL_LOAD).ceil() as usize;
        let limit = (servers as f64 * MAX_POOL_SHARE) as usize;
        wanted.clamp(1, limit.max(1))
    }

    fn decayed_rate(&self, now: ClockTime) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / RATE_TIME_CONSTANT.as_secs_f64();
        self.prefill_rate * (-age).exp()
    }
}
