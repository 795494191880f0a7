//! The simulated engine's state behind its lock.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use actix_web::web::Bytes;
use carobvane_proto::engine::{
    CacheChange, CacheEvent, EngineOrder, EngineState, LoadReport, LoadedModel,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::sync::mpsc::UnboundedSender;

use super::{
    batch::BatchJob,
    cache::{CacheKey, PieceCache},
    settings::{EngineCounters, EngineFaults, EngineSettings},
};
use crate::util::millis;

/// Cache events kept for subscribers that ask for earlier ones.
const EVENT_LOG_ENTRIES: usize = 65_536;

/// A cache event with the time at which subscribers may see it.
pub type DelayedEvent = (Instant, CacheEvent);

/// Everything that one engine knows.
#[derive(Debug)]
pub struct EngineCore {
    /// The settings.
    pub settings: EngineSettings,
    /// The faults in force.
    pub faults: EngineFaults,
    /// The counters.
    pub counters: EngineCounters,
    /// The prefix cache.
    pub cache: PieceCache,
    /// Admitted to no slot yet.
    pub waiting: Vec<BatchJob>,
    /// In a slot, with prompt tokens to compute.
    pub prefilling: Vec<BatchJob>,
    /// In a slot, with answer tokens to compute.
    pub running: Vec<BatchJob>,
    /// The engine's state as `GET /state` gives it.
    pub state: EngineState,
    /// Whether the engine is between two lives.
    pub down: bool,
    next_job: u64,
    event_sequence: u64,
    event_log: VecDeque<DelayedEvent>,
    subscribers: Vec<UnboundedSender<DelayedEvent>>,
    loads: VecDeque<(Instant, LoadReport)>,
    rng: SmallRng,
}

impl EngineCore {
    /// Creates an engine with an empty cache in its first life.
    pub fn new(settings: EngineSettings, incarnation: u64) -> EngineCore {
        let state = EngineState {
            incarnation,
            models: settings.models.clone(),
            loading: false,
            role: "unified".to_string(),
            fencing: settings.check_fencing.then_some(0),
        };
        EngineCore {
            faults: EngineFaults::from_settings(&settings),
            counters: EngineCounters::default(),
            cache: PieceCache::new(settings.cache_pieces),
            waiting: Vec::new(),
            prefilling: Vec::new(),
            running: Vec::new(),
            state,
            down: false,
            next_job: 0,
            event_sequence: 0,
            event_log: VecDeque::new(),
            subscribers: Vec::new(),
            loads: VecDeque::new(),
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Real time that `simulated` milliseconds take.
    pub fn real_duration(&self, simulated: f64) -> Duration {
        millis(simulated / self.settings.time_scale)
    }

    /// Takes a request; `false` while the engine is down.
    pub fn submit(&mut self, mut job: BatchJob) -> bool {
        if self.down {
            return false;
        }
        self.next_job += 1;
        job.sequence = self.next_job;
        self.counters.requests += 1;
        self.waiting.push(job);
        true
    }

    /// Loses everything but settings, faults and counters, and goes down before the next life.
    pub fn crash(&mut self) {
        self.down = true;
        let lost = self.waiting.len() + self.prefilling.len() + self.running.len();
        self.counters.lost += lost as u64;
        self.counters.crashes += 1;
        self.waiting.clear();
        self.prefilling.clear();
        self.running.clear();
        self.cache.clear();
        self.subscribers.clear();
        self.event_log.clear();
        self.loads.clear();
        self.event_sequence = 0;
        self.state.incarnation += 1;
        self.state.models = self.settings.models.clone();
        self.state.loading = false;
        self.state.fencing = self.settings.check_fencing.then_some(0);
    }

    /// Stores a chain in the cache and publishes the changes.
    pub fn store_pieces(&mut self, salt: u64, hashes: &[u64]) {
        let (entered, left) = self.cache.store_chain(salt, hashes);
        if !entered.is_empty() {
            self.publish(CacheChange::Stored { hashes: entered });
        }
        if !left.is_empty() {
            let hashes = left.iter().map(|(_, hash): &CacheKey| *hash).collect();
            self.publish(CacheChange::Removed { hashes });
        }
    }

    fn publish(&mut self, change: CacheChange) {
        self.event_sequence += 1;
        if self.rng.random_bool(self.faults.event_loss.clamp(0.0, 1.0)) {
            self.counters.events_lost += 1;
            return;
        }
        self.counters.events += 1;
        let incarnation = self.state.incarnation;
        let event = CacheEvent { sequence: self.event_sequence, incarnation, change };
        let due = Instant::now() + self.real_duration(self.settings.event_delay_ms);
        if self.event_log.len() == EVENT_LOG_ENTRIES {
            self.event_log.pop_front();
        }
        self.event_log.push_back((due, event.clone()));
        self.subscribers.retain(|sender| sender.send((due, event.clone())).is_ok());
    }

    /// Adds a subscriber; `after` replays logged events with higher sequence numbers.
    pub fn subscribe(&mut self, sender: UnboundedSender<DelayedEvent>, after: Option<u64>) {
        if let Some(after) = after {
            for due in self.event_log.iter().filter(|(_, event)| event.sequence > after) {
                let _ = sender.send(due.clone());
            }
        }
        self.subscribers.push(sender);
    }

    /// The true load now.
    pub fn current_load(&self) -> LoadReport {
        let queued = self.waiting.iter().chain(&self.prefilling);
        LoadReport {
            incarnation: self.state.incarnation,
            running: self.running.len() as u32,
            waiting: (self.waiting.len() + self.prefilling.len()) as u32,
            waiting_tokens: queued.map(BatchJob::waiting_tokens).sum(),
            slots: self.settings.slots as u32,
        }
    }

    /// Records the load for later reports.
    pub fn sample_load(&mut self) {
        let now = Instant::now();
        let lag = self.real_duration(self.settings.load_lag_ms);
        self.loads.push_back((now, self.current_load()));
        while self.loads.len() > 1 && now.duration_since(self.loads[1].0) >= lag {
            self.loads.pop_front();
        }
    }

    /// The load as it was `load_lag_ms` ago.
    pub fn reported_load(&self) -> LoadReport {
        let lag = self.real_duration(self.settings.load_lag_ms);
        let now = Instant::now();
        let old = self.loads.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        let none = LoadReport {
            incarnation: self.state.incarnation,
            slots: self.settings.slots as u32,
            ..LoadReport::default()
        };
        old.map_or(none, |(_, report)| report.clone())
    }

    /// The version to answer with, if the model is held in the wanted version.
    pub fn held_version(&self, model: &str, wanted: Option<u64>) -> Option<u64> {
        let held = self.state.models.iter().filter(|held| held.model == model);
        let mut versions = held.map(|held| held.version);
        match wanted {
            Some(wanted) => versions.find(|version| *version == wanted),
            None => versions.max(),
        }
    }

    /// Whether any version of the model is held.
    pub fn holds_model(&self, model: &str) -> bool {
        self.state.models.iter().any(|held| held.model == model)
    }

    /// Checks the fencing number of an order; the error is the highest number seen.
    pub fn check_fencing(&mut self, number: Option<u64>) -> Result<(), u64> {
        let Some(highest) = self.state.fencing else { return Ok(()) };
        let number = number.unwrap_or(0);
        if number < highest {
            self.counters.stale_orders += 1;
            return Err(highest);
        }
        self.state.fencing = Some(number);
        Ok(())
    }

    /// Takes an order. Returns the model to load, if one is missing.
    pub fn apply_order(&mut self, order: EngineOrder) -> Option<LoadedModel> {
        match order {
            EngineOrder::TakeRole { role } => {
                self.state.role = role;
                None
            }
            EngineOrder::HoldModel(wanted) if self.state.models.contains(&wanted) => None,
            EngineOrder::HoldModel(wanted) => {
                self.state.loading = true;
                Some(wanted)
            }
        }
    }

    /// Finishes a weights load that began in `incarnation`. A new version clears the cache,
    /// because its entries were computed with other weights.
    pub fn finish_load(&mut self, incarnation: u64, loaded: LoadedModel) {
        if self.state.incarnation != incarnation {
            return;
        }
        let name = loaded.model.clone();
        let version = loaded.version;
        let known = self.holds_model(&name);
        self.state.loading = false;
        self.counters.loads += 1;
        let models = &mut self.state.models;
        models.retain(|held| held.model != name || held.version != version);
        let held = models.iter().filter(|held| held.model == name).count();
        if held >= self.settings.held_versions {
            let oldest = models.iter().position(|held| held.model == name);
            oldest.map(|index| models.remove(index));
        }
        models.push(loaded);
        if known && self.settings.held_versions == 1 {
            self.cache.clear();
            self.publish(CacheChange::Cleared);
        }
    }

    /// The hashes of a chain that the cache holds.
    pub fn export(&self, salt: u64, hashes: &[u64]) -> Vec<u64> {
        hashes.iter().copied().filter(|hash| self.cache.contains(salt, *hash)).collect()
    }
}

/// Frames a cache event for the event stream.
pub fn event_frame(event: &CacheEvent) -> Bytes {
    let text = serde_json::to_string(event).unwrap_or_default();
    Bytes::from(format!("data: {text}\n\n"))
}
