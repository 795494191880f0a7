//! Finds the prompt parts that crash servers.
//!
//! Every part of a run is a suspect when its server ends, although at most one has caused it. Only
//! whole responses from servers of the same build clear a part, and exactly the parts that they ran
//! with; one is not enough, as a part may crash some servers, or in some runs. Of the parts that are
//! left, the one with the most crashes explains them: crashes at which it was present count against no
//! other part. Parts that cannot be told apart yet are blamed together. A request with all of them
//! is rejected. A request with some of them tells them apart, so it may run, one at a time.
//!
//! Servers can end for other reasons, several at once. Few crashes therefore blame a part only if a
//! server has ended under a run that began when an earlier crash of the part was known.

use std::{collections::BTreeSet, time::Duration};

use smallvec::SmallVec;

use super::{CrashEntry, CrashRecord, SuspectFingerprint};
use crate::clock::ClockTime;

/// Number of crashes from which on a part may be blamed.
pub const MIN_BLAMED_CRASHES: usize = 3;
/// Number of rounds of crashes from which on so few crashes blame a part.
const MIN_BLAMED_ROUNDS: u8 = 2;
/// Number of crashes from which on a part may be blamed although they are all of one round.
const MIN_SINGLE_ROUND_CRASHES: usize = 5;
/// A part that was present at most crashes of the blamed one, but for those of this many rounds, is
/// not told apart from it, since servers may have ended together for another reason.
const MAX_INDISTINCT_ROUNDS: usize = 1;

/// A part is told apart from the blamed one if this many times as many runs with it completed after each
/// common crash, and this many more.
const DISTINCT_RUN_RATIO: u32 = 2;
const DISTINCT_RUNS: u32 = 2;

/// Number of runs that completed after the first crash from which on it is doubted that a part causes
/// them.
const MIN_DOUBT_RUNS: u32 = 4;

/// How long a part is rejected after it is blamed. Shorter than the quarantine of a request, since
/// more requests are rejected if the part is blamed wrongly.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(30);
/// Factor by which the quarantine grows with each further round.
const QUARANTINE_GROWTH: u32 = 4;
/// Round after which the quarantine grows, and number of times that it does.
const FIRST_GROWTH_ROUND: u8 = 2;
const MAX_GROWTH_ROUNDS: u8 = 4;

/// Parts of which one crashes servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlamedGroup {
    /// The parts. Invariant: not empty.
    pub parts: SmallVec<[SuspectFingerprint; 2]>,
    /// Number of servers that ended under the part with the most crashes.
    pub crashes: usize,
    /// Highest round of these crashes.
    pub round: u8,
    /// Whether so many runs with the part completed, some of them after each of its crashes, that it may
    /// have been there by chance.
    pub is_doubtful: bool,
    /// When the crashes of a part in the group changed last.
    pub changed_at: ClockTime,
}

impl BlamedGroup {
    /// How long after the last change a request with all parts of the group is rejected.
    pub fn quarantine(&self) -> Duration {
        part_quarantine(self.round)
    }
}

/// How long a part is rejected for crashes up to this round.
pub fn part_quarantine(round: u8) -> Duration {
    let further = round.saturating_sub(FIRST_GROWTH_ROUND).min(MAX_GROWTH_ROUNDS);
    QUARANTINE_PERIOD * QUARANTINE_GROWTH.pow(further.into())
}

/// Part with so many crashes that it may be among those that are blamed.
#[derive(Debug, Clone)]
pub(super) struct BlameCandidate<I> {
    pub part: SuspectFingerprint,
    /// Crashes of the part that no blamed part explains.
    pub crashes: SmallVec<[CrashEntry<I>; 8]>,
    /// Whether the crashes blame the part, rather than others that are not told apart from it.
    pub is_blamed: bool,
    pub changed_at: ClockTime,
}

impl<I: Copy + Eq> BlameCandidate<I> {
    /// Creates a candidate from the record of a part; `None` if it has too few crashes.
    pub fn new(
        part: SuspectFingerprint,
        record: &CrashRecord<I>,
        changed_at: ClockTime,
    ) -> Option<BlameCandidate<I>> {
        let crashes: SmallVec<_> = record.crashes().copied().collect();
        let is_repeated = record.round() >= MIN_BLAMED_ROUNDS;
        let is_blamed = is_repeated || crashes.len() >= MIN_SINGLE_ROUND_CRASHES;
        let is_candidate = crashes.len() >= MIN_BLAMED_CRASHES;
        is_candidate.then_some(BlameCandidate { part, crashes, is_blamed, changed_at })
    }

    /// Whether so many more runs with this part completed after the crashes of both that the other one
    /// explains them better.
    fn completes_more_often(&self, blamed: &BlameCandidate<I>) -> bool {
        let (mut own_runs, mut blamed_runs, mut common) = (0, 0, 0);
        for crash in &blamed.crashes {
            let Some(own) = self.crashes.iter().find(|own| own.server == crash.server) else {
                continue;
            };
            own_runs += own.completed.count();
            blamed_runs += crash.completed.count();
            common += 1;
        }
        own_runs >= DISTINCT_RUN_RATIO * blamed_runs + DISTINCT_RUNS * common
    }

    /// Whether so many runs completed, some of them after each crash and at servers of the same build, that
    /// the part may have been there by chance.
    fn is_doubtful(&self) -> bool {
        let counts = self.crashes.iter().map(|crash| crash.completed.same_build_count());
        counts.clone().min().unwrap_or(0) > 0 && counts.max().unwrap_or(0) >= MIN_DOUBT_RUNS
    }

    /// How much speaks for the part as the cause: its crashes, less the runs that completed since the
    /// first of them.
    fn weight(&self) -> i64 {
        let completed = self.crashes.iter().map(|crash| crash.completed.count()).max();
        self.crashes.len() as i64 - i64::from(completed.unwrap_or(0))
    }

    /// Whether the crashes do not tell this part apart from the blamed one.
    fn is_indistinct(&self, blamed: &BlameCandidate<I>) -> bool {
        let has = |crash: &CrashEntry<I>| self.crashes.iter().any(|own| own.server == crash.server);
        let common = blamed.crashes.iter().filter(|crash| has(crash)).count();
        let others: Vec<_> = blamed.crashes.iter().filter(|crash| !has(crash)).collect();
        let other_rounds: BTreeSet<u8> = others.iter().map(|crash| crash.round).collect();
        common >= MIN_BLAMED_CRASHES
            && !self.completes_more_often(blamed)
            && others.len() <= common
            && other_rounds.len() <= MAX_INDISTINCT_ROUNDS
    }
}

/// Finds the groups of parts that explain the crashes of all candidates.
pub(super) fn find_groups<I: Copy + Eq>(
    mut candidates: Vec<BlameCandidate<I>>,
) -> Vec<BlamedGroup> {
    let mut groups = Vec::new();
    // All nodes have to choose the same one of several parts with equal crashes.
    candidates.sort_by_key(|candidate| candidate.part);
    while let Some(blamed) = find_blamed(&candidates).cloned() {
        let is_doubtful = blamed.is_doubtful();
        let members = candidates.iter().filter(|candidate| {
            candidate.part == blamed.part || !is_doubtful && candidate.is_indistinct(&blamed)
        });
        groups.push(BlamedGroup {
            parts: members.clone().map(|member| member.part).collect(),
            crashes: blamed.crashes.len(),
            is_doubtful,
            round: blamed.crashes.iter().map(|crash| crash.round).max().unwrap_or(0),
            changed_at: members.map(|member| member.changed_at).max().unwrap_or_default(),
        });
        let explains =
            |crash: &CrashEntry<I>| blamed.crashes.iter().any(|known| known.server == crash.server);
        for candidate in &mut candidates {
            // A part in doubt explains the crashes of no other part.
            if candidate.part == blamed.part || !is_doubtful {
                candidate.crashes.retain(|crash| !explains(crash));
            }
        }
    }
    groups
}

/// Returns the blamed candidate with the most crashes that are not explained yet, if they are enough.
fn find_blamed<I: Copy + Eq>(candidates: &[BlameCandidate<I>]) -> Option<&BlameCandidate<I>> {
    let blamed = candidates
        .iter()
        .filter(|known| known.is_blamed && known.crashes.len() >= MIN_BLAMED_CRASHES);
    blamed.rev().max_by_key(|candidate| (candidate.weight(), candidate.crashes.len()))
}
