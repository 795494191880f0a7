//! The `revert` command.

use carobvane_lists::ListDifference;

use super::{
    Session,
    apply::{accept, fleet_client},
};
use crate::{
    exit::{ExitStatus, Failure},
    in_force::wait_in_force,
};

/// Accepts the lists of an earlier version as a new version and waits until they are in force on
/// all nodes.
pub(crate) async fn run(
    session: &mut Session<'_, '_>,
    version: u64,
) -> Result<ExitStatus, Failure> {
    let store = session.settings.store()?;
    let fleet = fleet_client(session)?;
    if version == 0 {
        let message = "version 0 has no lists: reverting to it would stop all traffic";
        return Err(Failure::new(ExitStatus::Usage, message));
    }
    let stored = store.load().await?;
    let earlier = store.load_version(version).await?;
    let difference = ListDifference::between(&stored.snapshot.document, &earlier.document);
    if difference.is_empty() {
        let head = stored.head.version;
        let message = format_args!("version {} holds the lists of {version} already", head.number);
        session.console.print_diagnostic(message);
        return Ok(wait_in_force(session, &fleet, head).await);
    }
    if !session.settings.json {
        session.console.print_coloured(&difference.to_string());
    }
    accept(session, &store, &fleet, &stored, &earlier.document).await
}
