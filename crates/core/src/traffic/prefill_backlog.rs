//! Prompts that an engine is reading now.

use std::time::Duration;

use crate::clock::ClockTime;

/// Time after which a prompt counts as read although no node has told so.
const MAX_PREFILL_TIME: Duration = Duration::from_secs(3);
/// Most prompts that are counted; further ones only show in the server's own load.
const MAX_PROMPTS: usize = 256;

#[derive(Debug, Clone, Copy)]
struct PendingPrompt {
    request: u64,
    tokens: u32,
    sent_at: ClockTime,
}

/// Prompts that wait for their first event at one server.
#[derive(Debug, Clone, Default)]
pub struct PrefillBacklog {
    /// Invariant: in the order of their sending, none of a request twice.
    entries: Vec<PendingPrompt>,
}

impl PrefillBacklog {
    /// A request was sent with this many tokens to read.
    pub fn add(&mut self, now: ClockTime, request: u64, tokens: u32) {
        self.entries.retain(|entry| now.since(entry.sent_at) < MAX_PREFILL_TIME);
        self.remove(request);
        if self.entries.len() < MAX_PROMPTS {
            self.entries.push(PendingPrompt { request, tokens, sent_at: now });
        }
    }

    /// A request's first event has come, or it has ended.
    pub fn remove(&mut self, request: u64) {
        self.entries.retain(|entry| entry.request != request);
    }

    /// Tokens that are still to be read.
    pub fn tokens(&self, now: ClockTime) -> u64 {
        let open = self.entries.iter().filter(|entry| now.since(entry.sent_at) < MAX_PREFILL_TIME);
        open.map(|entry| u64::from(entry.tokens)).sum()
    }
}
