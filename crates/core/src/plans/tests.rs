//! Tests of the limiters of several entries, with a simulated clock and a simulated network.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::*;
use crate::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
    lists::{EntryVm, ListDocument, PlanEntry},
};

/// Time by which one step advances the clock.
const STEP: Duration = Duration::from_millis(10);

/// Limiters that exchange messages; each message arrives after one step.
struct LimiterFleet {
    now: ClockTime,
    limiters: BTreeMap<NodeId, PlanLimiter>,
    /// Messages in flight, with sender and receiver.
    queue: VecDeque<(NodeId, NodeId, LimiterMessage)>,
    plan: PlanId,
}

fn document(nodes: &[u32], limits: PlanLimits) -> ListDocument {
    let entry = |node: u32| EntryVm {
        node: NodeId(node),
        http_address: String::new(),
        peer_address: String::new(),
        data_centre: "one".to_string(),
    };
    ListDocument {
        plans: [("gold".to_string(), PlanEntry { limits, weight: 1 })].into(),
        entries: nodes.iter().map(|node| (format!("e{node}"), entry(*node))).collect(),
        ..ListDocument::default()
    }
}

fn limits(requests: u64, tokens: u64, streams: u64) -> PlanLimits {
    PlanLimits {
        requests_per_second: requests,
        tokens_per_minute: tokens,
        concurrent_streams: streams,
    }
}

impl LimiterFleet {
    fn new(nodes: &[u32], limits: PlanLimits) -> LimiterFleet {
        let now = ClockTime::from_millis(1);
        let mut fleet = LimiterFleet {
            now,
            limiters: BTreeMap::new(),
            queue: VecDeque::new(),
            plan: PlanId::from_name("gold"),
        };
        for &node in nodes {
            fleet.start(node, 1, 1, &document(nodes, limits));
        }
        fleet.run(Duration::from_secs(70));
        fleet
    }

    fn start(&mut self, node: u32, incarnation: u64, version: u64, document: &ListDocument) {
        let own = NodeIncarnation { node: NodeId(node), incarnation: IncarnationId(incarnation) };
        let mut limiter = PlanLimiter::start(self.now, own);
        limiter.apply(self.now, version, document);
        self.limiters.insert(own.node, limiter);
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for _ in 0..self.queue.len() {
            let (from, to, message) = self.queue.pop_front().unwrap();
            let Some(limiter) = self.limiters.get_mut(&to) else { continue };
            let effects = limiter.on_message(self.now, from, message);
            self.send(to, effects);
        }
        for node in self.limiters.keys().copied().collect::<Vec<_>>() {
            let effects = self.limiters.get_mut(&node).unwrap().on_timer(self.now);
            self.send(node, effects);
        }
    }

    fn send(&mut self, from: NodeId, effects: Vec<LimiterEffect>) {
        for effect in effects {
            if let LimiterEffect::Send { to, message } = effect {
                self.queue.push_back((from, to, message));
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn reserve(&mut self, node: u32, tokens: u64, stream: bool) -> Option<PlanReservation> {
        let limiter = self.limiters.get_mut(&NodeId(node))?;
        limiter.try_reserve(self.now, self.plan, tokens, stream).ok()
    }

    /// Sends `per_step` requests in each step for `time`. Returns the times of the admitted ones.
    fn send_requests(&mut self, node: u32, time: Duration, per_step: u64) -> Vec<ClockTime> {
        let end = self.now + time;
        let mut admitted = Vec::new();
        while self.now < end {
            for _ in 0..per_step {
                admitted.extend(self.reserve(node, 0, false).map(|reservation| reservation.at));
            }
            self.step();
        }
        admitted
    }

    /// Returns the sum of the units that all entries may use.
    fn total_cap(&mut self, kind: LimitKind) -> u64 {
        let (now, plan) = (self.now, self.plan);
        self.limiters.values_mut().map(|limiter| limiter.usage(now, plan).cap[kind.index()]).sum()
    }
}

/// Returns the largest number of `times` in any second.
fn max_in_any_second(times: &[ClockTime]) -> usize {
    let in_window = |end: &ClockTime| {
        times
            .iter()
            .filter(|time| *time <= end && end.since(**time) < Duration::from_secs(1))
            .count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against a window in which a use stops counting too early.
#[test]
fn window_counts_each_use_long_enough() {
    for start in (0..3_000).step_by(7) {
        let mut window = UsageWindow::<64>::new(Duration::from_secs(1));
        let at = ClockTime::from_millis(start);
        window.add(at, 3);
        for (later, expected) in [(0, 3), (500, 3), (999, 3), (1_017, 0), (9_000, 0)] {
            let now = ClockTime::from_millis(start + later);
            assert_eq!(window.total(now), expected, "start {start} later {later}");
        }
        let mut window = UsageWindow::<64>::new(Duration::from_secs(1));
        window.add(at, 3);
        window.refund(at, at, 2);
        assert_eq!(window.total(at), 1);
        let wait = window.time_until_freed(at, 1).unwrap();
        assert_eq!(window.total(at + wait), 0, "start {start}");
    }
}

/// Guards against shares of home entries that do not add up to the amounts of the plan.
#[test]
fn home_shares_add_up() {
    let nodes: Vec<u32> = (1..=30).collect();
    for (count, expected) in [(1, 1), (5, 5), (9, 9), (30, MAX_HOMES)] {
        for amount in [0, 1, 8, 9, 100] {
            let limits = limits(amount, amount * 3, amount);
            let homes = home_entries(&document(&nodes[..count], limits), "gold");
            assert_eq!(homes.len(), expected);
            let shares =
                (0..homes.len()).map(|position| home_share(&limits, homes.len(), position));
            let total = shares.fold([0; 3], |sum, share| [0, 1, 2].map(|at| sum[at] + share[at]));
            assert_eq!(total, [amount, amount * 3, amount]);
        }
    }
}

/// Guards against a plan that cannot use more than one entry's share when all its requests arrive
/// at that entry, and against exceeding the limit while units move between entries.
#[test]
fn whole_plan_is_usable_through_one_entry() {
    let nodes: Vec<u32> = (1..=9).collect();
    let mut fleet = LimiterFleet::new(&nodes, limits(900, 0, 0));
    let mut times = fleet.send_requests(1, Duration::from_secs(5), 20);
    let changed_at = fleet.now;
    times.extend(fleet.send_requests(2, Duration::from_secs(5), 20));
    assert!(max_in_any_second(&times) <= 900, "{}", max_in_any_second(&times));
    for (name, from) in [
        ("entry 1", changed_at - Duration::from_secs(3)),
        ("entry 2", changed_at + Duration::from_secs(2)),
    ] {
        let window =
            |time: &&ClockTime| **time >= from && time.since(from) < Duration::from_secs(2);
        let admitted = times.iter().filter(window).count();
        assert!(admitted >= 1_710, "{name}: {admitted} of 1800 in two seconds");
    }
}

/// Guards against a restarted entry that uses units which its earlier incarnation used or lent, and
/// against units that it never gets back.
#[test]
fn restarted_entry_waits_for_its_units() {
    let nodes: Vec<u32> = (1..=3).collect();
    let document = document(&nodes, limits(30, 0, 30));
    let mut fleet = LimiterFleet::new(&nodes, limits(30, 0, 30));
    let streams: Vec<_> = (0..30)
        .filter_map(|_| {
            fleet.run(Duration::from_millis(500));
            fleet.reserve(1, 0, true)
        })
        .collect();
    assert_eq!(streams.len(), 30);
    fleet.start(2, 2, 1, &document);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.reserve(2, 0, true).is_none(), "units of open streams were used again");
    assert_eq!(fleet.total_cap(LimitKind::Requests), 30);
    for reservation in streams {
        fleet.limiters.get_mut(&NodeId(1)).unwrap().settle(fleet.now, reservation, 0);
    }
    fleet.run(Duration::from_secs(4));
    assert!(fleet.reserve(2, 0, true).is_some(), "units of ended streams did not come back");
    assert_eq!(fleet.total_cap(LimitKind::Streams), 30);
}

/// Guards against a stream unit that was lent to a crashed entry and is used again while a stream
/// may still count there, or that never returns to its lender.
#[test]
fn stream_units_of_crashed_borrower_return_after_longest_stream() {
    let nodes = [1, 2];
    let mut fleet = LimiterFleet::new(&nodes, limits(100, 0, 2));
    assert!(fleet.reserve(1, 0, true).is_some());
    fleet.reserve(1, 0, true);
    fleet.run(Duration::from_secs(1));
    assert!(fleet.reserve(1, 0, true).is_some(), "the second unit was not lent");
    fleet.limiters.remove(&NodeId(1));
    fleet.run(Duration::from_secs(60));
    assert!(fleet.reserve(2, 0, true).is_none());
    fleet.run(MAX_STREAM_TIME);
    assert!(fleet.reserve(2, 0, true).is_some());
}

/// Guards against a change of the list version that lets two entries use the same units: the
/// entries that gain units must wait until the one that loses them has activated the version.
#[test]
fn new_home_waits_for_confirmation_of_old_home() {
    let all: Vec<u32> = (1..=12).collect();
    let amount = limits(90, 0, 0);
    let old = document(&all, amount);
    let home = home_entries(&old, "gold")[0];
    let left: Vec<u32> = all.iter().copied().filter(|node| *node != home.0).collect();
    let new = document(&left, amount);
    let mut fleet = LimiterFleet::new(&all, amount);
    for node in &left {
        let now = fleet.now;
        fleet.limiters.get_mut(&NodeId(*node)).unwrap().apply(now, 2, &new);
    }
    fleet.run(Duration::from_secs(100));
    assert_eq!(
        fleet.total_cap(LimitKind::Requests),
        90,
        "units were doubled before the confirmation"
    );
    let now = fleet.now;
    fleet.limiters.get_mut(&home).unwrap().apply(now, 2, &new);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.total_cap(LimitKind::Requests), 90);
    assert_eq!(fleet.limiters.get_mut(&home).unwrap().usage(now, fleet.plan).cap[0], 0);
}

/// Guards against a loan that lets entries exceed the amount of a plan after a list version has
/// lowered it, also if the grant arrives after the version was activated.
#[test]
fn lowered_amount_ends_loans() {
    for late in [false, true] {
        let mut fleet = LimiterFleet::new(&[1, 2], limits(12, 0, 0));
        for _ in 0..12 {
            fleet.reserve(1, 0, false);
        }
        let steps = if late { 2 } else { 10 };
        (0..steps).for_each(|_| fleet.step());
        let lowered = document(&[1, 2], limits(6, 0, 0));
        let now = fleet.now;
        fleet.limiters.values_mut().for_each(|limiter| limiter.apply(now, 2, &lowered));
        for _ in 0..100 {
            assert!(fleet.total_cap(LimitKind::Requests) <= 6, "late {late}");
            fleet.step();
        }
    }
}

/// Guards against unused units that stay at an entry while it drains.
#[test]
fn draining_entry_lends_its_units() {
    let nodes: Vec<u32> = (1..=3).collect();
    let mut fleet = LimiterFleet::new(&nodes, limits(300, 0, 0));
    fleet.send_requests(1, Duration::from_secs(3), 4);
    let now = fleet.now;
    fleet.limiters.get_mut(&NodeId(1)).unwrap().drain(now);
    let times = fleet.send_requests(2, Duration::from_secs(5), 4);
    let late = times.iter().filter(|time| time.since(now) >= Duration::from_secs(3)).count();
    assert!(late >= 570, "{late} of 600");
}
