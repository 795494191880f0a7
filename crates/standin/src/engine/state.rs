//! State of a simulated engine, which its handlers and its compute loop access under one lock.

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

/// Number of past cache events kept for subscribers that ask for a replay.
const EVENT_LOG_ENTRIES: usize = 65_536;

/// A cache event and the time at which it is delivered to subscribers.
pub type DelayedEvent = (Instant, CacheEvent);

/// State of an engine: jobs, cache, event log and load samples.
#[derive(Debug)]
pub struct EngineCore {
    /// Settings, which a crash does not reset.
    pub settings: EngineSettings,
    /// Current faults, which a crash does not reset.
    pub faults: EngineFaults,
    /// Counters since the start, over all incarnations.
    pub counters: EngineCounters,
    /// Prefix cache, emptied by a crash and by new weights.
    pub cache: PieceCache,
    /// Jobs that wait for a slot.
    pub waiting: Vec<BatchJob>,
    /// Jobs in a slot with prompt tokens left to compute.
    pub prefilling: Vec<BatchJob>,
    /// Jobs in a slot with completion tokens left to compute.
    pub running: Vec<BatchJob>,
    /// State reported by `GET /state`.
    pub state: EngineState,
    /// Whether the engine has crashed and not restarted yet.
    pub down: bool,
    next_job: u64,
    event_sequence: u64,
    event_log: VecDeque<DelayedEvent>,
    subscribers: Vec<UnboundedSender<DelayedEvent>>,
    /// Load samples. The first is the latest one that is at least `load_lag_ms` old, if any is.
    load_samples: VecDeque<(Instant, LoadReport)>,
    rng: SmallRng,
}

impl EngineCore {
    /// Creates an engine with an empty cache and no jobs.
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
            load_samples: VecDeque::new(),
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// Converts simulated milliseconds to real time.
    pub fn real_duration(&self, simulated: f64) -> Duration {
        millis(simulated / self.settings.time_scale)
    }

    /// Queues a job. Returns `false` while the engine is down.
    pub fn submit(&mut self, mut job: BatchJob) -> bool {
        if self.down {
            return false;
        }
        self.next_job += 1;
        job.arrival_number = self.next_job;
        self.counters.requests += 1;
        self.waiting.push(job);
        true
    }

    /// Crashes the engine: resets everything except settings, faults and counters, and starts a new
    /// incarnation that is down until the restart.
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
        self.load_samples.clear();
        self.event_sequence = 0;
        self.state.incarnation += 1;
        self.state.models = self.settings.models.clone();
        self.state.loading = false;
        self.state.fencing = self.settings.check_fencing.then_some(0);
    }

    /// Inserts the pieces of a prompt into the cache and publishes the changes.
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

    /// Publishes a cache event, or drops it according to `event_loss`. A dropped event leaves a gap
    /// in the sequence numbers.
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

    /// Adds a subscriber. With `after`, it first gets the logged events with higher sequence
    /// numbers.
    pub fn subscribe(&mut self, sender: UnboundedSender<DelayedEvent>, after: Option<u64>) {
        if let Some(after) = after {
            for due in self.event_log.iter().filter(|(_, event)| event.sequence > after) {
                let _ = sender.send(due.clone());
            }
        }
        self.subscribers.push(sender);
    }

    /// Returns the load at this moment.
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

    /// Records the current load for later reports and discards samples that are no longer needed.
    pub fn sample_load(&mut self) {
        let now = Instant::now();
        let lag = self.real_duration(self.settings.load_lag_ms);
        self.load_samples.push_back((now, self.current_load()));
        while self.load_samples.len() > 1 && now.duration_since(self.load_samples[1].0) >= lag {
            self.load_samples.pop_front();
        }
    }

    /// Returns the load as it was `load_lag_ms` ago, or an empty one if there is no sample so old.
    pub fn reported_load(&self) -> LoadReport {
        let lag = self.real_duration(self.settings.load_lag_ms);
        let now = Instant::now();
        let old = self.load_samples.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        let none = LoadReport {
            incarnation: self.state.incarnation,
            slots: self.settings.slots as u32,
            ..LoadReport::default()
        };
        old.map_or(none, |(_, report)| report.clone())
    }

    /// Returns the weights version to serve a request with: the wanted one, or the highest loaded
    /// one if none is named. `None` if no such version is loaded.
    pub fn held_version(&self, model: &str, wanted: Option<u64>) -> Option<u64> {
        let held = self.state.models.iter().filter(|held| held.model == model);
        let mut versions = held.map(|held| held.version);
        match wanted {
            Some(wanted) => versions.find(|version| *version == wanted),
            None => versions.max(),
        }
    }

    /// Returns whether any weights version of the model is loaded.
    pub fn holds_model(&self, model: &str) -> bool {
        self.state.models.iter().any(|held| held.model == model)
    }

    /// Checks the fencing number of an order and records it. A missing number counts as 0. Fails
    /// with the highest number seen if that is higher. Accepts every order without `check_fencing`.
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

    /// Applies an order. Returns the weights that it asks for if they are not loaded; the caller
    /// loads them.
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

    /// Finishes a weights load that started in `incarnation`; ignored if the engine crashed since.
    /// If an engine that holds one version gets another one, its cache is cleared, because the
    /// entries were computed with other weights.
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

    /// Returns those of the hashes that are cached.
    pub fn export(&self, salt: u64, hashes: &[u64]) -> Vec<u64> {
        hashes.iter().copied().filter(|hash| self.cache.contains(salt, *hash)).collect()
    }
}

/// Encodes a cache event as an SSE event.
pub fn event_frame(event: &CacheEvent) -> Bytes {
    let text = serde_json::to_string(event).unwrap_or_default();
    Bytes::from(format!("data: {text}\n\n"))
}
