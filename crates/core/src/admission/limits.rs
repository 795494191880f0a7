//! Limits how many of a server's slots are used, so that long requests do not delay short ones.

use serde::{Deserialize, Serialize};

use crate::routing::{ClassCounts, RequestClass};

/// Limits on the use of a server's slots, as shares of the slots between 0 and 1.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SlotLimits {
    /// Share of the slots that only short requests may use.
    pub short_reserved: f32,
    /// Share of the slots that long requests from this entry may use.
    pub long_cap: f32,
    /// Short requests admitted in addition to the slots, as a share of the slots. They wait in the
    /// engine, which hides the latency between the end of one request and the start of the next.
    pub overcommit: f32,
}

impl Default for SlotLimits {
    fn default() -> SlotLimits {
        SlotLimits { short_reserved: 0.25, long_cap: 0.6, overcommit: 0.25 }
    }
}

impl SlotLimits {
    /// Whether a server with `slots` slots may take one more request of `class`. `total` is the
    /// number of requests from all entries in flight there, and `own` are those from this entry.
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
