//! Messages and effects of membership.

use serde::{Deserialize, Serialize};

use super::LeaveNotice;
use crate::{
    ids::{IncarnationId, NodeId},
    lists::VersionSummary,
};

/// Size of the load summary on each probe, in bytes.
pub const LOAD_SUMMARY_BYTES: usize = 16;

/// What is believed of a member's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It answers probes, or nothing is known against it.
    Live,
    /// It did not answer; it may still refute that.
    Suspect,
    /// It did not refute a suspicion in time.
    Dead,
}

/// A statement about one member. The later of two statements is the one with the higher life,
/// then the higher refutation, then the worse status; draining is never taken back in one life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChange {
    /// The member.
    pub node: NodeId,
    /// The life that the statement is about.
    pub incarnation: IncarnationId,
    /// Raised by the member itself to refute a suspicion.
    pub refutation: u32,
    /// The status.
    pub status: MemberStatus,
    /// Whether the member takes no new callers.
    pub draining: bool,
}

/// Small state that rides on every probe and answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ProbePayload {
    /// Version of the sender's lists.
    pub lists: VersionSummary,
    /// The sender's load, encoded by the routing part.
    pub load: [u8; LOAD_SUMMARY_BYTES],
}

/// Messages between the membership parts of two nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberMessage {
    /// Asks for an answer.
    Probe {
        /// The sender's number of the probe.
        sequence: u32,
        /// The sender's life.
        incarnation: IncarnationId,
        /// The sender's small state.
        #[serde(rename = "blobs")]
        payload: ProbePayload,
        /// Recent statements.
        changes: Vec<MemberChange>,
        /// Recent notices of leaving servers.
        notices: Vec<LeaveNotice>,
    },
    /// Answers a probe.
    Answer {
        /// Number of the probe.
        sequence: u32,
        /// The sender's life.
        incarnation: IncarnationId,
        /// The sender's small state.
        #[serde(rename = "blobs")]
        payload: ProbePayload,
        /// Recent statements.
        changes: Vec<MemberChange>,
        /// Recent notices of leaving servers.
        notices: Vec<LeaveNotice>,
    },
    /// Asks the receiver to probe `target` in the sender's place.
    ProbeRequest {
        /// The sender's number of the probe.
        sequence: u32,
        /// Who did not answer.
        target: NodeId,
    },
    /// `target` answered the probe made for a request.
    ProbeReport {
        /// Number in the request.
        sequence: u32,
        /// Who answered.
        target: NodeId,
    },
    /// A backend server leaves; passed on at once.
    Leaving(LeaveNotice),
}

/// What the host carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEffect {
    /// Send a message to another node.
    Send {
        /// The receiver.
        to: NodeId,
        /// The message.
        message: MemberMessage,
    },
    /// What is believed of a member changed.
    Changed(MemberChange),
    /// A member's small state arrived.
    PayloadReceived {
        /// The member.
        from: NodeId,
        /// Its state.
        payload: ProbePayload,
    },
    /// A backend server leaves and gets no new work from now on.
    ServerLeaving(LeaveNotice),
}

/// A VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM will be stopped.
    Leaving,
    /// The list no longer names the VM.
    Unlisted,
}
