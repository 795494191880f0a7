//! A seeded scheduler of messages and faults around real decision code.
//!
//! A [`CheckedMachine`] adapts a part of `carobvane-core` to nodes that exchange messages. The
//! scheduler turns the clock, chooses which message arrives next, and drops, duplicates, delays
//! and reorders messages, pauses and crashes nodes and splits the network. The machine's invariant
//! is evaluated after each step. A violated history is shrunk and printed with its seed.
//!
//! There is no model of engines or of the network beyond this. A store that several nodes use is a
//! node of the machine that keeps its state in [`CheckedMachine::start`].
//!
//! A node that crashes loses its state, except for what the machine takes over from `previous`;
//! an outage of a store is a pause, crash or partition of its node. Each node has its own clock
//! with an offset and a drift of at most [`MAX_DRIFT_PPM`].

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

/// Largest deviation of a node's clock rate, in parts per million.
pub const MAX_DRIFT_PPM: i64 = 200;

/// Real decision code behind nodes that exchange messages.
///
/// The value itself holds what the check observes about all nodes (runs, answers, sums); nodes
/// must not read it to decide.
pub trait CheckedMachine: Sized {
    /// The state of one node.
    type Node;
    /// What nodes send to each other, callers included.
    type Message: Clone + Debug;
    /// A planted bug, applied in the adapter.
    type Bug: Copy + Debug + Send + Sync + 'static;

    /// The name on the command line.
    const NAME: &'static str;
    /// Planted bugs by name; each must be caught.
    const BUGS: &'static [(&'static str, Self::Bug)];
    /// Number of nodes, stores included.
    const NODES: usize;
    /// Nodes that faults never pause or crash, counted from node 0.
    const FAULT_FREE_NODES: usize = 0;
    /// Nodes on which [`CheckedMachine::perform_action`] is called.
    const ACTING_NODES: Range<usize> = 0..Self::NODES;
    /// Longest single advance of the clock, in microseconds.
    const MAX_ADVANCE_MICROS: u64;

    /// Creates the observer of one history.
    fn create(bug: Option<Self::Bug>) -> Self;

    /// Starts a node. `previous` is the state at its crash; only durable parts may be taken over.
    fn start(
        &mut self,
        context: &mut StepContext<'_, Self::Message>,
        previous: Option<Self::Node>,
    ) -> Self::Node;

    /// Gives a message to a node.
    fn receive(
        &mut self,
        node: &mut Self::Node,
        from: usize,
        message: Self::Message,
        context: &mut StepContext<'_, Self::Message>,
    );

    /// Gives a node the time. Called for each running node after every advance of the clock.
    fn tick(&mut self, node: &mut Self::Node, context: &mut StepContext<'_, Self::Message>);

    /// Makes a node act from outside, such as a caller's request drawn from `context.rng`.
    fn perform_action(
        &mut self,
        node: &mut Self::Node,
        context: &mut StepContext<'_, Self::Message>,
    );

    /// Evaluates the invariant after a step. `nodes` holds the state of nodes that are not
    /// crashed; `now` is the scheduler's own time. The error says what is violated.
    fn check_invariant(&self, nodes: &[Option<Self::Node>], now: ClockTime) -> Result<(), String>;

    /// Evaluates what must hold once all faults have ended and messages have been delivered.
    fn check_after_settling(
        &self,
        _nodes: &[Option<Self::Node>],
        _now: ClockTime,
    ) -> Result<(), String> {
        Ok(())
    }
}

/// What a node sees during one step.
pub struct StepContext<'a, M> {
    /// The node's index in `0..CheckedMachine::NODES`.
    pub index: usize,
    /// The node and its incarnation; `incarnation.node` is `index`, incarnations count from 1.
    pub incarnation: NodeIncarnation,
    /// The node's own clock.
    pub now: ClockTime,
    /// The scheduler's time, for the observer only.
    pub global_now: ClockTime,
    /// Randomness of this step.
    pub rng: &'a mut SmallRng,
    outbox: &'a mut Vec<(usize, M)>,
}

impl<M> StepContext<'_, M> {
    /// Sends a message to node `to` (which may be the node itself).
    pub fn send(&mut self, to: usize, message: M) {
        self.outbox.push((to, message));
    }
}
