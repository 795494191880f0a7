//! Inputs and results of the [`CrashTracker`](super::CrashTracker).

use serde::{Deserialize, Serialize};

use crate::{
    ids::ServerKey,
    suspects::{CrashEntry, RunSuspects, ServerBuild, SuspectFingerprint},
};

/// The crashes of one suspect, as nodes tell each other and keep them in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct CrashReport {
    /// The suspect.
    #[n(0)]
    pub fingerprint: SuspectFingerprint,
    /// Server incarnations that ended under it, by numbers that are the same on all nodes.
    #[n(1)]
    pub crashes: Vec<CrashEntry<u64>>,
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may run.
    Allow,
    /// The request, or one with a suspected part, is running or was lost at so many servers that it
    /// could crash too many.
    Wait,
    /// The request must not run, because it or a part of its prompt has crashed too many servers.
    Reject,
}

/// A verdict and the suspect behind it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashRuling {
    /// Whether the request may run.
    pub verdict: CrashVerdict,
    /// The request, or the part with the most crashes.
    pub suspect: SuspectFingerprint,
    /// Number of servers that ended under the suspect.
    pub crashes: usize,
}

/// A run of a request on one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerRun {
    /// The server at this node.
    pub server: ServerKey,
    /// Number of the server's incarnation, the same on all nodes.
    pub(super) incarnation: u64,
    /// Software and weights of the server.
    pub build: ServerBuild,
    /// Identifies the run on all nodes.
    pub(super) number: u64,
    /// The request and the parts of its prompt.
    pub(super) suspects: RunSuspects,
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

/// What a node has learned about a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashEvent {
    /// A server incarnation ended under the suspect.
    Counted {
        /// The suspect.
        fingerprint: SuspectFingerprint,
        /// The server incarnation.
        incarnation: u64,
        /// Build of the server.
        build: ServerBuild,
        /// Number of crashes of the suspect.
        crashes: usize,
    },
    /// So many requests with the suspect have completed that earlier crashes had another cause.
    Withdrawn {
        /// The suspect.
        fingerprint: SuspectFingerprint,
        /// Number of crashes that were withdrawn.
        crashes: usize,
        /// Build of the server at which the last one has completed.
        build: ServerBuild,
    },
    /// A request with the suspect has completed, which is not enough to withdraw a crash.
    Completed {
        /// The suspect.
        fingerprint: SuspectFingerprint,
    },
    /// Another node has reported crashes or withdrawals that were not known.
    Learned {
        /// The suspect.
        fingerprint: SuspectFingerprint,
        /// Number of crashes of the suspect.
        crashes: usize,
    },
    /// A record was dropped to make room.
    Dropped {
        /// The suspect.
        fingerprint: SuspectFingerprint,
        /// Number of crashes of the suspect.
        crashes: usize,
    },
}
