//! The backend servers that the entry knows.

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

/// Time in which the part of a load report that other entries caused loses half its weight.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Age that the content of a load report may have at its arrival.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(250);
/// Requests of other entries that are counted between two reports at most.
const MAX_ANNOUNCED_REQUESTS: usize = 64;
/// Time after which prompts that were computed no longer widen the measured gaps between tokens: a
/// measurement spans half a second of a busy engine.
const PREFILL_EFFECT: Duration = Duration::from_secs(1);
/// Waiting prompt tokens, by all entries, below which an old report no longer counts as a prompt.
const MIN_WAITING_TOKENS: f32 = 500.0;
/// Servers in the table at most, because index records hold 16-bit server numbers and one is the
/// KV cache store's. Further servers are not added.
pub(super) const MAX_SERVERS: usize = 65_534;

/// Requests in flight by class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ClassCounts {
    /// Short requests.
    pub short: u32,
    /// Long requests.
    pub long: u32,
}

impl ClassCounts {
    /// Requests of both classes.
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

/// A server's load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    pub waiting_tokens: u64,
}

/// A server as another part of the program found it.
#[derive(Debug, Clone, Copy)]
pub struct ServerUpdate<'a> {
    /// Where it is.
    pub address: AddressId,
    /// Its life.
    pub incarnation: IncarnationId,
    /// The models in its memory with their weights versions.
    pub models: &'a [(ModelKey, WeightsVersion)],
    /// Its largest batch.
    pub slots: u32,
}

/// One backend server.
#[derive(Debug, Clone)]
pub struct ServerRecord {
    /// Where it is.
    pub address: AddressId,
    /// Its life. Invariant: never decreases.
    pub incarnation: IncarnationId,
    /// The models in its memory with their weights versions.
    pub models: SmallVec<[(ModelKey, WeightsVersion); 3]>,
    /// Its largest batch.
    pub slots: u32,
    /// This entry's own requests that run there. Invariant: zero when a life begins.
    pub in_flight: ClassCounts,
    /// Tokens of the entry's own requests that have not produced a first token.
    pub waiting_tokens: u64,
    /// Whether it gets no new work because it is to be shut down. A new life does not end this,
    /// because a process may restart on a VM that leaves.
    pub draining: bool,
    /// Whether a request runs there that must run alone.
    pub exclusive: bool,
    /// Whether the last connection to it failed.
    pub unreachable: bool,
    /// When prompts were last known to wait for prefill there.
    pub(super) last_prompt_wait: Option<ClockTime>,
    /// Observed speed.
    pub straggler: StragglerState,
    pub(super) event_cursor: EventCursor,
    pub(super) remote_load: Option<RemoteLoad>,
    /// Requests of other entries that the last report may not contain.
    announced: SmallVec<[AnnouncedRequest; 4]>,
}

/// A request that another entry told of.
#[derive(Debug, Clone, Copy)]
struct AnnouncedRequest {
    received_at: ClockTime,
    missing_tokens: u32,
}

/// A load report with the entry's own share at its arrival.
#[derive(Debug, Clone, Copy)]
pub(super) struct RemoteLoad {
    received_at: ClockTime,
    /// Requests that other entries caused.
    remote_requests: f32,
    /// Waiting tokens that other entries caused.
    remote_tokens: f32,
}

/// Estimated load, by all entries.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct LoadEstimate {
    pub(super) requests: f32,
    pub(super) waiting_tokens: f32,
}

impl ServerRecord {
    /// The weights version of `model` in the server's memory.
    pub fn weights_of(&self, model: ModelKey) -> Option<WeightsVersion> {
        self.models.iter().find(|(held, _)| *held == model).map(|&(_, weights)| weights)
    }

    /// The entry's own load, plus the aged part of the last report that others caused.
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

    /// Counts a request that another entry has sent, until a report contains it.
    pub(super) fn add_announced_request(&mut self, now: ClockTime, missing_tokens: u32) {
        if self.announced.len() < MAX_ANNOUNCED_REQUESTS {
            self.announced.push(AnnouncedRequest { received_at: now, missing_tokens });
        }
    }

    /// Notes the time if prompts wait for prefill now. Call before and after a change of that.
    pub(super) fn note_waiting_prompts(&mut self, now: ClockTime) {
        if self.load_at(now).waiting_tokens >= MIN_WAITING_TOKENS {
            self.last_prompt_wait = Some(now);
        }
    }

    /// Whether prompts may have been computed between the tokens that were received lately.
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
    /// Highest life seen at this address, also after the server was removed.
    incarnation: IncarnationId,
}

/// What a sighting of a server changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TableChange {
    /// The server is known in this life.
    Known(ServerKey),
    /// The server is new, or has begun a new life: its cache is empty.
    NewIncarnation(ServerKey),
    /// The sighting belongs to an earlier life, or the table is full.
    Ignored,
}

/// The backend servers, by key, by address and by model.
#[derive(Debug, Clone, Default)]
pub struct ServerTable {
    servers: KeyArena<ServerKey, ServerRecord>,
    addresses: HashMap<AddressId, AddressState>,
    /// Invariant: a server is in the ring of exactly the models in its record.
    rings: Vec<(ModelKey, ServerRing)>,
    /// Invariant: the sum of all servers' own requests in flight.
    in_flight: u32,
}

impl ServerTable {
    /// The record of a server.
    pub fn get(&self, key: ServerKey) -> Option<&ServerRecord> {
        self.servers.get(key)
    }

    /// The server at an address.
    pub fn by_address(&self, address: AddressId) -> Option<ServerKey> {
        self.addresses.get(&address)?.key
    }

    /// The servers that hold a model in any version.
    pub fn ring(&self, model: ModelKey) -> Option<&ServerRing> {
        self.rings.iter().find(|(held, _)| *held == model).map(|(_, ring)| ring)
    }

    /// All servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &ServerRecord)> {
        self.servers.iter()
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is known.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Mean number of the entry's own requests in flight on a server.
    pub fn mean_in_flight(&self) -> f32 {
        self.in_flight as f32 / self.servers.len().max(1) as f32
    }

    /// The server with a number of index records.
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

    /// Starts a later life that an event or a response announced. The models stay as they were
    /// until the next sighting.
    pub(super) fn advance_incarnation(
        &mut self,
        key: ServerKey,
        incarnation: IncarnationId,
    ) -> bool {
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

    /// Removes a server. Its address keeps the highest life, so a late sighting of an earlier life
    /// does not bring it back.
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

    /// Drops addresses without a server when they outnumber the servers that the table may hold.
    fn prune_addresses(&mut self) {
        if self.addresses.len() > 2 * MAX_SERVERS {
            self.addresses.retain(|_, state| state.key.is_some());
        }
    }
}
