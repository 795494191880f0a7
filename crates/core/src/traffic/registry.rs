//! The backend servers that the platform lists, and which of them may be used.
//!
//! In an outage of the platform's store, listings may expire although their servers live. Such
//! servers stay usable until shortly after the outage. A server that is not listed by then is
//! removed.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::{
    BrittleServer, KvMemory, LeavingNotices, PrefillBacklog, ServerHealth, ServerLimit,
    ServerModel, ServerSilence,
};
use crate::{
    arena::KeyArena,
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    suspects::ServerBuild,
};

/// Time in which live servers list themselves again after an outage of the store.
const RELIST_GRACE: Duration = Duration::from_millis(2_200);

/// State that a server announces in its listing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingState {
    /// Accepts requests.
    Ready,
    /// Is about to leave and accepts no new requests.
    Draining,
}

/// Weights version of one model at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelWeights {
    /// Name of the model.
    pub model: String,
    /// Version of the weights that the server has loaded.
    pub version: WeightsVersion,
}

/// The entry that a server maintains for itself in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerListing {
    /// Name of the instance; a restarted server may keep it.
    pub instance: String,
    /// Start of this incarnation in Unix milliseconds; 0 if unknown.
    pub started_at_ms: u64,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Version of the server's software, which has no order; `None` if it is not known.
    pub software: Option<String>,
    /// Address for requests. Another server may reuse it after this one has left.
    pub address: SocketAddr,
    /// Data centre in which the server runs.
    pub data_centre: String,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
    /// Announced state.
    pub state: ListingState,
    /// Weights of the models that the server serves; empty unless it is an engine.
    pub weights: Vec<ModelWeights>,
}

/// Whether a server may get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerAvailability {
    /// Listed as ready.
    Ready,
    /// The listing vanished in an outage of the store; usable until the time to list again ends.
    Lapsed,
    /// Gets no new requests, because it has announced that it leaves.
    Leaving,
}

/// One incarnation of a backend server.
#[derive(Debug, Clone)]
pub struct BackendServer {
    /// Latest listing.
    pub listing: ServerListing,
    /// Whether it may get requests.
    pub availability: ServerAvailability,
    /// Outcomes and load that this node has observed.
    pub health: ServerHealth,
    /// Number of requests that this node has sent to it and that have not ended.
    pub in_flight: u32,
    /// Prompts that it has yet to prefill, from all nodes as far as known.
    pub prefill_backlog: PrefillBacklog,
    /// KV memory that requests hold there.
    pub kv_memory: KvMemory,
    /// Speed that its responses show.
    pub model: ServerModel,
    /// Time until which it gets no requests because it loads weights or is about to.
    pub loading_until: ClockTime,
    /// Rate of requests that it takes from all nodes together.
    pub limit: ServerLimit,
    /// Rejections that it bears from all nodes together.
    pub brittle: BrittleServer,
    /// Whether it responds to anybody, as the nodes have found out together.
    pub silence: ServerSilence,
}

impl BackendServer {
    /// Weights version of a model at this server; `None` if it does not serve the model.
    pub fn weights_version(&self, model: &str) -> Option<WeightsVersion> {
        let weights = self.listing.weights.iter().find(|weights| weights.model == model);
        weights.map(|weights| weights.version)
    }

    /// Whether the server is an engine, and so keeps KV cache of prompts.
    pub fn has_kv_cache(&self) -> bool {
        !self.listing.weights.is_empty()
    }
}

/// Effect of a listing on the registry. The keys are those of the listed server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistryChange {
    /// The server was unknown, or this is a new incarnation of a known one.
    Added(ServerKey),
    /// The listing or the availability of a known server changed.
    Updated(ServerKey),
    /// Nothing changed.
    Unchanged(ServerKey),
}

/// All backend servers that are listed or may still be used.
#[derive(Debug, Clone, Default)]
pub struct ServerRegistry {
    servers: KeyArena<ServerKey, BackendServer>,
    /// Invariant: has the key of every server in `servers`, by its instance name.
    by_instance: HashMap<String, ServerKey>,
    /// Invariant: has the servers of each service, in the order in which they were added.
    by_service: HashMap<String, Vec<ServerKey>>,
    /// Servers that have said that they leave, whether or not they are listed.
    leaving: LeavingNotices,
    /// Whether an outage of the store is on.
    is_store_away: bool,
    /// Whether changes of listings may not reach this node, since its calls to the store fail.
    may_miss_listings: bool,
    /// Until when live servers list themselves again after an outage.
    relist_deadline: Option<ClockTime>,
}

impl ServerRegistry {
    /// Adds or updates a server from its listing. A new incarnation gets a new key.
    pub fn apply_listing(&mut self, listing: ServerListing) -> RegistryChange {
        let availability = match listing.state {
            ListingState::Ready if !self.leaving.has_said(&listing) => ServerAvailability::Ready,
            _ => ServerAvailability::Leaving,
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
            kv_memory: KvMemory::default(),
            model: ServerModel::default(),
            loading_until: ClockTime::ZERO,
            limit: ServerLimit::default(),
            brittle: BrittleServer::default(),
            silence: ServerSilence::default(),
        });
        self.by_instance.insert(instance, key);
        self.by_service.entry(service).or_default().push(key);
        RegistryChange::Added(key)
    }

    /// Records that an incarnation of a server has said that it leaves, to this node (`is_own`) or to
    /// another one. It gets no new requests even if the store lists it as ready, now or later. Returns
    /// whether this is new.
    pub fn on_said_leaving(
        &mut self,
        now: ClockTime,
        instance: &str,
        started_at_ms: u64,
        is_own: bool,
    ) -> bool {
        let is_new = self.leaving.add(now, instance, started_at_ms, is_own);
        let listed = self.get_instance_mut(instance).filter(|_| is_new);
        if let Some(server) = listed.filter(|it| it.listing.started_at_ms == started_at_ms) {
            server.availability = ServerAvailability::Leaving;
        }
        is_new
    }

    /// Servers that have said that they leave.
    pub fn leaving_notices(&self) -> &LeavingNotices {
        &self.leaving
    }

    /// Forgets what servers that are no longer listed have said.
    pub fn expire_leaving(&mut self, now: ClockTime) {
        let listed = &self.by_instance;
        self.leaving.expire(now, |instance| listed.contains_key(instance));
    }

    /// Handles a listing that was removed. Returns the server's key if the server was removed too,
    /// rather than kept because its listing may have expired in an outage of the store.
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

    /// Removes a server whose listing can't be read or whose incarnation has ended.
    pub fn remove(&mut self, instance: &str) -> Option<ServerKey> {
        let key = self.by_instance.remove(instance)?;
        let server = self.servers.remove(key)?;
        if let Some(keys) = self.by_service.get_mut(&server.listing.service) {
            keys.retain(|other| *other != key);
        }
        Some(key)
    }

    /// Handles the beginning of an outage of the store.
    pub fn on_store_away(&mut self) {
        self.is_store_away = true;
        self.relist_deadline = None;
    }

    /// Handles the end of an outage. Live servers now have to list themselves again.
    pub fn on_store_back(&mut self, now: ClockTime) {
        self.is_store_away = false;
        self.relist_deadline = Some(now + RELIST_GRACE);
    }

    /// Records whether the store answered the latest call of this node.
    pub fn on_store_call(&mut self, is_answered: bool) {
        self.may_miss_listings = !is_answered;
    }

    /// Removes lapsed servers that have not listed themselves again in time, and returns them.
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

    /// Whether other servers than this one are listed.
    pub fn has_others(&self, server: ServerKey) -> bool {
        self.iter().any(|(key, _)| key != server)
    }

    /// A server by its key; `None` if that incarnation has ended.
    pub fn get(&self, key: ServerKey) -> Option<&BackendServer> {
        self.servers.get(key)
    }

    /// A mutable server by its key; `None` if that incarnation has ended.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut BackendServer> {
        self.servers.get_mut(key)
    }

    /// The current incarnation of an instance, mutable.
    pub fn get_instance_mut(&mut self, instance: &str) -> Option<&mut BackendServer> {
        let key = *self.by_instance.get(instance)?;
        self.servers.get_mut(key)
    }

    /// Whether another incarnation of a server may have started that its listing does not name.
    pub fn may_have_restarted(&self, now: ClockTime, server: &BackendServer) -> bool {
        server.health.may_have_restarted(now, !self.may_miss_listings)
    }

    /// Whether a server of a service with this software may get requests.
    pub fn has_usable_software(&self, service: &str, software: &str) -> bool {
        let mut usable = self.usable(service);
        usable.any(|(_, server)| server.listing.software.as_deref() == Some(software))
    }

    /// Whether a usable server of a service may have the software of a build. Without a usable server, or
    /// if some may run unknown software, any build may be there.
    pub fn may_have_software(&self, service: &str, build: ServerBuild) -> bool {
        let mut servers = self.usable(service).peekable();
        let none_known = servers.peek().is_none() || !build.is_known() || self.may_miss_listings;
        none_known
            || servers.any(|(_, server)| {
                let own = ServerBuild::new(server.listing.software.as_deref(), None);
                !own.is_known() || own.has_software_of(build)
            })
    }

    /// Whether an instance has announced that it leaves.
    pub fn is_leaving(&self, instance: &str) -> bool {
        let key = self.by_instance.get(instance);
        let server = key.and_then(|&key| self.servers.get(key));
        server.is_some_and(|server| server.availability == ServerAvailability::Leaving)
    }

    /// Key of the current incarnation of an instance.
    pub fn key_of(&self, instance: &str) -> Option<ServerKey> {
        self.by_instance.get(instance).copied()
    }

    /// Servers of a service that have not announced to leave.
    pub fn usable<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (ServerKey, &'a BackendServer)> + use<'a> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        let servers = keys.iter().filter_map(|&key| Some((key, self.servers.get(key)?)));
        servers.filter(|(_, server)| server.availability != ServerAvailability::Leaving)
    }

    /// Keys of the servers of a service, those that leave included.
    pub fn keys_of_service(&self, service: &str) -> Vec<ServerKey> {
        self.by_service.get(service).cloned().unwrap_or_default()
    }

    /// All servers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &BackendServer)> {
        let keys = self.by_instance.values();
        keys.filter_map(|&key| Some((key, self.servers.get(key)?)))
    }

    /// Shortest time until a server of a service takes a request again that got as many as it takes;
    /// `None` if there is no such server outside `tried`.
    pub fn limit_wait(
        &self,
        now: ClockTime,
        service: &str,
        tried: &[ServerKey],
    ) -> Option<Duration> {
        let untried = self.usable(service).filter(|(key, _)| !tried.contains(key));
        let waits = untried.map(|(_, server)| server.limit.wait(now));
        waits.filter(|wait| !wait.is_zero()).min()
    }

    fn may_have_lapsed(&self, now: ClockTime) -> bool {
        self.is_store_away || self.relist_deadline.is_some_and(|due| now < due)
    }
}

/// Whether two listings of an instance are of the same incarnation. An unknown start time matches
/// any other.
fn is_same_incarnation(known: &ServerListing, listing: &ServerListing) -> bool {
    let same_start = known.started_at_ms == listing.started_at_ms
        || known.started_at_ms == 0
        || listing.started_at_ms == 0;
    let same_software = known.software == listing.software;
    same_start
        && same_software
        && known.address == listing.address
        && known.service == listing.service
}

fn update_server(
    server: &mut BackendServer,
    key: ServerKey,
    mut listing: ServerListing,
    availability: ServerAvailability,
) -> RegistryChange {
    // A server that has announced to leave does not return in the same incarnation.
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
