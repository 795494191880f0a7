//! Decides whether a request may run, from the crashes of the request and of the parts of its prompt.

use std::time::Duration;

use super::{
    CrashTracker,
    crash_messages::{CrashRuling, CrashVerdict},
};
use crate::{
    clock::ClockTime,
    suspects::{PROBE_STAGGER, PartVerdict, RequestSuspects, SuspectFingerprint, TEST_STAGGER},
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
    /// order in which nodes may run a suspect after its quarantine, from 0.
    pub fn verdict(
        &self,
        now: ClockTime,
        suspects: &RequestSuspects,
        probe_rank: impl Fn(SuspectFingerprint) -> u32,
    ) -> CrashRuling {
        let of_request = self.request_verdict(now, suspects.request, &probe_rank);
        if of_request.verdict == CrashVerdict::Reject {
            return of_request;
        }
        let of_parts = self.part_verdict(now, &suspects.parts, &probe_rank);
        of_parts.filter(|ruling| ruling.verdict != CrashVerdict::Allow).unwrap_or(of_request)
    }

    fn request_verdict(
        &self,
        now: ClockTime,
        request: SuspectFingerprint,
        probe_rank: &impl Fn(SuspectFingerprint) -> u32,
    ) -> CrashRuling {
        let count = self.crash_count(request);
        let ruling = |verdict| CrashRuling { verdict, suspect: request, crashes: count };
        if count >= MAX_CRASHES
            && let Some(changed_at) = self.suspects.changed_at(request)
            && now.since(changed_at)
                < request_quarantine(count) + PROBE_STAGGER * probe_rank(request)
        {
            return ruling(CrashVerdict::Reject);
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
        if is_whole && waited < group.quarantine() + PROBE_STAGGER * rank {
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

/// How long a request with this many crashes is rejected after its last change.
pub(super) fn request_quarantine(crashes: usize) -> Duration {
    match crashes.checked_sub(MAX_CRASHES) {
        Some(further) => QUARANTINE_PERIOD * (1 << further.min(MAX_DOUBLINGS)),
        None => Duration::ZERO,
    }
}
