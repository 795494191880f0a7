//! Chained hashes that identify the prefixes of a prompt.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::ids::WeightsVersion;

/// Number of pieces stored inline. A longer chain allocates once and keeps its buffer.
const INLINE_PIECES: usize = 64;
/// Domain separation for the derivation of [`ChainSalt`].
const ROOT_CONTEXT: &str = "carobvane 2026 prefix chain root v1";

/// Identifies a prompt prefix by the hash of its last piece, which covers all earlier pieces. Never
/// zero.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PieceHash(u64);

impl PieceHash {
    /// Creates a hash from the value that engines publish. Zero becomes one, because zero marks an
    /// empty slot in the index.
    pub const fn from_raw(raw: u64) -> PieceHash {
        PieceHash(if raw == 0 { 1 } else { raw })
    }

    /// Returns the value that engines publish.
    pub const fn as_raw(self) -> u64 {
        self.0
    }
}

/// Initial hash of all chains of one workspace, model and weights version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ChainSalt([u8; 32]);

impl ChainSalt {
    /// Derives the salt. `model` must include the adapter, because an adapter changes the KV cache.
    pub fn new(workspace: &str, model: &str, weights: WeightsVersion) -> ChainSalt {
        let mut hasher = blake3::Hasher::new_derive_key(ROOT_CONTEXT);
        // The length prefixes distinguish ("ab", "c") from ("a", "bc").
        for text in [workspace, model] {
            hasher.update(&(text.len() as u64).to_le_bytes());
            hasher.update(text.as_bytes());
        }
        hasher.update(&weights.0.to_le_bytes());
        ChainSalt(*hasher.finalize().as_bytes())
    }

    /// Returns the first 16 bytes in hexadecimal, for the engine's `cache_salt` field.
    pub fn to_text(&self) -> String {
        self.0.iter().take(16).map(|byte| format!("{byte:02x}")).collect()
    }
}

/// The hashes of a prompt's full pieces, from the start of the prompt.
///
/// An incomplete piece at the end of the prompt has no hash, because engines cache only full
/// pieces.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixChain {
    pieces: SmallVec<[PieceHash; INLINE_PIECES]>,
}

impl PrefixChain {
    /// Creates an empty chain, to be filled by [`PrefixChain::rebuild`].
    pub fn new() -> PrefixChain {
        PrefixChain::default()
    }

    /// Computes the chain of `prompt`. See [`PrefixChain::rebuild`].
    pub fn from_prompt(salt: &ChainSalt, prompt: &[u8], piece_bytes: usize) -> PrefixChain {
        let mut chain = PrefixChain::new();
        chain.rebuild(salt, prompt, piece_bytes);
        chain
    }

    /// Creates a chain from known hashes, such as those in a trace.
    pub fn from_hashes(hashes: impl IntoIterator<Item = PieceHash>) -> PrefixChain {
        PrefixChain { pieces: hashes.into_iter().collect() }
    }

    /// Replaces the content with the chain of `prompt`, and reuses the buffer. The chain is empty
    /// if `piece_bytes` is zero.
    pub fn rebuild(&mut self, salt: &ChainSalt, prompt: &[u8], piece_bytes: usize) {
        self.pieces.clear();
        if piece_bytes == 0 {
            return;
        }
        let mut parent = salt.0;
        for piece in prompt.chunks_exact(piece_bytes) {
            let mut hasher = blake3::Hasher::new();
            // Each piece hashes the whole digest of its predecessor, so the chain is as strong as
            // BLAKE3. Only the published hash of a piece is truncated to 64 bits.
            hasher.update(&parent);
            hasher.update(piece);
            parent = *hasher.finalize().as_bytes();
            let mut name = [0; 8];
            name.copy_from_slice(&parent[..8]);
            self.pieces.push(PieceHash::from_raw(u64::from_le_bytes(name)));
        }
    }

    /// Returns the hashes, from the start of the prompt.
    pub fn pieces(&self) -> &[PieceHash] {
        &self.pieces
    }

    /// Returns the number of full pieces.
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Returns whether the prompt has no full piece.
    pub fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }
}
