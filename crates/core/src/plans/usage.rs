//! Use for each workspace, for the operators' status page.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::LimitKind;

/// What a workspace used at this entry since the entry's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkspaceUsage {
    /// Requests admitted.
    pub requests: u64,
    /// Tokens settled.
    pub tokens: u64,
    /// Streams open now.
    pub open_streams: u64,
    /// Requests rejected for each limit, in the order of [`LimitKind::ALL`].
    pub rejected: [u64; 3],
}

/// What a plan uses at this entry now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct PlanUsage {
    /// Use in the window for each limit, in the order of [`LimitKind::ALL`].
    pub used: [u64; 3],
    /// Units at this entry.
    pub cap: [u64; 3],
    /// Units lent to other entries.
    pub lent: [u64; 3],
}

/// Use by workspace name. Bounded by the workspaces of the lists.
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

    /// All workspaces with their use.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &WorkspaceUsage)> {
        self.workspaces.iter().map(|(name, usage)| (name.as_str(), usage))
    }

    /// Use of one workspace; zero for one that was not seen.
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
