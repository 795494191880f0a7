//! Several stores of KV cache, of which some stop or start again empty.

use std::{collections::BTreeMap, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    ids::WeightsVersion,
    traffic::{
        CacheSource, DEFAULT_PRIORITY, ListingState, ModelWeights, PlacementChoice,
        PlacementPlanner, PlacementRequest, PromptPart, PromptShape, ServerListing, ServerRegistry,
        SoftwareRule, StoreId, StoreSite, cache_salt,
    },
};
use rand::{SeedableRng, rngs::SmallRng};

const CENTRES: [&str; 3] = ["a", "b", "c"];
const PREFIXES: u64 = 300;
const VERSION: WeightsVersion = WeightsVersion(1);

fn millis(ms: u64) -> ClockTime {
    ClockTime::from_millis(ms)
}

fn sites() -> Vec<StoreSite> {
    let site = |(index, centre): (usize, &&str)| {
        StoreSite::new(
            &format!("store-{centre}"),
            ([127, 0, 0, 1], 900 + index as u16).into(),
            centre,
        )
    };
    CENTRES.iter().enumerate().map(site).collect()
}

/// A planner with one engine in data centre `a`, and three stores that all respond.
struct StoreFixture {
    planner: PlacementPlanner,
    registry: ServerRegistry,
    stores: Vec<StoreId>,
}

impl StoreFixture {
    fn new(now: ClockTime) -> StoreFixture {
        let mut registry = ServerRegistry::default();
        registry.apply_listing(ServerListing {
            instance: "i0".to_string(),
            started_at_ms: 1,
            software: None,
            service: "engines".to_string(),
            address: ([127, 0, 0, 1], 800).into(),
            data_centre: CENTRES[0].to_string(),
            slots: 64,
            state: ListingState::Ready,
            weights: vec![ModelWeights { model: "model".to_string(), version: VERSION }],
        });
        let mut planner = PlacementPlanner::new("a".to_string(), Duration::from_secs(8));
        planner.stores.configure(sites());
        let stores: Vec<StoreId> = sites().iter().map(|site| site.id).collect();
        let mut fixture = StoreFixture { planner, registry, stores };
        for index in 0..CENTRES.len() {
            fixture.report(now, index, true, 1);
        }
        fixture
    }

    /// Applies a report as a node does.
    fn report(&mut self, now: ClockTime, index: usize, up: bool, epoch: u64) {
        let store = self.stores[index];
        let change = self.planner.stores.on_report(now, store, up, epoch);
        if change.is_some_and(|change| change.emptied) {
            self.planner.cache.clear_store(store);
        }
    }

    fn choose(&self, now: ClockTime, prompt: &PromptShape) -> PlacementChoice {
        let request = PlacementRequest {
            service: "engines",
            model: Some("model"),
            prompt,
            cache_scope: 0,
            priority: DEFAULT_PRIORITY,
            kv_capacity: 0,
            software: &SoftwareRule::Any,
            bytes: 1_000,
            nodes: 9,
        };
        let mut rng = SmallRng::seed_from_u64(7);
        self.planner.choose(now, &self.registry, &request, &[], &mut rng).expect("it is free")
    }

    /// The store that the engine saves each prefix to, of those that it should save.
    fn saves(&self, now: ClockTime) -> BTreeMap<u64, StoreId> {
        let chosen = (0..PREFIXES).map(|id| (id, self.choose(now, &prompt(id)).save_to_store));
        chosen.filter_map(|(id, store)| Some((id, store?))).collect()
    }

    fn record_all(&mut self, now: ClockTime) {
        let salt = cache_salt(0, VERSION);
        for (id, store) in self.saves(now) {
            self.planner.cache.record_stored(now, store, salt, prompt(id).shared_parts());
        }
    }
}

fn prompt(prefix: u64) -> PromptShape {
    let part = |id: u64, tokens: u32| PromptPart { id, tokens };
    PromptShape {
        parts: [part(5_000 + prefix, 6_300), part(1, 2_890)].into_iter().collect(),
        prompt_tokens: 9_190,
        max_output_tokens: 9,
    }
}

/// Guards against stores that hold nothing while another one is full.
#[test]
fn prefixes_spread_over_all_stores() {
    let now = millis(50_000);
    let fixture = StoreFixture::new(now);
    let saves = fixture.saves(now);
    assert_eq!(saves.len() as u64, PREFIXES);
    for store in &fixture.stores {
        let count = saves.values().filter(|saved| *saved == store).count() as u64;
        assert!(count > PREFIXES / 4 && count < PREFIXES / 2, "{count}");
    }
}

/// Guards against a store that stops, or starts again empty, and takes what the others hold with it.
#[test]
fn a_fault_of_a_store_concerns_only_its_prefixes() {
    struct Case {
        name: &'static str,
        /// Reports of the second store after it was filled: time in ms, whether it responds, epoch.
        reports: &'static [(u64, bool, u64)],
        /// Whether its prefixes go to other stores, whether they are saved again, and whether they are
        /// fetched from it.
        elsewhere: bool,
        saved_again: bool,
        fetched: bool,
    }
    let usual = Case {
        name: "no fault",
        reports: &[(100, true, 1)],
        elsewhere: false,
        saved_again: false,
        fetched: true,
    };
    let cases = [
        Case {
            name: "down",
            reports: &[(100, false, 0)],
            elsewhere: true,
            saved_again: true,
            fetched: false,
        },
        Case {
            name: "restarted",
            reports: &[(100, true, 2)],
            saved_again: true,
            fetched: false,
            ..usual
        },
        Case {
            name: "down and restarted",
            reports: &[(100, false, 0), (200, true, 2)],
            saved_again: true,
            fetched: false,
            ..usual
        },
        Case {
            name: "out of reach for a moment",
            reports: &[(100, false, 0), (200, true, 1)],
            ..usual
        },
        usual,
    ];
    for case in cases {
        let start = millis(50_000);
        let mut fixture = StoreFixture::new(start);
        let homes = fixture.saves(start);
        fixture.record_all(start);
        for (at, up, epoch) in case.reports {
            fixture.report(start + Duration::from_millis(*at), 1, *up, *epoch);
        }
        let now = start + Duration::from_millis(300);
        let second = fixture.stores[1];
        for (id, home) in homes {
            let choice = fixture.choose(now, &prompt(id));
            let name = case.name;
            if home != second {
                assert_eq!(choice.fetch_from, Some(CacheSource::Store(home)), "{name}");
                assert_eq!((choice.save_to_store, choice.cached_tokens), (None, 6_300), "{name}");
                continue;
            }
            assert_eq!(choice.save_to_store.is_some(), case.saved_again, "{name}");
            let elsewhere = choice.save_to_store.is_some_and(|store| store != second);
            assert_eq!(elsewhere, case.elsewhere, "{name}");
            let fetched =
                choice.cached_tokens > 0 && choice.fetch_from == Some(CacheSource::Store(second));
            assert_eq!(fetched, case.fetched, "{name}");
        }
    }
}

/// Guards against a prefix that is computed again when its store is back and still empty, although the
/// store that stood in for it holds it.
#[test]
fn a_stand_in_serves_its_copies_after_the_store_is_back() {
    let start = millis(50_000);
    let mut fixture = StoreFixture::new(start);
    let homes = fixture.saves(start);
    fixture.report(start, 1, false, 0);
    fixture.record_all(start);
    fixture.report(start, 1, true, 2);
    let second = fixture.stores[1];
    for (id, _) in homes.into_iter().filter(|(_, home)| *home == second) {
        let choice = fixture.choose(start, &prompt(id));
        assert_eq!((choice.save_to_store, choice.cached_tokens), (Some(second), 6_300));
        assert!(choice.fetch_from.is_some_and(|from| from != CacheSource::Store(second)));
    }
}

/// Guards against stores of which nothing is known, as while an earlier build watches only the first.
#[test]
fn only_stores_that_are_known_to_respond_are_used() {
    struct Case {
        name: &'static str,
        /// Store, whether it responds, time in ms.
        reports: &'static [(usize, bool, u64)],
        usable: &'static [usize],
    }
    let cases = [
        Case { name: "no report", reports: &[], usable: &[0] },
        Case { name: "first is down", reports: &[(0, false, 0)], usable: &[] },
        Case { name: "one further", reports: &[(2, true, 19_000)], usable: &[0, 2] },
        Case { name: "old report", reports: &[(0, true, 0), (1, true, 0)], usable: &[0] },
    ];
    for case in cases {
        let mut stores = carobvane_core::traffic::CacheStores::default();
        stores.configure(sites());
        for (index, up, at) in case.reports {
            stores.on_report(millis(*at), sites()[*index].id, *up, 1);
        }
        let usable: Vec<StoreId> = stores.usable(millis(20_000)).map(|site| site.id).collect();
        let expected: Vec<StoreId> = case.usable.iter().map(|index| sites()[*index].id).collect();
        assert_eq!(usable, expected, "{}", case.name);
        assert_eq!(stores.on_report(millis(20_000), StoreId(1), true, 1), None, "{}", case.name);
    }
}
