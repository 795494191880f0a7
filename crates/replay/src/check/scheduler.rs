//! Runs one history: delivers messages, advances the clocks and injects the faults.

use std::collections::VecDeque;

use carobvane_core::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{CheckedMachine, FaultKind, History, MAX_DRIFT_PPM, StepContext};

/// Start of the scheduler's clock. Node clocks are behind it by up to [`MAX_CLOCK_OFFSET_MICROS`]
/// and must not become negative.
const CLOCK_START_MICROS: u64 = 1_000_000_000;
/// Upper limit of the time by which a node's clock is behind the scheduler's clock, in
/// microseconds.
const MAX_CLOCK_OFFSET_MICROS: u64 = 500_000_000;
/// Number of settling rounds after the last step. Each round delivers all messages and then
/// advances the clock once.
const SETTLE_ROUNDS: usize = 40;
/// Largest number of messages delivered in one settling round. Without this limit, nodes that keep
/// answering each other would never end the round.
const MAX_SETTLE_DELIVERIES: usize = 400;

/// The result of one history.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HistoryOutcome {
    /// Number of steps that were run, without the settling at the end.
    pub steps: u64,
    /// Number of faults that took effect: messages that were affected, and pauses and crashes.
    pub faults: u64,
    /// Description of the violation, if the invariant was violated.
    pub violation: Option<String>,
    /// One line for each event, if a trace was requested.
    pub trace: Vec<String>,
}

/// A message on the way, with the earliest time at which it can be delivered.
struct Envelope<M> {
    from: usize,
    to: usize,
    deliver_at: ClockTime,
    message: M,
}

/// The scheduler's state of a node: its incarnation, its faults and its clock.
struct NodeStatus {
    incarnation: u64,
    running: bool,
    paused: bool,
    clock_offset_micros: u64,
    clock_drift_ppm: i64,
}

struct Scheduler<M: CheckedMachine> {
    machine: M,
    nodes: Vec<Option<M::Node>>,
    crashed: Vec<Option<M::Node>>,
    statuses: Vec<NodeStatus>,
    in_flight: VecDeque<Envelope<M::Message>>,
    now: ClockTime,
    active_faults: Vec<FaultKind>,
    outcome: HistoryOutcome,
    record_trace: bool,
}

/// Runs `history` on a new machine with the given planted bug, until the first violation.
pub fn run_history<M: CheckedMachine>(
    history: &History,
    bug: Option<M::Bug>,
    record_trace: bool,
) -> HistoryOutcome {
    let mut scheduler = Scheduler::<M>::new(history.seed, bug, record_trace);
    let result = scheduler.run(history);
    scheduler.outcome.violation = result.err();
    scheduler.outcome
}

impl<M: CheckedMachine> Scheduler<M> {
    fn new(seed: u64, bug: Option<M::Bug>, record_trace: bool) -> Scheduler<M> {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0xC10C);
        let statuses = (0..M::NODES)
            .map(|_| NodeStatus {
                incarnation: 0,
                running: false,
                paused: false,
                clock_offset_micros: rng.random_range(0..MAX_CLOCK_OFFSET_MICROS),
                clock_drift_ppm: rng.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM),
            })
            .collect();
        let mut scheduler = Scheduler {
            machine: M::create(bug),
            nodes: (0..M::NODES).map(|_| None).collect(),
            crashed: (0..M::NODES).map(|_| None).collect(),
            statuses,
            in_flight: VecDeque::new(),
            now: ClockTime::from_micros(CLOCK_START_MICROS),
            active_faults: Vec::new(),
            outcome: HistoryOutcome::default(),
            record_trace,
        };
        for index in 0..M::NODES {
            scheduler.start(index, &mut rng);
        }
        scheduler
    }

    fn run(&mut self, history: &History) -> Result<(), String> {
        for step in &history.steps {
            let mut rng = SmallRng::seed_from_u64(step.seed);
            self.apply_fault_windows(history, step.index, &mut rng);
            self.step(&mut rng);
            self.outcome.steps += 1;
            self.machine.check_invariant(&self.nodes, self.now)?;
        }
        let mut rng = SmallRng::seed_from_u64(history.seed ^ 0x5E77);
        self.apply_fault_windows(history, u32::MAX, &mut rng);
        for _ in 0..SETTLE_ROUNDS {
            for _ in 0..MAX_SETTLE_DELIVERIES {
                if !self.deliver(0, &mut rng) {
                    break;
                }
                self.machine.check_invariant(&self.nodes, self.now)?;
            }
            self.advance(M::MAX_ADVANCE_MICROS, &mut rng);
            self.machine.check_invariant(&self.nodes, self.now)?;
        }
        self.machine.check_after_settling(&self.nodes, self.now)
    }

    /// Ends the faults whose window is over at step `index`, and begins those whose window has
    /// started.
    fn apply_fault_windows(&mut self, history: &History, index: u32, rng: &mut SmallRng) {
        let due_faults = history
            .faults
            .iter()
            .filter(|window| window.start_step <= index && index < window.end_step)
            .map(|window| window.kind)
            .collect::<Vec<_>>();
        for kind in std::mem::replace(&mut self.active_faults, due_faults.clone()) {
            if !due_faults.contains(&kind) {
                self.trace(|| format!("fault ends: {kind}"));
                match kind {
                    FaultKind::Pause(node) => self.statuses[node].paused = false,
                    FaultKind::Crash(node) if !self.statuses[node].running => self.start(node, rng),
                    _ => {}
                }
            }
        }
        for kind in due_faults {
            match kind {
                FaultKind::Pause(node) if !self.statuses[node].paused => {
                    self.statuses[node].paused = true;
                    self.record_fault_start(kind);
                }
                FaultKind::Crash(node) if self.statuses[node].running => {
                    self.statuses[node].running = false;
                    self.crashed[node] = self.nodes[node].take();
                    self.in_flight.retain(|envelope| envelope.to != node);
                    self.record_fault_start(kind);
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, rng: &mut SmallRng) {
        let node = rng.random_range(M::ACTING_NODES);
        let message_choice = rng.random::<u32>() as usize;
        match rng.random_range(0..100) {
            0..25 => self.perform_action(node, rng),
            25..45 => {
                // Most advances are short, so that messages interleave. One in eight may be long,
                // so that timers expire.
                let max_micros = if rng.random_ratio(1, 8) {
                    M::MAX_ADVANCE_MICROS
                } else {
                    (M::MAX_ADVANCE_MICROS / 16).max(1)
                };
                let micros = rng.random_range(1..=max_micros);
                self.advance(micros, rng);
            }
            _ => {
                self.deliver(message_choice, rng);
            }
        }
    }

    fn perform_action(&mut self, index: usize, rng: &mut SmallRng) {
        self.run_on_node(index, rng, |machine, node, context| {
            machine.perform_action(node, context);
        });
    }

    fn advance(&mut self, micros: u64, rng: &mut SmallRng) {
        self.now = self.now + std::time::Duration::from_micros(micros);
        self.trace(|| format!("clock advances by {micros} µs"));
        for index in 0..M::NODES {
            self.run_on_node(index, rng, |machine, node, context| machine.tick(node, context));
        }
    }

    /// Takes one message that is due, the oldest unless messages are reordered, and delivers or
    /// loses it. Returns false if no message is due.
    fn deliver(&mut self, message_choice: usize, rng: &mut SmallRng) -> bool {
        let ready = (0..self.in_flight.len())
            .filter(|&position| {
                let envelope = &self.in_flight[position];
                envelope.deliver_at <= self.now && !self.statuses[envelope.to].paused
            })
            .collect::<Vec<_>>();
        if ready.is_empty() {
            return false;
        }
        let reorder = self.active_faults.contains(&FaultKind::Reorder);
        let position = if reorder { ready[message_choice % ready.len()] } else { ready[0] };
        if reorder && position != ready[0] {
            self.outcome.faults += 1;
        }
        let Some(envelope) = self.in_flight.remove(position) else { return false };
        let Envelope { from, to, message, .. } = envelope;
        if self.is_partitioned(from, to) {
            self.outcome.faults += 1;
            self.trace(|| format!("lost in partition {from} -> {to}: {message:?}"));
            return true;
        }
        if self.active_faults.contains(&FaultKind::Drop) && rng.random() {
            self.outcome.faults += 1;
            self.trace(|| format!("dropped {from} -> {to}: {message:?}"));
            return true;
        }
        if self.active_faults.contains(&FaultKind::Duplicate) && rng.random() {
            self.outcome.faults += 1;
            let delay = rng.random_range(0..=M::MAX_ADVANCE_MICROS);
            let deliver_at = self.now + std::time::Duration::from_micros(delay);
            self.in_flight.push_back(Envelope { from, to, deliver_at, message: message.clone() });
        }
        self.trace(|| format!("deliver {from} -> {to}: {message:?}"));
        self.run_on_node(to, rng, |machine, node, context| {
            machine.receive(node, from, message, context);
        });
        true
    }

    /// Returns whether an active partition separates two nodes.
    fn is_partitioned(&self, from: usize, to: usize) -> bool {
        self.active_faults.iter().any(|kind| match kind {
            FaultKind::Partition(sides) => (sides >> from) & 1 != (sides >> to) & 1,
            _ => false,
        })
    }

    fn start(&mut self, index: usize, rng: &mut SmallRng) {
        self.statuses[index].incarnation += 1;
        self.statuses[index].running = true;
        let previous = self.crashed[index].take();
        let mut outbox = Vec::new();
        let mut context = self.context(index, rng, &mut outbox);
        let node = self.machine.start(&mut context, previous);
        self.nodes[index] = Some(node);
        self.trace(|| format!("start node {index}"));
        self.send_outbox(index, outbox, rng);
    }

    /// Runs `f` on a node, unless it is crashed or paused, and sends the messages that it produces.
    fn run_on_node(
        &mut self,
        index: usize,
        rng: &mut SmallRng,
        f: impl FnOnce(&mut M, &mut M::Node, &mut StepContext<'_, M::Message>),
    ) {
        if self.statuses[index].paused {
            return;
        }
        let Some(mut node) = self.nodes[index].take() else { return };
        let mut outbox = Vec::new();
        let mut context = self.context(index, rng, &mut outbox);
        f(&mut self.machine, &mut node, &mut context);
        self.nodes[index] = Some(node);
        self.send_outbox(index, outbox, rng);
    }

    fn context<'a>(
        &self,
        index: usize,
        rng: &'a mut SmallRng,
        outbox: &'a mut Vec<(usize, M::Message)>,
    ) -> StepContext<'a, M::Message> {
        let status = &self.statuses[index];
        let elapsed = self.now.as_micros() - CLOCK_START_MICROS;
        let drift = elapsed as i64 * status.clock_drift_ppm / 1_000_000;
        let node_micros =
            (self.now.as_micros() - status.clock_offset_micros).saturating_add_signed(drift);
        StepContext {
            index,
            incarnation: NodeIncarnation {
                node: NodeId(index as u32),
                incarnation: IncarnationId(status.incarnation),
            },
            now: ClockTime::from_micros(node_micros),
            global_now: self.now,
            rng,
            outbox,
        }
    }

    /// Sends a node's messages, with a random delay while a delay fault is active. Messages to
    /// crashed nodes are lost.
    fn send_outbox(&mut self, from: usize, outbox: Vec<(usize, M::Message)>, rng: &mut SmallRng) {
        let delaying = self.active_faults.contains(&FaultKind::Delay);
        for (to, message) in outbox {
            self.trace(|| format!("send {from} -> {to}: {message:?}"));
            if !self.statuses[to].running {
                continue;
            }
            let mut deliver_at = self.now;
            if delaying {
                self.outcome.faults += 1;
                let micros = rng.random_range(0..=M::MAX_ADVANCE_MICROS * 2);
                deliver_at = deliver_at + std::time::Duration::from_micros(micros);
            }
            self.in_flight.push_back(Envelope { from, to, deliver_at, message });
        }
    }

    fn record_fault_start(&mut self, kind: FaultKind) {
        self.outcome.faults += 1;
        self.trace(|| format!("fault begins: {kind}"));
    }

    fn trace(&mut self, line: impl FnOnce() -> String) {
        if self.record_trace {
            let micros = self.now.as_micros() - CLOCK_START_MICROS;
            self.outcome.trace.push(format!("{micros:>9} µs  {}", line()));
        }
    }
}
