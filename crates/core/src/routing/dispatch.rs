//! A request on its way to or on a server.

use super::{CostSettings, RequestClass};
use crate::{
    clock::ClockTime,
    define_key,
    ids::{IncarnationId, ServerKey},
};

define_key!(
    /// A request that was sent to a server.
    DispatchKey
);

/// Largest share of the expected time that may be a wait behind other requests in an observation of
/// a server's speed. The wait depends on other entries' requests, which this entry does not see.
const MAX_QUEUE_SHARE: f32 = 0.5;

/// A request that counts as running on a server.
#[derive(Debug, Clone, Copy)]
pub(super) struct Dispatch {
    /// Where it runs.
    pub(super) server: ServerKey,
    /// The life that it was sent to.
    pub(super) incarnation: IncarnationId,
    /// Short or long.
    pub(super) class: RequestClass,
    /// When it was sent.
    pub(super) sent_at: ClockTime,
    /// Expected time to the first token in ms at normal speed.
    pub(super) expected_ms: f32,
    /// Part of `expected_ms` that is spent behind other requests.
    pub(super) queue_ms: f32,
    /// Tokens of the prompt.
    pub(super) prompt_tokens: u32,
    /// Pieces that the decision counted as held or transferred.
    pub(super) held_pieces: u16,
    /// Prefill tokens still counted as waiting; zero after the first token.
    pub(super) waiting_tokens: u32,
    /// Whether no other request may join it.
    pub(super) exclusive: bool,
}

impl Dispatch {
    /// The expected time in ms to the first token for the hit that the server found.
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

    /// Whether the request was expected to spend most of `expected_ms` behind others.
    pub(super) fn mostly_queued(&self, expected_ms: f32) -> bool {
        self.queue_ms > expected_ms * MAX_QUEUE_SHARE
    }
}
