//! Identifiers of attempts, and their text form.

use std::{fmt, str::FromStr};

use crate::ids::{IncarnationId, NodeId, NodeIncarnation};

/// Identifies one attempt at one request. The text form is `node-incarnation-request-number`.
///
/// The entry and its incarnation make the id unique in the fleet, so that a chunk sent to the wrong
/// request never carries a matching id. Request ids from callers cannot be used, because callers
/// repeat them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The entry and its incarnation.
    pub entry: NodeIncarnation,
    /// Number of the request, counted in this incarnation of the entry.
    pub request: u64,
    /// Number of the attempt, counted from zero for each request.
    pub number: u16,
}

/// The text is not a valid attempt id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptIdError;

impl fmt::Display for AttemptIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failed to parse attempt id: expected node-incarnation-request-number")
    }
}

impl std::error::Error for AttemptIdError {}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let NodeIncarnation { node, incarnation } = self.entry;
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
            let entry = NodeIncarnation { node, incarnation };
            parts.next().is_none().then_some(AttemptId { entry, request, number })
        };
        parse().ok_or(AttemptIdError)
    }
}
