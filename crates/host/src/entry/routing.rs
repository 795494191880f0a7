//! Router, queue and attempt budget of an entry, shared by its threads.
//!
//! One lock protects all of it: a decision takes microseconds, and a request takes the lock only a
//! few times.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use carobvane_core::{
    admission::{
        FairQueue, QueueEntry, QueueRefusal, QueueSettings, RequestFeatures, TokenCosts,
        WorkPrediction, WorkPredictor,
    },
    arena::KeyArena,
    clock::ClockTime,
    ids::{
        AddressId, IncarnationId, ModelKey, RequestKey, ServerKey, WeightsVersion, WorkspaceKey,
    },
    prefix::PrefixChain,
    routing::{
        AttemptBudget, CostSettings, DispatchKey, FailureKind, PrefixRouter, RequestClass,
        RouteDecision, RouteRefusal, RouteRequest, RouterSettings, ServerUpdate,
    },
};
use carobvane_proto::admin::CandidateCost;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::oneshot;

use super::active_lists::ActiveLists;

/// Longest time that a short request waits in the queue for a slot.
const SHORT_WAIT: Duration = Duration::from_secs(2);
/// Longest time that a long request waits in the queue for a slot.
const LONG_WAIT: Duration = Duration::from_secs(10);
/// Most queued requests that one timer tick starts. Others start when running requests end.
const MAX_STARTS_PER_TICK: usize = 4;
/// Capacity of the index of cached blocks. The router's default takes 48 MB, which together with
/// the streams would exceed the 64 MB of an entry; half a million blocks take 12 MB.
const BLOCK_CAPACITY: usize = 500_000;

/// Everything that routing needs to know of a request, apart from its earlier attempts.
#[derive(Debug, Clone)]
pub struct RouteQuery {
    /// Name of the model.
    pub model: String,
    /// Version of the weights that the answer must come from.
    pub weights_version: u64,
    /// Hash chain over the pieces of the prompt, which shows the prefixes that engines have cached.
    pub chain: PrefixChain,
    /// Inputs of the work prediction.
    pub features: RequestFeatures,
    /// Predicted work and request class.
    pub work: WorkPrediction,
    /// Weight of the workspace in the fair queue, from its plan.
    pub weight: f32,
    /// Whether only a server without other requests may be chosen, because the request may crash
    /// it.
    pub exclusive: bool,
}

/// A routing decision whose attempt counts as in flight on the chosen server.
#[derive(Debug, Clone)]
pub struct RoutedAttempt {
    /// Identifies the attempt in later calls to the router.
    pub dispatch: DispatchKey,
    /// Key of the chosen server.
    pub server: ServerKey,
    /// Name of the chosen server in the lists.
    pub name: String,
    /// The decision with its candidates and costs, for logs and operators.
    pub decision: RouteDecision,
}

/// How the wait of a queued request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitOutcome {
    /// A slot is free, so the request can be routed.
    Start,
    /// The request waited for as long as its class allows.
    Expired,
}

/// Routes requests to engines and queues those for which there is no slot.
pub struct RoutingState {
    /// Chooses engines and tracks their load and caches.
    pub router: PrefixRouter,
    /// Limits retries, resumes and hedges of all requests together.
    pub budget: AttemptBudget,
    queue: FairQueue,
    predictor: WorkPredictor,
    /// Keys of the engines in the lists, by name.
    servers: HashMap<String, ServerKey>,
    /// Names of the engines in the lists and of those that are draining.
    names: HashMap<ServerKey, String>,
    models: KeyArena<ModelKey, String>,
    workspaces: KeyArena<WorkspaceKey, String>,
    workspace_keys: HashMap<String, WorkspaceKey>,
    /// Invariant: holds exactly the requests in `queue`.
    waiters: KeyArena<RequestKey, (ModelKey, oneshot::Sender<WaitOutcome>)>,
    /// Servers that have left the lists and still run requests.
    draining: Vec<ServerKey>,
    rng: SmallRng,
}

impl RoutingState {
    /// Creates the routing state of an entry without servers. `seed` seeds the random choices, and
    /// `piece_tokens` is the size of a prompt piece in tokens.
    pub fn new(seed: u64, piece_tokens: u32) -> RoutingState {
        let cost = CostSettings { piece_tokens, ..CostSettings::default() };
        let costs = TokenCosts { prefill_ms: cost.prefill_ms, decode_ms: cost.decode_ms };
        // No events of the cache store reach entries yet, so no transfer from it is planned.
        let settings = RouterSettings {
            cost,
            block_capacity: BLOCK_CAPACITY,
            store: false,
            ..RouterSettings::default()
        };
        RoutingState {
            router: PrefixRouter::new(settings, ()),
            budget: AttemptBudget::new(),
            queue: FairQueue::new(QueueSettings::default(), 1.0),
            predictor: WorkPredictor::new(costs),
            servers: HashMap::new(),
            names: HashMap::new(),
            models: KeyArena::new(),
            workspaces: KeyArena::new(),
            workspace_keys: HashMap::new(),
            waiters: KeyArena::new(),
            draining: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Adds the engines of new lists and drains those that have left. An engine is assumed to hold
    /// the weights of the lists until it reports its state.
    pub fn set_servers(&mut self, lists: &ActiveLists) {
        let entries = lists.document.entries.len().max(1) as u32;
        self.router.set_entry_count(entries);
        let gone: Vec<String> =
            self.servers.keys().filter(|name| lists.server(name).is_none()).cloned().collect();
        for key in gone.iter().filter_map(|name| self.servers.remove(name)) {
            self.router.set_server_draining(key, true);
            self.draining.push(key);
        }
        let mut slots = 0;
        for (model, weights) in &lists.document.weights {
            let held = [(self.model_key(model), WeightsVersion(weights.version))];
            for name in lists.engines(model) {
                let Some(server) = lists.server(name) else { continue };
                slots += server.slots;
                if !self.servers.contains_key(name) {
                    self.add_server(name, &server.address, server.slots, &held);
                }
            }
        }
        self.queue.set_drain_rate(slots.max(1) as f32 / entries as f32);
    }

    fn add_server(
        &mut self,
        name: &str,
        address: &str,
        slots: u32,
        models: &[(ModelKey, WeightsVersion)],
    ) {
        let address = AddressId::from_address(address);
        let existing = self.router.table().by_address(address);
        let incarnation = existing
            .and_then(|key| self.router.table().get(key))
            .map_or(IncarnationId(0), |record| record.incarnation);
        let update = ServerUpdate { address, incarnation, models, slots };
        if let Some(key) = self.router.upsert_server(&update) {
            self.router.set_server_draining(key, false);
            self.draining.retain(|draining| *draining != key);
            self.servers.insert(name.to_string(), key);
            self.names.insert(key, name.to_string());
        }
    }

    /// Returns the key of an engine, or `None` if it is not in the lists.
    pub fn server(&self, name: &str) -> Option<ServerKey> {
        self.servers.get(name).copied()
    }

    /// Returns the key of a model and creates one for an unknown name.
    pub fn model_key(&mut self, model: &str) -> ModelKey {
        let existing = self.models.iter().find(|(_, name)| *name == model).map(|(key, _)| key);
        existing.unwrap_or_else(|| self.models.insert(model.to_string()))
    }

    /// Returns the key of a workspace and creates one for an unknown name.
    pub fn workspace_key(&mut self, workspace: &str) -> WorkspaceKey {
        if let Some(&key) = self.workspace_keys.get(workspace) {
            return key;
        }
        let key = self.workspaces.insert(workspace.to_string());
        self.workspace_keys.insert(workspace.to_string(), key);
        key
    }

    /// Predicts the work of a request. Sets the cached tokens of `features` from the longest prefix
    /// that an engine has cached.
    pub fn predict_work(
        &mut self,
        now: ClockTime,
        chain: &PrefixChain,
        features: &mut RequestFeatures,
    ) -> WorkPrediction {
        let piece_tokens = self.router.state().settings.cost.piece_tokens;
        let hit = u32::from(self.router.longest_hit(now, chain));
        features.cached_tokens = (hit * piece_tokens).min(features.prompt_tokens);
        self.predictor.predict(features)
    }

    /// Chooses an engine and counts an attempt as in flight there.
    ///
    /// # Errors
    ///
    /// Fails if no engine can take the request now.
    pub fn route(
        &mut self,
        now: ClockTime,
        query: &RouteQuery,
        excluded: &[ServerKey],
    ) -> Result<RoutedAttempt, RouteRefusal> {
        let model = self.model_key(&query.model);
        let request = RouteRequest {
            model,
            weights: WeightsVersion(query.weights_version),
            chain: &query.chain,
            class: query.work.class,
            prompt_tokens: query.features.prompt_tokens,
            decode_tokens: query.work.decode_tokens,
            excluded,
            exclusive: query.exclusive,
        };
        let decision = self.router.decide(now, &request, &mut self.rng)?;
        let dispatch = self.router.record_dispatch(now, &request, &decision);
        let server = decision.server;
        let name = self.names.get(&server).cloned().unwrap_or_default();
        Ok(RoutedAttempt { dispatch, server, name, decision })
    }

    /// Returns whether requests of this class are queued, which a new one must not overtake.
    pub fn has_waiting_requests(&self, class: RequestClass) -> bool {
        !self.queue.may_bypass(class)
    }

    /// Queues a request until a slot is free. `waited` is the time it has waited so far and
    /// shortens the wait. The receiver gets the outcome.
    ///
    /// # Errors
    ///
    /// Fails if the request cannot start in time or if the queue is full.
    pub fn enqueue(
        &mut self,
        now: ClockTime,
        query: &RouteQuery,
        waited: Duration,
    ) -> Result<oneshot::Receiver<WaitOutcome>, QueueRefusal> {
        let (sender, receiver) = oneshot::channel();
        let model = self.model_key(&query.model);
        let request = self.waiters.insert((model, sender));
        let limit = match query.work.class {
            RequestClass::Short => SHORT_WAIT,
            RequestClass::Long => LONG_WAIT,
        };
        let entry = QueueEntry {
            request,
            workspace: query.features.workspace,
            class: query.work.class,
            work_ms: query.work.work_ms,
            weight: query.weight,
            start_by: now + limit.saturating_sub(waited),
        };
        if let Err(refusal) = self.queue.push(now, entry) {
            self.waiters.remove(request);
            return Err(refusal);
        }
        Ok(receiver)
    }

    /// Ends a completed attempt, and trains the predictor with the length of the answer in tokens.
    pub fn complete_attempt(
        &mut self,
        now: ClockTime,
        attempt: &RoutedAttempt,
        query: &RouteQuery,
        tokens: u32,
    ) {
        self.router.finish_dispatch(now, attempt.dispatch);
        self.predictor.observe(&query.features, tokens);
        self.start_queued_requests(now, 1);
    }

    /// Ends an attempt that failed or was cancelled.
    pub fn fail_attempt(&mut self, now: ClockTime, attempt: &RoutedAttempt, kind: FailureKind) {
        self.router.fail_dispatch(now, attempt.dispatch, kind);
        self.start_queued_requests(now, 1);
    }

    /// Expires requests that have waited too long, starts queued requests that have a slot, and
    /// removes drained servers.
    pub fn tick(&mut self, now: ClockTime) {
        while let Some(entry) = self.queue.take_expired(now) {
            self.end_wait(entry.request, WaitOutcome::Expired);
        }
        self.start_queued_requests(now, MAX_STARTS_PER_TICK);
        self.remove_drained_servers();
        metrics::gauge!("carobvane_queue_requests").set(self.queue.len() as f64);
    }

    /// Removes servers that have left the lists and have no attempts in flight.
    fn remove_drained_servers(&mut self) {
        let router = &mut self.router;
        let names = &mut self.names;
        self.draining.retain(|&key| {
            let busy = router.table().get(key).is_some_and(|record| record.in_flight.total() > 0);
            if !busy {
                router.remove_server(key);
                names.remove(&key);
            }
            busy
        });
    }

    fn start_queued_requests(&mut self, now: ClockTime, limit: usize) {
        if self.queue.is_empty() {
            return;
        }
        let models: Vec<ModelKey> = self.models.iter().map(|(key, _)| key).collect();
        let mut has_free_slot = |class| {
            models.iter().any(|&model| self.router.has_free_slot(now, model, class, &mut self.rng))
        };
        let (short, long) = (has_free_slot(RequestClass::Short), has_free_slot(RequestClass::Long));
        for _ in 0..limit {
            let free = |class| match class {
                RequestClass::Short => short,
                RequestClass::Long => long,
            };
            let Some(entry) = self.queue.pop(free) else { return };
            self.end_wait(entry.request, WaitOutcome::Start);
        }
    }

    fn end_wait(&mut self, request: RequestKey, end: WaitOutcome) {
        if let Some((_, sender)) = self.waiters.remove(request) {
            // A send error means that the client has disconnected and needs no answer.
            sender.send(end).ok();
        }
    }

    /// Returns the candidates of a decision with their costs in milliseconds, cheapest first.
    pub fn candidate_costs(&self, decision: &RouteDecision) -> Vec<CandidateCost> {
        let mut candidates: Vec<CandidateCost> = decision
            .candidates
            .iter()
            .map(|candidate| CandidateCost {
                server: self.names.get(&candidate.server).cloned().unwrap_or_default(),
                prefill_ms: candidate.cost.prefill.into(),
                queue_ms: candidate.cost.queue.into(),
                transfer_ms: candidate.cost.transfer.into(),
                load_ms: candidate.cost.weights.into(),
                total_ms: candidate.cost.total_ms().into(),
            })
            .collect();
        candidates.sort_by(|a, b| a.total_ms.total_cmp(&b.total_ms));
        candidates
    }

    /// Stops new requests for the engines at these addresses and allows them for all others.
    pub fn set_leaving(&mut self, lists: &ActiveLists, leaving: &BTreeSet<String>) {
        for (name, &key) in &self.servers {
            let Some(server) = lists.server(name) else { continue };
            self.router.set_server_draining(key, leaving.contains(&server.address));
        }
    }

    /// Formats the candidates of a decision for a log line, each as `name:cached_pieces:total_ms`.
    pub fn format_candidates(&self, decision: &RouteDecision) -> String {
        let mut text = String::new();
        for candidate in decision.candidates.iter() {
            let name = self.names.get(&candidate.server).map_or("?", String::as_str);
            if !text.is_empty() {
                text.push(' ');
            }
            let total = candidate.cost.total_ms();
            text.push_str(&format!("{name}:{}:{total:.1}", candidate.hit_pieces));
        }
        text
    }
}
