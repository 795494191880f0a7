//! Watches an engine: its state, load reports and cache events.
//!
//! The results only affect the estimated cost of routing decisions, except that an engine that does
//! not answer gets no requests until it does.

use std::{sync::Arc, time::Duration};

use carobvane_core::{
    ids::{AddressId, IncarnationId, ServerKey, WeightsVersion},
    prefix::PieceHash,
    routing::{CacheUpdate, ReportedLoad, ServerUpdate},
};
use carobvane_proto::engine::{CacheChange, CacheEvent, EngineState, LoadReport};
use eventsource_stream::Eventsource;
use futures::{Stream, StreamExt};
use serde::de::DeserializeOwned;

use super::shared::EntryShared;
use crate::clock;

/// Interval at which an engine's state and load are read. Nine entries that read twice a second
/// send an engine 36 small requests a second.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before an engine that did not answer is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Timeout for reading an engine's state or load.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Watches an engine until it leaves the lists or changes its address.
pub async fn watch_engine(shared: Arc<EntryShared>, name: String, address: String) {
    let client = awc::Client::builder().timeout(POLL_TIMEOUT).finish();
    let mut watch = EngineWatch { shared, name, address, client, last_event: None };
    while watch.is_listed() {
        if watch.poll().await {
            watch.follow_events().await;
            watch.record_lost_connection();
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

struct EngineWatch {
    shared: Arc<EntryShared>,
    name: String,
    address: String,
    client: awc::Client,
    /// Incarnation and sequence number of the last cache event applied.
    last_event: Option<(u64, u64)>,
}

impl EngineWatch {
    fn is_listed(&self) -> bool {
        let Some(lists) = self.shared.lists() else { return false };
        lists.server(&self.name).is_some_and(|server| server.address == self.address)
    }

    fn server_key(&self) -> Option<ServerKey> {
        self.shared.routing().server(&self.name)
    }

    /// Reads the engine's state and load and passes them to the router. Returns whether the engine
    /// answered.
    async fn poll(&self) -> bool {
        let asked_at = clock::now();
        let state = self.fetch::<EngineState>("/state").await;
        let load = self.fetch::<LoadReport>("/load").await;
        let Some(key) = self.server_key() else { return false };
        let (Some(state), Some(load)) = (state, load) else {
            self.shared.routing().router.set_server_unreachable(key, true);
            return false;
        };
        self.apply_state(key, &state);
        // Hedges are only sent to engines whose incarnation is known.
        self.shared.suspects.record_incarnation(&self.name, state.incarnation, asked_at);
        let report = ReportedLoad {
            running: load.running,
            waiting: load.waiting,
            waiting_tokens: load.waiting_tokens,
        };
        let incarnation = IncarnationId(load.incarnation);
        self.shared.routing().router.apply_load_report(clock::now(), key, incarnation, report);
        true
    }

    fn apply_state(&self, key: ServerKey, state: &EngineState) {
        let slots = match self.shared.lists() {
            Some(lists) => lists.server(&self.name).map_or(1, |server| server.slots),
            None => 1,
        };
        let mut routing = self.shared.routing();
        let models: Vec<_> = state
            .models
            .iter()
            .map(|held| (routing.model_key(&held.model), WeightsVersion(held.version)))
            .collect();
        routing.router.upsert_server(&ServerUpdate {
            address: AddressId::from_address(&self.address),
            incarnation: IncarnationId(state.incarnation),
            models: &models,
            slots,
        });
        routing.router.set_server_unreachable(key, false);
    }

    async fn fetch<T: DeserializeOwned>(&self, path: &str) -> Option<T> {
        let url = format!("http://{}{path}", self.address);
        let mut response = self.client.get(url).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        response.json().await.ok()
    }

    /// Applies cache events and polls state and load in between, until the connection breaks or the
    /// engine leaves the lists.
    async fn follow_events(&mut self) {
        let after = self.last_event.map_or(0, |(_, sequence)| sequence);
        let url = format!("http://{}/cache/events?after={after}", self.address);
        let Ok(response) = self.client.get(url).send().await else { return };
        if !response.status().is_success() {
            return;
        }
        let mut events = Box::pin(response.eventsource());
        loop {
            let next = tokio::time::timeout(POLL_INTERVAL, self.apply_events(&mut events)).await;
            let broken = next.is_ok();
            if broken || !self.is_listed() || !self.poll().await {
                return;
            }
        }
    }

    /// Applies cache events until the connection breaks.
    async fn apply_events<S, E>(&mut self, events: &mut S)
    where
        S: Stream<Item = Result<eventsource_stream::Event, E>> + Unpin,
    {
        while let Some(Ok(event)) = events.next().await {
            match serde_json::from_str(&event.data) {
                Ok(event) => self.apply_event(&event),
                Err(error) => {
                    log::warn!(server = self.name, error:% = error; "failed to parse a cache event");
                    return;
                }
            }
        }
    }

    fn apply_event(&mut self, event: &CacheEvent) {
        let Some(key) = self.server_key() else { return };
        let pieces: Vec<PieceHash> = match &event.change {
            CacheChange::Stored { hashes } | CacheChange::Removed { hashes } => {
                hashes.iter().copied().map(PieceHash::from_raw).collect()
            }
            CacheChange::Cleared => Vec::new(),
        };
        let update = match event.change {
            CacheChange::Stored { .. } => CacheUpdate::Stored(&pieces),
            CacheChange::Removed { .. } => CacheUpdate::Removed(&pieces),
            CacheChange::Cleared => CacheUpdate::Cleared,
        };
        let incarnation = IncarnationId(event.incarnation);
        let now = clock::now();
        metrics::counter!("carobvane_cache_events_total").increment(1);
        let mut routing = self.shared.routing();
        routing.router.apply_cache_event(now, key, incarnation, event.sequence, update);
        self.last_event = Some((event.incarnation, event.sequence));
    }

    /// Reports to the router that events may be missing after a lost connection. Forgets the last
    /// event if it belongs to an earlier incarnation of the engine.
    fn record_lost_connection(&mut self) {
        let Some(key) = self.server_key() else { return };
        let mut routing = self.shared.routing();
        let incarnation = routing.router.table().get(key).map(|record| record.incarnation.0);
        if self.last_event.map(|(incarnation, _)| incarnation) != incarnation {
            self.last_event = None;
        }
        routing.router.record_event_gap(key);
    }
}
