//! Access to the accepted lists in the key-value service for the operators' program: publishes new
//! versions and reads past ones.
//!
//! Nodes read the same keys in the same encoding through [`ListSource`](crate::node::ListSource).
//! Loading the current lists takes three reads; accepting a change takes one write.

use std::fmt;

use carobvane_core::lists::{ListDelta, ListDocument, ListSnapshot, ListVersion};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    keyvalue::{KeyvalueClient, KeyvalueError, StoredValue, Transaction},
    node::{HEAD_KEY, SNAPSHOT_INTERVAL, change_key, decode_stored, encode_stored, snapshot_key},
};

/// Number of past versions that stay readable; older ones are deleted when the next snapshot is
/// written. This keeps 64 snapshots. At 24,000 changes a day and 0.7 MB per snapshot, keeping every
/// version would add 260 MB a day.
pub const RETAINED_VERSIONS: u64 = 64 * SNAPSHOT_INTERVAL;

/// The accepted version and the key-value revision that a write must still find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoredHead {
    /// Accepted version; number 0 if no version has been accepted yet.
    pub version: ListVersion,
    /// Revision of the last write to the head key; 0 if the key does not exist.
    pub revision: i64,
}

/// Lists read from the service, with the head at the time of the read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredLists {
    /// Head of the lists; version 0 and revision 0 if no version has been accepted yet.
    pub head: StoredHead,
    /// Lists of the requested version, by default the head's.
    pub snapshot: ListSnapshot,
}

/// Result of a write that the service answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The new version is the head.
    Accepted(ListVersion),
    /// Another version was accepted first; holds the head with that version.
    Conflict(StoredHead),
}

/// Error of reading or writing the lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListStoreError {
    /// The call to the service failed.
    Keyvalue(KeyvalueError),
    /// A value could not be decoded or encoded.
    Malformed {
        /// Key of the value in the service.
        key: String,
        /// Cause of the failure.
        cause: String,
    },
    /// The service does not hold this version; it may have been deleted as too old.
    MissingVersion(u64),
}

impl fmt::Display for ListStoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ListStoreError::Keyvalue(cause) => cause.fmt(f),
            ListStoreError::Malformed { key, cause } => {
                write!(f, "failed to read or write {key}: {cause}")
            }
            ListStoreError::MissingVersion(version) => {
                write!(f, "the service does not hold version {version} of the lists")
            }
        }
    }
}

impl std::error::Error for ListStoreError {}

impl From<KeyvalueError> for ListStoreError {
    fn from(error: KeyvalueError) -> ListStoreError {
        ListStoreError::Keyvalue(error)
    }
}

/// Decodes the value of the head key.
pub fn decode_head(stored: &StoredValue) -> Result<StoredHead, ListStoreError> {
    let version =
        serde_json::from_slice(&stored.value).map_err(|error| malformed(&stored.key, &error))?;
    Ok(StoredHead { version, revision: stored.mod_revision })
}

/// Decodes the value of a change key, from a read or a watch.
pub fn decode_change(stored: &StoredValue) -> Result<ListDelta, ListStoreError> {
    decode_value(stored)
}

/// Reads and writes the accepted lists.
#[derive(Clone)]
pub struct ListStore {
    client: KeyvalueClient,
}

impl ListStore {
    /// Creates a store that uses `client` for all calls.
    pub fn new(client: KeyvalueClient) -> ListStore {
        ListStore { client }
    }

    /// Reads the head with one read; version 0 if no version has been accepted yet.
    pub async fn load_head(&self) -> Result<StoredHead, ListStoreError> {
        let stored = self.client.get(HEAD_KEY).await?;
        stored.as_ref().map_or_else(|| Ok(StoredHead::default()), decode_head)
    }

    /// Reads the lists of the head with three reads.
    pub async fn load(&self) -> Result<StoredLists, ListStoreError> {
        let head = self.load_head().await?;
        let snapshot = self.load_version(head.version.number).await?;
        if snapshot.version != head.version {
            return Err(malformed(HEAD_KEY, &"digest differs from the stored change's"));
        }
        Ok(StoredLists { head, snapshot })
    }

    /// Reads the lists of `version` with two reads; version 0 is the empty document.
    pub async fn load_version(&self, version: u64) -> Result<ListSnapshot, ListStoreError> {
        if version == 0 {
            return Ok(ListSnapshot::default());
        }
        let mut snapshot = self.load_base_snapshot(version).await?;
        if snapshot.version.number == version {
            return Ok(snapshot);
        }
        for delta in self.load_changes(snapshot.version.number + 1, version).await? {
            snapshot = delta
                .apply(&snapshot)
                .map_err(|error| malformed(&change_key(delta.to.number), &error))?;
        }
        if snapshot.version.number != version {
            return Err(ListStoreError::MissingVersion(version));
        }
        Ok(snapshot)
    }

    /// Reads the changes that produced the versions `from` to `to` (inclusive) with one read.
    pub async fn load_changes(&self, from: u64, to: u64) -> Result<Vec<ListDelta>, ListStoreError> {
        let end = change_key(to + 1);
        let (values, _) = self.client.range(&change_key(from), end.as_bytes(), 0).await?;
        values.iter().map(decode_change).collect()
    }

    /// Reads the latest snapshot at or before `version`. All snapshots since the last multiple of
    /// the interval are read: a steward that restored a version after the service lost it may have
    /// written a snapshot between two multiples.
    async fn load_base_snapshot(&self, version: u64) -> Result<ListSnapshot, ListStoreError> {
        let first = version - version % SNAPSHOT_INTERVAL;
        let end = snapshot_key(version + 1);
        let (values, _) = self.client.range(&snapshot_key(first), end.as_bytes(), 0).await?;
        let stored = values.last().ok_or(ListStoreError::MissingVersion(version))?;
        let snapshot: ListSnapshot = decode_value(stored)?;
        if !snapshot.is_consistent() {
            return Err(malformed(&stored.key, &"document does not match its digest"));
        }
        Ok(snapshot)
    }

    /// Writes `document` as the version after `base.snapshot`, which must still be the head.
    ///
    /// Takes one write, and one more read if the acknowledgement is lost or the head has changed.
    pub async fn write(
        &self,
        base: &StoredLists,
        document: &ListDocument,
    ) -> Result<WriteOutcome, ListStoreError> {
        let delta = ListDelta::next(&base.snapshot, document);
        let version = delta.to;
        let key = change_key(version.number);
        let change = encode_value(&key, &delta)?;
        let mut transaction = head_transaction(&base.head, version)?;
        transaction = transaction.put(&key, &change);
        if version.number == 1 || version.number.is_multiple_of(SNAPSHOT_INTERVAL) {
            let snapshot = ListSnapshot { version, document: document.clone() };
            let key = snapshot_key(version.number);
            transaction = transaction.put(&key, &encode_value(&key, &snapshot)?);
            if version.number > RETAINED_VERSIONS {
                let oldest = version.number - RETAINED_VERSIONS;
                transaction = transaction
                    .delete_range(&change_key(0), &change_key(oldest))
                    .delete_range(&snapshot_key(0), &snapshot_key(oldest));
            }
        }
        self.commit(&base.head, version, transaction).await
    }

    async fn commit(
        &self,
        head: &StoredHead,
        version: ListVersion,
        transaction: Transaction,
    ) -> Result<WriteOutcome, ListStoreError> {
        let failure = match self.client.txn(transaction).await {
            Ok(result) if result.succeeded => return Ok(WriteOutcome::Accepted(version)),
            Ok(_) => None,
            Err(error) if error.is_outcome_unknown() => Some(error),
            Err(error) => return Err(error.into()),
        };
        let current = self.load_head().await?;
        // An equal digest means that this write took effect and its acknowledgement was lost, or
        // that another operator published the same document on the same base.
        if current.version == version {
            return Ok(WriteOutcome::Accepted(version));
        }
        match failure {
            // The write may still take effect later; the caller can safely repeat it on this base.
            Some(error) if current.revision == head.revision => Err(error.into()),
            _ => Ok(WriteOutcome::Conflict(current)),
        }
    }
}

/// Builds a transaction that advances the head to `version` if `head` is unchanged.
fn head_transaction(
    head: &StoredHead,
    version: ListVersion,
) -> Result<Transaction, ListStoreError> {
    let transaction = if head.revision == 0 {
        Transaction::new().require_absent(HEAD_KEY)
    } else {
        Transaction::new().require_revision(HEAD_KEY, head.revision)
    };
    let value = serde_json::to_vec(&version).map_err(|error| malformed(HEAD_KEY, &error))?;
    Ok(transaction.put(HEAD_KEY, &value))
}

fn decode_value<V: DeserializeOwned>(stored: &StoredValue) -> Result<V, ListStoreError> {
    decode_stored(stored).map_err(|error| malformed(&stored.key, &format!("{error:#}")))
}

fn encode_value<V: Serialize>(key: &str, value: &V) -> Result<Vec<u8>, ListStoreError> {
    encode_stored(value).map_err(|error| malformed(key, &error))
}

fn malformed(key: &str, cause: &impl fmt::Display) -> ListStoreError {
    ListStoreError::Malformed { key: key.to_string(), cause: cause.to_string() }
}
