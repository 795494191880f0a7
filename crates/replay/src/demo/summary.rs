//! Summarizes the results of the demonstration in a table.

use std::fmt;

use carobvane_proto::openai::RunOutcome;

use super::run::TraceResult;
use crate::{
    client::CallResult, fleet::Fleet, latency::PairedLatencies, stats::percentile,
    trace::TraceClass,
};

/// Counts and latencies of a replayed trace.
#[derive(Debug, Clone)]
pub struct DemoSummary {
    requests: usize,
    complete: usize,
    not_run: usize,
    outcome_unknown: usize,
    broken: usize,
    wrong: usize,
    /// Number of bookings that ran more than once, counted over all plain servers together.
    repeated_bookings: usize,
    /// Share of the prompt tokens that the engines found in their caches.
    hit_rate: f64,
    /// Time to first token, p50 and p99.
    first_token_ms: [f64; 2],
    /// Latency added by an entry, p50 and p99, in microseconds.
    added_us: [f64; 2],
}

impl DemoSummary {
    /// Computes the summary from the results and from the counters of the simulated servers.
    pub fn new(fleet: &Fleet, results: &[TraceResult], latencies: &PairedLatencies) -> DemoSummary {
        let count = |matches: fn(&CallResult) -> bool| {
            results.iter().filter(|result| matches(&result.result)).count()
        };
        let first_token_times: Vec<f64> = results
            .iter()
            .filter(|result| result.class != TraceClass::Booking)
            .filter_map(|result| match &result.result {
                CallResult::Complete { first_token, .. } => {
                    Some(first_token.as_secs_f64() * 1_000.0)
                }
                _ => None,
            })
            .collect();
        DemoSummary {
            requests: results.len(),
            complete: count(|result| matches!(result, CallResult::Complete { .. })),
            not_run: count(|result| {
                matches!(result, CallResult::Refused { outcome: RunOutcome::NotRun, .. })
            }),
            outcome_unknown: count(|result| {
                matches!(result, CallResult::Refused { outcome: RunOutcome::OutcomeUnknown, .. })
            }),
            broken: count(|result| matches!(result, CallResult::Broken(_))),
            wrong: count(|result| !result.is_valid()),
            repeated_bookings: repeated_bookings(fleet),
            hit_rate: hit_rate(fleet),
            first_token_ms: [
                percentile(&first_token_times, 0.5),
                percentile(&first_token_times, 0.99),
            ],
            added_us: [latencies.added_latency(0.5), latencies.added_latency(0.99)],
        }
    }

    /// Returns whether every request got a complete response or an error that states whether it
    /// ran, and no booking ran twice.
    pub fn is_success(&self) -> bool {
        let answered = self.complete + self.not_run + self.outcome_unknown;
        self.wrong == 0
            && self.broken == 0
            && answered == self.requests
            && self.repeated_bookings == 0
    }
}

fn repeated_bookings(fleet: &Fleet) -> usize {
    let mut runs = std::collections::BTreeMap::new();
    for service in &fleet.services {
        for (booking, count) in service.counters().bookings {
            *runs.entry(booking).or_insert(0) += count;
        }
    }
    runs.values().filter(|&&count| count > 1).count()
}

fn hit_rate(fleet: &Fleet) -> f64 {
    let counters: Vec<_> = fleet.engines.iter().map(|engine| engine.counters()).collect();
    let prompt: u64 = counters.iter().map(|counter| counter.prompt_tokens).sum();
    let hits: u64 = counters.iter().map(|counter| counter.hit_tokens).sum();
    if prompt == 0 { 0.0 } else { hits as f64 / prompt as f64 }
}

impl fmt::Display for DemoSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("requests", self.requests.to_string()),
            ("answered whole", self.complete.to_string()),
            ("not run", self.not_run.to_string()),
            ("outcome unknown", self.outcome_unknown.to_string()),
            ("connections broken", self.broken.to_string()),
            ("wrong answers", self.wrong.to_string()),
            ("bookings run more than once", self.repeated_bookings.to_string()),
            ("prefix hit rate", format!("{:.1} %", self.hit_rate * 100.0)),
            ("TTFT p50", format!("{:.0} ms", self.first_token_ms[0])),
            ("TTFT p99", format!("{:.0} ms", self.first_token_ms[1])),
            ("added latency p50", format!("{:.0} us", self.added_us[0])),
            ("added latency p99", format!("{:.0} us", self.added_us[1])),
        ];
        for (name, value) in rows {
            writeln!(f, "{name:<30}{value:>12}")?;
        }
        Ok(())
    }
}
