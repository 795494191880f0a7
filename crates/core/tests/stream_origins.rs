//! The software versions at which streams may go on.

use carobvane_core::{
    clock::ClockTime,
    traffic::{
        ListingState, ServerListing, ServerLoad, ServerRegistry, SoftwareRule, StreamKey,
        StreamOrigins,
    },
};

const SERVICE: &str = "engines";

fn seconds(count: u64) -> ClockTime {
    ClockTime::from_millis(1_000 * count)
}

fn millis(count: u64) -> ClockTime {
    ClockTime::from_millis(count)
}

fn listing(software: Option<&str>) -> ServerListing {
    ServerListing {
        instance: "a".to_string(),
        started_at_ms: 1,
        service: SERVICE.to_string(),
        software: software.map(str::to_string),
        address: "127.0.0.1:1000".parse().expect("an address"),
        data_centre: "z1".to_string(),
        slots: 8,
        state: ListingState::Ready,
        weights: Vec::new(),
    }
}

/// Guards against taking the version of a service for that of a stream which may have begun at another.
#[test]
fn only_a_service_with_one_known_version_tells_that_of_a_stream() {
    struct Case {
        name: &'static str,
        is_first_start: bool,
        /// Versions that are listed, and when, in seconds.
        listed: &'static [(u64, Option<&'static str>)],
        /// When the node asks, in seconds.
        asked: u64,
        only: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "one version",
            is_first_start: true,
            listed: &[(1, Some("v1")), (2, Some("v1"))],
            asked: 2,
            only: Some("v1"),
        },
        Case {
            name: "two versions",
            is_first_start: true,
            listed: &[(1, Some("v1")), (2, Some("v2"))],
            asked: 2,
            only: None,
        },
        Case {
            name: "the other version was gone just now",
            is_first_start: true,
            listed: &[(1, Some("v1")), (100, Some("v2"))],
            asked: 110,
            only: None,
        },
        Case {
            name: "the other version was gone long ago",
            is_first_start: true,
            listed: &[(1, Some("v1")), (100, Some("v2"))],
            asked: 122,
            only: Some("v2"),
        },
        Case {
            name: "version not named",
            is_first_start: true,
            listed: &[(1, None)],
            asked: 2,
            only: None,
        },
        Case {
            name: "restarted just now",
            is_first_start: false,
            listed: &[(1, Some("v1"))],
            asked: 2,
            only: None,
        },
        Case {
            name: "restarted long ago",
            is_first_start: false,
            listed: &[(1, Some("v1")), (119, Some("v1"))],
            asked: 120,
            only: Some("v1"),
        },
    ];
    for case in cases {
        let mut origins = StreamOrigins::default();
        origins.on_start(seconds(0), case.is_first_start);
        for (at, software) in case.listed {
            origins.on_listed(seconds(*at), SERVICE, *software);
        }
        origins.expire(seconds(case.asked));
        let only = origins.only_version(seconds(case.asked), SERVICE);
        assert_eq!(only, case.only, "{}", case.name);
    }
}

/// Guards against a restarted node that forgets a version whose servers have gone, and against one that
/// rejects streams although the other nodes know of only one version.
#[test]
fn restarted_node_learns_the_versions_from_others() {
    struct Case {
        name: &'static str,
        teller_started_first: bool,
        gone_version: bool,
        only: Option<&'static str>,
    }
    let cases = [
        Case {
            name: "told by a node that ran all the time",
            teller_started_first: true,
            gone_version: false,
            only: Some("v2"),
        },
        Case {
            name: "told by a node that has started too",
            teller_started_first: false,
            gone_version: false,
            only: None,
        },
        Case {
            name: "told of a version that is gone",
            teller_started_first: true,
            gone_version: true,
            only: None,
        },
    ];
    for case in cases {
        let now = seconds(10);
        let mut teller = StreamOrigins::default();
        teller.on_start(now, case.teller_started_first);
        teller.on_listed(now, SERVICE, Some("v2"));
        if case.gone_version {
            teller.on_listed(now, SERVICE, Some("v1"));
        }
        let mut origins = StreamOrigins::default();
        origins.on_start(now, false);
        origins.on_listed(now, SERVICE, Some("v2"));
        origins.on_told(now, &teller.report(now));
        assert_eq!(origins.only_version(now, SERVICE), case.only, "{}", case.name);
    }
}

/// Guards against records that change, and against a node that keeps any number of them.
#[test]
fn records_of_streams_hold_and_are_bounded() {
    let mut origins = StreamOrigins::default();
    let first = StreamKey::of_attempt("first");
    origins.record(seconds(1), first, "v1");
    origins.record(seconds(2), first, "v2");
    assert_eq!(origins.origin(first), Some("v1"));
    for number in 0..20_000 {
        origins.record(seconds(3), StreamKey::of_attempt(&format!("r{number}")), "v2");
    }
    assert_eq!(origins.origin(first), None, "the oldest record makes room");
    let last = StreamKey::of_attempt("r19999");
    assert_eq!(origins.origin(last), Some("v2"));
    origins.expire(seconds(200));
    assert_eq!(origins.origin(last), None, "records expire");
}

/// Guards against nodes that ask others than those that got the record of a stream.
#[test]
fn all_nodes_agree_on_the_replicas_of_a_stream() {
    let names: Vec<String> = (0..90).map(|number| format!("n{number}")).collect();
    let stream = StreamKey::of_attempt("r1");
    let in_order = stream.replicas(names.iter().map(String::as_str));
    let reversed = stream.replicas(names.iter().rev().map(String::as_str));
    assert_eq!(in_order, reversed);
    assert_eq!(in_order.len(), 8);
    let without_one = names.iter().map(String::as_str).filter(|name| *name != in_order[0]);
    let shared = stream.replicas(without_one);
    assert_eq!(shared[..7], in_order[1..], "one node more or less moves no other replica");
}

/// Guards against streams that continue at a server which has started again, under its old name, with
/// other software that its listing does not name yet.
#[test]
fn server_that_may_have_restarted_continues_no_stream() {
    struct Case {
        name: &'static str,
        /// When the server responds after its connections broke, in milliseconds.
        heard_after: Option<u64>,
        store_reachable: bool,
        /// When the stream is taken up after that, in milliseconds.
        asked_after: u64,
        allowed: bool,
    }
    let cases = [
        Case {
            name: "sooner than it can have started",
            heard_after: None,
            store_reachable: true,
            asked_after: 900,
            allowed: true,
        },
        Case {
            name: "it may have started",
            heard_after: None,
            store_reachable: true,
            asked_after: 1_100,
            allowed: false,
        },
        Case {
            name: "its listing would have changed",
            heard_after: None,
            store_reachable: true,
            asked_after: 6_100,
            allowed: true,
        },
        Case {
            name: "listings do not change",
            heard_after: None,
            store_reachable: false,
            asked_after: 20_000,
            allowed: false,
        },
        Case {
            name: "it responded at once",
            heard_after: Some(500),
            store_reachable: false,
            asked_after: 2_000,
            allowed: true,
        },
        Case {
            name: "it responded when it may have started",
            heard_after: Some(1_500),
            store_reachable: true,
            asked_after: 2_000,
            allowed: false,
        },
    ];
    for case in cases {
        let mut registry = ServerRegistry::default();
        registry.apply_listing(listing(Some("v1")));
        if !case.store_reachable {
            registry.on_store_call(false);
        }
        let broke_at = 10_000;
        let server = registry.get_instance_mut("a").expect("the server is listed");
        server.health.on_connection_lost(millis(broke_at));
        if let Some(after) = case.heard_after {
            server.health.on_load_report(millis(broke_at + after), ServerLoad::default());
        }
        let key = registry.key_of("a").expect("the server is listed");
        let server = registry.get(key).expect("the server is listed");
        let now = millis(broke_at + case.asked_after);
        let rule = SoftwareRule::Only("v1".to_string());
        assert_eq!(rule.allows_server(now, &registry, server), case.allowed, "{}", case.name);
        assert!(SoftwareRule::Any.allows_server(now, &registry, server), "{}", case.name);
        let other = SoftwareRule::Only("v2".to_string());
        assert!(!other.allows_server(now, &registry, server), "{}", case.name);
    }
}

/// Guards against a server that keeps its connections and records although it started again with other
/// software, under its old name and with an unknown start.
#[test]
fn server_with_other_software_is_another_incarnation() {
    let mut registry = ServerRegistry::default();
    registry.apply_listing(listing(Some("v1")));
    let before = registry.key_of("a");
    registry.apply_listing(listing(Some("v2")));
    assert_ne!(registry.key_of("a"), before);
}

/// Guards against a stream of an unknown version that continues anywhere, and against one that continues
/// at a server of another or an unknown version.
#[test]
fn stream_continues_only_at_servers_of_its_version() {
    struct Case {
        name: &'static str,
        rule: SoftwareRule,
        software: Option<&'static str>,
        is_allowed: bool,
    }
    let only = |version: &str| SoftwareRule::Only(version.to_string());
    let case = |name, rule, software, is_allowed| Case { name, rule, software, is_allowed };
    let cases = [
        case("no stream", SoftwareRule::Any, Some("v1"), true),
        case("no stream, unknown server", SoftwareRule::Any, None, true),
        case("unknown stream", SoftwareRule::Unknown, Some("v1"), false),
        case("unknown stream and server", SoftwareRule::Unknown, None, false),
        case("its version", only("v1"), Some("v1"), true),
        case("another version", only("v1"), Some("v2"), false),
        case("unknown server", only("v1"), None, false),
    ];
    for case in cases {
        let mut registry = ServerRegistry::default();
        registry.apply_listing(listing(case.software));
        let key = registry.key_of("a").expect("the server is listed");
        let server = registry.get(key).expect("the server is listed");
        let is_allowed = case.rule.allows_server(seconds(1), &registry, server);
        assert_eq!(is_allowed, case.is_allowed, "{}", case.name);
    }
}
