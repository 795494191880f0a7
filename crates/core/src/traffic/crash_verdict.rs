//! Decides whether a request may run, from the crashes of the request and of the parts of its prompt.

use std::time::Duration;

use super::{
    CrashTracker,
    crash_messages::{CrashRuling, CrashVerdict},
};
use crate::{
    clock::ClockTime,
    suspects::{
        PROBE_STAGGER, PartVerdict, RequestSuspects, ServerBuild, SuspectFingerprint, TEST_STAGGER,
        refuting_runs,
    },
};

/// A request is rejected after it crashed this many server incarnations.
pub const MAX_CRASHES: usize = 3;
/// How long a request is rejected after its third crash. Doubles with each further crash, which can
/// only happen in the single run that is allowed after this time.
const QUARANTINE_PERIOD: Duration = Duration::from_secs(120);
/// Maximum number of times that the quarantine of a request doubles.
const MAX_DOUBLINGS: usize = 5;

impl CrashTracker {
    /// Returns whether a request may run. `probe_rank` returns the position of this node in the
    /// order in which nodes may run a suspect after its quarantine, from 0. `replaced_for` returns for how
    /// long no server with the software of a build has been there; `None` if one may be there.
    pub fn verdict(
        &self,
        now: ClockTime,
        suspects: &RequestSuspects,
        probe_rank: impl Fn(SuspectFingerprint) -> u32,
        replaced_for: impl Fn(ServerBuild) -> Option<Duration>,
    ) -> CrashRuling {
        let of_request = self.request_verdict(now, suspects.request, &probe_rank, &replaced_for);
        if of_request.verdict == CrashVerdict::Reject {
            return of_request;
        }
        let of_parts = self.part_verdict(now, &suspects.parts, &probe_rank, &replaced_for);
        of_parts.filter(|ruling| ruling.verdict != CrashVerdict::Allow).unwrap_or(of_request)
    }

    fn request_verdict(
        &self,
        now: ClockTime,
        request: SuspectFingerprint,
        probe_rank: &impl Fn(SuspectFingerprint) -> u32,
        replaced_for: &impl Fn(ServerBuild) -> Option<Duration>,
    ) -> CrashRuling {
        let count = self.crash_count(request);
        let ruling = |verdict| CrashRuling { verdict, suspect: request, crashes: count };
        if count >= MAX_CRASHES
            && let Some(changed_at) = self.suspects.changed_at(request)
        {
            let rank = probe_rank(request);
            let fix = self.fix_state([request], rank, replaced_for);
            if fix == FixState::Fixed {
                return ruling(CrashVerdict::Allow);
            }
            let quarantine = request_quarantine(count) + PROBE_STAGGER * rank;
            if fix == FixState::None && now.since(changed_at) < quarantine {
                return ruling(CrashVerdict::Reject);
            }
        }
        // After a quarantine, one run is allowed at a time.
        let suspected = count.min(MAX_CRASHES - 1) + self.unresolved.count(request);
        let running = self.running.get(&request).copied().unwrap_or(0);
        if suspected > 0 && suspected + running >= MAX_CRASHES {
            return ruling(CrashVerdict::Wait);
        }
        ruling(CrashVerdict::Allow)
    }

    /// Returns the verdict on the parts of a request; `None` if none of them is blamed.
    fn part_verdict(
        &self,
        now: ClockTime,
        parts: &[SuspectFingerprint],
        probe_rank: &impl Fn(SuspectFingerprint) -> u32,
        replaced_for: &impl Fn(ServerBuild) -> Option<Duration>,
    ) -> Option<CrashRuling> {
        let (group, is_whole) = match self.suspects.judge_parts(parts) {
            PartVerdict::Clear => return None,
            PartVerdict::Unclear(group) => (group, false),
            PartVerdict::Blamed(group) => (group, true),
        };
        let ruling =
            |verdict| CrashRuling { verdict, suspect: group.parts[0], crashes: group.crashes };
        let rank = probe_rank(group.parts[0]);
        let waited = now.since(group.changed_at);
        let blamed = group.parts.iter().copied();
        let fix = self.fix_state(blamed, rank, replaced_for);
        if fix == FixState::Fixed {
            return None;
        }
        if is_whole && fix == FixState::None && waited < group.quarantine() + PROBE_STAGGER * rank {
            return Some(ruling(CrashVerdict::Reject));
        }
        if waited < TEST_STAGGER * rank {
            return Some(ruling(CrashVerdict::Wait));
        }
        // A run that tells the parts apart, or probes them after a quarantine, is the only one.
        let held = parts.iter().filter(|part| group.parts.contains(part));
        let is_tested = held
            .into_iter()
            .any(|part| self.running.contains_key(part) || self.unresolved.count(*part) > 0);
        let verdict = if is_tested { CrashVerdict::Wait } else { CrashVerdict::Allow };
        Some(ruling(verdict))
    }
}

/// Whether new software may have fixed what crashed servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FixState {
    /// Servers with the software of those that ended are left, or this node has to wait for another one.
    None,
    /// None is left, so runs are allowed one at a time, until one has completed at one node after another.
    Probed,
    /// None is left, and enough runs have completed.
    Fixed,
}

impl CrashTracker {
    /// Returns whether new software may have fixed the crashes of suspects. `rank` is the position of this
    /// node among those that may run them.
    fn fix_state(
        &self,
        suspects: impl IntoIterator<Item = SuspectFingerprint>,
        rank: u32,
        replaced_for: &impl Fn(ServerBuild) -> Option<Duration>,
    ) -> FixState {
        let mut fix = FixState::Fixed;
        for suspect in suspects {
            let Some(record) = self.suspects.record(suspect) else { continue };
            let replaced = record.crashes().map(|crash| replaced_for(crash.build));
            let Some(waited) = replaced.min().unwrap_or(Some(Duration::MAX)) else {
                return FixState::None;
            };
            let completed = record.crashes().map(|crash| crash.completed.count()).min();
            let completed = completed.unwrap_or(0);
            if completed == 0 && waited < PROBE_STAGGER * rank {
                return FixState::None;
            }
            if completed < refuting_runs(suspect.kind()) {
                fix = FixState::Probed;
            }
        }
        fix
    }
}

/// How long a request with this many crashes is rejected after its last change.
pub(super) fn request_quarantine(crashes: usize) -> Duration {
    match crashes.checked_sub(MAX_CRASHES) {
        Some(further) => QUARANTINE_PERIOD * (1 << further.min(MAX_DOUBLINGS)),
        None => Duration::ZERO,
    }
}
