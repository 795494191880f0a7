//! The shape of a prompt: its parts in order, of which all but the last are shared.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPart {
    /// Identity of the text; equal parts of different prompts have the same one.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// What is known of a prompt without reading it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Parts in order; the last one belongs to the request or its session alone.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Most tokens that the answer may have.
    pub max_output_tokens: u32,
}

impl PromptShape {
    /// The parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Identity of the whole shared prefix; `None` if nothing is shared.
    pub fn prefix_id(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| part.id)
    }
}
