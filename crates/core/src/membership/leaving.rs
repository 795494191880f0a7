//! Backend servers that leave.

use std::{collections::BTreeMap, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{clock::ClockTime, ids::IncarnationId};

/// Notices on one message.
const MAX_NOTICES_PER_MESSAGE: usize = 4;
/// A notice rides on this many messages for each doubling of the members.
const RETRANSMITS_PER_DOUBLING: u32 = 3;
/// A notice is forgotten after this time: the server's life is over by then.
const NOTICE_LIFETIME: Duration = Duration::from_secs(600);
/// Most notices kept; the oldest is dropped for a new one. A rack holds far fewer servers.
const MAX_NOTICES: usize = 4_096;

/// A backend server in messages: the first bytes of its name's BLAKE3 hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub [u8; 8]);

impl ServerId {
    /// The id of the server called `name`.
    pub fn of_name(name: &str) -> ServerId {
        let mut id = [0; 8];
        id.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
        ServerId(id)
    }
}

/// One life of a backend server takes no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveNotice {
    /// The server.
    pub server: ServerId,
    /// The life that leaves; a later life is not affected.
    pub incarnation: IncarnationId,
}

/// The notices that a node knows.
#[derive(Debug, Clone, Default)]
pub struct LeavingServers {
    notices: BTreeMap<ServerId, (IncarnationId, ClockTime)>,
    pending: Vec<(LeaveNotice, u32)>,
}

impl LeavingServers {
    /// Creates an empty set.
    pub fn new() -> LeavingServers {
        LeavingServers::default()
    }

    /// Whether this life of the server leaves.
    pub fn is_leaving(&self, server: ServerId, incarnation: IncarnationId) -> bool {
        self.notices.get(&server).is_some_and(|(life, _)| incarnation <= *life)
    }

    /// Takes a notice; true if it is new.
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

    /// Notices for one message; each is counted as sent once more.
    pub fn take_notices(&mut self) -> Vec<LeaveNotice> {
        let count = self.pending.len().min(MAX_NOTICES_PER_MESSAGE);
        let notices = self.pending[..count].iter().map(|(notice, _)| *notice).collect();
        self.pending[..count].iter_mut().for_each(|(_, sends_left)| *sends_left -= 1);
        self.pending.retain(|(_, sends_left)| *sends_left > 0);
        notices
    }
}
