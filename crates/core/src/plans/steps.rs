//! Base units over list versions.
//!
//! A version may move units between home entries. The entry that loses units stops using them at
//! once; the entry that gains them waits until every loser has confirmed.

use crate::ids::NodeId;

/// The base share of one version that other entries may still run.
#[derive(Debug, Clone)]
pub(super) struct ShareStep {
    pub version: u64,
    pub base: [u64; 3],
    /// Entries whose confirmation the step waits for. Invariant: empty in the first step.
    pub awaited: Vec<NodeId>,
    /// The first version of a life: confirmations must not be ahead of this entry's version.
    pub restart: bool,
}

/// The steps of one plan, oldest first.
#[derive(Debug, Clone)]
pub(super) struct PlanSteps {
    /// Invariant: not empty; the last step is the active version's.
    steps: Vec<ShareStep>,
}

impl PlanSteps {
    /// A plan without units.
    pub fn new() -> PlanSteps {
        let first = ShareStep { version: 0, base: [0; 3], awaited: Vec::new(), restart: false };
        PlanSteps { steps: vec![first] }
    }

    /// The lowest base of all steps.
    pub fn usable(&self) -> [u64; 3] {
        let mut base = self.steps[0].base;
        for step in &self.steps[1..] {
            for (least, amount) in base.iter_mut().zip(step.base) {
                *least = amount.min(*least);
            }
        }
        base
    }

    /// The base of the active version.
    pub fn latest(&self) -> [u64; 3] {
        self.steps[self.steps.len() - 1].base
    }

    /// The version that last changed the shares.
    pub fn version(&self) -> u64 {
        self.steps[self.steps.len() - 1].version
    }

    /// Adds the step of a new version.
    pub fn push(&mut self, step: ShareStep) {
        self.steps.push(step);
        self.settle();
    }

    /// Entries whose confirmation is awaited.
    pub fn awaited(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.steps.iter().flat_map(|step| step.awaited.iter().copied())
    }

    /// Whether `node` is awaited after a restart.
    pub fn awaits_restart(&self, node: NodeId) -> bool {
        self.steps.iter().any(|step| step.restart && step.awaited.contains(&node))
    }

    /// Takes the confirmation of `node`, which runs `running` and is clean up to `clean`.
    pub fn confirm(&mut self, node: NodeId, running: u64, clean: u64, own: u64) {
        for step in &mut self.steps {
            if step.version <= clean && (!step.restart || running <= own) {
                step.awaited.retain(|awaited| *awaited != node);
            }
        }
        self.settle();
    }

    /// Stops waiting for a node that is gone.
    pub fn forget(&mut self, node: NodeId) {
        for step in &mut self.steps {
            step.awaited.retain(|awaited| *awaited != node);
        }
        self.settle();
    }

    /// Whether no step waits.
    pub fn is_settled(&self) -> bool {
        self.steps.len() == 1
    }

    fn settle(&mut self) {
        while self.steps.len() > 1 && self.steps[1].awaited.is_empty() {
            self.steps.remove(0);
        }
    }
}
