//! Client of the nodes' admin interface.

use std::{collections::BTreeMap, time::Duration};

use awc::Client;
use carobvane_lists::WorkspaceUse;
use carobvane_proto::admin::{
    DECISIONS_PATH, DRAIN_PATH, DecisionReport, DrainReport, DrainRequest, HealthState, NodeRole,
    NodeStatus, STATUS_PATH,
};
use futures::future::join_all;
use serde::{Serialize, de::DeserializeOwned};

/// Maximum size of a node's response, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// HTTP client that queries the admin addresses of all nodes.
pub(crate) struct FleetClient {
    client: Client,
    urls: Vec<String>,
    /// Timeout of one call.
    timeout: Duration,
}

/// A node that gave no usable response, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct UnreachableNode {
    pub(crate) url: String,
    pub(crate) cause: String,
}

/// Status responses of all nodes.
#[derive(Debug, Clone, Default)]
pub(crate) struct FleetResponses {
    /// Status by admin URL.
    pub(crate) statuses: Vec<(String, NodeStatus)>,
    pub(crate) silent: Vec<UnreachableNode>,
}

/// State of a node, from its own response or, if it gave none, from another node's member list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub(crate) struct NodeView {
    pub(crate) node: u32,
    pub(crate) role: NodeRole,
    pub(crate) data_centre: String,
    pub(crate) list_version: Option<u64>,
    /// Digest of the node's lists; empty if the state comes from another node's member list.
    pub(crate) list_digest: String,
}

impl NodeView {
    pub(crate) fn label(&self) -> String {
        let role = match self.role {
            NodeRole::Entry => "entry",
            NodeRole::Steward => "steward",
        };
        format!("{role} {} ({})", self.node, self.data_centre)
    }
}

impl FleetClient {
    pub(crate) fn new(urls: &[String], timeout: Duration) -> FleetClient {
        FleetClient { client: Client::default(), urls: urls.to_vec(), timeout }
    }

    /// Requests the status of all nodes concurrently.
    pub(crate) async fn statuses(&self) -> FleetResponses {
        self.statuses_within(self.timeout).await
    }

    /// Requests the status of all nodes concurrently, with the shorter of `timeout` and the call
    /// timeout.
    pub(crate) async fn statuses_within(&self, timeout: Duration) -> FleetResponses {
        let timeout = timeout.min(self.timeout);
        let requests = self.urls.iter().map(|url| async move {
            let answer: Result<Option<NodeStatus>, String> =
                self.get(url, STATUS_PATH, timeout).await;
            (url.clone(), answer)
        });
        let mut responses = FleetResponses::default();
        for (url, answer) in join_all(requests).await {
            match answer {
                Ok(Some(status)) => responses.statuses.push((url, status)),
                Ok(None) => {
                    let cause = "has no status page; is this an admin address?".to_string();
                    responses.silent.push(UnreachableNode { url, cause });
                }
                Err(cause) => responses.silent.push(UnreachableNode { url, cause }),
            }
        }
        responses
    }

    /// Requests the decisions on a request from all nodes. Returns the reports and the nodes that
    /// gave no usable response.
    pub(crate) async fn decisions(
        &self,
        request_id: &str,
    ) -> (Vec<DecisionReport>, Vec<UnreachableNode>) {
        let path = format!("{DECISIONS_PATH}{request_id}");
        let requests = self.urls.iter().map(|url| {
            let path = &path;
            async move { (url.clone(), self.get::<DecisionReport>(url, path, self.timeout).await) }
        });
        let (mut reports, mut silent) = (Vec::new(), Vec::new());
        for (url, answer) in join_all(requests).await {
            match answer {
                Ok(report) => reports.extend(report),
                Err(cause) => silent.push(UnreachableNode { url, cause }),
            }
        }
        (reports, silent)
    }

    /// Starts a drain of the node at `url` and returns its progress. A repeated call only returns
    /// the progress. Fails with the cause as text.
    pub(crate) async fn drain(&self, url: &str) -> Result<DrainReport, String> {
        let request = DrainRequest { reason: "carobvane drain".into() };
        let call = self.client.post(format!("{url}{DRAIN_PATH}")).timeout(self.timeout);
        let sent = call.send_json(&request).await;
        let mut response = sent.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("answered with status {}", response.status().as_u16()));
        }
        response.json().limit(MAX_ANSWER_BYTES).await.map_err(|error| error.to_string())
    }

    /// Requests one path of a node. Returns `None` for status 404. Fails with the cause as text.
    async fn get<R: DeserializeOwned>(
        &self,
        url: &str,
        path: &str,
        timeout: Duration,
    ) -> Result<Option<R>, String> {
        let sent = self.client.get(format!("{url}{path}")).timeout(timeout).send().await;
        let mut response = sent.map_err(|error| error.to_string())?;
        if response.status().as_u16() == 404 {
            return Ok(None);
        }
        if !response.status().is_success() {
            return Err(format!("answered with status {}", response.status().as_u16()));
        }
        let answer = response.json().limit(MAX_ANSWER_BYTES).await;
        answer.map(Some).map_err(|error| format!("failed to read the answer: {error}"))
    }
}

impl FleetResponses {
    /// Returns every node that responded or that a response lists as a live or suspect member,
    /// ordered by node number and role.
    pub(crate) fn nodes(&self) -> Vec<NodeView> {
        let mut nodes: BTreeMap<(u32, NodeRole), NodeView> = BTreeMap::new();
        for member in self.statuses.iter().flat_map(|(_, status)| &status.members) {
            if !matches!(member.state, HealthState::Live | HealthState::Suspect) {
                continue;
            }
            let view = NodeView {
                node: member.node,
                role: member.role,
                data_centre: member.data_centre.clone(),
                list_version: member.list_version,
                list_digest: String::new(),
            };
            let known = nodes.entry((member.node, member.role)).or_insert_with(|| view.clone());
            known.list_version = known.list_version.max(view.list_version);
        }
        for (_, status) in &self.statuses {
            let view = NodeView {
                node: status.node,
                role: status.role,
                data_centre: status.data_centre.clone(),
                list_version: status.list_version,
                list_digest: status.list_digest.clone(),
            };
            nodes.insert((status.node, status.role), view);
        }
        nodes.into_values().collect()
    }

    /// Returns the highest list version that a node holds, and that node.
    pub(crate) fn highest_version(&self) -> Option<(u64, NodeView)> {
        let nodes = self.nodes().into_iter();
        nodes.filter_map(|node| Some((node.list_version?, node))).max_by_key(|(held, _)| *held)
    }

    /// Returns the use by workspace, summed over all nodes. `None` if a node did not respond: a
    /// change could then take away something that is in use on that node.
    pub(crate) fn usage(&self) -> Option<BTreeMap<String, WorkspaceUse>> {
        if self.statuses.is_empty() || !self.silent.is_empty() {
            return None;
        }
        let mut usage: BTreeMap<String, WorkspaceUse> = BTreeMap::new();
        for used in self.statuses.iter().flat_map(|(_, status)| &status.usage) {
            let sum = usage.entry(used.workspace.clone()).or_default();
            sum.in_progress += u64::from(used.in_progress);
            for target in &used.targets {
                *sum.targets.entry(target.target.clone()).or_default() += target.requests;
            }
        }
        Some(usage)
    }
}
