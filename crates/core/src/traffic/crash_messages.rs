//! Inputs and results of the [`CrashTracker`](super::CrashTracker).

use crate::{ids::ServerKey, suspects::SuspectFingerprint};

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may run.
    Allow,
    /// The request is running or was lost at so many servers that it could crash too many.
    Wait,
    /// The request must not run, because it has crashed too many servers.
    Reject,
}

/// A run of a request on one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerRun {
    /// The request.
    pub fingerprint: SuspectFingerprint,
    /// The server at this node.
    pub server: ServerKey,
    /// Number of the server's incarnation, the same on all nodes.
    pub(super) incarnation: u64,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// With a whole successful response.
    Completed,
    /// With a whole response that reports an error, or that the request was not run.
    Refused,
    /// With a connection that broke, or with bytes that are no response.
    Broken,
    /// Without a whole response: the time ran out, the client left, or the end of the response
    /// cannot be told from the end of the server.
    Unanswered,
}

/// What a node has learned about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvent {
    /// A server incarnation ended under the request.
    Counted {
        /// The request.
        fingerprint: SuspectFingerprint,
        /// The server incarnation.
        incarnation: u64,
        /// Number of crashes of the request.
        crashes: usize,
    },
    /// The request has completed, so its earlier crashes had another cause.
    Withdrawn {
        /// The request.
        fingerprint: SuspectFingerprint,
        /// Number of crashes that were withdrawn.
        crashes: usize,
    },
    /// Another node has reported crashes or withdrawals that were not known.
    Learned {
        /// The request.
        fingerprint: SuspectFingerprint,
        /// Number of crashes of the request.
        crashes: usize,
    },
    /// A record was dropped to make room.
    Dropped {
        /// The request.
        fingerprint: SuspectFingerprint,
        /// Number of crashes of the request.
        crashes: usize,
    },
}
