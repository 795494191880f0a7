//! Tests the replay of a trace on simulated engines.

use carobvane_core::routing::{CostPolicy, RouterSettings};
use carobvane_replay::{
    compare::{
        EngineFleet, EngineFleetSettings, OracleSelector, ReplaySettings, RouterSelector,
        RunResult, replay_trace,
    },
    deployment::IRAZABAL,
    generate::{GenerateSettings, generate_trace},
    trace::{TraceClass, TraceRequest},
};

const FLEET: EngineFleetSettings = EngineFleetSettings { engines: 3, time_scale: 50.0, seed: 1 };

fn trace() -> Vec<TraceRequest> {
    generate_trace(GenerateSettings {
        deployment: IRAZABAL,
        seed: 5,
        duration_ms: 4_000,
        peak_factor: 1.0,
        rate_factor: 0.2,
    })
}

fn assert_consistent(result: &RunResult, trace: &[TraceRequest]) {
    let completions = trace.iter().filter(|request| request.class != TraceClass::Booking).count();
    assert_eq!(result.outcomes.len(), completions);
    assert_eq!(result.broken_requests(), 0);
    let answered = result.outcomes.iter().filter(|outcome| outcome.complete_ms.is_some()).count();
    assert!(answered > 0);
    // Each distinct piece of an answered request was computed at least once.
    assert!(result.counters.prefill_tokens >= result.distinct_tokens);
    assert!(result.hit_rate() <= result.max_hit_rate() + 1e-9);
}

/// Guards against replays that lose requests, and against inconsistent counters.
#[actix_rt::test]
async fn every_request_has_one_outcome() {
    let settings =
        ReplaySettings { time_scale: 50.0, admission: true, priorities: true, hedging: true };
    let trace = trace();
    let fleet = EngineFleet::start(FLEET).await.unwrap();
    let router = RouterSettings { entry_count: 1, store: false, ..RouterSettings::default() };
    let selector: RouterSelector<CostPolicy> =
        RouterSelector::new(&fleet.engines, router, (), 1, true);
    assert_consistent(&replay_trace(&fleet, selector, &[], &trace, settings).await, &trace);
    fleet.stop().await;

    let fleet = EngineFleet::start(FLEET).await.unwrap();
    let without_admission_or_hedging =
        ReplaySettings { admission: false, hedging: false, ..settings };
    let oracle = OracleSelector::new(&fleet.engines);
    let result =
        replay_trace(&fleet, oracle, &trace[..3], &trace, without_admission_or_hedging).await;
    assert!(result.outcomes.iter().all(|outcome| !outcome.refused && outcome.attempts == 1));
    assert_eq!(result.broken_requests(), 0);
    fleet.stop().await;
}
