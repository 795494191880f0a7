//! Backend servers as this entry uses them.

use std::collections::BTreeMap;

use carobvane_core::ids::NodeId;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::active::ActiveLists;

/// Requests in progress by server, and the choice of the least loaded.
pub struct ServerPool {
    in_flight: BTreeMap<String, u32>,
    entries: Vec<String>,
    rng: SmallRng,
}

impl ServerPool {
    /// Creates an empty pool.
    pub fn new(seed: u64) -> ServerPool {
        ServerPool {
            in_flight: BTreeMap::new(),
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

    /// The least loaded of `names` without `excluded`; ties are broken at random.
    pub fn choose<'a>(&mut self, names: &'a [String], excluded: &[String]) -> Option<&'a str> {
        let candidates = names.iter().filter(|name| !excluded.contains(name));
        let rng = &mut self.rng;
        let in_flight = &self.in_flight;
        candidates
            .min_by_key(|name| (in_flight.get(*name).copied().unwrap_or(0), rng.random::<u32>()))
            .map(String::as_str)
    }

    /// Counts a request that starts at a server.
    // Engines are counted by the router; the calls of plain services are to be counted here.
    #[allow(dead_code)]
    pub fn begin(&mut self, name: &str) {
        *self.in_flight.entry(name.to_string()).or_default() += 1;
    }

    /// Counts a request that has ended at a server.
    #[allow(dead_code)]
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
