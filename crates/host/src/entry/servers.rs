//! Request counts of the servers of plain services, and the engines that run a suspect.
//!
//! Completions are routed by [`RoutingState`](super::routing::RoutingState); a call to a plain
//! service goes to the least loaded server.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use carobvane_core::ids::{NodeId, ServerKey};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{active_lists::ActiveLists, shared::EntryShared};

/// Tracks the requests in progress on each server and chooses the least loaded one.
pub struct ServerPool {
    /// Number of requests in progress, by server name.
    in_flight: BTreeMap<String, u32>,
    /// Engines that run a suspect.
    busy_with_suspect: BTreeSet<ServerKey>,
    /// Addresses of servers that get no new requests.
    leaving: BTreeSet<String>,
    /// URLs of the other entries, used for redirects.
    other_entries: Vec<String>,
    rng: SmallRng,
}

impl ServerPool {
    /// Creates an empty pool. `seed` seeds the random choice between equally loaded servers.
    pub fn new(seed: u64) -> ServerPool {
        ServerPool {
            in_flight: BTreeMap::new(),
            busy_with_suspect: BTreeSet::new(),
            leaving: BTreeSet::new(),
            other_entries: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes the servers and the other entries from new lists; `own` is the node of this entry.
    pub fn set_servers(&mut self, lists: &ActiveLists, own: NodeId) {
        self.in_flight.retain(|name, _| lists.server(name).is_some());
        self.other_entries = lists
            .document
            .entries
            .values()
            .filter(|entry| entry.node != own)
            .map(|entry| format!("http://{}", entry.http_address))
            .collect();
    }

    /// Sets the addresses of servers that get no new requests.
    pub fn set_leaving(&mut self, leaving: BTreeSet<String>) {
        self.leaving = leaving;
    }

    /// Returns the least loaded server of a service that is not in `excluded`. Ties are broken at
    /// random.
    pub fn choose_least_loaded<'a>(
        &mut self,
        lists: &'a ActiveLists,
        service: &str,
        excluded: &[String],
    ) -> Option<&'a str> {
        let leaving = &self.leaving;
        let accepts_work = |name: &str| {
            lists.server(name).is_some_and(|server| !leaving.contains(&server.address))
        };
        let candidates = lists.service_servers(service).iter();
        let candidates = candidates.filter(|name| !excluded.contains(name) && accepts_work(name));
        let rng = &mut self.rng;
        let in_flight = &self.in_flight;
        candidates
            .min_by_key(|name| (in_flight.get(*name).copied().unwrap_or(0), rng.random::<u32>()))
            .map(String::as_str)
    }

    /// Counts a request that starts on a server.
    pub fn begin_request(&mut self, name: &str) {
        *self.in_flight.entry(name.to_string()).or_default() += 1;
    }

    /// Removes a request that has ended on a server from its count.
    pub fn end_request(&mut self, name: &str) {
        if let Some(count) = self.in_flight.get_mut(name) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the engines that run a suspect. A second suspect on one of them would be counted as
    /// a cause of the same crash.
    pub fn servers_running_suspects(&self) -> impl Iterator<Item = ServerKey> {
        self.busy_with_suspect.iter().copied()
    }

    /// Returns the URL of another entry, if the lists contain one.
    pub fn other_entry_url(&self) -> Option<String> {
        self.other_entries.first().cloned()
    }
}

/// Marks an engine as running a suspect until the guard is dropped.
pub struct SuspectGuard {
    shared: Arc<EntryShared>,
    server: ServerKey,
}

impl SuspectGuard {
    /// Marks an engine as running a suspect.
    pub fn acquire(shared: &Arc<EntryShared>, server: ServerKey) -> SuspectGuard {
        shared.pool().busy_with_suspect.insert(server);
        SuspectGuard { shared: Arc::clone(shared), server }
    }
}

impl Drop for SuspectGuard {
    fn drop(&mut self) {
        self.shared.pool().busy_with_suspect.remove(&self.server);
    }
}
