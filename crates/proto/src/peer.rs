//! Messages between carobvane processes and their frame format: a version byte, then the message in
//! postcard encoding.

use carobvane_core::{
    ids::NodeIncarnation,
    lists::{ListMessage, VersionSummary},
    membership::MemberMessage,
    plans::LimiterMessage,
    routing::PlacementNotice,
    suspects::SuspectMessage,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Version of the frame format that this build sends and accepts.
pub const FRAME_VERSION: u8 = 1;
/// Maximum size of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1 << 20;

/// Error of encoding or decoding a frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The frame has no version byte.
    Empty,
    /// The frame is larger than [`MAX_FRAME_BYTES`]; holds its size in bytes.
    TooLarge(usize),
    /// The sender uses another version of the format; holds that version.
    UnknownVersion(u8),
    /// The message could not be encoded or decoded; holds the cause.
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

/// Encodes a message as a frame.
///
/// # Errors
///
/// Fails if the message cannot be encoded or the frame is too large.
pub fn encode_frame<M: Serialize>(message: &M) -> Result<Vec<u8>, FrameError> {
    let frame = postcard::to_extend(message, vec![FRAME_VERSION])
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    if frame.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(frame.len()));
    }
    Ok(frame)
}

/// Decodes the message in a frame.
///
/// # Errors
///
/// Fails if the frame is empty, too large, of another version or does not hold an `M`.
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

/// Role of a process in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum PeerRole {
    /// Serves callers.
    Entry,
    /// Keeps the lists and the members, and sends orders.
    Steward,
}

/// A message with its sender.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Node and incarnation of the sender.
    pub from: NodeIncarnation,
    /// Role of the sender.
    pub role: PeerRole,
    /// Content of the message.
    pub message: PeerMessage,
}

/// Messages between processes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// First message on a connection; tells the receiver who the sender is.
    Hello,
    /// List version that the sender holds.
    Summary(VersionSummary),
    /// Replication of the lists.
    Lists(ListMessage),
    /// Division of the plans' limits, between entries.
    Shares(LimiterMessage),
    /// Membership of entries.
    Members(MemberMessage),
    /// Requests suspected of crashing servers, between entries.
    Suspects(SuspectMessage),
    /// Notice of a request that the sender has sent to a server, between entries.
    Placed(PlacementNotice),
}
