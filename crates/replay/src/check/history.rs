//! Histories as data: seeded steps and fault windows, so that a shorter history can be tried.

use std::fmt;

use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Steps in a generated history.
const HISTORY_STEPS: usize = 240;
/// Most fault windows in a history.
const MAX_FAULT_WINDOWS: usize = 6;
/// Longest fault window, in steps.
const MAX_WINDOW_STEPS: u32 = 60;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// Messages are lost, half of them.
    Drop,
    /// Messages are delivered again later, half of them.
    Duplicate,
    /// Messages arrive late by up to two long advances of the clock.
    Delay,
    /// Messages arrive in any order.
    Reorder,
    /// The node does nothing; its messages wait.
    Pause(usize),
    /// The node stops; it starts with a new incarnation when the window ends.
    Crash(usize),
    /// Nodes whose bits differ cannot reach each other.
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
    /// The fault.
    pub kind: FaultKind,
    /// First step.
    pub start_step: u32,
    /// First step after the fault.
    pub end_step: u32,
}

/// One step. It draws from its own seed, so that removing other steps does not change it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryStep {
    /// Position in the generated history.
    pub index: u32,
    /// Seed of the step's choices.
    pub seed: u64,
}

/// A history to run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct History {
    /// Seed of clocks and of the final settling.
    pub seed: u64,
    /// Steps in order.
    pub steps: Vec<HistoryStep>,
    /// Faults in any order.
    pub faults: Vec<FaultWindow>,
}

impl History {
    /// Generates the history of `seed` for `nodes` nodes, of which the first `fault_free` are never
    /// paused or crashed. Histories with an even seed have two overlapping faults of different
    /// kinds.
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

    /// Whether two faults of different kinds are active at the same step.
    pub fn has_overlap(&self) -> bool {
        self.faults.iter().enumerate().any(|(position, first)| {
            self.faults[position + 1..].iter().any(|other| {
                !first.kind.same_kind(other.kind)
                    && first.start_step < other.end_step
                    && other.start_step < first.end_step
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
