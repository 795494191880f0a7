//! Process clock: the only source of time for the state machines of `carobvane_core`.

use std::{sync::OnceLock, time::Instant};

use carobvane_core::{clock::ClockTime, ids::IncarnationId};

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Returns the monotonic time since the first call in this process.
pub fn now() -> ClockTime {
    let origin = ORIGIN.get_or_init(Instant::now);
    ClockTime::from_micros(origin.elapsed().as_micros() as u64)
}

/// Returns an incarnation for a process that starts now.
///
/// It is the wall clock in microseconds since 1970, so that a node has a higher incarnation after a
/// restart.
pub fn new_incarnation() -> IncarnationId {
    let since_epoch =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    IncarnationId(since_epoch.as_micros() as u64)
}
