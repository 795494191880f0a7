//! Which entries a caller is told to use.

use std::{net::SocketAddr, time::Duration};

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;
/// Live entries of the caller's own data centre that are enough without others.
const MIN_LOCAL_ENTRIES: usize = 2;
/// How long callers keep an answer.
const RESPONSE_TTL: Duration = Duration::from_secs(2);

/// An entry that takes callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryNode {
    /// Name of its VM.
    pub name: String,
    /// Address for callers.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
}

/// The answer to a caller that asks where to connect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryResponse {
    /// Addresses, nearest first.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be used.
    pub ttl: Duration,
}

/// Chooses entries for callers.
#[derive(Debug, Clone, Copy)]
pub struct EntrySelector<'a> {
    entries: &'a [EntryNode],
}

impl<'a> EntrySelector<'a> {
    /// Creates a chooser among live entries.
    pub fn new(entries: &'a [EntryNode]) -> EntrySelector<'a> {
        EntrySelector { entries }
    }

    /// Entries of the caller's data centre, with the nearest others where these are too few.
    /// Bytes between data centres are dear and callers choose at random among all they get.
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
