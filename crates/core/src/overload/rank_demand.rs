//! How much work of each rank clients ask of a service.

use std::time::Duration;

use super::RequestRank;
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
    rank: RequestRank,
    /// Server time in ms, decayed.
    work: f64,
    /// Average time that the requests may wait.
    room: Duration,
}

/// Recent work by rank.
#[derive(Debug, Clone, Default)]
pub(super) struct RankDemand {
    /// Invariant: in ascending order of the rank, at most [`MAX_RANKS`].
    ranks: Vec<RankWork>,
    updated_at: ClockTime,
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
        self.ranks.iter_mut().for_each(|known| known.work *= decay);
        let work = server_ms.clamp(0.0, 1e6);
        match self.ranks.binary_search_by_key(&rank, |known| known.rank) {
            Ok(index) => {
                let known = &mut self.ranks[index];
                known.work += work;
                known.room = known.room.mul_f64(1.0 - ROOM_WEIGHT) + room.mul_f64(ROOM_WEIGHT);
            }
            Err(index) => {
                self.ranks.insert(index, RankWork { rank, work, room });
                self.drop_smallest();
            }
        }
    }

    /// Returns the place of a request among all work: 0 is the most urgent, 1 the least. `within` is
    /// its place among requests of its rank, from 0 to 1.
    ///
    /// Half of the place follows the work of more urgent ranks and half their number, since a small
    /// urgent rank needs as much distance to the next one as a large one.
    pub(super) fn position(&self, rank: RequestRank, within: f64) -> f64 {
        let total: f64 = self.ranks.iter().map(|known| known.work).sum();
        if total <= 0.0 {
            return 0.0;
        }
        let is_step = |known: &&RankWork| known.work >= total * MIN_STEP_SHARE;
        let steps = self.ranks.iter().filter(is_step).count().saturating_sub(1).max(1) as f64;
        let place = |ranks: &[RankWork]| {
            let work: f64 = ranks.iter().map(|known| known.work).sum();
            let count = ranks.iter().filter(is_step).count() as f64;
            (work / total + (count / steps).min(1.0)) / 2.0
        };
        let start = place(&self.ranks[..self.ranks.partition_point(|known| known.rank < rank)]);
        let end = place(&self.ranks[..self.ranks.partition_point(|known| known.rank <= rank)]);
        (start + (end - start) * within).clamp(0.0, 1.0)
    }

    /// Returns the smallest room of the ranks that are more urgent than `rank`, or else `room`.
    ///
    /// A queue within the room of long, less urgent requests may already be too long for short,
    /// urgent ones with a shorter target.
    pub(super) fn tightest_room(&self, rank: RequestRank, room: Duration) -> Duration {
        let total: f64 = self.ranks.iter().map(|known| known.work).sum();
        let urgent = self.ranks.iter().take_while(|known| known.rank < rank);
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
