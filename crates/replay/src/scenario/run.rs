//! Runs a scenario over real sockets and evaluates its expectations.

use std::{
    cell::RefCell,
    time::{Duration, Instant},
};

use carobvane_standin::{engine::EngineSettings, keyvalue::KeyValueFaults};
use eyre::{Result, WrapErr};
use futures::future::join_all;

use super::{Expectation, Scenario, ScenarioAction, ScenarioEvent, ScenarioMeasure};
use crate::{
    client::CallResult,
    demo::run::send_request,
    fleet::{Fleet, FleetSettings},
    stats::percentile,
    trace::{self, TraceClass, TraceRequest},
};

/// Bytes of prompt text per piece. A small size suffices, because the simulated engines compute by
/// pieces and not by bytes.
const PIECE_BYTES: usize = 64;
/// Delay before the counters of the servers are read, so that cancelled requests have ended.
const SETTLE_DELAY: Duration = Duration::from_millis(200);

/// The result of evaluating one expectation.
#[derive(Debug, Clone, PartialEq)]
pub struct ExpectationResult {
    /// The evaluated expectation.
    pub expectation: Expectation,
    /// The measured value; times are in milliseconds.
    pub value: f64,
    /// Whether the expectation holds for the measured value.
    pub holds: bool,
}

/// The result of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct ScenarioResult {
    /// Number of requests in the trace.
    pub requests: usize,
    /// The evaluated expectations, in the order of the file.
    pub expectations: Vec<ExpectationResult>,
    /// Descriptions of the wrong responses.
    pub wrong: Vec<String>,
}

struct RequestResult {
    class: TraceClass,
    result: CallResult,
}

/// Starts a fleet, replays the trace of the scenario while injecting its faults, and evaluates the
/// expectations.
///
/// # Errors
///
/// The trace cannot be read, or a component of the fleet cannot be started.
pub async fn run(scenario: &Scenario) -> Result<ScenarioResult> {
    let requests = trace::read(&scenario.trace)?;
    let fleet = Fleet::start(&fleet_settings(scenario))
        .await
        .wrap_err_with(|| format!("failed to start the fleet of {}", scenario.path.display()))?;
    let started = Instant::now();
    let outcomes = RefCell::new(Vec::with_capacity(requests.len()));
    let client =
        awc::Client::builder().connector(awc::Connector::new().limit(0)).disable_timeout().finish();
    let sends = requests.iter().enumerate().map(|(number, request)| {
        let (fleet, client, outcomes) = (&fleet, &client, &outcomes);
        async move {
            sleep_until(started, Duration::from_millis(request.arrival_ms)).await;
            let result = send_request(fleet, client, request, number, PIECE_BYTES).await;
            outcomes.borrow_mut().push(RequestResult { class: request.class, result });
        }
    });
    let faults = scenario.events.iter().map(|event| apply_event(&fleet, started, event));
    futures::join!(join_all(sends), join_all(faults));
    tokio::time::sleep(SETTLE_DELAY).await;
    let outcomes = outcomes.into_inner();
    let result = evaluate(scenario, &fleet, &requests, &outcomes);
    fleet.stop().await;
    Ok(result)
}

fn fleet_settings(scenario: &Scenario) -> FleetSettings {
    let workspaces = scenario.deployment.workspaces.iter();
    FleetSettings {
        entries: scenario.entries,
        engines: vec![EngineSettings::default(); scenario.engines],
        services: scenario.services,
        workspaces: workspaces.map(|workspace| workspace.name.to_string()).collect(),
        piece_bytes: PIECE_BYTES,
        ..FleetSettings::default()
    }
}

async fn sleep_until(started: Instant, at: Duration) {
    tokio::time::sleep(at.saturating_sub(started.elapsed())).await;
}

async fn apply_event(fleet: &Fleet, started: Instant, event: &ScenarioEvent) {
    sleep_until(started, event.at).await;
    match &event.action {
        ScenarioAction::Engine(engine, update) => fleet.engines[*engine].update_faults(update),
        ScenarioAction::Service(service, update) => fleet.services[*service].update_faults(update),
        ScenarioAction::KeyValue(update) => fleet.keyvalue.update_faults(update),
        ScenarioAction::StopEntry(entry) => fleet.entries[*entry].stop().await,
        ScenarioAction::Outage(kind, length) => {
            let outage = KeyValueFaults { outage: Some(*kind), ..KeyValueFaults::default() };
            fleet.keyvalue.update_faults(&outage);
            sleep_until(started, event.at + *length).await;
            fleet
                .keyvalue
                .update_faults(&KeyValueFaults { recover: true, ..KeyValueFaults::default() });
        }
    }
}

fn evaluate(
    scenario: &Scenario,
    fleet: &Fleet,
    requests: &[TraceRequest],
    outcomes: &[RequestResult],
) -> ScenarioResult {
    let expectations = scenario.expectations.iter().map(|expectation| {
        let value = measure_value(expectation.measure, fleet, outcomes);
        let holds = expectation.comparison.holds(value, expectation.bound);
        ExpectationResult { expectation: expectation.clone(), value, holds }
    });
    let wrong = outcomes.iter().filter_map(|outcome| match &outcome.result {
        CallResult::Wrong(reason) => Some(reason.clone()),
        _ => None,
    });
    ScenarioResult {
        requests: requests.len(),
        expectations: expectations.collect(),
        wrong: wrong.collect(),
    }
}

fn measure_value(measure: ScenarioMeasure, fleet: &Fleet, outcomes: &[RequestResult]) -> f64 {
    let of_class = |class: Option<TraceClass>| {
        outcomes.iter().filter(move |outcome| class.is_none_or(|class| outcome.class == class))
    };
    let count = |class: Option<TraceClass>, wanted: fn(&CallResult) -> bool| {
        of_class(class).filter(|outcome| wanted(&outcome.result)).count() as f64
    };
    let times = |class: Option<TraceClass>, first: bool| -> Vec<f64> {
        let complete = of_class(class).filter_map(|outcome| match outcome.result {
            CallResult::Complete { first_token, total } => Some((first_token, total)),
            _ => None,
        });
        complete
            .map(|(first_token, total)| if first { first_token } else { total })
            .map(|time| time.as_secs_f64() * 1_000.0)
            .collect()
    };
    match measure {
        ScenarioMeasure::FirstToken(share, class) => percentile(&times(class, true), share),
        ScenarioMeasure::Total(share, class) => percentile(&times(class, false), share),
        ScenarioMeasure::Answered(class) => {
            let all = of_class(class).count().max(1) as f64;
            count(class, |result| matches!(result, CallResult::Complete { .. })) / all
        }
        ScenarioMeasure::Refused(class) => {
            count(class, |result| matches!(result, CallResult::Refused { .. }))
        }
        ScenarioMeasure::Broken(class) => {
            count(class, |result| matches!(result, CallResult::Broken(_)))
        }
        ScenarioMeasure::Wrong => count(None, |result| matches!(result, CallResult::Wrong(_))),
        ScenarioMeasure::MaxBookingRuns => booking_runs(fleet) as f64,
        ScenarioMeasure::HitRate => hit_rate(fleet),
        ScenarioMeasure::PeakKeyValueWrites => {
            fleet.keyvalue.counters().peak_writes_per_second as f64
        }
        ScenarioMeasure::PeakKeyValueReads => {
            fleet.keyvalue.counters().peak_reads_per_second as f64
        }
    }
}

/// Largest number of runs of any one booking, summed over all plain servers.
fn booking_runs(fleet: &Fleet) -> u64 {
    let mut runs = std::collections::BTreeMap::new();
    for service in &fleet.services {
        for (booking, count) in service.counters().bookings {
            *runs.entry(booking).or_insert(0) += count;
        }
    }
    runs.into_values().max().unwrap_or(0)
}

fn hit_rate(fleet: &Fleet) -> f64 {
    let counters: Vec<_> = fleet.engines.iter().map(|engine| engine.counters()).collect();
    let hits: u64 = counters.iter().map(|counters| counters.hit_tokens).sum();
    let prompts: u64 = counters.iter().map(|counters| counters.prompt_tokens).sum();
    hits as f64 / prompts.max(1) as f64
}
