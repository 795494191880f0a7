//! Brings the engines to the newest weights, one node at a time being in charge.
//!
//! The node that holds the lease sends the orders. A node that takes the lease over waits until no
//! order of its predecessor can still arrive. A bounded part of the engines loads at once, those
//! with the least to do first. An order without an answer is read back before it is repeated, and
//! it carries the number of orders that the server had accepted, so that a late copy does nothing.

use std::{collections::HashMap, time::Duration};

use super::{
    BackendServer, LoadOrder, OrderReply, RolloutEffect, RolloutSettings, ServerAvailability,
    ServerRegistry, WeightsHistory,
};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    orders::{LeaseEvent, LeaseState},
};

/// Engines of which one may have an order at a time. Part of those with an order still run
/// requests, so fewer load at once.
const ENGINES_PER_ORDER: usize = 5;
/// Engines of which one may be kept from requests at a time, because it loads or soon will, while
/// the others have little to read.
const ENGINES_PER_DRAIN: usize = 2;
/// The same while the others have much to read.
const ENGINES_PER_BUSY_DRAIN: usize = 6;
/// Prompt tokens that await reading at an engine on average from which on all have much to read.
const BUSY_TOKENS: u64 = 3_000;
/// Time in which a busy engine runs empty and loads.
const DRAIN_AND_LOAD_TIME: Duration = Duration::from_millis(2_200);
/// Time before the end of older weights by which all engines should have newer ones.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1_200);
/// Time for which a server is kept from requests before it is read, and between two readings: an
/// order would hold up the server until its last request ends.
const DRAIN_QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a server is ordered although it still runs requests.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(1_200);
/// Usual time of a load in an engine without requests.
const LOAD_TIME: Duration = Duration::from_millis(420);
/// Time after an accepted order until the server is first read.
const FIRST_QUERY_DELAY: Duration = Duration::from_millis(450);
/// Time between two readings of a server.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Time after an order without an answer until the server is read.
const LOST_ORDER_QUERY_DELAY: Duration = Duration::from_millis(60);
/// Time after a failed order or reading until the server is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which an accepted load is taken as lost with its server.
const MAX_LOAD_TIME: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadStage {
    /// Kept from requests; read at `due`.
    Draining,
    /// The same, with a reading under way.
    QueriedDraining,
    /// Without requests: ordered next.
    Drained,
    /// Waits for the reply of an order.
    Ordered,
    /// Waits for the reply of a reading.
    Queried,
    /// Accepted; read at `due`.
    Loading,
    /// Failed or unknown; read at `due` before any further order.
    Unconfirmed,
    /// Known not to load; an order may be sent.
    Idle,
}

#[derive(Debug, Clone)]
struct ServerLoading {
    stage: LoadStage,
    since: ClockTime,
    due: ClockTime,
    ordered_at: ClockTime,
    /// Orders that the server had accepted at its last reading.
    sequence: Option<u64>,
}

/// Decides orders; idle unless this node holds the lease.
#[derive(Debug, Clone)]
pub struct RolloutPlanner {
    settings: RolloutSettings,
    lease: LeaseState,
    loading: HashMap<ServerKey, ServerLoading>,
    /// When a server may have been ordered last, by this node or the one before it.
    ordered_at: HashMap<ServerKey, ClockTime>,
    acquired_at: ClockTime,
}

impl RolloutPlanner {
    /// Creates a planner without a lease.
    pub fn new(settings: RolloutSettings) -> RolloutPlanner {
        RolloutPlanner {
            settings,
            lease: LeaseState::new(settings.lease),
            loading: HashMap::new(),
            ordered_at: HashMap::new(),
            acquired_at: ClockTime::ZERO,
        }
    }

    /// Servers that this node or its predecessor may have ordered lately. A holder writes them down
    /// before its orders leave, so that its successor knows which servers it has to leave alone.
    pub fn recently_ordered(&self, now: ClockTime) -> Vec<ServerKey> {
        let gap = self.settings.handover_gap;
        let recent = self.ordered_at.iter().filter(|(_, at)| now.since(**at) < gap);
        let mut servers: Vec<ServerKey> = recent.map(|(key, _)| *key).collect();
        servers.sort_unstable();
        servers
    }

    /// Takes the duty over from a holder that has written down which servers it ordered: the
    /// others may be ordered at once.
    pub fn take_over(&mut self, now: ClockTime, ordered: impl IntoIterator<Item = ServerKey>) {
        self.lease.skip_wait(now);
        self.ordered_at.extend(ordered.into_iter().map(|key| (key, now)));
    }

    /// Handles what the host learned about the lease.
    pub fn on_lease_event(&mut self, now: ClockTime, event: LeaseEvent) {
        if matches!(event, LeaseEvent::Acquired { .. }) {
            self.loading.clear();
            self.ordered_at.clear();
            self.acquired_at = now;
        }
        self.lease.on_event(now, event);
    }

    /// The fencing token while the lease is valid.
    pub fn fencing_token(&self, now: ClockTime) -> Option<u64> {
        self.lease.fencing(now)
    }

    /// Whether the duty has to be given back because this node has counted its lease as ended.
    pub fn has_lease_lapsed(&self, now: ClockTime) -> bool {
        self.lease.has_lapsed(now)
    }

    /// The fencing token while an order may leave. Read again right before the bytes do.
    pub fn order_fencing_token(&self, now: ClockTime) -> Option<u64> {
        self.lease.order_fencing(now)
    }

    /// Handles the reply to an order or reading of a server. Returns what follows at once.
    pub fn on_reply(
        &mut self,
        now: ClockTime,
        server: ServerKey,
        reply: &OrderReply,
    ) -> Option<RolloutEffect> {
        if *reply == OrderReply::Fenced {
            self.lease.step_down();
        }
        let loading = self.loading.get_mut(&server)?;
        match reply {
            OrderReply::Accepted => loading.wait(LoadStage::Loading, now + FIRST_QUERY_DELAY),
            OrderReply::Conflict => loading.wait(LoadStage::Unconfirmed, now + QUERY_INTERVAL),
            // The server is kept from requests, read again and ordered again if it has not loaded.
            OrderReply::Unknown if loading.stage == LoadStage::Ordered => {
                loading.wait(LoadStage::Draining, now + LOST_ORDER_QUERY_DELAY);
            }
            OrderReply::Refused | OrderReply::Unknown => {
                loading.wait(LoadStage::Unconfirmed, now + RETRY_DELAY);
            }
            OrderReply::Reading { busy, sequence, requests, .. } => {
                loading.sequence = Some(*sequence);
                let may_wait = now.since(loading.since) < MAX_DRAIN_TIME;
                if *busy {
                    loading.wait(LoadStage::Loading, now + QUERY_INTERVAL);
                } else if loading.stage != LoadStage::QueriedDraining {
                    loading.wait(LoadStage::Idle, now);
                } else if *requests > 0 && may_wait {
                    loading.wait(LoadStage::Draining, now + DRAIN_QUERY_INTERVAL);
                } else {
                    loading.wait(LoadStage::Drained, now);
                }
            }
            OrderReply::Fenced => loading.wait(LoadStage::Idle, now),
        }
        // A server that does not load for us may have requests again.
        let released = matches!(loading.stage, LoadStage::Unconfirmed | LoadStage::Idle);
        released.then_some(RolloutEffect::Undrain { server })
    }

    /// Returns what is due now.
    pub fn tick(
        &mut self,
        now: ClockTime,
        registry: &ServerRegistry,
        weights: &WeightsHistory,
    ) -> Vec<RolloutEffect> {
        if self.lease.order_fencing(now).is_none() {
            return Vec::new();
        }
        self.remove_finished(now, registry, weights);
        let mut effects = self.due_queries(now, registry);
        for (model, version) in weights.newest_versions() {
            effects.extend(self.due_orders(now, registry, weights, model, version));
        }
        effects
    }

    /// Drops servers that are gone, up to date, or did not finish in time.
    fn remove_finished(
        &mut self,
        now: ClockTime,
        registry: &ServerRegistry,
        history: &WeightsHistory,
    ) {
        self.loading.retain(|key, loading| {
            let Some(server) = registry.get(*key) else { return false };
            let behind = server
                .listing
                .weights
                .iter()
                .any(|held| history.replaced_at(&held.model, held.version).is_some());
            behind && now.since(loading.since) < MAX_LOAD_TIME
        });
    }

    fn due_queries(&mut self, now: ClockTime, registry: &ServerRegistry) -> Vec<RolloutEffect> {
        let mut effects = Vec::new();
        for (key, loading) in &mut self.loading {
            let asked = match loading.stage {
                LoadStage::Loading | LoadStage::Unconfirmed => LoadStage::Queried,
                LoadStage::Draining => LoadStage::QueriedDraining,
                _ => continue,
            };
            if now < loading.due {
                continue;
            }
            let model = registry.get(*key).and_then(|server| server.listing.weights.first());
            if let Some(weights) = model {
                loading.stage = asked;
                effects
                    .push(RolloutEffect::QueryState { server: *key, model: weights.model.clone() });
            }
        }
        effects
    }

    fn due_orders(
        &mut self,
        now: ClockTime,
        registry: &ServerRegistry,
        weights: &WeightsHistory,
        model: &str,
        version: WeightsVersion,
    ) -> Vec<RolloutEffect> {
        let Some(fencing) = self.lease.order_fencing(now) else { return Vec::new() };
        let serving = registry.iter().filter(|(_, server)| {
            server.availability != ServerAvailability::Leaving
                && server.weights_version(model).is_some()
        });
        let serving: Vec<_> = serving.collect();
        let engines = serving.len();
        let mut effects = self.start_drains(now, serving, weights, model, version);
        let ordered = self.loading.values().filter(|loading| loading.is_loading(now)).count();
        let free = (engines / ENGINES_PER_ORDER).max(1).saturating_sub(ordered);
        let behind = |key: &ServerKey| {
            registry
                .get(*key)
                .and_then(|server| server.weights_version(model))
                .is_some_and(|held| held < version)
        };
        let drained =
            self.loading.iter().filter(|(_, loading)| loading.stage == LoadStage::Drained);
        let mut due: Vec<(ClockTime, ServerKey)> = drained
            .filter(|(key, _)| behind(key))
            .map(|(key, loading)| (loading.since, *key))
            .collect();
        due.sort_unstable();
        for (_, key) in due.into_iter().take(free) {
            let Some(loading) = self.loading.get_mut(&key) else { continue };
            loading.wait(LoadStage::Ordered, now);
            loading.ordered_at = now;
            self.ordered_at.insert(key, now);
            effects.push(RolloutEffect::Order(LoadOrder {
                server: key,
                model: model.to_string(),
                version,
                fencing,
                expected_sequence: loading.sequence,
            }));
        }
        effects
    }

    /// Keeps requests from the next servers that will load, those with the least to do first.
    fn start_drains(
        &mut self,
        now: ClockTime,
        serving: Vec<(ServerKey, &BackendServer)>,
        weights: &WeightsHistory,
        model: &str,
        version: WeightsVersion,
    ) -> Vec<RolloutEffect> {
        let required = self.out_of_service_for_deadline(now, &serving, weights, model);
        let most = max_out_of_service(now, &serving).max(required);
        let out_of_service =
            self.loading.values().filter(|loading| loading.is_out_of_service()).count();
        // Orders of the holder before this one must not meet those of this one.
        let gap = self.settings.handover_gap;
        let excluded = |key: &ServerKey| {
            let ordered_at = self.ordered_at.get(key);
            ordered_at.is_some_and(|at| *at <= self.acquired_at && now.since(*at) < gap)
        };
        let mut behind: Vec<_> = serving
            .into_iter()
            .filter(|(key, _)| !excluded(key))
            .filter(|(key, server)| {
                let idle =
                    self.loading.get(key).is_none_or(|loading| loading.stage == LoadStage::Idle);
                idle && server.weights_version(model).is_some_and(|held| held < version)
            })
            .collect();
        behind.sort_by_key(|(key, server)| {
            let load = server.health.load_report(now).unwrap_or_default();
            let unresponsive = server.health.is_unresponsive() || server.health.is_backing_off(now);
            (unresponsive, server.prefill_backlog.tokens(now), load.running + load.waiting, *key)
        });
        let next = behind.into_iter().take(most.saturating_sub(out_of_service));
        let mut effects = Vec::new();
        for (key, server) in next {
            let load = server.health.load_report(now);
            let idle = server.in_flight == 0 && load.is_none_or(|load| load.running == 0);
            let due = if idle { now } else { now + DRAIN_QUERY_INTERVAL };
            let sequence = self.loading.get(&key).and_then(|loading| loading.sequence);
            let stage = LoadStage::Draining;
            let loading = ServerLoading { stage, since: now, due, ordered_at: now, sequence };
            self.loading.insert(key, loading);
            effects.push(RolloutEffect::Drain { server: key });
        }
        effects
    }
}

impl RolloutPlanner {
    /// Number of engines that have to be kept from requests at a time so that all have the newest
    /// weights before the older ones may no longer be used.
    fn out_of_service_for_deadline(
        &self,
        now: ClockTime,
        serving: &[(ServerKey, &BackendServer)],
        weights: &WeightsHistory,
        model: &str,
    ) -> usize {
        let replaced = serving
            .iter()
            .filter_map(|(_, server)| weights.replaced_at(model, server.weights_version(model)?));
        let replaced: Vec<ClockTime> = replaced.collect();
        let Some(first) = replaced.iter().min() else { return 0 };
        let deadline = *first + self.settings.old_version_lifetime;
        let left = deadline.since(now + DEADLINE_MARGIN).max(DRAIN_AND_LOAD_TIME);
        let rounds = (left.as_secs_f64() / DRAIN_AND_LOAD_TIME.as_secs_f64()).floor().max(1.0);
        let wanted = (replaced.len() as f64 / rounds).ceil() as usize;
        wanted.min((serving.len() / ENGINES_PER_DRAIN).max(1))
    }
}

/// Number of engines that may be kept from requests at a time. Those that do not answer are kept
/// from requests already.
fn max_out_of_service(now: ClockTime, serving: &[(ServerKey, &BackendServer)]) -> usize {
    let answering = serving.iter().filter(|(_, server)| {
        !server.health.is_unresponsive() && !server.health.is_backing_off(now)
    });
    let answering = answering.count();
    let waiting: u64 = serving.iter().map(|(_, server)| server.prefill_backlog.tokens(now)).sum();
    let busy = waiting > BUSY_TOKENS * answering as u64;
    let share = if busy { ENGINES_PER_BUSY_DRAIN } else { ENGINES_PER_DRAIN };
    let silent = serving.len() - answering;
    (answering / share).saturating_sub(silent).max(1)
}

impl ServerLoading {
    fn wait(&mut self, stage: LoadStage, due: ClockTime) {
        self.stage = stage;
        self.due = due;
    }

    /// Whether the server takes part in the loads that slow each other down.
    fn is_loading(&self, now: ClockTime) -> bool {
        self.is_ordered() && now.since(self.ordered_at) < LOAD_TIME
    }

    /// Whether the server may be loading because of an order.
    fn is_ordered(&self) -> bool {
        matches!(self.stage, LoadStage::Ordered | LoadStage::Queried | LoadStage::Loading)
    }

    /// Whether the server is kept from requests.
    fn is_out_of_service(&self) -> bool {
        let draining = matches!(
            self.stage,
            LoadStage::Draining | LoadStage::QueriedDraining | LoadStage::Drained
        );
        draining || self.is_ordered()
    }
}
