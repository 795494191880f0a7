//! A server with slots and a queue, whose times are known when a request arrives.

use std::collections::BTreeMap;

use carobvane_core::traffic::ServerLoad;

const PREFILL_TOKENS_PER_MS: f64 = 69.8;
const STEP_MS: f64 = 4.39;
/// Requests that wait at a server before it rejects further ones.
const WAITING: usize = 4;

/// A server that prefills prompts in order of arrival.
#[derive(Default)]
pub struct ModelServer {
    pub speed: f64,
    pub is_silent: bool,
    pub prefill_free_us: u64,
    /// Ends of running and waiting requests.
    pub ends_us: Vec<u64>,
    /// Earlier loads, by time.
    pub loads: BTreeMap<u64, ServerLoad>,
    /// Time of prefills and first steps at a server of speed 1, in ms.
    pub work_ms: f64,
}

impl ModelServer {
    /// Returns when the first event and the last one come, or none if the server rejects the request.
    pub fn start(
        &mut self,
        now_us: u64,
        tokens: u32,
        output: f64,
        slots: usize,
    ) -> Option<(u64, u64)> {
        self.ends_us.retain(|end| *end > now_us);
        self.ends_us.sort_unstable();
        if self.ends_us.len() >= slots + WAITING {
            return None;
        }
        self.work_ms += STEP_MS + f64::from(tokens) / PREFILL_TOKENS_PER_MS;
        let queued = (self.ends_us.len() + 1).checked_sub(slots).filter(|queued| *queued > 0);
        let slot_us = queued.map_or(now_us, |queued| self.ends_us[queued - 1]);
        let start_us = slot_us.max(self.prefill_free_us);
        let step_ms = STEP_MS / self.speed * (1.0 + self.ends_us.len() as f64 * 0.02);
        let prefill_ms = f64::from(tokens) / PREFILL_TOKENS_PER_MS / self.speed;
        self.prefill_free_us = start_us + ((prefill_ms + step_ms) * 1_000.0) as u64;
        let end_us = self.prefill_free_us + (output * step_ms * 1_000.0) as u64;
        self.ends_us.push(end_us);
        Some((self.prefill_free_us, end_us))
    }

    pub fn load(&self, now_us: u64, slots: usize) -> ServerLoad {
        let busy = self.ends_us.iter().filter(|end| **end > now_us).count();
        ServerLoad {
            running: busy.min(slots) as u32,
            waiting: busy.saturating_sub(slots) as u32,
            slots: slots as u32,
            pace_percent: 100,
        }
    }
}
