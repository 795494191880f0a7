//! HTTP API for operators, on the admin address of entries and stewards.
//!
//! `GET /admin/status` returns a [`NodeStatus`]. `GET /admin/decisions/{request_id}` returns a
//! [`DecisionReport`], or 404 if this node does not know the request. `POST /admin/drain` takes a
//! [`DrainRequest`] and returns a [`DrainReport`]. New fields must be optional, so that a program
//! of one build can read the responses of another.

use serde::{Deserialize, Serialize};

use crate::engine::LoadedModel;

/// Path of [`NodeStatus`].
pub const STATUS_PATH: &str = "/admin/status";
/// Path prefix of [`DecisionReport`]; the request id follows.
pub const DECISIONS_PATH: &str = "/admin/decisions/";
/// Path of [`DrainRequest`].
pub const DRAIN_PATH: &str = "/admin/drain";

/// Program that a node runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeRole {
    /// Serves callers.
    #[default]
    Entry,
    /// Watches the lists and sends orders to engines.
    Steward,
}

/// State of a node, and of the fleet as this node sees it.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct NodeStatus {
    /// Number of the node.
    pub node: u32,
    /// Program that the node runs.
    pub role: NodeRole,
    /// Incarnation of the process; higher after every restart.
    pub incarnation: u64,
    /// Name of the data centre that the node is in.
    pub data_centre: String,
    /// Version of the program; empty if it does not report one.
    #[serde(default)]
    pub build: String,
    /// Version of the lists that the node uses; absent until it has lists.
    pub list_version: Option<u64>,
    /// BLAKE3 digest of these lists, in hex.
    #[serde(default)]
    pub list_digest: String,
    /// Whether the key-value service responded to the last call; absent if this node has made no
    /// call.
    #[serde(default)]
    pub keyvalue_answers: Option<bool>,
    /// State of the node's drain; absent if no drain has started.
    #[serde(default)]
    pub drain: Option<DrainReport>,
    /// Other nodes as this node sees them.
    #[serde(default)]
    pub members: Vec<MemberStatus>,
    /// Backend servers as this node sees them.
    #[serde(default)]
    pub servers: Vec<ServerStatus>,
    /// Requests of each workspace through this node.
    #[serde(default)]
    pub usage: Vec<WorkspaceUsage>,
}

/// Whether a node or backend server can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HealthState {
    /// Responds to probes or calls.
    #[default]
    Live,
    /// Has missed responses, but is not considered dead yet.
    Suspect,
    /// Has announced that it leaves the fleet, or is leaving according to the VM list.
    Leaving,
    /// Does not respond.
    Dead,
}

/// State of a node as seen by another node.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct MemberStatus {
    /// Number of the node.
    pub node: u32,
    /// Program that the node runs.
    pub role: NodeRole,
    /// Incarnation of the process.
    pub incarnation: u64,
    /// IP address and port for other carobvane processes.
    pub address: String,
    /// Name of the data centre that the node is in.
    pub data_centre: String,
    /// Health of the node.
    pub state: HealthState,
    /// List version that the node last reported; absent if it has reported none.
    #[serde(default)]
    pub list_version: Option<u64>,
}

/// State of a backend server as seen by an entry.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server in the lists.
    pub server: String,
    /// IP address and port of the server.
    pub address: String,
    /// Name of the data centre that the server is in.
    #[serde(default)]
    pub data_centre: String,
    /// Incarnation of the server.
    #[serde(default)]
    pub incarnation: u64,
    /// Health of the server.
    pub state: HealthState,
    /// Number of this entry's requests in flight at the server.
    #[serde(default)]
    pub in_flight: u32,
    /// Number of requests queued at the server, from its last load report.
    #[serde(default)]
    pub waiting: u32,
    /// Ratio of observed to predicted duration; 1.0 is as predicted.
    #[serde(default)]
    pub slowdown: f64,
    /// Whether the entry treats the server as a straggler.
    #[serde(default)]
    pub straggler: bool,
    /// Models that the server has loaded.
    #[serde(default)]
    pub models: Vec<LoadedModel>,
}

/// Requests of one workspace through one entry.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the workspace's plan.
    pub plan: String,
    /// Number of requests in progress.
    #[serde(default)]
    pub in_progress: u32,
    /// Usage of each limit of the plan.
    #[serde(default)]
    pub limits: Vec<LimitUsage>,
    /// Number of requests in the last minute, for each model and service.
    #[serde(default)]
    pub targets: Vec<TargetUsage>,
}

/// Usage of one limit of a plan through one entry.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct LimitUsage {
    /// Name of the limit: `requests`, `tokens` or `streams`.
    pub limit: String,
    /// Amount that the plan allows in the whole fleet.
    pub amount: u64,
    /// Length of the window in milliseconds; 0 for concurrent streams.
    pub window_ms: u64,
    /// Share of the amount that this entry holds now.
    pub cap: u64,
    /// Amount used at this entry in the current window.
    pub used: u64,
}

/// Number of requests to one model or service.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct TargetUsage {
    /// `model/NAME` or `service/NAME`.
    pub target: String,
    /// Number of requests in the last minute.
    pub requests: u64,
}

/// Routing decisions for one request: its attempts, their servers and the reasons.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct DecisionReport {
    /// Id of the request.
    pub request_id: String,
    /// Number of the entry that routed the request.
    pub node: u32,
    /// Time of the decision, in milliseconds since 1970-01-01 UTC.
    pub unix_ms: u64,
    /// Name of the caller's workspace.
    pub workspace: String,
    /// `model/NAME` or `service/NAME`.
    pub target: String,
    /// Version of the lists at the time of the decision.
    pub list_version: u64,
    /// Outcome of the request: `complete`, `running`, `not_run` or `outcome_unknown`.
    pub outcome: String,
    /// Error code of the response; absent if there was no error.
    #[serde(default)]
    pub code: Option<String>,
    /// Attempts in the order in which they started.
    #[serde(default)]
    pub attempts: Vec<AttemptReport>,
}

/// One attempt of a request.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct AttemptReport {
    /// Id of the attempt, as sent in `x-attempt-id`.
    pub attempt: String,
    /// Reason for the attempt: `first`, `hedge`, `retry`, `resume` or `probe`.
    pub reason: String,
    /// Name of the chosen server.
    pub server: String,
    /// Number of pieces of the prompt.
    pub pieces: u32,
    /// Number of prompt pieces that the server's cache was expected to hold.
    pub expected_hits: u32,
    /// Candidates with their predicted costs, lowest cost first.
    pub candidates: Vec<CandidateCost>,
    /// Result of the attempt; absent while it runs.
    #[serde(default)]
    pub end: Option<String>,
}

/// Predicted cost of running a request on one candidate server, in milliseconds.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
pub struct CandidateCost {
    /// Name of the server.
    pub server: String,
    /// Prefill of the tokens that are not in the server's cache.
    pub prefill_ms: f64,
    /// Waiting time behind other requests.
    pub queue_ms: f64,
    /// Transfer from a KV cache store.
    pub transfer_ms: f64,
    /// Loading of weights that are not in the server's memory.
    pub load_ms: f64,
    /// Total cost, including the slowdown factor of the server.
    pub total_ms: f64,
}

/// Request to a node to stop taking requests and to finish those in progress.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct DrainRequest {
    /// Reason for the drain, which the node logs.
    #[serde(default)]
    pub reason: String,
}

/// Phase of a drain, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainPhase {
    /// The node is no longer in the discovery response (`GET /v1/entries`) and waits until earlier
    /// responses have expired.
    #[default]
    Announced,
    /// The node redirects new requests with status 307 and finishes those in progress.
    Redirecting,
    /// No request is in progress; the process may stop.
    Finished,
}

/// State of a drain.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct DrainReport {
    /// Number of the node that drains.
    pub node: u32,
    /// Current phase of the drain.
    pub phase: DrainPhase,
    /// Number of requests still in progress.
    pub in_progress: u32,
}
