//! Minimum shares of groups.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    overload::{FairShares, RequestGroups},
};

const COMMON: RequestGroups =
    RequestGroups { route: 1, workspace: 1, session: Some(1), prompt_tokens: 500 };

/// Guards against groups without a minimum share, against a group that gets room although it has its
/// share, and against one that stays starved after its requests have ended.
#[test]
fn groups_that_get_less_than_their_share_are_starved() {
    struct Case {
        name: &'static str,
        group: RequestGroups,
        /// Of ten requests, how many of the group and how many others are admitted.
        admitted: u64,
        others_admitted: u64,
        is_starved: bool,
    }
    let route = RequestGroups { route: 2, prompt_tokens: 500, ..COMMON };
    let workspace = RequestGroups { workspace: 2, ..COMMON };
    let session = RequestGroups { session: Some(2), ..COMMON };
    let size = RequestGroups { prompt_tokens: 4_000, ..COMMON };
    let unserved =
        |name, group| Case { name, group, admitted: 0, others_admitted: 10, is_starved: true };
    let first = RequestGroups { session: Some(3), ..COMMON };
    let cases = [
        Case { is_starved: false, ..unserved("first of a session", first) },
        unserved("route", route),
        unserved("workspace", workspace),
        unserved("session", session),
        unserved("size", size),
        Case { name: "size at half", admitted: 5, ..unserved("", size) },
        Case { name: "session at half", admitted: 5, is_starved: false, ..unserved("", session) },
        Case { others_admitted: 0, is_starved: false, ..unserved("nothing served", workspace) },
    ];
    for case in cases {
        let mut shares = FairShares::default();
        for index in 0..200 {
            let now = ClockTime::from_millis(50_000 + index * 20);
            let is_asked = case.group.session != Some(3) || index == 199;
            let groups = [(&case.group, case.admitted), (&COMMON, case.others_admitted)];
            for (group, admitted) in groups.into_iter().skip(usize::from(!is_asked)) {
                shares.on_request(now, group, 10.0);
                if index % 10 < admitted {
                    shares.on_admitted(now, group, 10.0);
                }
            }
        }
        let now = ClockTime::from_millis(54_000);
        assert_eq!(shares.is_starved(now, &case.group), case.is_starved, "{}", case.name);
        let later = now + Duration::from_secs(60);
        shares.on_request(later, &COMMON, 10.0);
        assert!(!shares.is_starved(later, &case.group), "{} a minute later", case.name);
    }
}

/// Guards against memory that grows with the number of sessions, and against a node that keeps no
/// more groups after many sessions have ended.
#[test]
fn the_number_of_groups_is_bounded() {
    let mut shares = FairShares::default();
    let session = |id| RequestGroups { session: Some(id), ..COMMON };
    for id in 0..10_000 {
        shares.on_request(ClockTime::from_millis(id), &session(id), 1.0);
    }
    assert!(shares.group_count() <= 1_024);
    for id in 0..10 {
        shares.on_request(ClockTime::from_millis(60_000 + id * 1_000), &session(id), 1.0);
    }
    assert_eq!(shares.group_count(), 13);
}
