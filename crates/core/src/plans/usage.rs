//! Counts the use of each workspace, for the operators' status page.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::LimitKind;

/// What a workspace has used at this entry since the process started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// Number of admitted requests.
    pub requests: u64,
    /// Tokens that the finished requests used.
    pub tokens: u64,
    /// Number of streams that are open now.
    pub open_streams: u64,
    /// Requests rejected because of each limit, in the order of [`LimitKind::ALL`].
    pub rejected: [u64; 3],
}

/// Units and use of a plan at this entry. Arrays are in the order of [`LimitKind::ALL`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct PlanUsage {
    /// Use that counts against each limit now.
    pub used: [u64; 3],
    /// Units that this entry may use, its own and borrowed ones.
    pub cap: [u64; 3],
    /// Units lent to other entries.
    pub lent: [u64; 3],
}

/// Use of each workspace by name. The size is bounded by the number of workspaces in the lists.
#[derive(Debug, Clone, Default)]
pub struct UsageCounters {
    workspaces: BTreeMap<String, WorkspaceUsage>,
}

impl UsageCounters {
    /// Creates counters without workspaces.
    pub fn new() -> UsageCounters {
        UsageCounters::default()
    }

    /// Counts an admitted request.
    pub fn record_admission(&mut self, workspace: &str, stream: bool) {
        let usage = self.usage_mut(workspace);
        usage.requests += 1;
        usage.open_streams += u64::from(stream);
    }

    /// Counts the end of an admitted request.
    pub fn record_end(&mut self, workspace: &str, stream: bool, tokens: u64) {
        let usage = self.usage_mut(workspace);
        usage.tokens += tokens;
        usage.open_streams = usage.open_streams.saturating_sub(u64::from(stream));
    }

    /// Counts a rejection.
    pub fn record_rejection(&mut self, workspace: &str, limit: LimitKind) {
        self.usage_mut(workspace).rejected[limit.index()] += 1;
    }

    /// Returns all counted workspaces with their use, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &WorkspaceUsage)> {
        self.workspaces.iter().map(|(name, usage)| (name.as_str(), usage))
    }

    /// Returns the use of one workspace; zero for one that has sent no requests.
    pub fn get(&self, workspace: &str) -> WorkspaceUsage {
        self.workspaces.get(workspace).copied().unwrap_or_default()
    }

    fn usage_mut(&mut self, workspace: &str) -> &mut WorkspaceUsage {
        if !self.workspaces.contains_key(workspace) {
            self.workspaces.insert(workspace.to_string(), WorkspaceUsage::default());
        }
        self.workspaces.get_mut(workspace).expect("inserted above")
    }
}
