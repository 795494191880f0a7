//! Placement at servers whose KV memory is used up before their slots.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    traffic::{
        DEFAULT_PRIORITY, ListingState, ModelWeights, PlacementPlanner, PlacementRequest,
        PromptPart, PromptShape, ServerListing, ServerLoad, ServerRegistry, SoftwareRule,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SERVICE: &str = "engines";
const MODEL: &str = "model";
const CAPACITY: u64 = 94_882;

fn registry(servers: usize) -> (ServerRegistry, Vec<ServerKey>) {
    let mut registry = ServerRegistry::default();
    for index in 0..servers {
        let weights = ModelWeights { model: MODEL.to_string(), version: WeightsVersion(1) };
        registry.apply_listing(ServerListing {
            instance: format!("i{index}"),
            started_at_ms: 1,
            software: None,
            service: SERVICE.to_string(),
            address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            data_centre: "a".to_string(),
            slots: 64,
            state: ListingState::Ready,
            weights: vec![weights],
        });
    }
    let keys = (0..servers).filter_map(|index| registry.key_of(&format!("i{index}"))).collect();
    (registry, keys)
}

fn choose(
    now: ClockTime,
    registry: &ServerRegistry,
    tokens: u32,
    rng: &mut SmallRng,
) -> Option<ServerKey> {
    let planner = PlacementPlanner::new("a".to_string(), Duration::from_secs(8));
    let prompt = PromptShape {
        parts: [PromptPart { id: 1, tokens }].into_iter().collect(),
        prompt_tokens: tokens,
        max_output_tokens: 9,
    };
    let request = PlacementRequest {
        service: SERVICE,
        model: Some(MODEL),
        prompt: &prompt,
        cache_scope: 0,
        priority: DEFAULT_PRIORITY,
        kv_capacity: CAPACITY,
        software: &SoftwareRule::Any,
        bytes: 0,
        nodes: 9,
    };
    planner.choose(now, registry, &request, &[], rng).ok().map(|choice| choice.server)
}

/// Guards against requests that a server cannot hold, and against choosing a server whose memory other
/// nodes' requests fill while another one has room.
#[test]
fn requests_go_where_they_fit() {
    struct Case {
        name: &'static str,
        tokens: u32,
        own: u64,
        /// Requests of other nodes of 9,000 tokens each.
        peers: u64,
        /// Busy requests that the first server reports.
        busy: u32,
        /// Whether the first of two servers may be chosen, and whether any is chosen.
        first: bool,
        any: bool,
    }
    let idle =
        Case { name: "idle", tokens: 9_190, own: 0, peers: 0, busy: 0, first: true, any: true };
    let cases = [
        Case { name: "larger than the memory", tokens: 94_880, first: false, any: false, ..idle },
        Case { name: "as large as the memory", tokens: 94_873, ..idle },
        Case { name: "own requests fill it", own: 85_700, busy: 1, first: false, ..idle },
        Case { name: "own requests leave room", own: 60_000, busy: 1, ..idle },
        Case { name: "others fill it", peers: 10, busy: 10, first: false, ..idle },
        Case { name: "others have ended", peers: 10, busy: 1, ..idle },
        idle,
    ];
    for case in cases {
        let (mut registry, keys) = registry(2);
        let now = ClockTime::from_millis(1_000);
        let server = registry.get_mut(keys[0]).expect("it is listed");
        if case.own > 0 {
            server.kv_memory.add_own(1, case.own);
        }
        (0..case.peers).for_each(|request| server.kv_memory.add_peer(now, 10 + request, 9_000));
        let load = ServerLoad { running: case.busy, slots: 64, ..ServerLoad::default() };
        server.health.on_load_report(now, load);
        let mut rng = SmallRng::seed_from_u64(3);
        let chosen: Vec<_> =
            (0..60).filter_map(|_| choose(now, &registry, case.tokens, &mut rng)).collect();
        assert_eq!(!chosen.is_empty(), case.any, "{}", case.name);
        // An idle second server is as good, so it gets a share in any case.
        assert_eq!(chosen.contains(&keys[0]), case.first, "{}", case.name);
    }
}

/// Guards against requests of one node that together exceed the memory of a server, which ends then.
#[test]
fn own_requests_never_exceed_the_memory() {
    let (mut registry, keys) = registry(3);
    let mut rng = SmallRng::seed_from_u64(11);
    let mut running: Vec<(ServerKey, u64, u64)> = Vec::new();
    let mut refused = 0;
    for number in 0..4_000 {
        let now = ClockTime::from_millis(1_000 + number * 3);
        if rng.random_bool(0.45) && !running.is_empty() {
            let (key, request, _) = running.swap_remove(rng.random_range(0..running.len()));
            let server = registry.get_mut(key).expect("it is listed");
            server.kv_memory.release_own(now, request);
        }
        let tokens = rng.random_range(100..40_000);
        let Some(key) = choose(now, &registry, tokens, &mut rng) else {
            refused += 1;
            continue;
        };
        let server = registry.get_mut(key).expect("it is listed");
        server.kv_memory.add_own(number, u64::from(tokens) + 9);
        running.push((key, number, u64::from(tokens) + 9));
        for key in &keys {
            let held = running.iter().filter(|(server, _, _)| server == key);
            assert!(held.map(|(_, _, tokens)| tokens).sum::<u64>() <= CAPACITY, "at {number}");
        }
    }
    assert!(refused > 100, "the memory is used up at times: {refused}");
}
