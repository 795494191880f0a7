//! Rules about workspaces and plans.

use std::collections::{BTreeMap, BTreeSet};

use carobvane_core::lists::KeyHash;

use crate::{
    finding::{FindingCollector, RuleName},
    names::suggest_similar,
    raw::RawLists,
};

pub(super) fn check(raw: &RawLists, findings: &mut FindingCollector) {
    check_plans(raw, findings);
    check_keys(raw, findings);
}

fn check_plans(raw: &RawLists, findings: &mut FindingCollector) {
    let mut used = BTreeSet::new();
    for (name, workspace) in &raw.workspaces {
        let Some(plan) = &workspace.value.plan else { continue };
        used.insert(plan.value.as_str());
        if !raw.plans.contains_key(&plan.value) {
            findings.add_with_suggestion(
                plan.at,
                RuleName::UnknownPlan,
                format!("workspace `{name}`: no plan `{}`", plan.value),
                suggest_similar(&plan.value, raw.plans.keys().map(String::as_str))
                    .unwrap_or_else(|| "add the plan".into()),
            );
        }
    }
    for (name, plan) in &raw.plans {
        if used.contains(name.as_str()) && !raw.grants.contains_key(name) {
            findings.add_with_suggestion(
                plan.at,
                RuleName::PlanWithoutGrant,
                format!("plan `{name}` has workspaces but no grant, so they may not use anything"),
                format!("add `[grant.{name}]` to grants.toml"),
            );
        }
    }
}

fn check_keys(raw: &RawLists, findings: &mut FindingCollector) {
    let mut keys = Vec::new();
    for (name, workspace) in &raw.workspaces {
        let hashes = workspace.value.key_hashes.iter();
        keys.extend(hashes.map(|hash| (hash.at, hash.value, name)));
    }
    // Sorted by position, so that the later one of two equal hashes is reported.
    keys.sort_by_key(|(at, _, _)| *at);
    let mut owners: BTreeMap<KeyHash, &str> = BTreeMap::new();
    for (at, hash, name) in keys {
        let Some(owner) = owners.get(&hash) else {
            owners.insert(hash, name);
            continue;
        };
        findings.add_with_suggestion(
            at,
            RuleName::DuplicateKeyHash,
            format!("workspace `{name}`: workspace `{owner}` already has this key hash"),
            "remove it here, or issue a separate key for this workspace",
        );
    }
}
