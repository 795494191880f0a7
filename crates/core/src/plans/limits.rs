//! The limits of a plan.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Longest time a stream stays open, after which the entry ends it with an error event.
///
/// A lender of a stream unit hears nothing from a borrower that died. It may use the unit again
/// only when no stream that began under the loan can still be open, so streams need a bound.
pub const MAX_STREAM_TIME: Duration = Duration::from_secs(600);

/// Fleet-wide limits of one plan. A limit of 0 allows nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default, Serialize, Deserialize)]
pub struct PlanLimits {
    /// Most requests that start in any second.
    pub requests_per_second: u64,
    /// Most tokens (prompt and generated) in any minute.
    pub tokens_per_minute: u64,
    /// Most streams open at once.
    pub concurrent_streams: u64,
}

/// One of a plan's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    /// Requests in any second.
    Requests,
    /// Tokens in any minute.
    Tokens,
    /// Streams open at once.
    Streams,
}

impl LimitKind {
    /// All limits, in the order in which they are checked.
    pub const ALL: [LimitKind; 3] = [LimitKind::Requests, LimitKind::Tokens, LimitKind::Streams];

    /// The name in rejections and on the status page.
    pub const fn as_str(self) -> &'static str {
        match self {
            LimitKind::Requests => "requests_per_second",
            LimitKind::Tokens => "tokens_per_minute",
            LimitKind::Streams => "concurrent_streams",
        }
    }

    /// How long one use can count against the limit: the window, or the longest stream.
    pub const fn window(self) -> Duration {
        match self {
            LimitKind::Requests => Duration::from_secs(1),
            LimitKind::Tokens => Duration::from_secs(60),
            LimitKind::Streams => MAX_STREAM_TIME,
        }
    }

    /// Position in [`LimitKind::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for LimitKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl PlanLimits {
    /// The amount of one limit.
    pub const fn amount(&self, kind: LimitKind) -> u64 {
        match kind {
            LimitKind::Requests => self.requests_per_second,
            LimitKind::Tokens => self.tokens_per_minute,
            LimitKind::Streams => self.concurrent_streams,
        }
    }
}
