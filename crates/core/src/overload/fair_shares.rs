//! Minimum shares of groups of requests, and fair shares of workspaces.
//!
//! An order by rank alone leaves the last rank, the longest prompts or a single session unserved for
//! as long as the overload lasts, and lets one workspace take the room of all others of its rank.

use std::{collections::HashMap, time::Duration};

use crate::{clock::ClockTime, rendezvous::rendezvous_score};

/// Time constant with which requests are forgotten, in seconds.
const TIME_CONSTANT_S: f64 = 8.0;
/// Maximum number of groups, of which there are up to four for each request. Further ones have no
/// minimum share.
const MAX_GROUPS: usize = 1_024;
/// Groups without requests for this time are forgotten.
const GROUP_LIFETIME: Duration = Duration::from_secs(24);
/// Time between two searches for groups to forget, and between two updates of the fair share.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
/// A route, workspace or session is admitted at least this share as often as all requests. A quarter is
/// required after the retries of clients, which are counted here as further requests.
const MIN_GROUP_SHARE: f64 = 0.4;
/// Prompts of one size are admitted at least this share as often as all of their route; half is
/// required.
const MIN_SIZE_SHARE: f64 = 0.7;

/// A group gets more room only if it lacks this many requests. With less, each first request of a
/// group would have it.
const MIN_DEFICIT: f64 = 0.9;

/// The groups of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestGroups {
    /// Number of the route.
    pub route: u64,
    /// Number of the workspace.
    pub workspace: u64,
    /// Number of the session, or of the prefix that its requests share.
    pub session: Option<u64>,
    /// Size of the prompt in tokens.
    pub prompt_tokens: u32,
}

impl RequestGroups {
    /// Key of each group: the route, the workspace, the size within the route, and the session.
    fn keys(&self) -> [Option<u64>; 4] {
        let key = |dimension: u64, id: u64| rendezvous_score(&id.to_le_bytes(), dimension);
        // Sizes that differ by less than a factor of 1.4 count as one.
        let size = (f64::from(self.prompt_tokens.max(1)).log2() * 2.0) as u64;
        let workspace = key(WORKSPACE_DIMENSION, self.workspace);
        let size = key(self.route, size.wrapping_add(3 << 32));
        [Some(key(1, self.route)), Some(workspace), Some(size), self.session.map(|id| key(4, id))]
    }
}

const WORKSPACE_DIMENSION: u64 = 2;
/// Position of the workspace's key in [`RequestGroups::keys`].
const WORKSPACE_INDEX: usize = 1;

/// Recent requests of a group. All numbers are decayed.
#[derive(Debug, Clone, Copy, Default)]
struct GroupShare {
    asked: f64,
    admitted: f64,
    /// Server time of the requests, in ms.
    asked_ms: f64,
    is_workspace: bool,
    updated_at: ClockTime,
}

impl GroupShare {
    fn decayed(self, now: ClockTime) -> GroupShare {
        let decay = (-now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT_S).exp();
        GroupShare {
            asked: self.asked * decay,
            admitted: self.admitted * decay,
            asked_ms: self.asked_ms * decay,
            updated_at: now,
            ..self
        }
    }

    /// Whether at least [`MIN_DEFICIT`] more requests of the group had to be admitted to give it
    /// `share` of what `other` gets.
    fn is_below(&self, share: f64, other: &GroupShare) -> bool {
        let admitted_share = other.admitted / other.asked.max(f64::MIN_POSITIVE);
        share * admitted_share * self.asked - self.admitted >= MIN_DEFICIT
    }
}

/// What the groups of requests to one service asked for and got.
#[derive(Debug, Clone, Default)]
pub struct FairShares {
    groups: HashMap<u64, GroupShare>,
    all: GroupShare,
    /// Server time of the admitted requests in ms, decayed like those of the groups.
    admitted_ms: f64,
    /// Largest server time that a workspace may ask for without asking for more than its fair share.
    fair_ms: f64,
    updated_at: ClockTime,
}

impl FairShares {
    /// Records a request that takes `server_ms` of a server's time.
    pub fn on_request(&mut self, now: ClockTime, groups: &RequestGroups, server_ms: f64) {
        if now.since(self.updated_at) >= UPDATE_INTERVAL {
            self.update(now);
        }
        self.add(now, groups, |share| {
            share.asked += 1.0;
            share.asked_ms += server_ms;
        });
    }

    /// Records that a request was admitted.
    pub fn on_admitted(&mut self, now: ClockTime, groups: &RequestGroups, server_ms: f64) {
        self.add(now, groups, |share| share.admitted += 1.0);
        self.admitted_ms += server_ms;
    }

    /// Whether a group of the request gets less than its minimum share.
    pub fn is_starved(&self, now: ClockTime, groups: &RequestGroups) -> bool {
        let known = |key: Option<u64>| {
            key.and_then(|key| self.groups.get(&key)).map(|share| share.decayed(now))
        };
        let all = self.all.decayed(now);
        let [route, workspace, size, session] = groups.keys().map(known);
        let route_share = route.unwrap_or(all);
        let is_below = |share: GroupShare| share.is_below(MIN_GROUP_SHARE, &all);
        [route, workspace, session].into_iter().flatten().any(is_below)
            || size.is_some_and(|size| size.is_below(MIN_SIZE_SHARE, &route_share))
    }

    /// Returns which part of what the workspace asks for exceeds its fair share, from 0 to 1.
    pub fn excess(&self, now: ClockTime, groups: &RequestGroups) -> f64 {
        let [_, key, ..] = groups.keys();
        let known = key.and_then(|key| self.groups.get(&key));
        let asked_ms = known.map_or(0.0, |share| share.decayed(now).asked_ms);
        if asked_ms <= self.fair_ms { 0.0 } else { 1.0 - self.fair_ms / asked_ms }
    }

    /// Number of groups that are kept.
    pub fn group_count(&self) -> usize {
        self.groups.len()
    }

    fn add(&mut self, now: ClockTime, groups: &RequestGroups, add: impl Fn(&mut GroupShare)) {
        self.all = self.all.decayed(now);
        add(&mut self.all);
        for (index, key) in groups.keys().into_iter().enumerate() {
            let Some(key) = key else { continue };
            if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&key) {
                continue;
            }
            let share = self.groups.entry(key).or_default();
            *share = share.decayed(now);
            share.is_workspace = index == WORKSPACE_INDEX;
            add(share);
        }
    }

    /// Forgets unused groups, and finds the fair share of the workspaces: the one with which they
    /// together get what was admitted, if those that ask for less leave the rest to the others.
    fn update(&mut self, now: ClockTime) {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.groups.retain(|_, share| now.since(share.updated_at) < GROUP_LIFETIME);
        let workspaces = self.groups.values().filter(|share| share.is_workspace);
        let mut asked: Vec<f64> = workspaces.map(|share| share.decayed(now).asked_ms).collect();
        asked.sort_unstable_by(f64::total_cmp);
        let mut left = self.admitted_ms;
        self.admitted_ms *= (-passed / TIME_CONSTANT_S).exp();
        self.fair_ms = f64::INFINITY;
        for (index, &asked_ms) in asked.iter().enumerate() {
            let level = left / (asked.len() - index) as f64;
            if asked_ms > level {
                self.fair_ms = level;
                return;
            }
            left -= asked_ms;
        }
    }
}
