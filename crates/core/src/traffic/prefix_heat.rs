//! How often each shared prefix is asked for, by all nodes, and how many servers should hold it.
//!
//! Load pattern: a few prefixes that take most of the long prompts, and a burst of these prompts at 2.4 times
//! their usual rate. A copy that is made before the burst costs one transfer; in the burst, it waits with
//! all others for the link of the single holder, and the prompts are prefilled again.

use std::{collections::HashMap, time::Duration};

use crate::clock::ClockTime;

/// Half-life of the rate of a prefix.
const HALF_LIFE: Duration = Duration::from_secs(5);
/// Maximum number of prefixes with a known rate. When full, the rarest half is dropped.
const MAX_PREFIXES: usize = 4_096;
/// Copies suffice for this multiple of the present rate.
const BURST_FACTOR: f64 = 2.4;
/// Share of a server's time that the prompts of one prefix may take; the rest is for other requests and for
/// the streams that prefills delay.
const SERVER_SHARE: f64 = 0.5;
/// Maximum number of copies.
pub(super) const MAX_COPIES: usize = 8;

#[derive(Debug, Clone, Copy)]
struct DecayedCount {
    count: f64,
    at: ClockTime,
}

impl DecayedCount {
    fn value(&self, now: ClockTime) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.count * 0.5_f64.powf(halves)
    }
}

/// Rates of the requests for prefixes, each combined with its salt.
#[derive(Debug, Clone, Default)]
pub struct PrefixHeat {
    counts: HashMap<u64, DecayedCount>,
}

impl PrefixHeat {
    /// Records a request with a prefix that any node has sent.
    pub fn on_request(&mut self, now: ClockTime, prefix: u64) {
        if self.counts.len() >= MAX_PREFIXES && !self.counts.contains_key(&prefix) {
            self.drop_rarest(now);
        }
        let known = self.counts.entry(prefix).or_insert(DecayedCount { count: 0.0, at: now });
        *known = DecayedCount { count: known.value(now) + 1.0, at: now };
    }

    fn drop_rarest(&mut self, now: ClockTime) {
        let mut values: Vec<f64> = self.counts.values().map(|known| known.value(now)).collect();
        let half = values.len() / 2;
        let (_, limit, _) = values.select_nth_unstable_by(half, f64::total_cmp);
        let limit = *limit;
        self.counts.retain(|_, known| known.value(now) > limit);
    }

    /// Requests a second for a prefix, about the mean of the last seven seconds.
    pub fn rate(&self, now: ClockTime, prefix: u64) -> f64 {
        let count = self.counts.get(&prefix).map_or(0.0, |known| known.value(now));
        count * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
    }

    /// Number of servers that should hold a prefix, if a prompt with it takes a holder `prompt_ms`.
    pub fn copies(&self, now: ClockTime, prefix: u64, prompt_ms: f64) -> usize {
        let busy_servers = self.rate(now, prefix) * BURST_FACTOR * prompt_ms / 1_000.0;
        let copies = (busy_servers / SERVER_SHARE).ceil().clamp(1.0, MAX_COPIES as f64);
        copies as usize
    }
}
