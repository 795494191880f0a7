//! Keys and values of claims in the key-value service.

use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use crate::ids::NodeIncarnation;

/// Identifies a call by the digest of its workspace, service and idempotency key.
///
/// A digest has a fixed length and no characters that the caller chose, so the key in the key-value
/// service needs no escaping.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimKey([u8; 32]);

impl ClaimKey {
    /// Derives the key of a call.
    pub fn new(workspace: &str, service: &str, idempotency_key: &str) -> ClaimKey {
        let mut hasher = blake3::Hasher::new_derive_key("carobvane claim key v1");
        for part in [workspace, service, idempotency_key] {
            // The length distinguishes ("a", "bc") from ("ab", "c").
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        ClaimKey(*hasher.finalize().as_bytes())
    }

    /// Returns the bytes of the digest.
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
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BodyFingerprint(#[serde_as(as = "Hex")] [u8; 32]);

impl BodyFingerprint {
    /// Computes the fingerprint of a request.
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

/// Identifies the one request that may run under a claim.
///
/// Invariant: an incarnation of an entry uses each sequence number once, and an entry uses each
/// incarnation once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimWriter {
    /// The entry that wrote the claim, in its incarnation at that time.
    #[serde(rename = "life")]
    pub incarnation: NodeIncarnation,
    /// Number of the request, counted within the incarnation.
    pub sequence: u64,
}

/// The value of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The only request that may run under the claim.
    pub writer: ClaimWriter,
    /// Digest of the request's method, path and body.
    pub fingerprint: BodyFingerprint,
    /// Whether the request has a result.
    pub state: ClaimState,
}

/// Whether the request of a claim has a result.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// No result is stored. The request may be waiting, running, finished or lost.
    Claimed,
    /// The request finished with this response.
    Done(StoredResponse),
}

/// A server's response, stored to answer callers that resend the request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// The `content-type` header; empty if there is none.
    pub content_type: String,
    /// Response body, in Base64 in the stored value.
    #[serde_as(as = "serde_with::base64::Base64")]
    pub body: Vec<u8>,
}

/// A claim that exists in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExistingClaim {
    /// Key of the claim.
    pub key: ClaimKey,
    /// Revision of its last change.
    pub revision: i64,
    /// Value of the claim; `None` if it could not be decoded.
    pub record: Option<ClaimRecord>,
}
