//! The `plan` command.

use std::path::Path;

use carobvane_lists::ChangePlan;
use serde::Serialize;

use super::{Session, apply::ensure_not_restored, check::load_checked};
use crate::{
    exit::{ExitStatus, Failure},
    fleet::FleetClient,
    plan_record::PlanRecord,
};

#[derive(Serialize)]
struct PlanReport<'a> {
    base: u64,
    #[serde(flatten)]
    plan: &'a ChangePlan,
}

/// Prints what the lists in a folder would change, and records the accepted version that they were
/// compared with.
pub(crate) async fn run(
    session: &mut Session<'_, '_>,
    folder: &Path,
) -> Result<ExitStatus, Failure> {
    let store = session.settings.store()?;
    let Some(document) = load_checked(session, folder)? else { return Ok(ExitStatus::Findings) };
    let stored = store.load().await?;
    let urls = session.settings.optional_entries();
    let responses = FleetClient::new(urls, session.settings.call_timeout).statuses().await;
    for node in &responses.silent {
        session
            .console
            .print_diagnostic(format_args!("{} does not answer: {}", node.url, node.cause));
    }
    ensure_not_restored(&stored.head.version, &responses)?;
    let plan = ChangePlan::new(&stored.snapshot.document, &document, responses.usage().as_ref());
    PlanRecord { base: stored.head.version, planned: document.digest() }.save(folder)?;
    let base = stored.head.version.number;
    if session.settings.json {
        session.console.print_json(&PlanReport { base, plan: &plan });
    } else {
        session.console.print(format_args!("Changes to version {base}:"));
        session.console.print_coloured(&plan.to_string());
    }
    Ok(ExitStatus::Success)
}
