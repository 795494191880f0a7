//! The `apply` command, and the functions it shares with other commands.

use std::path::Path;

use carobvane_core::lists::{ListDocument, ListVersion};
use carobvane_host::list_store::{
    ListStore, ListStoreError, StoredHead, StoredLists, WriteOutcome,
};
use carobvane_lists::ListDifference;
use serde::Serialize;

use super::{Session, check::load_checked};
use crate::{
    exit::{ExitStatus, Failure},
    fleet::{FleetClient, FleetResponses},
    in_force::wait_in_force,
    plan_record::PlanRecord,
};

#[derive(Serialize)]
struct ConflictReport<'a> {
    conflict: bool,
    base: u64,
    head: u64,
    #[serde(flatten)]
    difference: &'a ListDifference,
}

/// Accepts the lists in a folder as planned and waits until they are in force on all nodes. `base`
/// is the version from `--base`; without it, the record of `plan` names the version.
pub(crate) async fn run(
    session: &mut Session<'_, '_>,
    folder: &Path,
    base: Option<u64>,
) -> Result<ExitStatus, Failure> {
    let store = session.settings.store()?;
    let fleet = fleet_client(session)?;
    let Some(document) = load_checked(session, folder)? else { return Ok(ExitStatus::Findings) };
    let base = match base {
        Some(number) => PlannedBase::Number(number),
        None => {
            let record = PlanRecord::load(folder)?;
            if record.planned != document.digest() {
                let message = "the lists in the folder differ from the planned ones: run \
                               `carobvane plan` again";
                return Err(Failure::new(ExitStatus::Conflict, message));
            }
            PlannedBase::Version(record.base)
        }
    };
    let stored = store.load().await?;
    let head = stored.head.version;
    if head.digest == document.digest() && head.number > 0 {
        session
            .console
            .print_diagnostic(format_args!("version {} holds these lists already", head.number));
        return Ok(wait_in_force(session, &fleet, head).await);
    }
    if !base.matches(&head) {
        let before = store.load_version(base.number()).await;
        return report_conflict(
            session,
            base.number(),
            before.ok().map(|old| old.document),
            &stored,
        );
    }
    accept(session, &store, &fleet, &stored, &document).await
}

/// Version that a change was planned against.
enum PlannedBase {
    /// Number given with `--base`.
    Number(u64),
    /// Number and digest from the record of `plan`.
    Version(ListVersion),
}

impl PlannedBase {
    fn number(&self) -> u64 {
        match self {
            PlannedBase::Number(number) => *number,
            PlannedBase::Version(version) => version.number,
        }
    }

    fn matches(&self, head: &ListVersion) -> bool {
        match self {
            PlannedBase::Number(number) => *number == head.number,
            PlannedBase::Version(version) => version == head,
        }
    }
}

/// Returns the client of the nodes. Fails without `--entries`: a command that changes lists must be
/// able to confirm that the change is in force.
pub(super) fn fleet_client(session: &Session<'_, '_>) -> Result<FleetClient, Failure> {
    Ok(FleetClient::new(session.settings.required_entries()?, session.settings.call_timeout))
}

/// Writes `document` as the version after `stored` and waits until it is in force. If another
/// change was accepted meanwhile, prints the difference and fails.
pub(super) async fn accept(
    session: &mut Session<'_, '_>,
    store: &ListStore,
    fleet: &FleetClient,
    stored: &StoredLists,
    document: &ListDocument,
) -> Result<ExitStatus, Failure> {
    let head = stored.head.version;
    ensure_not_restored(&head, &fleet.statuses().await)?;
    let outcome = store.write(stored, document).await.map_err(|error| {
        let unknown =
            matches!(&error, ListStoreError::Keyvalue(cause) if cause.is_outcome_unknown());
        let failure = Failure::from(error);
        if unknown {
            failure
                .context("failed to confirm the change; repeat the command, it takes effect once")
        } else {
            failure.context("failed to write the change")
        }
    })?;
    match outcome {
        WriteOutcome::Accepted(version) => {
            session
                .console
                .print_diagnostic(format_args!("version {} is accepted", version.number));
            Ok(wait_in_force(session, fleet, version).await)
        }
        WriteOutcome::Conflict(current) => {
            let current = load_changes_since(store, stored, current).await?;
            let before = stored.snapshot.document.clone();
            report_conflict(session, head.number, Some(before), &current)
        }
    }
}

/// Fails if a node holds a later version than the key-value service. The service was then restored
/// from an old copy, and a change based on its version would revert accepted changes.
pub(super) fn ensure_not_restored(
    head: &ListVersion,
    responses: &FleetResponses,
) -> Result<(), Failure> {
    let Some((held, node)) = responses.highest_version() else { return Ok(()) };
    if held <= head.number {
        return Ok(());
    }
    let message = format!(
        "the key-value service shows version {}, but {} holds version {held}: the service was \
         restored from an old copy; repeat when a steward has written version {held} back",
        head.number,
        node.label()
    );
    Err(Failure::new(ExitStatus::Conflict, message))
}

/// Loads the lists of `head`. Reads the changes since `stored` in one call and applies them; loads
/// the whole version only if changes are missing.
async fn load_changes_since(
    store: &ListStore,
    stored: &StoredLists,
    head: StoredHead,
) -> Result<StoredLists, Failure> {
    let mut snapshot = stored.snapshot.clone();
    for delta in store.load_changes(snapshot.version.number + 1, head.version.number).await? {
        match delta.apply(&snapshot) {
            Ok(next) => snapshot = next,
            Err(_) => break,
        }
    }
    if snapshot.version != head.version {
        snapshot = store.load_version(head.version.number).await?;
    }
    Ok(StoredLists { head, snapshot })
}

/// Prints what others changed since version `base`. Always returns a failure.
fn report_conflict(
    session: &mut Session<'_, '_>,
    base: u64,
    before: Option<ListDocument>,
    current: &StoredLists,
) -> Result<ExitStatus, Failure> {
    let head = current.head.version.number;
    let difference =
        ListDifference::between(&before.unwrap_or_default(), &current.snapshot.document);
    if session.settings.json {
        let report = ConflictReport { conflict: true, base, head, difference: &difference };
        session.console.print_json(&report);
    } else {
        session
            .console
            .print(format_args!("Changes from version {base} to {head}, made by others:"));
        session.console.print_coloured(&difference.to_string());
    }
    let message = format!(
        "conflict: the change was planned against version {base}, but version {head} is accepted; \
         nothing was changed; run `carobvane plan` again"
    );
    Err(Failure::new(ExitStatus::Conflict, message))
}
