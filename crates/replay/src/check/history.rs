//! Histories as plain data: steps with their seeds, and fault windows. Shrinking removes steps and
//! windows from a history and runs it again.

use std::fmt;

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Number of steps in a generated history.
const HISTORY_STEPS: usize = 240;
/// Largest number of randomly placed fault windows in a history.
const MAX_FAULT_WINDOWS: usize = 6;
/// Longest fault window, in steps.
const MAX_WINDOW_STEPS: u32 = 60;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Each message is lost with probability 1/2.
    Drop,
    /// Each message is delivered a second time later with probability 1/2.
    Duplicate,
    /// Messages are delayed by up to twice `CheckedMachine::MAX_ADVANCE_MICROS`.
    Delay,
    /// Messages are delivered in random order.
    Reorder,
    /// The node handles no messages, timers or actions. Messages to it are kept.
    Pause(usize),
    /// The node stops and loses the messages on the way to it. It starts with a new incarnation
    /// when the window ends.
    Crash(usize),
    /// The network is split in two. Bit `n` says on which side node `n` is; messages between the
    /// sides are lost.
    Partition(u64),
}

impl FaultKind {
    fn same_kind(self, other: FaultKind) -> bool {
        std::mem::discriminant(&self) == std::mem::discriminant(&other)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FaultKind::Drop => write!(f, "drop"),
            FaultKind::Duplicate => write!(f, "duplicate"),
            FaultKind::Delay => write!(f, "delay"),
            FaultKind::Reorder => write!(f, "reorder"),
            FaultKind::Pause(node) => write!(f, "pause node {node}"),
            FaultKind::Crash(node) => write!(f, "crash node {node}"),
            FaultKind::Partition(sides) => write!(f, "partition {sides:b}"),
        }
    }
}

/// A fault that is active from step `start_step` (inclusive) to step `end_step` (exclusive).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultWindow {
    /// The fault and the nodes that it affects.
    pub kind: FaultKind,
    /// First step at which the fault is active.
    pub start_step: u32,
    /// First step at which the fault is no longer active.
    pub end_step: u32,
}

/// One step of a history. Each step has its own seed, so that removing other steps does not change
/// its choices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryStep {
    /// The step's position in the generated history, which shrinking does not change.
    pub index: u32,
    /// Seed of the random choices in this step.
    pub seed: u64,
}

/// The input of one simulation run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct History {
    /// Seed of the node clocks, of the first start of the nodes, and of the settling at the end.
    pub seed: u64,
    /// The steps in the order in which they run.
    pub steps: Vec<HistoryStep>,
    /// The fault windows, in any order.
    pub faults: Vec<FaultWindow>,
}

impl History {
    /// Generates a history from `seed` for `nodes` nodes, of which the first `fault_free` are never
    /// paused or crashed. A history with an even seed has at least two overlapping faults of
    /// different kinds.
    pub fn generate(seed: u64, nodes: usize, fault_free: usize) -> History {
        let mut rng = SmallRng::seed_from_u64(seed);
        let steps = (0..HISTORY_STEPS as u32)
            .map(|index| HistoryStep { index, seed: rng.random() })
            .collect::<Vec<_>>();
        let count = rng.random_range(1..=MAX_FAULT_WINDOWS);
        let mut faults = (0..count)
            .map(|_| {
                let start_step = rng.random_range(0..HISTORY_STEPS as u32);
                let end_step = start_step + rng.random_range(1..=MAX_WINDOW_STEPS);
                FaultWindow {
                    kind: random_fault_kind(&mut rng, nodes, fault_free),
                    start_step,
                    end_step,
                }
            })
            .collect::<Vec<_>>();
        if seed.is_multiple_of(2) {
            let first = faults[0];
            let kind = loop {
                let kind = random_fault_kind(&mut rng, nodes, fault_free);
                if !kind.same_kind(first.kind) {
                    break kind;
                }
            };
            let start_step = rng.random_range(first.start_step..first.end_step);
            let end_step = start_step + rng.random_range(1..=MAX_WINDOW_STEPS);
            faults.push(FaultWindow { kind, start_step, end_step });
        }
        History { seed, steps, faults }
    }

    /// Returns whether two faults of different kinds are active at the same step.
    pub fn has_overlap(&self) -> bool {
        self.faults.iter().enumerate().any(|(position, window)| {
            self.faults[position + 1..].iter().any(|other| {
                !window.kind.same_kind(other.kind)
                    && window.start_step < other.end_step
                    && other.start_step < window.end_step
            })
        })
    }
}

fn random_fault_kind(rng: &mut SmallRng, nodes: usize, fault_free: usize) -> FaultKind {
    match rng.random_range(0..9) {
        0 => FaultKind::Drop,
        1 => FaultKind::Duplicate,
        2 => FaultKind::Delay,
        3 => FaultKind::Reorder,
        4 | 5 if fault_free < nodes => FaultKind::Pause(rng.random_range(fault_free..nodes)),
        6 | 7 if fault_free < nodes => FaultKind::Crash(rng.random_range(fault_free..nodes)),
        _ => FaultKind::Partition(rng.random_range(1..(1u64 << nodes) - 1)),
    }
}
