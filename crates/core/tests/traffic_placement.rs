//! The choice of the server that runs a request.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    overload::{AdmissionDecision, AdmissionGate, AdmissionRequest, RequestGroups, RequestRank},
    traffic::{
        CacheConfidence, CacheSource, DEFAULT_PRIORITY, ListingState, ModelWeights,
        PlacementChoice, PlacementPlanner, PlacementRefusal, PlacementRequest, PromptPart,
        PromptShape, ServerListing, ServerLoad, ServerRegistry, SoftwareRule, cache_salt,
    },
};
use rand::{SeedableRng, rngs::SmallRng};

const MODEL: &str = "model";
const SERVICE: &str = "engines";
const OLD_VERSION_LIFETIME: Duration = Duration::from_secs(8);

fn millis(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms)
}

fn listing(instance: &str, version: u64) -> ServerListing {
    let port = 1_000 + instance.bytes().map(u16::from).sum::<u16>();
    ServerListing {
        instance: instance.to_string(),
        started_at_ms: 1,
        software: Some("v1".to_string()),
        service: SERVICE.to_string(),
        address: ([127, 0, 0, 1], port).into(),
        data_centre: "a".to_string(),
        slots: 64,
        state: ListingState::Ready,
        weights: vec![ModelWeights { model: MODEL.to_string(), version: WeightsVersion(version) }],
    }
}

fn prompt(shared: &[(u64, u32)], own_tokens: u32) -> PromptShape {
    let parts = shared.iter().map(|&(id, tokens)| PromptPart { id, tokens });
    let own = PromptPart { id: 99, tokens: own_tokens };
    let shared_tokens: u32 = shared.iter().map(|part| part.1).sum();
    PromptShape {
        parts: parts.chain([own]).collect(),
        prompt_tokens: shared_tokens + own_tokens,
        max_output_tokens: 50,
    }
}

/// Guards against map entries for parts that an engine has evicted, and against events that drop
/// the entry of a request that was sent later.
#[test]
fn cache_events_update_the_cache_map() {
    struct Case {
        name: &'static str,
        before: Option<CacheConfidence>,
        events: &'static [bool],
        at_least: CacheConfidence,
        tokens: u32,
        changes: (usize, usize),
    }
    let (expected, confirmed) = (CacheConfidence::Expected, CacheConfidence::Confirmed);
    let none = Case {
        name: "no event",
        before: Some(confirmed),
        events: &[],
        at_least: confirmed,
        tokens: 100,
        changes: (0, 0),
    };
    let cases = [
        Case { name: "evicted", events: &[false], tokens: 0, changes: (0, 1), ..none },
        Case { name: "evicted and cached again", events: &[false, true], ..none },
        Case {
            name: "cached and evicted",
            events: &[true, false],
            tokens: 0,
            changes: (0, 1),
            ..none
        },
        Case { name: "unknown before", before: None, events: &[true], changes: (1, 0), ..none },
        Case {
            name: "confirmed by an event",
            before: Some(expected),
            events: &[true],
            changes: (1, 0),
            ..none
        },
        Case {
            name: "evicted before a request in flight arrives",
            before: Some(expected),
            events: &[false],
            at_least: expected,
            ..none
        },
        none,
    ];
    for case in cases {
        let mut fixture = PlacementFixture::new(&[1]);
        let (now, server, salt) =
            (millis(1_000), fixture.keys[0], cache_salt(0, WeightsVersion(1)));
        let prompt = prompt(&[(7, 100)], 10);
        let cache = &mut fixture.planner.cache;
        if let Some(confidence) = case.before {
            cache.record(now, server, salt, prompt.shared_parts(), confidence);
        }
        let events = case.events.iter().map(|&is_cached| (7 ^ salt, is_cached));
        let changes = cache.apply_events(now, server, events);
        let tokens = cache.cached_tokens(now, server, salt, &prompt, case.at_least);
        assert_eq!(tokens, case.tokens, "{}", case.name);
        assert_eq!((changes.added.len(), changes.removed.len()), case.changes, "{}", case.name);
    }
}

struct PlacementFixture {
    priority: u8,
    registry: ServerRegistry,
    planner: PlacementPlanner,
    keys: Vec<ServerKey>,
}

impl PlacementFixture {
    fn new(versions: &[u64]) -> PlacementFixture {
        let mut registry = ServerRegistry::default();
        for (index, version) in versions.iter().enumerate() {
            registry.apply_listing(listing(&format!("i{index}"), *version));
        }
        let key = |index: usize| registry.key_of(&format!("i{index}"));
        let keys = (0..versions.len()).filter_map(key).collect();
        let planner = PlacementPlanner::new("a".to_string(), OLD_VERSION_LIFETIME);
        PlacementFixture { priority: DEFAULT_PRIORITY, registry, planner, keys }
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
            priority: self.priority,
            kv_capacity: 0,
            software: &SoftwareRule::Any,
            bytes: 1_000,
            nodes: 9,
        };
        self.planner.choose(now, &self.registry, &request, tried, &mut SmallRng::seed_from_u64(7))
    }
}

/// Guards against requests that start on replaced weights after their lifetime, even if still newer
/// weights are announced meanwhile.
#[test]
fn replaced_weights_are_not_used_after_their_lifetime() {
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
            fixture.planner.weights.announce(at, MODEL, WeightsVersion(*version));
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

/// Guards against a shared prefix that is prefilled at many servers although one has it cached.
#[test]
fn a_prefix_goes_to_its_holder_or_is_fetched_from_it() {
    struct Case {
        holder_running: u32,
        holder_backlog: u32,
        chooses_holder: bool,
        fetches: bool,
    }
    let cases = [
        Case { holder_running: 0, holder_backlog: 0, chooses_holder: true, fetches: false },
        Case { holder_running: 2, holder_backlog: 500, chooses_holder: true, fetches: false },
        Case { holder_running: 40, holder_backlog: 90_000, chooses_holder: false, fetches: true },
    ];
    for case in cases {
        let mut fixture = PlacementFixture::new(&[1; 12]);
        let now = millis(50_000);
        let request = prompt(&[(1, 2_500), (2, 3_800)], 900);
        // Make the server that is chosen first the holder of the prefix.
        let holder = fixture.choose(now, &request, &[]).expect("twelve servers are free").server;
        let salt = cache_salt(0, WeightsVersion(1));
        let confidence = CacheConfidence::Confirmed;
        fixture.planner.cache.record(now, holder, salt, request.shared_parts(), confidence);
        let server = fixture.registry.get_mut(holder).expect("the holder is listed");
        server.prefill_backlog.add(now, 5, case.holder_backlog, DEFAULT_PRIORITY);
        let load = ServerLoad { running: case.holder_running, slots: 64, ..ServerLoad::default() };
        server.health.on_load_report(now, load);
        let choice = fixture.choose(now, &request, &[]).expect("twelve servers are free");
        assert_eq!(choice.server == holder, case.chooses_holder, "{}", case.holder_backlog);
        let fetches = choice.fetch_from == Some(CacheSource::Server(holder));
        assert_eq!(fetches, case.fetches, "{}", case.holder_backlog);
        assert_eq!(choice.cached_tokens, 6_300);
    }
}

/// Guards against short streams whose event gaps grow because long prompts are prefilled at the
/// same server.
#[test]
fn long_and_short_prompts_use_different_servers() {
    let mut fixture = PlacementFixture::new(&[1; 12]);
    let now = millis(50_000);
    let long = prompt(&[], 9_000);
    let short = prompt(&[], 400);
    for _ in 0..4 {
        fixture.planner.on_prompt(now, SERVICE, &long, None);
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
                priority: DEFAULT_PRIORITY,
                kv_capacity: 0,
                software: &SoftwareRule::Any,
                bytes: 1_000,
                nodes: 9,
            };
            let choice = fixture.planner.choose(now, &fixture.registry, &request, &[], &mut rng);
            chosen.insert(choice.expect("twelve servers are free").server);
        }
        chosen
    };
    let long_servers = servers(&fixture, &long);
    let short_servers = servers(&fixture, &short);
    assert!(long_servers.is_disjoint(&short_servers), "{long_servers:?} {short_servers:?}");
}

/// Guards against many requests to an unresponsive server, and against never using it again.
#[test]
fn an_unresponsive_server_is_probed_by_one_request_at_a_time() {
    struct Case {
        failures: u32,
        after_ms: u64,
        in_flight: u32,
        chosen: bool,
    }
    let cases = [
        Case { failures: 0, after_ms: 0, in_flight: 5, chosen: true },
        Case { failures: 1, after_ms: 100, in_flight: 0, chosen: false },
        Case { failures: 1, after_ms: 400, in_flight: 0, chosen: true },
        Case { failures: 1, after_ms: 400, in_flight: 1, chosen: false },
        Case { failures: 9, after_ms: 2_000, in_flight: 0, chosen: false },
        Case { failures: 9, after_ms: 3_100, in_flight: 0, chosen: true },
    ];
    for case in cases {
        // The other server has so large a backlog that it is only chosen if this one may not be.
        let mut fixture = PlacementFixture::new(&[1, 1]);
        let now = millis(50_000);
        let other = fixture.registry.get_mut(fixture.keys[1]).expect("the server is listed");
        other.prefill_backlog.add(now + Duration::from_secs(2), 1, 200_000, DEFAULT_PRIORITY);
        let server = fixture.registry.get_mut(fixture.keys[0]).expect("the server is listed");
        server.in_flight = case.in_flight;
        for _ in 0..case.failures {
            server.health.on_no_response(now);
        }
        let later = now + Duration::from_millis(case.after_ms);
        let choice = fixture.choose(later, &prompt(&[], 100), &[]);
        let chosen = choice.is_ok_and(|choice| choice.server == fixture.keys[0]);
        assert_eq!(chosen, case.chosen, "{} failures after {} ms", case.failures, case.after_ms);
        let only_server = fixture.choose(later, &prompt(&[], 100), &[fixture.keys[1]]);
        assert!(only_server.is_ok(), "an unresponsive server is better than none");
    }
}

/// Guards against refusing every long prompt, because its prefill alone takes longer than the
/// maximum wait, and against sending requests that would be late and only delay others.
#[test]
fn a_request_is_refused_for_its_wait_and_not_for_its_length() {
    struct Case {
        prompt_tokens: u32,
        backlog_tokens: u32,
        accepted: bool,
    }
    let cases = [
        Case { prompt_tokens: 500, backlog_tokens: 0, accepted: true },
        Case { prompt_tokens: 500, backlog_tokens: 10_000, accepted: true },
        Case { prompt_tokens: 500, backlog_tokens: 40_000, accepted: false },
        Case { prompt_tokens: 39_000, backlog_tokens: 0, accepted: true },
        Case { prompt_tokens: 39_000, backlog_tokens: 40_000, accepted: false },
        Case { prompt_tokens: 300_000, backlog_tokens: 0, accepted: false },
    ];
    for case in cases {
        let mut fixture = PlacementFixture::new(&[1]);
        let now = millis(50_000);
        let server = fixture.registry.get_mut(fixture.keys[0]).expect("the server is listed");
        server.prefill_backlog.add(now, 1, case.backlog_tokens, DEFAULT_PRIORITY);
        let choice = fixture.choose(now, &prompt(&[], case.prompt_tokens), &[]);
        let choice = choice.expect("a server is listed");
        let request = AdmissionRequest {
            rank: RequestRank::new(0, 0, choice.idle_latency_ms),
            groups: RequestGroups::default(),
            server_ms: choice.idle_latency_ms,
            expected: choice.expected_latency,
            idle: choice.idle_latency,
            target: Duration::from_millis(800),
            elapsed: Duration::ZERO,
            time_left: Duration::from_secs(5),
            client_time_left: Duration::from_secs(5),
            continues: false,
            is_return: false,
            ticket: None,
        };
        let mut rng = SmallRng::seed_from_u64(7);
        let verdict = AdmissionGate::default().decide(now, &request, &mut rng);
        let setup = format!("{} behind {}", case.prompt_tokens, case.backlog_tokens);
        let accepted = verdict.decision == AdmissionDecision::Admit;
        assert_eq!(accepted, case.accepted, "{setup}: {verdict:?}");
    }
}

/// Guards against urgent requests that are refused or sent elsewhere because of less urgent ones, which
/// a full server admits after them, and against expecting that of a server with free slots.
#[test]
fn backlog_counts_what_is_admitted_before_a_request() {
    struct Case {
        name: &'static str,
        priority: u8,
        running: u32,
        wait_tokens: u64,
    }
    let cases = [
        Case { name: "free slots", priority: 0, running: 20, wait_tokens: 6_000 },
        Case { name: "full, urgent", priority: 0, running: 66, wait_tokens: 3_000 },
        Case { name: "full, as urgent as one", priority: 2, running: 66, wait_tokens: 5_000 },
        Case { name: "full, least urgent", priority: 9, running: 66, wait_tokens: 6_000 },
    ];
    for case in cases {
        let mut fixture = PlacementFixture::new(&[1]);
        let now = millis(50_000);
        let server = fixture.registry.get_mut(fixture.keys[0]).expect("the server is listed");
        // The last two wait at a server with 64 slots if 66 requests are there.
        for (request, tokens, priority) in [(1, 3_000, 9), (2, 1_000, 7), (3, 2_000, 2)] {
            server.prefill_backlog.add(now, request, tokens, priority);
        }
        let load = ServerLoad { running: case.running, slots: 64, ..ServerLoad::default() };
        server.health.on_load_report(now + Duration::from_millis(1), load);
        fixture.priority = case.priority;
        let now = now + Duration::from_millis(2);
        let choice = fixture.choose(now, &prompt(&[], 100), &[]).expect("the wait is short");
        let server = fixture.registry.get(choice.server).expect("the server is listed");
        let speed = fixture.planner.speed_of(now, SERVICE, &server.model);
        let tokens = choice.parts.wait_ms / choice.parts.pace * speed.prefill_tokens_per_ms;
        assert_eq!(tokens.round() as u64, case.wait_tokens, "{}", case.name);
    }
}
