//! Hosts the [`ClaimCoordinator`] of an entry.
//!
//! Request handlers run on several threads and share the coordinator under a lock; one task on the
//! entry's arbiter makes its calls to the key-value service. The node's tick drives its timers.

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

/// What a waiting request is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimSignal {
    /// Send the request now, unless the time has come, and report the outcome.
    Dispatch {
        /// End of the request's wait.
        not_after: ClockTime,
    },
    /// Answer the caller. The last signal.
    Answer(ClaimAnswer),
}

/// A call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// One transaction.
    Write {
        /// Names the call in the reply.
        call_id: u64,
        /// The operations.
        items: Vec<BatchItem>,
    },
    /// One read.
    ReadBack {
        /// Names the call in the reply.
        call_id: u64,
        /// The keys.
        keys: Vec<ClaimKey>,
    },
}

/// The result of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// The batch was written at this revision.
    Acknowledged(i64),
    /// The service at this revision holds these claims.
    Existing(i64, Vec<ExistingClaim>),
    /// No usable answer.
    Lost,
}

/// A request that the coordinator has accepted, and the signals that it gets.
pub struct WaitingRequest {
    /// Identifies the request in the coordinator.
    pub handle: ClaimHandle,
    /// Its signals.
    pub signals: mpsc::UnboundedReceiver<ClaimSignal>,
}

/// The claims of an entry, shared by its threads.
pub struct SharedClaims {
    state: Mutex<ClaimsState>,
}

struct ClaimsState {
    coordinator: ClaimCoordinator,
    waiting: HashMap<ClaimHandle, mpsc::UnboundedSender<ClaimSignal>>,
    calls: mpsc::UnboundedSender<StoreCall>,
    /// Reused between inputs.
    effects: Vec<ClaimEffect>,
}

impl SharedClaims {
    /// Creates the desk and the receiver of its calls. The coordinator has at most one call in
    /// flight.
    pub fn new(own: NodeIncarnation) -> (SharedClaims, mpsc::UnboundedReceiver<StoreCall>) {
        let (calls, receiver) = mpsc::unbounded_channel();
        let (coordinator, waiting) = (ClaimCoordinator::new(own), HashMap::new());
        let state = ClaimsState { coordinator, waiting, calls, effects: Vec::new() };
        (SharedClaims { state: Mutex::new(state) }, receiver)
    }

    /// Takes a request, or answers it at once.
    ///
    /// # Errors
    ///
    /// The answer, if the coordinator needs no call to know it.
    pub fn submit(&self, request: ClaimRequest) -> Result<WaitingRequest, ClaimAnswer> {
        self.update(|state, effects| {
            let handle = state.coordinator.submit(request, clock::now(), effects)?;
            let (sender, signals) = mpsc::unbounded_channel();
            state.waiting.insert(handle, sender);
            Ok(WaitingRequest { handle, signals })
        })
    }

    /// Reports how a dispatched request ended.
    pub fn on_dispatched(&self, handle: ClaimHandle, outcome: DispatchOutcome) {
        self.update(|state, effects| {
            state.coordinator.on_dispatch_outcome(handle, outcome, clock::now(), effects)
        });
    }

    /// Reports the result of a call.
    pub fn on_reply(&self, call_id: u64, reply: StoreReply) {
        let now = clock::now();
        self.update(|state, effects| match reply {
            StoreReply::Acknowledged(revision) => {
                state.coordinator.on_written(call_id, revision, now, effects);
            }
            StoreReply::Existing(revision, existing) => {
                state.coordinator.on_existing(call_id, revision, &existing, now, effects);
            }
            StoreReply::Lost => state.coordinator.on_call_lost(call_id, now),
        });
    }

    /// Handles what is due.
    pub fn tick(&self, now: ClockTime) {
        let stats = self.update(|state, effects| {
            if state.coordinator.next_due().is_some_and(|due| due <= now) {
                state.coordinator.on_timer(now, effects);
            }
            state.coordinator.stats()
        });
        metrics::gauge!("carobvane_claims_open").set(stats.claims as f64);
        metrics::gauge!("carobvane_claims_store_down").set(f64::from(u8::from(stats.store_down)));
    }

    /// Sets the number of live entries, this one included.
    pub fn set_live_entries(&self, count: u32) {
        self.update(|state, _| state.coordinator.set_live_entries(count));
    }

    /// Whether the key-value service counts as down.
    pub fn is_store_down(&self) -> bool {
        self.update(|state, _| state.coordinator.stats().store_down)
    }

    /// Gives an input to the coordinator and carries out its effects.
    fn update<T>(&self, input: impl FnOnce(&mut ClaimsState, &mut Vec<ClaimEffect>) -> T) -> T {
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
            // The task ends with the process; calls without it count as lost after their timeout.
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
                    // The caller has gone before the dispatch, so the request does not run.
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

/// Why a request did not run, for a person.
pub fn not_run_message(cause: NotRunCause) -> &'static str {
    match cause {
        NotRunCause::Full => "too many calls wait to be recorded",
        NotRunCause::StoreDown => "calls cannot be recorded now; use a permit",
        NotRunCause::StoreRestored => {
            "the record of calls went back to an older state; use a permit"
        }
        NotRunCause::Expired => "the call could not be recorded in time; use a permit",
        NotRunCause::ReleasePending => "an earlier call with this key is being withdrawn",
        NotRunCause::NotSent => "no server of the service took the call",
    }
}
