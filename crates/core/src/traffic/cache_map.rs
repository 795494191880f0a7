//! Estimates which server holds which shared parts of prompts in its KV cache.
//!
//! Entries come from requests and from the cache events of the engines. Some events are lost, so
//! entries also expire after the time that an unused part usually stays in a cache. A wrong entry
//! only costs a recomputation, because servers check their own cache.

use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

use super::{CacheSource, PromptPart, PromptShape, StoreId};
use crate::{clock::ClockTime, ids::ServerKey};

/// Time without use after which a confirmed part counts as evicted from an engine, if no event has said
/// so. A shorter time, such as 20 s, ends the entries of prefixes that are still cached and only used
/// seldom; an entry that stays too long costs a miss.
const PART_LIFETIME: Duration = Duration::from_secs(90);
/// Time after which a part is no longer expected of a request that has not responded.
const EXPECTED_LIFETIME: Duration = Duration::from_secs(20);
/// Like [`PART_LIFETIME`], in a store of KV cache. It is larger, and new weights evict nothing.
const STORE_PART_LIFETIME: Duration = Duration::from_secs(180);
/// Maximum number of entries: 140 engines with some 470 parts of 200 tokens each. When full, the least
/// recently used ones are dropped.
const MAX_ENTRIES: usize = 65_536;
/// One in so many entries is dropped at a time, so that a search is worth its time.
const DROPPED_PART: usize = 8;
/// Maximum number of requests whose parts are expected. A further one expects nothing.
const MAX_PENDING: usize = 8_192;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PartKey {
    /// Engine or store of KV cache that holds the part.
    site: CacheSource,
    /// Id of the part, XORed with its salt.
    part: u64,
}

/// How certain it is that a part is cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheConfidence {
    /// A request with the part was sent to the server.
    Expected,
    /// The response to a request with the part has begun, or an event reported the part.
    Confirmed,
}

#[derive(Debug, Clone, Copy)]
struct PartUse {
    used_at: ClockTime,
    confidence: CacheConfidence,
    /// Number of requests that were sent with the part and have not responded.
    pending: u16,
}

/// Parts that a request was sent with.
#[derive(Debug, Clone)]
struct PendingRequest {
    sent_at: ClockTime,
    /// Ids of the parts, XORed with their salt.
    parts: SmallVec<[u64; 4]>,
}

/// Changes that cache events made to the entries of an engine. Part ids are XORed with the salt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheChanges {
    /// Parts that are cached and were not confirmed before.
    pub added: Vec<u64>,
    /// Parts that were confirmed and are no longer cached.
    pub removed: Vec<u64>,
}

/// Parts that the engines and the stores of KV cache probably hold.
#[derive(Debug, Clone, Default)]
pub struct CacheMap {
    uses: HashMap<PartKey, PartUse>,
    /// Requests that have not responded, by their server and number. Invariant: at most [`MAX_PENDING`].
    pending: HashMap<(ServerKey, u64), PendingRequest>,
}

impl CacheMap {
    /// Records that a server saves the shared parts of a prompt to a store of KV cache.
    pub fn record_stored(
        &mut self,
        now: ClockTime,
        store: StoreId,
        salt: u64,
        shared: &[PromptPart],
    ) {
        self.insert(now, CacheSource::Store(store), salt, shared, CacheConfidence::Confirmed);
    }

    /// Number of tokens at the start of a prompt that a store of KV cache probably holds.
    pub fn stored_tokens(
        &self,
        now: ClockTime,
        store: StoreId,
        salt: u64,
        prompt: &PromptShape,
    ) -> u32 {
        let site = CacheSource::Store(store);
        self.prefix_tokens(now, site, salt, prompt, CacheConfidence::Confirmed)
    }

    /// Drops all entries of a store of KV cache.
    pub fn clear_store(&mut self, store: StoreId) {
        self.uses.retain(|key, _| key.site != CacheSource::Store(store));
    }

    /// Records that a server has cached, or will cache, the shared parts of a prompt.
    pub fn record(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        salt: u64,
        shared: &[PromptPart],
        confidence: CacheConfidence,
    ) {
        self.insert(now, CacheSource::Server(server), salt, shared, confidence);
    }

    /// Records that a request with shared parts was sent to a server, which will cache them.
    pub fn on_sent(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        request: u64,
        salt: u64,
        shared: &[PromptPart],
    ) {
        if shared.is_empty() {
            return;
        }
        if self.pending.len() >= MAX_PENDING {
            self.pending.retain(|_, known| now.since(known.sent_at) < EXPECTED_LIFETIME);
        }
        if self.pending.len() >= MAX_PENDING || self.pending.contains_key(&(server, request)) {
            return;
        }
        self.record(now, server, salt, shared, CacheConfidence::Expected);
        let parts: SmallVec<[u64; 4]> = shared.iter().map(|part| part.id ^ salt).collect();
        for part in &parts {
            let key = PartKey { site: CacheSource::Server(server), part: *part };
            if let Some(known) = self.uses.get_mut(&key) {
                known.pending = known.pending.saturating_add(1);
            }
        }
        self.pending.insert((server, request), PendingRequest { sent_at: now, parts });
    }

    /// Records that a request has ended, with or without a response. Parts that no other request with them
    /// confirms or may confirm are dropped: one that was rejected has left nothing in the cache.
    pub fn on_ended(&mut self, server: ServerKey, request: u64) {
        let Some(ended) = self.pending.remove(&(server, request)) else { return };
        for part in ended.parts {
            let key = PartKey { site: CacheSource::Server(server), part };
            let Some(known) = self.uses.get_mut(&key) else { continue };
            known.pending = known.pending.saturating_sub(1);
            if known.pending == 0 && known.confidence == CacheConfidence::Expected {
                self.uses.remove(&key);
            }
        }
    }

    fn insert(
        &mut self,
        now: ClockTime,
        site: CacheSource,
        salt: u64,
        shared: &[PromptPart],
        confidence: CacheConfidence,
    ) {
        self.make_room();
        for part in shared {
            let key = PartKey { site, part: part.id ^ salt };
            let new = PartUse { used_at: now, confidence, pending: 0 };
            let known = self.uses.entry(key).or_insert(new);
            known.used_at = now;
            known.confidence = known.confidence.max(confidence);
        }
    }

    /// Drops the least recently used entries if there is no room for another one.
    fn make_room(&mut self) {
        if self.uses.len() < MAX_ENTRIES {
            return;
        }
        let mut times: Vec<ClockTime> = self.uses.values().map(|part| part.used_at).collect();
        let dropped = times.len() / DROPPED_PART;
        let (_, oldest_kept, _) = times.select_nth_unstable(dropped);
        let oldest_kept = *oldest_kept;
        let mut excess = dropped;
        self.uses.retain(|_, part| {
            // Of several with the same time, no more than needed are dropped.
            let is_dropped = excess > 0 && part.used_at <= oldest_kept;
            excess -= usize::from(is_dropped);
            !is_dropped
        });
    }

    /// Parts that a server was known to hold, each combined with its salt, for example to drop them after
    /// it started again.
    pub fn confirmed_parts(&self, server: ServerKey) -> Vec<u64> {
        let site = CacheSource::Server(server);
        let known = self.uses.iter().filter(|(key, part)| {
            key.site == site && part.confidence == CacheConfidence::Confirmed
        });
        known.map(|(key, _)| key.part).collect()
    }

    /// Applies cache events of an engine in order. Each has the part's id, XORed with its salt, and
    /// whether the part is cached now.
    pub fn apply_events(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        events: impl Iterator<Item = (u64, bool)>,
    ) -> CacheChanges {
        let mut last: HashMap<u64, bool> = HashMap::new();
        last.extend(events);
        let mut changes = CacheChanges::default();
        for (part, held) in last {
            let key = PartKey { site: CacheSource::Server(server), part };
            let confidence = self.uses.get(&key).map(|known| known.confidence);
            if held && confidence != Some(CacheConfidence::Confirmed) {
                self.make_room();
                let pending = self.uses.get(&key).map_or(0, |known| known.pending);
                let confidence = CacheConfidence::Confirmed;
                self.uses.insert(key, PartUse { used_at: now, confidence, pending });
                changes.added.push(part);
            } else if !held && confidence == Some(CacheConfidence::Confirmed) {
                // Only a confirmed part is dropped. An expected one will be prefilled
                // again by the request in flight.
                self.uses.remove(&key);
                changes.removed.push(part);
            }
        }
        changes
    }

    /// Number of tokens at the start of a prompt that a server probably holds under a salt, with at
    /// least the given confidence.
    pub fn cached_tokens(
        &self,
        now: ClockTime,
        server: ServerKey,
        salt: u64,
        prompt: &PromptShape,
        confidence: CacheConfidence,
    ) -> u32 {
        self.prefix_tokens(now, CacheSource::Server(server), salt, prompt, confidence)
    }

    fn prefix_tokens(
        &self,
        now: ClockTime,
        site: CacheSource,
        salt: u64,
        prompt: &PromptShape,
        confidence: CacheConfidence,
    ) -> u32 {
        let lifetime = |known: &PartUse| match (site, known.confidence) {
            (CacheSource::Store(_), _) => STORE_PART_LIFETIME,
            (CacheSource::Server(_), CacheConfidence::Confirmed) => PART_LIFETIME,
            (CacheSource::Server(_), CacheConfidence::Expected) => EXPECTED_LIFETIME,
        };
        let is_cached = |part: u64| {
            let known = self.uses.get(&PartKey { site, part: part ^ salt });
            known.is_some_and(|known| {
                known.confidence >= confidence && now.since(known.used_at) < lifetime(known)
            })
        };
        let parts = prompt.shared_parts().iter();
        parts.take_while(|part| is_cached(part.id)).map(|part| part.tokens).sum()
    }

    /// Drops all entries of a server, for example after it loaded other weights.
    pub fn remove_server(&mut self, server: ServerKey) {
        self.uses.retain(|key, _| key.site != CacheSource::Server(server));
        self.pending.retain(|(known, _), _| *known != server);
    }
}
