//! Checks that the prefix router expects cache hits only where entries can still exist, over random
//! sequences of crashes, weights changes and lost, repeated or reordered cache events.

use std::{collections::HashSet, time::Duration};

use carobvane_core::{
    arena::ArenaKey,
    clock::ClockTime,
    ids::{AddressId, IncarnationId, ModelKey, ServerKey, WeightsVersion},
    prefix::{ChainSalt, PieceHash, PrefixChain},
    routing::{
        CacheUpdate, PrefixRouter, RequestClass, RouteRequest, RouterSettings, ServerUpdate,
    },
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

const SERVERS: usize = 3;
const WORKSPACES: [&str; 2] = ["a", "b"];
const PIECES: usize = 5;
const PIECE_BYTES: usize = 16;

#[derive(Debug, Clone)]
enum Step {
    /// An engine caches or evicts a prompt and publishes an event, which is not delivered yet.
    Publish { server: usize, workspace: usize, prompt: u8, evict: bool },
    /// The pending event at position `choice` arrives. A duplicate stays pending.
    DeliverEvent { choice: usize, duplicate: bool },
    /// The pending event at position `choice` is lost.
    LoseEvent { choice: usize },
    /// An engine restarts with an empty cache. Unless `noticed`, the router learns of it later.
    Crash { server: usize, noticed: bool },
    /// The router is told that a server died.
    MarkDead { server: usize },
    /// The VM list or a probe reports a server; if `stale`, in its previous incarnation.
    SeeServer { server: usize, stale: bool },
    /// All engines load a new weights version.
    LoadWeights,
    /// A request is routed, its expected hits are checked, and it is dispatched.
    Request { workspace: usize, prompt: u8 },
    /// The router misses cache events of a server, because the event connection broke.
    EventGap { server: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let server = 0..SERVERS;
    let workspace = 0..WORKSPACES.len();
    prop_oneof![
        4 => (server.clone(), workspace.clone(), 0..4u8, any::<bool>()).prop_map(
            |(server, workspace, prompt, evict)| Step::Publish { server, workspace, prompt, evict }
        ),
        6 => (any::<usize>(), any::<bool>())
            .prop_map(|(choice, duplicate)| Step::DeliverEvent { choice, duplicate }),
        1 => any::<usize>().prop_map(|choice| Step::LoseEvent { choice }),
        1 => (server.clone(), any::<bool>())
            .prop_map(|(server, noticed)| Step::Crash { server, noticed }),
        1 => server.clone().prop_map(|server| Step::MarkDead { server }),
        2 => (server.clone(), any::<bool>())
            .prop_map(|(server, stale)| Step::SeeServer { server, stale }),
        1 => Just(Step::LoadWeights),
        6 => (workspace, 0..4u8)
            .prop_map(|(workspace, prompt)| Step::Request { workspace, prompt }),
        1 => server.prop_map(|server| Step::EventGap { server }),
    ]
}

#[derive(Debug, Clone)]
struct PendingEvent {
    server: usize,
    incarnation: u64,
    sequence: u64,
    evict: bool,
    cached: CachedPrompt,
}

/// A prompt that a server was reported to have cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct CachedPrompt {
    workspace: usize,
    weights: WeightsVersion,
    prompt: u8,
}

struct HistoryFixture {
    router: PrefixRouter,
    model: ModelKey,
    keys: [Option<ServerKey>; SERVERS],
    incarnations: [u64; SERVERS],
    sequences: [u64; SERVERS],
    weights: WeightsVersion,
    pending: Vec<PendingEvent>,
    /// Everything that was reported or dispatched, by server and incarnation.
    reported: HashSet<(usize, u64, CachedPrompt)>,
    now: ClockTime,
    rng: SmallRng,
}

impl HistoryFixture {
    fn new() -> HistoryFixture {
        let settings = RouterSettings { block_capacity: 64, ..RouterSettings::default() };
        let mut history = HistoryFixture {
            router: PrefixRouter::new(settings, ()),
            model: ModelKey::new(0, 0),
            keys: [None; SERVERS],
            incarnations: [1; SERVERS],
            sequences: [0; SERVERS],
            weights: WeightsVersion(1),
            pending: Vec::new(),
            reported: HashSet::new(),
            now: ClockTime::from_millis(1_000),
            rng: SmallRng::seed_from_u64(3),
        };
        (0..SERVERS).for_each(|server| history.see(server, 0));
        history
    }

    fn see(&mut self, server: usize, incarnations_ago: u64) {
        let seen = ServerUpdate {
            address: AddressId(server as u64),
            incarnation: IncarnationId(self.incarnations[server].saturating_sub(incarnations_ago)),
            models: &[(self.model, self.weights)],
            slots: 64,
        };
        if let Some(key) = self.router.upsert_server(&seen) {
            self.keys[server] = Some(key);
        }
    }

    fn apply(&mut self, step: &Step) {
        self.now = self.now + Duration::from_millis(700);
        match *step {
            Step::Publish { server, workspace, prompt, evict } => {
                self.sequences[server] += 1;
                let cached = CachedPrompt { workspace, weights: self.weights, prompt };
                let (incarnation, sequence) = (self.incarnations[server], self.sequences[server]);
                self.pending.push(PendingEvent { server, incarnation, sequence, evict, cached });
            }
            Step::DeliverEvent { choice, duplicate } if !self.pending.is_empty() => {
                let index = choice % self.pending.len();
                let event = self.pending[index].clone();
                if !duplicate {
                    self.pending.remove(index);
                }
                self.deliver(&event);
            }
            Step::LoseEvent { choice } if !self.pending.is_empty() => {
                self.pending.remove(choice % self.pending.len());
            }
            Step::DeliverEvent { .. } | Step::LoseEvent { .. } => {}
            Step::Crash { server, noticed } => {
                self.incarnations[server] += 1;
                self.sequences[server] = 0;
                if let Some(key) = self.keys[server].filter(|_| noticed) {
                    let incarnation = IncarnationId(self.incarnations[server]);
                    self.router.observe_incarnation(key, incarnation);
                }
            }
            Step::MarkDead { server } => {
                if let Some(key) = self.keys[server] {
                    self.router.remove_server(key);
                    // Reports of this incarnation no longer count, even if the server returns.
                    self.reported.retain(|(owner, ..)| *owner != server);
                }
            }
            Step::SeeServer { server, stale } => self.see(server, u64::from(stale)),
            Step::LoadWeights => {
                self.weights = WeightsVersion(self.weights.0 + 1);
                (0..SERVERS).for_each(|server| self.see(server, 0));
            }
            Step::Request { workspace, prompt } => self.request(workspace, prompt),
            Step::EventGap { server } => {
                if let Some(key) = self.keys[server] {
                    self.router.record_event_gap(key);
                }
            }
        }
    }

    fn deliver(&mut self, event: &PendingEvent) {
        let Some(key) = self.keys[event.server] else { return };
        let chain = chain(event.cached);
        let pieces: &[PieceHash] = chain.pieces();
        let update =
            if event.evict { CacheUpdate::Removed(pieces) } else { CacheUpdate::Stored(pieces) };
        if !event.evict && self.router.table().get(key).is_some() {
            self.reported.insert((event.server, event.incarnation, event.cached));
        }
        let incarnation = IncarnationId(event.incarnation);
        self.router.apply_cache_event(self.now, key, incarnation, event.sequence, update);
    }

    fn request(&mut self, workspace: usize, prompt: u8) {
        let wanted = CachedPrompt { workspace, weights: self.weights, prompt };
        let chain = chain(wanted);
        let request = RouteRequest {
            model: self.model,
            weights: self.weights,
            chain: &chain,
            class: RequestClass::Short,
            prompt_tokens: 10_000,
            decode_tokens: 10,
            excluded: &[],
            exclusive: false,
        };
        let Ok(decision) = self.router.decide(self.now, &request, &mut self.rng) else { return };
        for candidate in decision.candidates.iter().filter(|candidate| candidate.hit_pieces > 0) {
            let server = self.keys.iter().position(|key| *key == Some(candidate.server));
            let server = server.expect("candidates are known servers");
            let record = self.router.table().get(candidate.server).expect("candidates are alive");
            let incarnation = record.incarnation.0;
            assert!(
                self.reported.contains(&(server, incarnation, wanted)),
                "server {server} in incarnation {incarnation} never had {wanted:?}: {candidate:?}"
            );
        }
        let server = self.keys.iter().position(|key| *key == Some(decision.server));
        let server = server.expect("the chosen server is known");
        let key = self.router.record_dispatch(self.now, &request, &decision);
        self.router.finish_dispatch(self.now, key);
        self.reported.insert((server, decision.incarnation.0, wanted));
    }
}

/// The prompt bytes are the same in every workspace and version, so only the salt differs.
fn chain(held: CachedPrompt) -> PrefixChain {
    let salt = ChainSalt::new(WORKSPACES[held.workspace], "m", held.weights);
    let prompt = vec![held.prompt; PIECES * PIECE_BYTES];
    PrefixChain::from_prompt(&salt, &prompt, PIECE_BYTES)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against expected hits on cache entries of an earlier incarnation of an engine, of
    /// another workspace or of older weights.
    #[test]
    fn hits_come_from_the_current_life_workspace_and_weights(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut history = HistoryFixture::new();
        for step in &steps {
            history.apply(step);
        }
    }
}
