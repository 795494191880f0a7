//! The limits of a plan and the windows over which they count use.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Longest time for which a stream may stay open. The entry then ends it with an error event.
///
/// An entry that lent a stream unit gets no message when the borrower crashes. It may use the unit
/// again only when no stream that began under the loan can still be open, so the duration of
/// streams must be bounded.
pub const MAX_STREAM_TIME: Duration = Duration::from_secs(600);

/// Fleet-wide limits of one plan. A limit of 0 rejects every use of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlanLimits {
    /// Most requests that may start in any second.
    pub requests_per_second: u64,
    /// Most tokens, prompt and generated, in any minute.
    pub tokens_per_minute: u64,
    /// Most streams that may be open at the same time.
    pub concurrent_streams: u64,
}

/// Identifies one of the limits of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    /// Requests that start in any second.
    Requests,
    /// Tokens in any minute.
    Tokens,
    /// Streams that are open at the same time.
    Streams,
}

impl LimitKind {
    /// All limits, in the order in which they are checked.
    pub const ALL: [LimitKind; 3] = [LimitKind::Requests, LimitKind::Tokens, LimitKind::Streams];

    /// Returns the name of the limit, as it appears in rejections, in metrics and on the status
    /// page.
    pub const fn as_str(self) -> &'static str {
        match self {
            LimitKind::Requests => "requests_per_second",
            LimitKind::Tokens => "tokens_per_minute",
            LimitKind::Streams => "concurrent_streams",
        }
    }

    /// Returns how long a use can count against the limit: the length of the window, or the longest
    /// duration of a stream.
    pub const fn window(self) -> Duration {
        match self {
            LimitKind::Requests => Duration::from_secs(1),
            LimitKind::Tokens => Duration::from_secs(60),
            LimitKind::Streams => MAX_STREAM_TIME,
        }
    }

    /// Returns the position in [`LimitKind::ALL`].
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
    /// Returns the amount of one limit.
    pub const fn amount(&self, kind: LimitKind) -> u64 {
        match kind {
            LimitKind::Requests => self.requests_per_second,
            LimitKind::Tokens => self.tokens_per_minute,
            LimitKind::Streams => self.concurrent_streams,
        }
    }
}
