//! A fleet on a clock that is turned by hand, whose nodes spread notices over a lossy network.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashSet},
    time::Duration,
};

use carobvane_core::{
    clock::ClockTime,
    traffic::{DuplicateFilter, HEARTBEAT_INTERVAL, RelayPeer, RelayPlan, RelayTable, RelayTarget},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of data centres.
const DATA_CENTRES: usize = 6;
/// Delay of a datagram within a data centre and between two.
const NEAR_DELAY: Duration = Duration::from_micros(300);
const FAR_DELAY: Duration = Duration::from_millis(2);
/// Notices that a node batches wait for this long.
const BATCH_DELAY: Duration = Duration::from_millis(40);
/// Segments of a hundred bytes that fit into a datagram.
const MAX_SEGMENTS: usize = 11;
/// Batched notices of a node in a second.
const NOTICES_PER_SECOND: f64 = 8.0;
/// When the fault begins; all nodes have heard each other by then.
const FAULT_AT: Duration = Duration::from_millis(1_500);
/// Urgent notices are sent from then on, and repeated twice.
const NOTICES_FROM: Duration = Duration::from_millis(1_700);
const NOTICES_UNTIL: Duration = Duration::from_millis(2_300);
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);
const REPETITIONS: u32 = 2;
const END: Duration = Duration::from_millis(3_800);
/// Time in which an urgent notice should reach all nodes.
const TIME_LIMIT: Duration = Duration::from_millis(300);
const URGENT_NOTICES: usize = 30;

/// How notices are spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spreading {
    /// Each node sends to all others.
    Direct,
    /// By way of relays.
    Relayed,
}

/// What happens to the first relay of every data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// It ends.
    Dead,
    /// It stands still until the end.
    Frozen,
    /// It sends but receives nothing.
    CutOneWay,
    /// All nodes start again.
    AllRestarted,
}

/// A fleet and what it goes through.
#[derive(Debug, Clone, Copy)]
pub struct FleetSetup {
    pub nodes: usize,
    pub spreading: Spreading,
    pub loss: f64,
    pub fault: Fault,
}

impl FleetSetup {
    pub fn quiet(nodes: usize, spreading: Spreading) -> FleetSetup {
        FleetSetup { nodes, spreading, loss: 0.0, fault: Fault::None }
    }
}

/// What a simulation shows.
#[derive(Debug, Clone, Copy)]
pub struct SimulationOutcome {
    /// Datagrams that a node sends and receives in a second, on average.
    pub datagrams_per_node: f64,
    /// Share of the urgent notices that reach all nodes in touch in time.
    pub complete: f64,
    /// The same once their repetitions have arrived.
    pub complete_after_repetitions: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    Receiver,
    DataCentre,
    Fleet,
}

/// A notice on its way; `urgent` is the number of an urgent one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Segment {
    origin: usize,
    number: u64,
    urgent: Option<usize>,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Create { node: usize, urgent: Option<usize> },
    Flush { node: usize },
    Heartbeat { node: usize },
    Deliver { from: usize, to: usize, scope: Scope, segments: Vec<Segment> },
}

struct Node {
    table: RelayTable,
    filter: DuplicateFilter,
    own: Vec<Segment>,
    relayed: Vec<(Scope, Segment)>,
    is_flush_due: bool,
    next_number: u64,
}

struct Simulation {
    setup: FleetSetup,
    rng: SmallRng,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    events: u64,
    nodes: Vec<Node>,
    peers: Vec<RelayPeer>,
    faulty: HashSet<usize>,
    datagrams: u64,
    /// When each urgent notice was first sent, and when it reached each node.
    sent_at: BTreeMap<usize, Duration>,
    reached_at: BTreeMap<usize, BTreeMap<usize, Duration>>,
}

fn clock(at: Duration) -> ClockTime {
    ClockTime::from_millis(1_000) + at
}

fn peer(index: usize, incarnation: u64, known_since: Duration) -> RelayPeer {
    let data_centre = format!("dc{}", index % DATA_CENTRES);
    let link_mbps = if index < 3 * DATA_CENTRES { 200 } else { 20 };
    let number = incarnation + index as u64;
    RelayPeer::new(&format!("n{index}"), number, &data_centre, link_mbps, clock(known_since))
}

/// Plays a history; the same setup always gives the same one.
pub fn simulate(setup: &FleetSetup) -> SimulationOutcome {
    let mut simulation = Simulation::new(*setup);
    simulation.run();
    simulation.outcome()
}

impl Simulation {
    fn new(setup: FleetSetup) -> Simulation {
        let peers = (0..setup.nodes).map(|index| peer(index, 0, Duration::ZERO)).collect();
        let mut simulation = Simulation {
            setup,
            rng: SmallRng::seed_from_u64(7),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: 0,
            nodes: (0..setup.nodes).map(|_| new_node()).collect(),
            peers,
            faulty: HashSet::new(),
            datagrams: 0,
            sent_at: BTreeMap::new(),
            reached_at: BTreeMap::new(),
        };
        simulation.schedule_all();
        simulation
    }

    fn schedule_all(&mut self) {
        let interval = Duration::from_secs_f64(1.0 / NOTICES_PER_SECOND);
        for node in 0..self.setup.nodes {
            let mut at = interval.mul_f64(self.rng.random());
            while at < END {
                self.push(at, Event::Create { node, urgent: None });
                at += interval;
            }
            let at = HEARTBEAT_INTERVAL.mul_f64(self.rng.random());
            self.push(at, Event::Heartbeat { node });
        }
        for urgent in 0..URGENT_NOTICES {
            let node = self.rng.random_range(3 * DATA_CENTRES..self.setup.nodes);
            let first = self.rng.random_range(NOTICES_FROM..NOTICES_UNTIL);
            self.sent_at.insert(urgent, first);
            for repetition in 0..=REPETITIONS {
                let at = first + REPEAT_INTERVAL * repetition;
                self.push(at, Event::Create { node, urgent: Some(urgent) });
            }
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn run(&mut self) {
        let mut has_failed = false;
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at >= END {
                break;
            }
            self.now = at;
            if at >= FAULT_AT && !has_failed {
                has_failed = true;
                self.begin_fault();
            }
            self.handle(event);
        }
    }

    fn begin_fault(&mut self) {
        match self.setup.fault {
            Fault::None => {}
            Fault::AllRestarted => {
                let now = self.now;
                let nodes = 0..self.setup.nodes;
                self.peers = nodes.map(|index| peer(index, 1_000_000, now)).collect();
                self.nodes = self.peers.iter().map(|_| new_node()).collect();
            }
            Fault::Dead | Fault::Frozen | Fault::CutOneWay => {
                for data_centre in 0..DATA_CENTRES {
                    let local = (data_centre..self.setup.nodes).step_by(DATA_CENTRES);
                    let is_first = |index: &usize| self.plan(*index).relays[0] == RelayTarget::Own;
                    let first = local.into_iter().find(is_first);
                    self.faulty.extend(first);
                }
            }
        }
    }

    fn is_still(&self, node: usize) -> bool {
        let stops = matches!(self.setup.fault, Fault::Dead | Fault::Frozen);
        stops && self.faulty.contains(&node)
    }

    /// Positions in the plan are those of all nodes but this one.
    fn plan(&self, node: usize) -> RelayPlan {
        let mut others = self.peers.clone();
        let own = others.remove(node);
        self.nodes[node].table.plan(clock(self.now), own, &others)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Create { node, urgent } => {
                let number = self.nodes[node].next_number;
                self.nodes[node].next_number += 1;
                self.nodes[node].own.push(Segment { origin: node, number, urgent });
                self.schedule_flush(node, urgent.is_some());
            }
            Event::Flush { node } if self.is_still(node) => {
                self.nodes[node].is_flush_due = false;
            }
            Event::Flush { node } => self.flush(node),
            Event::Heartbeat { node } => {
                self.push(self.now + HEARTBEAT_INTERVAL, Event::Heartbeat { node });
                if self.setup.spreading == Spreading::Relayed && !self.is_still(node) {
                    for target in self.plan(node).heartbeat_targets {
                        self.send(node, other(node, target), Scope::Receiver, Vec::new());
                    }
                }
            }
            Event::Deliver { from, to, scope, segments } => {
                self.deliver(from, to, scope, segments);
            }
        }
    }

    fn schedule_flush(&mut self, node: usize, is_urgent: bool) {
        let is_due = std::mem::replace(&mut self.nodes[node].is_flush_due, true);
        if is_urgent {
            self.push(self.now, Event::Flush { node });
        } else if !is_due {
            self.push(self.now + BATCH_DELAY, Event::Flush { node });
        }
    }

    fn flush(&mut self, node: usize) {
        self.nodes[node].is_flush_due = false;
        let own = std::mem::take(&mut self.nodes[node].own);
        let relayed = std::mem::take(&mut self.nodes[node].relayed);
        if own.is_empty() && relayed.is_empty() {
            return;
        }
        if self.setup.spreading == Spreading::Direct {
            let others = (0..self.setup.nodes).filter(|to| *to != node);
            return others.for_each(|to| self.send_all(node, to, Scope::Receiver, &own));
        }
        let plan = self.plan(node);
        let mut local: Vec<Segment> = relayed.iter().map(|(_, segment)| *segment).collect();
        let fleet = relayed.iter().filter(|(scope, _)| *scope == Scope::Fleet);
        let mut remote: Vec<Segment> = fleet.map(|(_, segment)| *segment).collect();
        for (position, relay) in plan.relays.iter().enumerate() {
            let sent = own.iter().filter(|segment| position == 0 || segment.urgent.is_some());
            let sent: Vec<Segment> = sent.copied().collect();
            match relay {
                RelayTarget::Own => {
                    local.extend_from_slice(&sent);
                    remote.extend_from_slice(&sent);
                }
                RelayTarget::Peer(index) => {
                    self.send_all(node, other(node, *index), Scope::Fleet, &sent);
                }
            }
        }
        for index in &plan.neighbours {
            self.send_all(node, other(node, *index), Scope::Receiver, &local);
        }
        for index in &plan.remote_relays {
            self.send_all(node, other(node, *index), Scope::DataCentre, &remote);
        }
    }

    fn send_all(&mut self, from: usize, to: usize, scope: Scope, segments: &[Segment]) {
        for chunk in segments.chunks(MAX_SEGMENTS) {
            self.send(from, to, scope, chunk.to_vec());
        }
    }

    fn send(&mut self, from: usize, to: usize, scope: Scope, segments: Vec<Segment>) {
        self.datagrams += 1;
        let is_cut = self.setup.fault == Fault::CutOneWay && self.faulty.contains(&to);
        if is_cut || self.rng.random_bool(self.setup.loss) {
            return;
        }
        let is_near = from % DATA_CENTRES == to % DATA_CENTRES;
        let delay = if is_near { NEAR_DELAY } else { FAR_DELAY };
        self.push(self.now + delay, Event::Deliver { from, to, scope, segments });
    }

    fn deliver(&mut self, from: usize, to: usize, scope: Scope, segments: Vec<Segment>) {
        if self.is_still(to) {
            return;
        }
        self.datagrams += 1;
        let incarnation = self.peers[from].incarnation;
        self.nodes[to].table.on_heard(clock(self.now), incarnation);
        for segment in segments {
            let origin = self.peers[segment.origin].incarnation;
            let is_new = self.nodes[to].filter.is_new(origin, segment.number);
            if !is_new || segment.origin == to {
                continue;
            }
            if let Some(urgent) = segment.urgent {
                let reached = self.reached_at.entry(urgent).or_default();
                reached.entry(to).or_insert(self.now);
            }
            if scope != Scope::Receiver {
                self.nodes[to].relayed.push((scope, segment));
                self.schedule_flush(to, segment.urgent.is_some());
            }
        }
    }

    fn outcome(&self) -> SimulationOutcome {
        let seconds = END.as_secs_f64() * self.setup.nodes as f64;
        let mut in_time = 0;
        let mut in_the_end = 0;
        for (urgent, sent_at) in &self.sent_at {
            let reached = self.reached_at.get(urgent);
            let count = |limit: Duration| {
                let arrivals = reached.into_iter().flatten();
                let counted =
                    arrivals.filter(|(node, at)| !self.faulty.contains(node) && **at <= limit);
                counted.count()
            };
            // The sender knows the notice already.
            let expected = self.setup.nodes - self.faulty.len() - 1;
            in_time += usize::from(count(*sent_at + TIME_LIMIT) >= expected);
            in_the_end += usize::from(count(END) >= expected);
        }
        SimulationOutcome {
            datagrams_per_node: self.datagrams as f64 / seconds,
            complete: in_time as f64 / URGENT_NOTICES as f64,
            complete_after_repetitions: in_the_end as f64 / URGENT_NOTICES as f64,
        }
    }
}

fn new_node() -> Node {
    Node {
        table: RelayTable::default(),
        filter: DuplicateFilter::default(),
        own: Vec::new(),
        relayed: Vec::new(),
        is_flush_due: false,
        next_number: 0,
    }
}

/// Returns the node at a position among all nodes but `node`.
fn other(node: usize, position: usize) -> usize {
    if position < node { position } else { position + 1 }
}
