//! Datagrams of notices in numbered CBOR fields.
//!
//! A datagram is a CBOR array of a [`BatchHead`] and of segments. A segment is an array of the
//! incarnation of the node that its notices come from, its number among those of that node, and the
//! notices. Readers skip elements, fields and notices that they do not know. A node that passes
//! segments on sends their bytes as they are.

use std::convert::Infallible;

use minicbor::{Decoder, Encoder, decode::Error, encode};

use crate::fleet::node_notice::NodeNotice;

/// Maximum size of a datagram, below the usual packet size.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Upper bound of the size of a datagram without its segments.
const MAX_HEAD_BYTES: usize = 32;
/// Maximum size of a segment.
const MAX_SEGMENT_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_HEAD_BYTES;
/// Upper bound of the size of a segment without its notices.
const SEGMENT_HEAD_BYTES: usize = 24;

/// To whom the receiver of a datagram passes it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SpreadScope {
    /// To nobody.
    #[default]
    Receiver,
    /// To the other nodes of its data centre.
    DataCentre,
    /// To those, and to one node in each other data centre, which does so there.
    Fleet,
}

impl SpreadScope {
    fn number(self) -> u32 {
        match self {
            SpreadScope::Receiver => 0,
            SpreadScope::DataCentre => 1,
            SpreadScope::Fleet => 2,
        }
    }

    /// A scope that is not known is not passed on.
    fn of_number(number: u32) -> SpreadScope {
        match number {
            1 => SpreadScope::DataCentre,
            2 => SpreadScope::Fleet,
            _ => SpreadScope::Receiver,
        }
    }
}

/// What a datagram says of its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BatchRoute {
    /// To whom it is passed on.
    pub scope: SpreadScope,
    /// Whether that happens at once.
    pub is_urgent: bool,
}

#[derive(minicbor::Encode, minicbor::Decode)]
struct BatchHead {
    /// Incarnation of the node that sends the datagram.
    #[n(0)]
    sender: u64,
    /// Number of a [`SpreadScope`].
    #[cbor(n(1), default)]
    scope: u32,
    /// Whether the receiver passes the datagram on without waiting for others to join it.
    #[cbor(n(2), default)]
    is_urgent: bool,
}

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct NoticeBatch<'a> {
    /// Incarnation of the node that sent the datagram.
    pub sender: u64,
    /// To whom it is to be passed on, and how.
    pub route: BatchRoute,
    /// Its segments.
    pub segments: Vec<NoticeSegment<'a>>,
}

/// Notices of one node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NoticeSegment<'a> {
    /// Incarnation of the node that the notices come from.
    pub origin: u64,
    /// Number of the segment among those of that node.
    pub number: u64,
    /// The whole segment, to be passed on as it is.
    pub bytes: &'a [u8],
}

/// The notices of a segment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SegmentNotices {
    /// Notices that this build knows.
    pub notices: Vec<NodeNotice>,
    /// Number of the others.
    pub skipped: usize,
}

/// Encodes notices as segments of one datagram's size at most. A notice that exceeds a datagram by
/// itself is dropped. `numbers` gives the numbers of the segments.
pub fn encode_segments(
    origin: u64,
    numbers: &mut impl FnMut() -> u64,
    notices: &[NodeNotice],
) -> Vec<Vec<u8>> {
    let mut segments = Vec::new();
    let mut pending: Vec<Vec<u8>> = Vec::new();
    let mut size = SEGMENT_HEAD_BYTES;
    for notice in notices {
        let Ok(bytes) = minicbor::to_vec(notice) else { continue };
        if SEGMENT_HEAD_BYTES + bytes.len() > MAX_SEGMENT_BYTES {
            continue;
        }
        if size + bytes.len() > MAX_SEGMENT_BYTES {
            segments.push(join_segment(origin, numbers(), &pending));
            pending.clear();
            size = SEGMENT_HEAD_BYTES;
        }
        size += bytes.len();
        pending.push(bytes);
    }
    if !pending.is_empty() {
        segments.push(join_segment(origin, numbers(), &pending));
    }
    segments
}

fn join_segment(origin: u64, number: u64, notices: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = write_cbor(|encoder| {
        encoder.array(3)?.u64(origin)?.u64(number)?.array(notices.len() as u64)?.ok()
    });
    notices.iter().for_each(|notice| bytes.extend_from_slice(notice));
    bytes
}

/// Packs segments into datagrams.
pub fn pack_datagrams(sender: u64, route: BatchRoute, segments: &[Vec<u8>]) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::new();
    let mut from = 0;
    let mut size = MAX_HEAD_BYTES;
    for (index, segment) in segments.iter().enumerate() {
        if size + segment.len() > MAX_DATAGRAM_BYTES && index > from {
            datagrams.push(join_datagram(sender, route, &segments[from..index]));
            from = index;
            size = MAX_HEAD_BYTES;
        }
        size += segment.len();
    }
    if from < segments.len() {
        datagrams.push(join_datagram(sender, route, &segments[from..]));
    }
    datagrams
}

/// Builds a datagram of segments, which may be none.
pub fn join_datagram(sender: u64, route: BatchRoute, segments: &[Vec<u8>]) -> Vec<u8> {
    let head = BatchHead { sender, scope: route.scope.number(), is_urgent: route.is_urgent };
    let mut bytes =
        write_cbor(|encoder| encoder.array(2)?.encode(head)?.array(segments.len() as u64)?.ok());
    segments.iter().for_each(|segment| bytes.extend_from_slice(segment));
    bytes
}

fn write_cbor(
    write: impl FnOnce(&mut Encoder<Vec<u8>>) -> Result<(), encode::Error<Infallible>>,
) -> Vec<u8> {
    let mut encoder = Encoder::new(Vec::new());
    if let Err(cause) = write(&mut encoder) {
        log::error!(cause:% = cause; "failed to encode notices");
    }
    encoder.into_writer()
}

/// Decodes a datagram, but not the notices in it.
pub fn decode_batch(bytes: &[u8]) -> Result<NoticeBatch<'_>, Error> {
    let mut decoder = Decoder::new(bytes);
    decoder.array()?;
    let head: BatchHead = decoder.decode()?;
    let count = decoder.array()?.ok_or_else(|| Error::message("the segments have no count"))?;
    let mut segments = Vec::new();
    for _ in 0..count {
        let start = decoder.position();
        let mut inner = decoder.probe();
        inner.array()?;
        let (origin, number) = (inner.u64()?, inner.u64()?);
        decoder.skip()?;
        let bytes = &bytes[start..decoder.position()];
        segments.push(NoticeSegment { origin, number, bytes });
    }
    let scope = SpreadScope::of_number(head.scope);
    let route = BatchRoute { scope, is_urgent: head.is_urgent };
    Ok(NoticeBatch { sender: head.sender, route, segments })
}

impl NoticeSegment<'_> {
    /// Decodes the notices.
    pub fn decode(&self) -> Result<SegmentNotices, Error> {
        let mut decoder = Decoder::new(self.bytes);
        decoder.array()?;
        decoder.u64()?;
        decoder.u64()?;
        let count = decoder.array()?.ok_or_else(|| Error::message("the notices have no count"))?;
        let mut decoded = SegmentNotices::default();
        for _ in 0..count {
            let start = decoder.position();
            match decoder.decode::<NodeNotice>() {
                Ok(notice) => decoded.notices.push(notice),
                Err(_) => {
                    decoder.set_position(start);
                    decoder.skip()?;
                    decoded.skipped += 1;
                }
            }
        }
        Ok(decoded)
    }
}
