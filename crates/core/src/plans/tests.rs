//! Limiters of several entries on a queue with a clock turned by hand.

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

const TICK: Duration = Duration::from_millis(10);

/// Entries that exchange messages after one tick.
struct LimiterFleet {
    now: ClockTime,
    limiters: BTreeMap<NodeId, PlanLimiter>,
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

    fn start(&mut self, node: u32, life: u64, version: u64, document: &ListDocument) {
        let life = NodeIncarnation { node: NodeId(node), incarnation: IncarnationId(life) };
        let mut limiter = PlanLimiter::start(self.now, life);
        limiter.apply(self.now, version, document);
        self.limiters.insert(life.node, limiter);
    }

    fn step(&mut self) {
        self.now = self.now + TICK;
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

    fn spend(&mut self, node: u32, tokens: u64, stream: bool) -> Option<PlanReservation> {
        let limiter = self.limiters.get_mut(&NodeId(node))?;
        limiter.try_reserve(self.now, self.plan, tokens, stream).ok()
    }

    /// Offers one request each tick for `time`; returns the times of those admitted.
    fn offer(&mut self, node: u32, time: Duration, each: u64) -> Vec<ClockTime> {
        let end = self.now + time;
        let mut admitted = Vec::new();
        while self.now < end {
            for _ in 0..each {
                admitted.extend(self.spend(node, 0, false).map(|ticket| ticket.at));
            }
            self.step();
        }
        admitted
    }

    fn caps(&mut self, kind: LimitKind) -> u64 {
        let (now, plan) = (self.now, self.plan);
        self.limiters.values_mut().map(|limiter| limiter.usage(now, plan).cap[kind.index()]).sum()
    }
}

fn most_in_a_second(times: &[ClockTime]) -> usize {
    let in_window = |end: &ClockTime| {
        times
            .iter()
            .filter(|time| *time <= end && end.since(**time) < Duration::from_secs(1))
            .count()
    };
    times.iter().map(in_window).max().unwrap_or(0)
}

/// Guards against a window that forgets a use before its end.
#[test]
fn window_never_counts_too_little() {
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

/// Guards against shares that do not add up to the amounts.
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

/// Guards against a plan that is stuck at one entry's share, and against a limit exceeded while
/// units move between entries.
#[test]
fn whole_plan_is_usable_through_one_entry() {
    let nodes: Vec<u32> = (1..=9).collect();
    let mut fleet = LimiterFleet::new(&nodes, limits(900, 0, 0));
    let mut times = fleet.offer(1, Duration::from_secs(5), 20);
    let shift = fleet.now;
    times.extend(fleet.offer(2, Duration::from_secs(5), 20));
    assert!(most_in_a_second(&times) <= 900, "{}", most_in_a_second(&times));
    for (name, from) in
        [("first", shift - Duration::from_secs(3)), ("shifted", shift + Duration::from_secs(2))]
    {
        let window =
            |time: &&ClockTime| **time >= from && time.since(from) < Duration::from_secs(2);
        let admitted = times.iter().filter(window).count();
        assert!(admitted >= 1_710, "{name}: {admitted} of 1800 in two seconds");
    }
}

/// Guards against a restarted entry that uses units which its earlier life spent or lent.
#[test]
fn restarted_entry_waits_and_borrows() {
    let nodes: Vec<u32> = (1..=3).collect();
    let document = document(&nodes, limits(30, 0, 30));
    let mut fleet = LimiterFleet::new(&nodes, limits(30, 0, 30));
    let streams: Vec<_> = (0..30)
        .filter_map(|_| {
            fleet.run(Duration::from_millis(500));
            fleet.spend(1, 0, true)
        })
        .collect();
    assert_eq!(streams.len(), 30);
    fleet.start(2, 2, 1, &document);
    fleet.run(Duration::from_secs(20));
    assert!(fleet.spend(2, 0, true).is_none(), "units of open streams were used again");
    assert_eq!(fleet.caps(LimitKind::Requests), 30);
    for ticket in streams {
        fleet.limiters.get_mut(&NodeId(1)).unwrap().settle(fleet.now, ticket, 0);
    }
    fleet.run(Duration::from_secs(4));
    assert!(fleet.spend(2, 0, true).is_some(), "units of ended streams did not come back");
    assert_eq!(fleet.caps(LimitKind::Streams), 30);
}

/// Guards against a dead borrower's stream unit that is used while its stream may be open, and
/// one that never comes back.
#[test]
fn dead_borrowers_stream_units_return_after_the_longest_stream() {
    let nodes = [1, 2];
    let mut fleet = LimiterFleet::new(&nodes, limits(100, 0, 2));
    assert!(fleet.spend(1, 0, true).is_some());
    fleet.spend(1, 0, true);
    fleet.run(Duration::from_secs(1));
    assert!(fleet.spend(1, 0, true).is_some(), "second unit was not lent");
    fleet.limiters.remove(&NodeId(1));
    fleet.run(Duration::from_secs(60));
    assert!(fleet.spend(2, 0, true).is_none());
    fleet.run(MAX_STREAM_TIME);
    assert!(fleet.spend(2, 0, true).is_some());
}

/// Guards against a version change that lets two entries use the same units.
#[test]
fn moved_home_waits_for_the_entry_that_loses() {
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
    assert_eq!(fleet.caps(LimitKind::Requests), 90, "units were doubled before the confirmation");
    let now = fleet.now;
    fleet.limiters.get_mut(&home).unwrap().apply(now, 2, &new);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.caps(LimitKind::Requests), 90);
    assert_eq!(fleet.limiters.get_mut(&home).unwrap().usage(now, fleet.plan).cap[0], 0);
}

/// Guards against a loan from before a version that is used beyond the lowered amount, also when
/// its answer arrives after the version.
#[test]
fn lowered_amount_ends_loans() {
    for late in [false, true] {
        let mut fleet = LimiterFleet::new(&[1, 2], limits(12, 0, 0));
        for _ in 0..12 {
            fleet.spend(1, 0, false);
        }
        let steps = if late { 2 } else { 10 };
        (0..steps).for_each(|_| fleet.step());
        let lowered = document(&[1, 2], limits(6, 0, 0));
        let now = fleet.now;
        fleet.limiters.values_mut().for_each(|limiter| limiter.apply(now, 2, &lowered));
        for _ in 0..100 {
            assert!(fleet.caps(LimitKind::Requests) <= 6, "late {late}");
            fleet.step();
        }
    }
}

/// Guards against units that stay at an entry which leaves.
#[test]
fn draining_entry_hands_its_units_over() {
    let nodes: Vec<u32> = (1..=3).collect();
    let mut fleet = LimiterFleet::new(&nodes, limits(300, 0, 0));
    fleet.offer(1, Duration::from_secs(3), 4);
    let now = fleet.now;
    fleet.limiters.get_mut(&NodeId(1)).unwrap().drain(now);
    let times = fleet.offer(2, Duration::from_secs(5), 4);
    let late = times.iter().filter(|time| time.since(now) >= Duration::from_secs(3)).count();
    assert!(late >= 570, "{late} of 600");
}
