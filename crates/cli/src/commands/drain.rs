//! The `drain` command.

use std::time::{Duration, Instant};

use carobvane_proto::admin::{DrainPhase, DrainReport, NodeRole};

use super::{Session, apply::fleet_client};
use crate::{
    exit::{ExitStatus, Failure},
    fleet::{FleetClient, FleetResponses},
};

/// Pause between two status requests during a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Drains an entry. With `wait`, waits until the drain has ended, at most for the `--wait-seconds`
/// setting.
pub(crate) async fn run(
    session: &mut Session<'_, '_>,
    entry: &str,
    wait: bool,
) -> Result<ExitStatus, Failure> {
    let fleet = fleet_client(session)?;
    let url = find_entry_url(session, &fleet, entry).await?;
    let mut report = fleet.drain(&url).await.map_err(|cause| {
        Failure::new(ExitStatus::Unreachable, format!("failed to drain {url}: {cause}"))
    })?;
    let started = Instant::now();
    while wait && report.phase != DrainPhase::Finished {
        session.console.print_diagnostic(format_args!("{}", progress_text(&report)));
        if started.elapsed() + POLL_INTERVAL > session.settings.wait {
            print_report(session, &report);
            return Ok(ExitStatus::NotInForce);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let responses = FleetClient::new(std::slice::from_ref(&url), session.settings.call_timeout)
            .statuses()
            .await;
        match responses.statuses.into_iter().next().and_then(|(_, status)| status.drain) {
            Some(drain) => report = drain,
            // The process exits at the end of its drain, so no response means that it has drained.
            None => report.phase = DrainPhase::Finished,
        }
    }
    print_report(session, &report);
    Ok(ExitStatus::Success)
}

/// Returns the admin URL of an entry, which is given by that URL, its node number or its name in
/// the lists.
async fn find_entry_url(
    session: &Session<'_, '_>,
    fleet: &FleetClient,
    entry: &str,
) -> Result<String, Failure> {
    let urls = session.settings.required_entries()?;
    if let Some(url) = urls.iter().find(|url| url.as_str() == entry.trim_end_matches('/')) {
        return Ok(url.clone());
    }
    let node = match entry.parse() {
        Ok(node) => node,
        Err(_) => {
            let lists = session.settings.store()?.load().await?;
            let found = lists.snapshot.document.entries.get(entry).map(|vm| vm.node.0);
            found.ok_or_else(|| {
                Failure::new(ExitStatus::Findings, format!("the lists have no entry `{entry}`"))
            })?
        }
    };
    node_url(&fleet.statuses().await, node)
}

fn node_url(responses: &FleetResponses, node: u32) -> Result<String, Failure> {
    let mut entries = responses.statuses.iter();
    let found = entries.find(|(_, status)| status.node == node && status.role == NodeRole::Entry);
    found.map(|(url, _)| url.clone()).ok_or_else(|| {
        let message = format!("no answering entry has node {node}");
        Failure::new(ExitStatus::Unreachable, message)
    })
}

fn progress_text(report: &DrainReport) -> String {
    let phase = match report.phase {
        DrainPhase::Announced => "is removed from discovery",
        DrainPhase::Redirecting => "redirects new requests",
        DrainPhase::Finished => "has drained",
    };
    format!("entry {} {phase}; requests in progress: {}", report.node, report.in_progress)
}

fn print_report(session: &mut Session<'_, '_>, report: &DrainReport) {
    if session.settings.json {
        session.console.print_json(report);
    } else {
        session.console.print(format_args!("{}", progress_text(report)));
    }
}
