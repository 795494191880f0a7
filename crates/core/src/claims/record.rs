//! Claims as they stand in the key-value service.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use crate::ids::NodeIncarnation;

/// Names a logical call: the digest of workspace, service and idempotency key.
///
/// A digest has a fixed length and no characters of the caller, so the key in the service needs
/// no escaping.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey([u8; 32]);

impl ClaimKey {
    /// The key of a call.
    pub fn new(workspace: &str, service: &str, idempotency_key: &str) -> ClaimKey {
        let mut hasher = blake3::Hasher::new_derive_key("carobvane claim key v1");
        for part in [workspace, service, idempotency_key] {
            // The length keeps ("a", "bc") apart from ("ab", "c").
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        ClaimKey(*hasher.finalize().as_bytes())
    }

    /// The digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ClaimKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Digest of a request's method, path and body.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BodyFingerprint(#[serde_as(as = "Hex")] [u8; 32]);

impl BodyFingerprint {
    /// The fingerprint of a request.
    pub fn new(method: &str, path: &str, body: &[u8]) -> BodyFingerprint {
        let mut hasher = blake3::Hasher::new_derive_key("carobvane body fingerprint v1");
        for part in [method.as_bytes(), path.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        BodyFingerprint(*hasher.finalize().as_bytes())
    }
}

impl fmt::Debug for BodyFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..4].iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// Names the one request that may run a claim.
///
/// Invariant: an entry uses a sequence once in an incarnation, and an incarnation once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimWriter {
    /// The entry that wrote the claim.
    pub life: NodeIncarnation,
    /// Counts requests in one incarnation of the entry.
    pub sequence: u64,
}

/// The value of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Who may run it.
    pub writer: ClaimWriter,
    /// The request's content.
    pub fingerprint: BodyFingerprint,
    /// How far the writer got.
    pub state: ClaimState,
}

/// How far a claim's writer got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may be waiting, running, finished or lost.
    Claimed,
    /// The request finished.
    Done(StoredResponse),
}

/// A server's response, kept for resends.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// The `content-type` header; empty if there is none.
    pub content_type: String,
    /// The body.
    #[serde_as(as = "serde_with::base64::Base64")]
    pub body: Vec<u8>,
}

/// A key that exists in the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExistingClaim {
    /// The key.
    pub key: ClaimKey,
    /// Revision of its last change.
    pub revision: i64,
    /// Its value; `None` if it could not be decoded.
    pub record: Option<ClaimRecord>,
}
