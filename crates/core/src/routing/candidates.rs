//! The bounded list of servers that a decision compares.

use serde::{Deserialize, Serialize, Serializer};

use super::CostParts;
use crate::ids::ServerKey;

/// Maximum number of servers compared by one decision: six homes, six holders of the prefix, two
/// random servers, and one more when none of those has a free slot.
pub const MAX_CANDIDATES: usize = 16;

/// How a server became a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CandidateSource {
    /// The block index lists it as a holder of a part of the prefix.
    Holder,
    /// Rendezvous hashing of the prefix selected it.
    Home,
    /// It was selected at random, or because no other candidate had a free slot.
    Random,
}

/// A server that was compared, with its expected cost.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub struct CandidateCost {
    /// The compared server.
    pub server: ServerKey,
    /// How the server became a candidate.
    pub source: CandidateSource,
    /// Whether the server may be chosen under its slot limits and probe schedule.
    pub eligible: bool,
    /// Rank among the homes of the prefix, from zero. The number of homes for a server that is not
    /// a home.
    pub home_rank: u8,
    /// Number of leading pieces that the server is believed to hold.
    pub hit_pieces: u16,
    /// Number of pieces in `hit_pieces` whose records are uncertain.
    pub uncertain_pieces: u16,
    /// Number of pieces after the hit that the KV cache store should send to the server.
    pub transfer_pieces: u16,
    /// Expected cost by component.
    pub cost: CostParts,
}

/// A fixed-capacity list of candidates, which needs no allocation.
#[derive(Debug, Clone, Copy, Default)]
pub struct CandidateList {
    /// Invariant: the first `len` items are present, all others absent.
    items: [Option<CandidateCost>; MAX_CANDIDATES],
    len: u8,
}

impl CandidateList {
    /// Iterates over the candidates in the order in which they were added.
    pub fn iter(&self) -> impl Iterator<Item = &CandidateCost> {
        self.items[..self.len as usize].iter().flatten()
    }

    /// Returns the number of candidates.
    pub fn len(&self) -> usize {
        self.len as usize
    }

    /// Returns whether there is no candidate.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns whether `server` is a candidate.
    pub fn contains(&self, server: ServerKey) -> bool {
        self.iter().any(|candidate| candidate.server == server)
    }

    /// Adds a candidate, or drops it if the list is full.
    pub fn push(&mut self, candidate: CandidateCost) {
        if let Some(item) = self.items.get_mut(self.len as usize) {
            *item = Some(candidate);
            self.len += 1;
        }
    }

    /// Adds a candidate. If the list is full, it replaces the last one.
    pub(super) fn push_replacing_last(&mut self, candidate: CandidateCost) {
        self.len = self.len.min(MAX_CANDIDATES as u8 - 1);
        self.push(candidate);
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut CandidateCost> {
        self.items[..self.len as usize].iter_mut().flatten()
    }
}

impl Serialize for CandidateList {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.iter())
    }
}
