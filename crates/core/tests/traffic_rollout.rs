//! The rollout of new weights: which engines get load orders, and when.

use std::{collections::BTreeSet, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    orders::{LeaseEvent, LeaseTimes},
    traffic::{
        ListingState, ModelWeights, OrderReply, RolloutEffect, RolloutPlanner, RolloutSettings,
        ServerListing, ServerRegistry, SuspensionDetector, WeightsHistory,
    },
};

const MODEL: &str = "model";
const TICK: Duration = Duration::from_millis(50);

fn settings() -> RolloutSettings {
    RolloutSettings {
        lease: LeaseTimes {
            lifetime: Duration::from_millis(1_400),
            margin: Duration::from_millis(250),
            predecessor_wait: Duration::from_secs(3),
        },
        handover_gap: Duration::from_secs(3),
        old_version_lifetime: Duration::from_secs(8),
    }
}

/// Engines without requests that load in 400 ms, and a lease holder that renews its lease.
struct RolloutFixture {
    now: ClockTime,
    registry: ServerRegistry,
    weights: WeightsHistory,
    planner: RolloutPlanner,
    /// Engines that load, with the version and the time at which the load ends.
    loading: Vec<(ServerKey, WeightsVersion, ClockTime)>,
    ordered: Vec<(ClockTime, ServerKey, WeightsVersion)>,
    drained: BTreeSet<ServerKey>,
    peak_drained: usize,
    /// Whether only every third order is carried out. The others are lost without a reply.
    loses_orders: bool,
    /// Servers whose orders were lost, with the time at which the order times out.
    lost: Vec<(ServerKey, ClockTime)>,
}

/// Time after which the host treats an order without a reply as unknown.
const ORDER_TIME: Duration = Duration::from_millis(400);

impl RolloutFixture {
    fn new(engines: usize) -> RolloutFixture {
        let mut registry = ServerRegistry::default();
        for index in 0..engines {
            registry.apply_listing(listing(index, 1));
        }
        let now = ClockTime::from_millis(100_000);
        let mut planner = RolloutPlanner::new(settings());
        planner.on_lease_event(now, LeaseEvent::Acquired { fencing: 7, sent_at: now });
        planner.take_over(now, []);
        RolloutFixture {
            now,
            registry,
            weights: WeightsHistory::default(),
            planner,
            loading: Vec::new(),
            ordered: Vec::new(),
            drained: BTreeSet::new(),
            peak_drained: 0,
            loses_orders: false,
            lost: Vec::new(),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            self.planner.on_lease_event(self.now, LeaseEvent::Renewed { sent_at: self.now });
            self.finish_loads();
            let now = self.now;
            let (noticed, open) = self.lost.iter().partition(|(_, at)| *at <= now);
            self.lost = open;
            for (server, _) in noticed {
                self.planner.on_reply(now, server, &OrderReply::Unknown);
            }
            for effect in self.planner.tick(self.now, &self.registry, &self.weights) {
                self.carry_out(effect);
            }
            self.peak_drained = self.peak_drained.max(self.drained.len());
        }
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        let (done, open) = self.loading.iter().partition(|(_, _, end)| *end <= now);
        self.loading = open;
        for (key, version, _) in done {
            self.drained.remove(&key);
            let server = self.registry.get_mut(key).expect("engines stay");
            server.listing.weights[0].version = version;
        }
    }

    fn carry_out(&mut self, effect: RolloutEffect) {
        match effect {
            RolloutEffect::Drain { server } => drop(self.drained.insert(server)),
            RolloutEffect::Undrain { server } => drop(self.drained.remove(&server)),
            RolloutEffect::Order(order) => {
                self.ordered.push((self.now, order.server, order.version));
                if self.loses_orders && !self.ordered.len().is_multiple_of(3) {
                    self.lost.push((order.server, self.now + ORDER_TIME));
                    return;
                }
                let end = self.now + Duration::from_millis(400);
                self.loading.push((order.server, order.version, end));
                self.planner.on_reply(self.now, order.server, &OrderReply::Accepted);
            }
            RolloutEffect::Query { server, .. } => {
                let busy = self.loading.iter().any(|(key, _, _)| *key == server);
                let version =
                    self.registry.get(server).map(|server| server.listing.weights[0].version);
                let reply = OrderReply::Reading {
                    version: version.expect("engines stay"),
                    busy,
                    sequence: 0,
                    requests: 0,
                };
                self.planner.on_reply(self.now, server, &reply);
            }
        }
    }

    fn behind(&self, version: u64) -> usize {
        let held = |server: &ServerListing| server.weights[0].version;
        let behind = self.registry.iter();
        behind.filter(|(_, server)| held(&server.listing) < WeightsVersion(version)).count()
    }
}

fn listing(index: usize, version: u64) -> ServerListing {
    ServerListing {
        instance: format!("i{index}"),
        started_at_ms: 1,
        software: Some("v1".to_string()),
        service: "engines".to_string(),
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        data_centre: "a".to_string(),
        slots: 64,
        state: ListingState::Ready,
        weights: vec![ModelWeights { model: MODEL.to_string(), version: WeightsVersion(version) }],
    }
}

/// Guards against a rollout that is late, or that takes too many engines out of service at once.
#[test]
fn all_engines_have_new_weights_before_the_deadline() {
    struct Case {
        engines: usize,
        peak_drained: usize,
    }
    let cases = [
        Case { engines: 1, peak_drained: 1 },
        Case { engines: 12, peak_drained: 6 },
        Case { engines: 18, peak_drained: 9 },
        Case { engines: 140, peak_drained: 70 },
    ];
    for case in cases {
        let mut fixture = RolloutFixture::new(case.engines);
        fixture.weights.announce(fixture.now, MODEL, WeightsVersion(2));
        fixture.run(Duration::from_secs(6));
        assert_eq!(fixture.behind(2), 0, "{} engines", case.engines);
        assert!(fixture.peak_drained <= case.peak_drained, "{} engines", case.engines);
        assert_eq!(fixture.ordered.len(), case.engines, "each engine is ordered once");
    }
}

/// Guards against orders to load weights that have already been replaced.
#[test]
fn a_newer_version_supersedes_a_rollout_in_progress() {
    let mut fixture = RolloutFixture::new(12);
    fixture.weights.announce(fixture.now, MODEL, WeightsVersion(2));
    fixture.run(Duration::from_millis(400));
    let old_orders = fixture.ordered.len();
    fixture.weights.announce(fixture.now, MODEL, WeightsVersion(3));
    fixture.run(Duration::from_secs(6));
    assert_eq!(fixture.behind(3), 0);
    let later = fixture.ordered[old_orders..].iter();
    assert!(later.map(|(_, _, version)| *version).all(|version| version == WeightsVersion(3)));
}

/// Guards against orders of two successive lease holders that reach a server at the same time, also if the
/// server's entry is away for a moment and comes back.
#[test]
fn a_new_holder_waits_for_servers_that_its_predecessor_ordered() {
    struct Case {
        name: &'static str,
        ordered_before: &'static [usize],
        /// Whether the entries of these servers are removed when the lease is taken over, and come back.
        is_listed_again: bool,
    }
    let case =
        |name, ordered_before, is_listed_again| Case { name, ordered_before, is_listed_again };
    let cases = [
        case("nothing ordered", &[] as &[usize], false),
        case("some ordered", &[0, 3], false),
        case("all ordered", &[0, 1, 2, 3], false),
        case("some ordered and listed again", &[0, 3], true),
        case("all ordered and listed again", &[0, 1, 2, 3], true),
    ];
    for case in cases {
        let mut fixture = RolloutFixture::new(4);
        let excluded: Vec<String> =
            case.ordered_before.iter().map(|index| format!("i{index}")).collect();
        let taken_at = fixture.now;
        fixture.planner = RolloutPlanner::new(settings());
        fixture
            .planner
            .on_lease_event(taken_at, LeaseEvent::Acquired { fencing: 8, sent_at: taken_at });
        if case.is_listed_again {
            for instance in &excluded {
                assert!(fixture.registry.remove(instance).is_some(), "{}", case.name);
            }
        }
        fixture.planner.take_over(taken_at, excluded.iter().cloned());
        let record = fixture.planner.recently_ordered(taken_at + Duration::from_secs(1));
        assert_eq!(record, excluded, "{}: the next holder has to know them", case.name);
        if case.is_listed_again {
            case.ordered_before.iter().for_each(|index| {
                fixture.registry.apply_listing(listing(*index, 1));
            });
        }
        fixture.weights.announce(taken_at, MODEL, WeightsVersion(2));
        fixture.run(Duration::from_secs(7));
        assert_eq!(fixture.behind(2), 0, "{}", case.name);
        for (at, server, _) in &fixture.ordered {
            let waited = at.since(taken_at);
            let early = waited < settings().handover_gap;
            let server = fixture.registry.get(*server).expect("the server is listed");
            let is_excluded = excluded.contains(&server.listing.instance);
            assert!(!early || !is_excluded, "{}: after {waited:?}", case.name);
        }
    }
}

/// Guards against orders of a node whose lease has ended, for example while it was suspended.
#[test]
fn orders_end_with_the_lease() {
    struct Case {
        event: LeaseEvent,
        later_ms: u64,
        may_order: bool,
    }
    let renewed = |ms: u64| LeaseEvent::Renewed { sent_at: ClockTime::from_millis(100_000 + ms) };
    let cases = [
        Case { event: renewed(0), later_ms: 1_000, may_order: true },
        Case { event: renewed(0), later_ms: 1_200, may_order: false },
        Case { event: renewed(500), later_ms: 1_500, may_order: true },
        Case { event: LeaseEvent::Lost, later_ms: 0, may_order: false },
    ];
    for case in cases {
        let mut fixture = RolloutFixture::new(2);
        fixture.planner.on_lease_event(fixture.now, case.event);
        let later = fixture.now + Duration::from_millis(case.later_ms);
        assert_eq!(
            fixture.planner.order_fencing_token(later).is_some(),
            case.may_order,
            "{:?}",
            case.event
        );
    }
}

/// Guards against a lease whose holder sends no orders. After a renewal that came too late by its
/// own clock, the holder stops ordering, while each renewal extends its lease at the store. It has
/// to release the lease.
#[test]
fn a_lease_that_was_renewed_too_late_is_released() {
    struct Case {
        renewed_after_ms: Option<u64>,
        at_ms: u64,
        expired: bool,
    }
    let cases = [
        Case { renewed_after_ms: None, at_ms: 1_000, expired: false },
        Case { renewed_after_ms: None, at_ms: 1_200, expired: true },
        Case { renewed_after_ms: Some(1_000), at_ms: 1_200, expired: false },
        Case { renewed_after_ms: Some(1_200), at_ms: 1_300, expired: true },
    ];
    for case in cases {
        let mut fixture = RolloutFixture::new(1);
        let start = fixture.now;
        if let Some(after) = case.renewed_after_ms {
            let sent_at = start + Duration::from_millis(after);
            fixture.planner.on_lease_event(sent_at, LeaseEvent::Renewed { sent_at });
        }
        let at = start + Duration::from_millis(case.at_ms);
        assert_eq!(fixture.planner.has_lease_expired(at), case.expired, "at {}", case.at_ms);
        fixture.planner.on_lease_event(at, LeaseEvent::Lost);
        assert!(!fixture.planner.has_lease_expired(at), "a released lease has not expired");
    }
}

/// Guards against engines that keep old weights because their orders get no reply. All engines must
/// have the new weights after 1.5 times the lifetime of the old ones.
#[test]
fn lost_orders_are_repeated_in_time() {
    for engines in [1, 12, 18, 36] {
        let mut fixture = RolloutFixture::new(engines);
        fixture.loses_orders = true;
        fixture.weights.announce(fixture.now, MODEL, WeightsVersion(2));
        fixture.run(settings().old_version_lifetime.mul_f64(1.5));
        assert_eq!(fixture.behind(2), 0, "{engines} engines");
    }
}

/// Guards against a node that was suspended while new weights were named and counts the time in which
/// older ones may still be used from its end.
#[test]
fn change_read_after_a_suspension_may_be_as_old() {
    struct Case {
        name: &'static str,
        /// Times at which the node is active, in milliseconds.
        active: &'static [u64],
        read_at: u64,
        max_age: u64,
    }
    let cases = [
        Case { name: "first activity", active: &[5_000], read_at: 5_000, max_age: 0 },
        Case { name: "active", active: &[500, 1_000, 1_500], read_at: 1_600, max_age: 0 },
        Case { name: "late timer", active: &[500, 1_900], read_at: 1_900, max_age: 0 },
        Case { name: "suspended", active: &[500, 4_600], read_at: 4_600, max_age: 4_100 },
        Case {
            name: "shortly after",
            active: &[500, 4_600, 5_100],
            read_at: 5_100,
            max_age: 4_600,
        },
        Case { name: "long after", active: &[500, 4_600, 5_600], read_at: 5_600, max_age: 0 },
    ];
    for case in cases {
        let mut detector = SuspensionDetector::default();
        for at in case.active {
            detector.on_active(ClockTime::from_millis(*at));
        }
        let age = detector.max_age(ClockTime::from_millis(case.read_at));
        assert_eq!(age, Duration::from_millis(case.max_age), "{}", case.name);
    }
}

/// Guards against orders and state queries to a server that has asked this node for rest, and against one
/// that keeps its old weights after it.
#[test]
fn server_at_rest_gets_its_orders_afterwards() {
    struct Case {
        name: &'static str,
        /// Time from the announcement of the weights until the server asks for rest.
        asks_after: Duration,
    }
    let cases = [
        Case { name: "before the rollout", asks_after: Duration::ZERO },
        Case { name: "during it", asks_after: 2 * TICK },
    ];
    const REST: Duration = Duration::from_secs(3);
    for case in cases {
        let mut fixture = RolloutFixture::new(4);
        let key = fixture.registry.key_of("i0").expect("the engine is listed");
        fixture.weights.announce(fixture.now, MODEL, WeightsVersion(2));
        fixture.run(case.asks_after);
        let asked_at = fixture.now;
        let server = fixture.registry.get_mut(key).expect("the engine is listed");
        server.health.on_rest_requested(asked_at, REST);
        fixture.run(Duration::from_secs(8));
        let in_rest = fixture
            .ordered
            .iter()
            .filter(|(at, server, _)| *server == key && *at > asked_at && *at < asked_at + REST);
        assert_eq!(in_rest.count(), 0, "{}", case.name);
        assert_eq!(fixture.behind(2), 0, "{}: all have the new weights", case.name);
    }
}
