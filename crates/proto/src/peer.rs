//! Frames between our own processes.

use carobvane_core::{
    ids::NodeIncarnation,
    lists::{ListMessage, VersionSummary},
    membership::MemberMessage,
    plans::LimiterMessage,
    routing::PlacementNotice,
    suspects::SuspectMessage,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// The version of the frame format that this build speaks.
pub const FRAME_VERSION: u8 = 1;
/// Largest frame that is accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Why a frame was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The frame has no version byte.
    Empty,
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    TooLarge(usize),
    /// The sender speaks another version.
    UnknownVersion(u8),
    /// The body could not be decoded.
    Malformed(String),
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::Empty => write!(f, "frame is empty"),
            FrameError::TooLarge(bytes) => {
                write!(f, "frame of {bytes} bytes exceeds {MAX_FRAME_BYTES} bytes")
            }
            FrameError::UnknownVersion(version) => write!(f, "unknown frame version {version}"),
            FrameError::Malformed(cause) => write!(f, "failed to decode frame: {cause}"),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes a message behind the version byte.
pub fn encode_frame<M: Serialize>(message: &M) -> Result<Vec<u8>, FrameError> {
    let frame = postcard::to_extend(message, vec![FRAME_VERSION])
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    if frame.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(frame.len()));
    }
    Ok(frame)
}

/// Decodes a frame of this version.
pub fn decode_frame<M: DeserializeOwned>(frame: &[u8]) -> Result<M, FrameError> {
    if frame.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(frame.len()));
    }
    let (&version, body) = frame.split_first().ok_or(FrameError::Empty)?;
    if version != FRAME_VERSION {
        return Err(FrameError::UnknownVersion(version));
    }
    postcard::from_bytes(body).map_err(|error| FrameError::Malformed(error.to_string()))
}

/// What a process does in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PeerRole {
    /// Serves callers.
    Entry,
    /// Keeps lists, members and orders.
    Steward,
}

/// A message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// The sender.
    pub from: NodeIncarnation,
    /// The sender's role.
    pub role: PeerRole,
    /// The message.
    pub message: PeerMessage,
}

/// Messages between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Opens a link.
    Hello,
    /// The list version that the sender holds.
    Summary(VersionSummary),
    /// Spread of the lists.
    Lists(ListMessage),
    /// Shares of plans, between entries.
    Shares(LimiterMessage),
    /// Membership of entries.
    Members(MemberMessage),
    /// Requests that crash servers.
    Suspects(SuspectMessage),
    /// A request that the sender has placed, between entries.
    Placed(PlacementNotice),
}
