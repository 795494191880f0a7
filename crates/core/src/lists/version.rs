//! Versions, digests and key hashes.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{IfIsHumanReadable, hex::Hex, serde_as};

use super::ListDocument;

/// BLAKE3 digest of a document's canonical bytes; hex in text formats.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct ListDigest(#[serde_as(as = "IfIsHumanReadable<Hex>")] pub [u8; 32]);

/// BLAKE3 hash of a bearer key; hex in text formats.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(#[serde_as(as = "IfIsHumanReadable<Hex>")] pub [u8; 32]);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of_key(key: &str) -> KeyHash {
        KeyHash(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Parses 64 hex digits.
    pub fn from_hex(text: &str) -> Option<KeyHash> {
        blake3::Hash::from_hex(text).ok().map(|hash| KeyHash(*hash.as_bytes()))
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &KeyHash) -> bool {
        // `blake3::Hash` compares in constant time.
        blake3::Hash::from(self.0) == blake3::Hash::from(other.0)
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from(self.0).to_hex())
    }
}

impl fmt::Debug for KeyHash {
    /// Shows the first bytes only, so that logs do not list whole hashes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({}…)", &blake3::Hash::from(self.0).to_hex()[..8])
    }
}

impl fmt::Display for ListDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&blake3::Hash::from(self.0).to_hex())
    }
}

impl fmt::Debug for ListDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ListDigest({}…)", &blake3::Hash::from(self.0).to_hex()[..8])
    }
}

/// An accepted version of the lists. Orders by number, then digest.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct ListVersion {
    /// Counts up by one for each accepted change; 0 is the empty document.
    pub number: u64,
    /// Digest of the document of this version.
    pub digest: ListDigest,
    /// Digest of the document of the version before; all zero for the first.
    pub parent: ListDigest,
}

impl ListVersion {
    /// The version of a first document, or of the empty document with number 0.
    pub fn first(number: u64, document: &ListDocument) -> ListVersion {
        ListVersion { number, digest: document.digest(), parent: ListDigest::default() }
    }

    /// The version that follows with `document`.
    pub fn next(&self, document: &ListDocument) -> ListVersion {
        ListVersion { number: self.number + 1, digest: document.digest(), parent: self.digest }
    }
}

/// A whole document with its version.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ListSnapshot {
    /// The version. Invariant of an accepted snapshot: its digest is the document's.
    pub version: ListVersion,
    /// The document.
    pub document: ListDocument,
}

impl ListSnapshot {
    /// Whether the version's digest is the document's.
    pub fn is_consistent(&self) -> bool {
        self.version.digest == self.document.digest()
    }
}

impl ListVersion {
    /// Whether this version replaces `other`: a higher number, or for one number the higher
    /// digest.
    ///
    /// Two documents with one number exist only when the key-value service was restored from an
    /// old copy and changed before a steward wrote the held version back. Every node then keeps
    /// the same one of the two without asking anybody.
    pub fn supersedes(&self, other: &ListVersion) -> bool {
        (self.number, self.digest) > (other.number, other.digest)
    }

    /// The summary that rides on probes.
    pub fn summary(&self) -> VersionSummary {
        let mut digest = [0; 8];
        digest.copy_from_slice(&self.digest.0[..8]);
        VersionSummary { number: self.number, digest }
    }
}

/// What a probe says of the sender's version, in at most 18 bytes.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct VersionSummary {
    /// The version's number.
    pub number: u64,
    /// First bytes of its digest.
    pub digest: [u8; 8],
}
