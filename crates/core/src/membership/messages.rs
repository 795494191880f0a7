//! Messages that nodes exchange about members, and the effects for the host.

use serde::{Deserialize, Serialize};

use super::LeaveNotice;
use crate::{
    ids::{IncarnationId, NodeId},
    lists::VersionSummary,
};

/// Size in bytes of the load summary on each probe.
pub const LOAD_SUMMARY_BYTES: usize = 16;

/// Status of a member's process as other nodes see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member answers probes, or has not been probed yet.
    Live,
    /// The member did not answer a probe and can still refute the suspicion.
    Suspect,
    /// The member did not refute a suspicion in time.
    Dead,
}

/// Status of one member as of some time. Of two changes, the one with the higher incarnation wins,
/// then the one with the higher refutation, then the one with the worse status. Draining is never
/// undone within an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberChange {
    /// Node that the change is about.
    pub node: NodeId,
    /// Incarnation that the change is about.
    pub incarnation: IncarnationId,
    /// Counter that the member itself increases to refute a suspicion.
    pub refutation: u32,
    /// Status of the member in this incarnation.
    pub status: MemberStatus,
    /// Whether the member is shutting down and takes no new clients.
    pub draining: bool,
}

/// Fixed-size data that is sent with every probe and answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ProbePayload {
    /// Summary of the sender's list version.
    pub lists: VersionSummary,
    /// The sender's load, encoded by the routing module.
    pub load: [u8; LOAD_SUMMARY_BYTES],
}

/// Messages between the failure detectors of two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum MemberMessage {
    /// Requests an answer from the receiver.
    Probe {
        /// Number of the probe, assigned by the sender.
        sequence: u32,
        /// Incarnation of the sender.
        incarnation: IncarnationId,
        /// Data of the sender.
        #[serde(rename = "blobs")]
        payload: ProbePayload,
        /// Recent membership changes.
        changes: Vec<MemberChange>,
        /// Recent leave notices of backend servers.
        notices: Vec<LeaveNotice>,
    },
    /// Answers a probe.
    Answer {
        /// Number of the probe that is answered.
        sequence: u32,
        /// Incarnation of the sender.
        incarnation: IncarnationId,
        /// Data of the sender.
        #[serde(rename = "blobs")]
        payload: ProbePayload,
        /// Recent membership changes.
        changes: Vec<MemberChange>,
        /// Recent leave notices of backend servers.
        notices: Vec<LeaveNotice>,
    },
    /// Asks the receiver to probe `target` on the sender's behalf.
    ProbeRequest {
        /// Number of the sender's own unanswered probe.
        sequence: u32,
        /// Node to probe, which did not answer the sender.
        target: NodeId,
    },
    /// Reports that `target` answered a probe made on the receiver's behalf.
    ProbeReport {
        /// Number from the request.
        sequence: u32,
        /// Node that answered.
        target: NodeId,
    },
    /// Announces that a backend server is leaving. Each node forwards a new notice at once.
    Leaving(LeaveNotice),
}

/// Actions that the host must perform after an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberEffect {
    /// Send a message to another node.
    Send {
        /// Receiving node.
        to: NodeId,
        /// Message to send.
        message: MemberMessage,
    },
    /// The known status of a member changed.
    Changed(MemberChange),
    /// Another node's payload arrived with a probe or an answer.
    PayloadReceived {
        /// Node that sent the payload.
        from: NodeId,
        /// Data of the sender.
        payload: ProbePayload,
    },
    /// A backend server is leaving and must get no new work.
    ServerLeaving(LeaveNotice),
}

/// State of a member's VM in the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be stopped.
    Leaving,
    /// The list no longer contains the VM.
    Unlisted,
}
