//! Routes, the server registry and the entry directory.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    ids::WeightsVersion,
    traffic::{
        ClientLimits, EntryNode, EntrySelector, ListingState, ModelWeights, RegistryChange,
        RouteError, RouteKind, RouteRule, RouteTable, RouteTarget, ServerAvailability,
        ServerListing, ServerRegistry, TrafficConfig, WorkspaceSpec,
    },
};

const MODEL: &str = "model";
const SERVICE: &str = "engines";

fn millis(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms)
}

fn route(name: &str, prefix: &str, public: bool) -> RouteRule {
    RouteRule {
        name: name.to_string(),
        host: "host.example".to_string(),
        prefix: prefix.to_string(),
        targets: vec![RouteTarget { service: SERVICE.to_string(), weight: 1.0 }],
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(300),
        max_servers: 2,
        priority: 1,
        public,
        resumable: false,
        target_event_gap: None,
    }
}

fn config(version: u64, keys: &[&str]) -> TrafficConfig {
    TrafficConfig {
        version,
        routes: vec![
            route("short", "/a/", false),
            route("long", "/a/b/", false),
            route("open", "/open/", true),
        ],
        services: Vec::new(),
        limits: ClientLimits::default(),
        workspaces: Some(vec![WorkspaceSpec {
            name: "workspace".to_string(),
            keys: keys.iter().map(|key| key.to_string()).collect(),
            priority: None,
            isolated: false,
            limit: Default::default(),
        }]),
    }
}

/// Guards against a request that gets another route than the one with the longest prefix, or that
/// gets a route without a valid key.
#[test]
fn the_longest_prefix_of_the_host_decides() {
    struct Case {
        host: &'static str,
        path: &'static str,
        key: Option<&'static str>,
        found: Result<&'static str, RouteError>,
    }
    let case = |host, path, key, found| Case { host, path, key, found };
    let cases = [
        case("host.example", "/a/x", Some("key"), Ok("short")),
        case("HOST.example:8080", "/a/x", Some("key"), Ok("short")),
        case("host.example", "/a/b/x", Some("key"), Ok("long")),
        case("host.example", "/a/bx", Some("key"), Ok("short")),
        case("host.example", "/a", Some("key"), Err(RouteError::NoRoute)),
        case("other.example", "/a/x", Some("key"), Err(RouteError::NoRoute)),
        case("host.example", "/a/x", Some("other"), Err(RouteError::UnknownKey)),
        case("host.example", "/a/x", None, Err(RouteError::UnknownKey)),
        case("host.example", "/open/x", None, Ok("open")),
        case("host.example", "/other/x?/a/", Some("key"), Err(RouteError::NoRoute)),
    ];
    let mut table = RouteTable::default();
    assert_eq!(table.find("host.example", "/a/x", None).err(), Some(RouteError::NoConfig));
    table.apply(config(1, &["key"]));
    for case in cases {
        let found = table.find(case.host, case.path, case.key);
        let found = found.map(|found| found.rule.name.as_str());
        assert_eq!(found, case.found, "{} {}", case.host, case.path);
    }
}

/// Guards against a node that returns to an older configuration, whose keys may be revoked.
#[test]
fn an_older_configuration_is_ignored() {
    struct Case {
        versions: &'static [u64],
        in_force: u64,
    }
    let cases = [
        Case { versions: &[3, 7], in_force: 7 },
        Case { versions: &[7, 3], in_force: 7 },
        Case { versions: &[7, 7, 5, 9, 8], in_force: 9 },
    ];
    for case in cases {
        let mut table = RouteTable::default();
        for version in case.versions {
            let key = format!("key {version}");
            table.apply(config(*version, &[&key]));
        }
        assert_eq!(table.version(), Some(case.in_force), "{:?}", case.versions);
        let key = format!("key {}", case.in_force);
        assert!(table.find("host.example", "/a/x", Some(&key)).is_ok(), "{:?}", case.versions);
    }
}

fn listing(instance: &str, started_at_ms: u64, state: ListingState, version: u64) -> ServerListing {
    let port = 1_000 + instance.bytes().map(u16::from).sum::<u16>();
    ServerListing {
        instance: instance.to_string(),
        started_at_ms,
        software: Some("v1".to_string()),
        service: SERVICE.to_string(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "a".to_string(),
        slots: 64,
        state,
        weights: vec![ModelWeights { model: MODEL.to_string(), version: WeightsVersion(version) }],
    }
}

/// Guards against requests to a server that has left, and against removing a server whose listing
/// merely expired in an outage of the store.
#[test]
fn lapsed_servers_stay_until_shortly_after_the_outage() {
    enum Step {
        Unlist,
        StoreUnreachable,
        StoreReachable,
        Relist,
        Drain,
        RemoveLapsed,
    }
    use Step::{Drain, Relist, RemoveLapsed, StoreReachable, StoreUnreachable, Unlist};
    struct Case {
        steps: &'static [(u64, Step)],
        availability: Option<ServerAvailability>,
    }
    let cases = [
        Case { steps: &[(0, Unlist)], availability: None },
        Case { steps: &[(0, Drain)], availability: Some(ServerAvailability::Leaving) },
        Case {
            steps: &[(0, StoreUnreachable), (100, Unlist)],
            availability: Some(ServerAvailability::Lapsed),
        },
        Case {
            steps: &[(0, StoreUnreachable), (100, StoreReachable), (200, Unlist)],
            availability: Some(ServerAvailability::Lapsed),
        },
        Case {
            steps: &[
                (0, StoreUnreachable),
                (100, StoreReachable),
                (200, Unlist),
                (900, Relist),
                (9_000, RemoveLapsed),
            ],
            availability: Some(ServerAvailability::Ready),
        },
        Case {
            steps: &[
                (0, StoreUnreachable),
                (100, StoreReachable),
                (200, Unlist),
                (2_400, RemoveLapsed),
            ],
            availability: None,
        },
        Case {
            steps: &[(0, StoreUnreachable), (100, StoreReachable), (2_400, Unlist)],
            availability: None,
        },
        // A server that has announced to leave is removed with its listing even in an outage.
        Case { steps: &[(0, Drain), (10, StoreUnreachable), (100, Unlist)], availability: None },
        Case {
            steps: &[(0, Drain), (10, Relist)],
            availability: Some(ServerAvailability::Leaving),
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        let mut registry = ServerRegistry::default();
        registry.apply_listing(listing("i", 1, ListingState::Ready, 1));
        for (at, step) in case.steps {
            match step {
                Unlist => drop(registry.on_listing_removed(millis(*at), "i")),
                StoreUnreachable => registry.on_store_away(),
                StoreReachable => registry.on_store_back(millis(*at)),
                Relist => drop(registry.apply_listing(listing("i", 1, ListingState::Ready, 1))),
                Drain => drop(registry.apply_listing(listing("i", 1, ListingState::Draining, 1))),
                RemoveLapsed => drop(registry.remove_lapsed(millis(*at))),
            }
        }
        let availability = registry.key_of("i").and_then(|key| registry.get(key));
        assert_eq!(
            availability.map(|server| server.availability),
            case.availability,
            "case {index}"
        );
    }
}

/// Guards against cache entries and connections that are kept when a server restarts under the same
/// instance name.
#[test]
fn a_new_incarnation_has_a_new_key() {
    struct Case {
        started_at_ms: u64,
        port: u16,
        same: bool,
    }
    let cases = [
        Case { started_at_ms: 1, port: 1, same: true },
        Case { started_at_ms: 0, port: 1, same: true },
        Case { started_at_ms: 2, port: 1, same: false },
        Case { started_at_ms: 1, port: 2, same: false },
    ];
    for case in cases {
        let mut registry = ServerRegistry::default();
        let mut first = listing("i", 1, ListingState::Ready, 1);
        first.address.set_port(1);
        registry.apply_listing(first.clone());
        let key = registry.key_of("i");
        let again = ServerListing {
            started_at_ms: case.started_at_ms,
            address: ([127, 0, 0, 1], case.port).into(),
            ..first
        };
        let change = registry.apply_listing(again);
        assert_eq!(
            matches!(change, RegistryChange::Added(_)),
            !case.same,
            "born {}",
            case.started_at_ms
        );
        assert_eq!(
            registry.key_of("i") == key,
            case.same,
            "born {} port {}",
            case.started_at_ms,
            case.port
        );
    }
}

/// Guards against clients that are sent to another data centre without need, or that get too few
/// addresses.
#[test]
fn clients_get_the_entry_nodes_of_their_data_centre_if_enough_are_live() {
    struct Case {
        members: &'static [(&'static str, &'static str, &'static str)],
        addresses: &'static [u16],
    }
    let cases = [
        Case { members: &[], addresses: &[] },
        Case { members: &[("1", "a", "r"), ("2", "b", "r"), ("3", "a", "r")], addresses: &[1, 3] },
        Case { members: &[("1", "a", "r"), ("2", "b", "r")], addresses: &[1, 2] },
        Case { members: &[("1", "c", "s"), ("2", "b", "r")], addresses: &[2, 1] },
    ];
    for case in cases {
        let members: Vec<EntryNode> = case
            .members
            .iter()
            .map(|(port, data_centre, region)| EntryNode {
                name: port.to_string(),
                address: ([10, 0, 0, 1], port.parse().expect("names are ports")).into(),
                data_centre: data_centre.to_string(),
                region: region.to_string(),
            })
            .collect();
        let answer = EntrySelector::new(&members).select_entries("r", "a");
        let ports: Vec<u16> = answer.addresses.iter().map(|address| address.port()).collect();
        assert_eq!(ports, case.addresses, "{:?}", case.members);
    }
}
