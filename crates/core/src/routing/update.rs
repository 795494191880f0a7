//! Inputs that tell the router about changed caches and failed attempts.

use crate::prefix::PieceHash;

/// A change of the content of a server's cache or of the KV cache store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheUpdate<'a> {
    /// These pieces were added to the cache.
    Stored(&'a [PieceHash]),
    /// These pieces were evicted from the cache.
    Removed(&'a [PieceHash]),
    /// The whole cache was dropped.
    Cleared,
}

/// Why an attempt ended without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The server refused the request before running it.
    Refused,
    /// The connection broke or the server died.
    Broken,
    /// The entry cancelled the attempt, for example because another attempt was first.
    Cancelled,
}
