//! Waiting until a list version is in force on all nodes.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use carobvane_core::lists::ListVersion;
use serde::Serialize;

use crate::{
    commands::Session,
    exit::ExitStatus,
    fleet::{FleetClient, FleetResponses, NodeView, UnreachableNode},
};

/// Pause between two rounds of status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout of each round except the last. With the full call timeout, a paused node would delay the
/// whole round, and nodes that received the version meanwhile would be reported as lagging.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Which nodes have a version in force.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct InForceReport {
    /// Number of the version.
    pub(crate) version: u64,
    /// Digest of the version's lists.
    pub(crate) digest: String,
    /// Whether all nodes responded and hold the version.
    pub(crate) in_force: bool,
    /// Nodes that hold this version or a later one.
    pub(crate) ready: Vec<NodeView>,
    /// Nodes that do not hold it yet.
    pub(crate) lagging: Vec<NodeView>,
    /// Nodes that gave no usable response.
    pub(crate) silent: Vec<UnreachableNode>,
}

impl InForceReport {
    pub(crate) fn new(version: ListVersion, responses: &FleetResponses) -> InForceReport {
        let (ready, lagging): (Vec<NodeView>, Vec<NodeView>) =
            responses.nodes().into_iter().partition(|node| has_version(node, &version));
        InForceReport {
            version: version.number,
            digest: version.digest.to_string(),
            in_force: lagging.is_empty() && responses.silent.is_empty() && !ready.is_empty(),
            ready,
            lagging,
            silent: responses.silent.clone(),
        }
    }
}

/// Returns whether a node holds `version` or a later one. A node known only from member lists has
/// no digest to compare.
fn has_version(node: &NodeView, version: &ListVersion) -> bool {
    let Some(held) = node.list_version else { return false };
    let same_digest = node.list_digest.is_empty() || node.list_digest == version.digest.to_string();
    held > version.number || (held == version.number && same_digest)
}

/// Waits until `version` is in force on all nodes, at most for the `--wait-seconds` setting. Prints
/// progress to standard error and the outcome to standard output.
pub(crate) async fn wait_in_force(
    session: &mut Session<'_, '_>,
    fleet: &FleetClient,
    version: ListVersion,
) -> ExitStatus {
    let started = Instant::now();
    let mut shown = BTreeSet::new();
    loop {
        let last = started.elapsed() + POLL_INTERVAL + POLL_TIMEOUT > session.settings.wait;
        let timeout = if last { session.settings.call_timeout } else { POLL_TIMEOUT };
        let report = InForceReport::new(version, &fleet.statuses_within(timeout).await);
        show_progress(session, &report, &mut shown);
        if report.in_force {
            print_outcome(session, &report);
            return ExitStatus::Success;
        }
        if last {
            print_outcome(session, &report);
            return ExitStatus::NotInForce;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Prints a line for each node that has newly reported the version. `shown` holds the labels of
/// the nodes printed before.
fn show_progress(
    session: &mut Session<'_, '_>,
    report: &InForceReport,
    shown: &mut BTreeSet<String>,
) {
    let total = report.ready.len() + report.lagging.len() + report.silent.len();
    for node in &report.ready {
        let label = node.label();
        if shown.insert(label.clone()) {
            let count = shown.len();
            session.console.print_diagnostic(format_args!("{label}: in force, {count} of {total}"));
        }
    }
}

fn print_outcome(session: &mut Session<'_, '_>, report: &InForceReport) {
    if session.settings.json {
        session.console.print_json(report);
        return;
    }
    if report.in_force {
        let count = report.ready.len();
        session
            .console
            .print(format_args!("version {} is in force on all nodes ({count})", report.version));
        return;
    }
    session.console.print(format_args!("version {} is accepted, not in force:", report.version));
    for node in &report.lagging {
        let held = node.list_version.map_or("no lists".into(), |held| format!("version {held}"));
        session.console.print(format_args!("  {} lags: holds {held}", node.label()));
    }
    for node in &report.silent {
        session.console.print(format_args!("  {} does not answer: {}", node.url, node.cause));
    }
}
