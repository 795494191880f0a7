//! Computes the measures that a comparison reports for each policy.

use std::ops::Range;

use super::replay::{RequestOutcome, RunResult};
use crate::{report::MeasureReport, stats::percentile, trace::TraceClass};

/// Quantile of the reported tail latencies.
const TAIL_QUANTILE: f64 = 0.99;

/// The runs that each policy performs for each seed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RunKind {
    /// A trace without a load peak.
    Steady,
    /// The steady trace without its drafts.
    NoDrafts,
    /// The steady trace with two slow engines.
    Stragglers,
    /// A trace with a load peak.
    Peak,
}

impl RunKind {
    /// All kinds of runs, in the order in which they are performed.
    pub const ALL: [RunKind; 4] =
        [RunKind::Steady, RunKind::NoDrafts, RunKind::Stragglers, RunKind::Peak];
}

/// The results of one policy with one seed.
#[derive(Debug, Clone)]
pub struct PolicyRuns {
    /// Result of [`RunKind::Steady`].
    pub steady: RunResult,
    /// Result of [`RunKind::NoDrafts`].
    pub no_drafts: RunResult,
    /// Result of [`RunKind::Stragglers`].
    pub stragglers: RunResult,
    /// Result of [`RunKind::Peak`].
    pub peak: RunResult,
    /// Time range of the load peak, in milliseconds from the start of the trace.
    pub peak_ms: Range<u64>,
}

impl RunResult {
    /// Share of the prompt tokens that the engines found in their caches.
    pub fn hit_rate(&self) -> f64 {
        self.counters.hit_tokens as f64 / self.counters.prompt_tokens.max(1) as f64
    }

    /// The hit rate that would result if every distinct piece had been computed exactly once.
    pub fn max_hit_rate(&self) -> f64 {
        1.0 - self.distinct_tokens as f64 / self.counters.prompt_tokens.max(1) as f64
    }

    /// Prompt tokens that were computed more than once, as a share of all prompt tokens.
    pub fn recomputed_share(&self) -> f64 {
        let recomputed = self.counters.prefill_tokens.saturating_sub(self.distinct_tokens);
        recomputed as f64 / self.counters.prompt_tokens.max(1) as f64
    }

    /// 99th percentile of the time to first token in milliseconds, of `class` or of all requests.
    pub fn first_token_p99(&self, class: Option<TraceClass>) -> f64 {
        let wanted = |outcome: &&RequestOutcome| class.is_none_or(|class| outcome.class == class);
        let times: Vec<f64> = self
            .outcomes
            .iter()
            .filter(wanted)
            .filter_map(|outcome| outcome.first_token_ms)
            .collect();
        percentile(&times, TAIL_QUANTILE)
    }

    /// Requests per second that arrived in `window` and completed before their deadline.
    pub fn goodput(&self, window: &Range<u64>) -> f64 {
        let in_time = |outcome: &&RequestOutcome| {
            let complete = outcome.complete_ms.unwrap_or(f64::MAX);
            window.contains(&outcome.arrival_ms) && complete <= outcome.deadline_ms as f64
        };
        let answered = self.outcomes.iter().filter(in_time).count();
        answered as f64 * 1_000.0 / (window.end - window.start).max(1) as f64
    }

    /// Share of the requests that were refused before they ran on an engine.
    pub fn refused_share(&self) -> f64 {
        let refused = self.outcomes.iter().filter(|outcome| outcome.refused).count();
        refused as f64 / self.outcomes.len().max(1) as f64
    }

    /// Number of requests that ran on an engine but did not complete.
    pub fn broken_requests(&self) -> usize {
        let broken = |outcome: &&RequestOutcome| !outcome.refused && outcome.complete_ms.is_none();
        self.outcomes.iter().filter(broken).count()
    }

    /// Number of attempts beyond the first of each request, divided by the number of requests.
    pub fn extra_attempt_share(&self) -> f64 {
        let attempts = self.outcomes.iter().map(|outcome| outcome.attempts.saturating_sub(1));
        attempts.sum::<usize>() as f64 / self.outcomes.len().max(1) as f64
    }
}

/// Adds the measures of one policy to the report.
pub fn add_rows(report: &mut MeasureReport, policy: &str, runs: &[PolicyRuns]) {
    type Measure = (&'static str, &'static str, fn(&PolicyRuns) -> f64);
    let short = Some(TraceClass::Short);
    let measures: [Measure; 12] = [
        ("prefix hit rate", "share", |runs| runs.steady.hit_rate()),
        ("hit rate bound", "share", |runs| runs.steady.max_hit_rate()),
        ("ttft p99", "ms", |runs| runs.steady.first_token_p99(None)),
        ("wasted recomputation", "share", |runs| runs.steady.recomputed_share()),
        ("goodput at crest", "requests a second", |runs| runs.peak.goodput(&runs.peak_ms)),
        ("refused at crest", "share", |runs| runs.peak.refused_share()),
        ("short ttft p99 beside drafts", "ms", |runs| {
            runs.steady.first_token_p99(Some(TraceClass::Short))
        }),
        ("short ttft p99 without drafts", "ms", |runs| {
            runs.no_drafts.first_token_p99(Some(TraceClass::Short))
        }),
        ("ttft p99 with stragglers", "ms", |runs| runs.stragglers.first_token_p99(None)),
        ("straggler ratio", "of ttft p99", |runs| {
            runs.stragglers.first_token_p99(None) / runs.steady.first_token_p99(None).max(1.0)
        }),
        ("extra attempts with stragglers", "share", |runs| runs.stragglers.extra_attempt_share()),
        ("broken requests", "count", |runs| {
            let all = [&runs.steady, &runs.no_drafts, &runs.stragglers, &runs.peak];
            all.into_iter().map(RunResult::broken_requests).sum::<usize>() as f64
        }),
    ];
    for (measure, unit, value) in measures {
        let values: Vec<f64> = runs.iter().map(value).collect();
        report.push(measure, unit, policy, &values);
    }
    let ratio = |runs: &PolicyRuns| {
        runs.steady.first_token_p99(short) / runs.no_drafts.first_token_p99(short).max(1.0)
    };
    let ratios: Vec<f64> = runs.iter().map(ratio).collect();
    report.push("short ratio", "of ttft p99", policy, &ratios);
}
