//! The `postcard` formats of builds that name no format in their records.
//!
//! `postcard` writes neither names nor numbers of fields, so the types that these formats are made of
//! keep their layout: their `serde` fields and the order of their variants. What a later build adds
//! is left out here with `serde(skip)`.

use carobvane_core::{
    suspects::{CompletedRuns, CrashEntry, ServerBuild, SuspectFingerprint},
    traffic::{CrashReport, SoftwareReport},
};
use serde::{Deserialize, Serialize};

use super::{WireFormat, batch::MAX_DATAGRAM_BYTES};
use crate::{
    adapter::StoreItem,
    fleet::{node_notice::NodeNotice, peer_knowledge::PeerKnowledge},
};

/// Largest first byte of a datagram in these formats: the number of its notices.
pub const MAX_NOTICES: u8 = 16;
/// Position of [`NodeNotice::Leaving`], which the older format lacks; the later ones have moved up.
const LEAVING_INDEX: u8 = 7;
/// Position of [`NodeNotice::Crashes`].
const CRASHES_INDEX: u8 = 11;

/// Why a message of an earlier build cannot be used.
#[derive(Debug, PartialEq, Eq)]
pub enum LegacyError {
    /// The bytes do not have the format.
    Malformed(postcard::Error),
    /// Bytes follow the message.
    TrailingBytes,
    /// The two formats give different messages, and which one the sender uses is not known.
    Ambiguous,
}

impl std::fmt::Display for LegacyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LegacyError::Malformed(cause) => write!(f, "malformed: {cause}"),
            LegacyError::TrailingBytes => f.write_str("bytes follow the message"),
            LegacyError::Ambiguous => f.write_str("the sender's format is not known yet"),
        }
    }
}

impl From<postcard::Error> for LegacyError {
    fn from(cause: postcard::Error) -> LegacyError {
        LegacyError::Malformed(cause)
    }
}

/// [`CrashEntry`] without the build of the server and the runs that completed later.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct EntryWithoutBuild {
    server: u64,
    round: u8,
    withdrawn: bool,
}

/// [`CrashReport`] with such entries.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct ReportWithoutBuilds {
    fingerprint: SuspectFingerprint,
    crashes: Vec<EntryWithoutBuild>,
}

impl From<&CrashReport> for ReportWithoutBuilds {
    fn from(report: &CrashReport) -> ReportWithoutBuilds {
        let shorten = |entry: &CrashEntry<u64>| EntryWithoutBuild {
            server: entry.server,
            round: entry.round,
            withdrawn: entry.withdrawn,
        };
        ReportWithoutBuilds {
            fingerprint: report.fingerprint,
            crashes: report.crashes.iter().map(shorten).collect(),
        }
    }
}

impl From<ReportWithoutBuilds> for CrashReport {
    fn from(report: ReportWithoutBuilds) -> CrashReport {
        let extend = |entry: EntryWithoutBuild| CrashEntry {
            server: entry.server,
            round: entry.round,
            withdrawn: entry.withdrawn,
            build: ServerBuild::UNKNOWN,
            completed: CompletedRuns::default(),
        };
        CrashReport {
            fingerprint: report.fingerprint,
            crashes: report.crashes.into_iter().map(extend).collect(),
        }
    }
}

/// [`PeerKnowledge`] without the servers that leave.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
struct KnowledgeWithoutLeaving {
    crashes: Vec<ReportWithoutBuilds>,
    lost_entries: Vec<StoreItem>,
    software: SoftwareReport,
}

impl From<KnowledgeWithoutLeaving> for PeerKnowledge {
    fn from(knowledge: KnowledgeWithoutLeaving) -> PeerKnowledge {
        PeerKnowledge {
            crashes: knowledge.crashes.into_iter().map(CrashReport::from).collect(),
            lost_entries: knowledge.lost_entries,
            software: knowledge.software,
            leaving: Vec::new(),
        }
    }
}

/// Packs notices into datagrams. Leaves out those that the format lacks, those that exceed a datagram,
/// and, while the receiver's format is not known, those that the two formats write differently.
pub fn pack_datagrams(format: Option<WireFormat>, notices: &[NodeNotice]) -> Vec<Vec<u8>> {
    let mut datagrams: Vec<Vec<u8>> = Vec::new();
    let encoded = notices.iter().filter_map(|notice| encode_notice(format, notice));
    for notice in encoded.filter(|notice| notice.len() < MAX_DATAGRAM_BYTES) {
        match datagrams.last_mut() {
            // The first byte is the number of notices.
            Some(datagram)
                if datagram[0] < MAX_NOTICES
                    && datagram.len() + notice.len() <= MAX_DATAGRAM_BYTES =>
            {
                datagram[0] += 1;
                datagram.extend(notice);
            }
            _ => datagrams.push([vec![1], notice].concat()),
        }
    }
    datagrams
}

fn encode_notice(format: Option<WireFormat>, notice: &NodeNotice) -> Option<Vec<u8>> {
    // Fails for variants that are left out in these formats.
    let mut bytes = postcard::to_stdvec(notice).ok()?;
    let index = bytes.first_mut()?;
    if *index < LEAVING_INDEX || format == Some(WireFormat::Postcard) {
        return Some(bytes);
    }
    if *index == LEAVING_INDEX || format.is_none() {
        return None;
    }
    *index -= 1;
    if let NodeNotice::Crashes(report) = notice {
        bytes.truncate(1);
        bytes.extend(postcard::to_stdvec(&ReportWithoutBuilds::from(report)).ok()?);
    }
    Some(bytes)
}

/// Decodes a datagram of an earlier build. `format` is that of its sender, if it is known.
pub fn decode_notices(
    format: Option<WireFormat>,
    bytes: &[u8],
) -> Result<Vec<NodeNotice>, LegacyError> {
    if let Some(format) = format {
        return decode_notices_of(format, bytes);
    }
    let newer = decode_notices_of(WireFormat::Postcard, bytes);
    let older = decode_notices_of(WireFormat::PostcardWithoutLeaving, bytes);
    match (newer, older) {
        (Ok(newer), Ok(older)) if newer != older => Err(LegacyError::Ambiguous),
        (Ok(notices), _) | (_, Ok(notices)) => Ok(notices),
        (Err(cause), _) => Err(cause),
    }
}

fn decode_notices_of(format: WireFormat, bytes: &[u8]) -> Result<Vec<NodeNotice>, LegacyError> {
    let (count, mut rest) = postcard::take_from_bytes::<usize>(bytes)?;
    let mut notices = Vec::new();
    for _ in 0..count {
        let (notice, left) = decode_notice(format, rest)?;
        notices.push(notice);
        rest = &rest[rest.len() - left..];
    }
    if rest.is_empty() { Ok(notices) } else { Err(LegacyError::TrailingBytes) }
}

/// Decodes the first notice of `bytes`. Returns it and the number of bytes that follow.
fn decode_notice(format: WireFormat, bytes: &[u8]) -> Result<(NodeNotice, usize), LegacyError> {
    let index = *bytes.first().ok_or(postcard::Error::DeserializeUnexpectedEnd)?;
    if format == WireFormat::Postcard || index < LEAVING_INDEX {
        let (notice, rest) = postcard::take_from_bytes(bytes)?;
        return Ok((notice, rest.len()));
    }
    if index == CRASHES_INDEX - 1 {
        let (report, rest) = postcard::take_from_bytes::<ReportWithoutBuilds>(&bytes[1..])?;
        return Ok((NodeNotice::Crashes(report.into()), rest.len()));
    }
    let mut moved = bytes.to_vec();
    moved[0] = index.saturating_add(1);
    let (notice, rest) = postcard::take_from_bytes(&moved)?;
    Ok((notice, rest.len()))
}

/// Encodes what a node knows for a reader of an earlier build. The reader's format is not known, so
/// the crash records are left out, which its format may lack fields of: it reads them from the
/// platform's store and from notices. The bytes of a field that it lacks follow at the end, where it
/// ignores them.
pub fn encode_knowledge(knowledge: PeerKnowledge) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(&PeerKnowledge { crashes: Vec::new(), ..knowledge })
}

/// Decodes what a node of an earlier build knows, and finds out its format.
pub fn decode_knowledge(bytes: &[u8]) -> Result<(PeerKnowledge, WireFormat), LegacyError> {
    let newer = take_whole::<PeerKnowledge>(bytes);
    let older = take_whole::<KnowledgeWithoutLeaving>(bytes);
    match (newer, older) {
        (Ok(_), Ok(_)) => Err(LegacyError::Ambiguous),
        (Ok(knowledge), _) => Ok((knowledge, WireFormat::Postcard)),
        (_, Ok(knowledge)) => Ok((knowledge.into(), WireFormat::PostcardWithoutLeaving)),
        (Err(cause), _) => Err(cause),
    }
}

fn take_whole<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, LegacyError> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if rest.is_empty() { Ok(value) } else { Err(LegacyError::TrailingBytes) }
}
