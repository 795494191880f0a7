//! Knows which backend server holds which prompt prefix.
//!
//! A prompt is cut into pieces, and each piece is named by a hash that covers all earlier pieces,
//! the workspace, the model and the weights version. A hit across workspaces or on older weights
//! therefore cannot be expressed. The index is a hint for the cost model only: engines check their
//! own caches.

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
