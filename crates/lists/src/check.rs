//! Checks the files of a folder and builds the document from them.

use std::path::Path;

use carobvane_core::lists::{
    BackendServer, EntryVm, GrantEntry, ListDocument, ModelWeights, PlanEntry, WorkspaceEntry,
};

use crate::{
    finding::{Finding, FindingCollector, RuleName},
    raw::{GrantKind, RawLists},
    rules::{check_references, effective_names},
    source::{FLEET_FILE, GRANTS_FILE, ListFiles, Located, PLANS_FILE, Position, ReadError},
};

/// Result of checking the lists.
#[derive(Debug, Clone, PartialEq)]
pub struct CheckedLists {
    /// All findings, sorted by position.
    pub findings: Vec<Finding>,
    /// Document built from the files. Invariant: present exactly if there are no findings.
    pub document: Option<ListDocument>,
}

/// Reads and checks the lists in `folder`.
///
/// # Errors
///
/// Fails if the folder or a file in it cannot be read. A missing file is a finding instead.
pub fn check_folder(folder: &Path) -> Result<CheckedLists, ReadError> {
    Ok(check_files(&ListFiles::read(folder)?))
}

/// Checks lists that have already been read.
pub fn check_files(texts: &ListFiles) -> CheckedLists {
    let mut findings = FindingCollector::default();
    let mut raw = RawLists::default();
    if let Some(text) = required(&texts.plans, PLANS_FILE, &mut findings) {
        raw.read_plans(text, &mut findings);
    }
    if let Some(text) = required(&texts.grants, GRANTS_FILE, &mut findings) {
        raw.read_grants(text, &mut findings);
    }
    if let Some(text) = required(&texts.fleet, FLEET_FILE, &mut findings) {
        raw.read_fleet(text, &mut findings);
    }
    if !findings.has_unparsed_files() {
        check_references(&raw, &mut findings);
    }
    let findings = findings.finish();
    let document = findings.is_empty().then(|| build(&raw));
    CheckedLists { findings, document }
}

fn required<'a>(
    text: &'a Option<String>,
    name: &'static str,
    findings: &mut FindingCollector,
) -> Option<&'a str> {
    if text.is_none() {
        let message = format!("the folder has no `{name}`");
        findings.add(Position::start_of(name), RuleName::MissingFile, message);
    }
    text.as_deref()
}

/// Builds the document. The lists must have no findings.
fn build(raw: &RawLists) -> ListDocument {
    let mut document = ListDocument::default();
    for (name, workspace) in &raw.workspaces {
        let entry = WorkspaceEntry {
            key_hashes: workspace.value.key_hashes.iter().map(|hash| hash.value).collect(),
            plan: text_or_empty(&workspace.value.plan),
        };
        document.workspaces.insert(name.clone(), entry);
    }
    for (name, plan) in &raw.plans {
        let entry = PlanEntry { limits: plan.value.limits, weight: plan.value.weight };
        document.plans.insert(name.clone(), entry);
    }
    for (name, grant) in &raw.grants {
        let allowed = |kind| effective_names(&grant.value, &raw.everyone, kind);
        let entry = GrantEntry {
            models: allowed(GrantKind::Model),
            services: allowed(GrantKind::Service),
            adapters: allowed(GrantKind::Adapter),
        };
        document.grants.insert(name.clone(), entry);
    }
    build_fleet(raw, &mut document);
    document
}

fn build_fleet(raw: &RawLists, document: &mut ListDocument) {
    for (name, weights) in &raw.weights {
        let entry = ModelWeights {
            version: weights.value.version.unwrap_or_default(),
            adapters: weights.value.adapters.iter().map(|name| name.value.clone()).collect(),
        };
        document.weights.insert(name.clone(), entry);
    }
    for (name, server) in &raw.servers {
        let Some(role) = &server.value.role else { continue };
        let entry = BackendServer {
            address: text_or_empty(&server.value.address),
            role: role.value.clone(),
            data_centre: text_or_empty(&server.value.data_centre),
            checks_fencing: server.value.checks_fencing,
            slots: server.value.slots,
        };
        document.servers.insert(name.clone(), entry);
    }
    for (name, entry) in &raw.entries {
        let Some(node) = entry.value.node else { continue };
        let entry = EntryVm {
            node,
            http_address: text_or_empty(&entry.value.http),
            peer_address: text_or_empty(&entry.value.peer),
            data_centre: text_or_empty(&entry.value.data_centre),
        };
        document.entries.insert(name.clone(), entry);
    }
}

fn text_or_empty(text: &Option<Located<String>>) -> String {
    text.as_ref().map(|text| text.value.clone()).unwrap_or_default()
}
