//! Decides whether a node may rely on what a watcher of the store reports.
//!
//! A report that was held up on its way, or in a relay that stood still, says nothing about the store
//! as it is now. The clocks of nodes have different origins but run alike, so the delay of a report
//! shows against that of the fastest one of the same watcher.

use std::{collections::HashMap, time::Duration};

use crate::clock::ClockTime;

/// A report that took this much longer than the fastest one is not relied on.
const MAX_EXTRA_DELAY: Duration = Duration::from_millis(300);
/// Time from the first report of a watcher until its reports are relied on. The first ones may have
/// been held up, too.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of watchers that are remembered.
const MAX_WATCHERS: usize = 64;

/// When a watcher has compared its copy with the store. Times are those of the watcher's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchReport {
    /// Incarnation of the watcher.
    pub watcher: u64,
    /// When the call to the store was sent.
    pub checked_at: ClockTime,
    /// When the report was sent.
    pub told_at: ClockTime,
}

#[derive(Debug, Clone, Copy)]
struct WatcherDelay {
    /// Smallest difference between a report's arrival here and its sending, in microseconds. The two
    /// clocks have different origins, so it may be negative.
    min_offset: i128,
    first_report_at: ClockTime,
}

/// The delays of the reports of each watcher.
#[derive(Debug, Clone, Default)]
pub struct WatchReports {
    watchers: HashMap<u64, WatcherDelay>,
}

impl WatchReports {
    /// Records a report that arrives now. Returns at which time, by this node's clock, the watcher has
    /// compared its copy with the store at the earliest; `None` if the report is not relied on.
    pub fn on_report(&mut self, now: ClockTime, report: &WatchReport) -> Option<ClockTime> {
        if self.watchers.len() >= MAX_WATCHERS && !self.watchers.contains_key(&report.watcher) {
            self.watchers.clear();
        }
        let offset = i128::from(now.as_micros()) - i128::from(report.told_at.as_micros());
        let first = WatcherDelay { min_offset: offset, first_report_at: now };
        let watcher = self.watchers.entry(report.watcher).or_insert(first);
        watcher.min_offset = watcher.min_offset.min(offset);
        let extra_delay = offset - watcher.min_offset;
        let is_observed = now.since(watcher.first_report_at) >= OBSERVATION_PERIOD;
        if !is_observed || extra_delay > MAX_EXTRA_DELAY.as_micros() as i128 {
            return None;
        }
        let age = report.told_at.since(report.checked_at) + MAX_EXTRA_DELAY;
        Some(now - age)
    }
}
