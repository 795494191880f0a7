//! Copies of prefixes that many requests ask for.

use std::{collections::BTreeSet, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    traffic::{
        CacheConfidence, DEFAULT_PRIORITY, ListingState, ModelWeights, PlacementPlanner,
        PlacementRequest, PrefixHeat, PromptPart, PromptShape, ServerListing, ServerRegistry,
        SoftwareRule, cache_salt,
    },
};
use rand::{SeedableRng, rngs::SmallRng};

const VERSION: WeightsVersion = WeightsVersion(1);
const PREFIX: u64 = 5;

fn at(ms: u64) -> ClockTime {
    ClockTime::from_millis(50_000 + ms)
}

/// Guards against a hot prefix with one holder, and against copies of prefixes that are not hot any more.
#[test]
fn the_number_of_copies_follows_the_rate() {
    struct Case {
        name: &'static str,
        requests_per_s: u64,
        /// Time without requests after 20 s of them.
        pause_ms: u64,
        copies: usize,
    }
    let cases = [
        Case { name: "none", requests_per_s: 0, pause_ms: 0, copies: 1 },
        Case { name: "one a second", requests_per_s: 1, pause_ms: 0, copies: 1 },
        Case { name: "hot", requests_per_s: 5, pause_ms: 0, copies: 3 },
        Case { name: "as hot as all", requests_per_s: 100, pause_ms: 0, copies: 8 },
        Case { name: "no longer hot", requests_per_s: 5, pause_ms: 20_000, copies: 1 },
    ];
    for case in cases {
        let mut heat = PrefixHeat::default();
        for number in 0..20 * case.requests_per_s {
            heat.on_request(at(number * 1_000 / case.requests_per_s), PREFIX);
        }
        let now = at(20_000 + case.pause_ms);
        assert_eq!(heat.copies(now, PREFIX, 100.0), case.copies, "{}", case.name);
        assert_eq!(heat.copies(now, PREFIX + 1, 100.0), 1, "{}", case.name);
    }
}

/// Guards against rates that take memory without limit, and against a hot prefix that is forgotten for
/// rare ones.
#[test]
fn rare_prefixes_make_room() {
    let mut heat = PrefixHeat::default();
    for number in 0..20_000 {
        heat.on_request(at(number / 10), 1_000 + number);
        heat.on_request(at(number / 10), PREFIX);
    }
    assert!(heat.rate(at(2_000), PREFIX) > 100.0);
    let known = (1_000..21_000).filter(|prefix| heat.rate(at(2_000), *prefix) > 0.0).count();
    assert!(known <= 4_096, "{known} prefixes");
}

fn prompt() -> PromptShape {
    let part = |id: u64, tokens: u32| PromptPart { id, tokens };
    PromptShape {
        parts: [part(PREFIX, 6_300), part(1, 2_890)].into_iter().collect(),
        prompt_tokens: 9_190,
        max_output_tokens: 9,
    }
}

fn registry() -> ServerRegistry {
    let mut registry = ServerRegistry::default();
    for index in 0..20_u16 {
        registry.apply_listing(ServerListing {
            instance: format!("i{index}"),
            started_at_ms: 1,
            software: None,
            service: "engines".to_string(),
            address: ([127, 0, 0, 1], 800 + index).into(),
            data_centre: "a".to_string(),
            slots: 64,
            state: ListingState::Ready,
            weights: vec![ModelWeights { model: "model".to_string(), version: VERSION }],
        });
    }
    registry
}

/// A planner whose pool of servers for long prompts is as large as the service, and stays so.
fn planner() -> PlacementPlanner {
    let mut planner = PlacementPlanner::new("a".to_string(), Duration::from_secs(8));
    (0..200).for_each(|_| planner.on_prompt(at(20_000), "engines", &prompt(), None));
    planner
}

fn choose(
    planner: &PlacementPlanner,
    registry: &ServerRegistry,
    now: ClockTime,
    seed: u64,
) -> ServerKey {
    let prompt = prompt();
    let request = PlacementRequest {
        service: "engines",
        model: Some("model"),
        prompt: &prompt,
        cache_scope: 0,
        priority: DEFAULT_PRIORITY,
        kv_capacity: 0,
        software: &SoftwareRule::Any,
        bytes: 1_000,
        nodes: 9,
    };
    let mut rng = SmallRng::seed_from_u64(seed);
    planner.choose(now, registry, &request, &[], &mut rng).expect("it is free").server
}

/// Servers that get requests for the prefix, which one of them holds at first.
fn used_servers(rate_per_s: u64) -> usize {
    let (registry, mut planner) = (registry(), planner());
    let (salt, prompt) = (cache_salt(0, VERSION), prompt());
    for number in 0..20 * rate_per_s {
        planner.heat.on_request(at(number * 1_000 / rate_per_s), PREFIX ^ salt);
    }
    let mut used: BTreeSet<ServerKey> = BTreeSet::new();
    for number in 0..100 {
        let now = at(20_000 + number);
        let server = choose(&planner, &registry, now, number);
        used.insert(server);
        let (parts, confirmed) = (prompt.shared_parts(), CacheConfidence::Confirmed);
        planner.cache.record(now, server, salt, parts, confirmed);
    }
    used.len()
}

/// Guards against nodes that send a prefix to different servers when its home is silent or loaded, and against
/// a prefix that does not return to its home.
#[test]
fn a_prefix_has_a_second_home() {
    let (mut registry, planner) = (registry(), planner());
    let now = at(20_000);
    let chosen = |registry: &ServerRegistry| -> BTreeSet<ServerKey> {
        (0..20).map(|seed| choose(&planner, registry, now, seed)).collect()
    };
    let homes = chosen(&registry);
    assert_eq!(homes.len(), 1, "all nodes choose the same server");
    let home = *homes.first().expect("a home");
    let known = registry.get_mut(home).expect("it is listed");
    known.prefill_backlog.add(now, 1, 20_000, DEFAULT_PRIORITY);
    let second = chosen(&registry);
    assert_eq!(second.len(), 1, "loaded: {second:?}");
    let known = registry.get_mut(home).expect("it is listed");
    known.prefill_backlog.remove(1);
    for node in [1, 2] {
        known.silence.on_report(now, node, now - Duration::from_millis(300));
    }
    known.silence.update(now, 9);
    assert_eq!(chosen(&registry), second, "silent");
    let known = registry.get_mut(home).expect("it is listed");
    known.silence.on_heard(now);
    known.silence.update(now, 9);
    assert_eq!(chosen(&registry), homes, "it is back");
}

/// Guards against copies of a hot prefix that are made only once its holder is overloaded.
#[test]
fn a_hot_prefix_gets_copies_while_servers_are_idle() {
    assert_eq!(used_servers(1), 1);
    let copies = used_servers(5);
    assert!((2..=4).contains(&copies), "{copies} copies");
}
