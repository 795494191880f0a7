//! Plain servers as this entry uses them, and the engines that run a suspect.
//!
//! Completions are routed by the decision library; the calls of plain services take the least
//! loaded server.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use carobvane_core::ids::{NodeId, ServerKey};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{active_lists::ActiveLists, shared::EntryShared};

/// Requests in progress by server, and the choice of the least loaded.
pub struct ServerPool {
    in_flight: BTreeMap<String, u32>,
    /// Engines that run a suspect.
    busy_with_suspect: BTreeSet<ServerKey>,
    /// Addresses of servers that get no new work.
    leaving: BTreeSet<String>,
    other_entries: Vec<String>,
    rng: SmallRng,
}

impl ServerPool {
    /// Creates an empty pool.
    pub fn new(seed: u64) -> ServerPool {
        ServerPool {
            in_flight: BTreeMap::new(),
            busy_with_suspect: BTreeSet::new(),
            leaving: BTreeSet::new(),
            other_entries: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes over the servers of the lists in force.
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

    /// Sets the addresses of servers that get no new work.
    pub fn set_leaving(&mut self, leaving: BTreeSet<String>) {
        self.leaving = leaving;
    }

    /// The least loaded server of a service without `excluded`; ties are broken at random.
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

    /// Counts a request that starts at a server.
    pub fn begin_request(&mut self, name: &str) {
        *self.in_flight.entry(name.to_string()).or_default() += 1;
    }

    /// Counts a request that has ended at a server.
    pub fn end_request(&mut self, name: &str) {
        if let Some(count) = self.in_flight.get_mut(name) {
            *count = count.saturating_sub(1);
        }
    }

    /// Engines that run a suspect. A second one there would make a crash count for both.
    pub fn servers_running_suspects(&self) -> impl Iterator<Item = ServerKey> {
        self.busy_with_suspect.iter().copied()
    }

    /// URL of another entry.
    pub fn other_entry_url(&self) -> Option<String> {
        self.other_entries.first().cloned()
    }
}

/// Keeps an engine marked as running a suspect until it is dropped.
pub struct SuspectGuard {
    shared: Arc<EntryShared>,
    server: ServerKey,
}

impl SuspectGuard {
    /// Marks an engine.
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
