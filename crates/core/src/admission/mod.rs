//! Decides when a request starts: queue order, reserved slots and early refusal.

mod limits;

pub use self::limits::SlotLimits;
