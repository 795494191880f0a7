//! The shape of a prompt: its parts in order. All but the last may be shared with other prompts.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct PromptPart {
    /// Identity of the text. Equal parts of different prompts have the same id.
    #[n(0)]
    pub id: u64,
    /// Length in tokens.
    #[n(1)]
    pub tokens: u32,
}

/// What is known about a prompt without parsing its text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Parts in order. The last one belongs only to the request or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
    /// Length of the whole prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of tokens in the response.
    pub max_output_tokens: u32,
}

impl PromptShape {
    /// The parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Length of the shared parts in tokens.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Id of the last shared part, which identifies the whole prefix; `None` if none is shared.
    pub fn prefix_id(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| part.id)
    }
}
