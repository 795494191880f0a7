//! The bounded set of servers that a decision compares.

use serde::{Deserialize, Serialize, Serializer};

use super::CostParts;
use crate::ids::ServerKey;

/// Servers compared by one decision: six homes and six holders of the prefix, two random
/// alternatives, and room for one more when none of them has a free slot.
pub const MAX_CANDIDATES: usize = 16;

/// How a server became a candidate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CandidateSource {
    /// The index knows that it holds a part of the prefix.
    Holder,
    /// Rendezvous hashing of the prefix chose it.
    Home,
    /// A random alternative.
    Random,
}

/// One server that was compared.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct CandidateCost {
    /// The server.
    pub server: ServerKey,
    /// How it became a candidate.
    pub source: CandidateSource,
    /// Whether it may be chosen under its slot limits and probe schedule.
    pub eligible: bool,
    /// Rank among the homes of the prefix; the number of homes for any other server.
    pub home_rank: u8,
    /// Leading pieces that it is believed to hold.
    pub hit_pieces: u16,
    /// Those of `hit_pieces` whose records are uncertain.
    pub uncertain_pieces: u16,
    /// Pieces after the hit that the KV cache store should send.
    pub transfer_pieces: u16,
    /// Expected time to the first token, by part.
    pub cost: CostParts,
}

/// A list of candidates without allocation.
#[derive(Debug, Clone, Copy, Default)]
pub struct CandidateList {
    /// Invariant: the first `len` items are present, all others absent.
    items: [Option<CandidateCost>; MAX_CANDIDATES],
    len: u8,
}

impl CandidateList {
    /// The candidates in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &CandidateCost> {
        self.items[..self.len as usize].iter().flatten()
    }

    /// Number of candidates.
    pub fn len(&self) -> usize {
        self.len as usize
    }

    /// Whether there is no candidate.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether `server` is in the list.
    pub fn contains(&self, server: ServerKey) -> bool {
        self.iter().any(|candidate| candidate.server == server)
    }

    /// Adds a candidate. A full list ignores it.
    pub fn push(&mut self, candidate: CandidateCost) {
        if let Some(item) = self.items.get_mut(self.len as usize) {
            *item = Some(candidate);
            self.len += 1;
        }
    }

    /// Adds a candidate, in place of the last one if the list is full.
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
