//! Decisions of the prefix router.

use std::time::Duration;

use carobvane_core::{
    arena::ArenaKey,
    clock::ClockTime,
    ids::{AddressId, IncarnationId, ModelKey, ServerKey, WeightsVersion},
    prefix::{ChainSalt, FeedVerdict, PrefixChain},
    routing::{
        CacheUpdate, CostPolicy, FailureKind, LeastLoaded, LeastLoadedPrefix, PrefixHashing,
        PrefixRouter, ReportedLoad, RequestClass, RoundRobin, RouteDecision, RouteReason,
        RouteRefusal, RouteRequest, RouterSettings, RoutingPolicy, ServerSeen,
    },
};
use rand::{SeedableRng, rngs::SmallRng};

const PIECE_BYTES: usize = 64;
const PIECE_TOKENS: u32 = 2_000;
const WEIGHTS: WeightsVersion = WeightsVersion(7);

struct Fleet<P: RoutingPolicy = CostPolicy> {
    router: PrefixRouter<P>,
    servers: Vec<ServerKey>,
    model: ModelKey,
    now: ClockTime,
    rng: SmallRng,
}

impl<P: RoutingPolicy> Fleet<P> {
    fn new(servers: usize) -> Fleet<P> {
        let settings = RouterSettings { block_capacity: 10_000, ..RouterSettings::default() };
        let mut router = PrefixRouter::new(settings, P::Settings::default());
        let model = ModelKey::new(0, 0);
        let servers = (0..servers).map(|n| see(&mut router, model, n, 1, WEIGHTS)).collect();
        let rng = SmallRng::seed_from_u64(1);
        Fleet { router, servers, model, now: ClockTime::from_millis(1_000), rng }
    }

    fn decide(&mut self, chain: &PrefixChain) -> Result<RouteDecision, RouteRefusal> {
        let request = self.request(chain, RequestClass::Short);
        self.router.decide(self.now, &request, &mut self.rng)
    }

    fn request<'a>(&self, chain: &'a PrefixChain, class: RequestClass) -> RouteRequest<'a> {
        RouteRequest {
            model: self.model,
            weights: WEIGHTS,
            chain,
            class,
            prompt_tokens: chain.len() as u32 * PIECE_TOKENS + 100,
            decode_tokens: 50,
            excluded: &[],
            alone: false,
        }
    }

    fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }
}

fn see<P: RoutingPolicy>(
    router: &mut PrefixRouter<P>,
    model: ModelKey,
    number: usize,
    incarnation: u64,
    weights: WeightsVersion,
) -> ServerKey {
    let seen = ServerSeen {
        address: AddressId::of(&format!("127.0.0.1:{}", 8_000 + number)),
        incarnation: IncarnationId(incarnation),
        models: &[(model, weights)],
        slots: 16,
    };
    router.server_seen(&seen).expect("the table has room and the life is not an earlier one")
}

fn chain(workspace: &str, weights: WeightsVersion, pieces: usize) -> PrefixChain {
    let prompt: Vec<u8> = (0..pieces * PIECE_BYTES).map(|n| (n / PIECE_BYTES) as u8).collect();
    PrefixChain::from_prompt(&ChainSalt::new(workspace, "m", weights), &prompt, PIECE_BYTES)
}

/// Guards against prefixes being recomputed on a second server while the first is idle.
#[test]
fn a_repeated_prefix_returns_to_its_server() {
    let mut fleet = Fleet::<CostPolicy>::new(18);
    let chain = chain("a", WEIGHTS, 8);
    let first = fleet.decide(&chain).expect("servers are idle");
    assert_eq!((first.reason, first.hit_pieces), (RouteReason::PrefixHome, 0));
    let request = fleet.request(&chain, RequestClass::Short);
    let key = fleet.router.dispatched(fleet.now, &request, &first);
    fleet.wait(300);
    fleet.router.first_token(fleet.now, key, None);
    fleet.router.finished(fleet.now, key);
    let second = fleet.decide(&chain).expect("servers are idle");
    assert_eq!(second.server, first.server);
    assert_eq!((second.reason, second.hit_pieces), (RouteReason::PrefixHit, 8));
}

/// Guards against hits that would use cache entries of a dead engine, another workspace, older
/// weights, or a cache that was cleared.
#[test]
fn hits_end_with_life_workspace_and_weights() {
    struct Case {
        name: &'static str,
        change: fn(&mut Fleet, ServerKey),
        workspace: &'static str,
        weights: WeightsVersion,
        hit: u16,
    }
    let newer = WeightsVersion(8);
    let cases = [
        Case { name: "same", change: |_, _| {}, workspace: "a", weights: WEIGHTS, hit: 6 },
        Case { name: "workspace", change: |_, _| {}, workspace: "b", weights: WEIGHTS, hit: 0 },
        Case { name: "weights", change: |_, _| {}, workspace: "a", weights: newer, hit: 0 },
        Case {
            name: "restart",
            change: |fleet, _| {
                let model = fleet.model;
                see(&mut fleet.router, model, 0, 2, WEIGHTS);
            },
            workspace: "a",
            weights: WEIGHTS,
            hit: 0,
        },
        Case {
            name: "death",
            change: |fleet, server| {
                let model = fleet.model;
                fleet.router.server_dead(server);
                see(&mut fleet.router, model, 0, 1, WEIGHTS);
            },
            workspace: "a",
            weights: WEIGHTS,
            hit: 0,
        },
        Case {
            name: "cleared",
            change: |fleet, server| {
                let (now, life) = (fleet.now, IncarnationId(1));
                fleet.router.cache_event(now, server, life, 2, CacheUpdate::Cleared);
            },
            workspace: "a",
            weights: WEIGHTS,
            hit: 0,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::<CostPolicy>::new(1);
        let server = fleet.servers[0];
        let stored = chain("a", WEIGHTS, 6);
        let update = CacheUpdate::Stored(stored.pieces());
        let verdict = fleet.router.cache_event(fleet.now, server, IncarnationId(1), 1, update);
        assert_eq!(verdict, FeedVerdict::Apply, "{}", case.name);
        (case.change)(&mut fleet, server);
        let chain = chain(case.workspace, case.weights, 6);
        let decision = fleet.decide(&chain).expect("the server is idle");
        assert_eq!(decision.hit_pieces, case.hit, "{}", case.name);
    }
}

/// Guards against a lookup that miscounts prefixes that end inside a group of pieces, at different
/// places on different servers.
#[test]
fn each_server_has_its_own_prefix_length() {
    struct Case {
        pieces: usize,
        held: [usize; 3],
    }
    let cases = [
        Case { pieces: 1, held: [1, 0, 1] },
        Case { pieces: 3, held: [2, 3, 0] },
        Case { pieces: 8, held: [8, 4, 3] },
        Case { pieces: 11, held: [11, 9, 7] },
        Case { pieces: 70, held: [70, 66, 5] },
    ];
    for case in cases {
        let mut fleet = Fleet::<CostPolicy>::new(3);
        let chain = chain("a", WEIGHTS, case.pieces);
        for (&server, held) in fleet.servers.clone().iter().zip(case.held) {
            let update = CacheUpdate::Stored(&chain.pieces()[..held]);
            fleet.router.cache_event(fleet.now, server, IncarnationId(1), 1, update);
        }
        let decision = fleet.decide(&chain).expect("servers are idle");
        for candidate in decision.candidates.iter() {
            let number = fleet.servers.iter().position(|&server| server == candidate.server);
            let held = number.map(|number| case.held[number] as u16);
            assert_eq!(Some(candidate.hit_pieces), held, "{} pieces", case.pieces);
        }
        let longest = *case.held.iter().max().expect("three servers") as u16;
        assert_eq!(decision.hit_pieces, longest, "{} pieces", case.pieces);
    }
}

/// Guards against new work for servers that leave, are excluded or hold other weights, and against
/// wrong refusals.
#[test]
fn refusals_name_their_cause() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Fleet),
        expected: RouteRefusal,
    }
    let cases = [
        Case {
            name: "dead",
            prepare: |fleet| fleet.router.server_dead(fleet.servers[0]),
            expected: RouteRefusal::NoServer,
        },
        Case {
            name: "leaving",
            prepare: |fleet| fleet.router.server_leaving(fleet.servers[0], true),
            expected: RouteRefusal::NoneEligible,
        },
        Case {
            name: "restarted while leaving",
            prepare: |fleet| {
                let model = fleet.model;
                fleet.router.server_leaving(fleet.servers[0], true);
                see(&mut fleet.router, model, 0, 2, WEIGHTS);
            },
            expected: RouteRefusal::NoneEligible,
        },
        Case {
            name: "unreachable",
            prepare: |fleet| fleet.router.server_unreachable(fleet.servers[0], true),
            expected: RouteRefusal::NoneEligible,
        },
        Case {
            name: "older weights",
            prepare: |fleet| {
                let model = fleet.model;
                see(&mut fleet.router, model, 0, 1, WeightsVersion(6));
            },
            expected: RouteRefusal::NoneEligible,
        },
        Case {
            name: "full",
            prepare: |fleet| {
                let load = ReportedLoad { running: 16, waiting: 40, waiting_tokens: 0 };
                let server = fleet.servers[0];
                fleet.router.load_report(fleet.now, server, IncarnationId(1), load);
            },
            expected: RouteRefusal::Saturated { retry_after: Duration::from_secs(1) },
        },
    ];
    for case in cases {
        let mut fleet = Fleet::<CostPolicy>::new(1);
        (case.prepare)(&mut fleet);
        let refusal = fleet.decide(&chain("a", WEIGHTS, 3)).err();
        assert_eq!(refusal, Some(case.expected), "{}", case.name);
    }
}

/// Guards against a slow server that keeps its share of the traffic until its load report shows
/// the slowness, and against one that never gets traffic again.
#[test]
fn a_straggler_loses_its_traffic_and_recovers_by_probes() {
    let mut fleet = Fleet::<CostPolicy>::new(6);
    let slow = fleet.servers[2];
    let mut counts = [0u32; 3];
    for round in 0..900u64 {
        let phase = (round / 300) as usize;
        let prompt: Vec<u8> = round.to_le_bytes().repeat(32);
        let salt = ChainSalt::new("a", "m", WEIGHTS);
        let chain = PrefixChain::from_prompt(&salt, &prompt, PIECE_BYTES);
        let decision = fleet.decide(&chain).expect("five servers are fast");
        let request = fleet.request(&chain, RequestClass::Short);
        let key = fleet.router.dispatched(fleet.now, &request, &decision);
        counts[phase] += u32::from(decision.server == slow);
        let slowed = decision.server == slow && phase == 1;
        let took = decision.cost.first_token() * if slowed { 6.0 } else { 1.0 };
        fleet.wait(took.max(1.0) as u64);
        fleet.router.first_token(fleet.now, key, None);
        fleet.wait(20);
        fleet.router.finished(fleet.now, key);
    }
    let [before, during, after] = counts;
    assert!(during * 2 < before, "straggler got {during} of 300, normally {before}");
    assert!(after > during, "recovered server got {after} of 300, as straggler {during}");
}

/// Guards against engines that are taken for stragglers because they compute prompts between the
/// tokens of their streams: in a crest half of a fleet was held back for as long as one stream ran.
#[test]
fn an_engine_that_computes_prompts_is_no_straggler() {
    struct Case {
        name: &'static str,
        own_prompt: bool,
        reported_tokens: u64,
        is_straggler: bool,
    }
    let cases = [
        Case { name: "idle", own_prompt: false, reported_tokens: 0, is_straggler: true },
        Case { name: "own prompt", own_prompt: true, reported_tokens: 0, is_straggler: false },
        Case {
            name: "prompts of other entries",
            own_prompt: false,
            reported_tokens: 24_000,
            is_straggler: false,
        },
    ];
    for case in cases {
        let mut fleet = Fleet::<CostPolicy>::new(4);
        let chain = chain("a", WEIGHTS, 4);
        let mut streams = Vec::new();
        for _ in 0..4 {
            let decision = fleet.decide(&chain).expect("servers are idle");
            let request = fleet.request(&chain, RequestClass::Short);
            for server in fleet.servers.clone() {
                let decision = RouteDecision { server, ..decision };
                let key = fleet.router.dispatched(fleet.now, &request, &decision);
                fleet.wait(decision.cost.first_token().max(5.0) as u64);
                fleet.router.first_token(fleet.now, key, None);
                streams.push((server, key));
            }
        }
        fleet.wait(2_000);
        let busy = fleet.servers[0];
        let is_straggler = |fleet: &Fleet| {
            let record = fleet.router.table().get(busy);
            record.is_some_and(|record| record.straggler.is_straggler())
        };
        assert!(!is_straggler(&fleet), "{}: before the gaps", case.name);
        if case.own_prompt {
            let decision = fleet.decide(&chain).expect("servers are idle");
            let decision = RouteDecision { server: busy, hit_pieces: 0, ..decision };
            let request = fleet.request(&chain, RequestClass::Short);
            fleet.router.dispatched(fleet.now, &request, &decision);
        }
        let report = ReportedLoad { running: 4, waiting: 1, waiting_tokens: case.reported_tokens };
        fleet.router.load_report(fleet.now, busy, IncarnationId(1), report);
        for _ in 0..20 {
            fleet.wait(100);
            for &(server, key) in &streams {
                let gap = if server == busy { 32 } else { 9 };
                fleet.router.token_gap(fleet.now, key, Duration::from_millis(gap));
            }
        }
        assert_eq!(is_straggler(&fleet), case.is_straggler, "{}", case.name);
    }
}

/// Guards against a prefix that is forgotten because the response to its first prompt reveals the
/// server's life, as after the start of an entry.
#[test]
fn a_prefix_survives_the_first_known_life() {
    let mut fleet = Fleet::<CostPolicy>::new(2);
    let chain = chain("a", WEIGHTS, 4);
    let decision = fleet.decide(&chain).expect("servers are idle");
    let request = fleet.request(&chain, RequestClass::Short);
    fleet.router.dispatched(fleet.now, &request, &decision);
    let (server, life) = (decision.server, IncarnationId(9));
    fleet.router.incarnation_seen(server, life);
    fleet.router.prefix_computed(fleet.now, server, IncarnationId(1), &chain);
    assert_eq!(fleet.decide(&chain).map(|decision| decision.hit_pieces), Ok(0));
    fleet.router.prefix_computed(fleet.now, server, life, &chain);
    let second = fleet.decide(&chain).expect("servers are idle");
    assert_eq!((second.server, second.hit_pieces), (server, 4));
}

/// Guards against lost attempts holding a slot for ever, and against counting them twice.
#[test]
fn ended_attempts_release_their_slots() {
    let mut fleet = Fleet::<CostPolicy>::new(1);
    let chain = chain("a", WEIGHTS, 2);
    let request = fleet.request(&chain, RequestClass::Long);
    let decision = fleet.decide(&chain).expect("the server is idle");
    let keys: Vec<_> =
        (0..4).map(|_| fleet.router.dispatched(fleet.now, &request, &decision)).collect();
    let server = fleet.servers[0];
    fleet.router.finished(fleet.now, keys[0]);
    fleet.router.finished(fleet.now, keys[0]);
    fleet.router.failed(fleet.now, keys[1], FailureKind::Broken);
    let long = |fleet: &Fleet| fleet.router.table().get(server).map(|r| r.in_flight.long);
    assert_eq!(long(&fleet), Some(2));
    fleet.router.incarnation_seen(server, IncarnationId(2));
    assert_eq!(long(&fleet), Some(0));
    fleet.router.finished(fleet.now, keys[2]);
    assert_eq!(long(&fleet), Some(0));
}

/// Guards against baselines that fail or ignore a server, which would make comparisons void.
#[test]
fn baselines_spread_over_all_servers() {
    fn servers_used<P: RoutingPolicy>() -> usize {
        let mut fleet = Fleet::<P>::new(6);
        let mut used = std::collections::HashSet::new();
        for number in 0..200u32 {
            let chain = chain(&format!("w{number}"), WEIGHTS, 4);
            let decision = fleet.decide(&chain).expect("servers are idle");
            assert_eq!(decision.reason, RouteReason::Baseline);
            used.insert(decision.server);
        }
        used.len()
    }
    assert_eq!(servers_used::<RoundRobin>(), 6);
    assert_eq!(servers_used::<LeastLoaded>(), 6);
    assert_eq!(servers_used::<LeastLoadedPrefix>(), 6);
    assert_eq!(servers_used::<PrefixHashing>(), 6);
}

/// Guards against a refusal for want of servers while the only one that is left is a straggler or
/// is full: it is used, or the request waits.
#[test]
fn the_last_server_is_used_or_waited_for() {
    struct Case {
        name: &'static str,
        in_flight: usize,
        is_saturated: bool,
    }
    let cases = [
        Case { name: "straggler with a slot", in_flight: 0, is_saturated: false },
        Case { name: "straggler without a slot", in_flight: 64, is_saturated: true },
    ];
    for case in cases {
        let mut fleet = Fleet::<CostPolicy>::new(3);
        let chain = chain("a", WEIGHTS, 0);
        let excluded = [fleet.servers[0], fleet.servers[1]];
        let request =
            RouteRequest { excluded: &excluded, ..fleet.request(&chain, RequestClass::Short) };
        let slow = fleet.router.decide(fleet.now, &request, &mut fleet.rng).unwrap();
        for _ in 0..20 {
            let key = fleet.router.dispatched(fleet.now, &request, &slow);
            fleet.wait(5_000);
            fleet.router.first_token(fleet.now, key, None);
            fleet.router.finished(fleet.now, key);
        }
        for _ in 0..case.in_flight {
            fleet.router.dispatched(fleet.now, &request, &slow);
        }
        let refusal = fleet.router.decide(fleet.now, &request, &mut fleet.rng).err();
        let is_saturated = matches!(refusal, Some(RouteRefusal::Saturated { .. }));
        assert_eq!(is_saturated, case.is_saturated, "{}: {refusal:?}", case.name);
        assert_eq!(refusal.is_some(), case.is_saturated, "{}: {refusal:?}", case.name);
    }
}
