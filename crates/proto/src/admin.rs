//! The operators' HTTP on the admin address of entries and stewards.
//!
//! `GET /admin/status` answers [`NodeStatus`], `GET /admin/decisions/{request_id}` answers
//! [`DecisionReport`] (404 if this node does not know the request), `POST /admin/drain` takes
//! [`DrainRequest`] and answers [`DrainReport`]. New fields are optional, so that a program of one
//! build reads the answers of another.

use serde::{Deserialize, Serialize};

use crate::engine::LoadedModel;

/// Path of [`NodeStatus`].
pub const STATUS_PATH: &str = "/admin/status";
/// Path of [`DecisionReport`], followed by the request's id.
pub const DECISIONS_PATH: &str = "/admin/decisions/";
/// Path of [`DrainRequest`].
pub const DRAIN_PATH: &str = "/admin/drain";

/// Which program a node runs.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Serves callers.
    #[default]
    Entry,
    /// Watches the lists and gives orders.
    Steward,
}

/// What a node knows about itself and the fleet.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node's number.
    pub node: u32,
    /// The node's program.
    pub role: NodeRole,
    /// The process's life.
    pub incarnation: u64,
    /// The node's data centre.
    pub data_centre: String,
    /// The program's version.
    #[serde(default)]
    pub build: String,
    /// Version of the lists in force here; absent before the first.
    pub list_version: Option<u64>,
    /// BLAKE3 digest of these lists, in hex.
    #[serde(default)]
    pub list_digest: String,
    /// Whether the last call to the key-value service was answered; absent if this node has made
    /// none.
    #[serde(default)]
    pub keyvalue_answers: Option<bool>,
    /// The node's drain, if it has begun.
    #[serde(default)]
    pub drain: Option<DrainReport>,
    /// Other nodes as this node sees them.
    #[serde(default)]
    pub members: Vec<MemberStatus>,
    /// Backend servers as this node sees them.
    #[serde(default)]
    pub servers: Vec<ServerStatus>,
    /// Use of each workspace through this node.
    #[serde(default)]
    pub usage: Vec<WorkspaceUsage>,
}

/// Whether a node or backend server can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Answers.
    #[default]
    Live,
    /// Has missed answers.
    Suspect,
    /// Has announced that it leaves, or the VM list says so.
    Leaving,
    /// Does not answer.
    Dead,
}

/// A node as another node sees it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The node's number.
    pub node: u32,
    /// The node's program.
    pub role: NodeRole,
    /// The process's life.
    pub incarnation: u64,
    /// IP address and port for peers.
    pub address: String,
    /// The node's data centre.
    pub data_centre: String,
    /// The node's health.
    pub state: HealthState,
    /// Version of the lists that the node last reported.
    #[serde(default)]
    pub list_version: Option<u64>,
}

/// A backend server as an entry sees it.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server's name in the lists.
    pub server: String,
    /// IP address and port.
    pub address: String,
    /// The server's data centre.
    #[serde(default)]
    pub data_centre: String,
    /// The server's life.
    #[serde(default)]
    pub incarnation: u64,
    /// The server's health.
    pub state: HealthState,
    /// Requests of this entry that run there.
    #[serde(default)]
    pub in_flight: u32,
    /// Requests that wait there, by the last report.
    #[serde(default)]
    pub waiting: u32,
    /// Observed duration relative to the prediction; 1.0 is as predicted.
    #[serde(default)]
    pub slowdown: f64,
    /// Whether the entry treats the server as a straggler.
    #[serde(default)]
    pub straggler: bool,
    /// Models that the server holds.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
}

/// Use of one workspace through one entry.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// The workspace's name.
    pub workspace: String,
    /// The workspace's plan.
    pub plan: String,
    /// Requests in progress.
    #[serde(default)]
    pub in_progress: u32,
    /// Use of each limit of the plan.
    #[serde(default)]
    pub limits: Vec<LimitUsage>,
    /// Requests in the last minute by model or service, as `model/NAME` or `service/NAME`.
    #[serde(default)]
    pub targets: Vec<TargetUsage>,
}

/// Use of one limit through one entry.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LimitUsage {
    /// `requests`, `tokens` or `streams`.
    pub limit: String,
    /// The plan's amount over the whole fleet.
    pub amount: u64,
    /// Length of the window in milliseconds; 0 for concurrent streams.
    pub window_ms: u64,
    /// The part of the amount that this entry holds now.
    pub cap: u64,
    /// What the current window has used at this entry.
    pub used: u64,
}

/// Requests to one model or service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TargetUsage {
    /// `model/NAME` or `service/NAME`.
    pub target: String,
    /// Requests in the last minute.
    pub requests: u64,
}

/// Why a request went where it went.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct DecisionReport {
    /// The request's id.
    pub request_id: String,
    /// The entry that decided.
    pub node: u32,
    /// Milliseconds since 1970-01-01 UTC.
    pub unix_ms: u64,
    /// The workspace's name.
    pub workspace: String,
    /// `model/NAME` or `service/NAME`.
    pub target: String,
    /// Version of the lists in force at the decision.
    pub list_version: u64,
    /// What became of the request: `complete`, `running`, `not_run` or `outcome_unknown`.
    pub outcome: String,
    /// The error's code, if there was one.
    #[serde(default)]
    pub code: Option<String>,
    /// The attempts in order.
    #[serde(default)]
    pub attempts: Vec<AttemptReport>,
}

/// One attempt of a request.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct AttemptReport {
    /// The attempt as sent in `x-attempt-id`.
    pub attempt: String,
    /// Why there was an attempt: `first`, `hedge`, `retry`, `resume` or `probe`.
    pub reason: String,
    /// The chosen server.
    pub server: String,
    /// Pieces of the prompt.
    pub pieces: u32,
    /// Prompt pieces expected in the server's cache.
    pub expected_hits: u32,
    /// The candidates with their predicted cost, lowest first.
    pub candidates: Vec<CandidateCost>,
    /// How the attempt ended; absent while it runs.
    #[serde(default)]
    pub end: Option<String>,
}

/// Predicted cost of one candidate, in milliseconds.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct CandidateCost {
    /// The server's name.
    pub server: String,
    /// Prefill of the missing tokens.
    pub prefill_ms: f64,
    /// Wait behind other requests.
    pub queue_ms: f64,
    /// Transfer from a KV cache store.
    pub transfer_ms: f64,
    /// Load of weights that are not resident.
    pub load_ms: f64,
    /// The sum, after the slowdown factor.
    pub total_ms: f64,
}

/// Asks a node to leave gracefully.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DrainRequest {
    /// Why, for the log.
    #[serde(default)]
    pub reason: String,
}

/// How far a drain is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// Removed from the discovery response; waits for its lifetime.
    #[default]
    Announced,
    /// Answers new requests with 307 and finishes the rest.
    Redirecting,
    /// No request in progress; the process may end.
    Finished,
}

/// The state of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct DrainReport {
    /// The node that drains.
    pub node: u32,
    /// How far the drain is.
    pub phase: DrainPhase,
    /// Requests in progress.
    pub in_progress: u32,
}
