//! Tracks which backend server is believed to hold which prompt prefix in its KV cache.
//!
//! A prompt is cut into pieces of fixed size. Each piece is identified by a hash that covers all
//! earlier pieces, the workspace, the model and the weights version, so a prefix of another
//! workspace or of older weights can never match. The index only informs the cost model: engines
//! check their own caches.

mod bucket;
mod chain;
mod event_cursor;
mod index;
mod scratch;

pub(crate) use self::index::{mix, record_index};
pub use self::{
    chain::{ChainSalt, PieceHash, PrefixChain},
    event_cursor::{EventAction, EventCursor},
    index::{
        BLOCK_BYTES_MAX, BlockIndex, BlockSource, IndexCounters, MAX_HOLDERS, OPTIMISTIC_LIFETIME_S,
    },
    scratch::{HolderScratch, PrefixHolder},
};
