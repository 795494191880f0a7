//! Calls to the platform's store, its replies, and the trait that encodes and decodes them.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use serde_with::{IfIsHumanReadable, Same, base64::Base64, serde_as};

use super::OutboundRequest;

/// A state of the platform's store. Each time the store is restored from an older copy, its era rises
/// and revisions are given out again, so a later era is newer whatever its revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(serde::Serialize, serde::Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct StoreRevision {
    /// Era of the store.
    #[n(0)]
    pub era: u64,
    /// Revision within the era; 0 before the first read.
    #[n(1)]
    pub number: u64,
}

/// What a response of the store says about its era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedEra {
    /// The era.
    Known(u64),
    /// Nothing, or nothing that can be read.
    Unknown,
}

/// An item of the platform's store.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct StoreItem {
    /// Key of the item.
    #[n(0)]
    pub key: String,
    /// Value, in the platform's encoding.
    #[cbor(n(1), with = "minicbor::bytes")]
    #[serde_as(as = "IfIsHumanReadable<Base64, Vec<Same>>")]
    pub value: Vec<u8>,
    /// Revision of the store at which the item was last written.
    #[n(2)]
    pub revision: u64,
    /// Revision at which the key was created.
    #[n(3)]
    pub created: u64,
}

/// A change in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub enum StoreEvent {
    /// An item was written.
    #[n(0)]
    Put(#[n(0)] StoreItem),
    /// A key was removed, or its lease expired.
    #[n(1)]
    Removed {
        /// The removed key.
        #[n(0)]
        key: String,
        /// Revision of the removal.
        #[n(1)]
        revision: u64,
    },
}

impl StoreEvent {
    /// Returns the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            StoreEvent::Put(item) => item.revision,
            StoreEvent::Removed { revision, .. } => *revision,
        }
    }
}

/// A write in a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreWrite {
    /// Key to write.
    pub key: String,
    /// Value to write.
    pub value: Vec<u8>,
    /// Lease that the item is attached to; the key is removed when the lease ends.
    pub lease: Option<u64>,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads one page of items.
    Range {
        /// Prefix of the keys to read.
        prefix: String,
        /// Last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Waits for changes.
    Watch {
        /// Prefix of the keys to watch.
        prefix: String,
        /// Revision after which changes are wanted.
        after: u64,
        /// Longest time to wait for a change.
        wait: Duration,
    },
    /// Writes several items under conditions, all or none.
    Transact {
        /// Keys with the revisions that they must have; 0 if the key must not exist.
        expected: Vec<(String, u64)>,
        /// Items to write.
        writes: Vec<StoreWrite>,
    },
    /// Opens a lease.
    Grant {
        /// Lifetime of the lease without a renewal.
        lifetime: Duration,
    },
    /// Renews a lease.
    Renew {
        /// Id of the lease.
        lease: u64,
    },
    /// Ends a lease, which removes the items attached to it.
    Release {
        /// Id of the lease.
        lease: u64,
    },
}

/// Reply of the store to a call that it carried out or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// One page of items.
    Page {
        /// Items in the order of their keys.
        items: Vec<StoreItem>,
        /// Whether more pages follow.
        more: bool,
        /// Revision of the store when the page was read.
        revision: u64,
    },
    /// Changes that a watch found.
    Events {
        /// Changes, oldest first.
        events: Vec<StoreEvent>,
        /// Revision up to which the changes are complete.
        revision: u64,
    },
    /// The store no longer has the changes that were asked for.
    HistoryLost,
    /// The writes were carried out.
    Written {
        /// Revision of the writes.
        revision: u64,
    },
    /// A condition of the transaction does not hold; nothing was written.
    Conflict,
    /// A lease was opened or renewed.
    Leased {
        /// Id of the lease; 0 in the reply to a renewal.
        lease: u64,
        /// Lifetime of the lease.
        lifetime: Duration,
    },
    /// The lease does not exist or has ended.
    NoLease,
    /// The call was carried out and has no result.
    Done,
}

/// Why the store gave no usable reply; the number is the HTTP status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The store turned the call away; nothing was done.
    Busy(u16),
    /// The reply can't be read; the call may have been carried out.
    Unreadable(u16),
}

/// Encodes calls to the store and decodes its replies.
pub trait StoreAdapter {
    /// Encodes a call.
    fn encode_store_call(call: &StoreCall) -> OutboundRequest;
    /// Decodes the era that a response names.
    fn decode_store_era(headers: &HeaderMap) -> NamedEra;
    /// Decodes the reply to a call.
    fn decode_store_reply(
        call: &StoreCall,
        status: StatusCode,
        body: &[u8],
    ) -> Result<StoreReply, StoreError>;
}
