//! The `history` command.

use carobvane_core::lists::ListDelta;
use serde::Serialize;

use super::Session;
use crate::exit::{ExitStatus, Failure};

/// Default of `--limit`: number of changes listed.
const DEFAULT_LIMIT: u64 = 20;

#[derive(Serialize)]
struct HistoryLine {
    version: u64,
    /// Digest of the version's lists. Absent if the change is not stored.
    digest: Option<String>,
    /// Digest of the version before. Absent if the change is not stored.
    parent: Option<String>,
    /// Changed lists, each with the names of its changed and removed items.
    changes: Vec<ListCount>,
}

impl HistoryLine {
    /// Returns the line of a version whose change is not stored. The key-value service lost it, and
    /// a steward then wrote back a later version.
    fn missing(version: u64) -> HistoryLine {
        HistoryLine { version, digest: None, parent: None, changes: Vec::new() }
    }
}

#[derive(Serialize)]
struct ListCount {
    list: &'static str,
    put: Vec<String>,
    removed: Vec<String>,
}

/// Lists accepted changes, latest first.
pub(crate) async fn run(
    session: &mut Session<'_, '_>,
    limit: Option<u64>,
) -> Result<ExitStatus, Failure> {
    let store = session.settings.store()?;
    let last = store.load_head().await?.version.number;
    let first = (last + 1).saturating_sub(limit.unwrap_or(DEFAULT_LIMIT).max(1)).max(1);
    let deltas = if last == 0 { Vec::new() } else { store.load_changes(first, last).await? };
    let lines: Vec<HistoryLine> = (first..=last)
        .rev()
        .map(|version| {
            let delta = deltas.iter().find(|delta| delta.to.number == version);
            delta.map_or_else(|| HistoryLine::missing(version), history_line)
        })
        .collect();
    if session.settings.json {
        session.console.print_json(&lines);
        return Ok(ExitStatus::Success);
    }
    if lines.is_empty() {
        session.console.print(format_args!("no version was accepted yet"));
    }
    for line in &lines {
        let digest = line.digest.as_ref().map(|digest| format!(", digest {digest}"));
        let digest = digest.unwrap_or_else(|| ": its change is not stored".into());
        session.console.print(format_args!("version {}{digest}", line.version));
        for change in &line.changes {
            let put = change.put.iter().map(|name| format!(" {name}"));
            let removed = change.removed.iter().map(|name| format!(" -{name}"));
            let names: String = put.chain(removed).collect();
            session.console.print(format_args!("    {}:{names}", change.list));
        }
    }
    Ok(ExitStatus::Success)
}

fn history_line(delta: &ListDelta) -> HistoryLine {
    let mut changes = Vec::new();
    macro_rules! count {
        ($($list:ident)*) => {$(
            if !delta.$list.is_empty() {
                let put = delta.$list.put.keys().cloned().collect();
                let removed = delta.$list.remove.clone();
                changes.push(ListCount { list: stringify!($list), put, removed });
            }
        )*};
    }
    count!(workspaces plans grants weights servers entries);
    HistoryLine {
        version: delta.to.number,
        digest: Some(delta.to.digest.to_string()),
        parent: Some(delta.to.parent.to_string()),
        changes,
    }
}
