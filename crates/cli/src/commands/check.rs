//! The `check` command.

use std::path::Path;

use carobvane_core::lists::ListDocument;
use carobvane_lists::{Finding, check_folder};
use serde::Serialize;

use super::Session;
use crate::exit::{ExitStatus, Failure};

#[derive(Serialize)]
struct CheckReport<'a> {
    findings: &'a [Finding],
}

/// Checks the lists in a folder and prints all findings, or the numbers of items if there are none.
pub(crate) fn run(session: &mut Session<'_, '_>, folder: &Path) -> Result<ExitStatus, Failure> {
    let Some(document) = load_checked(session, folder)? else { return Ok(ExitStatus::Findings) };
    if session.settings.json {
        session.console.print_json(&CheckReport { findings: &[] });
    } else {
        session.console.print(format_args!(
            "no findings: {} workspaces, {} plans, {} servers, {} entries",
            document.workspaces.len(),
            document.plans.len(),
            document.servers.len(),
            document.entries.len()
        ));
    }
    Ok(ExitStatus::Success)
}

/// Reads and checks the lists in a folder. If there are findings, prints them and returns `None`.
pub(super) fn load_checked(
    session: &mut Session<'_, '_>,
    folder: &Path,
) -> Result<Option<ListDocument>, Failure> {
    let checked = check_folder(folder)?;
    if let Some(document) = checked.document {
        return Ok(Some(document));
    }
    if session.settings.json {
        session.console.print_json(&CheckReport { findings: &checked.findings });
        return Ok(None);
    }
    for finding in &checked.findings {
        session.console.print(format_args!("{}/{finding}", folder.display()));
    }
    session.console.print(format_args!("findings: {}", checked.findings.len()));
    Ok(None)
}
