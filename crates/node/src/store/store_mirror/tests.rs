//! Tests of which changes a copy of the store admits.

use super::{BatchError, ChangeBatch, StoreMirror};
use crate::adapter::{StoreEvent, StoreItem, StoreRevision};

/// Era and revision of the copy in all cases.
const COPY: StoreRevision = StoreRevision { era: 1, number: 10 };

fn put(key: &str, revision: u64) -> StoreEvent {
    StoreEvent::Put(item(key, revision))
}

fn removed(key: &str, revision: u64) -> StoreEvent {
    StoreEvent::Removed { key: key.to_string(), revision }
}

fn item(key: &str, revision: u64) -> StoreItem {
    StoreItem { key: key.to_string(), value: vec![1], revision, created: revision }
}

fn mirror(revision: StoreRevision, items: &[(&str, u64)]) -> StoreMirror {
    let items = items.iter().map(|(key, revision)| (key.to_string(), item(key, *revision)));
    StoreMirror { revision, items: items.collect() }
}

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision { era, number }
}

/// Guards against an older answer that puts a removed item back (DRAIN), and against changes that are
/// applied although earlier ones are missing or another era has begun.
#[test]
fn only_later_changes_without_a_gap_are_admitted() {
    struct Case {
        name: &'static str,
        batch: ChangeBatch,
        admitted: Result<Vec<StoreEvent>, BatchError>,
    }
    let case = |name, after, events, complete_to, admitted| Case {
        name,
        batch: ChangeBatch { after, events, complete_to },
        admitted,
    };
    let cases = [
        case("next", COPY, vec![put("a", 11)], 11, Ok(vec![put("a", 11)])),
        case("older", revision(1, 7), vec![put("a", 8), removed("b", 9)], 9, Ok(vec![])),
        case("up to the copy", revision(1, 7), vec![put("a", 10)], 10, Ok(vec![])),
        case(
            "older and newer",
            revision(1, 7),
            vec![put("a", 8), removed("a", 11), put("b", 12)],
            12,
            Ok(vec![removed("a", 11), put("b", 12)]),
        ),
        case("nothing", COPY, vec![], 15, Ok(vec![])),
        case("gap", revision(1, 11), vec![put("a", 12)], 12, Err(BatchError::Gap)),
        case("earlier era", revision(0, 30), vec![put("a", 31)], 31, Err(BatchError::OtherEra)),
        case("later era", revision(2, 3), vec![put("a", 4)], 4, Err(BatchError::OtherEra)),
    ];
    for case in cases {
        assert_eq!(mirror(COPY, &[]).admit(case.batch), case.admitted, "{}", case.name);
    }
}

/// Guards against another node's copy, or a slow read of all items, that takes the copy back or brings
/// removed items with it.
#[test]
fn older_copies_bring_nothing_back() {
    struct Case {
        name: &'static str,
        other: StoreMirror,
        changes: Option<Vec<StoreEvent>>,
    }
    let case = |name, revision, items: &[(&str, u64)], changes| Case {
        name,
        other: mirror(revision, items),
        changes,
    };
    let later = revision(1, 14);
    let cases = [
        case("older", revision(1, 9), &[("a", 2), ("gone", 8)], None),
        case("earlier era", revision(0, 90), &[("a", 2)], None),
        case("the same", COPY, &[("a", 2)], Some(vec![])),
        case("later", later, &[("a", 2), ("b", 13)], Some(vec![put("b", 13)])),
        case("removal", later, &[], Some(vec![removed("a", 14)])),
        case("with an item that was removed before", later, &[("a", 2), ("gone", 8)], Some(vec![])),
        case("pages newer than the copy", COPY, &[("a", 2), ("b", 12)], Some(vec![put("b", 12)])),
        case("later era", revision(2, 4), &[("a", 2)], Some(vec![put("a", 2)])),
    ];
    for case in cases {
        let known = mirror(COPY, &[("a", 2)]);
        assert_eq!(known.changes_to(&case.other), case.changes, "{}", case.name);
    }
}
