//! A simulated fleet of entries that exchange messages over an in-process queue.

use std::time::{Duration, Instant};

use carobvane_core::{
    clock::{ClockTime, TimerQueue},
    ids::{IncarnationId, NodeId, NodeIncarnation},
    lists::{
        BackendServer, EntryVm, KeyValueReport, ListDelta, ListDocument, ListReplicator,
        ListSnapshot, ListVersion, PlanEntry, ReplicationEffect, ServerRole,
    },
    membership::{EntryDirectory, FailureDetector, MemberEffect, ProbePayload},
    plans::{LimiterEffect, PlanId, PlanLimiter, PlanLimits, PlanReservation},
};
use carobvane_proto::peer::{PeerMessage, encode_frame};
use rand::{SeedableRng, rngs::SmallRng};

use super::{RunValue, key_value};

const MESSAGE_LATENCY: Duration = Duration::from_millis(2);
/// Simulated time that is measured; it contains three list changes.
const MEASURED_DURATION: Duration = Duration::from_millis(10_800);
const WARM_UP_DURATION: Duration = Duration::from_secs(4);
/// Interval between list changes, which makes 24,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(3_600);
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(10);
const STREAM_DURATION: Duration = Duration::from_millis(1_500);
/// Requests per second of each plan and tokens per request, as expected in two years.
const PLAN_RATE: f64 = 71.0;
const REQUEST_TOKENS: u64 = 435;
/// Fractions of a plan's requests that arrive at the plan's three highest-ranked entries.
const ENTRY_FRACTIONS: [f64; 3] = [0.6, 0.3, 0.1];
/// Numbers expected in two years. Servers and plans are scaled down for fewer nodes.
const TARGET_NODES: usize = 780;
const TARGET_SERVERS: usize = 12_000;
const TARGET_PLANS: usize = 280;
const START_TIME: ClockTime = ClockTime::from_millis(100_000);

/// A part of the control logic whose cost is measured separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Component {
    /// Membership: probes and member states.
    Members,
    /// Replication of the lists.
    Lists,
    /// Distribution of the units of plans.
    Shares,
}

#[derive(Debug, Clone, Copy, Default)]
struct ComponentTotal {
    bytes: u64,
    messages: u64,
    time: Duration,
}

enum FleetEvent {
    Deliver { from: usize, to: usize, message: PeerMessage },
    Wake(usize),
    Traffic,
    Settle(usize, PlanReservation),
    ListChange,
}

struct FleetNode {
    detector: FailureDetector,
    replicator: ListReplicator,
    limiter: PlanLimiter,
    wake_at: ClockTime,
}

/// All entries of the simulated fleet with their message queue and totals.
pub struct BenchFleet {
    now: ClockTime,
    nodes: Vec<FleetNode>,
    queue: TimerQueue<FleetEvent>,
    rng: SmallRng,
    totals: [ComponentTotal; 3],
    latest_lists: ListSnapshot,
    /// The three highest-ranked entries of each plan, with the number of requests due at each.
    traffic: Vec<(PlanId, [usize; 3], [f64; 3])>,
    offered_requests: u64,
    admitted_requests: u64,
    change_count: u64,
    key_value_reads: u64,
    changed_at: ClockTime,
    max_change_delay: Duration,
}

impl BenchFleet {
    /// Simulates a fleet of `nodes` entries and returns the measured values. Rates are per node.
    pub(super) fn measure(nodes: usize, seed: u64, live_bytes: fn() -> usize) -> Vec<RunValue> {
        let before = live_bytes();
        let mut fleet = BenchFleet::new(nodes, seed);
        fleet.run(WARM_UP_DURATION);
        fleet.totals = Default::default();
        (fleet.offered_requests, fleet.admitted_requests, fleet.key_value_reads) = (0, 0, 0);
        fleet.queue.schedule(fleet.now, FleetEvent::ListChange);
        fleet.run(MEASURED_DURATION);
        let held = live_bytes().saturating_sub(before);
        fleet.values(held, nodes, seed)
    }

    fn values(&self, held: usize, nodes: usize, seed: u64) -> Vec<RunValue> {
        let node_seconds = nodes as f64 * MEASURED_DURATION.as_secs_f64();
        let mut values = Vec::new();
        for component in [Component::Members, Component::Lists, Component::Shares] {
            let total = self.totals[component as usize];
            let [bytes, messages, time] = component.names();
            let target = if component == Component::Shares { 512.0 } else { 1_024.0 };
            let rate = total.bytes as f64 / node_seconds;
            values.push(RunValue::new(bytes, "B/s", rate).with_target(target));
            values.push(RunValue::new(messages, "1/s", total.messages as f64 / node_seconds));
            let percent = total.time.as_secs_f64() / node_seconds * 100.0;
            values.push(RunValue::new(time, "% core", percent));
        }
        let kilobytes = held as f64 / nodes as f64 / 1_024.0;
        values.push(RunValue::new("memory with lists", "KiB", kilobytes));
        let admitted = self.admitted_requests as f64 / self.offered_requests.max(1) as f64 * 100.0;
        values.push(RunValue::new("requests admitted at 80 % of the limits", "%", admitted));
        let ms = self.max_change_delay.as_secs_f64() * 1_000.0;
        values.push(RunValue::new("list change at the last node", "ms", ms).with_target(8_000.0));
        let reads = self.key_value_reads as f64 / self.change_count.max(1) as f64;
        values.push(RunValue::new("service reads a change", "1", reads).with_target(5.0));
        values.extend(key_value::measure(nodes, seed, &self.latest_lists));
        values
    }

    fn new(count: usize, seed: u64) -> BenchFleet {
        let document = document(count);
        let lists = ListSnapshot { version: ListVersion::first(1, &document), document };
        let mut rng = SmallRng::seed_from_u64(seed);
        let listed: Vec<NodeId> = (0..count).map(|node| NodeId(node as u32)).collect();
        let mut nodes = Vec::with_capacity(count);
        for &node in &listed {
            let own = NodeIncarnation { node, incarnation: IncarnationId(1_700_000_000_000_000) };
            let mut detector = FailureDetector::start(START_TIME, own, &mut rng);
            detector.set_listed_nodes(&listed);
            let watches = EntryDirectory::new(&lists.document, detector.table()).is_watcher(node);
            let mut replicator = ListReplicator::start(START_TIME, watches, &mut rng);
            replicator
                .on_key_value_report(KeyValueReport::Snapshot(Box::new(lists.clone())), &mut rng);
            replicator.set_peers(listed.iter().copied().filter(|peer| *peer != node).collect());
            let mut limiter = PlanLimiter::start_without_quarantine(own);
            limiter.apply(START_TIME, 1, &lists.document);
            nodes.push(FleetNode { detector, replicator, limiter, wake_at: ClockTime::ZERO });
        }
        let ranked = |name: &str| {
            let directory = EntryDirectory::new(&lists.document, nodes[0].detector.table());
            let entries = directory.rank_entries(name);
            [0, 1, 2].map(|rank| entries[rank % entries.len()].node.0 as usize)
        };
        let plans = lists.document.plans.keys();
        let traffic = plans.map(|name| (PlanId::from_name(name), ranked(name), [0.0; 3])).collect();
        let mut fleet = BenchFleet {
            now: START_TIME,
            nodes,
            queue: TimerQueue::new(),
            rng,
            totals: Default::default(),
            latest_lists: lists,
            traffic,
            offered_requests: 0,
            admitted_requests: 0,
            change_count: 0,
            key_value_reads: 0,
            changed_at: START_TIME,
            max_change_delay: Duration::ZERO,
        };
        (0..count).for_each(|node| fleet.schedule_wake(node));
        fleet.queue.schedule(START_TIME, FleetEvent::Traffic);
        fleet
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(due) = self.queue.next_due().filter(|due| *due <= end) {
            self.now = self.now.max(due);
            let Some(event) = self.queue.pop_due(self.now) else { continue };
            match event {
                FleetEvent::Deliver { from, to, message } => self.deliver(from, to, message),
                FleetEvent::Wake(node) => self.on_timer(node),
                FleetEvent::Traffic => self.offer_traffic(),
                FleetEvent::Settle(node, reservation) => {
                    let now = self.now;
                    self.timed(node, Component::Shares, |node, _| {
                        node.limiter.settle(now, reservation, REQUEST_TOKENS);
                    });
                }
                FleetEvent::ListChange => self.change_lists(),
            }
        }
        self.now = end;
    }

    fn timed<T>(
        &mut self,
        index: usize,
        component: Component,
        handle: impl FnOnce(&mut FleetNode, &mut SmallRng) -> T,
    ) -> T {
        let started = Instant::now();
        let result = handle(&mut self.nodes[index], &mut self.rng);
        self.totals[component as usize].time += started.elapsed();
        result
    }

    fn schedule_wake(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let dues = [node.detector.next_due(), node.replicator.next_due(), node.limiter.next_due()];
        let Some(due) = dues.into_iter().flatten().min() else { return };
        if node.wake_at <= self.now || due < node.wake_at {
            node.wake_at = due;
            self.queue.schedule(due, FleetEvent::Wake(index));
        }
    }

    fn on_timer(&mut self, index: usize) {
        let now = self.now;
        let effects = self.timed(index, Component::Members, |node, rng| {
            node.detector
                .set_payload(ProbePayload { lists: node.replicator.summary(), load: [7; 16] });
            node.detector.on_timer(now, rng)
        });
        self.apply_member_effects(index, effects);
        let effects =
            self.timed(index, Component::Lists, |node, rng| node.replicator.on_timer(now, rng));
        self.apply_list_effects(index, effects);
        let effects = self.timed(index, Component::Shares, |node, _| node.limiter.on_timer(now));
        self.apply_limiter_effects(index, effects);
        self.nodes[index].wake_at = ClockTime::ZERO;
        self.schedule_wake(index);
    }

    fn deliver(&mut self, from: usize, to: usize, message: PeerMessage) {
        let (now, peer) = (self.now, NodeId(from as u32));
        match message {
            PeerMessage::Members(message) => {
                let effects = self.timed(to, Component::Members, |node, rng| {
                    node.detector.on_message(now, peer, message, rng)
                });
                self.apply_member_effects(to, effects);
            }
            PeerMessage::Lists(message) => {
                let effects = self.timed(to, Component::Lists, |node, rng| {
                    node.replicator.on_message(now, peer, message, rng)
                });
                self.apply_list_effects(to, effects);
            }
            PeerMessage::Shares(message) => {
                let effects = self.timed(to, Component::Shares, |node, _| {
                    node.limiter.on_message(now, peer, message)
                });
                self.apply_limiter_effects(to, effects);
            }
            _ => {}
        }
        self.schedule_wake(to);
    }

    fn send(&mut self, component: Component, from: usize, to: NodeId, message: PeerMessage) {
        let started = Instant::now();
        let bytes = encode_frame(&message).map_or(0, |frame| frame.len());
        let total = &mut self.totals[component as usize];
        total.time += started.elapsed();
        total.bytes += bytes as u64;
        total.messages += 1;
        let event = FleetEvent::Deliver { from, to: to.0 as usize, message };
        self.queue.schedule(self.now + MESSAGE_LATENCY, event);
    }

    fn apply_member_effects(&mut self, from: usize, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, message } => {
                    self.send(Component::Members, from, to, PeerMessage::Members(message));
                }
                MemberEffect::PayloadReceived { from: peer, payload } => {
                    let now = self.now;
                    let effects = self.timed(from, Component::Lists, |node, _| {
                        node.replicator.on_summary(now, peer, payload.lists)
                    });
                    self.apply_list_effects(from, effects);
                }
                _ => {}
            }
        }
    }

    fn apply_list_effects(&mut self, from: usize, effects: Vec<ReplicationEffect>) {
        for effect in effects {
            match effect {
                ReplicationEffect::Send { to, message } => {
                    self.send(Component::Lists, from, to, PeerMessage::Lists(message));
                }
                ReplicationEffect::Activate(version) => {
                    let now = self.now;
                    self.max_change_delay = self.max_change_delay.max(now.since(self.changed_at));
                    self.timed(from, Component::Shares, |node, _| {
                        let document = node.replicator.replica().document();
                        node.limiter.apply(now, version.number, document);
                    });
                }
                ReplicationEffect::ReadKeyValue => self.key_value_reads += 1,
                _ => {}
            }
        }
    }

    fn apply_limiter_effects(&mut self, from: usize, effects: Vec<LimiterEffect>) {
        for effect in effects {
            if let LimiterEffect::Send { to, message } = effect {
                self.send(Component::Shares, from, to, PeerMessage::Shares(message));
            }
        }
    }

    fn offer_traffic(&mut self) {
        for index in 0..self.traffic.len() {
            for rank in 0..ENTRY_FRACTIONS.len() {
                let (plan, entries, due) = &mut self.traffic[index];
                due[rank] += PLAN_RATE * ENTRY_FRACTIONS[rank] * TRAFFIC_INTERVAL.as_secs_f64();
                let count = due[rank] as u64;
                due[rank] -= count as f64;
                let (plan, node, now) = (*plan, entries[rank], self.now);
                for _ in 0..count {
                    self.offered_requests += 1;
                    let result = self.timed(node, Component::Shares, |node, _| {
                        node.limiter.try_reserve(now, plan, REQUEST_TOKENS, true)
                    });
                    if let Ok(reservation) = result {
                        self.admitted_requests += 1;
                        let end = now + STREAM_DURATION;
                        self.queue.schedule(end, FleetEvent::Settle(node, reservation));
                    }
                }
                self.schedule_wake(node);
            }
        }
        self.queue.schedule(self.now + TRAFFIC_INTERVAL, FleetEvent::Traffic);
    }

    /// Changes one server in the lists and reports the change to the watchers.
    fn change_lists(&mut self) {
        self.change_count += 1;
        self.changed_at = self.now;
        let mut document = self.latest_lists.document.clone();
        let index = self.change_count as usize % document.servers.len();
        if let Some(server) = document.servers.values_mut().nth(index) {
            server.slots += 1;
        }
        let delta = ListDelta::next(&self.latest_lists, &document);
        self.latest_lists = ListSnapshot { version: delta.to, document };
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            let directory = EntryDirectory::new(&self.latest_lists.document, node.detector.table());
            if directory.is_watcher(NodeId(index as u32)) {
                let report = KeyValueReport::Change(Box::new(delta.clone()));
                let effects = self.timed(index, Component::Lists, |node, rng| {
                    node.replicator.on_key_value_report(report, rng)
                });
                self.apply_list_effects(index, effects);
            }
        }
        self.queue.schedule(self.now + CHANGE_INTERVAL, FleetEvent::ListChange);
    }
}

fn document(nodes: usize) -> ListDocument {
    let data_centres = key_value::data_centre_count(nodes);
    let scaled = |large: usize, least: usize| (large * nodes / TARGET_NODES).max(least);
    let centre = |index: usize| format!("dc-{}", index % data_centres);
    let limits = PlanLimits {
        requests_per_second: (PLAN_RATE / 0.8) as u64,
        tokens_per_minute: (PLAN_RATE / 0.8 * 60.0) as u64 * REQUEST_TOKENS,
        concurrent_streams: (PLAN_RATE / 0.8 * STREAM_DURATION.as_secs_f64()) as u64,
    };
    let entry = |index: usize| EntryVm {
        node: NodeId(index as u32),
        http_address: format!("10.0.{}.{}:8080", index / 250, index % 250),
        peer_address: format!("10.0.{}.{}:7080", index / 250, index % 250),
        data_centre: centre(index),
    };
    let server = |index: usize| BackendServer {
        address: format!("10.1.{}.{}:8000", index / 250, index % 250),
        role: ServerRole::Engine(format!("model-{}", index % 3)),
        data_centre: centre(index),
        checks_fencing: true,
        slots: 8,
    };
    let plan = |index: usize| (format!("plan-{index}"), PlanEntry { limits, weight: 1 });
    ListDocument {
        plans: (0..scaled(TARGET_PLANS, 8)).map(plan).collect(),
        servers: (0..scaled(TARGET_SERVERS, 18))
            .map(|index| (format!("server-{index}"), server(index)))
            .collect(),
        entries: (0..nodes).map(|index| (format!("entry-{index}"), entry(index))).collect(),
        ..ListDocument::default()
    }
}
