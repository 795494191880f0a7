//! The server incarnations that ended while they ran one suspect.
//!
//! A record only learns: an entry is added, its round rises, runs complete after it, or it is
//! withdrawn. Nodes can therefore merge what they know in any order and any number of times, and
//! agree once each has received the reports of the others.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::{CompletedRuns, ServerBuild, SuspectKind, refuting_runs};

/// Maximum number of entries in a record. Nodes that run a suspect at the same time can crash more
/// servers than it takes to reject it.
const MAX_ENTRIES: usize = 16;
/// Number of entries that are stored without an allocation.
const INLINE_ENTRIES: usize = 3;

/// The end of one server incarnation under a suspect. `I` identifies the incarnation in the same way
/// on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct CrashEntry<I> {
    /// The server incarnation that ended.
    #[n(0)]
    pub server: I,
    /// 1 if no crash of the suspect was known when the run began, else one more than the highest
    /// round that was known. Servers that end together under a suspect are of the same round.
    #[n(1)]
    pub round: u8,
    /// Whether the suspect has not caused this crash, since it has completed later.
    #[n(2)]
    pub withdrawn: bool,
    /// Build of the server.
    #[serde(default)]
    #[cbor(n(3), default)]
    pub build: ServerBuild,
    /// Runs with the suspect that completed later.
    #[serde(default)]
    #[cbor(n(4), default)]
    pub completed: CompletedRuns,
}

impl<I> CrashEntry<I> {
    /// Creates the entry of a crash after which no run is known to have completed.
    pub fn new(server: I, round: u8, build: ServerBuild) -> CrashEntry<I> {
        CrashEntry { server, round, withdrawn: false, build, completed: CompletedRuns::default() }
    }
}

/// What a completed run has changed in a record.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Completion {
    /// Whether the run was not counted yet for some crash.
    pub is_new: bool,
    /// Number of crashes that are withdrawn for it.
    pub withdrawn: usize,
}

/// The crashes of one suspect. Invariant: no two entries have the same server incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashRecord<I> {
    entries: SmallVec<[CrashEntry<I>; INLINE_ENTRIES]>,
}

impl<I> Default for CrashRecord<I> {
    fn default() -> CrashRecord<I> {
        CrashRecord { entries: SmallVec::new() }
    }
}

impl<I: Copy + Eq> CrashRecord<I> {
    /// Returns all entries, for a report.
    pub fn entries(&self) -> &[CrashEntry<I>] {
        &self.entries
    }

    /// Iterates over the crashes that are not withdrawn.
    pub fn crashes(&self) -> impl Iterator<Item = &CrashEntry<I>> {
        self.entries.iter().filter(|entry| !entry.withdrawn)
    }

    /// Returns the server incarnations and rounds of the crashes that are not withdrawn.
    pub fn crash_entries(&self) -> SmallVec<[(I, u8); 8]> {
        self.crashes().map(|entry| (entry.server, entry.round)).collect()
    }

    /// Returns the number of server incarnations that the suspect has crashed.
    pub fn crash_count(&self) -> usize {
        self.crashes().count()
    }

    /// Returns the highest round of the crashes; 0 without any.
    pub fn round(&self) -> u8 {
        self.crashes().map(|entry| entry.round).max().unwrap_or(0)
    }

    /// Whether there is an entry for a server incarnation, withdrawn or not.
    pub fn contains(&self, server: I) -> bool {
        self.entries.iter().any(|entry| entry.server == server)
    }

    /// Adds a crash. Returns whether the record has changed.
    pub fn add_crash(&mut self, entry: CrashEntry<I>) -> bool {
        if let Some(known) = self.find_mut(entry.server) {
            let raised = !known.withdrawn && known.round < entry.round;
            if raised {
                known.round = entry.round;
            }
            return raised;
        }
        self.insert(entry)
    }

    /// Records that a run completed at a server of `build`, and withdraws the crashes that `required`
    /// runs speak against. `number` identifies the run.
    pub fn add_completed(
        &mut self,
        number: u64,
        build: ServerBuild,
        required: impl Fn(I) -> u32,
    ) -> Completion {
        let mut completion = Completion::default();
        for entry in self.entries.iter_mut().filter(|entry| !entry.withdrawn) {
            let is_same_build = entry.build.is_refuted_at(build);
            completion.is_new |= entry.completed.add(number, is_same_build);
            let required = required(entry.server);
            entry.withdrawn = entry.completed.same_build_count() >= required;
            completion.withdrawn += usize::from(entry.withdrawn);
        }
        completion
    }

    /// Withdraws the crashes that enough completed runs speak against. Returns whether there were any.
    pub fn withdraw_refuted(&mut self, kind: SuspectKind) -> bool {
        let required = refuting_runs(kind);
        let crashes = self.entries.iter_mut().filter(|entry| !entry.withdrawn);
        let refuted = crashes.filter(|entry| entry.completed.same_build_count() >= required);
        refuted.map(|entry| entry.withdrawn = true).count() > 0
    }

    /// Withdraws the crash of one server incarnation, also if it is reported only later.
    pub fn withdraw(&mut self, server: I) {
        match self.find_mut(server) {
            Some(known) => known.withdrawn = true,
            None => {
                let entry = CrashEntry::new(server, 0, ServerBuild::UNKNOWN);
                self.insert(CrashEntry { withdrawn: true, ..entry });
            }
        }
    }

    /// Adds what a report says. Returns whether anything in it is new.
    pub fn merge(&mut self, report: &[CrashEntry<I>]) -> bool {
        let mut changed = false;
        for entry in report {
            changed |= self.merge_entry(entry);
        }
        changed
    }

    /// Whether a report says everything that this record knows of the crashes in either.
    pub fn is_within(&self, report: &[CrashEntry<I>]) -> bool {
        self.entries.iter().all(|known| {
            let reported = report.iter().find(|entry| entry.server == known.server);
            match reported {
                Some(entry) if known.withdrawn => entry.withdrawn,
                Some(entry) => entry.withdrawn || entry.round >= known.round,
                None => known.withdrawn,
            }
        })
    }

    fn find_mut(&mut self, server: I) -> Option<&mut CrashEntry<I>> {
        self.entries.iter_mut().find(|entry| entry.server == server)
    }

    fn merge_entry(&mut self, reported: &CrashEntry<I>) -> bool {
        if let Some(known) = self.find_mut(reported.server) {
            let before = *known;
            known.withdrawn |= reported.withdrawn;
            known.round = known.round.max(reported.round);
            known.completed.merge(reported.completed);
            if !known.build.is_known() {
                known.build = reported.build;
            }
            return *known != before;
        }
        self.insert(*reported)
    }

    /// Adds an entry if there is room or it takes the place of a less important one: a crash that of
    /// a withdrawn one or of one from an earlier round. Returns whether it was added.
    fn insert(&mut self, entry: CrashEntry<I>) -> bool {
        if self.entries.len() >= MAX_ENTRIES {
            let importance = |known: &CrashEntry<I>| (!known.withdrawn, known.round);
            let least = self.entries.iter().enumerate().min_by_key(|(_, known)| importance(known));
            match least {
                Some((index, known))
                    if !entry.withdrawn && importance(known) < importance(&entry) =>
                {
                    self.entries.remove(index);
                }
                _ => return false,
            }
        }
        self.entries.push(entry);
        true
    }
}
