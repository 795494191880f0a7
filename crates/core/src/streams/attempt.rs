//! Names of attempts.

use std::{fmt, str::FromStr};

use crate::ids::{IncarnationId, NodeId, NodeIncarnation};

/// One attempt at one request. As text: `node-incarnation-request-number`.
///
/// The entry's life makes it unique in the fleet, so a chunk that reaches the wrong request never
/// carries the right name. A caller's own request id would not do: callers repeat theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The entry.
    pub life: NodeIncarnation,
    /// Counts requests in one life.
    pub request: u64,
    /// Counts attempts at the request.
    pub number: u16,
}

/// The text is not an attempt id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptIdError;

impl fmt::Display for AttemptIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "text is not an attempt id")
    }
}

impl std::error::Error for AttemptIdError {}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let NodeIncarnation { node, incarnation } = self.life;
        write!(f, "{}-{}-{}-{}", node.0, incarnation.0, self.request, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = AttemptIdError;

    fn from_str(text: &str) -> Result<AttemptId, AttemptIdError> {
        let parse = || {
            let mut parts = text.split('-');
            let node = NodeId(parts.next()?.parse().ok()?);
            let incarnation = IncarnationId(parts.next()?.parse().ok()?);
            let request = parts.next()?.parse().ok()?;
            let number = parts.next()?.parse().ok()?;
            let life = NodeIncarnation { node, incarnation };
            parts.next().is_none().then_some(AttemptId { life, request, number })
        };
        parse().ok_or(AttemptIdError)
    }
}
