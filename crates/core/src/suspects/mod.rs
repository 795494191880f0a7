//! Requests that crash servers.
//!
//! A request whose server died while it ran there is a suspect. With one crash it runs only alone
//! on a server; with two it is rejected on every entry. Crashes are counted per server incarnation,
//! so that two entries that report the same death count it once. See `docs/state.md` for what is
//! proved about the race between a report and the caller's resend.

mod registry;

pub use registry::SuspectRegistry;

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::ids::NodeId;

/// Crashes after which a request is rejected.
pub const MAX_CRASHES: usize = 2;
/// Most suspects that are remembered. Beyond this the one with the oldest crash is forgotten.
pub const MAX_SUSPECTS: usize = 4_096;
/// Most dead server lives that are remembered. Beyond this the oldest is forgotten.
pub const MAX_DEAD_INCARNATIONS: usize = 1_024;
/// How long a suspect is remembered after its last crash.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);
/// Longest wait for the other entries' acknowledgement of a crash. The caller is told of the
/// failure after that, at the latest.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which a report is repeated to entries that have not acknowledged it.
pub const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Most crashes in one message.
pub const MAX_REPORTED_CRASHES: usize = 1_000;

/// Digest of a request's workspace and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SuspectFingerprint(u128);

impl SuspectFingerprint {
    /// The fingerprint of a request.
    pub fn new(workspace: &str, body: &[u8]) -> SuspectFingerprint {
        let mut hasher = blake3::Hasher::new_derive_key("carobvane suspect fingerprint v1");
        hasher.update(&(workspace.len() as u64).to_le_bytes());
        hasher.update(workspace.as_bytes());
        hasher.update(body);
        SuspectFingerprint(first_bytes(&hasher.finalize()))
    }
}

/// A server in one of its lives, named alike by all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerIncarnation {
    server: u128,
    incarnation: u64,
}

impl ServerIncarnation {
    /// The life of the server with this name in the lists.
    pub fn new(server: &str, incarnation: u64) -> ServerIncarnation {
        ServerIncarnation { server: first_bytes(&blake3::hash(server.as_bytes())), incarnation }
    }
}

fn first_bytes(hash: &blake3::Hash) -> u128 {
    let mut short = [0; 16];
    short.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(short)
}

/// A request was running on a server when that died.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerCrash {
    /// The request.
    pub fingerprint: SuspectFingerprint,
    /// The server.
    pub server: ServerIncarnation,
}

/// What entries tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SuspectMessage {
    /// Crashes that the sender has seen.
    Report {
        /// Names the report in its acknowledgement; 0 if none is wanted.
        id: u64,
        /// The crashes.
        crashes: Vec<ServerCrash>,
    },
    /// The sender has counted a report.
    Acknowledge {
        /// The report.
        id: u64,
        /// All crashes that the sender knows of the reported requests.
        crashes: Vec<ServerCrash>,
    },
    /// Crashes that were none: the request completed, or the server is alive.
    Withdraw {
        /// The crashes.
        crashes: Vec<ServerCrash>,
    },
}

/// What the host has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectEffect {
    /// Send a message to an entry.
    Send {
        /// The entry.
        to: NodeId,
        /// The message.
        message: SuspectMessage,
    },
    /// Callers whose requests were in this report may be told of the failure.
    ReportClosed {
        /// The report.
        report: u64,
        /// Whether every live entry has acknowledged it.
        acknowledged_by_all: bool,
    },
}

/// Whether and how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectAdmission {
    /// Like any other.
    Run,
    /// On a server without other requests, and without a hedge.
    RunAlone,
    /// Not now: the suspect runs at this entry already.
    Busy,
    /// Never: it has crashed [`MAX_CRASHES`] servers.
    Reject,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// With a complete answer.
    Completed,
    /// Without one, while the server lives: rejected, cancelled, not sent.
    Incomplete,
    /// The connection broke in a way that a server's death explains.
    Crashed,
}

impl fmt::Display for SuspectAdmission {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SuspectAdmission::Run => "run",
            SuspectAdmission::RunAlone => "run alone",
            SuspectAdmission::Busy => "busy",
            SuspectAdmission::Reject => "reject",
        })
    }
}
