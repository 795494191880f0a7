//! Estimates which server holds which shared parts of prompts in its KV cache.
//!
//! Entries come from requests and from the cache events of the engines. Some events are lost, so
//! entries also expire after the time that an unused part usually stays in a cache. A wrong entry
//! only costs a recomputation, because servers check their own cache.

use std::{collections::HashMap, time::Duration};

use super::{CacheSource, PromptPart, PromptShape, StoreId};
use crate::{clock::ClockTime, ids::ServerKey};

/// Time without use after which a part counts as evicted from an engine.
const PART_LIFETIME: Duration = Duration::from_secs(20);
/// Like [`PART_LIFETIME`], in a store of KV cache. It is larger, and new weights evict nothing.
const STORE_PART_LIFETIME: Duration = Duration::from_secs(60);
/// Maximum number of entries. When full, those unused for half of [`PART_LIFETIME`] are dropped.
const MAX_ENTRIES: usize = 65_536;

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

    fn insert(
        &mut self,
        now: ClockTime,
        site: CacheSource,
        salt: u64,
        shared: &[PromptPart],
        confidence: CacheConfidence,
    ) {
        if self.uses.len() >= MAX_ENTRIES {
            self.uses.retain(|_, part| now.since(part.used_at) < PART_LIFETIME / 2);
        }
        if self.uses.len() >= MAX_ENTRIES {
            return;
        }
        for part in shared {
            let key = PartKey { site, part: part.id ^ salt };
            let known = self.uses.entry(key).or_insert(PartUse { used_at: now, confidence });
            known.used_at = now;
            known.confidence = known.confidence.max(confidence);
        }
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
                self.uses
                    .insert(key, PartUse { used_at: now, confidence: CacheConfidence::Confirmed });
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
        let lifetime = match site {
            CacheSource::Server(_) => PART_LIFETIME,
            CacheSource::Store(_) => STORE_PART_LIFETIME,
        };
        let is_cached = |part: u64| {
            let known = self.uses.get(&PartKey { site, part: part ^ salt });
            known.is_some_and(|known| {
                known.confidence >= confidence && now.since(known.used_at) < lifetime
            })
        };
        let parts = prompt.shared_parts().iter();
        parts.take_while(|part| is_cached(part.id)).map(|part| part.tokens).sum()
    }

    /// Drops all entries of a server, for example after it loaded other weights.
    pub fn remove_server(&mut self, server: ServerKey) {
        self.uses.retain(|key, _| key.site != CacheSource::Server(server));
    }
}
