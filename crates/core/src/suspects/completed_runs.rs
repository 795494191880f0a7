//! The runs with a suspect that completed after a server had ended under it.

use serde::{Deserialize, Serialize};

use super::SuspectKind;

/// Number of completed runs that refute the crash of a request. The same request seldom comes again
/// unless it is sound and popular.
const MIN_REQUEST_RUNS: u32 = 8;
/// Number of completed runs that refute the crash of a prompt part, which many sound requests share.
const MIN_PART_RUNS: u32 = 5;
/// Number of completed runs at other builds from which on no more are counted.
const MAX_OTHER_RUNS: u32 = 16;

/// Completed runs, each as one of 64 bits, so that nodes can merge what they know. Runs of several nodes
/// that take the same bit count as one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct CompletedRuns {
    /// Runs at servers of the same build as the one that ended.
    #[n(0)]
    same_build: u64,
    /// Runs at servers of other builds. They tell suspects apart but refute no crash: the suspect may
    /// crash servers of some builds only.
    #[n(1)]
    other_builds: u64,
}

impl CompletedRuns {
    /// Adds a run; `number` is a random one. Returns whether the set has changed.
    pub fn add(&mut self, number: u64, is_same_build: bool) -> bool {
        let before = *self;
        if is_same_build {
            self.same_build |= free_bit(self.same_build, number);
        } else if self.other_builds.count_ones() < MAX_OTHER_RUNS {
            self.other_builds |= free_bit(self.other_builds, number);
        }
        *self != before
    }

    /// Returns these runs, all at servers of one build, as they count for a crash at a server of the same
    /// build or of another one.
    pub fn seen_from(self, is_same_build: bool) -> CompletedRuns {
        if is_same_build {
            return self;
        }
        CompletedRuns { same_build: 0, other_builds: self.same_build }
    }

    /// Returns only the runs at servers of other builds.
    pub fn at_other_builds(self) -> CompletedRuns {
        CompletedRuns { same_build: 0, ..self }
    }

    /// Adds the runs that another node knows of.
    pub fn merge(&mut self, other: CompletedRuns) {
        self.same_build |= other.same_build;
        self.other_builds |= other.other_builds;
    }

    /// Number of runs at servers of the same build.
    pub fn same_build_count(self) -> u32 {
        self.same_build.count_ones()
    }

    /// Number of runs at servers of any build.
    pub fn count(self) -> u32 {
        self.same_build.count_ones() + self.other_builds.count_ones()
    }
}

/// Returns the first bit from that of `number` on that is not set; 0 if all are.
fn free_bit(bits: u64, number: u64) -> u64 {
    let start = (number % u64::from(u64::BITS)) as u32;
    let distance = bits.rotate_right(start).trailing_ones();
    1_u64.checked_shl(distance).map_or(0, |bit| bit.rotate_left(start))
}

/// Number of completed runs at servers of the same build that refute a crash.
pub fn refuting_runs(kind: SuspectKind) -> u32 {
    match kind {
        SuspectKind::Request => MIN_REQUEST_RUNS,
        SuspectKind::Part => MIN_PART_RUNS,
    }
}
