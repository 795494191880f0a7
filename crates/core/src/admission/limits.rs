//! Which part of a server's batch long requests may use.

use serde::{Deserialize, Serialize};

use crate::routing::{ClassCounts, RequestClass};

/// Shares of a server's slots.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SlotLimits {
    /// Share of the slots that only short requests may use.
    pub short_reserved: f32,
    /// Share of the slots that long requests of this entry may use.
    pub long_cap: f32,
    /// Requests admitted beyond the slots, as a share of the slots. They wait in the engine, which
    /// hides the delay between a finished request and the next one.
    pub overcommit: f32,
}

impl Default for SlotLimits {
    fn default() -> SlotLimits {
        SlotLimits { short_reserved: 0.25, long_cap: 0.6, overcommit: 0.25 }
    }
}

impl SlotLimits {
    /// Whether a server may take one more request. `total` counts the requests of all entries and
    /// `own` those of this one.
    pub fn admits(&self, class: RequestClass, own: ClassCounts, total: f32, slots: u32) -> bool {
        let slots = slots.max(1) as f32;
        match class {
            RequestClass::Short => total + 1.0 <= (slots * (1.0 + self.overcommit)).max(1.0),
            RequestClass::Long => {
                let unreserved = (slots - (slots * self.short_reserved).ceil()).max(1.0);
                let cap = (slots * self.long_cap).floor().max(1.0);
                total + 1.0 <= unreserved && own.long as f32 + 1.0 <= cap
            }
        }
    }
}
