//! Tests of the decisions of `PrefixRouter`.

mod load;

use std::time::Duration;

use carobvane_core::{
    arena::ArenaKey,
    clock::ClockTime,
    ids::{AddressId, IncarnationId, ModelKey, ServerKey, WeightsVersion},
    prefix::{ChainSalt, EventAction, PrefixChain},
    routing::{
        CacheUpdate, CostPolicy, FailureKind, LeastLoaded, LeastLoadedPrefix, PrefixHashing,
        PrefixRouter, ReportedLoad, RequestClass, RoundRobin, RouteDecision, RouteReason,
        RouteRefusal, RouteRequest, RouterSettings, RoutingPolicy, ServerUpdate,
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
        let servers =
            (0..servers).map(|n| upsert_server(&mut router, model, n, 1, WEIGHTS)).collect();
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
            exclusive: false,
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }
}

fn upsert_server<P: RoutingPolicy>(
    router: &mut PrefixRouter<P>,
    model: ModelKey,
    number: usize,
    incarnation: u64,
    weights: WeightsVersion,
) -> ServerKey {
    let update = ServerUpdate {
        address: AddressId::from_address(&format!("127.0.0.1:{}", 8_000 + number)),
        incarnation: IncarnationId(incarnation),
        models: &[(model, weights)],
        slots: 16,
    };
    router
        .upsert_server(&update)
        .expect("the table has room and the incarnation is not an earlier one")
}

fn chain(workspace: &str, weights: WeightsVersion, pieces: usize) -> PrefixChain {
    let prompt: Vec<u8> = (0..pieces * PIECE_BYTES).map(|n| (n / PIECE_BYTES) as u8).collect();
    PrefixChain::from_prompt(&ChainSalt::new(workspace, "m", weights), &prompt, PIECE_BYTES)
}

/// Guards against computing a prefix again on another server while the server that holds it is
/// idle.
#[test]
fn repeated_prefix_is_routed_to_its_holder() {
    let mut fleet = Fleet::<CostPolicy>::new(18);
    let chain = chain("a", WEIGHTS, 8);
    let first = fleet.decide(&chain).expect("servers are idle");
    assert_eq!((first.reason, first.hit_pieces), (RouteReason::PrefixHome, 0));
    let request = fleet.request(&chain, RequestClass::Short);
    let key = fleet.router.record_dispatch(fleet.now, &request, &first);
    fleet.advance(300);
    fleet.router.record_first_token(fleet.now, key, None);
    fleet.router.finish_dispatch(fleet.now, key);
    let second = fleet.decide(&chain).expect("servers are idle");
    assert_eq!(second.server, first.server);
    assert_eq!((second.reason, second.hit_pieces), (RouteReason::PrefixHit, 8));
}

/// Guards against counting cache entries as hits after the engine died or cleared its cache, and
/// for another workspace or other weights.
#[test]
fn hits_require_same_incarnation_workspace_and_weights() {
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
                upsert_server(&mut fleet.router, model, 0, 2, WEIGHTS);
            },
            workspace: "a",
            weights: WEIGHTS,
            hit: 0,
        },
        Case {
            name: "death",
            change: |fleet, server| {
                let model = fleet.model;
                fleet.router.remove_server(server);
                upsert_server(&mut fleet.router, model, 0, 1, WEIGHTS);
            },
            workspace: "a",
            weights: WEIGHTS,
            hit: 0,
        },
        Case {
            name: "cleared",
            change: |fleet, server| {
                let (now, incarnation) = (fleet.now, IncarnationId(1));
                fleet.router.apply_cache_event(now, server, incarnation, 2, CacheUpdate::Cleared);
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
        let action = fleet.router.apply_cache_event(fleet.now, server, IncarnationId(1), 1, update);
        assert_eq!(action, EventAction::Apply, "{}", case.name);
        (case.change)(&mut fleet, server);
        let chain = chain(case.workspace, case.weights, 6);
        let decision = fleet.decide(&chain).expect("the server is idle");
        assert_eq!(decision.hit_pieces, case.hit, "{}", case.name);
    }
}

/// Guards against a lookup that counts wrongly when prefixes end inside a group of pieces, at
/// different places on different servers.
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
            fleet.router.apply_cache_event(fleet.now, server, IncarnationId(1), 1, update);
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

/// Guards against sending requests to servers that are dead, draining, unreachable, full or hold
/// other weights, and against a refusal that names the wrong reason.
#[test]
fn refusals_name_their_reason() {
    struct Case {
        name: &'static str,
        prepare: fn(&mut Fleet),
        expected: RouteRefusal,
    }
    let cases = [
        Case {
            name: "dead",
            prepare: |fleet| fleet.router.remove_server(fleet.servers[0]),
            expected: RouteRefusal::NoServer,
        },
        Case {
            name: "leaving",
            prepare: |fleet| fleet.router.set_server_draining(fleet.servers[0], true),
            expected: RouteRefusal::NoneEligible,
        },
        Case {
            name: "restarted while leaving",
            prepare: |fleet| {
                let model = fleet.model;
                fleet.router.set_server_draining(fleet.servers[0], true);
                upsert_server(&mut fleet.router, model, 0, 2, WEIGHTS);
            },
            expected: RouteRefusal::NoneEligible,
        },
        Case {
            name: "unreachable",
            prepare: |fleet| fleet.router.set_server_unreachable(fleet.servers[0], true),
            expected: RouteRefusal::NoneEligible,
        },
        Case {
            name: "older weights",
            prepare: |fleet| {
                let model = fleet.model;
                upsert_server(&mut fleet.router, model, 0, 1, WeightsVersion(6));
            },
            expected: RouteRefusal::NoneEligible,
        },
        Case {
            name: "full",
            prepare: |fleet| {
                let load = ReportedLoad { running: 16, waiting: 40, waiting_tokens: 0 };
                let server = fleet.servers[0];
                fleet.router.apply_load_report(fleet.now, server, IncarnationId(1), load);
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

/// Guards against dropping the record of a prefix when the response to its first prompt is also the
/// first to name the server's incarnation, as after the start of an entry.
#[test]
fn prefix_is_kept_when_the_incarnation_becomes_known() {
    let mut fleet = Fleet::<CostPolicy>::new(2);
    let chain = chain("a", WEIGHTS, 4);
    let decision = fleet.decide(&chain).expect("servers are idle");
    let request = fleet.request(&chain, RequestClass::Short);
    fleet.router.record_dispatch(fleet.now, &request, &decision);
    let (server, incarnation) = (decision.server, IncarnationId(9));
    fleet.router.observe_incarnation(server, incarnation);
    fleet.router.record_computed_prefix(fleet.now, server, IncarnationId(1), &chain);
    assert_eq!(fleet.decide(&chain).map(|decision| decision.hit_pieces), Ok(0));
    fleet.router.record_computed_prefix(fleet.now, server, incarnation, &chain);
    let second = fleet.decide(&chain).expect("servers are idle");
    assert_eq!((second.server, second.hit_pieces), (server, 4));
}

/// Guards against attempts that hold their slot after they ended, and against releasing a slot
/// twice.
#[test]
fn ended_attempts_release_their_slots() {
    let mut fleet = Fleet::<CostPolicy>::new(1);
    let chain = chain("a", WEIGHTS, 2);
    let request = fleet.request(&chain, RequestClass::Long);
    let decision = fleet.decide(&chain).expect("the server is idle");
    let keys: Vec<_> =
        (0..4).map(|_| fleet.router.record_dispatch(fleet.now, &request, &decision)).collect();
    let server = fleet.servers[0];
    fleet.router.finish_dispatch(fleet.now, keys[0]);
    fleet.router.finish_dispatch(fleet.now, keys[0]);
    fleet.router.fail_dispatch(fleet.now, keys[1], FailureKind::Broken);
    let long = |fleet: &Fleet| fleet.router.table().get(server).map(|r| r.in_flight.long);
    assert_eq!(long(&fleet), Some(2));
    fleet.router.observe_incarnation(server, IncarnationId(2));
    assert_eq!(long(&fleet), Some(0));
    fleet.router.finish_dispatch(fleet.now, keys[2]);
    assert_eq!(long(&fleet), Some(0));
}

/// Guards against baselines that fail or ignore a server, which would invalidate comparisons.
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
