//! The `diff` command.

use std::path::Path;

use carobvane_core::lists::ListDocument;
use carobvane_lists::ListDifference;

use super::{Session, check::load_checked};
use crate::exit::{ExitStatus, Failure};

/// Argument that selects the latest accepted version.
const HEAD_KEYWORD: &str = "head";

/// Prints the difference between two versions or folders.
pub(crate) async fn run(
    session: &mut Session<'_, '_>,
    before: &str,
    after: &str,
) -> Result<ExitStatus, Failure> {
    let Some(before) = load_lists(session, before).await? else { return Ok(ExitStatus::Findings) };
    let Some(after) = load_lists(session, after).await? else { return Ok(ExitStatus::Findings) };
    let difference = ListDifference::between(&before, &after);
    if session.settings.json {
        session.console.print_json(&difference);
    } else {
        session.console.print_coloured(&difference.to_string());
    }
    Ok(ExitStatus::Success)
}

/// Loads the lists that an argument names: `head`, a version number or a folder. If a folder has
/// findings, prints them and returns `None`.
async fn load_lists(
    session: &mut Session<'_, '_>,
    name: &str,
) -> Result<Option<ListDocument>, Failure> {
    if name == HEAD_KEYWORD {
        return Ok(Some(session.settings.store()?.load().await?.snapshot.document));
    }
    if let Ok(version) = name.parse() {
        return Ok(Some(session.settings.store()?.load_version(version).await?.document));
    }
    load_checked(session, Path::new(name))
}
