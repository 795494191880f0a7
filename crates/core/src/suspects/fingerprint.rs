//! Identities of what may crash servers: whole requests and single parts of prompts.

use std::{fmt, num::ParseIntError, str::FromStr};

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use super::first_bytes;

/// Number of prompt parts of a run that are stored without an allocation.
const INLINE_PARTS: usize = 4;
/// Prefix of the text of a part's fingerprint.
const PART_PREFIX: &str = "part-";

/// What a fingerprint identifies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub enum SuspectKind {
    /// A whole request: all requests with the same workspace, target and body.
    #[n(0)]
    Request,
    /// A part of a prompt, whatever else the request holds.
    #[n(1)]
    Part,
}

/// Identifies what may crash servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct SuspectFingerprint {
    #[n(0)]
    kind: SuspectKind,
    #[cbor(n(1), with = "crate::cbor_u128")]
    hash: u128,
}

impl SuspectFingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(workspace: &str, body: &[u8]) -> SuspectFingerprint {
        let mut hasher = blake3::Hasher::new_derive_key("carobvane suspect fingerprint v1");
        hasher.update(&(workspace.len() as u64).to_le_bytes());
        hasher.update(workspace.as_bytes());
        hasher.update(body);
        let hash = first_bytes(&hasher.finalize());
        SuspectFingerprint { kind: SuspectKind::Request, hash }
    }

    /// Returns the fingerprint of a prompt part that has an id.
    pub fn of_part(id: u64) -> SuspectFingerprint {
        SuspectFingerprint { kind: SuspectKind::Part, hash: id.into() }
    }

    /// Computes the fingerprint of a prompt part from its text.
    pub fn of_part_text(text: &[u8]) -> SuspectFingerprint {
        let mut hasher = blake3::Hasher::new_derive_key("carobvane suspect part v1");
        hasher.update(text);
        SuspectFingerprint { kind: SuspectKind::Part, hash: first_bytes(&hasher.finalize()) }
    }

    /// Returns what the fingerprint identifies.
    pub fn kind(self) -> SuspectKind {
        self.kind
    }
}

impl fmt::Display for SuspectFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.kind {
            SuspectKind::Request => write!(f, "{:032x}", self.hash),
            SuspectKind::Part => write!(f, "{PART_PREFIX}{:x}", self.hash),
        }
    }
}

impl FromStr for SuspectFingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<SuspectFingerprint, ParseIntError> {
        let (kind, digits) = match text.strip_prefix(PART_PREFIX) {
            Some(digits) => (SuspectKind::Part, digits),
            None => (SuspectKind::Request, text),
        };
        u128::from_str_radix(digits, 16).map(|hash| SuspectFingerprint { kind, hash })
    }
}

/// Everything in a request that may crash the server which runs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestSuspects {
    /// The whole request.
    pub request: SuspectFingerprint,
    /// The parts of the prompt that other requests may share. Invariant: no duplicates.
    pub parts: SmallVec<[SuspectFingerprint; INLINE_PARTS]>,
}

impl RequestSuspects {
    /// Collects the suspects of a request.
    pub fn new(
        request: SuspectFingerprint,
        parts: impl IntoIterator<Item = SuspectFingerprint>,
    ) -> RequestSuspects {
        let mut suspects = RequestSuspects { request, parts: SmallVec::new() };
        for part in parts {
            if !suspects.parts.contains(&part) {
                suspects.parts.push(part);
            }
        }
        suspects
    }

    /// Iterates over the request and its parts.
    pub fn iter(&self) -> impl Iterator<Item = SuspectFingerprint> {
        std::iter::once(self.request).chain(self.parts.iter().copied())
    }
}

impl From<SuspectFingerprint> for RequestSuspects {
    fn from(request: SuspectFingerprint) -> RequestSuspects {
        RequestSuspects::new(request, [])
    }
}
