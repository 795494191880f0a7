//! What the nodes tell each other and the store of crashes.

use std::time::Duration;

use carobvane_core::traffic::{CrashReport, CrashTracker, RunEnd};

use crate::fixture::{Fixture, millis, request};

/// Guards against nodes that disagree on a request because reports were lost, repeated or reordered.
#[test]
fn nodes_agree_whatever_the_order_of_reports() {
    let mut reports = Vec::new();
    let mut origin = Fixture::new();
    for step in 0..4 {
        match step {
            2 => {
                origin.complete(0);
                origin.forget_runs();
            }
            _ => origin.run(0, step + 1, RunEnd::Broken),
        }
        reports.push(origin.tracker.report(request(0)).expect("a crash was counted"));
    }
    let orders: [&[usize]; 5] =
        [&[0, 1, 2, 3], &[3, 2, 1, 0], &[3], &[3, 3, 0, 0, 2], &[1, 3, 2, 2, 0]];
    for order in orders {
        let mut node = Fixture::new();
        node.run(0, 6, RunEnd::Broken);
        for &index in order {
            node.tracker.merge_reported(node.now, &reports[index], &mut node.events);
        }
        assert_eq!(node.crashes(), 2, "{order:?}");
        // The node tells the others what the reports lacked.
        let repeats = node.tracker.take_repeats();
        assert_eq!(repeats.len(), 1, "{order:?}");
        origin.tracker.merge_reported(origin.now, &repeats[0], &mut origin.events);
        assert_eq!(origin.crashes(), 2, "{order:?}");
    }
}

/// Guards against a record that never reaches the store, or reaches it from every node at once.
#[test]
fn records_of_several_crashes_are_written_by_the_nodes_that_saw_them() {
    const GRACE: Duration = Duration::from_secs(2);
    let mut observer = Fixture::new();
    observer.run(0, 1, RunEnd::Broken);
    assert_eq!(observer.tracker.unstored(observer.now, GRACE), [], "a single crash is not kept");
    observer.run(0, 2, RunEnd::Broken);
    let written = observer.tracker.unstored(observer.now, GRACE);
    assert_eq!(written.len(), 1);

    let mut other = Fixture::new();
    other.tracker.merge_reported(other.now, &written[0], &mut other.events);
    assert_eq!(other.tracker.unstored(other.now, GRACE), [], "the observer writes it");
    other.advance(GRACE);
    assert_eq!(other.tracker.unstored(other.now, GRACE), written, "the observer may be gone");

    let mut copied = Fixture::new();
    copied.tracker.merge_copied(copied.now, &written[0], &mut copied.events);
    copied.advance(GRACE);
    assert_eq!(copied.tracker.unstored(copied.now, GRACE), [], "a copy may be old");

    let stored = |tracker: &mut CrashTracker, report: &CrashReport| {
        tracker.merge_stored(millis(9_000), report, &mut Vec::new());
    };
    stored(&mut observer.tracker, &written[0]);
    assert_eq!(observer.tracker.unstored(observer.now, GRACE), []);
    observer.complete(0);
    let withdrawn = observer.tracker.unstored(observer.now, GRACE);
    assert_eq!(withdrawn.len(), 1, "a restarted node must learn of the completion");
    stored(&mut observer.tracker, &withdrawn[0]);
    observer.tracker.on_stored_removed(request(0));
    assert_eq!(observer.tracker.unstored(observer.now, GRACE), [], "nothing left to keep");
}
