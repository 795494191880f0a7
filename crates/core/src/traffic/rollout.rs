//! Brings the engines to the newest weights, one node at a time being in charge.
//!
//! The node that holds the lease sends the orders. A node that takes the lease over waits until no
//! order of its predecessor can still arrive. A bounded part of the engines loads at once, those
//! with the least to do first. An order without an answer is read back before it is repeated, and
//! it carries the number of orders that the server had accepted, so that a late copy does nothing.

use std::{collections::HashMap, time::Duration};

use super::{
    BackendServer, OrderReply, RolloutEffect, RolloutSettings, ServerOrder, ServerRoster,
    ServerStanding, WeightsHistory,
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
const ENGINES_PER_RETIREMENT: usize = 2;
/// The same while the others have much to read.
const ENGINES_PER_BUSY_RETIREMENT: usize = 6;
/// Prompt tokens that await reading at an engine on average from which on all have much to read.
const BUSY_TOKENS: u64 = 3_000;
/// Time in which a busy engine runs empty and loads.
const DRAIN_TIME: Duration = Duration::from_millis(2_200);
/// Time before the end of older weights by which all engines should have newer ones.
const BOUND_MARGIN: Duration = Duration::from_millis(1_200);
/// Time for which a server is kept from requests before it is read, and between two readings: an
/// order would hold up the server until its last request ends.
const RETIRE_TIME: Duration = Duration::from_millis(200);
/// Time after which a server is ordered although it still runs requests.
const MAX_RETIRE_TIME: Duration = Duration::from_millis(1_200);
/// Usual time of a load in an engine without requests.
const LOAD_TIME: Duration = Duration::from_millis(420);
/// Time after an accepted order until the server is first read.
const FIRST_READING: Duration = Duration::from_millis(450);
/// Time between two readings of a server.
const NEXT_READING: Duration = Duration::from_millis(500);
/// Time after an order without an answer until the server is read.
const LOST_ORDER_TIME: Duration = Duration::from_millis(60);
/// Time after a failed order or reading until the server is tried again.
const RETRY_TIME: Duration = Duration::from_millis(500);
/// Time after which an accepted load is taken as lost with its server.
const MAX_LOAD_TIME: Duration = Duration::from_secs(8);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LoadStage {
    /// Kept from requests; read at `due`.
    Retiring,
    /// The same, with a reading under way.
    RetiringAsked,
    /// Without requests: ordered next.
    Retired,
    /// Waits for the reply of an order.
    Ordered,
    /// Waits for the reply of a reading.
    Asked,
    /// Accepted; read at `due`.
    Loading,
    /// Failed or unknown; read at `due` before any further order.
    Doubtful,
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
    pub fn recent_orders(&self, now: ClockTime) -> Vec<ServerKey> {
        let gap = self.settings.holder_gap;
        let recent = self.ordered_at.iter().filter(|(_, at)| now.since(**at) < gap);
        let mut servers: Vec<ServerKey> = recent.map(|(key, _)| *key).collect();
        servers.sort_unstable();
        servers
    }

    /// Takes the duty over from a holder that has written down which servers it ordered: the
    /// others may be ordered at once.
    pub fn take_over(&mut self, now: ClockTime, ordered: impl IntoIterator<Item = ServerKey>) {
        self.lease.skip_predecessor_wait(now);
        self.ordered_at.extend(ordered.into_iter().map(|key| (key, now)));
    }

    /// Handles what the host learned about the lease.
    pub fn on_lease(&mut self, now: ClockTime, event: LeaseEvent) {
        if matches!(event, LeaseEvent::Acquired { .. }) {
            self.loading.clear();
            self.ordered_at.clear();
            self.acquired_at = now;
        }
        self.lease.on_event(now, event);
    }

    /// The fencing token while the lease is valid.
    pub fn fencing(&self, now: ClockTime) -> Option<u64> {
        self.lease.fencing(now)
    }

    /// Whether the duty has to be given back because this node has counted its lease as ended.
    pub fn has_lapsed(&self, now: ClockTime) -> bool {
        self.lease.has_expired(now)
    }

    /// The fencing token while an order may leave. Read again right before the bytes do.
    pub fn order_fencing(&self, now: ClockTime) -> Option<u64> {
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
            OrderReply::Accepted => loading.wait(LoadStage::Loading, now + FIRST_READING),
            OrderReply::Conflict => loading.wait(LoadStage::Doubtful, now + NEXT_READING),
            // The server is kept from requests, read again and ordered again if it has not loaded.
            OrderReply::Unknown if loading.stage == LoadStage::Ordered => {
                loading.wait(LoadStage::Retiring, now + LOST_ORDER_TIME);
            }
            OrderReply::Refused | OrderReply::Unknown => {
                loading.wait(LoadStage::Doubtful, now + RETRY_TIME);
            }
            OrderReply::Reading { busy, sequence, requests, .. } => {
                loading.sequence = Some(*sequence);
                let patient = now.since(loading.since) < MAX_RETIRE_TIME;
                if *busy {
                    loading.wait(LoadStage::Loading, now + NEXT_READING);
                } else if loading.stage != LoadStage::RetiringAsked {
                    loading.wait(LoadStage::Idle, now);
                } else if *requests > 0 && patient {
                    loading.wait(LoadStage::Retiring, now + RETIRE_TIME);
                } else {
                    loading.wait(LoadStage::Retired, now);
                }
            }
            OrderReply::Fenced => loading.wait(LoadStage::Idle, now),
        }
        // A server that does not load for us may have requests again.
        let released = matches!(loading.stage, LoadStage::Doubtful | LoadStage::Idle);
        released.then_some(RolloutEffect::Release { server })
    }

    /// Returns what is due now.
    pub fn tick(
        &mut self,
        now: ClockTime,
        roster: &ServerRoster,
        weights: &WeightsHistory,
    ) -> Vec<RolloutEffect> {
        if self.lease.order_fencing(now).is_none() {
            return Vec::new();
        }
        self.forget_ended(now, roster, weights);
        let mut effects = self.due_readings(now, roster);
        for (model, version) in weights.newest() {
            effects.extend(self.orders(now, roster, weights, model, version));
        }
        effects
    }

    /// Drops servers that are gone, up to date, or did not finish in time.
    fn forget_ended(&mut self, now: ClockTime, roster: &ServerRoster, history: &WeightsHistory) {
        self.loading.retain(|key, loading| {
            let Some(server) = roster.get(*key) else { return false };
            let behind = server
                .listing
                .weights
                .iter()
                .any(|held| history.replaced_at(&held.model, held.version).is_some());
            behind && now.since(loading.since) < MAX_LOAD_TIME
        });
    }

    fn due_readings(&mut self, now: ClockTime, roster: &ServerRoster) -> Vec<RolloutEffect> {
        let mut effects = Vec::new();
        for (key, loading) in &mut self.loading {
            let asked = match loading.stage {
                LoadStage::Loading | LoadStage::Doubtful => LoadStage::Asked,
                LoadStage::Retiring => LoadStage::RetiringAsked,
                _ => continue,
            };
            if now < loading.due {
                continue;
            }
            let model = roster.get(*key).and_then(|server| server.listing.weights.first());
            if let Some(weights) = model {
                loading.stage = asked;
                effects.push(RolloutEffect::Read { server: *key, model: weights.model.clone() });
            }
        }
        effects
    }

    fn orders(
        &mut self,
        now: ClockTime,
        roster: &ServerRoster,
        weights: &WeightsHistory,
        model: &str,
        version: WeightsVersion,
    ) -> Vec<RolloutEffect> {
        let Some(fencing) = self.lease.order_fencing(now) else { return Vec::new() };
        let serving = roster.iter().filter(|(_, server)| {
            server.standing != ServerStanding::Leaving && server.weights(model).is_some()
        });
        let serving: Vec<_> = serving.collect();
        let engines = serving.len();
        let mut effects = self.retire(now, serving, weights, model, version);
        let ordered = self.loading.values().filter(|loading| loading.is_loading(now)).count();
        let free = (engines / ENGINES_PER_ORDER).max(1).saturating_sub(ordered);
        let behind = |key: &ServerKey| {
            roster
                .get(*key)
                .and_then(|server| server.weights(model))
                .is_some_and(|held| held < version)
        };
        let retired =
            self.loading.iter().filter(|(_, loading)| loading.stage == LoadStage::Retired);
        let mut due: Vec<(ClockTime, ServerKey)> = retired
            .filter(|(key, _)| behind(key))
            .map(|(key, loading)| (loading.since, *key))
            .collect();
        due.sort_unstable();
        for (_, key) in due.into_iter().take(free) {
            let Some(loading) = self.loading.get_mut(&key) else { continue };
            loading.wait(LoadStage::Ordered, now);
            loading.ordered_at = now;
            self.ordered_at.insert(key, now);
            effects.push(RolloutEffect::Order(ServerOrder {
                server: key,
                model: model.to_string(),
                version,
                fencing,
                expected: loading.sequence,
            }));
        }
        effects
    }

    /// Keeps requests from the next servers that will load, those with the least to do first.
    fn retire(
        &mut self,
        now: ClockTime,
        serving: Vec<(ServerKey, &BackendServer)>,
        weights: &WeightsHistory,
        model: &str,
        version: WeightsVersion,
    ) -> Vec<RolloutEffect> {
        let in_time = self.retired_in_time(now, &serving, weights, model);
        let most = retired_at_most(now, &serving).max(in_time);
        let retired = self.loading.values().filter(|loading| loading.is_retired()).count();
        // Orders of the holder before this one must not meet those of this one.
        let gap = self.settings.holder_gap;
        let barred = |key: &ServerKey| {
            let ordered_at = self.ordered_at.get(key);
            ordered_at.is_some_and(|at| *at <= self.acquired_at && now.since(*at) < gap)
        };
        let mut behind: Vec<_> = serving
            .into_iter()
            .filter(|(key, _)| !barred(key))
            .filter(|(key, server)| {
                let idle =
                    self.loading.get(key).is_none_or(|loading| loading.stage == LoadStage::Idle);
                idle && server.weights(model).is_some_and(|held| held < version)
            })
            .collect();
        behind.sort_by_key(|(key, server)| {
            let load = server.health.load(now).unwrap_or_default();
            let doubtful = server.health.is_doubtful() || server.health.is_paused(now);
            (doubtful, server.reading.tokens(now), load.running + load.waiting, *key)
        });
        let next = behind.into_iter().take(most.saturating_sub(retired));
        let mut effects = Vec::new();
        for (key, server) in next {
            let load = server.health.load(now);
            let idle = server.in_flight == 0 && load.is_none_or(|load| load.running == 0);
            let due = if idle { now } else { now + RETIRE_TIME };
            let sequence = self.loading.get(&key).and_then(|loading| loading.sequence);
            let stage = LoadStage::Retiring;
            let loading = ServerLoading { stage, since: now, due, ordered_at: now, sequence };
            self.loading.insert(key, loading);
            effects.push(RolloutEffect::Retire { server: key });
        }
        effects
    }
}

impl RolloutPlanner {
    /// Number of engines that have to be kept from requests at a time so that all have the newest
    /// weights before the older ones may no longer be used.
    fn retired_in_time(
        &self,
        now: ClockTime,
        serving: &[(ServerKey, &BackendServer)],
        weights: &WeightsHistory,
        model: &str,
    ) -> usize {
        let replaced = serving
            .iter()
            .filter_map(|(_, server)| weights.replaced_at(model, server.weights(model)?));
        let replaced: Vec<ClockTime> = replaced.collect();
        let Some(first) = replaced.iter().min() else { return 0 };
        let bound = *first + self.settings.version_time;
        let left = bound.since(now + BOUND_MARGIN).max(DRAIN_TIME);
        let rounds = (left.as_secs_f64() / DRAIN_TIME.as_secs_f64()).floor().max(1.0);
        let wanted = (replaced.len() as f64 / rounds).ceil() as usize;
        wanted.min((serving.len() / ENGINES_PER_RETIREMENT).max(1))
    }
}

/// Number of engines that may be kept from requests at a time. Those that do not answer are kept
/// from requests already.
fn retired_at_most(now: ClockTime, serving: &[(ServerKey, &BackendServer)]) -> usize {
    let answering = serving
        .iter()
        .filter(|(_, server)| !server.health.is_doubtful() && !server.health.is_paused(now));
    let answering = answering.count();
    let waiting: u64 = serving.iter().map(|(_, server)| server.reading.tokens(now)).sum();
    let busy = waiting > BUSY_TOKENS * answering as u64;
    let share = if busy { ENGINES_PER_BUSY_RETIREMENT } else { ENGINES_PER_RETIREMENT };
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
        matches!(self.stage, LoadStage::Ordered | LoadStage::Asked | LoadStage::Loading)
    }

    /// Whether the server is kept from requests.
    fn is_retired(&self) -> bool {
        let retiring = matches!(
            self.stage,
            LoadStage::Retiring | LoadStage::RetiringAsked | LoadStage::Retired
        );
        retiring || self.is_ordered()
    }
}
