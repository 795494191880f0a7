//! What happens to caches and attempts, as the router is told.

use crate::prefix::PieceHash;

/// A change of a server's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheUpdate<'a> {
    /// Pieces entered the cache.
    Stored(&'a [PieceHash]),
    /// Pieces left the cache.
    Removed(&'a [PieceHash]),
    /// The whole cache was dropped.
    Cleared,
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The server refused the request before it ran.
    Refused,
    /// The connection broke or the server died.
    Broken,
    /// The entry gave the attempt up, for example because a hedge won.
    Cancelled,
}
