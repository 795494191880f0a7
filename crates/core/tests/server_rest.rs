//! Tests of servers that have asked a node for rest.

use std::time::Duration;

use carobvane_core::{clock::ClockTime, traffic::ServerHealth};

/// Guards against rest that ends early because of other requests, or that never ends.
#[test]
fn rest_lasts_as_long_as_the_server_asked() {
    struct Case {
        name: &'static str,
        /// What happens after the server has asked for 3 s of rest at 1 s.
        then: fn(&mut ServerHealth),
        /// When it takes requests again, in milliseconds.
        ends_at: u64,
    }
    let cases = [
        Case { name: "nothing", then: |_| {}, ends_at: 4_000 },
        Case {
            name: "an earlier run ends well",
            then: |health| health.on_response(ClockTime::from_millis(1_500)),
            ends_at: 4_000,
        },
        Case {
            name: "the links were lost",
            then: |health| health.forget_failures(),
            ends_at: 4_000,
        },
        Case {
            name: "rejected again without rest",
            then: |health| health.on_rejected(ClockTime::from_millis(1_200)),
            ends_at: 4_000,
        },
        Case {
            name: "asks for less",
            then: |health| {
                health.on_rest_requested(ClockTime::from_millis(1_200), Duration::from_secs(1));
            },
            ends_at: 4_000,
        },
        Case {
            name: "asks for more",
            then: |health| {
                health.on_rest_requested(ClockTime::from_millis(1_200), Duration::from_secs(9));
            },
            ends_at: 10_200,
        },
        Case {
            name: "asks for ever",
            then: |health| {
                health.on_rest_requested(ClockTime::from_millis(1_200), Duration::MAX);
            },
            ends_at: 601_200,
        },
    ];
    for case in cases {
        let mut health = ServerHealth::default();
        health.on_rest_requested(ClockTime::from_millis(1_000), Duration::from_secs(3));
        (case.then)(&mut health);
        let before = ClockTime::from_millis(case.ends_at - 1);
        assert!(health.is_at_rest(before) && health.in_backoff(before), "{}", case.name);
        assert_eq!(health.rest_left(before), Duration::from_millis(1), "{}", case.name);
        let after = ClockTime::from_millis(case.ends_at);
        assert!(!health.is_at_rest(after), "{}", case.name);
    }
}
