//! Memory that servers' responses may take before they are forwarded, over all requests of a node.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

use crate::client::body_budget::{BodyLimits, memory_plan::MemoryPlan};

/// Memory that each response may take in any case, in bytes. Usual responses and events fit.
const GUARANTEED_BYTES: usize = 64 * 1024;
/// Memory that all responses together may take beyond that, in bytes.
const SHARED_BYTES: usize = 16 * 1024 * 1024;

/// Memory that responses share. It is shared with the bytes of responses, which may be dropped anywhere.
#[derive(Debug)]
pub struct ResponseMemory {
    limits: BodyLimits,
    /// Whether a whole response keeps its memory until the client's connection has taken it.
    is_held_until_written: bool,
    /// Bytes taken beyond the guaranteed ones. Invariant: the sum over all shares.
    taken: AtomicUsize,
}

/// A whole response with its memory.
struct HeldResponse {
    bytes: Bytes,
    _share: MemoryShare,
}

impl AsRef<[u8]> for HeldResponse {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Memory of one response. Dropping it returns the memory.
#[derive(Debug)]
pub struct MemoryShare {
    memory: Arc<ResponseMemory>,
    taken: usize,
}

impl Default for ResponseMemory {
    fn default() -> ResponseMemory {
        ResponseMemory::with_plan(None)
    }
}

impl ResponseMemory {
    /// Creates the memory of a node, which is smaller if the machine's memory is limited.
    pub fn with_plan(plan: Option<MemoryPlan>) -> ResponseMemory {
        let unlimited =
            BodyLimits { guaranteed_bytes: GUARANTEED_BYTES, shared_bytes: SHARED_BYTES };
        ResponseMemory {
            limits: plan.map_or(unlimited, |plan| plan.responses),
            is_held_until_written: plan.is_some(),
            taken: AtomicUsize::new(0),
        }
    }

    /// Returns an empty share.
    pub fn share(self: &Arc<Self>) -> MemoryShare {
        MemoryShare { memory: self.clone(), taken: 0 }
    }
}

impl MemoryShare {
    /// Sets the memory of the response to `bytes`. Returns whether there is that much.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let limits = self.memory.limits;
        let wanted = bytes.saturating_sub(limits.guaranteed_bytes);
        let others = self.memory.taken.load(Ordering::Relaxed) - self.taken;
        if wanted > 0 && others + wanted > limits.shared_bytes {
            return false;
        }
        self.memory.taken.store(others + wanted, Ordering::Relaxed);
        self.taken = wanted;
        true
    }

    /// Returns a whole response, which keeps its memory until its last clone is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if !self.memory.is_held_until_written {
            return bytes;
        }
        Bytes::from_owner(HeldResponse { bytes, _share: self })
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.memory.taken.fetch_sub(self.taken, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
