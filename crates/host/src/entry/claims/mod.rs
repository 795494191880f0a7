//! Runs the [`ClaimCoordinator`] of an entry.
//!
//! Request handlers run on several threads and share the coordinator under a lock. One task on the
//! entry's arbiter makes the coordinator's calls to the key-value service, and the node's timer
//! drives its timeouts.

mod codec;
mod store_task;

pub use store_task::start_store_task;

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use carobvane_core::{
    claims::{
        BatchItem, ClaimAnswer, ClaimCoordinator, ClaimEffect, ClaimHandle, ClaimKey, ClaimRequest,
        DispatchOutcome, ExistingClaim, NotRunCause,
    },
    clock::ClockTime,
    ids::NodeIncarnation,
};
use tokio::sync::mpsc;

use crate::clock;

/// Instruction of the coordinator to the handler of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimSignal {
    /// Send the request now, unless `not_after` has passed, and report the outcome with
    /// [`SharedClaims::on_dispatched`].
    Dispatch {
        /// Time after which the request must not be sent.
        not_after: ClockTime,
    },
    /// Answer the client. This is the last signal.
    Answer(ClaimAnswer),
}

/// A call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Writes a batch of claims in one transaction.
    Write {
        /// Identifies the call in [`SharedClaims::on_reply`].
        call_id: u64,
        /// Claims to create, store or release.
        items: Vec<BatchItem>,
    },
    /// Reads claims whose write had no usable reply.
    ReadBack {
        /// Identifies the call in [`SharedClaims::on_reply`].
        call_id: u64,
        /// Keys of the claims.
        keys: Vec<ClaimKey>,
    },
}

/// Result of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The batch was written at this revision.
    Acknowledged(i64),
    /// The service holds these claims at this revision. For a write: nothing was written.
    Existing(i64, Vec<ExistingClaim>),
    /// No usable reply; a write may have taken place.
    Lost,
}

/// A request that the coordinator has accepted, with its signals.
pub struct WaitingRequest {
    /// Identifies the request in the coordinator.
    pub handle: ClaimHandle,
    /// Signals for this request; the last one is [`ClaimSignal::Answer`].
    pub signals: mpsc::UnboundedReceiver<ClaimSignal>,
}

/// The claim coordinator of an entry, shared by its threads.
pub struct SharedClaims {
    state: Mutex<ClaimsState>,
}

struct ClaimsState {
    coordinator: ClaimCoordinator,
    waiting: HashMap<ClaimHandle, mpsc::UnboundedSender<ClaimSignal>>,
    calls: mpsc::UnboundedSender<StoreCall>,
    /// Buffer for the effects of an input, reused to save allocations.
    effects: Vec<ClaimEffect>,
}

impl SharedClaims {
    /// Creates the coordinator, and the receiver of its calls to the key-value service. At most one
    /// call is in flight at a time.
    pub fn new(own: NodeIncarnation) -> (SharedClaims, mpsc::UnboundedReceiver<StoreCall>) {
        let (calls, receiver) = mpsc::unbounded_channel();
        let (coordinator, waiting) = (ClaimCoordinator::new(own), HashMap::new());
        let state = ClaimsState { coordinator, waiting, calls, effects: Vec::new() };
        (SharedClaims { state: Mutex::new(state) }, receiver)
    }

    /// Submits a request to the coordinator.
    ///
    /// # Errors
    ///
    /// Returns the answer if the coordinator knows it without a call to the key-value service.
    pub fn submit(&self, request: ClaimRequest) -> Result<WaitingRequest, ClaimAnswer> {
        self.apply_input(|state, effects| {
            let handle = state.coordinator.submit(request, clock::now(), effects)?;
            let (sender, signals) = mpsc::unbounded_channel();
            state.waiting.insert(handle, sender);
            Ok(WaitingRequest { handle, signals })
        })
    }

    /// Reports the outcome of a request for which [`ClaimSignal::Dispatch`] was received.
    pub fn on_dispatched(&self, handle: ClaimHandle, outcome: DispatchOutcome) {
        self.apply_input(|state, effects| {
            state.coordinator.on_dispatch_outcome(handle, outcome, clock::now(), effects)
        });
    }

    /// Reports the result of a call to the key-value service.
    pub fn on_reply(&self, call_id: u64, reply: StoreReply) {
        let now = clock::now();
        self.apply_input(|state, effects| match reply {
            StoreReply::Acknowledged(revision) => {
                state.coordinator.on_written(call_id, revision, now, effects);
            }
            StoreReply::Existing(revision, existing) => {
                state.coordinator.on_existing(call_id, revision, &existing, now, effects);
            }
            StoreReply::Lost => state.coordinator.on_call_lost(call_id, now),
        });
    }

    /// Runs due timeouts of the coordinator and updates the metrics.
    pub fn tick(&self, now: ClockTime) {
        let stats = self.apply_input(|state, effects| {
            if state.coordinator.next_due().is_some_and(|due| due <= now) {
                state.coordinator.on_timer(now, effects);
            }
            state.coordinator.stats()
        });
        metrics::gauge!("carobvane_claims_open").set(stats.claims as f64);
        metrics::gauge!("carobvane_claims_store_down").set(f64::from(u8::from(stats.store_down)));
    }

    /// Sets the number of live entries, this one included, which share the write rate of the fleet.
    pub fn set_live_entries(&self, count: u32) {
        self.apply_input(|state, _| state.coordinator.set_live_entries(count));
    }

    /// Returns whether the coordinator considers the key-value service down.
    pub fn is_store_down(&self) -> bool {
        self.apply_input(|state, _| state.coordinator.stats().store_down)
    }

    /// Passes an input to the coordinator and applies its effects, also those that arise meanwhile.
    fn apply_input<T>(
        &self,
        input: impl FnOnce(&mut ClaimsState, &mut Vec<ClaimEffect>) -> T,
    ) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut effects = std::mem::take(&mut state.effects);
        let result = input(&mut state, &mut effects);
        while !effects.is_empty() {
            for effect in std::mem::take(&mut effects) {
                state.apply_effect(effect, &mut effects);
            }
        }
        state.effects = effects;
        result
    }
}

impl ClaimsState {
    fn apply_effect(&mut self, effect: ClaimEffect, effects: &mut Vec<ClaimEffect>) {
        match effect {
            // Sending fails only if the task has ended with the process; the call then counts as
            // lost after its timeout.
            ClaimEffect::Write { call_id, items } => {
                metrics::counter!("carobvane_claim_writes_total").increment(1);
                metrics::counter!("carobvane_claim_items_total").increment(items.len() as u64);
                self.calls.send(StoreCall::Write { call_id, items }).ok();
            }
            ClaimEffect::ReadBack { call_id, keys } => {
                metrics::counter!("carobvane_claim_read_backs_total").increment(1);
                self.calls.send(StoreCall::ReadBack { call_id, keys }).ok();
            }
            ClaimEffect::Dispatch { handle, not_after } => {
                let signal = ClaimSignal::Dispatch { not_after };
                let sent = self.waiting.get(&handle).is_some_and(|to| to.send(signal).is_ok());
                if !sent {
                    // The client disconnected before the dispatch, so the request does not run.
                    self.waiting.remove(&handle);
                    let outcome = DispatchOutcome::NotRun;
                    self.coordinator.on_dispatch_outcome(handle, outcome, clock::now(), effects);
                }
            }
            ClaimEffect::Answer { handle, answer } => {
                if let Some(to) = self.waiting.remove(&handle) {
                    to.send(ClaimSignal::Answer(answer)).ok();
                }
            }
        }
    }
}

/// Returns the message for a client whose request did not run.
pub fn not_run_message(cause: NotRunCause) -> &'static str {
    match cause {
        NotRunCause::Full => "too many calls are waiting to be recorded",
        NotRunCause::StoreDown => "calls cannot be recorded now; use a permit",
        NotRunCause::StoreRestored => {
            "the record of calls was restored from an older state; use a permit"
        }
        NotRunCause::Expired => "the call could not be recorded in time; use a permit",
        NotRunCause::ReleasePending => "an earlier call with this key is being withdrawn",
        NotRunCause::NotSent => "no server of the service accepted the call",
    }
}
