//! Obtains the tokens of one request from the homes of its workspace's slots.
//!
//! A small request asks one home. If that has too few tokens, or the request is large, the other homes
//! are asked what they have, and the request takes a part from each, all of them due at the same time.

use std::time::Duration;

use rand::{Rng, RngCore};

use super::{
    ANSWER_TIMEOUT, LimitMessage, NodeName, SLOTS, SlotKey, SlotShare, TokenAnswer, TokenAsk,
    TokenReturn, WorkspaceId,
    limiter::WorkspaceLimiter,
    messages::{to_micros, to_milli},
    purchase_parts::{AskedPart, PartState, due_time, ignores_expiry, part_after, wait_for},
};
use crate::clock::ClockTime;

/// A request larger than this share of a slot's capacity takes a part from each slot.
const MAX_SINGLE_SHARE: f64 = 0.5;
/// Number of times that the homes are asked for parts.
const MAX_ROUNDS: u32 = 6;
/// Time after which the homes are asked again if none of them has granted.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Parts of a request are due within this time of each other, in the time that their grants last.
const PART_SLACK: Duration = Duration::from_millis(40);

/// How a purchase goes on.
#[derive(Debug, Clone, PartialEq)]
pub enum PurchaseStep {
    /// Wait until this time, or until an answer arrives.
    Wait(ClockTime),
    /// The request may be sent to a server now.
    Admitted(TokenReceipt),
    /// The workspace has used its limit; tokens will be available after this time.
    Refused(Duration),
    /// No home could be asked.
    Unanswered,
}

/// What a request has obtained, so that it can be given back.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TokenReceipt {
    pub(super) parts: Vec<(NodeName, TokenReturn)>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PurchaseStage {
    /// Nothing was asked yet.
    Start,
    /// One home was asked for all tokens.
    Single,
    /// Homes were asked how many tokens they have.
    Query,
    /// Homes were asked for parts.
    Reserve,
    /// No home granted; they are asked again at this time.
    Pause(ClockTime),
}

/// The tokens of one request, on their way.
#[derive(Debug, Clone)]
pub struct TokenPurchase {
    workspace: WorkspaceId,
    amount: f64,
    /// When the request can no longer wait for tokens.
    latest: ClockTime,
    /// Slots in the order in which they are tried.
    slots: [u8; SLOTS as usize],
    /// Slots whose homes did not answer, or answered that they do not grant for them.
    failed: Vec<u8>,
    levels: Vec<(u8, f64)>,
    parts: Vec<AskedPart>,
    stage: PurchaseStage,
    rounds: u32,
}

impl TokenPurchase {
    /// Begins to obtain tokens for a request that may wait until `latest`.
    pub fn new(
        workspace: WorkspaceId,
        amount: f64,
        latest: ClockTime,
        rng: &mut impl RngCore,
    ) -> TokenPurchase {
        let from = rng.random_range(0..SLOTS);
        TokenPurchase {
            workspace,
            amount,
            latest,
            slots: std::array::from_fn(|index| (from + index as u8) % SLOTS),
            failed: Vec::new(),
            levels: Vec::new(),
            parts: Vec::new(),
            stage: PurchaseStage::Start,
            rounds: 0,
        }
    }

    /// Returns the homes that were asked last, with what they answered, for the log.
    pub fn describe(&self) -> String {
        let parts = self.parts.iter().map(|part| format!("{}: {:?}", part.key.slot, part.state));
        parts.collect::<Vec<_>>().join(", ")
    }

    /// Records an answer. Returns whether it belongs to this purchase.
    pub fn on_answer(&mut self, now: ClockTime, answer: &TokenAnswer) -> bool {
        let mut parts = self.parts.iter_mut();
        let Some(part) = parts.find(|part| part.id == answer.id) else { return false };
        if part.state != PartState::Pending {
            return false;
        }
        part.apply(now, answer.outcome);
        true
    }

    /// Goes on with what is known. Messages are queued at the limiter.
    pub fn advance(&mut self, now: ClockTime, limiter: &mut WorkspaceLimiter) -> PurchaseStep {
        loop {
            if let Some(until) = self.pending_until(now, limiter) {
                return PurchaseStep::Wait(until);
            }
            let step = match self.stage {
                PurchaseStage::Start => self.start(now, limiter),
                PurchaseStage::Single => self.after_single(now, limiter),
                PurchaseStage::Query => self.after_query(now, limiter),
                PurchaseStage::Reserve => self.after_reserve(now, limiter),
                PurchaseStage::Pause(until) if now < until => Some(PurchaseStep::Wait(until)),
                PurchaseStage::Pause(_) => {
                    self.failed.clear();
                    self.query(now, limiter)
                }
            };
            if let Some(step) = step {
                return step;
            }
        }
    }

    /// Returns until when answers are waited for. Homes that have not answered by then have failed.
    fn pending_until(
        &mut self,
        now: ClockTime,
        limiter: &mut WorkspaceLimiter,
    ) -> Option<ClockTime> {
        let pending = self.parts.iter().filter(|part| part.state == PartState::Pending);
        let until = pending.map(|part| part.asked_at + ANSWER_TIMEOUT).min()?;
        if now < until {
            return Some(until);
        }
        for part in self.parts.iter_mut().filter(|part| part.state == PartState::Pending) {
            part.state = PartState::Failed;
            limiter.on_silent(now, part.home);
            // The grant may be on its way.
            limiter.send_return(part.home, TokenReturn { id: part.id, key: part.key });
        }
        None
    }

    fn start(&mut self, now: ClockTime, limiter: &mut WorkspaceLimiter) -> Option<PurchaseStep> {
        let Some(share) = limiter.share(self.workspace) else {
            return Some(PurchaseStep::Admitted(TokenReceipt::default()));
        };
        let is_large = self.amount > share.capacity * MAX_SINGLE_SHARE;
        if is_large || limiter.is_short(now, self.workspace) {
            return self.query(now, limiter);
        }
        self.ask_single(now, limiter)
    }

    fn ask_single(
        &mut self,
        now: ClockTime,
        limiter: &mut WorkspaceLimiter,
    ) -> Option<PurchaseStep> {
        self.parts.clear();
        let slots = self.usable_slots(now, limiter);
        let Some((key, home)) = slots.first().copied() else { return self.pause(now) };
        self.stage = PurchaseStage::Single;
        self.ask(now, limiter, (key, home), self.amount, Duration::ZERO);
        None
    }

    fn after_single(
        &mut self,
        now: ClockTime,
        limiter: &mut WorkspaceLimiter,
    ) -> Option<PurchaseStep> {
        if let Some(step) = self.granted(now, limiter) {
            return Some(step);
        }
        if self.parts.iter().any(|part| matches!(part.state, PartState::Short { .. })) {
            limiter.on_short(now, self.workspace);
            self.note_levels();
            return self.query(now, limiter);
        }
        self.note_failures();
        self.release(limiter);
        self.ask_single(now, limiter)
    }

    /// Asks the homes whose number of tokens is not known how many they have.
    fn query(&mut self, now: ClockTime, limiter: &mut WorkspaceLimiter) -> Option<PurchaseStep> {
        self.parts.clear();
        self.stage = PurchaseStage::Query;
        for (key, home) in self.usable_slots(now, limiter) {
            if !self.levels.iter().any(|(slot, _)| *slot == key.slot) {
                self.ask(now, limiter, (key, home), 0.0, Duration::ZERO);
            }
        }
        None
    }

    fn after_query(
        &mut self,
        now: ClockTime,
        limiter: &mut WorkspaceLimiter,
    ) -> Option<PurchaseStep> {
        self.note_levels();
        self.note_failures();
        if self.levels.is_empty() {
            return self.pause(now);
        }
        let share = limiter.share(self.workspace)?;
        let Some(wait) = wait_for(self.amount, &self.levels, &share) else {
            return Some(PurchaseStep::Refused(share.window));
        };
        if now + wait > self.latest || self.rounds >= MAX_ROUNDS {
            limiter.on_short(now, self.workspace);
            return Some(PurchaseStep::Refused(wait));
        }
        self.rounds += 1;
        self.reserve(now, limiter, wait, &share)
    }

    /// Asks each home for a part, so that all parts are due after `wait`.
    fn reserve(
        &mut self,
        now: ClockTime,
        limiter: &mut WorkspaceLimiter,
        wait: Duration,
        share: &SlotShare,
    ) -> Option<PurchaseStep> {
        self.parts.clear();
        self.stage = PurchaseStage::Reserve;
        let levels = std::mem::take(&mut self.levels);
        let mut left = self.amount;
        for (index, (slot, level)) in levels.iter().enumerate() {
            let is_last = index + 1 == levels.len();
            let there = part_after(wait, *level, share);
            let part = if is_last { left } else { there.min(left) };
            left -= part;
            let key = SlotKey { workspace: self.workspace, slot: *slot };
            if let (true, Some(home)) = (part > 0.0, limiter.home(key)) {
                self.ask(now, limiter, (key, home), part, wait + PART_SLACK);
            }
        }
        None
    }

    fn after_reserve(
        &mut self,
        now: ClockTime,
        limiter: &mut WorkspaceLimiter,
    ) -> Option<PurchaseStep> {
        if let Some(step) = self.granted(now, limiter) {
            return Some(step);
        }
        self.note_failures();
        self.release(limiter);
        let waits = self.parts.iter().filter_map(|part| match part.state {
            PartState::Short { wait, .. } => Some(wait),
            _ => None,
        });
        let wait = waits.max().unwrap_or(RETRY_PAUSE);
        if self.rounds >= MAX_ROUNDS || now >= self.latest {
            return Some(PurchaseStep::Refused(wait));
        }
        self.query(now, limiter)
    }

    /// Returns the step that follows if all parts were granted. Grants that are too old are released.
    fn granted(&mut self, now: ClockTime, limiter: &mut WorkspaceLimiter) -> Option<PurchaseStep> {
        let (ready, valid) = due_time(now, &self.parts)?;
        if ready > valid && !ignores_expiry() {
            self.release(limiter);
            return self.pause(now);
        }
        if now < ready {
            return Some(PurchaseStep::Wait(ready));
        }
        Some(PurchaseStep::Admitted(TokenReceipt { parts: self.returns() }))
    }

    fn returns(&self) -> Vec<(NodeName, TokenReturn)> {
        let granted = self.parts.iter().filter(|part| part.is_granted());
        granted.map(|part| (part.home, TokenReturn { id: part.id, key: part.key })).collect()
    }

    /// Gives back what was granted.
    pub fn release(&mut self, limiter: &mut WorkspaceLimiter) {
        for (home, unused) in self.returns() {
            limiter.send_return(home, unused);
        }
        for part in &mut self.parts {
            if part.is_granted() {
                part.state = PartState::Failed;
            }
        }
    }

    /// Gives back what was granted or may yet be, since the request has ended.
    pub fn abandon(&mut self, limiter: &mut WorkspaceLimiter) {
        self.release(limiter);
        for part in self.parts.iter().filter(|part| part.state == PartState::Pending) {
            limiter.send_return(part.home, TokenReturn { id: part.id, key: part.key });
        }
    }

    fn pause(&mut self, now: ClockTime) -> Option<PurchaseStep> {
        self.parts.clear();
        self.levels.clear();
        let until = now + RETRY_PAUSE;
        if until > self.latest {
            return Some(PurchaseStep::Unanswered);
        }
        self.stage = PurchaseStage::Pause(until);
        None
    }

    fn note_levels(&mut self) {
        for part in &self.parts {
            if let PartState::Short { level, .. } = part.state {
                self.levels.retain(|(slot, _)| *slot != part.key.slot);
                self.levels.push((part.key.slot, level));
            }
        }
    }

    fn note_failures(&mut self) {
        let failed = self.parts.iter().filter(|part| part.state == PartState::Failed);
        self.failed.extend(failed.map(|part| part.key.slot));
    }

    /// Slots that have not failed, with their homes; those of silent homes come only if there is no other.
    fn usable_slots(&self, now: ClockTime, limiter: &WorkspaceLimiter) -> Vec<(SlotKey, NodeName)> {
        let slots = self.slots.iter().filter(|slot| !self.failed.contains(slot));
        let keys = slots.map(|slot| SlotKey { workspace: self.workspace, slot: *slot });
        let all: Vec<_> = keys.filter_map(|key| Some((key, limiter.home(key)?))).collect();
        let (silent, heard): (Vec<_>, Vec<_>) =
            all.into_iter().partition(|(_, home)| limiter.is_silent(now, *home));
        if heard.is_empty() { silent } else { heard }
    }

    fn ask(
        &mut self,
        now: ClockTime,
        limiter: &mut WorkspaceLimiter,
        (key, home): (SlotKey, NodeName),
        amount: f64,
        max_delay: Duration,
    ) {
        let id = limiter.next_id();
        let limit = limiter.limit_for(home, key.workspace);
        let ask = TokenAsk {
            id,
            key,
            amount: to_milli(amount),
            max_delay: to_micros(max_delay),
            version: limiter.version(),
            limit,
        };
        self.parts.push(AskedPart { id, key, home, asked_at: now, state: PartState::Pending });
        limiter.send(home, LimitMessage::Ask(ask));
    }
}
