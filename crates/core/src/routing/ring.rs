//! Assigns home servers to prefixes by consistent hashing.
//!
//! Plain rendezvous hashing scores every server. Here the servers form a ring ordered by the hashes
//! of their addresses. A key selects a window of successive servers, and rendezvous hashing ranks
//! only these. A server that joins or leaves moves only the keys whose window contains it.

use smallvec::SmallVec;

use crate::{
    ids::{AddressId, ServerKey},
    prefix::mix,
};

/// Number of servers in a window. In a fleet of at most this size, the window covers all servers
/// and the result equals plain rendezvous hashing.
pub(super) const WINDOW_SERVERS: usize = 24;
/// Maximum number of homes of a prefix.
pub(super) const MAX_HOMES: usize = 6;

/// The servers of one model, ordered by the hashes of their addresses.
#[derive(Debug, Clone, Default)]
pub struct ServerRing {
    /// Invariant: sorted by address hash, each server once.
    positions: Vec<(u64, ServerKey)>,
}

impl ServerRing {
    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether there is no server.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }

    /// Returns the server at an index, which wraps around the end of the ring.
    pub fn server_at(&self, index: usize) -> Option<ServerKey> {
        self.positions.get(index % self.positions.len().max(1)).map(|&(_, server)| server)
    }

    pub(super) fn insert(&mut self, address: AddressId, server: ServerKey) {
        let point = (mix(address.0), server);
        if let Err(index) = self.positions.binary_search(&point) {
            self.positions.insert(index, point);
        }
    }

    pub(super) fn remove(&mut self, address: AddressId, server: ServerKey) {
        if let Ok(index) = self.positions.binary_search(&(mix(address.0), server)) {
            self.positions.remove(index);
        }
    }

    /// Returns up to `max_homes` homes of `key` in descending rank, among the servers that `admits`
    /// accepts.
    pub fn homes(
        &self,
        key: u64,
        max_homes: usize,
        mut admits: impl FnMut(ServerKey) -> bool,
    ) -> SmallVec<[ServerKey; MAX_HOMES]> {
        let mut best: SmallVec<[(u64, ServerKey); MAX_HOMES + 1]> = SmallVec::new();
        let max_homes = max_homes.min(MAX_HOMES);
        let key_hash = mix(key);
        let start = self.positions.partition_point(|&(address_hash, _)| address_hash < key_hash);
        for step in 0..self.positions.len().min(WINDOW_SERVERS) {
            let (address_hash, server) = self.positions[(start + step) % self.positions.len()];
            let score = mix(address_hash ^ key_hash);
            let rank = best.partition_point(|&(other, _)| other >= score);
            if rank < max_homes && admits(server) {
                best.insert(rank, (score, server));
                best.truncate(max_homes);
            }
        }
        best.into_iter().map(|(_, server)| server).collect()
    }
}
