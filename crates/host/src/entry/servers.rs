//! Backend servers as this entry uses them.

use std::collections::{BTreeMap, BTreeSet};

use carobvane_core::ids::NodeId;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::active::ActiveLists;

/// Requests in progress by server, and the choice of the least loaded.
pub struct ServerPool {
    in_flight: BTreeMap<String, u32>,
    /// Servers that run a suspect.
    suspects: BTreeSet<String>,
    /// Servers that run a suspect and nothing else. Invariant: all are in `suspects`.
    alone: BTreeSet<String>,
    entries: Vec<String>,
    rng: SmallRng,
}

impl ServerPool {
    /// Creates an empty pool.
    pub fn new(seed: u64) -> ServerPool {
        ServerPool {
            in_flight: BTreeMap::new(),
            suspects: BTreeSet::new(),
            alone: BTreeSet::new(),
            entries: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes over the servers of the lists in force.
    pub fn set_servers(&mut self, lists: &ActiveLists, own: NodeId) {
        self.in_flight.retain(|name, _| lists.server(name).is_some());
        self.entries = lists
            .document
            .entries
            .values()
            .filter(|entry| entry.node != own)
            .map(|entry| format!("http://{}", entry.http_address))
            .collect();
    }

    /// The least loaded of `names` without `excluded`; ties are broken at random. Servers that run
    /// a suspect alone are the last choice.
    pub fn choose<'a>(&mut self, names: &'a [String], excluded: &[String]) -> Option<&'a str> {
        let candidates = names.iter().filter(|name| !excluded.contains(name));
        let rng = &mut self.rng;
        let (in_flight, alone) = (&self.in_flight, &self.alone);
        candidates
            .min_by_key(|name| {
                let load = in_flight.get(*name).copied().unwrap_or(0);
                (alone.contains(*name), load, rng.random::<u32>())
            })
            .map(String::as_str)
    }

    /// A server for a suspect, which the caller gives back with
    /// [`ServerPool::end_suspect`]: one without requests, or, with `shared`, the least loaded one
    /// without another suspect.
    pub fn choose_for_suspect(
        &mut self,
        names: &[String],
        excluded: &[String],
        shared: bool,
    ) -> Option<String> {
        let free = names.iter().filter(|name| !excluded.contains(name));
        let free = free.filter(|name| !self.suspects.contains(*name));
        let load = |name: &&String| self.in_flight.get(*name).copied().unwrap_or(0);
        let name = free.min_by_key(load).filter(|name| shared || load(name) == 0)?.clone();
        if load(&&name) == 0 {
            self.alone.insert(name.clone());
        }
        self.suspects.insert(name.clone());
        Some(name)
    }

    /// A suspect has ended at a server.
    pub fn end_suspect(&mut self, name: &str) {
        self.suspects.remove(name);
        self.alone.remove(name);
    }

    /// Counts a request that starts at a server.
    pub fn begin(&mut self, name: &str) {
        *self.in_flight.entry(name.to_string()).or_default() += 1;
    }

    /// Counts a request that has ended at a server.
    pub fn end(&mut self, name: &str) {
        if let Some(count) = self.in_flight.get_mut(name) {
            *count = count.saturating_sub(1);
        }
    }

    /// URL of another entry.
    pub fn other_entry(&self) -> Option<String> {
        self.entries.first().cloned()
    }
}
