//! A node that chooses servers.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    traffic::{
        DEFAULT_PRIORITY, ListingState, ModelWeights, PlacementChoice, PlacementPlanner,
        PlacementRequest, PromptPart, PromptShape, ServerListing, ServerRegistry, SoftwareRule,
    },
};
use rand::{SeedableRng, rngs::SmallRng};

use crate::fleet::{FleetCase, SERVICE};

const MODEL: &str = "model";
/// A prompt that takes this multiple of its time at an idle server is sent although that is long.
const IDLE_FACTOR: f64 = 1.3;

/// A node, with what it knows of the servers.
pub struct FleetNode {
    pub registry: ServerRegistry,
    pub planner: PlacementPlanner,
    pub keys: Vec<ServerKey>,
    pub rng: SmallRng,
}

impl FleetNode {
    pub fn new(case: &FleetCase, seed: u64) -> FleetNode {
        let mut registry = ServerRegistry::default();
        for index in 0..case.servers {
            let weights = ModelWeights { model: MODEL.to_string(), version: WeightsVersion(1) };
            registry.apply_listing(ServerListing {
                instance: format!("i{index}"),
                started_at_ms: 1,
                software: None,
                service: SERVICE.to_string(),
                address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
                data_centre: "a".to_string(),
                slots: case.slots as u32,
                state: ListingState::Ready,
                weights: vec![weights],
            });
        }
        let keys = (0..case.servers).filter_map(|index| registry.key_of(&format!("i{index}")));
        FleetNode {
            keys: keys.collect(),
            registry,
            planner: PlacementPlanner::new("a".to_string(), Duration::from_secs(8)),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn choose(
        &mut self,
        now: ClockTime,
        nodes: usize,
        is_long: bool,
        tried: &[usize],
    ) -> Option<PlacementChoice> {
        let prompt = prompt(is_long);
        self.planner.on_prompt(now, SERVICE, &prompt, Some(Duration::from_millis(300)));
        let request = PlacementRequest {
            service: SERVICE,
            model: Some(MODEL),
            prompt: &prompt,
            cache_scope: 0,
            priority: DEFAULT_PRIORITY,
            kv_capacity: 0,
            software: &SoftwareRule::Any,
            bytes: 1_000,
            nodes,
        };
        let max_wait = Duration::from_millis(if is_long { 840 } else { 350 });
        let tried: Vec<ServerKey> = tried.iter().map(|index| self.keys[*index]).collect();
        let choice = self.planner.choose(now, &self.registry, &request, &tried, &mut self.rng);
        choice.ok().filter(|choice| {
            choice.expected_latency <= max_wait.max(choice.idle_latency.mul_f64(IDLE_FACTOR))
        })
    }
}

/// A prompt whose shared part every server holds, so that only its own part counts.
pub fn prompt(is_long: bool) -> PromptShape {
    let tokens = if is_long { 2_890 } else { 628 };
    PromptShape {
        parts: [PromptPart { id: 1, tokens }].into_iter().collect(),
        prompt_tokens: tokens,
        max_output_tokens: if is_long { 9 } else { 49 },
    }
}
