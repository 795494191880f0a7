//! The servers that have said in an answer that they leave.

use std::{collections::HashMap, time::Duration};

use super::ServerListing;
use crate::clock::ClockTime;

/// How long it is remembered that an incarnation has said that it leaves, after it is no longer listed. A
/// store that is restored from an older copy may list it again.
const LEAVING_LIFETIME: Duration = Duration::from_secs(120);

/// What an incarnation of a server has said of leaving, in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LeavingNotice {
    /// Start of the incarnation in Unix milliseconds; 0 if unknown.
    started_at_ms: u64,
    /// When this node learned of it first.
    heard_at: ClockTime,
    /// Whether the server has said it to this node, which then tells the others.
    is_own: bool,
}

/// What servers have said of leaving, to this node or to another one.
#[derive(Debug, Clone, Default)]
pub struct LeavingNotices {
    by_instance: HashMap<String, LeavingNotice>,
}

impl LeavingNotices {
    /// Records that an incarnation has said that it leaves, to this node if `is_own`. Returns whether
    /// this is new.
    pub(super) fn add(
        &mut self,
        now: ClockTime,
        instance: &str,
        started_at_ms: u64,
        is_own: bool,
    ) -> bool {
        let known = self.by_instance.get(instance);
        if known.is_some_and(|known| known.started_at_ms == started_at_ms) {
            return false;
        }
        let notice = LeavingNotice { started_at_ms, heard_at: now, is_own };
        self.by_instance.insert(instance.to_string(), notice);
        true
    }

    /// Whether a listed incarnation has said that it leaves. If nobody knows when it started, it may be
    /// another one than that which said so, unless its entry has been there all the while.
    pub(super) fn has_said(&self, listing: &ServerListing) -> bool {
        let notice = self.by_instance.get(&listing.instance);
        notice.is_some_and(|notice| {
            notice.started_at_ms != 0 && notice.started_at_ms == listing.started_at_ms
        })
    }

    /// Forgets old notices, but for those of servers that are listed.
    pub(super) fn expire(&mut self, now: ClockTime, is_listed: impl Fn(&str) -> bool) {
        self.by_instance.retain(|instance, notice| {
            is_listed(instance) || now.since(notice.heard_at) < LEAVING_LIFETIME
        });
    }

    /// Returns the instances that have said to this node within `period` that they leave, and when each
    /// started.
    pub fn own_lately(
        &self,
        now: ClockTime,
        period: Duration,
    ) -> impl Iterator<Item = (&str, u64)> {
        let is_due =
            move |notice: &LeavingNotice| notice.is_own && now.since(notice.heard_at) < period;
        let notices = self.by_instance.iter().filter(move |(_, notice)| is_due(notice));
        notices.map(|(instance, notice)| (instance.as_str(), notice.started_at_ms))
    }

    /// Returns all instances that are known to have said that they leave, and when each started.
    pub fn all(&self) -> impl Iterator<Item = (&str, u64)> {
        let notices = self.by_instance.iter();
        notices.map(|(instance, notice)| (instance.as_str(), notice.started_at_ms))
    }
}
