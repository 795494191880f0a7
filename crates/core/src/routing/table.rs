//! The table of backend servers that an entry knows, with their estimated load.

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{RequestClass, ServerRing, StragglerState};
use crate::{
    arena::KeyArena,
    clock::ClockTime,
    ids::{AddressId, IncarnationId, ModelKey, ServerKey, WeightsVersion},
    prefix::EventCursor,
};

/// Half-life of the estimated load that other entries cause.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Maximum delay between measuring and receiving a load report. Requests announced within this time
/// before its arrival may be missing from the report.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of announced requests per server between two load reports.
const MAX_ANNOUNCED_REQUESTS: usize = 64;
/// How long a waiting prompt affects the measured gaps between tokens after it was computed. One
/// measurement covers half a second on a busy engine.
const PREFILL_EFFECT: Duration = Duration::from_secs(1);
/// Estimated number of waiting prompt tokens from which prompts count as waiting. The decayed
/// estimate of an old report never reaches zero.
const MIN_WAITING_TOKENS: f32 = 500.0;
/// Maximum number of servers. Index records hold 16-bit server numbers, and one number is reserved
/// for the KV cache store.
pub(super) const MAX_SERVERS: usize = 65_534;

/// Number of requests in flight by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ClassCounts {
    /// Number of short requests.
    pub short: u32,
    /// Number of long requests.
    pub long: u32,
}

impl ClassCounts {
    /// Returns the number of requests of both classes.
    pub fn total(&self) -> u32 {
        self.short + self.long
    }

    pub(super) fn count_mut(&mut self, class: RequestClass) -> &mut u32 {
        match class {
            RequestClass::Short => &mut self.short,
            RequestClass::Long => &mut self.long,
        }
    }
}

/// Load that a server reports about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of prompt tokens that wait for prefill.
    pub waiting_tokens: u64,
}

/// Current properties of a server, to add it to the table or update its record.
#[derive(Debug, Clone, Copy)]
pub struct ServerUpdate<'a> {
    /// Network address, which identifies the server.
    pub address: AddressId,
    /// Incarnation of the server process.
    pub incarnation: IncarnationId,
    /// The models in the server's memory with their weights versions.
    pub models: &'a [(ModelKey, WeightsVersion)],
    /// Maximum batch size.
    pub slots: u32,
}

/// What the entry knows about one backend server.
#[derive(Debug, Clone)]
pub struct ServerRecord {
    /// Network address, which identifies the server.
    pub address: AddressId,
    /// Incarnation of the server process. Invariant: never decreases.
    pub incarnation: IncarnationId,
    /// The models in the server's memory with their weights versions.
    pub models: SmallVec<[(ModelKey, WeightsVersion); 3]>,
    /// Maximum batch size.
    pub slots: u32,
    /// This entry's requests in flight. Invariant: zero when an incarnation begins.
    pub in_flight: ClassCounts,
    /// Prompt tokens of this entry's requests that have not produced a first token.
    pub waiting_tokens: u64,
    /// Whether the server gets no new requests because it will be shut down. Kept across
    /// incarnations, because the process may restart on a VM that is being drained.
    pub draining: bool,
    /// Whether an exclusive request is in flight, which no other request of this entry may join.
    pub exclusive: bool,
    /// Whether the last connection attempt failed.
    pub unreachable: bool,
    /// Last time at which prompts were known to wait for prefill.
    pub(super) last_prompt_wait: Option<ClockTime>,
    /// Speed measurements.
    pub straggler: StragglerState,
    pub(super) event_cursor: EventCursor,
    pub(super) remote_load: Option<RemoteLoad>,
    /// Requests announced by other entries that the last load report may not include.
    announced: SmallVec<[AnnouncedRequest; 4]>,
}

/// A request announced by another entry.
#[derive(Debug, Clone, Copy)]
struct AnnouncedRequest {
    received_at: ClockTime,
    missing_tokens: u32,
}

/// The part of a load report that this entry's requests do not explain.
#[derive(Debug, Clone, Copy)]
pub(super) struct RemoteLoad {
    received_at: ClockTime,
    /// Number of requests of other entries.
    remote_requests: f32,
    /// Number of waiting prompt tokens of other entries.
    remote_tokens: f32,
}

/// Estimated load of a server from the requests of all entries.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct LoadEstimate {
    pub(super) requests: f32,
    pub(super) waiting_tokens: f32,
}

impl ServerRecord {
    /// Returns the weights version of `model` in the server's memory.
    pub fn weights_of(&self, model: ModelKey) -> Option<WeightsVersion> {
        self.models.iter().find(|(held, _)| *held == model).map(|&(_, weights)| weights)
    }

    /// Estimates the load by all entries. The part of other entries decays with its age.
    pub(super) fn load_at(&self, now: ClockTime) -> LoadEstimate {
        let mut load = LoadEstimate {
            requests: self.in_flight.total() as f32,
            waiting_tokens: self.waiting_tokens as f32,
        };
        if let Some(remote) = &self.remote_load {
            let weight = decay_weight(now, remote.received_at);
            load.requests += remote.remote_requests * weight;
            load.waiting_tokens += remote.remote_tokens * weight;
        }
        for announced in &self.announced {
            let weight = decay_weight(now, announced.received_at);
            load.requests += weight;
            load.waiting_tokens += announced.missing_tokens as f32 * weight;
        }
        load
    }

    /// Counts a request that another entry announced, until a load report includes it.
    pub(super) fn add_announced_request(&mut self, now: ClockTime, missing_tokens: u32) {
        if self.announced.len() < MAX_ANNOUNCED_REQUESTS {
            self.announced.push(AnnouncedRequest { received_at: now, missing_tokens });
        }
    }

    /// Stores the time if prompts wait for prefill. Must be called before this can change.
    pub(super) fn note_waiting_prompts(&mut self, now: ClockTime) {
        if self.load_at(now).waiting_tokens >= MIN_WAITING_TOKENS {
            self.last_prompt_wait = Some(now);
        }
    }

    /// Returns whether prefill may have widened the gaps between the tokens received lately.
    pub(super) fn recently_prefilled(&self, now: ClockTime) -> bool {
        self.load_at(now).waiting_tokens >= MIN_WAITING_TOKENS
            || self.last_prompt_wait.is_some_and(|at| now.since(at) < PREFILL_EFFECT)
    }

    pub(super) fn apply_report(&mut self, now: ClockTime, load: ReportedLoad) {
        self.note_waiting_prompts(now);
        let own = self.in_flight.total();
        self.announced.retain(|announced| now.since(announced.received_at) < MAX_REPORT_DELAY);
        self.remote_load = Some(RemoteLoad {
            received_at: now,
            remote_requests: (load.running + load.waiting).saturating_sub(own) as f32,
            remote_tokens: load.waiting_tokens.saturating_sub(self.waiting_tokens) as f32,
        });
    }

    fn reset_for_incarnation(&mut self, incarnation: IncarnationId) {
        self.incarnation = incarnation;
        self.in_flight = ClassCounts::default();
        self.waiting_tokens = 0;
        self.exclusive = false;
        self.unreachable = false;
        self.remote_load = None;
        self.announced.clear();
        self.last_prompt_wait = None;
        self.straggler = StragglerState::default();
        self.event_cursor.advance_incarnation(incarnation);
    }
}

fn decay_weight(now: ClockTime, at: ClockTime) -> f32 {
    (-now.since(at).as_secs_f32() / REPORT_HALF_LIFE.as_secs_f32()).exp2()
}

#[derive(Debug, Clone, Copy)]
struct AddressState {
    key: Option<ServerKey>,
    /// Highest incarnation seen at this address. Kept after the server is removed.
    incarnation: IncarnationId,
}

/// Result of adding or updating a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TableChange {
    /// The server was already known in this incarnation.
    Known(ServerKey),
    /// The server is new or has a new incarnation, so its cache is empty.
    NewIncarnation(ServerKey),
    /// The update names an earlier incarnation, or the table is full.
    Ignored,
}

/// The backend servers, indexed by key, address and model.
#[derive(Debug, Clone, Default)]
pub struct ServerTable {
    servers: KeyArena<ServerKey, ServerRecord>,
    addresses: HashMap<AddressId, AddressState>,
    /// Invariant: a server is in the rings of exactly the models in its record.
    rings: Vec<(ModelKey, ServerRing)>,
    /// Invariant: the sum of this entry's requests in flight on all servers.
    in_flight: u32,
}

impl ServerTable {
    /// Returns the record of a server, or `None` if it was removed.
    pub fn get(&self, key: ServerKey) -> Option<&ServerRecord> {
        self.servers.get(key)
    }

    /// Returns the server at an address.
    pub fn by_address(&self, address: AddressId) -> Option<ServerKey> {
        self.addresses.get(&address)?.key
    }

    /// Returns the servers that hold any weights version of a model.
    pub fn ring(&self, model: ModelKey) -> Option<&ServerRing> {
        self.rings.iter().find(|(held, _)| *held == model).map(|(_, ring)| ring)
    }

    /// Iterates over all servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &ServerRecord)> {
        self.servers.iter()
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the mean number of this entry's requests in flight per server.
    pub fn mean_in_flight(&self) -> f32 {
        self.in_flight as f32 / self.servers.len().max(1) as f32
    }

    /// Returns the server with this number in the block index.
    pub(super) fn by_index_number(&self, number: u16) -> Option<ServerKey> {
        self.servers.key_at(u32::from(number.checked_sub(1)?))
    }

    pub(super) fn get_mut(&mut self, key: ServerKey) -> Option<&mut ServerRecord> {
        self.servers.get_mut(key)
    }

    pub(super) fn upsert(&mut self, update: &ServerUpdate<'_>) -> TableChange {
        let known = self.addresses.get(&update.address).copied();
        if known.is_some_and(|state| update.incarnation < state.incarnation) {
            return TableChange::Ignored;
        }
        let change = match known.and_then(|state| state.key) {
            Some(key) => self.update_known_server(key, update),
            None if self.servers.len() >= MAX_SERVERS => return TableChange::Ignored,
            None => TableChange::NewIncarnation(self.servers.insert(ServerRecord {
                address: update.address,
                incarnation: update.incarnation,
                models: SmallVec::new(),
                slots: update.slots,
                in_flight: ClassCounts::default(),
                waiting_tokens: 0,
                draining: false,
                exclusive: false,
                unreachable: false,
                straggler: StragglerState::default(),
                event_cursor: EventCursor::new(update.incarnation),
                remote_load: None,
                announced: SmallVec::new(),
                last_prompt_wait: None,
            })),
        };
        if let TableChange::Known(key) | TableChange::NewIncarnation(key) = change {
            let state = AddressState { key: Some(key), incarnation: update.incarnation };
            self.addresses.insert(update.address, state);
            self.set_models(key, update.models);
        }
        change
    }

    fn update_known_server(&mut self, key: ServerKey, update: &ServerUpdate<'_>) -> TableChange {
        let Some(record) = self.servers.get_mut(key) else { return TableChange::Ignored };
        record.slots = update.slots;
        if update.incarnation == record.incarnation {
            return TableChange::Known(key);
        }
        self.in_flight -= record.in_flight.total();
        record.reset_for_incarnation(update.incarnation);
        TableChange::NewIncarnation(key)
    }

    fn set_models(&mut self, key: ServerKey, models: &[(ModelKey, WeightsVersion)]) {
        let Some(record) = self.servers.get_mut(key) else { return };
        let address = record.address;
        for (model, ring) in &mut self.rings {
            if !models.iter().any(|(held, _)| held == model) {
                ring.remove(address, key);
            }
        }
        record.models = SmallVec::from_slice(models);
        for &(model, _) in models {
            if !self.rings.iter().any(|(held, _)| *held == model) {
                self.rings.push((model, ServerRing::default()));
            }
            for (_, ring) in self.rings.iter_mut().filter(|(held, _)| *held == model) {
                ring.insert(address, key);
            }
        }
    }

    /// Advances a server to a later incarnation that an event or a response named. The models stay
    /// unchanged until the next update.
    pub(super) fn advance_to(&mut self, key: ServerKey, incarnation: IncarnationId) -> bool {
        let Some(record) = self.servers.get_mut(key) else { return false };
        if incarnation <= record.incarnation {
            return false;
        }
        self.in_flight -= record.in_flight.total();
        record.reset_for_incarnation(incarnation);
        let state = AddressState { key: Some(key), incarnation };
        self.addresses.insert(record.address, state);
        true
    }

    /// Removes a server. Its address keeps the highest incarnation, so that a late update of an
    /// earlier one does not add the server again.
    pub(super) fn remove(&mut self, key: ServerKey) -> bool {
        self.set_models(key, &[]);
        let Some(record) = self.servers.remove(key) else { return false };
        self.in_flight -= record.in_flight.total();
        if let Some(state) = self.addresses.get_mut(&record.address) {
            state.key = None;
        }
        self.prune_addresses();
        true
    }

    pub(super) fn add_in_flight(&mut self, key: ServerKey, class: RequestClass) {
        if let Some(record) = self.servers.get_mut(key) {
            *record.in_flight.count_mut(class) += 1;
            self.in_flight += 1;
        }
    }

    pub(super) fn remove_in_flight(&mut self, key: ServerKey, class: RequestClass) {
        if let Some(record) = self.servers.get_mut(key) {
            let count = record.in_flight.count_mut(class);
            if *count > 0 {
                *count -= 1;
                self.in_flight -= 1;
            }
        }
    }

    /// Drops addresses without a server if there are more than twice [`MAX_SERVERS`] addresses.
    fn prune_addresses(&mut self) {
        if self.addresses.len() > 2 * MAX_SERVERS {
            self.addresses.retain(|_, state| state.key.is_some());
        }
    }
}
