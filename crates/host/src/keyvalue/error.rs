//! Errors of calls to the key-value service, by whether the call may have taken effect.

use std::{fmt, time::Duration};

/// Error of a call to the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyvalueError {
    /// The service rejected the call with a 4xx status: no effect.
    Refused {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        message: String,
    },
    /// The connection failed before any byte of the request was sent: no effect. Holds the cause.
    NotSent(String),
    /// The rate limit would not admit the call within its timeout: not sent, no effect. Holds the
    /// time until the next call is admitted.
    RateExceeded(Duration),
    /// A value exceeds [`MAX_VALUE_BYTES`](super::MAX_VALUE_BYTES): not sent, no effect. Holds the
    /// size in bytes.
    ValueTooLarge(usize),
    /// The call was sent but no usable response arrived: a write may have taken effect. Holds the
    /// cause.
    OutcomeUnknown(String),
}

impl KeyvalueError {
    /// Whether a write that failed with this error may have taken effect.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(self, KeyvalueError::OutcomeUnknown(_))
    }

    /// Value of the `outcome` label in the metric of calls.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            KeyvalueError::Refused { .. } => "refused",
            KeyvalueError::NotSent(_) => "not_sent",
            KeyvalueError::RateExceeded(_) => "rate_exceeded",
            KeyvalueError::ValueTooLarge(_) => "value_too_large",
            KeyvalueError::OutcomeUnknown(_) => "outcome_unknown",
        }
    }

    /// Creates the error for a response with an error status. Only 4xx means "no effect": the
    /// gateway reports its own timeouts and leader changes as 5xx, possibly after the write was
    /// committed.
    pub(super) fn from_status(status: u16, message: String) -> KeyvalueError {
        if (400..500).contains(&status) {
            KeyvalueError::Refused { status, message }
        } else {
            KeyvalueError::OutcomeUnknown(format!("status {status}: {message}"))
        }
    }
}

impl fmt::Display for KeyvalueError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyvalueError::Refused { status, message } => {
                write!(f, "key-value service refused the call: status {status}: {message}")
            }
            KeyvalueError::NotSent(cause) => {
                write!(f, "failed to connect to the key-value service: {cause}")
            }
            KeyvalueError::RateExceeded(wait) => {
                write!(f, "call rate exhausted: next call in {} ms", wait.as_millis())
            }
            KeyvalueError::ValueTooLarge(bytes) => {
                write!(f, "value of {bytes} bytes exceeds {} bytes", super::MAX_VALUE_BYTES)
            }
            KeyvalueError::OutcomeUnknown(cause) => {
                write!(f, "no answer from the key-value service, outcome unknown: {cause}")
            }
        }
    }
}

impl std::error::Error for KeyvalueError {}
