//! `carobvane-replay compare`: measures routing policies on simulated engines.

use std::path::PathBuf;

use carobvane_core::{
    admission::SlotLimits,
    routing::{
        CostPolicy, CostSettings, LeastLoaded, PrefixHashing, RoundRobin, RouterSettings,
        RoutingPolicy,
    },
};
use carobvane_standin::engine::FaultUpdate;
use eyre::{Result, ensure, eyre};

use super::generate::PEAK_FACTOR;
use crate::{
    compare::{
        EngineFleet, EngineFleetSettings, OracleSelector, PolicyRuns, ReplaySettings,
        RouterSelector, RunKind, RunResult, add_rows, replay_trace,
    },
    deployment::{self, DeploymentSpec},
    generate::{GenerateSettings, generate_trace, generate_warm_up},
    report::MeasureReport,
    trace::TraceClass,
};

/// Trace seeds of a full comparison.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Length of a trace, in milliseconds.
const DURATION_MS: u64 = 30_000;
/// Length of a trace in a quick comparison, in milliseconds.
const QUICK_DURATION_MS: u64 = 15_000;
/// Length of the warm-up, in milliseconds. At this length the engines are busy for about half of
/// the time.
const WARM_UP_MS: u64 = 25_000;
/// Factor on the deployment's request rate, chosen so that the load peak exceeds the capacity of
/// the engines.
const RATE_FACTOR: f64 = 1.4;
/// Simulated milliseconds that pass in one real millisecond.
const TIME_SCALE: f64 = 4.0;
/// Indices of the slow engines in runs with stragglers.
const STRAGGLERS: [usize; 2] = [1, 4];
/// How many times slower the stragglers compute.
const STRAGGLER_FACTOR: f64 = 4.0;

/// Limits that never apply: every request is sent at once and waits in the engine's queue.
const NO_SLOT_LIMITS: SlotLimits =
    SlotLimits { short_reserved: 0.0, long_cap: 1.0, overcommit: 1e6 };

/// Options of the command.
#[derive(Debug, Clone)]
pub struct CompareOptions {
    /// Name of the deployment.
    pub deployment: String,
    /// Whether to replay only one seed and shorter traces.
    pub quick: bool,
    /// Number of seeds, limited to the length of `SEEDS`.
    pub seeds: Option<usize>,
    /// Names of the policies to compare. If empty, the baselines, `carobvane` and the oracle.
    pub policies: Vec<String>,
    /// Folder to which the report is written.
    pub output: PathBuf,
}

/// A policy that can be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PolicyName {
    RoundRobin,
    LeastLoaded,
    PrefixHashing,
    Carobvane,
    NoHedging,
    NoPriorities,
    NoAdmission,
    NoObservation,
    Oracle,
}

impl PolicyName {
    /// Policies that are compared if none is named.
    const DEFAULT: [PolicyName; 5] = [
        PolicyName::RoundRobin,
        PolicyName::LeastLoaded,
        PolicyName::PrefixHashing,
        PolicyName::Carobvane,
        PolicyName::Oracle,
    ];

    /// Variants of `carobvane` with one mechanism disabled. They run only if named explicitly.
    const ABLATIONS: [PolicyName; 4] = [
        PolicyName::NoHedging,
        PolicyName::NoPriorities,
        PolicyName::NoAdmission,
        PolicyName::NoObservation,
    ];

    fn as_str(self) -> &'static str {
        match self {
            PolicyName::RoundRobin => "round-robin",
            PolicyName::LeastLoaded => "least-loaded",
            PolicyName::PrefixHashing => "prefix-hashing",
            PolicyName::Carobvane => "carobvane",
            PolicyName::NoHedging => "carobvane-no-hedging",
            PolicyName::NoPriorities => "carobvane-no-priorities",
            PolicyName::NoAdmission => "carobvane-no-admission",
            PolicyName::NoObservation => "carobvane-no-observation",
            PolicyName::Oracle => "oracle",
        }
    }
}

/// Runs the comparison, writes the report and returns it as a table.
///
/// # Errors
///
/// The deployment or the policies do not exist, an engine cannot be started, or the report cannot
/// be written.
pub async fn compare_policies(options: &CompareOptions) -> Result<String> {
    let deployment = deployment::find(&options.deployment)
        .ok_or_else(|| eyre!("deployment {:?} does not exist", options.deployment))?;
    let is_requested =
        |policy: &PolicyName| options.policies.iter().any(|it| it == policy.as_str());
    let all_policies = PolicyName::DEFAULT.into_iter().chain(PolicyName::ABLATIONS);
    let policies: Vec<PolicyName> = match options.policies.is_empty() {
        true => PolicyName::DEFAULT.to_vec(),
        false => all_policies.filter(is_requested).collect(),
    };
    ensure!(!policies.is_empty(), "none of the policies {:?} exists", options.policies);
    let duration_ms = if options.quick { QUICK_DURATION_MS } else { DURATION_MS };
    let seed_count = options.seeds.unwrap_or(if options.quick { 1 } else { SEEDS.len() });
    let seeds = &SEEDS[..seed_count.clamp(1, SEEDS.len())];
    let mut report = MeasureReport {
        title: format!("Routing policies, deployment {}", deployment.name),
        seeds: seeds.to_vec(),
        conditions: conditions(&deployment, duration_ms),
        rows: Vec::new(),
    };
    let mut results_by_policy: Vec<(PolicyName, Vec<PolicyRuns>)> =
        policies.iter().map(|policy| (*policy, Vec::new())).collect();
    // All policies run for one seed before the next, so that a slow phase of the machine affects
    // all policies alike.
    for seed in seeds {
        for (policy, results) in &mut results_by_policy {
            log::info!("replaying {} with seed {seed}", policy.as_str());
            results.push(run_policy(&deployment, *policy, *seed, duration_ms).await?);
        }
    }
    for (policy, results) in &results_by_policy {
        add_rows(&mut report, policy.as_str(), results);
    }
    let suffix = if options.quick { "-quick" } else { "" };
    report.write(&options.output, &format!("compare-{}{suffix}", deployment.name))?;
    Ok(report.table())
}

fn conditions(deployment: &DeploymentSpec, duration_ms: u64) -> Vec<String> {
    vec![
        format!("{} engines, traces of {} s", deployment.engines, duration_ms / 1_000),
        format!("a warm-up of {} s precedes each trace", WARM_UP_MS / 1_000),
        format!("times are simulated; {TIME_SCALE} simulated ms pass in one real ms"),
        format!("stragglers: engines {STRAGGLERS:?}, {STRAGGLER_FACTOR} times slower throughout"),
        format!("load peak: {PEAK_FACTOR} times the rate for a fifth of the trace"),
    ]
}

async fn run_policy(
    deployment: &DeploymentSpec,
    policy: PolicyName,
    seed: u64,
    duration_ms: u64,
) -> Result<PolicyRuns> {
    let settings = |kind: RunKind| GenerateSettings {
        deployment: *deployment,
        seed,
        duration_ms,
        peak_factor: if kind == RunKind::Peak { PEAK_FACTOR } else { 1.0 },
        rate_factor: RATE_FACTOR,
    };
    let mut results = Vec::new();
    for kind in RunKind::ALL {
        results.push(run_once(policy, kind, settings(kind), seed).await?);
    }
    let [steady, no_drafts, stragglers, peak]: [RunResult; 4] =
        results.try_into().map_err(|_| eyre!("the result of a run is missing"))?;
    let peak_ms = settings(RunKind::Peak).peak_window();
    Ok(PolicyRuns { steady, no_drafts, stragglers, peak, peak_ms })
}

async fn run_once(
    policy: PolicyName,
    kind: RunKind,
    settings: GenerateSettings,
    seed: u64,
) -> Result<RunResult> {
    let mut trace = generate_trace(settings);
    if kind == RunKind::NoDrafts {
        trace.retain(|request| request.class != TraceClass::Draft);
    }
    let warm_up = generate_warm_up(settings.deployment, seed, WARM_UP_MS);
    let engines = settings.deployment.engines;
    let fleet_settings = EngineFleetSettings { engines, time_scale: TIME_SCALE, seed };
    let fleet = EngineFleet::start(fleet_settings).await?;
    if kind == RunKind::Stragglers {
        let slow = FaultUpdate { slow_factor: Some(STRAGGLER_FACTOR), ..FaultUpdate::default() };
        STRAGGLERS.iter().for_each(|engine| fleet.engines[*engine].update_faults(&slow));
    }
    let baseline_settings = ReplaySettings {
        time_scale: TIME_SCALE,
        admission: false,
        priorities: false,
        hedging: false,
    };
    let carobvane_settings =
        ReplaySettings { admission: true, priorities: true, hedging: true, ..baseline_settings };
    let result = match policy {
        PolicyName::RoundRobin => {
            replay_trace(
                &fleet,
                baseline_selector::<RoundRobin>(&fleet, seed),
                &warm_up,
                &trace,
                baseline_settings,
            )
            .await
        }
        PolicyName::LeastLoaded => {
            replay_trace(
                &fleet,
                baseline_selector::<LeastLoaded>(&fleet, seed),
                &warm_up,
                &trace,
                baseline_settings,
            )
            .await
        }
        PolicyName::PrefixHashing => {
            replay_trace(
                &fleet,
                baseline_selector::<PrefixHashing>(&fleet, seed),
                &warm_up,
                &trace,
                baseline_settings,
            )
            .await
        }
        PolicyName::Carobvane
        | PolicyName::NoHedging
        | PolicyName::NoPriorities
        | PolicyName::NoObservation => {
            let selector = router_selector::<CostPolicy>(
                &fleet,
                SlotLimits::default(),
                seed,
                policy != PolicyName::NoObservation,
            );
            let settings = ReplaySettings {
                hedging: policy != PolicyName::NoHedging,
                priorities: policy != PolicyName::NoPriorities,
                ..carobvane_settings
            };
            replay_trace(&fleet, selector, &warm_up, &trace, settings).await
        }
        PolicyName::NoAdmission => {
            let selector = router_selector::<CostPolicy>(&fleet, NO_SLOT_LIMITS, seed, true);
            let settings = ReplaySettings { admission: false, ..carobvane_settings };
            replay_trace(&fleet, selector, &warm_up, &trace, settings).await
        }
        PolicyName::Oracle => {
            let settings = ReplaySettings { priorities: true, ..baseline_settings };
            replay_trace(&fleet, OracleSelector::new(&fleet.engines), &warm_up, &trace, settings)
                .await
        }
    };
    fleet.stop().await;
    Ok(result)
}

/// Creates a selector for a baseline policy, which sends every request at once and ignores observed
/// latencies.
fn baseline_selector<P: RoutingPolicy + 'static>(
    fleet: &EngineFleet,
    seed: u64,
) -> RouterSelector<P> {
    router_selector(fleet, NO_SLOT_LIMITS, seed, false)
}

fn router_selector<P: RoutingPolicy + 'static>(
    fleet: &EngineFleet,
    limits: SlotLimits,
    seed: u64,
    uses_observations: bool,
) -> RouterSelector<P> {
    let cost = CostSettings {
        prefill_ms: crate::compare::PREFILL_MS,
        decode_ms: crate::compare::DECODE_MS,
        ..CostSettings::default()
    };
    let settings =
        RouterSettings { cost, limits, block_capacity: 65_536, entry_count: 1, store: false };
    RouterSelector::new(&fleet.engines, settings, P::Settings::default(), seed, uses_observations)
}
