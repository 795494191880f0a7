//! What the planner learns about the speed of servers.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    traffic::{
        DEFAULT_PRIORITY, ListingState, ModelWeights, PlacementPlanner, PlacementRequest,
        PromptPart, PromptShape, ServerListing, ServerRegistry, SoftwareRule,
    },
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const SERVICE: &str = "engines";
const PLAIN: &str = "plain";
const MODEL: &str = "model";
/// Prefill rate and step time of a server of speed 1.
const RATE: f64 = 69.8;
const STEP_MS: f64 = 4.39;
const PLAIN_MS: f64 = 60.0;

/// Servers of given speeds, each of which is asked alone.
struct SpeedFixture {
    registry: ServerRegistry,
    planner: PlacementPlanner,
    rng: SmallRng,
    now: ClockTime,
}

impl SpeedFixture {
    fn new(servers: usize) -> SpeedFixture {
        let mut fixture = SpeedFixture {
            registry: ServerRegistry::default(),
            planner: PlacementPlanner::new("a".to_string(), Duration::from_secs(8)),
            rng: SmallRng::seed_from_u64(5),
            now: ClockTime::from_millis(1_000),
        };
        (0..servers).for_each(|index| fixture.list(index, SERVICE, 1));
        (0..servers).for_each(|index| fixture.list(index, PLAIN, 1));
        fixture
    }

    fn list(&mut self, index: usize, service: &str, started_at_ms: u64) {
        let is_engine = service == SERVICE;
        let weights = ModelWeights { model: MODEL.to_string(), version: WeightsVersion(1) };
        self.registry.apply_listing(ServerListing {
            instance: format!("{service}{index}"),
            started_at_ms,
            software: None,
            service: service.to_string(),
            address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            data_centre: "a".to_string(),
            slots: 64,
            state: ListingState::Ready,
            weights: if is_engine { vec![weights] } else { Vec::new() },
        });
    }

    fn key(&self, service: &str, index: usize) -> ServerKey {
        self.registry.key_of(&format!("{service}{index}")).expect("the server is listed")
    }

    /// Sends a request to one server, which responds as fast as a server of `speed`, times `factor`.
    fn respond(&mut self, service: &str, index: usize, tokens: u32, speed: f64, factor: f64) {
        let key = self.key(service, index);
        let others: Vec<ServerKey> =
            self.registry.usable(service).map(|(key, _)| key).filter(|it| *it != key).collect();
        let prompt = PromptShape {
            parts: [PromptPart { id: 1, tokens }].into_iter().collect(),
            prompt_tokens: tokens,
            max_output_tokens: 9,
        };
        let request = PlacementRequest {
            service,
            model: (service == SERVICE).then_some(MODEL),
            prompt: &prompt,
            cache_scope: 0,
            priority: DEFAULT_PRIORITY,
            kv_capacity: 0,
            software: &SoftwareRule::Any,
            bytes: 0,
            nodes: 9,
        };
        let choice =
            self.planner.choose(self.now, &self.registry, &request, &others, &mut self.rng);
        let choice = choice.expect("the server is idle");
        assert_eq!(choice.server, key);
        let work_ms =
            if service == SERVICE { STEP_MS + f64::from(tokens) / RATE } else { PLAIN_MS };
        let took = Duration::from_secs_f64(work_ms / speed * factor / 1_000.0);
        self.planner.on_response(self.now, &mut self.registry, service, &choice, took);
        // Four servers with seven responses a second each, as at a site with 60 servers.
        self.now = self.now + Duration::from_millis(35);
    }

    fn run(&mut self, service: &str, index: usize, count: usize, speed: f64) {
        for _ in 0..count {
            let tokens = if self.rng.random_bool(0.67) { 628 } else { 2_890 };
            let factor = self.rng.random_range(0.9..1.1);
            self.respond(service, index, tokens, speed, factor);
        }
    }

    /// Returns the learnt speed relative to a server of speed 1.
    fn speed(&self, service: &str, index: usize) -> f64 {
        let server = self.registry.get(self.key(service, index)).expect("the server is listed");
        let speed = self.planner.speed_of(self.now, service, &server.model);
        match service {
            SERVICE => speed.prefill_tokens_per_ms / RATE,
            _ => PLAIN_MS / speed.plain_ms,
        }
    }
}

/// Guards against estimates from constants that are wrong by a factor of two, and against one speed
/// for servers of unequal speed.
#[test]
fn unequal_speeds_are_learnt() {
    for service in [SERVICE, PLAIN] {
        let speeds = [0.55, 0.8, 1.0, 1.2];
        let mut fixture = SpeedFixture::new(speeds.len() + 1);
        for _ in 0..12 {
            for (index, speed) in speeds.iter().enumerate() {
                fixture.run(service, index, 5, *speed);
            }
        }
        for (index, speed) in speeds.iter().enumerate() {
            let ratio = fixture.speed(service, index) / speed;
            assert!((0.8..1.25).contains(&ratio), "{service} of speed {speed}: {ratio}");
        }
        // Nothing is known of the last one, which therefore counts as a typical one.
        let ratio = fixture.speed(service, speeds.len()) / 1.0;
        assert!((0.75..1.25).contains(&ratio), "{service} unknown: {ratio}");
    }
}

/// Guards against single false responses that move an estimate, and against liars that move the
/// estimates of other servers.
#[test]
fn false_responses_have_a_bounded_effect() {
    struct Case {
        name: &'static str,
        /// Factor on the time of false responses.
        factor: f64,
        count: usize,
        /// Largest change of the estimate of the server itself.
        change: f64,
    }
    let cases = [
        Case { name: "one instant response", factor: 0.0, count: 1, change: 1.1 },
        Case { name: "one response after long silence", factor: 1e6, count: 1, change: 1.1 },
        Case { name: "only instant responses", factor: 0.0, count: 300, change: 7.0 },
        Case { name: "only late responses", factor: 1e6, count: 300, change: 7.0 },
    ];
    for case in cases {
        let mut fixture = SpeedFixture::new(6);
        (0..6).for_each(|index| fixture.run(SERVICE, index, 60, 1.0));
        let before: Vec<f64> = (0..6).map(|index| fixture.speed(SERVICE, index)).collect();
        for _ in 0..case.count {
            fixture.respond(SERVICE, 0, 2_890, 1.0, case.factor);
        }
        let change = fixture.speed(SERVICE, 0) / before[0];
        let allowed = 1.0 / case.change..case.change;
        assert!(allowed.contains(&change), "{}: {change}", case.name);
        for (index, before) in before.iter().enumerate().skip(1) {
            let change = fixture.speed(SERVICE, index) / before;
            assert!((0.85..1.18).contains(&change), "{}: {change} at another one", case.name);
        }
        fixture.list(7, SERVICE, 1);
        let new = fixture.speed(SERVICE, 7);
        assert!((0.75..1.25).contains(&new), "{}: a new server has {new}", case.name);
    }
}

/// Guards against old estimates of a server that has started again or whose speed has changed.
#[test]
fn a_changed_speed_is_learnt_again() {
    struct Case {
        name: &'static str,
        restarts: bool,
        speed: f64,
        responses: usize,
    }
    let cases = [
        Case { name: "restarted and slower", restarts: true, speed: 0.55, responses: 12 },
        Case { name: "restarted and faster", restarts: true, speed: 1.2, responses: 12 },
        Case { name: "slower without a restart", restarts: false, speed: 0.5, responses: 30 },
    ];
    for case in cases {
        let mut fixture = SpeedFixture::new(5);
        (0..5).for_each(|index| fixture.run(SERVICE, index, 60, 1.0));
        if case.restarts {
            fixture.list(0, SERVICE, 2);
            let ratio = fixture.speed(SERVICE, 0);
            assert!((0.75..1.25).contains(&ratio), "{}: starts with {ratio}", case.name);
        }
        fixture.run(SERVICE, 0, case.responses, case.speed);
        let ratio = fixture.speed(SERVICE, 0) / case.speed;
        assert!((0.75..1.35).contains(&ratio), "{}: {ratio}", case.name);
    }
}

/// Guards against a server that is never asked again because it was slow once, and against one that is
/// never asked at all because a tried one shows to be faster than assumed.
#[test]
fn servers_without_responses_count_as_typical() {
    let mut fixture = SpeedFixture::new(5);
    fixture.respond(PLAIN, 0, 0, 4.0, 1.0);
    assert_eq!(fixture.speed(PLAIN, 1), fixture.speed(PLAIN, 0), "no response is worse than one");
    (1..5).for_each(|index| fixture.run(SERVICE, index, 30, 1.0));
    fixture.run(SERVICE, 0, 60, 0.25);
    assert!(fixture.speed(SERVICE, 0) < 0.4, "it is slow");
    fixture.now = fixture.now + Duration::from_secs(45);
    assert!(fixture.speed(SERVICE, 0) > 0.8, "it may be fast again");
}
