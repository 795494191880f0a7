//! Routes, servers, placement and the directory.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    traffic::{
        CacheBelief, CacheSource, CallerLimits, DirectoryMember, EntryChooser, ListingState,
        ModelWeights, PlacementChoice, PlacementPlanner, PlacementRefusal, PlacementRequest,
        PromptPart, PromptShape, RosterChange, RouteError, RouteKind, RouteRule, RouteTable,
        RouteTarget, ServerListing, ServerLoad, ServerRoster, ServerStanding, TrafficConfig,
        WorkspaceSpec, cache_salt,
    },
};
use rand::{SeedableRng, rngs::SmallRng};

const MODEL: &str = "model";
const SERVICE: &str = "engines";
const VERSION_TIME: Duration = Duration::from_secs(8);

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
        event_gap: None,
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
        limits: CallerLimits::default(),
        workspaces: Some(vec![WorkspaceSpec {
            name: "workspace".to_string(),
            keys: keys.iter().map(|key| key.to_string()).collect(),
            priority: None,
            isolated: false,
        }]),
    }
}

/// Guards against a request that takes another route than the longest one, or none of its own.
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

/// Guards against a node that goes back to a configuration with revoked keys.
#[test]
fn a_configuration_never_goes_back() {
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

fn listing(instance: &str, born: u64, state: ListingState, version: u64) -> ServerListing {
    let port = 1_000 + instance.bytes().map(u16::from).sum::<u16>();
    ServerListing {
        instance: instance.to_string(),
        born,
        service: SERVICE.to_string(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "a".to_string(),
        slots: 64,
        state,
        weights: vec![ModelWeights { model: MODEL.to_string(), version: WeightsVersion(version) }],
    }
}

/// Guards against requests to a server that has left, and against dropping one that only lost its
/// entry while the store was away.
#[test]
fn lapsed_servers_stay_until_shortly_after_the_store_is_back() {
    enum Step {
        Unlist,
        StoreLost,
        StoreBack,
        Relist,
        Drain,
        Settle,
    }
    use Step::{Drain, Relist, Settle, StoreBack, StoreLost, Unlist};
    struct Case {
        steps: &'static [(u64, Step)],
        standing: Option<ServerStanding>,
    }
    let cases = [
        Case { steps: &[(0, Unlist)], standing: None },
        Case { steps: &[(0, Drain)], standing: Some(ServerStanding::Leaving) },
        Case { steps: &[(0, StoreLost), (100, Unlist)], standing: Some(ServerStanding::Lapsed) },
        Case {
            steps: &[(0, StoreLost), (100, StoreBack), (200, Unlist)],
            standing: Some(ServerStanding::Lapsed),
        },
        Case {
            steps: &[
                (0, StoreLost),
                (100, StoreBack),
                (200, Unlist),
                (900, Relist),
                (9_000, Settle),
            ],
            standing: Some(ServerStanding::Ready),
        },
        Case {
            steps: &[(0, StoreLost), (100, StoreBack), (200, Unlist), (2_400, Settle)],
            standing: None,
        },
        Case { steps: &[(0, StoreLost), (100, StoreBack), (2_400, Unlist)], standing: None },
        // A server that has announced its leaving is gone with its entry, also in an outage.
        Case { steps: &[(0, Drain), (10, StoreLost), (100, Unlist)], standing: None },
        Case { steps: &[(0, Drain), (10, Relist)], standing: Some(ServerStanding::Leaving) },
    ];
    for (index, case) in cases.iter().enumerate() {
        let mut roster = ServerRoster::default();
        roster.list(listing("i", 1, ListingState::Ready, 1));
        for (at, step) in case.steps {
            match step {
                Unlist => drop(roster.unlist(millis(*at), "i")),
                StoreLost => roster.on_store_lost(),
                StoreBack => roster.on_store_back(millis(*at)),
                Relist => drop(roster.list(listing("i", 1, ListingState::Ready, 1))),
                Drain => drop(roster.list(listing("i", 1, ListingState::Draining, 1))),
                Settle => drop(roster.settle(millis(*at))),
            }
        }
        let standing = roster.key_of("i").and_then(|key| roster.get(key));
        assert_eq!(standing.map(|server| server.standing), case.standing, "case {index}");
    }
}

/// Guards against beliefs and connections that outlive a server's restart under its old id.
#[test]
fn a_new_life_has_a_new_key() {
    struct Case {
        born: u64,
        port: u16,
        same: bool,
    }
    let cases = [
        Case { born: 1, port: 1, same: true },
        Case { born: 0, port: 1, same: true },
        Case { born: 2, port: 1, same: false },
        Case { born: 1, port: 2, same: false },
    ];
    for case in cases {
        let mut roster = ServerRoster::default();
        let mut first = listing("i", 1, ListingState::Ready, 1);
        first.address.set_port(1);
        roster.list(first.clone());
        let key = roster.key_of("i");
        let again =
            ServerListing { born: case.born, address: ([127, 0, 0, 1], case.port).into(), ..first };
        let change = roster.list(again);
        assert_eq!(matches!(change, RosterChange::Born(_)), !case.same, "born {}", case.born);
        assert_eq!(roster.key_of("i") == key, case.same, "born {} port {}", case.born, case.port);
    }
}

fn prompt(shared: &[(u64, u32)], own_tokens: u32) -> PromptShape {
    let parts = shared.iter().map(|&(id, tokens)| PromptPart { id, tokens });
    let own = PromptPart { id: 99, tokens: own_tokens };
    let shared_tokens: u32 = shared.iter().map(|part| part.1).sum();
    PromptShape {
        parts: parts.chain([own]).collect(),
        prompt_tokens: shared_tokens + own_tokens,
        output_tokens: 50,
    }
}

struct PlacementFixture {
    roster: ServerRoster,
    planner: PlacementPlanner,
    keys: Vec<ServerKey>,
}

impl PlacementFixture {
    fn new(versions: &[u64]) -> PlacementFixture {
        let mut roster = ServerRoster::default();
        for (index, version) in versions.iter().enumerate() {
            roster.list(listing(&format!("i{index}"), 1, ListingState::Ready, *version));
        }
        let key = |index: usize| roster.key_of(&format!("i{index}"));
        let keys = (0..versions.len()).filter_map(key).collect();
        let planner = PlacementPlanner::new("a".to_string(), VERSION_TIME);
        PlacementFixture { roster, planner, keys }
    }

    fn choose(
        &self,
        now: ClockTime,
        prompt: &PromptShape,
        tried: &[ServerKey],
    ) -> Result<PlacementChoice, PlacementRefusal> {
        let request = PlacementRequest {
            service: SERVICE,
            model: Some(MODEL),
            prompt,
            cache_scope: 0,
            bytes: 1_000,
            has_store: false,
            nodes: 9,
            patience: Duration::from_secs(5),
        };
        self.planner.choose(now, &self.roster, &request, tried, &mut SmallRng::seed_from_u64(7))
    }
}

/// Guards against requests that begin on replaced weights after the bound, also when still newer
/// weights are named meanwhile.
#[test]
fn replaced_weights_are_left_before_the_bound() {
    struct Case {
        named: &'static [(u64, u64)],
        at_ms: u64,
        servers: usize,
    }
    let cases = [
        Case { named: &[], at_ms: 60_000, servers: 2 },
        Case { named: &[(0, 2)], at_ms: 3_000, servers: 2 },
        Case { named: &[(0, 2)], at_ms: 6_000, servers: 2 },
        Case { named: &[(0, 2)], at_ms: 6_900, servers: 1 },
        Case { named: &[(0, 2)], at_ms: 7_500, servers: 1 },
        Case { named: &[(0, 2), (6_500, 3)], at_ms: 7_500, servers: 1 },
        Case { named: &[(0, 2), (6_500, 3)], at_ms: 14_000, servers: 0 },
    ];
    for case in cases {
        let mut fixture = PlacementFixture::new(&[1, 2]);
        let start = 100_000;
        for (at, version) in case.named {
            let at = millis(start + at);
            fixture.planner.weights.name(at, MODEL, WeightsVersion(*version));
        }
        let now = millis(start + case.at_ms);
        let request = prompt(&[], 100);
        let mut tried = Vec::new();
        while let Ok(choice) = fixture.choose(now, &request, &tried) {
            tried.push(choice.server);
        }
        assert_eq!(tried.len(), case.servers, "{:?} at {}", case.named, case.at_ms);
    }
}

/// Guards against a shared prefix that is read at many servers although one holds it.
#[test]
fn a_prefix_goes_to_its_holder_or_is_fetched_from_it() {
    struct Case {
        running_at_holder: u32,
        tokens_at_holder: u32,
        at_holder: bool,
        fetches: bool,
    }
    let cases = [
        Case { running_at_holder: 0, tokens_at_holder: 0, at_holder: true, fetches: false },
        Case { running_at_holder: 2, tokens_at_holder: 500, at_holder: true, fetches: false },
        Case { running_at_holder: 40, tokens_at_holder: 90_000, at_holder: false, fetches: true },
    ];
    for case in cases {
        let mut fixture = PlacementFixture::new(&[1; 12]);
        let now = millis(50_000);
        let request = prompt(&[(1, 2_500), (2, 3_800)], 900);
        // Whichever server is the first choice holds the prefix.
        let holder = fixture.choose(now, &request, &[]).expect("twelve servers are free").server;
        let salt = cache_salt(0, WeightsVersion(1));
        let belief = CacheBelief::Confirmed;
        fixture.planner.cache.note(now, holder, salt, request.shared(), belief);
        let server = fixture.roster.get_mut(holder).expect("the holder is listed");
        server.reading.add(now, 5, case.tokens_at_holder);
        let load =
            ServerLoad { running: case.running_at_holder, slots: 64, ..ServerLoad::default() };
        server.health.on_load(now, load);
        let choice = fixture.choose(now, &request, &[]).expect("twelve servers are free");
        assert_eq!(choice.server == holder, case.at_holder, "{}", case.tokens_at_holder);
        let fetches = choice.fetch_from == Some(CacheSource::Server(holder));
        assert_eq!(fetches, case.fetches, "{}", case.tokens_at_holder);
        assert_eq!(choice.held_tokens, 6_300);
    }
}

/// Guards against short streams whose pauses grow because long prompts are read beside them.
#[test]
fn long_and_short_prompts_use_different_servers() {
    let mut fixture = PlacementFixture::new(&[1; 12]);
    let now = millis(50_000);
    let long = prompt(&[], 9_000);
    let short = prompt(&[], 400);
    for _ in 0..4 {
        fixture.planner.on_prompt(now, &long);
    }
    let rounds = 40;
    let servers = |fixture: &PlacementFixture, request: &PromptShape| {
        let mut rng = SmallRng::seed_from_u64(3);
        let mut chosen = std::collections::BTreeSet::new();
        for _ in 0..rounds {
            let request = PlacementRequest {
                service: SERVICE,
                model: Some(MODEL),
                prompt: request,
                cache_scope: 0,
                bytes: 1_000,
                has_store: false,
                nodes: 9,
                patience: Duration::from_secs(5),
            };
            let choice = fixture.planner.choose(now, &fixture.roster, &request, &[], &mut rng);
            chosen.insert(choice.expect("twelve servers are free").server);
        }
        chosen
    };
    let long_servers = servers(&fixture, &long);
    let short_servers = servers(&fixture, &short);
    assert!(long_servers.is_disjoint(&short_servers), "{long_servers:?} {short_servers:?}");
}

/// Guards against requests to a server that does not answer, and against giving it up for good.
#[test]
fn a_silent_server_is_tested_by_one_request_at_a_time() {
    struct Case {
        failures: u32,
        after_ms: u64,
        in_flight: u32,
        open: bool,
    }
    let cases = [
        Case { failures: 0, after_ms: 0, in_flight: 5, open: true },
        Case { failures: 1, after_ms: 100, in_flight: 0, open: false },
        Case { failures: 1, after_ms: 400, in_flight: 0, open: true },
        Case { failures: 1, after_ms: 400, in_flight: 1, open: false },
        Case { failures: 9, after_ms: 2_000, in_flight: 0, open: false },
        Case { failures: 9, after_ms: 3_100, in_flight: 0, open: true },
    ];
    for case in cases {
        // The other server is far too loaded to be chosen while this one may be.
        let mut fixture = PlacementFixture::new(&[1, 1]);
        let now = millis(50_000);
        let other = fixture.roster.get_mut(fixture.keys[1]).expect("the server is listed");
        other.reading.add(now + Duration::from_secs(2), 1, 200_000);
        let server = fixture.roster.get_mut(fixture.keys[0]).expect("the server is listed");
        server.in_flight = case.in_flight;
        for _ in 0..case.failures {
            server.health.on_silent(now);
        }
        let later = now + Duration::from_millis(case.after_ms);
        let choice = fixture.choose(later, &prompt(&[], 100), &[]);
        let open = choice.is_ok_and(|choice| choice.server == fixture.keys[0]);
        assert_eq!(open, case.open, "{} failures after {} ms", case.failures, case.after_ms);
        let alone = fixture.choose(later, &prompt(&[], 100), &[fixture.keys[1]]);
        assert!(alone.is_ok(), "a doubtful server is better than none");
    }
}

/// Guards against callers that are sent to another data centre without need, or nowhere.
#[test]
fn callers_get_the_entries_of_their_data_centre_if_enough_live_there() {
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
        let members: Vec<DirectoryMember> = case
            .members
            .iter()
            .map(|(port, data_centre, region)| DirectoryMember {
                name: port.to_string(),
                address: ([10, 0, 0, 1], port.parse().expect("names are ports")).into(),
                data_centre: data_centre.to_string(),
                region: region.to_string(),
            })
            .collect();
        let answer = EntryChooser::new(&members).answer("r", "a");
        let ports: Vec<u16> = answer.addresses.iter().map(|address| address.port()).collect();
        assert_eq!(ports, case.addresses, "{:?}", case.members);
    }
}
