//! Memory that servers' responses may take before they are forwarded, over all requests of a node.

use std::{cell::Cell, rc::Rc};

/// Memory that each response may take in any case, in bytes. Usual responses and events fit.
const GUARANTEED_BYTES: usize = 64 * 1024;
/// Memory that all responses together may take beyond that, in bytes.
const SHARED_BYTES: usize = 16 * 1024 * 1024;

/// Memory that responses share.
#[derive(Debug, Default)]
pub struct ResponseMemory {
    /// Bytes taken beyond the guaranteed ones. Invariant: the sum over all shares.
    taken: Cell<usize>,
}

/// Memory of one response. Dropping it returns the memory.
#[derive(Debug)]
pub struct MemoryShare {
    memory: Rc<ResponseMemory>,
    taken: usize,
}

impl ResponseMemory {
    /// Returns an empty share.
    pub fn share(self: &Rc<Self>) -> MemoryShare {
        MemoryShare { memory: self.clone(), taken: 0 }
    }
}

impl MemoryShare {
    /// Sets the memory of the response to `bytes`. Returns whether there is that much.
    #[must_use]
    pub fn resize(&mut self, bytes: usize) -> bool {
        let wanted = bytes.saturating_sub(GUARANTEED_BYTES);
        let others = self.memory.taken.get() - self.taken;
        if wanted > 0 && others + wanted > SHARED_BYTES {
            return false;
        }
        self.memory.taken.set(others + wanted);
        self.taken = wanted;
        true
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.memory.taken.set(self.memory.taken.get() - self.taken);
    }
}

#[cfg(test)]
mod tests;
