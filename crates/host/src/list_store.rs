//! Writes the accepted lists to the key-value service and reads past versions of them.
//!
//! Keys and encoding are those of [`ListSource`](crate::node::ListSource), which the nodes read
//! with. Loading takes three reads and accepting a change one write.

use std::fmt;

use carobvane_core::lists::{ListDelta, ListDocument, ListSnapshot, ListVersion};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    keyvalue::{KeyvalueClient, KeyvalueError, StoredValue, Transaction},
    node::{HEAD_KEY, SNAPSHOT_INTERVAL, change_key, decode_stored, encode_stored, snapshot_key},
};

/// Versions that stay readable before the one that is written; older ones are deleted with the
/// next snapshot. At 24,000 changes a day and 0.7 MB a snapshot, keeping all would add 260 MB a day;
/// these are 64 snapshots.
pub const RETAINED_VERSIONS: u64 = 64 * SNAPSHOT_INTERVAL;

/// The accepted version with the revision that a change must compare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoredHead {
    /// The version; number 0 before the first change.
    pub version: ListVersion,
    /// Revision of the head's last write; 0 if there is no head.
    pub revision: i64,
}

/// Accepted lists and the head that they were read under.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StoredLists {
    /// The head; version 0 and revision 0 before the first change.
    pub head: StoredHead,
    /// The requested version; the head's unless another was asked for.
    pub snapshot: ListSnapshot,
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The version is accepted.
    Accepted(ListVersion),
    /// Another version was accepted first; its head is given.
    Conflict(StoredHead),
}

/// Why lists could not be read or written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListStoreError {
    /// The service did not do the call.
    Keyvalue(KeyvalueError),
    /// A value could not be decoded or encoded.
    Malformed {
        /// The value's key.
        key: String,
        /// Why.
        cause: String,
    },
    /// The service does not hold the version.
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

/// Decodes the head's value.
pub fn decode_head(stored: &StoredValue) -> Result<StoredHead, ListStoreError> {
    let version =
        serde_json::from_slice(&stored.value).map_err(|error| malformed(&stored.key, &error))?;
    Ok(StoredHead { version, revision: stored.mod_revision })
}

/// Decodes the value of a change's key, also from a watch.
pub fn decode_change(stored: &StoredValue) -> Result<ListDelta, ListStoreError> {
    decode_value(stored)
}

/// Reads and writes the accepted lists.
#[derive(Clone)]
pub struct ListStore {
    client: KeyvalueClient,
}

impl ListStore {
    /// Creates a store over a client.
    pub fn new(client: KeyvalueClient) -> ListStore {
        ListStore { client }
    }

    /// Reads the head; version 0 if no version was ever accepted. One read.
    pub async fn load_head(&self) -> Result<StoredHead, ListStoreError> {
        let stored = self.client.get(HEAD_KEY).await?;
        stored.as_ref().map_or_else(|| Ok(StoredHead::default()), decode_head)
    }

    /// Reads the accepted lists. Three reads.
    pub async fn load(&self) -> Result<StoredLists, ListStoreError> {
        let head = self.load_head().await?;
        let snapshot = self.load_version(head.version.number).await?;
        if snapshot.version != head.version {
            return Err(malformed(HEAD_KEY, &"digest differs from the stored change's"));
        }
        Ok(StoredLists { head, snapshot })
    }

    /// Reads one version; version 0 is the empty document. Two reads.
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

    /// Reads the changes that lead to the versions `from` to `to`, inclusive. One read.
    pub async fn load_changes(&self, from: u64, to: u64) -> Result<Vec<ListDelta>, ListStoreError> {
        let end = change_key(to + 1);
        let (values, _) = self.client.range(&change_key(from), end.as_bytes(), 0).await?;
        values.iter().map(decode_change).collect()
    }

    /// The latest snapshot at or before `version`. A steward that wrote a version back after the
    /// service lost it leaves a snapshot outside the interval, so the whole interval is read.
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

    /// Accepts `document` as the version after `base.snapshot`, which must be the head. One
    /// write; a lost acknowledgement or a failed comparison adds one read.
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
        // that somebody accepted the same document from the same base.
        if current.version == version {
            return Ok(WriteOutcome::Accepted(version));
        }
        match failure {
            // The write can still take effect later; repeating it from the same base is safe.
            Some(error) if current.revision == head.revision => Err(error.into()),
            _ => Ok(WriteOutcome::Conflict(current)),
        }
    }
}

/// A transaction that moves the head from `head` to `version`.
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
