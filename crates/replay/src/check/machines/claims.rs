//! Checks that claims and permits let each request run at most once.
//!
//! Entries, one key-value store, one plain service and callers that send requests again are
//! simulated. An answer of `not_run` or of a mismatched body must be true, and a response must come
//! from the attempt that ran.
//!
//! Replies carry the entry incarnation that they are meant for and are ignored by later ones,
//! because a connection does not outlive its process. The service runs each dispatched attempt
//! once, because a connection does not duplicate a request. The scheduler may duplicate every other
//! message.

use std::collections::{HashMap, HashSet};

use carobvane_core::{
    claims::{
        BodyFingerprint, ClaimAnswer, ClaimCoordinator, ClaimEffect, ClaimHandle, ClaimKey,
        ClaimRequest, DispatchOutcome, NotRunCause, Permit, PermitRegistry, RedeemOutcome,
        UnknownCause,
    },
    clock::ClockTime,
    ids::IncarnationId,
};
use rand::Rng;

mod observer;
mod store;

use observer::{AttemptRecord, response_of};
pub use observer::{CallIdentity, ClaimBug, ClaimMachine, ClaimMessage, ClaimNode, EntryNode};

use crate::check::{CheckedMachine, StepContext};

/// Node of the key-value store.
const STORE: usize = 0;
/// Node of the plain service, which runs the requests.
const SERVICE: usize = 1;
/// Node that stands for all callers.
const CALLERS: usize = 2;
const FIRST_ENTRY: usize = 3;
const ENTRIES: usize = 3;
/// Upper limit of the time until a request must be dispatched, in microseconds. Its deadline is
/// half of this limit later.
const MAX_WAIT_MICROS: u64 = 3_000_000;
const WORKSPACE: &str = "irazabal";

type Context<'a> = StepContext<'a, ClaimMessage>;

impl CheckedMachine for ClaimMachine {
    type Node = ClaimNode;
    type Message = ClaimMessage;
    type Bug = ClaimBug;

    const NAME: &'static str = "claims";
    const BUGS: &'static [(&'static str, ClaimBug)] = &[
        ("claim-dispatch-before-ack", ClaimBug::DispatchBeforeAck),
        ("claim-foreign-as-own", ClaimBug::ForeignAsOwn),
        ("claim-unknown-as-not-run", ClaimBug::UnknownAsNotRun),
        ("claim-late-as-not-run", ClaimBug::LateAsNotRun),
        ("permit-of-earlier-life", ClaimBug::PermitOfEarlierLife),
    ];
    const NODES: usize = FIRST_ENTRY + ENTRIES;
    const ACTING_NODES: std::ops::Range<usize> = CALLERS..CALLERS + 1;
    const MAX_ADVANCE_MICROS: u64 = 800_000;

    fn create(bug: Option<ClaimBug>) -> ClaimMachine {
        ClaimMachine { bug, attempts: HashMap::new(), runs: HashMap::new(), violation: None }
    }

    fn start(&mut self, context: &mut Context<'_>, previous: Option<ClaimNode>) -> ClaimNode {
        match (context.index, previous) {
            (STORE | SERVICE | CALLERS, Some(previous)) => previous,
            (STORE, None) => ClaimNode::Store { values: HashMap::new(), revision: 1 },
            (SERVICE, None) => ClaimNode::Service(HashSet::new()),
            (CALLERS, None) => ClaimNode::Callers { permits: Vec::new(), keys: 0 },
            _ => {
                let mut coordinator = ClaimCoordinator::new(context.incarnation);
                coordinator.set_live_entries(ENTRIES as u32);
                let mut issuer = context.incarnation;
                if self.bug == Some(ClaimBug::PermitOfEarlierLife) {
                    issuer.incarnation = IncarnationId(1);
                }
                let registry = PermitRegistry::new(issuer, [7; 32]);
                let (attempts, running_permit_attempts) = (HashMap::new(), HashSet::new());
                let entry = EntryNode { coordinator, registry, attempts, running_permit_attempts };
                ClaimNode::Entry(Box::new(entry))
            }
        }
    }

    fn receive(
        &mut self,
        node: &mut ClaimNode,
        from: usize,
        message: ClaimMessage,
        context: &mut Context<'_>,
    ) {
        match (node, message) {
            (ClaimNode::Store { values, revision }, message) => {
                store::receive(values, revision, from, message, context);
            }
            (ClaimNode::Service(seen), ClaimMessage::Dispatch(incarnation, attempt, handle)) => {
                let is_new = seen.insert(attempt);
                if is_new {
                    self.record_run(attempt);
                    context.send(from, ClaimMessage::Completed(incarnation, attempt, handle));
                }
            }
            (ClaimNode::Callers { permits, .. }, ClaimMessage::IssuedPermit(permit)) => {
                permits.push(permit);
            }
            (ClaimNode::Entry(entry), message) => {
                self.receive_at_entry(entry, message, context);
            }
            _ => {}
        }
    }

    fn tick(&mut self, node: &mut ClaimNode, context: &mut Context<'_>) {
        if let ClaimNode::Entry(entry) = node {
            let mut effects = Vec::new();
            entry.coordinator.on_timer(context.now, &mut effects);
            self.apply_effects(entry, effects, context);
        }
    }

    fn perform_action(&mut self, node: &mut ClaimNode, context: &mut Context<'_>) {
        let ClaimNode::Callers { permits, keys } = node else { return };
        let entry = FIRST_ENTRY + context.rng.random_range(0..ENTRIES);
        let (call, permit) = match context.rng.random_range(0..10) {
            0 => return context.send(entry, ClaimMessage::RequestPermit),
            1..3 if !permits.is_empty() => {
                let permit = permits[context.rng.random_range(0..permits.len())];
                (CallIdentity::Permit(permit.issuer, permit.serial), Some(permit))
            }
            3..6 => {
                *keys = keys.saturating_add(1);
                (CallIdentity::Key(*keys), None)
            }
            _ => (CallIdentity::Key(context.rng.random_range(0..=*keys)), None),
        };
        let body = u8::from(context.rng.random_ratio(1, 10));
        let attempt = self.attempts.len() as u64;
        let record =
            AttemptRecord { call, body, entry_incarnation: None, answer: None, ran: false };
        self.attempts.insert(attempt, record);
        context.send(entry, ClaimMessage::Submit(attempt, call, body, permit));
    }

    fn check_invariant(&self, _: &[Option<ClaimNode>], _: ClockTime) -> Result<(), String> {
        self.violation.clone().map_or(Ok(()), Err)
    }

    fn check_after_settling(
        &self,
        nodes: &[Option<ClaimNode>],
        _: ClockTime,
    ) -> Result<(), String> {
        for node in nodes {
            let Some(ClaimNode::Entry(entry)) = node else { continue };
            let mut waiting = entry.attempts.values();
            if let Some(attempt) = waiting.find(|attempt| self.attempts[attempt].answer.is_none()) {
                return Err(format!("attempt {attempt} was never answered"));
            }
        }
        Ok(())
    }
}

impl ClaimMachine {
    fn receive_at_entry(
        &mut self,
        entry: &mut EntryNode,
        message: ClaimMessage,
        context: &mut Context<'_>,
    ) {
        let (incarnation, now) = (context.incarnation, context.now);
        let mut effects = Vec::new();
        match message {
            ClaimMessage::Submit(attempt, call, body, permit) => {
                return self.submit(entry, attempt, call, body, permit, context);
            }
            ClaimMessage::RequestPermit => {
                if let Ok(permit) = entry.registry.issue(WORKSPACE, now) {
                    context.send(CALLERS, ClaimMessage::IssuedPermit(permit));
                }
            }
            ClaimMessage::Written(to, call_id, revision) if to == incarnation => {
                entry.coordinator.on_written(call_id, revision, now, &mut effects);
            }
            ClaimMessage::Existing(to, call_id, revision, _)
                if to == incarnation && self.bug == Some(ClaimBug::ForeignAsOwn) =>
            {
                entry.coordinator.on_written(call_id, revision, now, &mut effects);
            }
            ClaimMessage::Existing(to, call_id, revision, existing) if to == incarnation => {
                entry.coordinator.on_existing(call_id, revision, &existing, now, &mut effects);
            }
            ClaimMessage::Completed(to, attempt, Some(handle)) if to == incarnation => {
                let outcome = DispatchOutcome::Response(response_of(attempt));
                entry.coordinator.on_dispatch_outcome(handle, outcome, now, &mut effects);
            }
            ClaimMessage::Completed(to, attempt, None)
                if to == incarnation && entry.running_permit_attempts.remove(&attempt) =>
            {
                self.record_answer(attempt, ClaimAnswer::Response(response_of(attempt)));
            }
            _ => {}
        }
        self.apply_effects(entry, effects, context);
    }

    /// Handles a new attempt at an entry: redeems its permit, or submits its claim.
    fn submit(
        &mut self,
        entry: &mut EntryNode,
        attempt: u64,
        call: CallIdentity,
        body: u8,
        permit: Option<Permit>,
        context: &mut Context<'_>,
    ) {
        let Some(record) = self.attempts.get_mut(&attempt) else { return };
        // The scheduler may duplicate this message, but a connection delivers a request only once.
        if record.entry_incarnation.replace(context.incarnation).is_some() {
            return;
        }
        if let Some(permit) = permit {
            return self.redeem_permit(entry, attempt, permit, context);
        }
        let wait = context.rng.random_range(1..MAX_WAIT_MICROS);
        let request = ClaimRequest {
            key: ClaimKey::new(WORKSPACE, "bookings", &format!("{call:?}")),
            fingerprint: BodyFingerprint::new("POST", "/book", &[body]),
            dispatch_by: context.now + std::time::Duration::from_micros(wait),
            deadline: context.now + std::time::Duration::from_micros(wait + MAX_WAIT_MICROS / 2),
        };
        let mut effects = Vec::new();
        match entry.coordinator.submit(request, context.now, &mut effects) {
            Ok(handle) => {
                entry.attempts.insert(handle, attempt);
            }
            Err(answer) => self.record_answer(attempt, answer),
        }
        self.apply_effects(entry, effects, context);
    }

    /// Redeems a permit and dispatches its attempt. With probability 1/8 the dispatch is not sent,
    /// and the permit is restored.
    fn redeem_permit(
        &mut self,
        entry: &mut EntryNode,
        attempt: u64,
        permit: Permit,
        context: &mut Context<'_>,
    ) {
        match entry.registry.redeem(&permit, WORKSPACE) {
            RedeemOutcome::Run if context.rng.random_ratio(1, 8) => {
                entry.registry.restore(&permit);
                self.record_answer(attempt, ClaimAnswer::NotRun(NotRunCause::NotSent));
            }
            RedeemOutcome::Run => {
                entry.running_permit_attempts.insert(attempt);
                context.send(SERVICE, ClaimMessage::Dispatch(context.incarnation, attempt, None));
            }
            RedeemOutcome::Invalid => {
                self.violation = Some(format!("the valid permit {permit} was rejected as invalid"));
            }
            _ => self.record_answer(
                attempt,
                ClaimAnswer::OutcomeUnknown(UnknownCause::ClaimedElsewhere),
            ),
        }
    }

    fn apply_effects(
        &mut self,
        entry: &mut EntryNode,
        effects: Vec<ClaimEffect>,
        context: &mut Context<'_>,
    ) {
        for effect in effects {
            match effect {
                ClaimEffect::Write { call_id, items } => {
                    context.send(STORE, ClaimMessage::Write(context.incarnation, call_id, items));
                    if self.bug == Some(ClaimBug::DispatchBeforeAck) {
                        let (mut next_effects, revision) = (Vec::new(), call_id as i64);
                        entry.coordinator.on_written(
                            call_id,
                            revision,
                            context.now,
                            &mut next_effects,
                        );
                        self.apply_effects(entry, next_effects, context);
                    }
                }
                ClaimEffect::ReadBack { call_id, keys } => {
                    context.send(STORE, ClaimMessage::ReadBack(context.incarnation, call_id, keys));
                }
                ClaimEffect::Dispatch { handle, .. } => self.dispatch(entry, handle, context),
                ClaimEffect::Answer { handle, answer } => {
                    let answer = match (answer, self.bug) {
                        (ClaimAnswer::OutcomeUnknown(_), Some(ClaimBug::LateAsNotRun)) => {
                            ClaimAnswer::NotRun(NotRunCause::Expired)
                        }
                        (answer, _) => answer,
                    };
                    self.record_answer(entry.attempts[&handle], answer);
                }
            }
        }
    }

    /// Simulates a dispatch, whose outcome is random: it is not sent, it is sent and its outcome
    /// stays unknown, or it is sent and the service's reply decides.
    fn dispatch(&mut self, entry: &mut EntryNode, handle: ClaimHandle, context: &mut Context<'_>) {
        let attempt = entry.attempts[&handle];
        let outcome = match context.rng.random_range(0..8) {
            0 => Some(DispatchOutcome::NotRun),
            1 => {
                context.send(
                    SERVICE,
                    ClaimMessage::Dispatch(context.incarnation, attempt, Some(handle)),
                );
                match self.bug {
                    Some(ClaimBug::UnknownAsNotRun) => Some(DispatchOutcome::NotRun),
                    _ => Some(DispatchOutcome::Unknown),
                }
            }
            _ => {
                context.send(
                    SERVICE,
                    ClaimMessage::Dispatch(context.incarnation, attempt, Some(handle)),
                );
                None
            }
        };
        if let Some(outcome) = outcome {
            let mut next_effects = Vec::new();
            entry.coordinator.on_dispatch_outcome(handle, outcome, context.now, &mut next_effects);
            self.apply_effects(entry, next_effects, context);
        }
    }
}
