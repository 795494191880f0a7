//! KV memory that requests hold at a server.
//!
//! Load pattern: long prompts that fill the memory of a server before its slots. A server preempts or
//! rejects what does not fit, and ends if the requests that it holds exceed its memory.
//!
//! A node knows its own requests exactly, and never lets them exceed the memory. Of the others' it
//! knows what they have told; those that a load report does not count any more have ended. Requests
//! that share a prefix count it each, since the server may hold it for each of them.

use std::{collections::HashMap, time::Duration};

use crate::clock::ClockTime;

/// A request of this node counts for this long after its end, since the server learns of a closed
/// connection later.
const RELEASE_DELAY: Duration = Duration::from_millis(200);
/// A request of another node counts as ended after this time.
const MAX_PEER_TIME: Duration = Duration::from_secs(4);
/// Maximum number of known requests of other nodes.
const MAX_PEER_REQUESTS: usize = 256;

#[derive(Debug, Clone, Copy)]
struct HeldTokens {
    request: u64,
    tokens: u64,
    at: ClockTime,
}

/// Tokens that requests hold at one server.
#[derive(Debug, Clone, Default)]
pub struct KvMemory {
    /// Requests of this node that have not ended, by number.
    own: HashMap<u64, u64>,
    /// Requests of this node that have ended, and when.
    released: Vec<HeldTokens>,
    /// Requests of other nodes, in the order in which this node heard of them.
    peers: Vec<HeldTokens>,
}

impl KvMemory {
    /// Adds a request that this node sends.
    pub fn add_own(&mut self, request: u64, tokens: u64) {
        self.own.insert(request, tokens);
    }

    /// Records that a request of this node has ended.
    pub fn release_own(&mut self, now: ClockTime, request: u64) {
        self.released.retain(|held| now.since(held.at) < RELEASE_DELAY);
        if let Some(tokens) = self.own.remove(&request) {
            self.released.push(HeldTokens { request, tokens, at: now });
        }
    }

    /// Adds a request that another node has sent.
    pub fn add_peer(&mut self, now: ClockTime, request: u64, tokens: u64) {
        if self.own.contains_key(&request) {
            return;
        }
        self.peers.retain(|held| now.since(held.at) < MAX_PEER_TIME && held.request != request);
        if self.peers.len() < MAX_PEER_REQUESTS {
            self.peers.push(HeldTokens { request, tokens, at: now });
        }
    }

    /// Records that a request of another node has ended before its response began.
    pub fn remove_peer(&mut self, request: u64) {
        self.peers.retain(|held| held.request != request);
    }

    /// Tokens that requests of this node hold.
    pub fn own_tokens(&self, now: ClockTime) -> u64 {
        let released = self.released.iter().filter(|held| now.since(held.at) < RELEASE_DELAY);
        self.own.values().sum::<u64>() + released.map(|held| held.tokens).sum::<u64>()
    }

    /// Tokens that requests of all nodes hold, as far as known, at a server where `busy` requests run
    /// or wait.
    pub fn held_tokens(&self, now: ClockTime, busy: u32) -> u64 {
        let others = (busy as usize).saturating_sub(self.own.len());
        let known = self.peers.iter().rev().filter(|held| now.since(held.at) < MAX_PEER_TIME);
        self.own_tokens(now) + known.take(others).map(|held| held.tokens).sum::<u64>()
    }
}
