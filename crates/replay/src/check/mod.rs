//! Deterministic simulation tests of the decision code in `carobvane-core`.
//!
//! A [`CheckedMachine`] runs a part of `carobvane-core` on simulated nodes that exchange messages.
//! A seeded scheduler advances the clock and chooses which message is delivered next. It injects
//! faults: it drops, duplicates, delays and reorders messages, pauses and crashes nodes and
//! partitions the network. The machine's invariant is evaluated after each step. A history that
//! violates the invariant is shrunk and printed with its seed.
//!
//! Engines and the network are not modelled beyond these faults. A store that several nodes use is
//! a node of the machine that keeps its state across crashes in [`CheckedMachine::start`]. An
//! outage of a store is simulated by pausing, crashing or partitioning its node.
//!
//! A node that crashes loses its state, except for what the machine takes over from `previous`.
//! Each node has its own clock, whose offset is constant and whose rate deviates by at most
//! [`MAX_DRIFT_PPM`].

mod history;
pub mod machines;
mod runner;
mod scheduler;

use std::{fmt::Debug, ops::Range};

use carobvane_core::{clock::ClockTime, ids::NodeIncarnation};
use rand::rngs::SmallRng;

pub use history::{FaultKind, FaultWindow, History, HistoryStep};
pub use runner::{CheckOptions, MachineReport, RegisteredMachine, run_machine};
pub use scheduler::{HistoryOutcome, run_history};

/// Largest deviation of a node's clock rate from the scheduler's clock, in parts per million.
pub const MAX_DRIFT_PPM: i64 = 200;

/// A part of `carobvane-core` that runs on simulated nodes, with the invariant that it must keep.
///
/// The value of the implementing type is the observer: it records what happened on all nodes, such
/// as dispatched requests, answers and sums. Nodes must not use it for their decisions.
pub trait CheckedMachine: Sized {
    /// The state of one node.
    type Node;
    /// A message between nodes, or between a caller and a node.
    type Message: Clone + Debug;
    /// A planted bug. The machine applies it; the decision code stays unchanged.
    type Bug: Copy + Debug + Send + Sync + 'static;

    /// The machine's name on the command line.
    const NAME: &'static str;
    /// The planted bugs with their names on the command line. The check must find each of them.
    const BUGS: &'static [(&'static str, Self::Bug)];
    /// Number of nodes, including the nodes that simulate stores and callers.
    const NODES: usize;
    /// Number of nodes that are never paused or crashed: the first ones, counted from node 0.
    const FAULT_FREE_NODES: usize = 0;
    /// The nodes on which [`CheckedMachine::perform_action`] is called.
    const ACTING_NODES: Range<usize> = 0..Self::NODES;
    /// Largest amount by which the clock advances at once, in microseconds.
    const MAX_ADVANCE_MICROS: u64;

    /// Creates the observer of one history, which runs with the given planted bug.
    fn create(bug: Option<Self::Bug>) -> Self;

    /// Starts a node. After a crash `previous` is the node's state at that crash, of which only
    /// durable parts may be taken over.
    fn start(
        &mut self,
        context: &mut StepContext<'_, Self::Message>,
        previous: Option<Self::Node>,
    ) -> Self::Node;

    /// Handles a message that is delivered to a node.
    fn receive(
        &mut self,
        node: &mut Self::Node,
        from: usize,
        message: Self::Message,
        context: &mut StepContext<'_, Self::Message>,
    );

    /// Handles expired timers. Called after every advance of the clock for each node that is
    /// neither crashed nor paused.
    fn tick(&mut self, node: &mut Self::Node, context: &mut StepContext<'_, Self::Message>);

    /// Performs an action that no message or timer causes, such as a caller's new request. Its
    /// details are drawn from `context.rng`.
    fn perform_action(
        &mut self,
        node: &mut Self::Node,
        context: &mut StepContext<'_, Self::Message>,
    );

    /// Evaluates the invariant after a step. `nodes` holds `None` for each crashed node; `now` is
    /// the scheduler's time. The error describes the violation.
    fn check_invariant(&self, nodes: &[Option<Self::Node>], now: ClockTime) -> Result<(), String>;

    /// Evaluates what must hold after all faults have ended and the nodes have had time to settle.
    /// The error describes the violation.
    fn check_after_settling(
        &self,
        _nodes: &[Option<Self::Node>],
        _now: ClockTime,
    ) -> Result<(), String> {
        Ok(())
    }
}

/// A node's inputs during one step, and the messages that it sends.
pub struct StepContext<'a, M> {
    /// The node's index in `0..CheckedMachine::NODES`.
    pub index: usize,
    /// The node and its incarnation. `incarnation.node` is `index`; incarnations count from 1.
    pub incarnation: NodeIncarnation,
    /// The time on the node's own clock.
    pub now: ClockTime,
    /// The scheduler's time. Only the observer may use it, because real nodes share no clock.
    pub global_now: ClockTime,
    /// Random number generator of this step, seeded from the step's own seed.
    pub rng: &'a mut SmallRng,
    outbox: &'a mut Vec<(usize, M)>,
}

impl<M> StepContext<'_, M> {
    /// Sends a message to node `to`, which may be the sending node itself.
    pub fn send(&mut self, to: usize, message: M) {
        self.outbox.push((to, message));
    }
}
