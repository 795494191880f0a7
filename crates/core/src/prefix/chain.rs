//! Chained piece hashes of a prompt.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids::WeightsVersion;

/// Pieces kept inline; a longer chain moves to the heap once and keeps its buffer.
const INLINE_PIECES: usize = 64;
/// Domain separation of the chain's root.
const ROOT_CONTEXT: &str = "carobvane 2026 prefix chain root v1";

/// Names a prompt prefix that ends with one piece. Never zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PieceHash(u64);

impl PieceHash {
    /// Wraps a hash as engines publish it. Zero marks an empty index slot and becomes one.
    pub const fn from_raw(raw: u64) -> PieceHash {
        PieceHash(if raw == 0 { 1 } else { raw })
    }

    /// The hash as engines publish it.
    pub const fn as_raw(self) -> u64 {
        self.0
    }
}

/// Root of the chains of one workspace, model and weights version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ChainSalt([u8; 32]);

impl ChainSalt {
    /// Derives the root. `model` includes the adapter, because an adapter changes the KV cache.
    pub fn new(workspace: &str, model: &str, weights: WeightsVersion) -> ChainSalt {
        let mut hasher = blake3::Hasher::new_derive_key(ROOT_CONTEXT);
        // Length prefixes keep ("ab", "c") and ("a", "bc") apart.
        for text in [workspace, model] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&weights.0.to_le_bytes());
        ChainSalt(*hasher.finalize().as_bytes())
    }

    /// The salt as text for the engine's `cache_salt` field.
    pub fn to_text(&self) -> String {
        self.0.iter().take(16).map(|byte| format!("{byte:02x}")).collect()
    }
}

/// The chained hashes of a prompt's full pieces, root first.
///
/// A part of a piece at the end of the prompt has no hash: engines cache only full pieces.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixChain {
    pieces: SmallVec<[PieceHash; INLINE_PIECES]>,
}

impl PrefixChain {
    /// Creates an empty chain, to be filled by [`PrefixChain::rebuild`].
    pub fn new() -> PrefixChain {
        PrefixChain::default()
    }

    /// Builds the chain of `prompt`.
    pub fn from_prompt(salt: &ChainSalt, prompt: &[u8], piece_bytes: usize) -> PrefixChain {
        let mut chain = PrefixChain::new();
        chain.rebuild(salt, prompt, piece_bytes);
        chain
    }

    /// Builds a chain from hashes that are already known, such as those of a trace.
    pub fn from_hashes(hashes: impl IntoIterator<Item = PieceHash>) -> PrefixChain {
        PrefixChain { pieces: hashes.into_iter().collect() }
    }

    /// Replaces the chain with that of `prompt` and keeps the buffer. A `piece_bytes` of zero
    /// gives an empty chain.
    pub fn rebuild(&mut self, salt: &ChainSalt, prompt: &[u8], piece_bytes: usize) {
        self.pieces.clear();
        if piece_bytes == 0 {
            return;
        }
        let mut parent = salt.0;
        for piece in prompt.chunks_exact(piece_bytes) {
            let mut hasher = blake3::Hasher::new();
            // The whole parent digest goes in, so the chain is as strong as BLAKE3 and only the
            // published name of a piece is cut to 64 bits.
            hasher.update(&parent);
            hasher.update(piece);
            parent = *hasher.finalize().as_bytes();
            let mut name = [0; 8];
            name.copy_from_slice(&parent[..8]);
            self.pieces.push(PieceHash::from_raw(u64::from_le_bytes(name)));
        }
    }

    /// The hashes, root first.
    pub fn pieces(&self) -> &[PieceHash] {
        &self.pieces
    }

    /// Number of full pieces.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Whether the prompt is shorter than one piece.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }
}
