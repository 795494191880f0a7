//! Prompts that an engine has to prefill.
//!
//! Load pattern: more requests than free slots, of different priority. An engine with free slots admits
//! requests at once and prefills in order of arrival. Without one it admits the most urgent request
//! first, so an urgent request waits only for the admitted prompts and those that are as urgent.

use std::time::Duration;

use crate::clock::ClockTime;

/// Priority of a request that names none.
pub const DEFAULT_PRIORITY: u8 = 5;

/// A prompt counts as prefilled after this time, even if no node has reported that.
const MAX_PREFILL_TIME: Duration = Duration::from_secs(3);
/// Maximum number of tracked prompts. Further ones only show in the load that the server reports.
const MAX_PROMPTS: usize = 256;

#[derive(Debug, Clone, Copy)]
struct PendingPrompt {
    request: u64,
    tokens: u32,
    priority: u8,
    sent_at: ClockTime,
}

/// Prompts at one server whose response has not begun.
#[derive(Debug, Clone, Default)]
pub struct PrefillBacklog {
    /// Invariant: in the order in which they were sent, at most one per request.
    entries: Vec<PendingPrompt>,
}

impl PrefillBacklog {
    /// Adds a request that was sent with `tokens` prompt tokens to prefill; 0 is the most urgent
    /// priority.
    pub fn add(&mut self, now: ClockTime, request: u64, tokens: u32, priority: u8) {
        self.entries.retain(|entry| now.since(entry.sent_at) < MAX_PREFILL_TIME);
        self.remove(request);
        if self.entries.len() < MAX_PROMPTS {
            self.entries.push(PendingPrompt { request, tokens, priority, sent_at: now });
        }
    }

    /// Removes a request whose first event has arrived or that has ended.
    /// Returns its tokens.
    pub fn remove(&mut self, request: u64) -> Option<u32> {
        let position = self.entries.iter().position(|entry| entry.request == request)?;
        Some(self.entries.remove(position).tokens)
    }

    /// Number of requests whose response has not begun.
    pub fn len(&self, now: ClockTime) -> u32 {
        let open = self.entries.iter().filter(|entry| now.since(entry.sent_at) < MAX_PREFILL_TIME);
        open.count() as u32
    }

    /// Number of requests that were sent at `since` or later and whose response has not begun.
    pub fn sent_since(&self, since: ClockTime) -> u32 {
        self.entries.iter().filter(|entry| entry.sent_at >= since).count() as u32
    }

    /// Number of tokens that still have to be prefilled.
    pub fn tokens(&self, now: ClockTime) -> u64 {
        let open = self.entries.iter().filter(|entry| now.since(entry.sent_at) < MAX_PREFILL_TIME);
        open.map(|entry| u64::from(entry.tokens)).sum()
    }

    /// Tokens and requests that a request of `priority` has to wait for, if the newest `waiting`
    /// requests are not admitted yet. The requests are those that are not admitted.
    pub fn ahead(&self, now: ClockTime, priority: u8, waiting: u32) -> (u64, u32) {
        let open = self.entries.iter().filter(|entry| now.since(entry.sent_at) < MAX_PREFILL_TIME);
        let (mut tokens, mut requests) = (0, 0);
        for (index, entry) in open.rev().enumerate() {
            let is_waiting = index < waiting as usize;
            if !is_waiting || entry.priority <= priority {
                tokens += u64::from(entry.tokens);
                requests += u32::from(is_waiting);
            }
        }
        (tokens, requests)
    }
}
