//! Injects the faults of the demonstration, at times derived from a fixed seed.

use std::time::Duration;

use carobvane_standin::{engine::EngineHandle, keyvalue::KeyValueFaults};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::fleet::Fleet;

/// Seed of the fault times and of the crashing engine.
const FAULT_SEED: u64 = 7;
/// Time range in which an engine crashes, in milliseconds from the start of the trace.
const CRASH_WINDOW_MS: std::ops::Range<u64> = 6_000..9_000;
/// Time range in which an acknowledgement starts to be lost, in milliseconds from the start of the
/// trace.
const LOST_ACKNOWLEDGEMENT_WINDOW_MS: std::ops::Range<u64> = 10_000..14_000;

/// Crashes one engine, and later makes the key-value service drop the acknowledgement of one write.
pub async fn inject_faults(fleet: &Fleet) {
    let mut rng = SmallRng::seed_from_u64(FAULT_SEED);
    let crash_at = Duration::from_millis(rng.random_range(CRASH_WINDOW_MS));
    let lose_at = Duration::from_millis(rng.random_range(LOST_ACKNOWLEDGEMENT_WINDOW_MS));
    let position = rng.random_range(0..fleet.engines.len());
    tokio::time::sleep(crash_at).await;
    crash(&fleet.engines[position]);
    tokio::time::sleep(lose_at.saturating_sub(crash_at)).await;
    fleet.keyvalue.update_faults(&KeyValueFaults {
        lose_acknowledgements: Some(1),
        ..KeyValueFaults::default()
    });
}

fn crash(engine: &EngineHandle) {
    engine.update_faults(&carobvane_standin::engine::FaultUpdate {
        crash: Some(true),
        ..Default::default()
    });
}
