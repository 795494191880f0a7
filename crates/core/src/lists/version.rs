//! Version numbers, document digests and key hashes, which identify lists and clients.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{IfIsHumanReadable, hex::Hex, serde_as};

use super::ListDocument;

/// BLAKE3 digest of a document's canonical bytes. Serialized as hex in text formats.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct ListDigest(#[serde_as(as = "IfIsHumanReadable<Hex>")] pub [u8; 32]);

/// BLAKE3 hash of a bearer key. Serialized as hex in text formats.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct KeyHash(#[serde_as(as = "IfIsHumanReadable<Hex>")] pub [u8; 32]);

impl KeyHash {
    /// Hashes a bearer key.
    pub fn of_key(key: &str) -> KeyHash {
        KeyHash(*blake3::hash(key.as_bytes()).as_bytes())
    }

    /// Parses 64 hex digits; returns `None` for any other text.
    pub fn from_hex(text: &str) -> Option<KeyHash> {
        blake3::Hash::from_hex(text).ok().map(|hash| KeyHash(*hash.as_bytes()))
    }

    /// Compares two hashes in constant time, so that timing reveals nothing about a key.
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
    /// Prints only the first bytes, so that logs do not contain whole hashes.
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

/// Identifies an accepted version of the lists. Ordered by number, then digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct ListVersion {
    /// Increases by one with each accepted change; 0 is the empty document.
    pub number: u64,
    /// Digest of this version's document.
    pub digest: ListDigest,
    /// Digest of the previous version's document; all zeros for the first version.
    pub parent: ListDigest,
}

impl ListVersion {
    /// Creates a version without a parent, such as that of the empty document (number 0).
    pub fn first(number: u64, document: &ListDocument) -> ListVersion {
        ListVersion { number, digest: document.digest(), parent: ListDigest::default() }
    }

    /// Returns the version that follows this one when `document` is accepted.
    pub fn next(&self, document: &ListDocument) -> ListVersion {
        ListVersion { number: self.number + 1, digest: document.digest(), parent: self.digest }
    }
}

/// A whole document with its version.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct ListSnapshot {
    /// Invariant of an accepted snapshot: the version's digest is that of `document`.
    pub version: ListVersion,
    /// The lists of this version.
    pub document: ListDocument,
}

impl ListSnapshot {
    /// Whether the version's digest matches the document.
    pub fn is_consistent(&self) -> bool {
        self.version.digest == self.document.digest()
    }
}

impl ListVersion {
    /// Whether this version replaces `other`: it has a higher number, or the same number and a
    /// higher digest.
    ///
    /// Two documents share a number only if the key-value service was restored from an old backup
    /// and changed before a steward wrote its active version back. Comparing digests makes every
    /// node choose the same one of the two without coordination.
    pub fn supersedes(&self, other: &ListVersion) -> bool {
        (self.number, self.digest) > (other.number, other.digest)
    }

    /// Returns the summary to send on probes.
    pub fn summary(&self) -> VersionSummary {
        let mut digest = [0; 8];
        digest.copy_from_slice(&self.digest.0[..8]);
        VersionSummary { number: self.number, digest }
    }
}

/// Short form of the sender's version on each probe, at most 18 bytes when encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
pub struct VersionSummary {
    /// Number of the version.
    pub number: u64,
    /// First bytes of the version's digest.
    pub digest: [u8; 8],
}
