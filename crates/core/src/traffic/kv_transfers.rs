//! How long KV cache takes on its way from a server or a store to the server that needs it.
//!
//! Load pattern: a burst of long prompts with few shared prefixes, which many servers fetch from the same few
//! holders. Transfers follow one another on the link of their source, so that a fetch may take longer
//! than the prefill that it spares.

use std::{collections::HashMap, time::Duration};

use super::{CacheSource, StoreId};
use crate::clock::ClockTime;

/// Time of a query that finds nothing, in ms.
const QUERY_MS: f64 = 1.0;
/// Assumed time for each token, in ms, if the configuration does not tell the speed of the links.
const TOKEN_MS: f64 = 0.006;
/// A transfer between data centres takes this many times as long.
const REMOTE_FACTOR: f64 = 2.0;
/// A transfer that would wait longer for its source's link is not started.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Maximum number of links whose transfers are known.
const MAX_LINKS: usize = 4_096;

/// Links of the engines of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineLinks {
    /// Size of one token in the KV cache in bytes.
    pub token_bytes: f64,
    /// Speed of an engine's link in Mbit/s; `None` if it is not known.
    pub mbps: Option<f64>,
}

/// Speeds of the links, and the transfers that this node has started.
#[derive(Debug, Clone, Default)]
pub struct KvTransfers {
    engines: HashMap<String, EngineLinks>,
    stores: HashMap<StoreId, f64>,
    /// When the last of the transfers that this node started ends on the link of its source. Invariant: at
    /// most [`MAX_LINKS`] entries.
    busy_until: HashMap<CacheSource, ClockTime>,
}

impl KvTransfers {
    /// Replaces the speeds: those of each service's engines by its name, and those of the stores in Mbit/s.
    pub fn configure(
        &mut self,
        engines: HashMap<String, EngineLinks>,
        stores: HashMap<StoreId, f64>,
    ) {
        self.engines = engines;
        self.stores = stores;
    }

    /// Time until a server of `service` would have fetched `tokens` tokens, in ms; `None` if that should not
    /// be started. `is_remote` is whether the source is in another data centre.
    pub fn fetch_ms(
        &self,
        now: ClockTime,
        service: &str,
        source: CacheSource,
        tokens: u32,
        is_remote: bool,
    ) -> Option<f64> {
        let wait = self.busy_until.get(&source).map_or(Duration::ZERO, |until| until.since(now));
        let transfer_ms = self.transfer_ms(service, source, tokens, is_remote);
        (wait <= MAX_WAIT).then_some(wait.as_secs_f64() * 1_000.0 + QUERY_MS + transfer_ms)
    }

    /// Records that this node has a server fetch `tokens` tokens.
    pub fn on_started(
        &mut self,
        now: ClockTime,
        service: &str,
        source: CacheSource,
        tokens: u32,
        is_remote: bool,
    ) {
        let took = self.transfer_ms(service, source, tokens, is_remote).clamp(0.0, 60_000.0);
        if self.busy_until.len() >= MAX_LINKS {
            self.busy_until.retain(|_, until| *until > now);
        }
        if self.busy_until.len() < MAX_LINKS {
            let until = self.busy_until.entry(source).or_insert(now);
            *until = (*until).max(now) + Duration::from_secs_f64(took / 1_000.0);
        }
    }

    /// Time of a transfer on the slower of its two links, in ms.
    fn transfer_ms(&self, service: &str, source: CacheSource, tokens: u32, is_remote: bool) -> f64 {
        let links = self.engines.get(service);
        let own = links.and_then(|links| links.mbps);
        let of_source = match source {
            CacheSource::Server(_) => own,
            CacheSource::Store(store) => self.stores.get(&store).copied(),
        };
        let speeds = [own, of_source].into_iter().flatten().filter(|mbps| *mbps > 0.0);
        let slower = speeds.min_by(f64::total_cmp);
        let token_ms = match (links, slower) {
            (Some(links), Some(mbps)) => links.token_bytes * 8.0 / (mbps * 1_000.0),
            _ => TOKEN_MS,
        };
        let factor = if is_remote { REMOTE_FACTOR } else { 1.0 };
        f64::from(tokens) * token_ms * factor
    }
}
