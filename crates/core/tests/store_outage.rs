//! Outages of the platform's store, told from single calls that fail.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    traffic::{OutageChange, StoreOutage},
};

const LAPSE_TIME: Duration = Duration::from_millis(1_600);

/// Guards against taking a call that failed for an outage, in which removed servers stay in use, and
/// against dropping servers whose entries lapsed in a real one.
#[test]
fn only_a_long_time_without_any_answer_is_an_outage() {
    #[derive(Debug, Clone, Copy)]
    enum Step {
        Answer,
        Failure,
        /// Another node tells that the store answered it this many milliseconds ago.
        OtherAnswer(u64),
        /// A removal is to be judged, or time has passed.
        Check,
    }
    use Step::{Answer, Check, Failure, OtherAnswer};
    struct Case {
        name: &'static str,
        /// Times in milliseconds.
        steps: &'static [(u64, Step)],
        /// Whether an outage is on after the steps.
        is_away: bool,
        /// Lengths of the outages that ended, in milliseconds.
        ended: &'static [u64],
    }
    let cases = [
        Case {
            name: "a watch is cut",
            steps: &[(100, Answer), (900, Failure), (905, Check), (910, Answer)],
            is_away: false,
            ended: &[],
        },
        Case {
            name: "a watch is cut every two seconds",
            steps: &[
                (100, Answer),
                (2_000, Answer),
                (2_001, Failure),
                (2_010, Answer),
                (4_000, Answer),
                (4_001, Failure),
                (4_300, Answer),
            ],
            is_away: false,
            ended: &[],
        },
        Case {
            name: "long wait without a failure",
            steps: &[(100, Answer), (2_900, Check), (3_000, Answer)],
            is_away: false,
            ended: &[],
        },
        Case {
            name: "no answer for long",
            steps: &[(100, Answer), (200, Failure), (1_699, Check), (1_700, Failure)],
            is_away: true,
            ended: &[],
        },
        Case {
            name: "back after a long time",
            steps: &[(100, Answer), (200, Failure), (2_100, Check), (2_600, Answer)],
            is_away: false,
            ended: &[2_500],
        },
        Case {
            name: "back before the outage was noticed",
            steps: &[(100, Answer), (200, Failure), (2_600, Answer)],
            is_away: false,
            ended: &[2_500],
        },
        Case {
            name: "a short gap after an outage ends no second one",
            steps: &[
                (100, Answer),
                (200, Failure),
                (2_600, Answer),
                (3_000, Failure),
                (3_100, Answer),
            ],
            is_away: false,
            ended: &[2_500],
        },
        Case {
            name: "only this node is cut off",
            steps: &[
                (100, Answer),
                (200, Failure),
                (1_200, OtherAnswer(100)),
                (1_900, Check),
                (2_300, OtherAnswer(100)),
                (3_000, Failure),
            ],
            is_away: false,
            ended: &[],
        },
        Case {
            name: "back at another node first",
            steps: &[(100, Answer), (200, Failure), (2_700, OtherAnswer(100)), (2_800, Failure)],
            is_away: false,
            ended: &[2_600],
        },
        Case {
            name: "an answer from before the outage",
            steps: &[(100, Answer), (200, Failure), (2_700, OtherAnswer(2_650))],
            is_away: true,
            ended: &[],
        },
        Case {
            name: "starts while the store is away",
            steps: &[(50, Failure), (1_650, Check), (4_000, Answer)],
            is_away: false,
            ended: &[4_000],
        },
    ];
    for case in cases {
        let mut outage = StoreOutage::new(ClockTime::ZERO, LAPSE_TIME);
        let mut ended = Vec::new();
        let mut last = ClockTime::ZERO;
        for (at, step) in case.steps {
            let now = ClockTime::from_millis(*at);
            let change = match step {
                Answer => outage.on_answer(now),
                Failure => outage.on_failure(now),
                OtherAnswer(age) => outage.on_other_answer(now, now - Duration::from_millis(*age)),
                Check => outage.check(now),
            };
            if let Some(OutageChange::Ended(lasted)) = change {
                ended.push(lasted.as_millis() as u64);
            }
            last = now;
        }
        outage.check(last);
        assert_eq!(outage.is_away(), case.is_away, "{}", case.name);
        assert_eq!(ended, case.ended, "{}", case.name);
    }
}
