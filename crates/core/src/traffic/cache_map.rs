//! Which server's memory is believed to hold which shared part of prompts.
//!
//! Belief comes from requests and from the engines' events. Some events are lost, so belief also
//! ages with the time that a part lives in memory without use. A wrong belief costs a
//! recomputation; servers check their own memory.

use std::{collections::HashMap, time::Duration};

use super::{PromptPart, PromptShape};
use crate::{clock::ClockTime, ids::ServerKey};

/// Time without use after which a part is taken as evicted.
const PART_LIFETIME: Duration = Duration::from_secs(20);
/// The same in the store of KV cache, which is larger and drops nothing for new weights.
const STORED_LIFETIME: Duration = Duration::from_secs(60);
/// Most beliefs that are kept. When full, those older than half their lifetime are dropped.
const MAX_BELIEFS: usize = 65_536;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PartKey {
    /// The engine; `None` for the store of KV cache.
    server: Option<ServerKey>,
    /// Identity of the part under its salt.
    part: u64,
}

/// How sure a belief is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CacheBelief {
    /// A request that reads the part was sent there.
    Expected,
    /// A request that reads the part has begun there.
    Confirmed,
}

#[derive(Debug, Clone, Copy)]
struct PartUse {
    used_at: ClockTime,
    belief: CacheBelief,
}

/// What events changed about the beliefs of an engine, as parts under their salts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheNews {
    /// Parts that were not known to be held.
    pub held: Vec<u64>,
    /// Parts that were believed to be held.
    pub dropped: Vec<u64>,
}

/// Beliefs about cached parts.
#[derive(Debug, Clone, Default)]
pub struct CacheMap {
    uses: HashMap<PartKey, PartUse>,
}

impl CacheMap {
    /// Notes that the store of KV cache gets the shared parts of a prompt.
    pub fn note_stored(&mut self, now: ClockTime, salt: u64, shared: &[PromptPart]) {
        self.insert(now, None, salt, shared, CacheBelief::Confirmed);
    }

    /// Tokens at the start of a prompt that the store of KV cache is believed to hold.
    pub fn stored_tokens(&self, now: ClockTime, salt: u64, prompt: &PromptShape) -> u32 {
        self.tokens(now, None, salt, prompt, CacheBelief::Confirmed)
    }

    /// Forgets what the store of KV cache held.
    pub fn forget_store(&mut self) {
        self.uses.retain(|key, _| key.server.is_some());
    }

    /// Notes that a server reads, or has read, the shared parts of a prompt under a salt.
    pub fn note(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        salt: u64,
        shared: &[PromptPart],
        belief: CacheBelief,
    ) {
        self.insert(now, Some(server), salt, shared, belief);
    }

    fn insert(
        &mut self,
        now: ClockTime,
        server: Option<ServerKey>,
        salt: u64,
        shared: &[PromptPart],
        belief: CacheBelief,
    ) {
        if self.uses.len() >= MAX_BELIEFS {
            self.uses.retain(|_, part| now.since(part.used_at) < PART_LIFETIME / 2);
        }
        if self.uses.len() >= MAX_BELIEFS {
            return;
        }
        for part in shared {
            let key = PartKey { server, part: part.id ^ salt };
            let known = self.uses.entry(key).or_insert(PartUse { used_at: now, belief });
            known.used_at = now;
            known.belief = known.belief.max(belief);
        }
    }

    /// Takes events of an engine in order, each a part under its salt and whether it is held now.
    pub fn take_events(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        events: impl Iterator<Item = (u64, bool)>,
    ) -> CacheNews {
        let mut last: HashMap<u64, bool> = HashMap::new();
        last.extend(events);
        let mut news = CacheNews::default();
        for (part, held) in last {
            let key = PartKey { server: Some(server), part };
            let belief = self.uses.get(&key).map(|known| known.belief);
            if held && belief != Some(CacheBelief::Confirmed) {
                self.uses.insert(key, PartUse { used_at: now, belief: CacheBelief::Confirmed });
                news.held.push(part);
            } else if !held && belief == Some(CacheBelief::Confirmed) {
                // A request that is on its way will read the part again.
                self.uses.remove(&key);
                news.dropped.push(part);
            }
        }
        news
    }

    /// Tokens at the start of a prompt that a server is believed to hold under a salt, at least
    /// as surely as `belief`.
    pub fn held_tokens(
        &self,
        now: ClockTime,
        server: ServerKey,
        salt: u64,
        prompt: &PromptShape,
        belief: CacheBelief,
    ) -> u32 {
        self.tokens(now, Some(server), salt, prompt, belief)
    }

    fn tokens(
        &self,
        now: ClockTime,
        server: Option<ServerKey>,
        salt: u64,
        prompt: &PromptShape,
        belief: CacheBelief,
    ) -> u32 {
        let lifetime = if server.is_some() { PART_LIFETIME } else { STORED_LIFETIME };
        let held = |part: u64| {
            let known = self.uses.get(&PartKey { server, part: part ^ salt });
            known.is_some_and(|known| known.belief >= belief && now.since(known.used_at) < lifetime)
        };
        let parts = prompt.shared().iter();
        parts.take_while(|part| held(part.id)).map(|part| part.tokens).sum()
    }

    /// Forgets what a server held, such as after it loaded other weights.
    pub fn forget(&mut self, server: ServerKey) {
        self.uses.retain(|key, _| key.server != Some(server));
    }
}
