//! When long prompts get servers of their own.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    traffic::{LongPromptPool, ServerSpeed},
};

/// Guards against servers that are kept for long prompts, and so unevenly loaded, although no stream would
/// be late beside them, and against late streams where clients accept only short gaps.
#[test]
fn long_prompts_are_separated_only_where_streams_would_be_late() {
    struct Case {
        name: &'static str,
        tokens_per_ms: f64,
        step_ms: f64,
        /// Targets for gaps, in ms, and when streams had them, in s.
        gaps: &'static [(u64, u64)],
        needed: bool,
    }
    let fast =
        Case { name: "no target", tokens_per_ms: 69.8, step_ms: 4.4, gaps: &[], needed: true };
    let cases = [
        Case { name: "gaps of 300 ms", gaps: &[(300, 90)], needed: false, ..fast },
        Case { name: "gaps of 60 ms", gaps: &[(60, 90)], ..fast },
        Case { name: "both", gaps: &[(60, 90), (300, 95)], ..fast },
        Case {
            name: "the short one is long ago",
            gaps: &[(60, 20), (300, 95)],
            needed: false,
            ..fast
        },
        Case {
            name: "before it was learnt",
            tokens_per_ms: 36.0,
            step_ms: 12.0,
            gaps: &[(300, 90)],
            needed: false,
        },
        Case {
            name: "slow servers",
            tokens_per_ms: 12.0,
            step_ms: 12.0,
            gaps: &[(300, 90)],
            needed: true,
        },
        fast,
    ];
    for case in cases {
        let mut pool = LongPromptPool::default();
        for (gap, at_s) in case.gaps {
            pool.on_gap_target(ClockTime::from_millis(at_s * 1_000), Duration::from_millis(*gap));
        }
        let speed = ServerSpeed {
            prefill_tokens_per_ms: case.tokens_per_ms,
            first_event_ms: case.step_ms,
            ..ServerSpeed::default()
        };
        let now = ClockTime::from_millis(100_000);
        assert_eq!(pool.is_needed(now, &speed), case.needed, "{}", case.name);
    }
}

/// Guards against a pool that is too small for the first seconds of a load, and against one prompt that
/// takes most servers.
#[test]
fn pool_has_its_size_soon() {
    struct Case {
        after_ms: u64,
        sizes: std::ops::RangeInclusive<usize>,
    }
    let cases = [
        Case { after_ms: 0, sizes: 1..=3 },
        Case { after_ms: 1_500, sizes: 14..=20 },
        Case { after_ms: 20_000, sizes: 14..=20 },
    ];
    // 200 prompts of 43 ms a second at 20 nodes take 17.2 servers that are half busy with them.
    let mut pool = LongPromptPool::default();
    let mut cases = cases.iter().peekable();
    for number in 0..201 {
        let now = ClockTime::from_millis(50_000 + number * 100);
        pool.on_prompt(now, 43.0);
        if let Some(case) = cases.next_if(|case| case.after_ms == number * 100) {
            let size = pool.size(now, 30, 20);
            assert!(case.sizes.contains(&size), "{size} after {} ms", case.after_ms);
        }
    }
    assert!(cases.next().is_none(), "all cases were played");
}
