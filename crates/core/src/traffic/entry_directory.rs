//! Chooses the entry nodes that a client is told to connect to.

use std::{net::SocketAddr, time::Duration};

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;
/// With at least this many live entry nodes in its data centre, a client is told no others.
const MIN_LOCAL_ENTRIES: usize = 2;
/// How long clients may use a response.
const RESPONSE_TTL: Duration = Duration::from_secs(2);

/// A node that accepts clients.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryNode {
    /// Name of the VM that it runs on.
    pub name: String,
    /// Address for clients.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Region of the data centre.
    pub region: String,
}

/// Response to a client that asks where to connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryResponse {
    /// Addresses of entry nodes, nearest first.
    pub addresses: Vec<SocketAddr>,
    /// How long the client may use the response.
    pub ttl: Duration,
}

/// Selects entry nodes for clients.
#[derive(Debug, Clone, Copy)]
pub struct EntrySelector<'a> {
    entries: &'a [EntryNode],
}

impl<'a> EntrySelector<'a> {
    /// Creates a selector among `entries`, which must be live.
    pub fn new(entries: &'a [EntryNode]) -> EntrySelector<'a> {
        EntrySelector { entries }
    }

    /// Selects the entry nodes of the client's data centre, and the nearest others too if these are
    /// too few. Traffic between data centres is expensive, and clients pick any of the addresses at
    /// random, so a remote one is added only when it is needed.
    pub fn select_entries(&self, region: &str, data_centre: &str) -> DirectoryResponse {
        let distance = |node: &EntryNode| match () {
            () if node.data_centre == data_centre => 0,
            () if node.region == region => 1,
            () => 2,
        };
        let mut ranked: Vec<(u8, &EntryNode)> =
            self.entries.iter().map(|node| (distance(node), node)).collect();
        ranked.sort_by(|a, b| (a.0, &a.1.name).cmp(&(b.0, &b.1.name)));
        let near = ranked.iter().filter(|(distance, _)| *distance == 0).count();
        if near >= MIN_LOCAL_ENTRIES {
            ranked.truncate(near);
        }
        ranked.truncate(MAX_ADDRESSES);
        let addresses = ranked.into_iter().map(|(_, node)| node.address).collect();
        DirectoryResponse { addresses, ttl: RESPONSE_TTL }
    }
}
