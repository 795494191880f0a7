//! A query for the software version of a stream.

use std::{collections::HashSet, net::SocketAddr};

/// A query of other nodes for one stream.
#[derive(Debug, Default)]
pub struct StreamQuery {
    /// Number of requests that wait for it.
    pub waiting: u32,
    /// Nodes that do not know the stream.
    pub unknown_at: HashSet<SocketAddr>,
}
