//! Why a call to the key-value service failed, and whether it can have taken effect.

use std::{fmt, time::Duration};

/// A failed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyvalueError {
    /// The service answered that it refuses the call: no effect.
    Refused {
        /// HTTP status of the answer.
        status: u16,
        /// Text of the answer.
        message: String,
    },
    /// The connection could not be made: no byte left this process, no effect.
    NotSent(String),
    /// The call would exceed the stated rate within its timeout: not sent, no effect.
    RateExceeded(Duration),
    /// A value is larger than [`MAX_VALUE_BYTES`](super::MAX_VALUE_BYTES): not sent, no effect.
    ValueTooLarge(usize),
    /// The call was sent and no usable answer came: a write may have taken effect.
    OutcomeUnknown(String),
}

impl KeyvalueError {
    /// Whether a write that failed so may have taken effect.
    pub fn is_outcome_unknown(&self) -> bool {
        matches!(self, KeyvalueError::OutcomeUnknown(_))
    }

    /// The name in metrics.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            KeyvalueError::Refused { .. } => "refused",
            KeyvalueError::NotSent(_) => "not_sent",
            KeyvalueError::RateExceeded(_) => "rate_exceeded",
            KeyvalueError::ValueTooLarge(_) => "value_too_large",
            KeyvalueError::OutcomeUnknown(_) => "outcome_unknown",
        }
    }

    /// Classifies an answer that is no success. A gateway reports its own timeouts and leader
    /// changes as 5xx after the write may have been committed.
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
