//! What a node knows of whether one server responds to anybody.

use std::time::Duration;

use smallvec::SmallVec;

use super::ProbeSchedule;
use crate::clock::ClockTime;

/// A server was alive this long before a notice that it responded, at the latest. Notices wait up to
/// 44 ms for others to join them, at the sender and at a relay.
pub const HEARD_NOTICE_AGE: Duration = Duration::from_millis(100);
/// Reports of this many nodes make a server silent, or of all if there are fewer.
const MIN_OBSERVERS: usize = 2;
/// A server is not silent before nobody has heard it for this long.
const MIN_SILENCE: Duration = Duration::from_millis(250);
/// A report that is not renewed ends after this time, so that lost notices do not keep a server out. It
/// is renewed by each failed probe, every two seconds for each node that probes.
const REPORT_LIFETIME: Duration = Duration::from_secs(5);
/// Number of reports that are kept; a later one replaces the oldest.
const MAX_REPORTS: usize = 4;

/// One node's report that a server does not respond to it.
#[derive(Debug, Clone, Copy)]
struct SilenceReport {
    observer: u64,
    /// When the first request or connection without a response was sent.
    unheard_since: ClockTime,
    reported_at: ClockTime,
}

/// A failure at this node that is not reported yet.
#[derive(Debug, Clone, Copy)]
struct OwnFailure {
    unheard_since: ClockTime,
    is_probe: bool,
}

/// How a server's silence changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilenceChange {
    /// No ordinary request goes there from now on. Gives the number of nodes that reported it.
    Silent(usize),
    /// It takes requests again: it was heard, or the reports have ended.
    Back,
}

/// Reports that one incarnation of a server does not respond, and when it was last heard.
#[derive(Debug, Clone, Default)]
pub struct ServerSilence {
    /// When any node last heard the server, as far as this one knows.
    heard_at: ClockTime,
    /// Invariant: one for each observer, at most [`MAX_REPORTS`], none older than `heard_at`.
    reports: SmallVec<[SilenceReport; MAX_REPORTS]>,
    own_failure: Option<OwnFailure>,
    is_silent: bool,
    /// When this node probes the server.
    pub probes: ProbeSchedule,
}

impl ServerSilence {
    /// Whether no ordinary request should go to the server, unless no other one is left.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Whether a node got no response from the server, and none has heard it since.
    pub fn is_suspected(&self) -> bool {
        !self.reports.is_empty()
    }

    /// Whether any node has heard the server since `since`.
    pub fn was_heard_since(&self, since: ClockTime) -> bool {
        self.heard_at > since
    }

    /// Records that a node heard the server at `at`. Voids all reports of requests sent before that.
    pub fn on_heard(&mut self, at: ClockTime) {
        self.heard_at = self.heard_at.max(at);
        let heard_at = self.heard_at;
        self.reports.retain(|report| report.unheard_since >= heard_at);
        self.own_failure = self.own_failure.filter(|failure| failure.unheard_since >= heard_at);
    }

    /// Records that a request or probe of this node, sent at `since`, got no response. It is reported once
    /// the links of this node are known to have worked.
    pub fn on_own_failure(&mut self, since: ClockTime, is_probe: bool) {
        if self.was_heard_since(since) {
            return;
        }
        let earlier = self.own_failure.map_or(since, |known| known.unheard_since.min(since));
        let is_probe = is_probe || self.own_failure.is_some_and(|known| known.is_probe);
        self.own_failure = Some(OwnFailure { unheard_since: earlier, is_probe });
    }

    /// Removes the failure of this node that is to be reported, and returns since when the server was not
    /// heard. Once the server is silent, only probes are reported: that is enough to keep it so.
    pub fn take_own_failure(&mut self) -> Option<ClockTime> {
        let failure = self.own_failure.take()?;
        (failure.is_probe || !self.is_silent).then_some(failure.unheard_since)
    }

    /// Records the report of a node that it has not heard the server since `since`, though it asked.
    pub fn on_report(&mut self, now: ClockTime, observer: u64, since: ClockTime) {
        if self.was_heard_since(since) {
            return;
        }
        if let Some(known) = self.reports.iter_mut().find(|known| known.observer == observer) {
            known.unheard_since = known.unheard_since.min(since);
            known.reported_at = now;
            return;
        }
        if self.reports.len() == MAX_REPORTS {
            let oldest = (0..MAX_REPORTS).min_by_key(|index| self.reports[*index].reported_at);
            oldest.map(|index| self.reports.swap_remove(index));
        }
        self.reports.push(SilenceReport { observer, unheard_since: since, reported_at: now });
    }

    /// Decides whether the server is silent. `nodes` is the number of nodes that reach servers.
    pub fn update(&mut self, now: ClockTime, nodes: usize) -> Option<SilenceChange> {
        self.reports.retain(|report| now.since(report.reported_at) < REPORT_LIFETIME);
        if self.reports.is_empty() {
            self.probes.on_cleared();
        }
        let first = self.reports.iter().map(|report| report.unheard_since).min();
        let lasts = first.is_some_and(|since| now.since(since) >= MIN_SILENCE);
        let observers = self.reports.len();
        // While it is silent, one report is enough: a node that probes it may have ended.
        let needed = if self.is_silent { 1 } else { MIN_OBSERVERS.min(nodes.max(1)) };
        let is_silent = lasts && observers >= needed;
        if is_silent == self.is_silent {
            return None;
        }
        self.is_silent = is_silent;
        Some(if is_silent { SilenceChange::Silent(observers) } else { SilenceChange::Back })
    }
}
