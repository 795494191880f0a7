//! The backend servers that the platform lists, and how far each may be used.
//!
//! While the platform's store is away, entries may lapse although their servers live. Such servers
//! stay usable until shortly after the store is back; one that is still missing then is gone.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::{PrefillBacklog, ServerHealth};
use crate::{
    arena::KeyArena,
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
};

/// Time after the store's return in which live servers list themselves again.
const RELIST_GRACE: Duration = Duration::from_millis(2_200);

/// State that a server lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingState {
    /// Takes requests.
    Ready,
    /// Is about to leave.
    Draining,
}

/// Weights of a model at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelWeights {
    /// Model name.
    pub model: String,
    /// Version of its weights.
    pub version: WeightsVersion,
}

/// A server's own entry in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerListing {
    /// Identity, which a restarted server may keep.
    pub instance: String,
    /// Start of this life in Unix milliseconds; 0 if not told.
    pub started_at_ms: u64,
    /// Service.
    pub service: String,
    /// Address; used again by other servers after this one has gone.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// State.
    pub state: ListingState,
    /// Models that it serves.
    pub weights: Vec<ModelWeights>,
}

/// How far a server may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerAvailability {
    /// Listed as ready.
    Ready,
    /// Its entry vanished while the store was in trouble; usable until proved gone.
    Lapsed,
    /// Takes nothing new.
    Leaving,
}

/// A server in one of its lives.
#[derive(Debug, Clone)]
pub struct BackendServer {
    /// Its entry.
    pub listing: ServerListing,
    /// How far it may be used.
    pub availability: ServerAvailability,
    /// What this node has seen of it.
    pub health: ServerHealth,
    /// Requests of this node that it has not finished.
    pub in_flight: u32,
    /// Prompts that it is reading, of all nodes as far as known.
    pub prefill_backlog: PrefillBacklog,
    /// Until when it is expected to be busy loading weights.
    pub loading_until: ClockTime,
}

impl BackendServer {
    /// Version of a model's weights at this server; `None` if it does not serve the model.
    pub fn weights_version(&self, model: &str) -> Option<WeightsVersion> {
        let weights = self.listing.weights.iter().find(|weights| weights.model == model);
        weights.map(|weights| weights.version)
    }

    /// Whether it keeps prompts in memory.
    pub fn has_kv_cache(&self) -> bool {
        !self.listing.weights.is_empty()
    }
}

/// What a new entry changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// A server that was not known, or a new life of one that was.
    Added(ServerKey),
    /// State or weights of a known server.
    Updated(ServerKey),
    /// Nothing that matters here.
    Unchanged(ServerKey),
}

/// All servers that are listed or may still be used.
#[derive(Debug, Clone, Default)]
pub struct ServerRegistry {
    servers: KeyArena<ServerKey, BackendServer>,
    /// Invariant: holds the key of every server in `servers`.
    by_instance: HashMap<String, ServerKey>,
    /// Invariant: instances of each service in a stable order.
    by_service: HashMap<String, Vec<ServerKey>>,
    store_unreachable: bool,
    relist_deadline: Option<ClockTime>,
}

impl ServerRegistry {
    /// Takes a server's entry.
    pub fn apply_listing(&mut self, listing: ServerListing) -> RegistryChange {
        let availability = match listing.state {
            ListingState::Ready => ServerAvailability::Ready,
            ListingState::Draining => ServerAvailability::Leaving,
        };
        if let Some(&key) = self.by_instance.get(&listing.instance) {
            let known = self
                .servers
                .get_mut(key)
                .filter(|known| is_same_incarnation(&known.listing, &listing));
            if let Some(server) = known {
                return update_server(server, key, listing, availability);
            }
            self.remove(&listing.instance);
        }
        let service = listing.service.clone();
        let instance = listing.instance.clone();
        let key = self.servers.insert(BackendServer {
            listing,
            availability,
            health: ServerHealth::default(),
            in_flight: 0,
            prefill_backlog: PrefillBacklog::default(),
            loading_until: ClockTime::ZERO,
        });
        self.by_instance.insert(instance, key);
        self.by_service.entry(service).or_default().push(key);
        RegistryChange::Added(key)
    }

    /// An entry is no longer there. Returns the key of a server that is now gone.
    pub fn on_listing_removed(&mut self, now: ClockTime, instance: &str) -> Option<ServerKey> {
        let key = *self.by_instance.get(instance)?;
        if self.may_have_lapsed(now) {
            let server = self.servers.get_mut(key)?;
            if server.availability == ServerAvailability::Ready {
                server.availability = ServerAvailability::Lapsed;
                return None;
            }
        }
        self.remove(instance)
    }

    /// Removes a server whose entry can't be read or whose life has ended.
    pub fn remove(&mut self, instance: &str) -> Option<ServerKey> {
        let key = self.by_instance.remove(instance)?;
        let server = self.servers.remove(key)?;
        if let Some(keys) = self.by_service.get_mut(&server.listing.service) {
            keys.retain(|other| *other != key);
        }
        Some(key)
    }

    /// Instances that are known, for comparison with a whole reading of the list.
    pub fn instances(&self) -> Vec<String> {
        self.by_instance.keys().cloned().collect()
    }

    /// The store has stopped answering this node.
    pub fn on_store_unreachable(&mut self) {
        self.store_unreachable = true;
        self.relist_deadline = None;
    }

    /// The store answers again.
    pub fn on_store_reachable(&mut self, now: ClockTime) {
        if self.store_unreachable {
            self.store_unreachable = false;
            self.relist_deadline = Some(now + RELIST_GRACE);
        }
    }

    /// Removes servers whose entry has not come back in time. Returns their instances.
    pub fn remove_lapsed(&mut self, now: ClockTime) -> Vec<(String, ServerKey)> {
        if self.relist_deadline.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.relist_deadline = None;
        let lapsed = |server: &BackendServer| server.availability == ServerAvailability::Lapsed;
        let gone: Vec<String> = self
            .iter()
            .filter(|(_, server)| lapsed(server))
            .map(|(_, server)| server.listing.instance.clone())
            .collect();
        gone.into_iter()
            .filter_map(|instance| self.remove(&instance).map(|key| (instance, key)))
            .collect()
    }

    /// A server by its key, unless that life has ended.
    pub fn get(&self, key: ServerKey) -> Option<&BackendServer> {
        self.servers.get(key)
    }

    /// A server by its key for change, unless that life has ended.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut BackendServer> {
        self.servers.get_mut(key)
    }

    /// The present life of an instance, for change.
    pub fn get_instance_mut(&mut self, instance: &str) -> Option<&mut BackendServer> {
        let key = *self.by_instance.get(instance)?;
        self.servers.get_mut(key)
    }

    /// The key of an instance's present life.
    pub fn key_of(&self, instance: &str) -> Option<ServerKey> {
        self.by_instance.get(instance).copied()
    }

    /// Servers of a service that may get new requests.
    pub fn usable<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (ServerKey, &'a BackendServer)> + use<'a> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let servers = keys.iter().filter_map(|&key| Some((key, self.servers.get(key)?)));
        servers.filter(|(_, server)| server.availability != ServerAvailability::Leaving)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &BackendServer)> {
        let keys = self.by_instance.values();
        keys.filter_map(|&key| Some((key, self.servers.get(key)?)))
    }

    fn may_have_lapsed(&self, now: ClockTime) -> bool {
        self.store_unreachable || self.relist_deadline.is_some_and(|due| now < due)
    }
}

/// A start time that is missing on one side names no other life.
fn is_same_incarnation(known: &ServerListing, listing: &ServerListing) -> bool {
    let same_start = known.started_at_ms == listing.started_at_ms
        || known.started_at_ms == 0
        || listing.started_at_ms == 0;
    same_start && known.address == listing.address && known.service == listing.service
}

fn update_server(
    server: &mut BackendServer,
    key: ServerKey,
    mut listing: ServerListing,
    availability: ServerAvailability,
) -> RegistryChange {
    // A server that has announced its leaving does not come back in the same life.
    let availability = match server.availability {
        ServerAvailability::Leaving => ServerAvailability::Leaving,
        _ => availability,
    };
    for weights in &mut listing.weights {
        let known = server.listing.weights.iter().find(|known| known.model == weights.model);
        if let Some(known) = known {
            weights.version = weights.version.max(known.version);
        }
    }
    if server.listing == listing && server.availability == availability {
        return RegistryChange::Unchanged(key);
    }
    server.listing = listing;
    server.availability = availability;
    RegistryChange::Updated(key)
}
