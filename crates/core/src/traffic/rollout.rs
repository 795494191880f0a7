//! Rolls new model weights out to all engines.
//!
//! Only the node that holds the lease sends load orders. A new holder waits until no order of its
//! predecessor can still arrive. Only part of the engines load at the same time, the least loaded
//! first. If an order gets no reply, the server's state is queried before the order is repeated.
//! Each order carries the number of orders the server had accepted, so a late copy has no effect.

use std::{collections::HashMap, time::Duration};

use super::{
    BackendServer, LoadOrder, OrderReply, RolloutEffect, RolloutSettings, ServerAvailability,
    ServerRegistry, WeightsHistory,
    server_loading::{LoadStage, ServerLoading},
};
use crate::{
    clock::ClockTime,
    ids::{ServerKey, WeightsVersion},
    orders::{LeaseEvent, LeaseState},
};

/// One engine in this many may have an order at a time. Some engines with an order still run
/// requests, so even fewer load at the same time.
const ENGINES_PER_ORDER: usize = 5;
/// One engine in this many may be out of service at a time, because it loads weights or is about
/// to, while the prefill backlog of the engines is small.
const ENGINES_PER_DRAIN: usize = 2;
/// Like [`ENGINES_PER_DRAIN`], but while the prefill backlog is large.
const ENGINES_PER_BUSY_DRAIN: usize = 6;
/// Average prefill backlog per engine, in tokens, above which the backlog counts as large.
const BUSY_TOKENS: u64 = 3_000;
/// Time that a busy engine needs to finish its requests and load new weights.
const DRAIN_AND_LOAD_TIME: Duration = Duration::from_millis(2_200);
/// All engines should have new weights this long before the old ones may no longer be used.
const DEADLINE_MARGIN: Duration = Duration::from_millis(1_200);
/// Delay before the first state query of a draining server, and between further ones. The server
/// is drained before it gets an order, because an order blocks it until its last request ends.
const DRAIN_QUERY_INTERVAL: Duration = Duration::from_millis(200);
/// A server that still runs requests after this time gets its order anyway.
const MAX_DRAIN_TIME: Duration = Duration::from_millis(1_200);
/// Delay between an accepted order and the first state query.
const FIRST_QUERY_DELAY: Duration = Duration::from_millis(450);
/// Delay between state queries of a server that loads.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Delay between an order without a reply and the state query that follows.
const LOST_ORDER_QUERY_DELAY: Duration = Duration::from_millis(60);
/// Delay before the state query that follows a refused order or a failed state query.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// A server that is not up to date this long after its drain began starts over.
const MAX_LOAD_TIME: Duration = Duration::from_secs(8);

/// Decides which engines drain and load. Does nothing unless this node holds the lease.
#[derive(Debug, Clone)]
pub struct RolloutPlanner {
    settings: RolloutSettings,
    lease: LeaseState,
    loading: HashMap<ServerKey, ServerLoading>,
    /// When each server may last have got an order, from this node or the previous holder, by its
    /// instance name. A server whose entry comes back after it was removed has another key.
    ordered_at: HashMap<String, ClockTime>,
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

    /// Instance names of the servers that may have got an order from this node or the previous holder
    /// within the handover gap, listed or not. A holder stores them before it sends orders, so that the
    /// next one can avoid them.
    pub fn recently_ordered(&self, now: ClockTime) -> Vec<String> {
        let gap = self.settings.handover_gap;
        let recent = self.ordered_at.iter().filter(|(_, at)| now.since(**at) < gap);
        let mut instances: Vec<String> = recent.map(|(instance, _)| instance.clone()).collect();
        instances.sort_unstable();
        instances
    }

    /// Ends the wait for the previous holder's orders, because that holder stored the instance names of
    /// the servers that it `ordered`. Only these have to wait for the handover gap.
    pub fn take_over(&mut self, now: ClockTime, ordered: impl IntoIterator<Item = String>) {
        self.lease.skip_predecessor_wait(now);
        self.ordered_at.extend(ordered.into_iter().map(|instance| (instance, now)));
    }

    /// Handles a lease that was acquired, renewed or lost.
    pub fn on_lease_event(&mut self, now: ClockTime, event: LeaseEvent) {
        if matches!(event, LeaseEvent::Acquired { .. }) {
            self.loading.clear();
            self.ordered_at.clear();
            self.acquired_at = now;
        }
        self.lease.on_event(now, event);
    }

    /// The fencing token; `None` unless the lease is valid.
    pub fn fencing_token(&self, now: ClockTime) -> Option<u64> {
        self.lease.fencing(now)
    }

    /// Whether this node has to release its lease, because the lease has expired by its own clock.
    pub fn has_lease_expired(&self, now: ClockTime) -> bool {
        self.lease.has_expired(now)
    }

    /// The fencing token; `None` unless orders may be sent. Check it again right before sending.
    pub fn order_fencing_token(&self, now: ClockTime) -> Option<u64> {
        self.lease.order_fencing(now)
    }

    /// Handles the reply to an order or a state query. Returns what the host has to do at once.
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
            // The server stays drained, is queried, and gets another order unless it has loaded.
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
        // A server that does not load because of an order of this node may get requests again.
        let undrained = matches!(loading.stage, LoadStage::Unconfirmed | LoadStage::Idle);
        undrained.then_some(RolloutEffect::Undrain { server })
    }

    /// Returns the drains, state queries and orders that are due now.
    pub fn tick(
        &mut self,
        now: ClockTime,
        registry: &ServerRegistry,
        weights: &WeightsHistory,
    ) -> Vec<RolloutEffect> {
        if self.lease.order_fencing(now).is_none() {
            return Vec::new();
        }
        self.prune_loads(now, registry, weights);
        let mut effects = self.due_queries(now, registry);
        for (model, version) in weights.newest_versions() {
            effects.extend(self.due_orders(now, registry, weights, model, version));
        }
        effects
    }

    /// Stops tracking servers that are gone, are up to date or have exceeded [`MAX_LOAD_TIME`], and orders
    /// that are older than the handover gap.
    fn prune_loads(&mut self, now: ClockTime, registry: &ServerRegistry, history: &WeightsHistory) {
        let gap = self.settings.handover_gap;
        self.ordered_at.retain(|_, at| now.since(*at) < gap);
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
            let queried = match loading.stage {
                LoadStage::Loading | LoadStage::Unconfirmed => LoadStage::Queried,
                LoadStage::Draining => LoadStage::QueriedDraining,
                _ => continue,
            };
            let Some(server) = registry.get(*key) else { continue };
            // A server that limits requests is queried only once, before the order.
            let is_drained_soon =
                loading.stage == LoadStage::Draining && now.since(loading.since) < MAX_DRAIN_TIME;
            let may_wait = is_drained_soon && server.limit.rate().is_some();
            if now < loading.due || may_wait || server.health.is_at_rest(now) {
                continue;
            }
            if let Some(weights) = server.listing.weights.first() {
                loading.stage = queried;
                effects.push(RolloutEffect::Query { server: *key, model: weights.model.clone() });
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
        let engines = registry.iter().filter(|(_, server)| {
            server.availability != ServerAvailability::Leaving
                && server.weights_version(model).is_some()
        });
        let engines: Vec<_> = engines.collect();
        let engine_count = engines.len();
        let mut effects = self.start_drains(now, engines, weights, model, version);
        let ordered = self.loading.values().filter(|loading| loading.is_loading(now)).count();
        let free = (engine_count / ENGINES_PER_ORDER).max(1).saturating_sub(ordered);
        let behind = |key: &ServerKey| {
            let server = registry.get(*key).filter(|server| !server.health.is_at_rest(now));
            server
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
            if let Some(server) = registry.get(key) {
                self.ordered_at.insert(server.listing.instance.clone(), now);
            }
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

    /// Drains the next servers that need new weights, the least loaded first.
    fn start_drains(
        &mut self,
        now: ClockTime,
        engines: Vec<(ServerKey, &BackendServer)>,
        weights: &WeightsHistory,
        model: &str,
        version: WeightsVersion,
    ) -> Vec<RolloutEffect> {
        let required = self.out_of_service_for_deadline(now, &engines, weights, model);
        let limit = max_out_of_service(now, &engines).max(required);
        let current = self.loading.values().filter(|loading| loading.is_out_of_service()).count();
        // An order of the previous holder may still arrive at these servers.
        let gap = self.settings.handover_gap;
        let excluded = |server: &BackendServer| {
            let ordered_at = self.ordered_at.get(&server.listing.instance);
            ordered_at.is_some_and(|at| *at <= self.acquired_at && now.since(*at) < gap)
        };
        let mut behind: Vec<_> = engines
            .into_iter()
            .filter(|(_, server)| !excluded(server) && !server.health.is_at_rest(now))
            .filter(|(key, server)| {
                let idle =
                    self.loading.get(key).is_none_or(|loading| loading.stage == LoadStage::Idle);
                idle && server.weights_version(model).is_some_and(|held| held < version)
            })
            .collect();
        behind.sort_by_key(|(key, server)| {
            let load = server.health.load_report(now).unwrap_or_default();
            let unresponsive = server.health.is_unresponsive() || server.health.in_backoff(now);
            (unresponsive, server.prefill_backlog.tokens(now), load.running + load.waiting, *key)
        });
        let next = behind.into_iter().take(limit.saturating_sub(current));
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
    /// Number of engines that have to be out of service at a time so that all have the newest
    /// weights before the old ones may no longer be used.
    fn out_of_service_for_deadline(
        &self,
        now: ClockTime,
        engines: &[(ServerKey, &BackendServer)],
        weights: &WeightsHistory,
        model: &str,
    ) -> usize {
        let replaced = engines
            .iter()
            .filter_map(|(_, server)| weights.replaced_at(model, server.weights_version(model)?));
        let replaced: Vec<ClockTime> = replaced.collect();
        let Some(first) = replaced.iter().min() else { return 0 };
        let deadline = *first + self.settings.old_version_lifetime;
        let left = deadline.since(now + DEADLINE_MARGIN).max(DRAIN_AND_LOAD_TIME);
        let rounds = (left.as_secs_f64() / DRAIN_AND_LOAD_TIME.as_secs_f64()).floor().max(1.0);
        let wanted = (replaced.len() as f64 / rounds).ceil() as usize;
        wanted.min((engines.len() / ENGINES_PER_DRAIN).max(1))
    }
}

/// Number of engines that may be out of service for loading at a time. Unresponsive engines count
/// against it, because they serve no requests either.
fn max_out_of_service(now: ClockTime, engines: &[(ServerKey, &BackendServer)]) -> usize {
    let responsive = engines
        .iter()
        .filter(|(_, server)| !server.health.is_unresponsive() && !server.health.in_backoff(now));
    let responsive = responsive.count();
    let waiting: u64 = engines.iter().map(|(_, server)| server.prefill_backlog.tokens(now)).sum();
    let busy = waiting > BUSY_TOKENS * responsive as u64;
    let share = if busy { ENGINES_PER_BUSY_DRAIN } else { ENGINES_PER_DRAIN };
    let unresponsive = engines.len() - responsive;
    (responsive / share).saturating_sub(unresponsive).max(1)
}
