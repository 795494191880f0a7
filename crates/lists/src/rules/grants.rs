//! Rules about grants.

use std::collections::BTreeSet;

use carobvane_core::lists::ServerRole;

use crate::{
    finding::{FindingCollector, RuleName},
    names::suggest_similar,
    raw::{GrantKind, RawGrant, RawLists},
    source::Located,
};

/// Names of models, services and adapters that exist in the fleet.
struct KnownNames<'a> {
    models: BTreeSet<&'a str>,
    services: BTreeSet<&'a str>,
    adapters: BTreeSet<&'a str>,
}

pub(super) fn check(raw: &RawLists, findings: &mut FindingCollector) {
    let known = KnownNames::of(raw);
    check_names("`[everyone]`", &raw.everyone, &known, findings);
    for (plan, grant) in &raw.grants {
        if !raw.plans.contains_key(plan) {
            findings.add_with_suggestion(
                grant.at,
                RuleName::UnknownPlan,
                format!("grant `{plan}`: no plan has this name"),
                suggest_similar(plan, raw.plans.keys().map(String::as_str))
                    .unwrap_or_else(|| "add the plan to plans.toml".into()),
            );
        }
        let subject = format!("grant `{plan}`");
        check_names(&subject, &grant.value, &known, findings);
        check_denials(&subject, &grant.value, &raw.everyone, findings);
        check_adapters(&subject, &grant.value, raw, findings);
    }
}

impl<'a> KnownNames<'a> {
    fn of(raw: &'a RawLists) -> KnownNames<'a> {
        let roles = raw.servers.values().filter_map(|server| server.value.role.as_ref());
        let adapters = raw.weights.values().flat_map(|weights| &weights.value.adapters);
        KnownNames {
            models: raw.weights.keys().map(String::as_str).collect(),
            services: roles
                .filter_map(|role| match &role.value {
                    ServerRole::Service(name) => Some(name.as_str()),
                    ServerRole::Engine(_) => None,
                })
                .collect(),
            adapters: adapters.map(|adapter| adapter.value.as_str()).collect(),
        }
    }

    fn of_kind(&self, kind: GrantKind) -> &BTreeSet<&'a str> {
        match kind {
            GrantKind::Model => &self.models,
            GrantKind::Service => &self.services,
            GrantKind::Adapter => &self.adapters,
        }
    }
}

fn check_names(
    subject: &str,
    grant: &RawGrant,
    known: &KnownNames<'_>,
    findings: &mut FindingCollector,
) {
    for kind in GrantKind::ALL {
        let names = known.of_kind(kind);
        let (rule, message, suggestion) = match kind {
            GrantKind::Model => (RuleName::UnknownModel, "no model", "add its `[weights.NAME]`"),
            GrantKind::Service => (
                RuleName::ServiceWithoutServer,
                "no server runs a service",
                "add a server with this `service`",
            ),
            GrantKind::Adapter => {
                (RuleName::UnknownAdapter, "no adapter", "add it to a model's `adapters`")
            }
        };
        let used = grant.allowed[kind as usize].iter().chain(&grant.denied[kind as usize]);
        for name in used.filter(|name| !names.contains(name.value.as_str())) {
            findings.add_with_suggestion(
                name.at,
                rule,
                format!("{subject}: {message} `{}`", name.value),
                suggest_similar(&name.value, names.iter().copied())
                    .unwrap_or_else(|| suggestion.into()),
            );
        }
    }
}

fn contains_name(names: &[Located<String>], name: &str) -> bool {
    names.iter().any(|other| other.value == name)
}

fn check_denials(
    subject: &str,
    grant: &RawGrant,
    everyone: &RawGrant,
    findings: &mut FindingCollector,
) {
    for kind in GrantKind::ALL {
        let (allowed, denied) = (&grant.allowed[kind as usize], &grant.denied[kind as usize]);
        for name in denied {
            let what = format!("{} `{}`", kind.as_str(), name.value);
            if contains_name(allowed, &name.value) {
                let message = format!("{subject}: both grants and denies {what}");
                let suggestion = "remove one of the two";
                findings.add_with_suggestion(
                    name.at,
                    RuleName::ContradictingRules,
                    message,
                    suggestion,
                );
            } else if !contains_name(&everyone.allowed[kind as usize], &name.value) {
                let message =
                    format!("{subject}: denies {what}, which `[everyone]` does not grant");
                let suggestion = "remove the denial; a plan may use only what is granted";
                findings.add_with_suggestion(
                    name.at,
                    RuleName::DenialWithoutEffect,
                    message,
                    suggestion,
                );
            }
        }
    }
}

/// Reports granted adapters without a grant of a model that has them, since they cannot be used.
fn check_adapters(
    subject: &str,
    grant: &RawGrant,
    raw: &RawLists,
    findings: &mut FindingCollector,
) {
    let models = effective_names(grant, &raw.everyone, GrantKind::Model);
    for adapter in &grant.allowed[GrantKind::Adapter as usize] {
        let owners: Vec<&str> = raw
            .weights
            .iter()
            .filter(|(_, weights)| contains_name(&weights.value.adapters, &adapter.value))
            .map(|(model, _)| model.as_str())
            .collect();
        if !owners.is_empty() && !owners.iter().any(|model| models.contains(*model)) {
            findings.add_with_suggestion(
                adapter.at,
                RuleName::AdapterWithoutModel,
                format!("{subject}: adapter `{}` without its model", adapter.value),
                format!("grant model `{}` too, or remove the adapter", owners[0]),
            );
        }
    }
}

/// Returns the names that a plan may use: those granted to it or to everyone, except denied ones.
pub(crate) fn effective_names(
    grant: &RawGrant,
    everyone: &RawGrant,
    kind: GrantKind,
) -> BTreeSet<String> {
    let allowed = grant.allowed[kind as usize].iter().chain(&everyone.allowed[kind as usize]);
    allowed
        .filter(|name| !contains_name(&grant.denied[kind as usize], &name.value))
        .map(|name| name.value.clone())
        .collect()
}
