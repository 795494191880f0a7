//! `carobvane-replay compare`: measures routing policies over simulated engines.

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

use super::generate::CREST_FACTOR;
use crate::{
    compare::{
        EngineFleet, FleetSettings, OracleChooser, PlaySettings, PolicyRuns, RouterChooser,
        RunKind, RunResult, add_rows, play,
    },
    deployment::{self, DeploymentSpec},
    generate::{GenerateSettings, generate, warm_up},
    report::MeasureReport,
    trace::TraceClass,
};

/// Seeds of a full comparison.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];
/// Length of a trace in milliseconds.
const DURATION_MS: u64 = 30_000;
/// Length of a trace of a quick comparison in milliseconds.
const QUICK_DURATION_MS: u64 = 15_000;
/// Length of the warm-up in milliseconds; the engines are then busy for about half of it.
const WARM_UP_MS: u64 = 25_000;
/// Factor on the deployment's rate, so that the crest exceeds what the engines can compute.
const RATE_FACTOR: f64 = 1.4;
/// Simulated milliseconds that pass in one real millisecond.
const TIME_SCALE: f64 = 4.0;
/// Slow engines of the runs with stragglers.
const STRAGGLERS: [usize; 2] = [1, 4];
/// How many times slower they are.
const STRAGGLER_FACTOR: f64 = 4.0;

/// Lets every request out at once; engines queue.
const NO_LIMITS: SlotLimits = SlotLimits { short_reserved: 0.0, long_cap: 1.0, overcommit: 1e6 };

/// What to compare.
#[derive(Debug, Clone)]
pub struct CompareOptions {
    /// The deployment's name.
    pub deployment: String,
    /// Whether to play one seed of shorter traces.
    pub quick: bool,
    /// Number of seeds; more than the known ones are not played.
    pub seeds: Option<usize>,
    /// Only these policies; all if empty.
    pub policies: Vec<String>,
    /// The folder for the report.
    pub output: PathBuf,
}

/// The policies that are compared.
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
    const ALL: [PolicyName; 5] = [
        PolicyName::RoundRobin,
        PolicyName::LeastLoaded,
        PolicyName::PrefixHashing,
        PolicyName::Carobvane,
        PolicyName::Oracle,
    ];

    /// Our policy without one of its parts; played only when named.
    const WITHOUT: [PolicyName; 4] = [
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

/// Runs the comparison, writes the report and returns its table.
pub async fn compare(options: &CompareOptions) -> Result<String> {
    let deployment = deployment::find(&options.deployment)
        .ok_or_else(|| eyre!("deployment {:?} does not exist", options.deployment))?;
    let named = |policy: &PolicyName| options.policies.iter().any(|it| it == policy.as_str());
    let all = PolicyName::ALL.into_iter().chain(PolicyName::WITHOUT);
    let policies: Vec<PolicyName> = match options.policies.is_empty() {
        true => PolicyName::ALL.to_vec(),
        false => all.filter(named).collect(),
    };
    ensure!(!policies.is_empty(), "no policy has one of the names {:?}", options.policies);
    let duration_ms = if options.quick { QUICK_DURATION_MS } else { DURATION_MS };
    let count = options.seeds.unwrap_or(if options.quick { 1 } else { SEEDS.len() });
    let seeds = &SEEDS[..count.clamp(1, SEEDS.len())];
    let mut report = MeasureReport {
        title: format!("Routing policies, deployment {}", deployment.name),
        seeds: seeds.to_vec(),
        conditions: conditions(&deployment, duration_ms),
        rows: Vec::new(),
    };
    let mut runs: Vec<(PolicyName, Vec<PolicyRuns>)> =
        policies.iter().map(|policy| (*policy, Vec::new())).collect();
    // Policies alternate within a seed, so that a slow phase of the machine meets all of them.
    for seed in seeds {
        for (policy, results) in &mut runs {
            log::info!("playing {} with seed {seed}", policy.as_str());
            results.push(run_policy(&deployment, *policy, *seed, duration_ms).await?);
        }
    }
    for (policy, results) in &runs {
        add_rows(&mut report, policy.as_str(), results);
    }
    let quick = if options.quick { "-quick" } else { "" };
    report.write(&options.output, &format!("compare-{}{quick}", deployment.name))?;
    Ok(report.table())
}

fn conditions(deployment: &DeploymentSpec, duration_ms: u64) -> Vec<String> {
    vec![
        format!("{} engines, traces of {} s", deployment.engines, duration_ms / 1_000),
        format!("a warm-up of {} s goes before each trace", WARM_UP_MS / 1_000),
        format!("times are simulated; {TIME_SCALE} simulated ms pass in one real ms"),
        format!("stragglers: engines {STRAGGLERS:?}, {STRAGGLER_FACTOR} times slower throughout"),
        format!("crest: {CREST_FACTOR} times the rate for a fifth of the trace"),
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
        crest_factor: if kind == RunKind::Crest { CREST_FACTOR } else { 1.0 },
        rate_factor: RATE_FACTOR,
    };
    let mut results = Vec::new();
    for kind in RunKind::ALL {
        results.push(run_once(policy, kind, settings(kind), seed).await?);
    }
    let [steady, no_drafts, stragglers, crest]: [RunResult; 4] =
        results.try_into().map_err(|_| eyre!("a kind of run is missing"))?;
    let crest_ms = settings(RunKind::Crest).crest();
    Ok(PolicyRuns { steady, no_drafts, stragglers, crest, crest_ms })
}

async fn run_once(
    policy: PolicyName,
    kind: RunKind,
    settings: GenerateSettings,
    seed: u64,
) -> Result<RunResult> {
    let mut trace = generate(settings);
    if kind == RunKind::NoDrafts {
        trace.retain(|request| request.class != TraceClass::Draft);
    }
    let warm_up = warm_up(settings.deployment, seed, WARM_UP_MS);
    let engines = settings.deployment.engines;
    let fleet_settings = FleetSettings { engines, time_scale: TIME_SCALE, seed };
    let fleet = EngineFleet::start(fleet_settings).await?;
    if kind == RunKind::Stragglers {
        let slow = FaultUpdate { slow_factor: Some(STRAGGLER_FACTOR), ..FaultUpdate::default() };
        STRAGGLERS.iter().for_each(|engine| fleet.engines[*engine].update_faults(&slow));
    }
    let plain = PlaySettings {
        time_scale: TIME_SCALE,
        admission: false,
        priorities: false,
        hedging: false,
    };
    let full = PlaySettings { admission: true, priorities: true, hedging: true, ..plain };
    let result = match policy {
        PolicyName::RoundRobin => {
            play(&fleet, baseline::<RoundRobin>(&fleet, seed), &warm_up, &trace, plain).await
        }
        PolicyName::LeastLoaded => {
            play(&fleet, baseline::<LeastLoaded>(&fleet, seed), &warm_up, &trace, plain).await
        }
        PolicyName::PrefixHashing => {
            play(&fleet, baseline::<PrefixHashing>(&fleet, seed), &warm_up, &trace, plain).await
        }
        PolicyName::Carobvane
        | PolicyName::NoHedging
        | PolicyName::NoPriorities
        | PolicyName::NoObservation => {
            let chooser = router::<CostPolicy>(
                &fleet,
                SlotLimits::default(),
                seed,
                policy != PolicyName::NoObservation,
            );
            let settings = PlaySettings {
                hedging: policy != PolicyName::NoHedging,
                priorities: policy != PolicyName::NoPriorities,
                ..full
            };
            play(&fleet, chooser, &warm_up, &trace, settings).await
        }
        PolicyName::NoAdmission => {
            let chooser = router::<CostPolicy>(&fleet, NO_LIMITS, seed, true);
            let settings = PlaySettings { admission: false, ..full };
            play(&fleet, chooser, &warm_up, &trace, settings).await
        }
        PolicyName::Oracle => {
            let settings = PlaySettings { priorities: true, ..plain };
            play(&fleet, OracleChooser::new(&fleet.engines), &warm_up, &trace, settings).await
        }
    };
    fleet.stop().await;
    Ok(result)
}

/// A simple policy: every request goes out at once, and engines queue.
fn baseline<P: RoutingPolicy + 'static>(fleet: &EngineFleet, seed: u64) -> RouterChooser<P> {
    router(fleet, NO_LIMITS, seed, false)
}

fn router<P: RoutingPolicy + 'static>(
    fleet: &EngineFleet,
    limits: SlotLimits,
    seed: u64,
    observes: bool,
) -> RouterChooser<P> {
    let cost = CostSettings {
        prefill_ms: crate::compare::PREFILL_MS,
        decode_ms: crate::compare::DECODE_MS,
        ..CostSettings::default()
    };
    let settings =
        RouterSettings { cost, limits, block_capacity: 65_536, entry_count: 1, store: false };
    RouterChooser::new(&fleet.engines, settings, P::Settings::default(), seed, observes)
}
