//! How much work of each rank clients ask of a service.

use std::time::Duration;

use super::{RankReport, RequestRank};
use crate::clock::ClockTime;

/// Time constant with which earlier work is forgotten, in seconds. It spans the gaps between the
/// requests of a rank at a node that gets a few requests a second.
const TIME_CONSTANT_S: f64 = 4.0;
/// Maximum number of ranks that are told apart. The one with the least work is dropped.
const MAX_RANKS: usize = 32;
/// Ranks with a smaller share of the work are no step of their own.
const MIN_STEP_SHARE: f64 = 0.01;

/// Weight of the newest request in the average of the room of a rank.
const ROOM_WEIGHT: f64 = 0.1;

#[derive(Debug, Clone, Copy)]
struct RankWork {
    rank: u16,
    /// Server time in ms, decayed, or its share as told by other nodes.
    work: f64,
    /// Requests, and how many of them were refused, both decayed.
    asked: f64,
    refused: f64,
    /// Average time that the requests may wait.
    room: Duration,
}

impl RankWork {
    fn refused_share(&self) -> f64 {
        // Few requests say little.
        self.refused / (self.asked + 1.0)
    }
}

/// Recent work by rank.
#[derive(Debug, Clone, Default)]
pub(super) struct RankDemand {
    /// What this node saw. Invariant: in ascending order of the rank, at most [`MAX_RANKS`].
    ranks: Vec<RankWork>,
    updated_at: ClockTime,
    /// What other nodes told, in ascending order of the rank; empty without news.
    told: Vec<RankWork>,
}

impl RankDemand {
    /// Adds a request that may wait for `room`.
    pub(super) fn record(
        &mut self,
        now: ClockTime,
        rank: RequestRank,
        server_ms: f64,
        room: Duration,
    ) {
        let decay = (-now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT_S).exp();
        self.updated_at = now;
        for known in &mut self.ranks {
            known.work *= decay;
            known.asked *= decay;
            known.refused *= decay;
        }
        let (rank, work) = (rank.number(), server_ms.clamp(0.0, 1e6));
        match self.ranks.binary_search_by_key(&rank, |known| known.rank) {
            Ok(index) => {
                let known = &mut self.ranks[index];
                known.work += work;
                known.asked += 1.0;
                known.room = known.room.mul_f64(1.0 - ROOM_WEIGHT) + room.mul_f64(ROOM_WEIGHT);
            }
            Err(index) => {
                self.ranks.insert(index, RankWork { rank, work, asked: 1.0, refused: 0.0, room });
                self.drop_smallest();
            }
        }
    }

    /// Records that a request was refused.
    pub(super) fn on_refused(&mut self, rank: RequestRank) {
        if let Some(known) = self.ranks.iter_mut().find(|known| known.rank == rank.number()) {
            known.refused += 1.0;
        }
    }

    /// Replaces what other nodes told.
    pub(super) fn set_told(&mut self, told: &[RankReport]) {
        let known = |told: &RankReport| RankWork {
            rank: told.rank,
            work: f64::from(told.work),
            asked: 1_000.0,
            refused: f64::from(told.refused),
            room: Duration::ZERO,
        };
        self.told = told.iter().map(known).collect();
    }

    /// Returns the ranks with the most work, for other nodes.
    pub(super) fn report(&self, max_ranks: usize) -> Vec<RankReport> {
        let total: f64 = self.ranks.iter().map(|known| known.work).sum();
        let mut ranks = self.ranks.clone();
        ranks.sort_unstable_by(|one, other| other.work.total_cmp(&one.work));
        let report = |known: &RankWork| RankReport {
            rank: known.rank,
            work: (known.work / total.max(1.0) * 1_000.0) as u16,
            refused: (known.refused_share() * 1_000.0) as u16,
        };
        ranks.iter().take(max_ranks).map(report).collect()
    }

    /// Returns the place of a request among all work: 0 is the most urgent, 1 the least. `within` is
    /// its place among requests of its rank, from 0 to 1.
    pub(super) fn position(&self, rank: RequestRank, within: f64) -> f64 {
        let own = position(&self.ranks, rank.number(), within);
        if self.told.is_empty() {
            return own;
        }
        (own + position(&self.told, rank.number(), within)) / 2.0
    }

    /// Returns the largest share of refused requests among ranks that are more urgent than `rank`.
    pub(super) fn refused_before(&self, rank: RequestRank) -> f64 {
        let before = |ranks: &[RankWork]| {
            let total: f64 = ranks.iter().map(|known| known.work).sum();
            let urgent = ranks.iter().take_while(|known| known.rank < rank.number());
            let urgent = urgent.filter(|known| known.work >= total * MIN_STEP_SHARE);
            urgent.map(RankWork::refused_share).fold(0.0, f64::max)
        };
        let own = before(&self.ranks);
        if self.told.is_empty() { own } else { (own + before(&self.told)) / 2.0 }
    }

    /// Returns the smallest room of the ranks that are more urgent than `rank`, or else `room`.
    ///
    /// A queue within the room of long, less urgent requests may already be too long for short,
    /// urgent ones with a shorter target.
    pub(super) fn tightest_room(&self, rank: RequestRank, room: Duration) -> Duration {
        let total: f64 = self.ranks.iter().map(|known| known.work).sum();
        let urgent = self.ranks.iter().take_while(|known| known.rank < rank.number());
        let urgent = urgent.filter(|known| known.work >= total * MIN_STEP_SHARE);
        urgent.map(|known| known.room).min().map_or(room, |tightest| tightest.min(room))
    }

    fn drop_smallest(&mut self) {
        if self.ranks.len() <= MAX_RANKS {
            return;
        }
        let by_work = |one: &(usize, &RankWork), other: &(usize, &RankWork)| {
            one.1.work.total_cmp(&other.1.work)
        };
        if let Some((index, _)) = self.ranks.iter().enumerate().min_by(by_work) {
            self.ranks.remove(index);
        }
    }
}

/// Place of a request among the work of `ranks`.
///
/// Half of it follows the work of more urgent ranks and half their number, since a small urgent rank
/// needs as much distance to the next one as a large one.
fn position(ranks: &[RankWork], rank: u16, within: f64) -> f64 {
    let total: f64 = ranks.iter().map(|known| known.work).sum();
    if total <= 0.0 {
        return 0.0;
    }
    let is_step = |known: &&RankWork| known.work >= total * MIN_STEP_SHARE;
    let steps = ranks.iter().filter(is_step).count().saturating_sub(1).max(1) as f64;
    let place = |ranks: &[RankWork]| {
        let work: f64 = ranks.iter().map(|known| known.work).sum();
        let count = ranks.iter().filter(is_step).count() as f64;
        (work / total + (count / steps).min(1.0)) / 2.0
    };
    let start = place(&ranks[..ranks.partition_point(|known| known.rank < rank)]);
    let end = place(&ranks[..ranks.partition_point(|known| known.rank <= rank)]);
    (start + (end - start) * within).clamp(0.0, 1.0)
}
