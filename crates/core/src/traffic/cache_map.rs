//! Which server's memory is believed to hold which shared part of prompts.
//!
//! Belief comes from this node's own requests and ages with the time that a part lives in memory
//! without use. A wrong belief costs a recomputation; servers check their own memory.

use std::{collections::HashMap, time::Duration};

use super::PromptShape;
use crate::{clock::ClockTime, ids::ServerKey};

/// Time without use after which a part is taken as evicted.
const PART_LIFETIME: Duration = Duration::from_secs(20);
/// Most beliefs that are kept. When full, those older than half their lifetime are dropped.
const MAX_BELIEFS: usize = 16_384;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PartKey {
    server: ServerKey,
    /// Identity of the part under its salt.
    part: u64,
}

/// Beliefs about cached parts.
#[derive(Debug, Clone, Default)]
pub struct CacheMap {
    used_at: HashMap<PartKey, ClockTime>,
}

impl CacheMap {
    /// Notes that a server has read the shared parts of a prompt under a salt.
    pub fn note(&mut self, now: ClockTime, server: ServerKey, salt: u64, prompt: &PromptShape) {
        if self.used_at.len() >= MAX_BELIEFS {
            self.used_at.retain(|_, at| now.since(*at) < PART_LIFETIME / 2);
        }
        if self.used_at.len() >= MAX_BELIEFS {
            return;
        }
        for part in prompt.shared() {
            self.used_at.insert(PartKey { server, part: part.id ^ salt }, now);
        }
    }

    /// Tokens at the start of a prompt that a server is believed to hold under a salt.
    pub fn held_tokens(
        &self,
        now: ClockTime,
        server: ServerKey,
        salt: u64,
        prompt: &PromptShape,
    ) -> u32 {
        let held = |part: u64| {
            let used_at = self.used_at.get(&PartKey { server, part: part ^ salt });
            used_at.is_some_and(|at| now.since(*at) < PART_LIFETIME)
        };
        let parts = prompt.shared().iter();
        parts.take_while(|part| held(part.id)).map(|part| part.tokens).sum()
    }

    /// Forgets what a server held, such as after it loaded other weights.
    pub fn forget(&mut self, server: ServerKey) {
        self.used_at.retain(|key, _| key.server != server);
    }
}
