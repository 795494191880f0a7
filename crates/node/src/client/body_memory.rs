//! Memory of the bodies that are read, and the wait for it.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use tokio::{
    sync::{Notify, futures::Notified},
    time::{Instant, sleep_until},
};

use super::body_budget::{BodyBudget, BodyKey, BodyLimits, GrowDecision};
use crate::clock;

/// Longest time that a body waits for memory before it is refused. The refused client
/// is told to retry after a second, since bodies without progress are ended within that time.
const WAIT_TIME: Duration = Duration::from_millis(250);

/// Memory of all bodies of a node. It is shared with the bytes of bodies, which may be dropped anywhere.
#[derive(Debug)]
pub struct BodyMemory {
    budget: Mutex<BodyBudget>,
    /// Wakes the bodies that wait for memory or for their next bytes.
    changed: Notify,
}

/// Why a body got no memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoMemory {
    /// The other bodies did not return enough in time.
    Full,
    /// The body made no progress while others waited.
    Stalled,
}

/// Memory of one body. Dropping it returns the memory.
#[derive(Debug)]
pub struct BodyShare {
    memory: Arc<BodyMemory>,
    key: BodyKey,
}

/// A whole body with its memory.
struct ArrivedBody {
    bytes: Vec<u8>,
    _share: BodyShare,
}

impl AsRef<[u8]> for ArrivedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyMemory {
    /// Creates a memory that nothing is taken from.
    pub fn new(limits: BodyLimits) -> Arc<BodyMemory> {
        let budget = Mutex::new(BodyBudget::new(limits));
        Arc::new(BodyMemory { budget, changed: Notify::new() })
    }

    /// Returns the memory of a body of which nothing has arrived.
    pub fn open(self: &Arc<Self>) -> BodyShare {
        let key = self.budget().open(clock::now());
        BodyShare { memory: self.clone(), key }
    }

    /// Returns the size of the largest body that fits if there is no other one.
    pub fn max_body_bytes(&self) -> usize {
        self.budget().max_body_bytes()
    }

    /// Returns the bytes that bodies have taken beyond their guaranteed sizes.
    pub fn taken(&self) -> usize {
        self.budget().taken()
    }

    fn budget(&self) -> MutexGuard<'_, BodyBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BodyShare {
    /// Takes memory for `bytes` bytes, and waits for it briefly.
    pub async fn grow(&self, bytes: usize) -> Result<(), NoMemory> {
        let deadline = Instant::now() + WAIT_TIME;
        loop {
            let changed = self.changed();
            let decision = self.memory.budget().grow(clock::now(), self.key, bytes);
            match decision {
                GrowDecision::Granted => return Ok(()),
                GrowDecision::Dropped => return Err(NoMemory::Stalled),
                GrowDecision::Wait { has_dropped: true } => self.memory.changed.notify_waiters(),
                // Without a change, waking the others would make them wake this one again.
                GrowDecision::Wait { has_dropped: false } => {}
            }
            if Instant::now() >= deadline {
                return Err(NoMemory::Full);
            }
            tokio::select! {
                () = changed => {}
                () = sleep_until(deadline) => return Err(NoMemory::Full),
            }
        }
    }

    /// Waits until the body must end.
    pub async fn wait_dropped(&self) {
        loop {
            let changed = self.changed();
            if self.memory.budget().is_dropped(self.key) {
                return;
            }
            changed.await;
        }
    }

    /// Returns the body with its memory, which the last clone of it returns.
    pub fn finish(self, bytes: Vec<u8>) -> Result<Bytes, NoMemory> {
        if !self.memory.budget().finish(self.key) {
            return Err(NoMemory::Stalled);
        }
        Ok(Bytes::from_owner(ArrivedBody { bytes, _share: self }))
    }

    fn changed(&self) -> Notified<'_> {
        self.memory.changed.notified()
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.memory.budget().close(self.key);
        self.memory.changed.notify_waiters();
    }
}
