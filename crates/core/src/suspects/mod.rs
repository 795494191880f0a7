//! Contains requests that crash servers, by the whole request and by the parts of its prompt.
//!
//! The [`SuspectTable`] records crashes and finds the parts that cause them, for the nodes of the
//! users' platform and for the entries alike. The [`SuspectRegistry`] restricts the requests of an
//! entry: after one crash, a request runs only on a server without other requests; after two, every
//! entry rejects it. Crashes are counted per server incarnation, so that one death reported by two
//! entries counts once.
//! `docs/state.md` states what is proved about the race between a crash report and the caller's
//! retry.

mod blame;
mod completed_runs;
mod fingerprint;
mod record;
mod registry;
mod running;
mod server_build;
mod table;

pub use self::{
    blame::{BlamedGroup, part_quarantine},
    completed_runs::{CompletedRuns, refuting_runs},
    fingerprint::{RequestSuspects, SuspectFingerprint, SuspectKind},
    record::{Completion, CrashEntry, CrashRecord},
    registry::SuspectRegistry,
    server_build::ServerBuild,
    table::{CompletedRun, DroppedSuspect, PartVerdict, RunSuspect, RunSuspects, SuspectTable},
};

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{ids::NodeId, rendezvous::node_rank};

/// Number of crashes after which a request is rejected.
pub const MAX_CRASHES: usize = 2;
/// Maximum number of suspected requests, and of suspected parts. Beyond it, one with the fewest
/// crashes is dropped.
pub const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of dead server incarnations. Beyond it, the one that died first is dropped.
pub const MAX_DEAD_INCARNATIONS: usize = 1_024;
/// After a quarantine, one node after another may run the suspect once, with this pause between
/// them. A crash at one node is known to the next one by then, also if the server fell silent.
pub const PROBE_STAGGER: Duration = Duration::from_secs(4);
/// The same pause before a run that tells blamed parts apart.
pub const TEST_STAGGER: Duration = Duration::from_secs(1);
/// How long a suspect is kept after its last crash.
pub const SUSPECT_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum time to wait until the other entries have acknowledged a crash report. The caller is
/// told of the failure at the latest after this time.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which a report is sent again to entries that have not acknowledged it.
pub const REPORT_RETRY_INTERVAL: Duration = Duration::from_millis(25);
/// Maximum number of crashes per message when a joined entry is told all known crashes.
pub const MAX_REPORTED_CRASHES: usize = 1_000;

/// Identifies one incarnation of a server. All entries derive the same value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerIncarnation {
    server: u128,
    incarnation: u64,
}

impl ServerIncarnation {
    /// Identifies an incarnation of the server that has this name in the lists.
    pub fn new(server: &str, incarnation: u64) -> ServerIncarnation {
        ServerIncarnation { server: first_bytes(&blake3::hash(server.as_bytes())), incarnation }
    }
}

fn first_bytes(hash: &blake3::Hash) -> u128 {
    let mut short = [0; 16];
    short.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(short)
}

/// The death of a server while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerCrash {
    /// The request that was running, or a part of its prompt.
    pub fingerprint: SuspectFingerprint,
    /// The server incarnation that died.
    pub server: ServerIncarnation,
    /// Round of the crash; see [`CrashEntry::round`].
    pub round: u8,
}

impl ServerCrash {
    /// Returns the crashes of a suspect that are not withdrawn.
    fn of_record(
        fingerprint: SuspectFingerprint,
        record: &CrashRecord<ServerIncarnation>,
    ) -> impl Iterator<Item = ServerCrash> {
        record.crashes().map(move |entry| ServerCrash {
            fingerprint,
            server: entry.server,
            round: entry.round,
        })
    }

    /// Returns the crashes that the death of a server is for a run.
    fn of_run(
        run_suspects: &RunSuspects,
        server: ServerIncarnation,
    ) -> impl Iterator<Item = ServerCrash> {
        run_suspects.iter().map(move |suspect| ServerCrash {
            fingerprint: suspect.fingerprint,
            server,
            round: suspect.round,
        })
    }

    fn entry(&self) -> CrashEntry<ServerIncarnation> {
        CrashEntry::new(self.server, self.round, ServerBuild::UNKNOWN)
    }
}

/// Messages between the suspect registries of entries.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SuspectMessage {
    /// Reports crashes that the sender knows of.
    Report {
        /// Identifies the report in its acknowledgement. Zero if no acknowledgement is wanted.
        id: u64,
        /// The requests and the server incarnations that died while running them.
        crashes: Vec<ServerCrash>,
    },
    /// Confirms that the sender has counted a report.
    Acknowledge {
        /// The id of the acknowledged report.
        id: u64,
        /// All crashes of the reported requests that the sender knows of.
        crashes: Vec<ServerCrash>,
    },
    /// Withdraws crashes, because the request completed or the server is alive.
    Withdraw {
        /// The withdrawn crashes.
        crashes: Vec<ServerCrash>,
    },
}

/// Actions that the host must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectEffect {
    /// Sends a message to another entry.
    Send {
        /// The receiving entry.
        to: NodeId,
        /// The message to send.
        message: SuspectMessage,
    },
    /// Allows telling the callers whose requests are in this report of the failure.
    ReportClosed {
        /// The id of the report.
        report: u64,
        /// Whether every live entry acknowledged the report before the timeout.
        acknowledged_by_all: bool,
    },
}

/// Whether and under which restrictions a request may run, from the fewest restrictions to the most.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectAdmission {
    /// Without restrictions.
    Run,
    /// Only on a server without other requests, and without a hedge.
    RunAlone,
    /// Not now, because the suspect is already running at this entry.
    Busy,
    /// Never, because it has crashed [`MAX_CRASHES`] servers or has a part that crashes them.
    Reject,
}

/// How the run of a request on a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// With a complete answer.
    Completed,
    /// Without a complete answer, although the server is alive: rejected, cancelled or not sent.
    Incomplete,
    /// With a broken connection that the death of the server would explain.
    Crashed,
}

/// Returns the position of a node in the order in which the nodes may run a suspect after its
/// quarantine, from 0. All nodes derive the same order.
pub fn probe_rank<'a>(
    suspect: SuspectFingerprint,
    own: &str,
    others: impl Iterator<Item = &'a str>,
) -> u32 {
    node_rank(suspect.to_string().as_bytes(), own, others)
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
