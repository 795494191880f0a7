//! Leave notices of backend servers, which stop new work on a server before it shuts down.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{clock::ClockTime, ids::IncarnationId};

/// Maximum number of notices per message.
const MAX_NOTICES_PER_MESSAGE: usize = 4;
/// Number of messages that a notice is sent with for each doubling of the member count.
const RETRANSMITS_PER_DOUBLING: u32 = 3;
/// Time after which a notice may be discarded; the server has stopped long before.
const NOTICE_LIFETIME: Duration = Duration::from_secs(600);
/// Maximum number of notices kept; beyond it, a new notice replaces the oldest. A rack has far
/// fewer servers.
const MAX_NOTICES: usize = 4_096;

/// Short identifier of a backend server in messages: the first bytes of the BLAKE3 hash of its
/// name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerId(pub [u8; 8]);

impl ServerId {
    /// Returns the identifier of the server named `name`.
    pub fn of_name(name: &str) -> ServerId {
        let mut id = [0; 8];
        id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
        ServerId(id)
    }
}

/// Announces that one incarnation of a backend server takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaveNotice {
    /// The leaving server.
    pub server: ServerId,
    /// The leaving incarnation; later incarnations are not affected.
    pub incarnation: IncarnationId,
}

/// Leave notices that a node has received.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    notices: BTreeMap<ServerId, (IncarnationId, ClockTime)>,
    pending: Vec<(LeaveNotice, u32)>,
}

impl LeavingServers {
    /// Creates a set without notices.
    pub fn new() -> LeavingServers {
        LeavingServers::default()
    }

    /// Whether this incarnation of the server is leaving.
    pub fn is_leaving(&self, server: ServerId, incarnation: IncarnationId) -> bool {
        self.notices.get(&server).is_some_and(|(leaving, _)| incarnation <= *leaving)
    }

    /// Records a notice. Returns true if it was not known yet. `members` is the number of members,
    /// which determines how often the notice is sent.
    pub fn merge(&mut self, now: ClockTime, notice: LeaveNotice, members: usize) -> bool {
        if self.is_leaving(notice.server, notice.incarnation) {
            return false;
        }
        if self.notices.len() >= MAX_NOTICES {
            self.notices.retain(|_, (_, at)| now.since(*at) < NOTICE_LIFETIME);
            let oldest = self.notices.iter().min_by_key(|(_, (_, at))| *at).map(|(id, _)| *id);
            if self.notices.len() >= MAX_NOTICES
                && let Some(oldest) = oldest
            {
                self.notices.remove(&oldest);
            }
        }
        self.notices.insert(notice.server, (notice.incarnation, now));
        let doublings = usize::BITS - members.leading_zeros();
        self.pending.push((notice, RETRANSMITS_PER_DOUBLING * doublings));
        true
    }

    /// Returns the notices to send with one message and counts the message for each of them.
    pub fn take_notices(&mut self) -> Vec<LeaveNotice> {
        let count = self.pending.len().min(MAX_NOTICES_PER_MESSAGE);
        let notices = self.pending[..count].iter().map(|(notice, _)| *notice).collect();
        self.pending[..count].iter_mut().for_each(|(_, sends_left)| *sends_left -= 1);
        self.pending.retain(|(_, sends_left)| *sends_left > 0);
        notices
    }
}
