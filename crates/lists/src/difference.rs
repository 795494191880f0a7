//! Differences between two documents, as data and as text for operators.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use carobvane_core::{
    lists::{
        BackendServer, EntryVm, GrantEntry, ListDocument, ModelWeights, PlanEntry, ServerRole,
        WorkspaceEntry,
    },
    plans::LimitKind,
};
use serde::Serialize;

use crate::limit::{format_limit, limit_field};

/// List that an entry belongs to, named after its section in the files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryKind {
    /// `[workspace.NAME]`.
    Workspace,
    /// `[plan.NAME]`.
    Plan,
    /// `[grant.NAME]`.
    Grant,
    /// `[weights.NAME]`.
    Weights,
    /// `[server.NAME]`.
    Server,
    /// `[entry.NAME]`.
    Entry,
}

/// Kind of change of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeAction {
    /// Only the new document has the entry.
    Added,
    /// Only the old document has the entry.
    Removed,
    /// Both documents have the entry, with different fields.
    Changed,
}

/// Difference in one field of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(untagged)]
pub enum FieldChange {
    /// Field with a single value.
    Value {
        /// Name of the field in the file.
        field: &'static str,
        /// Old value; absent if the old entry does not have the field or does not exist.
        before: Option<String>,
        /// New value; absent if the new entry does not have the field or does not exist.
        after: Option<String>,
    },
    /// Field with a set of names.
    Set {
        /// Name of the field in the file.
        field: &'static str,
        /// Names that only the new entry has.
        added: Vec<String>,
        /// Names that only the old entry has.
        removed: Vec<String>,
    },
}

/// Difference in one entry.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct EntryChange {
    /// List that the entry belongs to.
    pub kind: EntryKind,
    /// Name of the entry.
    pub name: String,
    /// Kind of the change.
    pub action: ChangeAction,
    /// Fields that differ; for an added or removed entry, its fields.
    pub fields: Vec<FieldChange>,
}

/// All differences between two documents, sorted by list and name.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize)]
pub struct ListDifference {
    /// Entries that were added, removed or changed.
    pub changes: Vec<EntryChange>,
}

impl ListDifference {
    /// Computes the changes that lead from `old` to `new`.
    pub fn between(old: &ListDocument, new: &ListDocument) -> ListDifference {
        let mut changes = Vec::new();
        compare(EntryKind::Workspace, &old.workspaces, &new.workspaces, &mut changes);
        compare(EntryKind::Plan, &old.plans, &new.plans, &mut changes);
        compare(EntryKind::Grant, &old.grants, &new.grants, &mut changes);
        compare(EntryKind::Weights, &old.weights, &new.weights, &mut changes);
        compare(EntryKind::Server, &old.servers, &new.servers, &mut changes);
        compare(EntryKind::Entry, &old.entries, &new.entries, &mut changes);
        ListDifference { changes }
    }

    /// Whether the documents are equal.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

/// Value of one field.
enum FieldValue {
    Single(String),
    Names(BTreeSet<String>),
}

/// Entry whose fields can be compared by name.
trait ListFields: PartialEq {
    fn fields(&self) -> Vec<(&'static str, FieldValue)>;
}

fn compare<E: ListFields>(
    kind: EntryKind,
    old: &BTreeMap<String, E>,
    new: &BTreeMap<String, E>,
    changes: &mut Vec<EntryChange>,
) {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let (before, after) = (old.get(name), new.get(name));
        let action = match (before, after) {
            (None, _) => ChangeAction::Added,
            (_, None) => ChangeAction::Removed,
            (Some(before), Some(after)) if before == after => continue,
            _ => ChangeAction::Changed,
        };
        let before = before.map_or_else(Vec::new, ListFields::fields);
        let after = after.map_or_else(Vec::new, ListFields::fields);
        let fields = compare_fields(before, after);
        changes.push(EntryChange { kind, name: name.clone(), action, fields });
    }
}

fn compare_fields(
    before: Vec<(&'static str, FieldValue)>,
    after: Vec<(&'static str, FieldValue)>,
) -> Vec<FieldChange> {
    let mut names: Vec<&'static str> = before.iter().map(|(name, _)| *name).collect();
    for (name, _) in &after {
        if !names.contains(name) {
            names.push(name);
        }
    }
    let find = |fields: &[(&'static str, FieldValue)], name: &str| {
        fields.iter().position(|(other, _)| *other == name)
    };
    let mut changes = Vec::new();
    for field in names {
        let old = find(&before, field).map(|at| &before[at].1);
        let new = find(&after, field).map(|at| &after[at].1);
        changes.extend(compare_values(field, old, new));
    }
    changes
}

fn compare_values(
    field: &'static str,
    old: Option<&FieldValue>,
    new: Option<&FieldValue>,
) -> Option<FieldChange> {
    let empty = BTreeSet::new();
    let names = |value: Option<&FieldValue>| match value {
        Some(FieldValue::Names(names)) => Some(names.clone()),
        _ => None,
    };
    let single = |value: Option<&FieldValue>| match value {
        Some(FieldValue::Single(text)) => Some(text.clone()),
        _ => None,
    };
    if names(old).or_else(|| names(new)).is_some() {
        let (old, new) = (names(old).unwrap_or_default(), names(new).unwrap_or(empty));
        let added: Vec<String> = new.difference(&old).cloned().collect();
        let removed: Vec<String> = old.difference(&new).cloned().collect();
        let changed = !added.is_empty() || !removed.is_empty();
        return changed.then_some(FieldChange::Set { field, added, removed });
    }
    let (before, after) = (single(old), single(new));
    (before != after).then_some(FieldChange::Value { field, before, after })
}

/// Number of leading digits of a key hash that are shown.
const SHOWN_HASH_DIGITS: usize = 8;

impl ListFields for WorkspaceEntry {
    fn fields(&self) -> Vec<(&'static str, FieldValue)> {
        let hashes = self.key_hashes.iter().map(|hash| {
            let text = hash.to_string();
            format!("{}…", &text[..SHOWN_HASH_DIGITS])
        });
        vec![
            ("plan", FieldValue::Single(self.plan.clone())),
            ("key_hashes", FieldValue::Names(hashes.collect())),
        ]
    }
}

impl ListFields for PlanEntry {
    fn fields(&self) -> Vec<(&'static str, FieldValue)> {
        let limit = |kind| {
            let text = format_limit(kind, self.limits.amount(kind));
            (limit_field(kind), FieldValue::Single(text))
        };
        let mut fields = LimitKind::ALL.map(limit).into_iter().collect::<Vec<_>>();
        fields.push(("weight", FieldValue::Single(self.weight.to_string())));
        fields
    }
}

impl ListFields for GrantEntry {
    fn fields(&self) -> Vec<(&'static str, FieldValue)> {
        vec![
            ("models", FieldValue::Names(self.models.clone())),
            ("services", FieldValue::Names(self.services.clone())),
            ("adapters", FieldValue::Names(self.adapters.clone())),
        ]
    }
}

impl ListFields for ModelWeights {
    fn fields(&self) -> Vec<(&'static str, FieldValue)> {
        vec![
            ("version", FieldValue::Single(self.version.to_string())),
            ("adapters", FieldValue::Names(self.adapters.clone())),
        ]
    }
}

impl ListFields for BackendServer {
    fn fields(&self) -> Vec<(&'static str, FieldValue)> {
        let (field, name) = match &self.role {
            ServerRole::Engine(model) => ("model", model),
            ServerRole::Service(service) => ("service", service),
        };
        vec![
            (field, FieldValue::Single(name.clone())),
            ("address", FieldValue::Single(self.address.clone())),
            ("data_centre", FieldValue::Single(self.data_centre.clone())),
            ("slots", FieldValue::Single(self.slots.to_string())),
            ("checks_fencing", FieldValue::Single(self.checks_fencing.to_string())),
        ]
    }
}

impl ListFields for EntryVm {
    fn fields(&self) -> Vec<(&'static str, FieldValue)> {
        vec![
            ("node", FieldValue::Single(self.node.0.to_string())),
            ("http", FieldValue::Single(self.http_address.clone())),
            ("peer", FieldValue::Single(self.peer_address.clone())),
            ("data_centre", FieldValue::Single(self.data_centre.clone())),
        ]
    }
}

impl fmt::Display for EntryKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EntryKind::Workspace => "workspace",
            EntryKind::Plan => "plan",
            EntryKind::Grant => "grant",
            EntryKind::Weights => "weights",
            EntryKind::Server => "server",
            EntryKind::Entry => "entry",
        })
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FieldChange::Value { field, before: Some(before), after: Some(after) } => {
                write!(f, "{field}: {before} -> {after}")
            }
            FieldChange::Value { field, before, after } => {
                let value = after.as_ref().or(before.as_ref());
                write!(f, "{field}: {}", value.map_or("", String::as_str))
            }
            FieldChange::Set { field, added, removed } => {
                write!(f, "{field}:")?;
                added.iter().try_for_each(|name| write!(f, " +{name}"))?;
                removed.iter().try_for_each(|name| write!(f, " -{name}"))
            }
        }
    }
}

impl fmt::Display for EntryChange {
    /// Writes one line for the entry and one for each changed field; for a removed entry, only the
    /// first.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            ChangeAction::Added => '+',
            ChangeAction::Removed => '-',
            ChangeAction::Changed => '~',
        };
        write!(f, "{sign} {} {}", self.kind, self.name)?;
        if self.action == ChangeAction::Removed {
            return Ok(());
        }
        self.fields.iter().try_for_each(|field| write!(f, "\n    {field}"))
    }
}

impl fmt::Display for ListDifference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return f.write_str("no difference");
        }
        for (index, change) in self.changes.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{change}")?;
        }
        Ok(())
    }
}
