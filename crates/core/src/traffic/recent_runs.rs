//! The runs that completed lately, by suspect, which tell what a server that ends under a suspect means.
//!
//! Many sound requests share a part, and run at a server when it ends. Their completed runs at other
//! servers shortly before speak against the part as the cause.

use std::{collections::HashMap, time::Duration};

use smallvec::SmallVec;

use crate::{
    clock::ClockTime,
    suspects::{CompletedRuns, ServerBuild, SuspectFingerprint},
};

/// Completed runs are kept for at least this long, and at most twice as long.
const GENERATION_LENGTH: Duration = Duration::from_secs(5);
/// Maximum number of suspects in a generation. When full, further ones are not
/// recorded, and crashes of them are judged without their earlier runs.
const MAX_ENTRIES: usize = 4_096;

/// Completed runs of each suspect at servers of each build.
type Generation = HashMap<SuspectFingerprint, SmallVec<[(ServerBuild, CompletedRuns); 1]>>;

/// Completed runs of this node in the last seconds.
#[derive(Debug, Clone, Default)]
pub(super) struct RecentRuns {
    current: Generation,
    previous: Generation,
    begun_at: ClockTime,
}

impl RecentRuns {
    /// Adds a run of a suspect that has completed at a server of `build`. `number` identifies the run.
    pub fn add(&mut self, suspect: SuspectFingerprint, build: ServerBuild, number: u64) {
        if self.current.len() >= MAX_ENTRIES && !self.current.contains_key(&suspect) {
            return;
        }
        let by_build = self.current.entry(suspect).or_default();
        match by_build.iter_mut().find(|(known, _)| *known == build) {
            Some((_, runs)) => drop(runs.add(number, true)),
            None => {
                let mut runs = CompletedRuns::default();
                runs.add(number, true);
                by_build.push((build, runs));
            }
        }
    }

    /// Returns the runs of a suspect as they speak against a crash of a server of `build`.
    pub fn find(&self, suspect: SuspectFingerprint, build: ServerBuild) -> CompletedRuns {
        let mut found = CompletedRuns::default();
        let generations = [&self.current, &self.previous].into_iter();
        for (run_build, runs) in generations.filter_map(|runs| runs.get(&suspect)).flatten() {
            found.merge(runs.seen_from(build.is_refuted_at(*run_build)));
        }
        found
    }

    /// Drops the runs that are too old.
    pub fn tick(&mut self, now: ClockTime) {
        if now.since(self.begun_at) >= GENERATION_LENGTH {
            self.previous = std::mem::take(&mut self.current);
            self.begun_at = now;
        }
    }
}
