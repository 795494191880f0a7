//! The software versions of a service as the platform's store keeps them.

use carobvane_core::{
    clock::ClockTime,
    traffic::{SoftwareRecord, StreamKey, StreamOrigins},
};

const SERVICE: &str = "engines";

fn seconds(count: u64) -> ClockTime {
    ClockTime::from_millis(1_000 * count)
}

fn record(era: u64, versions: &[&str]) -> SoftwareRecord {
    SoftwareRecord::new(era, versions.iter().map(|version| Some(version.to_string())))
}

/// Guards against a record that lacks a version at which streams may have begun, and against one that names a
/// version for good.
#[test]
fn record_has_the_versions_at_which_streams_may_have_begun() {
    struct Case {
        name: &'static str,
        is_first_start: bool,
        /// Versions that are listed, and when, in seconds.
        listed: &'static [(u64, &'static str)],
        stored: Option<(u64, &'static [&'static str])>,
        /// When the node looks, in seconds; the store is in era 2.
        at: u64,
        /// Versions to be written.
        wanted: Option<&'static [&'static str]>,
    }
    let case = |name, listed, stored, at, wanted| Case {
        name,
        is_first_start: true,
        listed,
        stored,
        at,
        wanted,
    };
    let restarted = |case: Case| Case { is_first_start: false, ..case };
    let cases = [
        case("no server", &[], None, 1, None),
        case("first server", &[(1, "v1")], None, 1, Some(&["v1"])),
        case("as stored", &[(1, "v1")], Some((2, &["v1"])), 1, None),
        case("second version", &[(1, "v1"), (3, "v2")], Some((2, &["v1"])), 3, Some(&["v1", "v2"])),
        case("gone just now", &[(1, "v1"), (100, "v2")], Some((2, &["v1", "v2"])), 120, None),
        case("gone", &[(1, "v1"), (100, "v2")], Some((2, &["v1", "v2"])), 121, Some(&["v2"])),
        case("restored store", &[(1, "v1")], Some((1, &["v1"])), 1, Some(&["v1"])),
        restarted(case("no record at the start", &[(1, "v1")], None, 1, None)),
        restarted(case("complete after a while", &[(119, "v1")], None, 120, Some(&["v1"]))),
        restarted(case(
            "adds to a record",
            &[(1, "v2")],
            Some((2, &["v1"])),
            1,
            Some(&["v1", "v2"]),
        )),
        restarted(case("takes none out", &[(1, "v1")], Some((2, &["v1", "v2"])), 60, None)),
        restarted(case("record of another era", &[(1, "v2")], Some((1, &["v1"])), 1, None)),
    ];
    for case in cases {
        let mut origins = StreamOrigins::default();
        origins.on_start(ClockTime::ZERO, case.is_first_start);
        for (at, software) in case.listed {
            origins.on_listed(seconds(*at), SERVICE, Some(software));
        }
        origins.expire(seconds(case.at));
        let stored = case.stored.map(|(era, versions)| record(era, versions));
        let wanted = origins.wanted_record(seconds(case.at), SERVICE, stored.as_ref(), 2);
        let expected = case.wanted.map(|versions| record(2, versions));
        assert_eq!(wanted, expected, "{}", case.name);
    }
}

/// Guards against a restarted node that takes the versions of a record for all, although others were
/// listed, and against one that does not use the record.
#[test]
fn complete_record_tells_a_restarted_node_the_only_version() {
    struct Case {
        name: &'static str,
        recorded: &'static [&'static str],
        listed: &'static [&'static str],
        only: Option<&'static str>,
    }
    let cases = [
        Case { name: "one version", recorded: &["v1"], listed: &["v1"], only: Some("v1") },
        Case { name: "no server is listed", recorded: &["v1"], listed: &[], only: Some("v1") },
        Case { name: "another is listed", recorded: &["v1"], listed: &["v1", "v2"], only: None },
        Case { name: "replaced meanwhile", recorded: &["v1"], listed: &["v2"], only: None },
        Case { name: "two versions", recorded: &["v1", "v2"], listed: &["v2"], only: None },
    ];
    for case in cases {
        let mut origins = StreamOrigins::default();
        origins.on_start(ClockTime::ZERO, false);
        for software in case.listed {
            origins.on_listed(seconds(1), SERVICE, Some(software));
        }
        assert_eq!(origins.only_version(seconds(1), SERVICE), None, "{}", case.name);
        origins.on_complete_record(seconds(1), SERVICE, &record(2, case.recorded));
        assert_eq!(origins.only_version(seconds(1), SERVICE), case.only, "{}", case.name);
        assert_eq!(origins.only_version(seconds(1), "other"), None, "{}", case.name);
        assert_eq!(origins.origin(StreamKey::of_attempt("x")), None, "{}", case.name);
    }
}

/// Guards against servers of a version that is not recorded yet which begin streams at once, and against
/// servers that never do as the store does not take the record.
#[test]
fn version_that_is_not_recorded_waits_for_a_second() {
    let mut origins = StreamOrigins::default();
    origins.on_start(ClockTime::ZERO, true);
    for at in [5_000, 5_500, 5_900] {
        origins.on_listed(ClockTime::from_millis(at), SERVICE, Some("v2"));
    }
    let has_waited =
        |at, software| origins.has_waited(ClockTime::from_millis(at), SERVICE, software);
    assert!(!has_waited(5_999, Some("v2")), "just listed");
    assert!(has_waited(6_000, Some("v2")), "listed a second ago");
    assert!(!has_waited(6_000, Some("v3")), "not listed");
}
