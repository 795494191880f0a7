//! All that a node decides about the limits of workspaces: as the home of slots, and as a node that
//! admits requests.

use std::{collections::BTreeMap, time::Duration};

use rand::RngCore;

use super::{
    HomeAnswer, HomeCheck, LimitMessage, NamedLimit, NodeName, PurchaseStep, SlotKey, SlotShare,
    TokenAnswer, TokenAsk, TokenPurchase, TokenReceipt, TokenReturn, WorkspaceId, WorkspaceLimit,
    home_rights::HomeRights, slot_homes::SlotHomes,
};
use crate::{clock::ClockTime, rendezvous::rendezvous_score};

/// A home that did not answer is asked only if there is no other, for this long.
const SILENCE_TIME: Duration = Duration::from_millis(800);
/// Requests of a workspace that has run short ask all homes at once for this long.
const SHORTAGE_TIME: Duration = Duration::from_secs(1);

/// The limits of workspaces at one node.
#[derive(Debug, Clone)]
pub struct WorkspaceLimiter {
    incarnation: u64,
    first_start: bool,
    rights: HomeRights,
    slots: SlotHomes,
    purchases: BTreeMap<u64, TokenPurchase>,
    /// Number of the next ask or purchase.
    number: u64,
    silent: BTreeMap<NodeName, ClockTime>,
    short: BTreeMap<WorkspaceId, ClockTime>,
    /// Configuration versions of homes, as they answered.
    home_versions: BTreeMap<NodeName, u64>,
    outbox: Vec<(NodeName, LimitMessage)>,
}

impl WorkspaceLimiter {
    /// Creates the limits of a node that has just started. `first_start` is whether the whole fleet
    /// starts for the first time, so that nothing was granted before.
    pub fn new(
        own: NodeName,
        incarnation: u64,
        window: Duration,
        first_start: bool,
    ) -> WorkspaceLimiter {
        WorkspaceLimiter {
            incarnation,
            first_start,
            rights: HomeRights::new(own, incarnation),
            slots: SlotHomes::new(window),
            purchases: BTreeMap::new(),
            number: 0,
            silent: BTreeMap::new(),
            short: BTreeMap::new(),
            home_versions: BTreeMap::new(),
            outbox: Vec::new(),
        }
    }

    /// Replaces the limits by those of a later configuration.
    pub fn set_limits(
        &mut self,
        now: ClockTime,
        version: u64,
        limits: BTreeMap<WorkspaceId, WorkspaceLimit>,
    ) {
        self.slots.set_limits(now, version, limits);
        self.update(now);
    }

    /// Replaces the list of nodes that take part. Each is given with its incarnation and whether its
    /// record is there.
    pub fn set_members(
        &mut self,
        now: ClockTime,
        members: impl IntoIterator<Item = (NodeName, u64, bool)>,
    ) {
        self.rights.set_members(now, members);
        self.update(now);
    }

    /// Records that the store has renewed or written this node's record by a call sent at `sent_at`.
    pub fn on_renewed(&mut self, now: ClockTime, sent_at: ClockTime) {
        self.rights.on_renewed(now, sent_at);
        self.update(now);
    }

    /// Stops granting, since this node stops.
    pub fn on_stopping(&mut self, now: ClockTime) {
        self.rights.on_stopping();
        self.update(now);
    }

    /// Derives what follows from the time, and queues a check of the other nodes if one is due.
    pub fn tick(&mut self, now: ClockTime) {
        self.rights.update(now);
        self.update(now);
        self.silent.retain(|_, until| now < *until);
        self.short.retain(|_, until| now < *until);
        if !self.slots.has_limits() {
            return;
        }
        let (holds, succeeds) = (self.slots.holds_slots(), self.slots.succeeds());
        if let Some((check, nodes)) = self.rights.take_check(now, holds, succeeds) {
            self.outbox.extend(nodes.into_iter().map(|node| (node, LimitMessage::Check(check))));
        }
    }

    /// Applies a message of another node, or of this one. Returns the purchase that it belongs to.
    pub fn on_message(
        &mut self,
        now: ClockTime,
        from: NodeName,
        message: &LimitMessage,
    ) -> Option<u64> {
        match message {
            LimitMessage::Ask(ask) => {
                let answer = self.answer_ask(now, ask);
                self.send(from, LimitMessage::Answer(answer));
            }
            LimitMessage::Answer(answer) => return self.on_token_answer(now, from, answer),
            LimitMessage::Return(unused) => {
                if self.rights.may_grant(now) {
                    self.slots.give_back(now, unused.key, unused.id);
                }
            }
            LimitMessage::Check(check) => {
                let answer = self.answer_check(now, check);
                self.send(from, LimitMessage::CheckAnswer(answer));
            }
            LimitMessage::CheckAnswer(answer) => self.on_check_answer(now, answer),
        }
        None
    }

    /// Begins to obtain the tokens of a request that may wait until `latest`. Returns the number of the
    /// purchase.
    pub fn begin(
        &mut self,
        workspace: WorkspaceId,
        amount: f64,
        latest: ClockTime,
        rng: &mut impl RngCore,
    ) -> u64 {
        let number = self.next_id();
        self.purchases.insert(number, TokenPurchase::new(workspace, amount, latest, rng));
        number
    }

    /// Goes on with a purchase. It is dropped when the step is final.
    pub fn advance(&mut self, now: ClockTime, number: u64) -> (PurchaseStep, String) {
        let Some(mut purchase) = self.purchases.remove(&number) else {
            return (PurchaseStep::Unanswered, String::new());
        };
        let step = purchase.advance(now, self);
        let answers = match step {
            PurchaseStep::Refused(_) | PurchaseStep::Unanswered => purchase.describe(),
            PurchaseStep::Wait(_) | PurchaseStep::Admitted(_) => String::new(),
        };
        if matches!(step, PurchaseStep::Wait(_)) {
            self.purchases.insert(number, purchase);
        }
        (step, answers)
    }

    /// Ends a purchase whose request has ended.
    pub fn abandon(&mut self, number: u64) {
        if let Some(mut purchase) = self.purchases.remove(&number) {
            purchase.abandon(self);
        }
    }

    /// Gives back the tokens of a request that has not run and never will.
    pub fn give_back(&mut self, receipt: TokenReceipt) {
        for (home, unused) in receipt.parts {
            self.send_return(home, unused);
        }
    }

    /// Returns the messages that are to be sent.
    pub fn take_messages(&mut self) -> Vec<(NodeName, LimitMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the limit of a workspace.
    pub fn limit(&self, workspace: WorkspaceId) -> Option<&WorkspaceLimit> {
        self.slots.limit(workspace)
    }

    /// Whether any workspace has a limit.
    pub fn has_limits(&self) -> bool {
        self.slots.has_limits()
    }

    /// Number of slots whose tokens this node grants now.
    pub fn held_slots(&self) -> usize {
        self.slots.held_count()
    }

    pub(super) fn share(&self, workspace: WorkspaceId) -> Option<SlotShare> {
        self.slots.share(workspace)
    }

    pub(super) fn home(&self, key: SlotKey) -> Option<NodeName> {
        self.slots.home(key)
    }

    pub(super) fn version(&self) -> u64 {
        self.slots.version()
    }

    /// Returns the limit to name to a home; `None` if that is known to have this version.
    pub(super) fn limit_for(&self, home: NodeName, workspace: WorkspaceId) -> Option<NamedLimit> {
        if self.home_versions.get(&home).is_some_and(|version| *version >= self.version()) {
            return None;
        }
        let limit = self.slots.limit(workspace)?;
        Some(NamedLimit { rate: limit.rate, burst: limit.burst })
    }

    pub(super) fn next_id(&mut self) -> u64 {
        self.number += 1;
        rendezvous_score(&self.incarnation.to_le_bytes(), self.number)
    }

    pub(super) fn send(&mut self, to: NodeName, message: LimitMessage) {
        self.outbox.push((to, message));
    }

    pub(super) fn send_return(&mut self, to: NodeName, unused: TokenReturn) {
        self.send(to, LimitMessage::Return(unused));
    }

    pub(super) fn on_silent(&mut self, now: ClockTime, home: NodeName) {
        self.silent.insert(home, now + SILENCE_TIME);
    }

    pub(super) fn is_silent(&self, now: ClockTime, home: NodeName) -> bool {
        self.silent.get(&home).is_some_and(|until| now < *until)
    }

    pub(super) fn on_short(&mut self, now: ClockTime, workspace: WorkspaceId) {
        self.short.insert(workspace, now + SHORTAGE_TIME);
    }

    pub(super) fn is_short(&self, now: ClockTime, workspace: WorkspaceId) -> bool {
        self.short.get(&workspace).is_some_and(|until| now < *until)
    }

    fn update(&mut self, now: ClockTime) {
        self.slots.update(now, &self.rights, self.first_start);
    }

    fn answer_ask(&mut self, now: ClockTime, ask: &TokenAsk) -> TokenAnswer {
        self.rights.update(now);
        self.update(now);
        let outcome = self.slots.grant(now, ask);
        TokenAnswer { id: ask.id, key: ask.key, outcome, version: self.slots.version() }
    }

    fn on_token_answer(
        &mut self,
        now: ClockTime,
        from: NodeName,
        answer: &TokenAnswer,
    ) -> Option<u64> {
        self.home_versions.insert(from, answer.version);
        self.silent.remove(&from);
        for (number, purchase) in &mut self.purchases {
            if purchase.on_answer(now, answer) {
                return Some(*number);
            }
        }
        None
    }

    fn answer_check(&mut self, now: ClockTime, check: &HomeCheck) -> HomeAnswer {
        self.rights.update(now);
        self.rights.on_check(now, check);
        // Slots that the asking node takes are closed before it is told that it is known.
        self.update(now);
        let mut answer = self.rights.answer(check);
        if answer.knows {
            self.slots.hand_over(check.node, &mut answer);
        }
        answer
    }

    fn on_check_answer(&mut self, now: ClockTime, answer: &HomeAnswer) {
        if self.rights.joined_at().is_none() {
            self.slots.take_handed(answer);
        }
        self.rights.on_answer(now, answer);
        self.update(now);
    }
}
