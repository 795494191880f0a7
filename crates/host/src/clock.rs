//! The process clock that feeds the decision library.

use std::{sync::OnceLock, time::Instant};

use carobvane_core::{clock::ClockTime, ids::IncarnationId};

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Monotonic time since the first call in this process.
pub fn now() -> ClockTime {
    let origin = ORIGIN.get_or_init(Instant::now);
    ClockTime::from_micros(origin.elapsed().as_micros() as u64)
}

/// An incarnation for a process that starts now: wall-clock microseconds, so that a later life of
/// the same node has a higher number.
pub fn new_incarnation() -> IncarnationId {
    let since_epoch =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    IncarnationId(since_epoch.as_micros() as u64)
}
