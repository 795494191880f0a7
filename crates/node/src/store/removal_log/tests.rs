//! Tests of the changes that a node tells another one.

use super::{MAX_REMOVALS, RemovalLog};
use crate::{
    adapter::{StoreEvent, StoreItem, StoreRevision},
    store::store_mirror::StoreMirror,
};

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

/// A copy with the items `a`, written at revision 12, and `b`, written at 17.
fn mirror() -> StoreMirror {
    let item = |key: &str, revision| StoreItem {
        key: key.to_string(),
        value: key.as_bytes().to_vec(),
        revision,
        created: revision,
    };
    let items = [item("a", 12), item("b", 17)].map(|item| (item.key.clone(), item));
    StoreMirror { revision: revision(1, 20), items: items.into() }
}

/// Guards against a node that is told a part of the changes and takes them for all.
#[test]
fn changes_are_told_whole_or_not_at_all() {
    struct Case {
        name: &'static str,
        after: StoreRevision,
        /// Revisions of the changes that are told.
        told: Option<&'static [u64]>,
    }
    let cases = [
        Case {
            name: "all since the copy was read",
            after: revision(1, 10),
            told: Some(&[12, 15, 17]),
        },
        Case { name: "some", after: revision(1, 13), told: Some(&[15, 17]) },
        Case { name: "nothing but a revision", after: revision(1, 18), told: Some(&[]) },
        Case { name: "from before the copy was read", after: revision(1, 9), told: None },
        Case { name: "not behind", after: revision(1, 20), told: None },
        Case { name: "ahead", after: revision(1, 30), told: None },
        Case { name: "of an earlier era", after: revision(0, 18), told: None },
        Case { name: "of a later era", after: revision(2, 11), told: None },
    ];
    let mut log = RemovalLog::default();
    log.reset(revision(1, 10));
    log.on_removed("c", 15);
    log.on_removed("known before", 9);
    for case in cases {
        let batch = log.changes_after(case.after, &mirror());
        let told = batch.as_ref().map(|batch| {
            assert_eq!(batch.complete_to, 20, "{}", case.name);
            batch.events.iter().map(StoreEvent::revision).collect::<Vec<u64>>()
        });
        assert_eq!(told.as_deref(), case.told, "{}", case.name);
    }
}

/// Guards against removals that are dropped for want of room and not missed.
#[test]
fn dropped_removals_are_not_left_out() {
    let mut log = RemovalLog::default();
    log.reset(revision(1, 10));
    let last = 10 + MAX_REMOVALS as u64 + 1;
    (11..=last).for_each(|number| log.on_removed("key", number));
    let mirror = StoreMirror { revision: revision(1, last), ..StoreMirror::default() };
    assert!(log.changes_after(revision(1, 10), &mirror).is_none());
    let kept = log.changes_after(revision(1, 11), &mirror).expect("the later ones are known");
    assert_eq!(kept.events.len(), MAX_REMOVALS);
}
