//! The limit of a workspace, as the configuration gives it.

use std::fmt;

use super::{GRANT_LIFETIME, HANDOVER_GAP, SLOTS, SlotShare};
use crate::traffic::PromptShape;

/// Largest rate, burst or cost that a configuration may give. Sums of larger numbers lose units.
const MAX_AMOUNT: f64 = 1e12;

/// What a limit counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitUnit {
    /// Requests.
    Request,
    /// Prompt tokens and maximum output tokens of requests.
    Token,
}

impl LimitUnit {
    /// Returns the name of the unit in logs.
    pub fn label(self) -> &'static str {
        match self {
            LimitUnit::Request => "request",
            LimitUnit::Token => "token",
        }
    }
}

/// The limit of a workspace over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceLimit {
    /// Units a second. Invariant: positive and finite.
    pub rate: f64,
    /// Units that may be used beyond the rate. Invariant: not negative, finite.
    pub burst: f64,
    /// What is counted.
    pub unit: LimitUnit,
    /// What a request counts that names no tokens, if tokens are counted.
    pub plain_tokens: f64,
}

/// Why a limit cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitProblem {
    /// A number is negative, not finite or too large.
    BadNumber(&'static str),
    /// The unit is not known.
    UnknownUnit,
    /// The workspace has no keys, so no request belongs to it.
    NoKeys,
}

impl fmt::Display for LimitProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LimitProblem::BadNumber(field) => {
                write!(f, "{field} is no number from 0 to {MAX_AMOUNT:e}")
            }
            LimitProblem::UnknownUnit => f.write_str("unit is unknown"),
            LimitProblem::NoKeys => f.write_str("the workspace has no keys"),
        }
    }
}

/// What a configuration says of the limit of a workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum LimitSetting {
    /// There is none.
    #[default]
    Unlimited,
    /// There is one.
    Limited(WorkspaceLimit),
    /// It cannot be used; what was in force before remains so.
    Invalid(LimitProblem),
}

impl LimitSetting {
    /// Returns the limit, if there is one.
    pub fn limit(&self) -> Option<&WorkspaceLimit> {
        match self {
            LimitSetting::Limited(limit) => Some(limit),
            LimitSetting::Unlimited | LimitSetting::Invalid(_) => None,
        }
    }
}

impl WorkspaceLimit {
    /// Checks a limit. A rate of 0 means that there is none.
    pub fn check(self, has_keys: bool) -> LimitSetting {
        let numbers =
            [("ratePerS", self.rate), ("burst", self.burst), ("plainTokens", self.plain_tokens)];
        let is_usable = |amount: f64| (0.0..=MAX_AMOUNT).contains(&amount);
        let bad = numbers.into_iter().find(|(_, amount)| !is_usable(*amount));
        if let Some((field, _)) = bad {
            return LimitSetting::Invalid(LimitProblem::BadNumber(field));
        }
        if self.rate == 0.0 {
            return LimitSetting::Unlimited;
        }
        if !has_keys {
            return LimitSetting::Invalid(LimitProblem::NoKeys);
        }
        LimitSetting::Limited(self)
    }

    /// Returns what a request counts.
    pub fn charge(&self, prompt: &PromptShape) -> f64 {
        if self.unit == LimitUnit::Request {
            return 1.0;
        }
        let tokens = f64::from(prompt.prompt_tokens) + f64::from(prompt.max_output_tokens);
        if tokens > 0.0 { tokens } else { self.plain_tokens }
    }

    /// Returns the share of one slot, for a window of a given length.
    pub fn slot_share(&self, window: std::time::Duration) -> SlotShare {
        let slots = f64::from(SLOTS);
        let window_amount = self.rate * window.as_secs_f64() + self.burst;
        // Between two homes that do not know of each other's grants, the slot gets nothing for the
        // gap. The burst may be larger by that, less what may be used after it was granted.
        let saved = HANDOVER_GAP.saturating_sub(GRANT_LIFETIME).as_secs_f64();
        let capacity = (self.burst + self.rate * saved).min(window_amount);
        SlotShare {
            rate: self.rate / slots,
            capacity: capacity / slots,
            window_amount: window_amount / slots,
            window: window + GRANT_LIFETIME,
        }
    }
}
