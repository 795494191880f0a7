//! Tests of the memory for bodies, with a clock that is advanced by hand.

use carobvane_core::clock::ClockTime;

use super::{BodyBudget, BodyLimits, GrowDecision, are_chunks_too_small, memory_plan::MemoryPlan};

const LIMITS: BodyLimits = BodyLimits { guaranteed_bytes: 1_000, shared_bytes: 100_000 };

const WAIT: GrowDecision = GrowDecision::Wait { has_dropped: false };

fn at(millis: u64) -> ClockTime {
    ClockTime::from_micros(millis * 1_000)
}

/// Guards against small bodies that are refused because large ones take all memory.
#[test]
fn a_small_body_always_fits() {
    let mut budget = BodyBudget::new(LIMITS);
    let large = budget.open(at(0));
    assert_eq!(budget.grow(at(0), large, 40_000), GrowDecision::Granted);
    assert_eq!(budget.grow(at(0), large, 101_000), GrowDecision::Granted);
    assert_eq!(budget.taken(), LIMITS.shared_bytes);
    for _ in 0..100 {
        let small = budget.open(at(0));
        assert_eq!(budget.grow(at(0), small, 1_000), GrowDecision::Granted);
        assert!(budget.finish(small));
    }
    assert_eq!(budget.taken(), LIMITS.shared_bytes);
}

/// Guards against bodies that all take a part and then wait for each other.
#[test]
fn a_new_large_body_waits_while_others_come_to_their_end() {
    let mut budget = BodyBudget::new(LIMITS);
    let (first, second) = (budget.open(at(0)), budget.open(at(0)));
    assert_eq!(budget.grow(at(0), first, 50_000), GrowDecision::Granted);
    assert_eq!(budget.grow(at(0), second, 50_000), WAIT);
    assert_eq!(budget.grow(at(10), first, 90_000), GrowDecision::Granted);
    budget.close(first);
    assert_eq!(budget.grow(at(20), second, 50_000), GrowDecision::Granted);
    budget.close(second);
    assert_eq!(budget.taken(), 0);
}

/// Guards against a node that keeps bodies that stopped short and refuses those that arrive, and
/// against bodies that are ended although they arrive, wait for memory, or are complete.
#[test]
fn bodies_without_progress_are_dropped_first() {
    struct Case {
        name: &'static str,
        /// Bytes that the first body has 900 ms after its first 40,000 bytes.
        later: usize,
        is_complete: bool,
        dropped: bool,
    }
    let cases = [
        Case { name: "stopped", later: 40_000, is_complete: false, dropped: true },
        Case { name: "a byte now and then", later: 40_100, is_complete: false, dropped: true },
        Case { name: "slow", later: 41_024, is_complete: false, dropped: false },
        Case { name: "complete", later: 40_000, is_complete: true, dropped: false },
    ];
    for case in cases {
        let mut budget = BodyBudget::new(LIMITS);
        let first = budget.open(at(0));
        assert_eq!(budget.grow(at(0), first, 40_000), GrowDecision::Granted);
        assert_eq!(budget.grow(at(900), first, case.later), GrowDecision::Granted);
        if case.is_complete {
            assert!(budget.finish(first));
        }
        let second = budget.open(at(900));
        assert_eq!(budget.grow(at(900), second, 60_000), WAIT, "{}", case.name);
        assert!(!budget.is_dropped(first), "{}: not before its time", case.name);
        let wait = GrowDecision::Wait { has_dropped: case.dropped };
        assert_eq!(budget.grow(at(1_100), second, 60_000), wait, "{}", case.name);
        assert_eq!(budget.is_dropped(first), case.dropped, "{}", case.name);
        if case.dropped {
            assert!(!budget.finish(first), "{}", case.name);
            assert_eq!(budget.grow(at(1_100), first, 50_000), GrowDecision::Dropped);
            budget.close(first);
            assert_eq!(budget.grow(at(1_100), second, 51_000), GrowDecision::Granted);
        }
    }
}

/// Guards against bodies that wait for memory and are ended for it.
#[test]
fn a_waiting_body_is_not_without_progress() {
    let mut budget = BodyBudget::new(LIMITS);
    let (first, second) = (budget.open(at(0)), budget.open(at(0)));
    assert_eq!(budget.grow(at(0), first, 30_000), GrowDecision::Granted);
    assert_eq!(budget.grow(at(0), second, 20_000), GrowDecision::Granted);
    assert_eq!(budget.grow(at(0), first, 90_000), WAIT);
    assert_eq!(budget.grow(at(5_000), second, 90_000), WAIT);
    assert!(!budget.is_dropped(first) && !budget.is_dropped(second));
}

/// Guards against clients of token-sized chunks that are refused, and against floods of chunks of a byte.
#[test]
fn only_floods_of_tiny_chunks_are_refused() {
    for (chunks, bytes, refused) in
        [(4_096, 4_096, false), (4_097, 4_097, true), (100_000, 400_000, false), (1, 0, false)]
    {
        assert_eq!(are_chunks_too_small(chunks, bytes), refused, "{chunks} chunks, {bytes} bytes");
    }
}

/// Guards against a division that exceeds the machine's memory, or in which a body of legal size does
/// not fit an idle node.
#[test]
fn division_fits_the_machine() {
    for (megabytes, connections) in [(88, 2_900), (96, 1_875), (96, 200), (512, 2_900), (16, 100)] {
        let plan = MemoryPlan::new(megabytes * 1_000_000, connections);
        let guaranteed = plan.max_connections as usize
            * (plan.bodies.guaranteed_bytes + plan.responses.guaranteed_bytes);
        let all = guaranteed + plan.bodies.shared_bytes + plan.responses.shared_bytes;
        assert!(all <= megabytes * 1_000_000 * 7 / 8, "{megabytes} MB: {plan:?}");
        let budget = BodyBudget::new(plan.bodies);
        assert!(megabytes < 88 || budget.max_body_bytes() >= 4 * 1024 * 1024, "{plan:?}");
        assert!(plan.max_connections <= connections && plan.max_address_connections >= 1);
    }
}
