//! Histories of crashes, weights changes and damaged event streams.

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
    /// An engine stores or evicts a prompt and publishes that.
    Publish { server: usize, workspace: usize, prompt: u8, evict: bool },
    /// One event in transit arrives: which one, and whether it arrives again later.
    Deliver { choice: usize, again: bool },
    /// One event in transit is lost.
    Lose { choice: usize },
    /// An engine restarts with an empty cache; the entry hears of it at once or later.
    Crash { server: usize, heard: bool },
    /// The entry is told that a server died.
    Dead { server: usize },
    /// The VM list or a probe shows a server, possibly in an earlier life.
    Seen { server: usize, late: bool },
    /// All engines load new weights.
    Weights,
    /// A request is decided, checked and dispatched.
    Request { workspace: usize, prompt: u8 },
    /// The event connection of a server breaks.
    Gap { server: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let server = 0..SERVERS;
    let workspace = 0..WORKSPACES.len();
    prop_oneof![
        4 => (server.clone(), workspace.clone(), 0..4u8, any::<bool>()).prop_map(
            |(server, workspace, prompt, evict)| Step::Publish { server, workspace, prompt, evict }
        ),
        6 => (any::<usize>(), any::<bool>())
            .prop_map(|(choice, again)| Step::Deliver { choice, again }),
        1 => any::<usize>().prop_map(|choice| Step::Lose { choice }),
        1 => (server.clone(), any::<bool>())
            .prop_map(|(server, heard)| Step::Crash { server, heard }),
        1 => server.clone().prop_map(|server| Step::Dead { server }),
        2 => (server.clone(), any::<bool>()).prop_map(|(server, late)| Step::Seen { server, late }),
        1 => Just(Step::Weights),
        6 => (workspace, 0..4u8)
            .prop_map(|(workspace, prompt)| Step::Request { workspace, prompt }),
        1 => server.prop_map(|server| Step::Gap { server }),
    ]
}

#[derive(Debug, Clone)]
struct Transit {
    server: usize,
    incarnation: u64,
    sequence: u64,
    evict: bool,
    note: Held,
}

/// A prompt that a server was reported to hold in one life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Held {
    workspace: usize,
    weights: WeightsVersion,
    prompt: u8,
}

struct History {
    router: PrefixRouter,
    model: ModelKey,
    keys: [Option<ServerKey>; SERVERS],
    incarnations: [u64; SERVERS],
    sequences: [u64; SERVERS],
    weights: WeightsVersion,
    transit: Vec<Transit>,
    /// What was ever reported or dispatched, by server and life.
    reported: HashSet<(usize, u64, Held)>,
    now: ClockTime,
    rng: SmallRng,
}

impl History {
    fn new() -> History {
        let settings = RouterSettings { block_capacity: 64, ..RouterSettings::default() };
        let mut history = History {
            router: PrefixRouter::new(settings, ()),
            model: ModelKey::new(0, 0),
            keys: [None; SERVERS],
            incarnations: [1; SERVERS],
            sequences: [0; SERVERS],
            weights: WeightsVersion(1),
            transit: Vec::new(),
            reported: HashSet::new(),
            now: ClockTime::from_millis(1_000),
            rng: SmallRng::seed_from_u64(3),
        };
        (0..SERVERS).for_each(|server| history.see(server, 0));
        history
    }

    fn see(&mut self, server: usize, lives_ago: u64) {
        let seen = ServerUpdate {
            address: AddressId(server as u64),
            incarnation: IncarnationId(self.incarnations[server].saturating_sub(lives_ago)),
            models: &[(self.model, self.weights)],
            slots: 64,
        };
        if let Some(key) = self.router.upsert_server(&seen) {
            self.keys[server] = Some(key);
        }
    }

    fn take(&mut self, step: &Step) {
        self.now = self.now + Duration::from_millis(700);
        match *step {
            Step::Publish { server, workspace, prompt, evict } => {
                self.sequences[server] += 1;
                let note = Held { workspace, weights: self.weights, prompt };
                let (incarnation, sequence) = (self.incarnations[server], self.sequences[server]);
                self.transit.push(Transit { server, incarnation, sequence, evict, note });
            }
            Step::Deliver { choice, again } if !self.transit.is_empty() => {
                let index = choice % self.transit.len();
                let event = self.transit[index].clone();
                if !again {
                    self.transit.remove(index);
                }
                self.deliver(&event);
            }
            Step::Lose { choice } if !self.transit.is_empty() => {
                self.transit.remove(choice % self.transit.len());
            }
            Step::Deliver { .. } | Step::Lose { .. } => {}
            Step::Crash { server, heard } => {
                self.incarnations[server] += 1;
                self.sequences[server] = 0;
                if let Some(key) = self.keys[server].filter(|_| heard) {
                    let incarnation = IncarnationId(self.incarnations[server]);
                    self.router.observe_incarnation(key, incarnation);
                }
            }
            Step::Dead { server } => {
                if let Some(key) = self.keys[server] {
                    self.router.remove_server(key);
                    // The reports of this life no longer count, even if the server comes back.
                    self.reported.retain(|(owner, ..)| *owner != server);
                }
            }
            Step::Seen { server, late } => self.see(server, u64::from(late)),
            Step::Weights => {
                self.weights = WeightsVersion(self.weights.0 + 1);
                (0..SERVERS).for_each(|server| self.see(server, 0));
            }
            Step::Request { workspace, prompt } => self.request(workspace, prompt),
            Step::Gap { server } => {
                if let Some(key) = self.keys[server] {
                    self.router.record_event_gap(key);
                }
            }
        }
    }

    fn deliver(&mut self, event: &Transit) {
        let Some(key) = self.keys[event.server] else { return };
        let chain = chain(event.note);
        let pieces: &[PieceHash] = chain.pieces();
        let update =
            if event.evict { CacheUpdate::Removed(pieces) } else { CacheUpdate::Stored(pieces) };
        if !event.evict && self.router.table().get(key).is_some() {
            self.reported.insert((event.server, event.incarnation, event.note));
        }
        let life = IncarnationId(event.incarnation);
        self.router.apply_cache_event(self.now, key, life, event.sequence, update);
    }

    fn request(&mut self, workspace: usize, prompt: u8) {
        let wanted = Held { workspace, weights: self.weights, prompt };
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
            let life = record.incarnation.0;
            assert!(
                self.reported.contains(&(server, life, wanted)),
                "server {server} in life {life} never reported {wanted:?}: {candidate:?}"
            );
        }
        let server = self.keys.iter().position(|key| *key == Some(decision.server));
        let server = server.expect("the chosen server is known");
        let key = self.router.record_dispatch(self.now, &request, &decision);
        self.router.finish_dispatch(self.now, key);
        self.reported.insert((server, decision.incarnation.0, wanted));
    }
}

/// The same prompt bytes in every workspace and version, so that only the salt keeps them apart.
fn chain(held: Held) -> PrefixChain {
    let salt = ChainSalt::new(WORKSPACES[held.workspace], "m", held.weights);
    let prompt = vec![held.prompt; PIECES * PIECE_BYTES];
    PrefixChain::from_prompt(&salt, &prompt, PIECE_BYTES)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against a hit that would use cache entries of an earlier life of an engine, another
    /// workspace or older weights.
    #[test]
    fn hits_come_from_the_current_life_workspace_and_weights(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut history = History::new();
        for step in &steps {
            history.take(step);
        }
    }
}
