//! Retry delays of refused clients.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    overload::{ReturnSchedule, ReturnWindow, UsualDeadlines},
};
use rand::{SeedableRng, rngs::SmallRng};

const MS: Duration = Duration::from_millis(1);

/// Guards against refused clients that all come back together, before there is room, or at a time up
/// to which their clients don't wait.
#[test]
fn returns_are_spread_over_the_time_in_which_they_can_be_served() {
    struct Case {
        name: &'static str,
        admitted_per_s: u64,
        refused: usize,
        window_ms: (u32, u32),
        /// Bounds of the mean delay in ms.
        mean_ms: (f64, f64),
    }
    let cases = [
        Case {
            name: "one client",
            admitted_per_s: 20,
            refused: 1,
            window_ms: (300, 3_000),
            mean_ms: (300.0, 400.0),
        },
        Case {
            name: "two seconds of returns",
            admitted_per_s: 20,
            refused: 20,
            window_ms: (200, 5_000),
            mean_ms: (700.0, 1_300.0),
        },
        Case {
            name: "more than can be served",
            admitted_per_s: 20,
            refused: 100,
            window_ms: (200, 1_600),
            mean_ms: (700.0, 1_100.0),
        },
        Case {
            name: "no room before the client gives up",
            admitted_per_s: 20,
            refused: 5,
            window_ms: (2_000, 900),
            mean_ms: (800.0, 900.0),
        },
        Case {
            name: "nothing admitted yet",
            admitted_per_s: 0,
            refused: 1,
            window_ms: (0, 1_000),
            mean_ms: (100.0, 300.0),
        },
    ];
    for case in cases {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut schedule = ReturnSchedule::default();
        let start = 100_000;
        for index in 0..case.admitted_per_s * 10 {
            let at = start - 10_000 + index * 1_000 / case.admitted_per_s;
            schedule.on_admitted(ClockTime::from_millis(at), 0.0, false);
        }
        let now = ClockTime::from_millis(start);
        let (earliest, latest) = (MS * case.window_ms.0, MS * case.window_ms.1);
        let window = ReturnWindow { earliest, latest };
        let promise = |_| schedule.promise(now, window, 0.0, &mut rng);
        let delays: Vec<Duration> = (0..case.refused).map(promise).collect();
        let name = case.name;
        let is_useful = |delay: &Duration| *delay >= earliest.min(latest) && *delay <= latest;
        assert!(delays.iter().all(is_useful), "{name}: {delays:?}");
        let mean = delays.iter().sum::<Duration>().as_secs_f64() * 1_000.0 / case.refused as f64;
        assert!((case.mean_ms.0..=case.mean_ms.1).contains(&mean), "{name}: mean {mean}");
    }
}

/// Guards against new requests that take the room of those that were promised it, and against room
/// that is kept for clients that have come or do not come.
#[test]
fn room_is_kept_for_promised_returns() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut schedule = ReturnSchedule::default();
    let at = ClockTime::from_millis;
    for index in 0..20 {
        schedule.on_admitted(at(9_000 + index * 50), 0.5, false);
    }
    let window = ReturnWindow { earliest: MS * 500, latest: MS * 550 };
    for _ in 0..3 {
        schedule.promise(at(10_000), window, 0.5, &mut rng);
    }
    assert_eq!(schedule.reserved_share(at(10_100), 0.5), 0.0, "not due yet");
    let kept = schedule.reserved_share(at(10_500), 0.5);
    assert!(kept > 0.0, "due now");
    assert_eq!(schedule.reserved_share(at(10_500), 0.1), 0.0, "a more urgent request");
    (0..3).for_each(|_| schedule.on_admitted(at(10_550), 0.5, true));
    assert_eq!(schedule.reserved_share(at(10_560), 0.5), 0.0, "all have come");
    for _ in 0..3 {
        schedule.promise(at(11_000), window, 0.5, &mut rng);
    }
    assert_eq!(schedule.reserved_share(at(12_000), 0.5), 0.0, "none has come");
}

/// Guards against new requests that count as returns, and returns that do not.
#[test]
fn returns_have_less_time_than_is_usual() {
    struct Case {
        deadline_ms: u32,
        at_s: u64,
        is_return: bool,
    }
    let cases = [
        Case { deadline_ms: 5_000, at_s: 1, is_return: false },
        Case { deadline_ms: 4_950, at_s: 2, is_return: false },
        Case { deadline_ms: 4_200, at_s: 3, is_return: true },
        Case { deadline_ms: 5_000, at_s: 20, is_return: false },
        Case { deadline_ms: 3_000, at_s: 60, is_return: false },
        Case { deadline_ms: 2_500, at_s: 61, is_return: true },
    ];
    let mut deadlines = UsualDeadlines::default();
    for case in cases {
        let now = ClockTime::from_millis(case.at_s * 1_000);
        let found = deadlines.is_return(now, 7, MS * case.deadline_ms);
        assert_eq!(found, case.is_return, "{} ms at {} s", case.deadline_ms, case.at_s);
    }
}
