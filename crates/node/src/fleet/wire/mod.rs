//! The encodings of what nodes send to each other.
//!
//! Builds of different ages run side by side during an upgrade. Each node says in its record which
//! formats it reads, and gets only those. A record that names none is from a build that reads
//! exactly one of the two [`legacy`] formats.

pub mod batch;
pub mod legacy;
#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};

/// Formats that this build reads, as it says in its record.
pub const READABLE_FORMATS: [u32; 3] = [
    WireFormat::PostcardWithoutLeaving as u32,
    WireFormat::Postcard as u32,
    WireFormat::Cbor as u32,
];

/// A format of notices and of what a node knows beyond the platform's store. Numbers are never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum WireFormat {
    /// `postcard`, up to build ac195b6: no notice of servers that leave, no builds in crash records.
    PostcardWithoutLeaving = 0,
    /// `postcard`, in build 48e3598.
    Postcard = 1,
    /// Numbered fields in CBOR for notices, JSON for answers.
    Cbor = 2,
}

impl WireFormat {
    /// Returns the best format out of those that a node's record names; `None` for a record of a build
    /// that names none.
    pub fn best_of(named: &[u32]) -> Option<WireFormat> {
        named.contains(&(WireFormat::Cbor as u32)).then_some(WireFormat::Cbor)
    }
}
