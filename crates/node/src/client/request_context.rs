//! An admitted client request, as all that handles it sees it.

use std::time::Duration;

use bytes::Bytes;
use carobvane_core::{
    clock::ClockTime,
    ids::ServerKey,
    plans::workspace_limit::TokenReceipt,
    suspects::RequestSuspects,
    traffic::{AttemptHistory, CacheScope, RouteKind, RouteRule, SoftwareRule, WorkspaceSpec},
};
use http::request::Parts;

use crate::adapter::RequestInfo;

/// An admitted client request, with everything that its attempts need.
#[derive(Debug)]
pub struct RequestContext {
    /// Method, target and headers that the client sent.
    pub head: Parts,
    /// Request body, read in full before the first attempt so that it can be sent again.
    pub body: Bytes,
    /// What the platform's adapter decoded from the head.
    pub info: RequestInfo,
    /// Routing rule that the request matched.
    pub rule: RouteRule,
    /// Name of the service that the rule selected.
    pub service: String,
    /// Workspace that the client's key belongs to, if any.
    pub workspace: Option<WorkspaceSpec>,
    /// When the request head had been read.
    pub arrived_at: ClockTime,
    /// When the final response is due: the deadline less a margin, or the route's timeout if that
    /// is shorter.
    pub response_due: ClockTime,
    /// When the client stops waiting; after the route's timeout if it sent no deadline.
    pub deadline: ClockTime,
    /// What the crash of a server that runs the request is counted under.
    pub suspects: RequestSuspects,
    /// Software versions of servers at which it may run, since it continues a stream or has begun one.
    pub software: SoftwareRule,
    /// Group of requests that may share KV cache, by the configuration in force at the last attempt.
    pub cache_scope: CacheScope,
    /// Servers to which this request has been sent or was about to be sent.
    pub tried_servers: Vec<ServerKey>,
    /// What the attempts so far have shown, which decides whether another one is allowed.
    pub history: AttemptHistory,
    /// Tokens of the workspace's limit that it has taken.
    pub tokens: TokenReceipt,
    /// Whether another node has passed it on; then it is not passed on again.
    pub is_forwarded: bool,
    /// Nodes to which this node has passed it on, or tried to.
    pub tried_nodes: Vec<String>,
}

impl RequestContext {
    /// Returns the time until the final response is due.
    pub fn time_left(&self, now: ClockTime) -> Duration {
        self.response_due.since(now)
    }

    /// Returns the priority of the request; 0 is the most urgent. A priority of the workspace
    /// overrides that of the route.
    pub fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        workspace.unwrap_or(self.rule.priority)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        self.rule.kind == RouteKind::Streaming
    }
}
