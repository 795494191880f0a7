//! Requests that were sent to a server and have not ended.

use super::{CostSettings, RequestClass};
use crate::{
    clock::ClockTime,
    define_key,
    ids::{IncarnationId, ServerKey},
};

define_key!(
    /// Identifies a request that was sent to a server.
    DispatchKey
);

/// Maximum share of queue time in an expected time that is used to measure a server's speed. The
/// queue depends on requests of other entries, which this entry does not see.
const MAX_QUEUE_SHARE: f32 = 0.5;

/// A request that counts as in flight on a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Dispatch {
    /// The server that the request was sent to.
    pub(super) server: ServerKey,
    /// The server's incarnation that the request was sent to.
    pub(super) incarnation: IncarnationId,
    /// Class of the request, which its slot is counted under.
    pub(super) class: RequestClass,
    /// Time at which the request was sent.
    pub(super) sent_at: ClockTime,
    /// Expected time to first token in milliseconds if the server is not slow.
    pub(super) expected_ms: f32,
    /// Part of `expected_ms` that is spent behind other requests.
    pub(super) queue_ms: f32,
    /// Number of tokens in the prompt.
    pub(super) prompt_tokens: u32,
    /// Number of pieces that the decision assumed to be cached or transferred.
    pub(super) held_pieces: u16,
    /// Number of prompt tokens counted as waiting for prefill; zero after the first token.
    pub(super) waiting_tokens: u32,
    /// Whether no other request may run on the server at the same time.
    pub(super) exclusive: bool,
}

impl Dispatch {
    /// Returns the expected time to first token in milliseconds, corrected for the cache hit that
    /// the server reported.
    pub(super) fn expected_ms_for_hit(
        &self,
        settings: &CostSettings,
        hit_pieces: Option<u32>,
    ) -> f32 {
        let Some(hit_pieces) = hit_pieces else { return self.expected_ms };
        let prefill = |pieces: u32| {
            let held = pieces.saturating_mul(settings.piece_tokens);
            self.prompt_tokens.saturating_sub(held) as f32 * settings.prefill_ms
        };
        let guessed = prefill(u32::from(self.held_pieces));
        (self.expected_ms - guessed + prefill(hit_pieces)).max(0.0)
    }

    /// Returns whether most of the expected time was predicted to be spent behind other requests.
    pub(super) fn mostly_queued(&self, expected_ms: f32) -> bool {
        self.queue_ms > expected_ms * MAX_QUEUE_SHARE
    }
}
