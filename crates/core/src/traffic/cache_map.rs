//! Which server's memory is believed to hold which shared part of prompts.
//!
//! Belief comes from requests and from the engines' events. Some events are lost, so confidence also
//! ages with the time that a part lives in memory without use. A wrong confidence costs a
//! recomputation; servers check their own memory.

use std::{collections::HashMap, time::Duration};

use super::{PromptPart, PromptShape};
use crate::{clock::ClockTime, ids::ServerKey};

/// Time without use after which a part is taken as evicted.
const PART_LIFETIME: Duration = Duration::from_secs(20);
/// The same in the store of KV cache, which is larger and drops nothing for new weights.
const STORE_PART_LIFETIME: Duration = Duration::from_secs(60);
/// Most beliefs that are kept. When full, those older than half their lifetime are dropped.
const MAX_ENTRIES: usize = 65_536;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PartKey {
    /// The engine; `None` for the store of KV cache.
    server: Option<ServerKey>,
    /// Identity of the part under its salt.
    part: u64,
}

/// How sure a confidence is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheConfidence {
    /// A request that reads the part was sent there.
    Expected,
    /// A request that reads the part has begun there.
    Confirmed,
}

#[derive(Debug, Clone, Copy)]
struct PartUse {
    used_at: ClockTime,
    confidence: CacheConfidence,
}

/// What events changed about the beliefs of an engine, as parts under their salts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheChanges {
    /// Parts that were not known to be held.
    pub added: Vec<u64>,
    /// Parts that were believed to be held.
    pub removed: Vec<u64>,
}

/// Beliefs about cached parts.
#[derive(Debug, Clone, Default)]
pub struct CacheMap {
    uses: HashMap<PartKey, PartUse>,
}

impl CacheMap {
    /// Notes that the store of KV cache gets the shared parts of a prompt.
    pub fn record_stored(&mut self, now: ClockTime, salt: u64, shared: &[PromptPart]) {
        self.insert(now, None, salt, shared, CacheConfidence::Confirmed);
    }

    /// Tokens at the start of a prompt that the store of KV cache is believed to hold.
    pub fn stored_tokens(&self, now: ClockTime, salt: u64, prompt: &PromptShape) -> u32 {
        self.prefix_tokens(now, None, salt, prompt, CacheConfidence::Confirmed)
    }

    /// Forgets what the store of KV cache held.
    pub fn clear_store(&mut self) {
        self.uses.retain(|key, _| key.server.is_some());
    }

    /// Notes that a server reads, or has read, the shared parts of a prompt under a salt.
    pub fn record(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        salt: u64,
        shared: &[PromptPart],
        confidence: CacheConfidence,
    ) {
        self.insert(now, Some(server), salt, shared, confidence);
    }

    fn insert(
        &mut self,
        now: ClockTime,
        server: Option<ServerKey>,
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
            let key = PartKey { server, part: part.id ^ salt };
            let known = self.uses.entry(key).or_insert(PartUse { used_at: now, confidence });
            known.used_at = now;
            known.confidence = known.confidence.max(confidence);
        }
    }

    /// Takes events of an engine in order, each a part under its salt and whether it is held now.
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
            let key = PartKey { server: Some(server), part };
            let confidence = self.uses.get(&key).map(|known| known.confidence);
            if held && confidence != Some(CacheConfidence::Confirmed) {
                self.uses
                    .insert(key, PartUse { used_at: now, confidence: CacheConfidence::Confirmed });
                changes.added.push(part);
            } else if !held && confidence == Some(CacheConfidence::Confirmed) {
                // A request that is on its way will read the part again.
                self.uses.remove(&key);
                changes.removed.push(part);
            }
        }
        changes
    }

    /// Tokens at the start of a prompt that a server is believed to hold under a salt, at least
    /// as surely as `confidence`.
    pub fn cached_tokens(
        &self,
        now: ClockTime,
        server: ServerKey,
        salt: u64,
        prompt: &PromptShape,
        confidence: CacheConfidence,
    ) -> u32 {
        self.prefix_tokens(now, Some(server), salt, prompt, confidence)
    }

    fn prefix_tokens(
        &self,
        now: ClockTime,
        server: Option<ServerKey>,
        salt: u64,
        prompt: &PromptShape,
        confidence: CacheConfidence,
    ) -> u32 {
        let lifetime = if server.is_some() { PART_LIFETIME } else { STORE_PART_LIFETIME };
        let held = |part: u64| {
            let known = self.uses.get(&PartKey { server, part: part ^ salt });
            known.is_some_and(|known| {
                known.confidence >= confidence && now.since(known.used_at) < lifetime
            })
        };
        let parts = prompt.shared_parts().iter();
        parts.take_while(|part| held(part.id)).map(|part| part.tokens).sum()
    }

    /// Forgets what a server held, such as after it loaded other weights.
    pub fn remove_server(&mut self, server: ServerKey) {
        self.uses.retain(|key, _| key.server != Some(server));
    }
}
