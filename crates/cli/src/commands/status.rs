//! The `status` command.

use std::collections::BTreeMap;

use carobvane_proto::admin::{HealthState, NodeStatus, ServerStatus, WorkspaceUsage};
use serde::Serialize;

use super::{Session, apply::fleet_client};
use crate::{
    exit::{ExitStatus, Failure},
    fleet::{FleetResponses, NodeView, UnreachableNode},
};

#[derive(Serialize)]
struct StatusReport<'a> {
    nodes: &'a [NodeStatus],
    silent: &'a [UnreachableNode],
    /// Nodes that hold a lower version than another node, or none.
    lagging: &'a [NodeView],
}

/// Prints the state of all nodes, servers and workspaces.
pub(crate) async fn run(session: &mut Session<'_, '_>) -> Result<ExitStatus, Failure> {
    let responses = fleet_client(session)?.statuses().await;
    let highest = responses.highest_version().map(|(version, _)| version);
    let mut lagging = responses.nodes();
    lagging.retain(|node| node.list_version < highest);
    let nodes: Vec<NodeStatus> =
        responses.statuses.iter().map(|(_, status)| status.clone()).collect();
    if session.settings.json {
        let report = StatusReport { nodes: &nodes, silent: &responses.silent, lagging: &lagging };
        session.console.print_json(&report);
    } else {
        print_nodes(session, &responses);
        print_servers(session, &nodes);
        print_usage(session, &nodes);
    }
    Ok(if nodes.is_empty() {
        ExitStatus::Unreachable
    } else if !lagging.is_empty() || !responses.silent.is_empty() {
        ExitStatus::NotInForce
    } else {
        ExitStatus::Success
    })
}

fn print_nodes(session: &mut Session<'_, '_>, responses: &FleetResponses) {
    session.console.print(format_args!("Nodes"));
    let highest = responses.highest_version().map(|(version, _)| version);
    for node in responses.nodes() {
        let version = node.list_version.map_or("no lists".into(), |held| format!("lists {held}"));
        let lag = if node.list_version < highest { ", lags" } else { "" };
        let own = responses
            .statuses
            .iter()
            .find(|(_, status)| (status.node, status.role) == (node.node, node.role));
        let extra = own.map(|(_, status)| describe_node(status)).unwrap_or_default();
        session.console.print(format_args!("  {}: {version}{lag}{extra}", node.label()));
    }
    for node in &responses.silent {
        session.console.print(format_args!("  {} does not answer: {}", node.url, node.cause));
    }
}

fn describe_node(status: &NodeStatus) -> String {
    let mut text = String::new();
    if status.keyvalue_answers == Some(false) {
        text += ", key-value service does not answer";
    }
    if let Some(drain) = &status.drain {
        text += &format!(", drains, requests in progress: {}", drain.in_progress);
    }
    text
}

/// Prints each server with the requests in flight, summed over the entries, and the number of
/// entries that consider it unhealthy or a straggler.
fn print_servers(session: &mut Session<'_, '_>, nodes: &[NodeStatus]) {
    let mut servers: BTreeMap<&str, Vec<&ServerStatus>> = BTreeMap::new();
    for server in nodes.iter().flat_map(|status| &status.servers) {
        servers.entry(&server.server).or_default().push(server);
    }
    if servers.is_empty() {
        return;
    }
    session.console.print(format_args!("Servers"));
    for (name, views) in servers {
        let count = |state| views.iter().filter(|view| view.state == state).count();
        let in_flight: u32 = views.iter().map(|view| view.in_flight).sum();
        let mut text = format!("{in_flight} in flight");
        for (state, word) in [
            (HealthState::Suspect, "suspect"),
            (HealthState::Leaving, "leaving"),
            (HealthState::Dead, "dead"),
        ] {
            if count(state) > 0 {
                text += &format!(", {word} for {} of {} entries", count(state), views.len());
            }
        }
        let stragglers = views.iter().filter(|view| view.straggler).count();
        if stragglers > 0 {
            text += &format!(", straggler for {stragglers} of {} entries", views.len());
        }
        session.console.print(format_args!("  {name} ({}): {text}", views[0].address));
    }
}

/// Prints the use of each workspace, summed over the entries.
fn print_usage(session: &mut Session<'_, '_>, nodes: &[NodeStatus]) {
    let mut workspaces: BTreeMap<&str, Vec<&WorkspaceUsage>> = BTreeMap::new();
    for usage in nodes.iter().flat_map(|status| &status.usage) {
        workspaces.entry(&usage.workspace).or_default().push(usage);
    }
    if workspaces.is_empty() {
        return;
    }
    session.console.print(format_args!("Workspaces"));
    for (name, views) in workspaces {
        let in_progress: u32 = views.iter().map(|view| view.in_progress).sum();
        let mut limits: BTreeMap<&str, (u64, u64)> = BTreeMap::new();
        for limit in views.iter().flat_map(|view| &view.limits) {
            let sum = limits.entry(&limit.limit).or_insert((0, limit.amount));
            sum.0 += limit.used;
        }
        let limits: String =
            limits.iter().map(|(name, (used, of))| format!(", {name} {used} of {of}")).collect();
        let plan = &views[0].plan;
        session
            .console
            .print(format_args!("  {name} (plan {plan}): {in_progress} in progress{limits}"));
    }
}
