//! Runs one history.

use std::collections::VecDeque;

use carobvane_core::{
    clock::ClockTime,
    ids::{IncarnationId, NodeId, NodeIncarnation},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{CheckedMachine, FaultKind, History, MAX_DRIFT_PPM, StepContext};

/// Start of the scheduler's clock; leaves room for negative offsets.
const START_MICROS: u64 = 1_000_000_000;
/// Largest offset between clocks, in microseconds.
const MAX_OFFSET_MICROS: u64 = 500_000_000;
/// Rounds of full delivery and clock advance after the last step.
const SETTLE_ROUNDS: usize = 40;
/// Most messages delivered in one settling round, against endless exchanges.
const SETTLE_DELIVERIES: usize = 400;

/// The result of one history.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct HistoryOutcome {
    /// Steps run.
    pub steps: u64,
    /// Faults that took effect.
    pub faults: u64,
    /// What was violated.
    pub violation: Option<String>,
    /// One line per event, if asked for.
    pub trace: Vec<String>,
}

struct Envelope<M> {
    from: usize,
    to: usize,
    ready: ClockTime,
    message: M,
}

struct NodeSlot {
    incarnation: u64,
    running: bool,
    paused: bool,
    offset: u64,
    drift_ppm: i64,
}

struct Scheduler<M: CheckedMachine> {
    machine: M,
    nodes: Vec<Option<M::Node>>,
    crashed: Vec<Option<M::Node>>,
    slots: Vec<NodeSlot>,
    in_flight: VecDeque<Envelope<M::Message>>,
    now: ClockTime,
    active: Vec<FaultKind>,
    outcome: HistoryOutcome,
    tracing: bool,
}

/// Runs `history` on a machine with the given planted bug.
pub fn run_history<M: CheckedMachine>(
    history: &History,
    bug: Option<M::Bug>,
    tracing: bool,
) -> HistoryOutcome {
    let mut scheduler = Scheduler::<M>::new(history.seed, bug, tracing);
    let result = scheduler.run(history);
    scheduler.outcome.violation = result.err();
    scheduler.outcome
}

impl<M: CheckedMachine> Scheduler<M> {
    fn new(seed: u64, bug: Option<M::Bug>, tracing: bool) -> Scheduler<M> {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0xC10C);
        let slots = (0..M::NODES)
            .map(|_| NodeSlot {
                incarnation: 0,
                running: false,
                paused: false,
                offset: rng.random_range(0..MAX_OFFSET_MICROS),
                drift_ppm: rng.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM),
            })
            .collect();
        let mut scheduler = Scheduler {
            machine: M::create(bug),
            nodes: (0..M::NODES).map(|_| None).collect(),
            crashed: (0..M::NODES).map(|_| None).collect(),
            slots,
            in_flight: VecDeque::new(),
            now: ClockTime::from_micros(START_MICROS),
            active: Vec::new(),
            outcome: HistoryOutcome::default(),
            tracing,
        };
        for index in 0..M::NODES {
            scheduler.start(index, &mut rng);
        }
        scheduler
    }

    fn run(&mut self, history: &History) -> Result<(), String> {
        for step in &history.steps {
            let mut rng = SmallRng::seed_from_u64(step.seed);
            self.apply_windows(history, step.index, &mut rng);
            self.step(&mut rng);
            self.outcome.steps += 1;
            self.machine.check(&self.nodes, self.now)?;
        }
        let mut rng = SmallRng::seed_from_u64(history.seed ^ 0x5E77);
        self.apply_windows(history, u32::MAX, &mut rng);
        for _ in 0..SETTLE_ROUNDS {
            for _ in 0..SETTLE_DELIVERIES {
                if !self.deliver(0, &mut rng) {
                    break;
                }
                self.machine.check(&self.nodes, self.now)?;
            }
            self.advance(M::MAX_ADVANCE_MICROS, &mut rng);
            self.machine.check(&self.nodes, self.now)?;
        }
        self.machine.check_settled(&self.nodes, self.now)
    }

    /// Ends and begins the faults whose windows say so at step `index`.
    fn apply_windows(&mut self, history: &History, index: u32, rng: &mut SmallRng) {
        let wanted = history
            .faults
            .iter()
            .filter(|window| window.from <= index && index < window.to)
            .map(|window| window.kind)
            .collect::<Vec<_>>();
        for kind in std::mem::replace(&mut self.active, wanted.clone()) {
            if !wanted.contains(&kind) {
                self.trace(|| format!("end of {kind}"));
                match kind {
                    FaultKind::Pause(node) => self.slots[node].paused = false,
                    FaultKind::Crash(node) if !self.slots[node].running => self.start(node, rng),
                    _ => {}
                }
            }
        }
        for kind in wanted {
            match kind {
                FaultKind::Pause(node) if !self.slots[node].paused => {
                    self.slots[node].paused = true;
                    self.count_fault(kind);
                }
                FaultKind::Crash(node) if self.slots[node].running => {
                    self.slots[node].running = false;
                    self.crashed[node] = self.nodes[node].take();
                    self.in_flight.retain(|envelope| envelope.to != node);
                    self.count_fault(kind);
                }
                _ => {}
            }
        }
    }

    fn step(&mut self, rng: &mut SmallRng) {
        let node = rng.random_range(M::ACTORS);
        let pick = rng.random::<u32>() as usize;
        match rng.random_range(0..100) {
            0..25 => self.act(node, rng),
            25..45 => {
                // Mostly short advances; one in eight is long, so that timers expire.
                let most = if rng.random_ratio(1, 8) {
                    M::MAX_ADVANCE_MICROS
                } else {
                    (M::MAX_ADVANCE_MICROS / 16).max(1)
                };
                let micros = rng.random_range(1..=most);
                self.advance(micros, rng);
            }
            _ => {
                self.deliver(pick, rng);
            }
        }
    }

    fn act(&mut self, index: usize, rng: &mut SmallRng) {
        self.with_node(index, rng, |machine, node, context| {
            machine.act(node, context);
        });
    }

    fn advance(&mut self, micros: u64, rng: &mut SmallRng) {
        self.now = self.now + std::time::Duration::from_micros(micros);
        self.trace(|| format!("clock advances by {micros} µs"));
        for index in 0..M::NODES {
            self.with_node(index, rng, |machine, node, context| machine.tick(node, context));
        }
    }

    /// Delivers one message that has arrived; the oldest, unless messages are reordered.
    fn deliver(&mut self, pick: usize, rng: &mut SmallRng) -> bool {
        let ready = (0..self.in_flight.len())
            .filter(|&position| {
                let envelope = &self.in_flight[position];
                envelope.ready <= self.now && !self.slots[envelope.to].paused
            })
            .collect::<Vec<_>>();
        if ready.is_empty() {
            return false;
        }
        let reorder = self.active.contains(&FaultKind::Reorder);
        let position = if reorder { ready[pick % ready.len()] } else { ready[0] };
        if reorder && position != ready[0] {
            self.outcome.faults += 1;
        }
        let Some(envelope) = self.in_flight.remove(position) else { return false };
        let Envelope { from, to, message, .. } = envelope;
        if self.is_cut(from, to) {
            self.outcome.faults += 1;
            self.trace(|| format!("lost in partition {from} -> {to}: {message:?}"));
            return true;
        }
        if self.active.contains(&FaultKind::Drop) && rng.random() {
            self.outcome.faults += 1;
            self.trace(|| format!("dropped {from} -> {to}: {message:?}"));
            return true;
        }
        if self.active.contains(&FaultKind::Duplicate) && rng.random() {
            self.outcome.faults += 1;
            let delay = rng.random_range(0..=M::MAX_ADVANCE_MICROS);
            let ready = self.now + std::time::Duration::from_micros(delay);
            self.in_flight.push_back(Envelope { from, to, ready, message: message.clone() });
        }
        self.trace(|| format!("deliver {from} -> {to}: {message:?}"));
        self.with_node(to, rng, |machine, node, context| {
            machine.receive(node, from, message, context);
        });
        true
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.active.iter().any(|kind| match kind {
            FaultKind::Partition(side) => (side >> from) & 1 != (side >> to) & 1,
            _ => false,
        })
    }

    fn start(&mut self, index: usize, rng: &mut SmallRng) {
        self.slots[index].incarnation += 1;
        self.slots[index].running = true;
        let previous = self.crashed[index].take();
        let mut outbox = Vec::new();
        let mut context = self.context(index, rng, &mut outbox);
        let node = self.machine.start(&mut context, previous);
        self.nodes[index] = Some(node);
        self.trace(|| format!("start node {index}"));
        self.post(index, outbox, rng);
    }

    /// Runs `f` on a node that is neither crashed nor paused, then sends what it has produced.
    fn with_node(
        &mut self,
        index: usize,
        rng: &mut SmallRng,
        f: impl FnOnce(&mut M, &mut M::Node, &mut StepContext<'_, M::Message>),
    ) {
        if self.slots[index].paused {
            return;
        }
        let Some(mut node) = self.nodes[index].take() else { return };
        let mut outbox = Vec::new();
        let mut context = self.context(index, rng, &mut outbox);
        f(&mut self.machine, &mut node, &mut context);
        self.nodes[index] = Some(node);
        self.post(index, outbox, rng);
    }

    fn context<'a>(
        &self,
        index: usize,
        rng: &'a mut SmallRng,
        outbox: &'a mut Vec<(usize, M::Message)>,
    ) -> StepContext<'a, M::Message> {
        let slot = &self.slots[index];
        let elapsed = self.now.as_micros() - START_MICROS;
        let drift = elapsed as i64 * slot.drift_ppm / 1_000_000;
        let local = (self.now.as_micros() - slot.offset).saturating_add_signed(drift);
        StepContext {
            index,
            life: NodeIncarnation {
                node: NodeId(index as u32),
                incarnation: IncarnationId(slot.incarnation),
            },
            now: ClockTime::from_micros(local),
            true_now: self.now,
            rng,
            outbox,
        }
    }

    fn post(&mut self, from: usize, outbox: Vec<(usize, M::Message)>, rng: &mut SmallRng) {
        let delaying = self.active.contains(&FaultKind::Delay);
        for (to, message) in outbox {
            self.trace(|| format!("send {from} -> {to}: {message:?}"));
            if !self.slots[to].running {
                continue;
            }
            let mut ready = self.now;
            if delaying {
                self.outcome.faults += 1;
                let micros = rng.random_range(0..=M::MAX_ADVANCE_MICROS * 2);
                ready = ready + std::time::Duration::from_micros(micros);
            }
            self.in_flight.push_back(Envelope { from, to, ready, message });
        }
    }

    fn count_fault(&mut self, kind: FaultKind) {
        self.outcome.faults += 1;
        self.trace(|| format!("begin of {kind}"));
    }

    fn trace(&mut self, line: impl FnOnce() -> String) {
        if self.tracing {
            let micros = self.now.as_micros() - START_MICROS;
            self.outcome.trace.push(format!("{micros:>9} µs  {}", line()));
        }
    }
}
