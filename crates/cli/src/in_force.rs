//! Waiting until a version is in force everywhere.

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

/// Time from one round of questions to the next.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time for one round but the last. A paused node otherwise held a round for the whole
/// call timeout, and nodes that had the version by then were reported as lagging.
const POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// How far a version has come.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct InForceReport {
    /// The version's number.
    pub(crate) version: u64,
    /// Digest of its document.
    pub(crate) digest: String,
    /// Whether every node has it.
    pub(crate) in_force: bool,
    /// Nodes that have it.
    pub(crate) ready: Vec<NodeView>,
    /// Nodes that do not have it.
    pub(crate) lagging: Vec<NodeView>,
    /// Nodes that do not answer.
    pub(crate) silent: Vec<UnreachableNode>,
}

impl InForceReport {
    pub(crate) fn new(version: ListVersion, answers: &FleetResponses) -> InForceReport {
        let (ready, lagging): (Vec<NodeView>, Vec<NodeView>) =
            answers.nodes().into_iter().partition(|node| has_version(node, &version));
        InForceReport {
            version: version.number,
            digest: version.digest.to_string(),
            in_force: lagging.is_empty() && answers.silent.is_empty() && !ready.is_empty(),
            ready,
            lagging,
            silent: answers.silent.clone(),
        }
    }
}

/// A later version includes this one.
fn has_version(node: &NodeView, version: &ListVersion) -> bool {
    let Some(held) = node.list_version else { return false };
    let same_digest = node.list_digest.is_empty() || node.list_digest == version.digest.to_string();
    held > version.number || (held == version.number && same_digest)
}

/// Waits until `version` is in force on every node, with progress on standard error. Prints the
/// outcome.
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
