//! Effects of a change of the lists on each workspace, and which of them deserve a warning.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use carobvane_core::{
    lists::{ListDocument, ServerRole, WorkspaceEntry},
    plans::LimitKind,
};
use serde::Serialize;

use crate::{
    difference::ListDifference,
    limit::{format_limit, limit_field},
};

/// Current requests of one workspace, added up over all entries.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct WorkspaceUse {
    /// Number of requests in progress.
    pub in_progress: u64,
    /// Number of requests in the last minute, by `model/NAME` or `service/NAME`.
    pub targets: BTreeMap<String, u64>,
}

/// One effect of a change on a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct WorkspaceEffect {
    /// Description of the effect for operators.
    pub text: String,
    /// Whether the workspace loses access, capacity or a key.
    pub loss: bool,
    /// Description of the current use of what is lost; absent if nothing is lost.
    pub current_use: Option<String>,
    /// Whether what is lost is in use, or its use is unknown.
    pub warning: bool,
}

/// All effects of a change on a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct WorkspaceImpact {
    /// Name of the workspace.
    pub workspace: String,
    /// Effects on the workspace; never empty.
    pub effects: Vec<WorkspaceEffect>,
}

/// Preview of a change: the differences in the lists and their effects on workspaces.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct ChangePlan {
    /// Differences in the lists.
    #[serde(flatten)]
    pub difference: ListDifference,
    /// Effects by workspace, sorted by name; workspaces without effects are left out.
    pub impacts: Vec<WorkspaceImpact>,
    /// Number of effects with a warning.
    pub warnings: usize,
}

impl ChangePlan {
    /// Computes the effects of a change from `old` to `new`.
    ///
    /// `usage` holds the current use by workspace; a workspace that is missing in it is not in use.
    /// It is `None` if no entry could be asked, and then every loss is a warning.
    pub fn new(
        old: &ListDocument,
        new: &ListDocument,
        usage: Option<&BTreeMap<String, WorkspaceUse>>,
    ) -> ChangePlan {
        let names: BTreeSet<&String> = old.workspaces.keys().chain(new.workspaces.keys()).collect();
        let mut impacts = Vec::new();
        for name in names {
            let unused = WorkspaceUse::default();
            let usage = usage.map(|usage| usage.get(name).unwrap_or(&unused));
            let effects = effects_on(name, old, new, usage);
            if !effects.is_empty() {
                impacts.push(WorkspaceImpact { workspace: name.clone(), effects });
            }
        }
        let effects = impacts.iter().flat_map(|impact| &impact.effects);
        let warnings = effects.filter(|effect| effect.warning).count();
        ChangePlan { difference: ListDifference::between(old, new), impacts, warnings }
    }
}

/// Everything that one document gives to a workspace.
struct WorkspaceView<'a> {
    entry: &'a WorkspaceEntry,
    amounts: [u64; LimitKind::ALL.len()],
    weight: u32,
    /// Targets that the workspace may use: `model/NAME`, `service/NAME` and `adapter/NAME`.
    targets: BTreeSet<String>,
    /// Servers and weights version of each target that has servers.
    target_servers: BTreeMap<String, TargetServers>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct TargetServers {
    servers: usize,
    version: Option<u64>,
}

impl<'a> WorkspaceView<'a> {
    fn of(document: &'a ListDocument, name: &str) -> Option<WorkspaceView<'a>> {
        let entry = document.workspaces.get(name)?;
        let plan = document.plans.get(&entry.plan).copied().unwrap_or_default();
        let grant = document.grants.get(&entry.plan).cloned().unwrap_or_default();
        let mut targets = BTreeSet::new();
        targets.extend(grant.models.iter().map(|name| format!("model/{name}")));
        targets.extend(grant.services.iter().map(|name| format!("service/{name}")));
        targets.extend(grant.adapters.iter().map(|name| format!("adapter/{name}")));
        let mut target_servers: BTreeMap<String, TargetServers> = BTreeMap::new();
        for server in document.servers.values() {
            let (target, model) = match &server.role {
                ServerRole::Engine(model) => (format!("model/{model}"), Some(model)),
                ServerRole::Service(service) => (format!("service/{service}"), None),
            };
            if targets.contains(&target) {
                let target_servers = target_servers.entry(target).or_default();
                target_servers.servers += 1;
                let weights = model.and_then(|model| document.weights.get(model));
                target_servers.version = weights.map(|weights| weights.version);
            }
        }
        let amounts = LimitKind::ALL.map(|kind| plan.limits.amount(kind));
        Some(WorkspaceView { entry, amounts, weight: plan.weight, targets, target_servers })
    }
}

fn effects_on(
    name: &str,
    old: &ListDocument,
    new: &ListDocument,
    usage: Option<&WorkspaceUse>,
) -> Vec<WorkspaceEffect> {
    let mut effects = EffectList { effects: Vec::new(), usage };
    match (WorkspaceView::of(old, name), WorkspaceView::of(new, name)) {
        (None, Some(after)) => effects.add_neutral(format!("is new, on plan {}", after.entry.plan)),
        (Some(before), None) => {
            let text = format!("is removed (plan {}): its keys stop working", before.entry.plan);
            effects.add_loss(text, None);
        }
        (Some(before), Some(after)) => effects.compare(&before, &after),
        (None, None) => {}
    }
    effects.effects
}

struct EffectList<'a> {
    effects: Vec<WorkspaceEffect>,
    usage: Option<&'a WorkspaceUse>,
}

impl EffectList<'_> {
    fn add_neutral(&mut self, text: String) {
        let effect = WorkspaceEffect { text, loss: false, current_use: None, warning: false };
        self.effects.push(effect);
    }

    /// Adds a loss that affects requests to `target` or, if `None`, all requests.
    fn add_loss(&mut self, text: String, target: Option<&str>) {
        let (current_use, warning) = match self.usage {
            None => ("current use unknown".to_string(), true),
            Some(usage) => describe_use(usage, target),
        };
        let current_use = Some(current_use);
        self.effects.push(WorkspaceEffect { text, loss: true, current_use, warning });
    }

    fn compare(&mut self, before: &WorkspaceView<'_>, after: &WorkspaceView<'_>) {
        if before.entry.plan != after.entry.plan {
            self.add_neutral(format!("plan {} -> {}", before.entry.plan, after.entry.plan));
        }
        for kind in LimitKind::ALL {
            let (old, new) = (before.amounts[kind.index()], after.amounts[kind.index()]);
            let text = format!(
                "{} {} -> {}",
                limit_field(kind),
                format_limit(kind, old),
                format_limit(kind, new)
            );
            match new.cmp(&old) {
                std::cmp::Ordering::Less => self.add_loss(text, None),
                std::cmp::Ordering::Greater => self.add_neutral(text),
                std::cmp::Ordering::Equal => {}
            }
        }
        match after.weight.cmp(&before.weight) {
            std::cmp::Ordering::Less => {
                self.add_loss(format!("weight {} -> {}", before.weight, after.weight), None);
            }
            std::cmp::Ordering::Greater => {
                self.add_neutral(format!("weight {} -> {}", before.weight, after.weight));
            }
            std::cmp::Ordering::Equal => {}
        }
        self.compare_targets(before, after);
        let lost = before.entry.key_hashes.difference(&after.entry.key_hashes).count();
        if lost > 0 {
            self.add_loss(
                format!("keys that stop working: {lost} of {}", before.entry.key_hashes.len()),
                None,
            );
        }
        let gained = after.entry.key_hashes.difference(&before.entry.key_hashes).count();
        if gained > 0 {
            self.add_neutral(format!("new keys: {gained}"));
        }
    }

    fn compare_targets(&mut self, before: &WorkspaceView<'_>, after: &WorkspaceView<'_>) {
        for target in before.targets.difference(&after.targets) {
            self.add_loss(format!("loses {target}"), Some(target));
        }
        for target in after.targets.difference(&before.targets) {
            self.add_neutral(format!("gains {target}"));
        }
        for target in before.targets.intersection(&after.targets) {
            let old = before.target_servers.get(target).copied().unwrap_or_default();
            let new = after.target_servers.get(target).copied().unwrap_or_default();
            let text = format!("{target}: {} -> {} servers", old.servers, new.servers);
            match new.servers.cmp(&old.servers) {
                std::cmp::Ordering::Less => self.add_loss(text, Some(target)),
                std::cmp::Ordering::Greater => self.add_neutral(text),
                std::cmp::Ordering::Equal => {}
            }
            if let (Some(old), Some(new)) = (old.version, new.version)
                && old != new
            {
                self.add_neutral(format!("{target}: weights version {old} -> {new}"));
            }
        }
    }
}

/// Describes the current use of a target or, if `None`, of the whole workspace, and returns whether
/// there is any. Entries do not count requests by adapter, so an adapter counts as used if the
/// workspace has any requests.
fn describe_use(usage: &WorkspaceUse, target: Option<&str>) -> (String, bool) {
    let total: u64 = usage.targets.values().sum();
    let counted = target.filter(|target| !target.starts_with("adapter/"));
    if let Some(target) = counted {
        let requests = usage.targets.get(target).copied().unwrap_or(0);
        return (format!("requests in the last minute: {requests}"), requests > 0);
    }
    let text = format!("requests in the last minute: {total}, in progress: {}", usage.in_progress);
    (text, total > 0 || usage.in_progress > 0)
}

impl fmt::Display for WorkspaceEffect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.warning { "warning: " } else { "" };
        write!(f, "{mark}{}", self.text)?;
        match &self.current_use {
            Some(current_use) => write!(f, " ({current_use})"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for ChangePlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.difference.is_empty() {
            return f.write_str("no change");
        }
        write!(f, "{}\n\nEffects on workspaces:", self.difference)?;
        if self.impacts.is_empty() {
            f.write_str(" none")?;
        }
        for impact in &self.impacts {
            write!(f, "\n  {}", impact.workspace)?;
            impact.effects.iter().try_for_each(|effect| write!(f, "\n    {effect}"))?;
        }
        write!(f, "\n\nwarnings: {}", self.warnings)
    }
}
