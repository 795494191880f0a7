//! `carobvane drain`.

use std::time::{Duration, Instant};

use carobvane_proto::admin::{DrainPhase, DrainReport, NodeRole};

use super::{Session, apply::fleet_client};
use crate::{
    exit::{ExitStatus, Failure},
    fleet::{FleetClient, FleetResponses},
};

/// Time from one look at the drain to the next.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Lets an entry leave gracefully and, if asked to, waits until it has.
pub(crate) async fn run(
    session: &mut Session<'_, '_>,
    entry: &str,
    wait: bool,
) -> Result<ExitStatus, Failure> {
    let fleet = fleet_client(session)?;
    let url = find_entry(session, &fleet, entry).await?;
    let mut report = fleet.drain(&url).await.map_err(|cause| {
        Failure::new(ExitStatus::Unreachable, format!("failed to drain {url}: {cause}"))
    })?;
    let started = Instant::now();
    while wait && report.phase != DrainPhase::Finished {
        session.console.print_diagnostic(format_args!("{}", describe(&report)));
        if started.elapsed() + POLL_INTERVAL > session.settings.wait {
            print(session, &report);
            return Ok(ExitStatus::NotInForce);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
        let answers = FleetClient::new(std::slice::from_ref(&url), session.settings.call_timeout)
            .statuses()
            .await;
        match answers.statuses.into_iter().next().and_then(|(_, status)| status.drain) {
            Some(drain) => report = drain,
            // A drained process ends, so it no longer answers.
            None => report.phase = DrainPhase::Finished,
        }
    }
    print(session, &report);
    Ok(ExitStatus::Success)
}

/// The admin URL of an entry named by URL, node number or name in the lists.
async fn find_entry(
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
    url_of_node(&fleet.statuses().await, node)
}

fn url_of_node(answers: &FleetResponses, node: u32) -> Result<String, Failure> {
    let mut entries = answers.statuses.iter();
    let found = entries.find(|(_, status)| status.node == node && status.role == NodeRole::Entry);
    found.map(|(url, _)| url.clone()).ok_or_else(|| {
        let message = format!("no answering entry has node {node}");
        Failure::new(ExitStatus::Unreachable, message)
    })
}

fn describe(report: &DrainReport) -> String {
    let phase = match report.phase {
        DrainPhase::Announced => "is removed from discovery",
        DrainPhase::Redirecting => "redirects new requests",
        DrainPhase::Finished => "has drained",
    };
    format!("entry {} {phase}; requests in progress: {}", report.node, report.in_progress)
}

fn print(session: &mut Session<'_, '_>, report: &DrainReport) {
    if session.settings.json {
        session.console.print_json(report);
    } else {
        session.console.print(format_args!("{}", describe(report)));
    }
}
