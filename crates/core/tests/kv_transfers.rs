//! Fetches of KV cache, compared with the prefill that they spare.

use std::{collections::HashMap, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    traffic::{
        CacheConfidence, CacheSource, DEFAULT_PRIORITY, EngineLinks, KvTransfers, ListingState,
        ModelWeights, PlacementPlanner, PlacementRequest, PromptPart, PromptShape, ServerListing,
        ServerRegistry, SoftwareRule, StoreId, StoreSite, cache_salt,
    },
};
use rand::{SeedableRng, rngs::SmallRng};

const VERSION: WeightsVersion = WeightsVersion(1);
const STORE: StoreId = StoreId(1);

fn now() -> ClockTime {
    ClockTime::from_millis(50_000)
}

fn links(token_bytes: f64, mbps: Option<f64>) -> HashMap<String, EngineLinks> {
    HashMap::from([("engines".to_string(), EngineLinks { token_bytes, mbps })])
}

/// Guards against fetches whose time is not that of the configured links.
#[test]
fn a_transfer_takes_the_time_of_the_slower_link() {
    struct Case {
        name: &'static str,
        engine_mbps: Option<f64>,
        store_mbps: Option<f64>,
        is_remote: bool,
        /// Time for 1,000 tokens of 1,000 bytes.
        ms: f64,
    }
    let usual = Case {
        name: "equal",
        engine_mbps: Some(800.0),
        store_mbps: Some(800.0),
        is_remote: false,
        ms: 10.0,
    };
    let cases = [
        Case { name: "slow store", store_mbps: Some(400.0), ms: 20.0, ..usual },
        Case { name: "slow engine", engine_mbps: Some(100.0), ms: 80.0, ..usual },
        Case { name: "another data centre", is_remote: true, ms: 20.0, ..usual },
        Case { name: "unknown", engine_mbps: None, store_mbps: None, ms: 6.0, ..usual },
        Case { name: "no speed at all", engine_mbps: Some(0.0), ..usual },
        usual,
    ];
    for case in cases {
        let mut transfers = KvTransfers::default();
        let stores = case.store_mbps.map(|mbps| (STORE, mbps)).into_iter().collect();
        transfers.configure(links(1_000.0, case.engine_mbps), stores);
        let source = CacheSource::Store(STORE);
        let ms = transfers.fetch_ms(now(), "engines", source, 1_000, case.is_remote);
        // One more for the query.
        assert!(ms.is_some_and(|ms| (ms - case.ms - 1.0).abs() < 0.01), "{}: {ms:?}", case.name);
    }
}

/// Guards against fetches that wait for seconds behind others on the link of their source.
#[test]
fn transfers_follow_one_another_on_a_link() {
    let mut transfers = KvTransfers::default();
    transfers.configure(links(1_000.0, Some(8.0)), HashMap::new());
    let source = CacheSource::Store(STORE);
    let fetch = |transfers: &KvTransfers, source, tokens| {
        transfers.fetch_ms(now(), "engines", source, tokens, false).map(f64::round)
    };
    assert_eq!(fetch(&transfers, source, 1_000), Some(1_001.0));
    transfers.on_started(now(), "engines", source, 1_000, false);
    assert_eq!(fetch(&transfers, source, 1_000), Some(2_001.0));
    transfers.on_started(now(), "engines", source, 1_001, false);
    assert_eq!(fetch(&transfers, source, 1), None, "it would wait more than two seconds");
    assert_eq!(fetch(&transfers, CacheSource::Store(StoreId(2)), 1_000), Some(1_001.0));
    let later = now() + Duration::from_secs(3);
    assert!(transfers.fetch_ms(later, "engines", source, 1, false).is_some());
}

struct FetchFixture {
    planner: PlacementPlanner,
    registry: ServerRegistry,
    keys: Vec<ServerKey>,
}

impl FetchFixture {
    fn new(token_bytes: f64, mbps: f64) -> FetchFixture {
        let mut registry = ServerRegistry::default();
        for (index, data_centre) in ["a", "a", "b"].into_iter().enumerate() {
            registry.apply_listing(ServerListing {
                instance: format!("i{index}"),
                started_at_ms: 1,
                software: None,
                service: "engines".to_string(),
                address: ([127, 0, 0, 1], 800 + index as u16).into(),
                data_centre: data_centre.to_string(),
                slots: 64,
                state: ListingState::Ready,
                weights: vec![ModelWeights { model: "model".to_string(), version: VERSION }],
            });
        }
        let keys = (0..3).filter_map(|index| registry.key_of(&format!("i{index}"))).collect();
        let mut planner = PlacementPlanner::new("a".to_string(), Duration::from_secs(8));
        planner.transfers.configure(links(token_bytes, Some(mbps)), HashMap::new());
        FetchFixture { planner, registry, keys }
    }

    fn hold(&mut self, server: usize) {
        let salt = cache_salt(0, VERSION);
        let (parts, confirmed) = (prompt(), CacheConfidence::Confirmed);
        self.planner.cache.record(now(), self.keys[server], salt, parts.shared_parts(), confirmed);
    }

    /// Where the first server, the only one left, fetches from, and how many tokens it need not prefill.
    fn fetch(&mut self) -> (Option<CacheSource>, u32) {
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
        let mut rng = SmallRng::seed_from_u64(7);
        let tried = &self.keys[1..];
        let chosen = self.planner.choose(now(), &self.registry, &request, tried, &mut rng);
        let choice = chosen.expect("it is free");
        self.planner.on_fetch_started(now(), &self.registry, "engines", &choice);
        (choice.fetch_from, choice.cached_tokens)
    }
}

fn prompt() -> PromptShape {
    let part = |id: u64, tokens: u32| PromptPart { id, tokens };
    PromptShape {
        parts: [part(5, 6_300), part(1, 2_890)].into_iter().collect(),
        prompt_tokens: 9_190,
        max_output_tokens: 9,
    }
}

/// Guards against fetches that take longer than the prefill, and against prefills that a fetch would spare.
#[test]
fn the_shorter_of_fetch_and_prefill_is_chosen() {
    struct Case {
        name: &'static str,
        /// Time of the transfer of the shared tokens within a data centre, in ms.
        transfer_ms: f64,
        holders: &'static [usize],
        fetches_from: Option<usize>,
    }
    let cases = [
        Case { name: "fast", transfer_ms: 30.0, holders: &[1], fetches_from: Some(1) },
        Case { name: "slow", transfer_ms: 1_500.0, holders: &[1], fetches_from: None },
        Case { name: "nearer", transfer_ms: 30.0, holders: &[1, 2], fetches_from: Some(1) },
        Case { name: "farther", transfer_ms: 30.0, holders: &[2], fetches_from: Some(2) },
        Case { name: "too far", transfer_ms: 400.0, holders: &[2], fetches_from: None },
    ];
    for case in cases {
        let mbps = 6_300.0 * 1_000.0 * 8.0 / 1_000.0 / case.transfer_ms;
        let mut fixture = FetchFixture::new(1_000.0, mbps);
        case.holders.iter().for_each(|holder| fixture.hold(*holder));
        let (source, cached) = fixture.fetch();
        let expected = case.fetches_from.map(|index| CacheSource::Server(fixture.keys[index]));
        assert_eq!(source, expected, "{}", case.name);
        assert_eq!(cached, if expected.is_some() { 6_300 } else { 0 }, "{}", case.name);
    }
}

/// Guards against one holder whose link all fetches wait for, while another one is idle.
#[test]
fn fetches_spread_over_holders() {
    let mut fixture = FetchFixture::new(1_000.0, 500.0);
    fixture.hold(1);
    fixture.hold(2);
    let mut sources: Vec<Option<CacheSource>> = (0..4).map(|_| fixture.fetch().0).collect();
    sources.dedup();
    assert!(sources.len() > 1, "{sources:?}");
}

/// Guards against a silent server that others fetch from.
#[test]
fn nothing_is_fetched_from_a_silent_server() {
    let mut fixture = FetchFixture::new(1_000.0, 10_000.0);
    fixture.hold(1);
    let known = fixture.registry.get_mut(fixture.keys[1]).expect("it is listed");
    for node in [1, 2] {
        known.silence.on_report(now(), node, now() - Duration::from_millis(300));
    }
    known.silence.update(now(), 9);
    assert_eq!(fixture.fetch(), (None, 0));
}

/// Guards against a store that is asked although the way to it takes longer than a prefill.
#[test]
fn an_unknown_store_is_asked_only_if_a_hit_would_pay() {
    for (mbps, asked) in [(10_000.0, true), (10.0, false)] {
        let mut fixture = FetchFixture::new(1_000.0, mbps);
        let site = StoreSite::new("store", ([127, 0, 0, 1], 900).into(), "a");
        fixture.planner.stores.configure(vec![site.clone()]);
        let source = asked.then_some(CacheSource::Store(site.id));
        assert_eq!(fixture.fetch(), (source, 0));
    }
}
