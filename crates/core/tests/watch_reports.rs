//! Tests of the reports of watchers of the store.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    traffic::{WatchReport, WatchReports},
};

/// Difference between the clocks of the watcher and of the node.
const CLOCK_OFFSET: Duration = Duration::from_secs(1_000);

fn at(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms) + CLOCK_OFFSET
}

/// Guards against a node that takes an old report for new and uses a configuration for too long, after a
/// report was held up, or a relay or the node itself stood still.
#[test]
fn reports_that_were_held_up_are_not_relied_on() {
    struct Case {
        name: &'static str,
        /// When the watcher sent each report, and when it arrived, in milliseconds.
        reports: &'static [(u64, u64)],
        /// Whether the last one is relied on.
        is_used: bool,
    }
    let cases = [
        Case { name: "first", reports: &[(0, 2)], is_used: false },
        Case { name: "soon after the first", reports: &[(0, 2), (500, 502)], is_used: false },
        Case { name: "usual", reports: &[(0, 2), (1_000, 1_002), (2_000, 2_090)], is_used: true },
        Case {
            name: "held up",
            reports: &[(0, 2), (1_000, 1_002), (2_000, 2_400)],
            is_used: false,
        },
        Case {
            name: "backlog",
            reports: &[(0, 2), (1_000, 5_000), (2_000, 5_000)],
            is_used: false,
        },
        Case {
            name: "after the backlog",
            reports: &[(0, 2), (1_000, 5_000), (5_100, 5_103)],
            is_used: true,
        },
        Case {
            name: "first held up",
            reports: &[(0, 3_000), (3_100, 3_102), (4_200, 4_203)],
            is_used: true,
        },
    ];
    for case in cases {
        let mut reports = WatchReports::default();
        let mut used = None;
        for &(sent_ms, arrived_ms) in case.reports {
            let told_at = ClockTime::from_millis(sent_ms);
            let report = WatchReport { watcher: 1, checked_at: told_at, told_at };
            used = reports.on_report(at(arrived_ms), &report);
        }
        assert_eq!(used.is_some(), case.is_used, "{}", case.name);
    }
}

/// Guards against the time of a long call to the store that counts as no time: its response may be as
/// old as the call.
#[test]
fn age_of_the_call_counts() {
    let mut reports = WatchReports::default();
    let told = |checked_ms, told_ms| WatchReport {
        watcher: 1,
        checked_at: ClockTime::from_millis(checked_ms),
        told_at: ClockTime::from_millis(told_ms),
    };
    assert_eq!(reports.on_report(at(2), &told(0, 0)), None);
    let checked_at = reports.on_report(at(2_002), &told(1_400, 2_000)).expect("it is relied on");
    assert!(checked_at <= at(1_402) && checked_at >= at(1_000), "{checked_at:?}");
}

/// Guards against watchers that restart often and fill the memory of all nodes.
#[test]
fn remembered_watchers_are_bounded() {
    let mut reports = WatchReports::default();
    for watcher in 0..100_000 {
        let told_at = ClockTime::from_millis(watcher);
        let report = WatchReport { watcher, checked_at: told_at, told_at };
        assert_eq!(reports.on_report(at(watcher), &report), None);
    }
}
