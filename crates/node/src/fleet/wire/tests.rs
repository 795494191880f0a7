//! Tests of the formats of notices and answers: bytes of earlier builds are read, and nodes of those
//! builds can read what they are sent.

use std::collections::HashMap;

use carobvane_core::{
    overload::{PressureReport, RankReport},
    suspects::ServerBuild,
    traffic::{CrashReport, ServerLoad, SpeedSample},
};
use proptest::{collection::vec, prelude::*};

use super::{
    READABLE_FORMATS, WireFormat,
    batch::{self, BatchRoute, MAX_DATAGRAM_BYTES, SpreadScope},
    legacy,
};
use crate::{
    client::forward::HopInfo,
    fleet::{members::MemberRecord, node_notice::NodeNotice, peer_knowledge::PeerKnowledge},
    store::store_mirror::StoreMirror,
};

/// Messages and records of an earlier build, as `fixtures/make.sh` has written them.
struct BuildFixture {
    format: WireFormat,
    text: &'static str,
}

const BUILDS: [BuildFixture; 2] = [
    BuildFixture { format: WireFormat::Postcard, text: include_str!("fixtures/48e3598.txt") },
    BuildFixture {
        format: WireFormat::PostcardWithoutLeaving,
        text: include_str!("fixtures/ac195b6.txt"),
    },
];

impl BuildFixture {
    fn bytes(&self, name: &str) -> Vec<u8> {
        let mut lines = self.text.lines().filter_map(|line| line.split_once(' '));
        let (_, hex) = lines.find(|(known, _)| *known == name).expect("the message is there");
        let digits = hex.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).unwrap());
        digits.map(|pair| u8::from_str_radix(pair, 16).unwrap()).collect()
    }

    fn has_builds(&self) -> bool {
        self.format == WireFormat::Postcard
    }

    fn notices(&self) -> Vec<NodeNotice> {
        legacy::decode_notices(Some(self.format), &self.bytes("notices")).expect("it is readable")
    }
}

fn newest_notices() -> Vec<NodeNotice> {
    BUILDS[0].notices()
}

fn variant(notice: &NodeNotice) -> String {
    let text = format!("{notice:?}");
    text.split([' ', '(']).next().unwrap_or_default().to_string()
}

fn without_builds(notice: NodeNotice) -> NodeNotice {
    let NodeNotice::Crashes(mut report) = notice else { return notice };
    for entry in &mut report.crashes {
        entry.build = ServerBuild::UNKNOWN;
        entry.completed = Default::default();
    }
    NodeNotice::Crashes(report)
}

/// Guards against notices of a build that are lost or taken for others during an upgrade.
#[test]
fn notices_of_earlier_builds_are_read() {
    let newest = newest_notices();
    let names: Vec<String> = newest.iter().map(variant).collect();
    assert_eq!(
        names.join(" "),
        "Loading Released Loaded Sent Answered Cached CacheStore Leaving Silent Changed Behind Crashes \
         Limited StreamWanted StreamOrigin LinksWanted Links Brittle InFlight Rejected Unlinked"
    );
    let expected = newest.into_iter().filter(|notice| variant(notice) != "Leaving");
    let expected: Vec<NodeNotice> = expected.map(without_builds).collect();
    assert_eq!(BUILDS[1].notices(), expected);
}

/// Guards against datagrams that a node of an earlier build cannot read, or reads as something else:
/// the fixture is what such a node would have written itself.
#[test]
fn earlier_builds_get_what_they_would_write() {
    for build in &BUILDS {
        let notices = newest_notices();
        let known: Vec<NodeNotice> = notices
            .into_iter()
            .filter(|notice| build.has_builds() || variant(notice) != "Leaving")
            .collect();
        let datagrams = legacy::pack_datagrams(Some(build.format), &known);
        let bodies: Vec<u8> =
            datagrams.iter().flat_map(|datagram| datagram[1..].to_vec()).collect();
        assert_eq!(bodies, build.bytes("notices")[1..], "{:?}", build.format);
        let counts = datagrams.iter().map(|datagram| usize::from(datagram[0])).sum::<usize>();
        assert_eq!(counts, known.len());
        let largest = datagrams.iter().map(Vec::len).max();
        assert!(largest.is_some_and(|largest| largest <= MAX_DATAGRAM_BYTES));
    }
}

/// Guards against a server that is reported as silent to one build and taken as leaving by another:
/// while the build of a node is not known, it gets only what all builds read alike.
#[test]
fn unknown_builds_get_only_what_all_read_alike() {
    let datagrams = legacy::pack_datagrams(None, &newest_notices());
    for build in &BUILDS {
        let read = datagrams.iter().flat_map(|datagram| {
            legacy::decode_notices(Some(build.format), datagram).expect("it is readable")
        });
        let names: Vec<String> = read.map(|notice| variant(&notice)).collect();
        assert_eq!(names.join(" "), "Loading Released Loaded Sent Answered Cached CacheStore");
    }
}

/// Guards against notices of a node whose build is not known that are taken for others.
#[test]
fn ambiguous_notices_are_dropped() {
    let silent = NodeNotice::Silent { instance: "i-1".to_string() };
    let known = legacy::pack_datagrams(Some(WireFormat::Postcard), &[silent.clone(), silent]);
    let older = legacy::decode_notices(Some(WireFormat::PostcardWithoutLeaving), &known[0]);
    assert_ne!(older, legacy::decode_notices(None, &known[0]));
    let alike = legacy::pack_datagrams(None, &newest_notices());
    assert!(legacy::decode_notices(None, &alike[0]).is_ok());
}

/// Guards against an answer of an earlier build that is misread by a node that starts, and against
/// nodes whose format is never found out.
#[test]
fn knowledge_of_earlier_builds_shows_their_format() {
    for build in &BUILDS {
        for name in ["knowledge", "knowledge-without-crashes"] {
            let (knowledge, format) =
                legacy::decode_knowledge(&build.bytes(name)).expect("it is readable");
            assert_eq!(format, build.format, "{name}");
            assert_eq!(knowledge.crashes.len(), usize::from(name == "knowledge"));
            assert_eq!(knowledge.lost_entries[0].value, b"{}");
            assert!(knowledge.software.is_complete);
            assert_eq!(knowledge.leaving.len(), usize::from(build.has_builds()));
        }
    }
}

/// Guards against an answer that a starting node of an earlier build cannot read: its decoder takes
/// the fields that it knows and ignores the bytes after them.
#[test]
fn earlier_builds_read_knowledge() {
    let (knowledge, _) = legacy::decode_knowledge(&BUILDS[0].bytes("knowledge")).unwrap();
    let sent = legacy::encode_knowledge(knowledge).expect("it can be encoded");
    for build in &BUILDS {
        let expected = build.bytes("knowledge-without-crashes");
        assert!(sent.starts_with(&expected), "{:?}", build.format);
    }
}

/// Guards against copies of the store and records that cannot be read across builds.
#[test]
fn records_are_read_in_both_directions() {
    for build in &BUILDS {
        let mirror: StoreMirror = postcard::from_bytes(&build.bytes("mirror")).expect("a copy");
        assert_eq!(postcard::to_stdvec(&mirror).unwrap(), build.bytes("mirror"));
        let json = serde_json::to_vec(&mirror).expect("it can be encoded");
        let read: StoreMirror = serde_json::from_slice(&json).expect("it can be read");
        assert_eq!(read.items, mirror.items);

        let member: MemberRecord =
            serde_json::from_slice(&build.bytes("member")).expect("a record");
        assert_eq!(WireFormat::best_of(&member.formats), None);
        let mut own: HashMap<String, serde_json::Value> =
            reencode(&MemberRecord { formats: READABLE_FORMATS.to_vec(), ..member });
        own.remove("formats").expect("the formats are named");
        assert_eq!(own, serde_json::from_slice(&build.bytes("member")).unwrap());

        let crashes = build.bytes("crashes");
        let key = "carobvane/crashes/part-1234";
        let report =
            crate::server::crash_store::decode_record(key, &crashes).expect("crash records");
        assert_eq!(report.crashes[0].build.is_known(), build.has_builds());
        let hop: HopInfo =
            serde_json::from_slice(&build.bytes("hop")).expect("a request passed on");
        assert_eq!(serde_json::to_vec(&hop).unwrap(), build.bytes("hop"));
    }
}

fn reencode(record: &MemberRecord) -> HashMap<String, serde_json::Value> {
    serde_json::from_slice(&serde_json::to_vec(record).unwrap()).unwrap()
}

/// Guards against fields of a later build that make a record or an answer unreadable.
#[test]
fn unknown_fields_of_records_are_skipped() {
    let mut member = reencode(&serde_json::from_slice(&BUILDS[0].bytes("member")).unwrap());
    member.insert("later".to_string(), serde_json::json!([{"field": 1}]));
    member.insert("formats".to_string(), serde_json::json!([2, 9]));
    let json = serde_json::to_vec(&member).unwrap();
    let read: MemberRecord = serde_json::from_slice(&json).expect("it is readable");
    assert_eq!(WireFormat::best_of(&read.formats), Some(WireFormat::Cbor));
    let empty: PeerKnowledge = serde_json::from_str(r#"{"later": {}}"#).expect("it is readable");
    assert!(empty.crashes.is_empty() && !empty.software.is_complete);
}

/// Guards against notices that change on the way between nodes of this build.
#[test]
fn notices_survive_the_current_format() {
    let mut notices = newest_notices();
    // Earlier builds know no speeds.
    notices.push(NodeNotice::Answered {
        instance: "i".to_string(),
        request: 11,
        load: None,
        salt: 6,
        parts: Vec::new(),
        saves: false,
        saved_to: None,
        speed: Some(SpeedSample { work_tokens: 2_890, took_us: 45_800 }),
    });
    let mut number = 0;
    let mut numbers = || {
        number += 1;
        number
    };
    let segments = batch::encode_segments(7, &mut numbers, &notices);
    let route = BatchRoute { scope: SpreadScope::Fleet, is_urgent: true };
    let mut read = Vec::new();
    for datagram in batch::pack_datagrams(8, route, &segments) {
        assert!(datagram[0] > legacy::MAX_NOTICES && datagram.len() <= MAX_DATAGRAM_BYTES);
        let decoded = batch::decode_batch(&datagram).expect("it is readable");
        assert_eq!((decoded.sender, decoded.route), (8, route));
        for segment in &decoded.segments {
            assert_eq!(segment.origin, 7);
            read.extend(segment.decode().expect("it is readable").notices);
        }
    }
    assert_eq!(read, notices);
}

/// Guards against a layout of the current format that changes: these are its bytes as the first build
/// that writes it has them.
#[test]
fn current_format_is_stable() {
    let notices = [
        NodeNotice::Silent { instance: "i".to_string() },
        NodeNotice::Answered {
            instance: "i".to_string(),
            request: 11,
            load: Some(ServerLoad { running: 1, waiting: 2, slots: 16, pace_percent: 110 }),
            salt: 6,
            parts: Vec::new(),
            saves: true,
            saved_to: None,
            speed: None,
        },
    ];
    let segments = batch::encode_segments(7, &mut || 3, &notices);
    let route = BatchRoute { scope: SpreadScope::DataCentre, is_urgent: false };
    let datagram = batch::join_datagram(8, route, &segments);
    let hex: String = datagram.iter().map(|byte| format!("{byte:02x}")).collect();
    expect_test::expect!["82830801f48183070382820881616982048661690b84010210186e0680f5"]
        .assert_eq(&hex);
}

/// Guards against a datagram of which one notice is not known and all others are lost.
#[test]
fn unknown_notices_and_fields_are_skipped() {
    let known = NodeNotice::Silent { instance: "i".to_string() };
    // A notice with number 500, one with a field more, and one with a field of another type.
    let unknown: &[u8] = &[0x82, 0x19, 0x01, 0xf4, 0x81, 0x82, 0x01, 0x61, b'x'];
    let longer: &[u8] = &[0x82, 0x08, 0x82, 0x61, b'i', 0xa1, 0x01, 0x81, 0x02];
    let wrong: &[u8] = &[0x82, 0x08, 0x81, 0x05];
    let mut segment = vec![0x84, 0x07, 0x01, 0x84];
    for notice in [unknown, &minicbor::to_vec(&known).unwrap(), longer, wrong] {
        segment.extend_from_slice(notice);
    }
    // An element of the segment that is not known.
    segment.push(0xf6);
    let datagram = batch::join_datagram(9, BatchRoute::default(), &[segment]);
    let decoded = batch::decode_batch(&datagram).expect("it is readable");
    let notices = decoded.segments[0].decode().expect("it is readable");
    assert_eq!(notices.notices, [known.clone(), known]);
    assert_eq!(notices.skipped, 2);
}

/// Guards against crash records that lose the build of their server on the way.
#[test]
fn crash_reports_survive_the_current_format() {
    let reports = newest_notices().into_iter().filter_map(|notice| match notice {
        NodeNotice::Crashes(report) => Some(report),
        _ => None,
    });
    for report in reports {
        let bytes = minicbor::to_vec(&report).unwrap();
        assert_eq!(minicbor::decode::<CrashReport>(&bytes).unwrap(), report);
    }
}

proptest! {
    /// Guards against datagrams of foreign senders that end the process.
    #[test]
    fn foreign_bytes_are_refused(bytes in vec(any::<u8>(), 0..400)) {
        for format in [None, Some(WireFormat::Postcard), Some(WireFormat::PostcardWithoutLeaving)] {
            let _unused = legacy::decode_notices(format, &bytes);
        }
        let _unused = legacy::decode_knowledge(&bytes);
        if let Ok(decoded) = batch::decode_batch(&bytes) {
            decoded.segments.iter().for_each(|segment| drop(segment.decode()));
        }
    }

    /// Guards against damaged datagrams that end the process or are read past their end.
    #[test]
    fn damaged_datagrams_are_refused(position in 0_usize..1_000, value: u8) {
        let segments = batch::encode_segments(7, &mut || 1, &newest_notices());
        for mut datagram in batch::pack_datagrams(8, BatchRoute::default(), &segments) {
            let position = position % datagram.len();
            datagram[position] = value;
            if let Ok(decoded) = batch::decode_batch(&datagram) {
                decoded.segments.iter().for_each(|segment| drop(segment.decode()));
            }
        }
        let mut older = BUILDS[1].bytes("notices");
        let position = position % older.len();
        older[position] = value;
        let _unused = legacy::decode_notices(None, &older);
    }
}

/// Guards against reports of pressure that change on the way, take more bytes than a node may spend, or
/// reach nodes of an earlier build as another notice.
#[test]
fn pressure_reports_reach_only_builds_that_know_them() {
    let told = RankReport { rank: 399, work: 1_000, refused: 1_000 };
    let notice = NodeNotice::Pressure(PressureReport {
        service: "twelve-bytes".to_string(),
        sender: u64::MAX,
        pressure: 1_000,
        ranks: vec![told; 4],
    });
    let bytes = minicbor::to_vec(&notice).unwrap();
    assert_eq!(minicbor::decode::<NodeNotice>(&bytes).unwrap(), notice);
    assert!(bytes.len() <= 80, "{} bytes", bytes.len());
    for format in [None, Some(WireFormat::Postcard), Some(WireFormat::PostcardWithoutLeaving)] {
        let datagrams = legacy::pack_datagrams(format, std::slice::from_ref(&notice));
        assert!(datagrams.is_empty(), "{format:?}: {datagrams:?}");
    }
}

/// Guards against a nested value in a datagram that exhausts the stack.
#[test]
fn nested_values_are_skipped() {
    let mut segment = vec![0x83, 0x07, 0x01, 0x81];
    segment.extend(std::iter::repeat_n(0x81, 100_000));
    segment.push(0x00);
    let datagram = batch::join_datagram(9, BatchRoute::default(), &[segment]);
    let decoded = batch::decode_batch(&datagram).expect("it is readable");
    assert_eq!(decoded.segments[0].decode().expect("it is readable").skipped, 1);
}
