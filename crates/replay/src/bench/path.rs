//! `carobvane-bench path`: the latency and memory that an entry adds to requests.
//!
//! Each measurement runs directly against the engine and through an entry in the same process and
//! run, so that both see the same load of the machine. Callers, engine and entry share the machine,
//! so the latency and memory of the entry alone are lower than the figures.

use std::{
    path::PathBuf,
    thread,
    time::{Duration, Instant},
};

use eyre::{Result, WrapErr, eyre};

use super::{BenchFigure, print_table, write_json};
use crate::{
    client::{CallResult, CompletionCall, stream_completion},
    fleet::{Fleet, FleetSettings},
    latency::{instant_fleet_settings, measure_latency_pairs, short_completion},
    stats::percentile,
};

/// Number of threads that send requests.
const CALLER_THREADS: usize = 4;
/// Number of requests in progress at full load.
const FULL_CONCURRENCY: usize = 64;
/// Number of the entry's worker threads.
const ENTRY_WORKERS: usize = 4;
/// Duration of one load phase.
const PHASE_DURATION: Duration = Duration::from_secs(2);
/// Number of pairs of a direct and a routed request without other load.
const UNLOADED_PAIRS: usize = 1_000;
/// Number of streams that are open at once when memory is measured.
const OPEN_STREAMS: usize = 1_000;
/// Number of tokens per stream when memory is measured.
const STREAM_TOKENS: u32 = 400;
/// Size of a page in `/proc/self/statm`, in bytes.
const PAGE_BYTES: f64 = 4_096.0;
/// Number of bytes in a MiB.
const MIB_BYTES: f64 = 1_048_576.0;

/// Options of the subcommand.
#[derive(Debug, Clone)]
pub struct PathOptions {
    /// Number of runs per figure.
    pub runs: usize,
    /// File to write the figures to as JSON.
    pub json: PathBuf,
}

/// Results of one load phase.
#[derive(Debug, Clone, Default)]
struct PhaseResult {
    /// Latencies of all completed requests, in microseconds.
    latencies: Vec<f64>,
}

impl PhaseResult {
    /// Returns the completed requests per second.
    fn rate(&self) -> f64 {
        self.latencies.len() as f64 / PHASE_DURATION.as_secs_f64()
    }
}

/// Measures the figures, prints them as a table and writes them as JSON. Fails if a request fails
/// or the file cannot be written.
pub fn run(options: &PathOptions) -> Result<()> {
    let figures = actix_rt::System::new().block_on(measure(options.runs))?;
    print_table(&figures);
    write_json(&options.json, &figures)
}

async fn measure(runs: usize) -> Result<Vec<BenchFigure>> {
    let mut values: [Vec<f64>; 8] = Default::default();
    for _ in 0..runs {
        let pairs = measure_latency_pairs(UNLOADED_PAIRS).await?;
        values[0].push(pairs.added_latency(0.5));
        values[1].push(pairs.added_latency(0.99));
        let settings = FleetSettings { workers: ENTRY_WORKERS, ..instant_fleet_settings() };
        let fleet = Fleet::start(&settings).await?;
        let engine = format!("http://{}", fleet.engines[0].addr());
        let half = FULL_CONCURRENCY / 2;
        let direct = run_load(engine.clone(), half).await?;
        let through = run_load(fleet.entry_url(0), half).await?;
        for (position, share) in [(2, 0.5), (3, 0.99)] {
            let added =
                percentile(&through.latencies, share) - percentile(&direct.latencies, share);
            values[position].push(added);
        }
        values[4].push(run_load(engine, FULL_CONCURRENCY).await?.rate());
        values[5].push(run_load(fleet.entry_url(0), FULL_CONCURRENCY).await?.rate());
        values[6].push(stream_memory(&fleet).await?);
        values[7].push(resident_bytes()? / MIB_BYTES);
        fleet.stop().await;
    }
    let [p50, p99, half50, half99, direct, through, streams, resident] = values;
    Ok(vec![
        BenchFigure::new("added latency p50, unloaded", "us", p50),
        BenchFigure::new("added latency p99, unloaded", "us", p99),
        BenchFigure::new("added latency p50, half load", "us", half50).with_target(150.0),
        BenchFigure::new("added latency p99, half load", "us", half99).with_target(1_000.0),
        BenchFigure::new("engine alone", "req/s", direct),
        BenchFigure::new("through the entry (target >= 20000)", "req/s", through),
        BenchFigure::new("growth at 1000 streams, all parts", "MiB", streams).with_target(64.0),
        BenchFigure::new("resident after the run, all parts", "MiB", resident),
    ])
}

/// Keeps `concurrency` requests in progress for one phase, on several threads.
async fn run_load(url: String, concurrency: usize) -> Result<PhaseResult> {
    let threads: Vec<_> = (0..CALLER_THREADS)
        .map(|_| {
            let url = url.clone();
            thread::spawn(move || {
                actix_rt::System::new().block_on(run_callers(url, concurrency / CALLER_THREADS))
            })
        })
        .collect();
    let joined = tokio::task::spawn_blocking(move || {
        threads.into_iter().map(thread::JoinHandle::join).collect::<Vec<_>>()
    });
    let mut result = PhaseResult::default();
    for latencies in joined.await.wrap_err("failed to wait for the callers")? {
        let latencies = latencies.map_err(|_| eyre!("a caller thread panicked"))??;
        result.latencies.extend(latencies);
    }
    Ok(result)
}

/// Keeps `concurrency` requests in progress for one phase and returns their latencies in
/// microseconds.
async fn run_callers(url: String, concurrency: usize) -> Result<Vec<f64>> {
    let client =
        awc::Client::builder().connector(awc::Connector::new().limit(0)).disable_timeout().finish();
    let deadline = Instant::now() + PHASE_DURATION;
    let call = short_completion(url, "workspace-1");
    let callers = (0..concurrency).map(|_| call_until(&client, &call, deadline));
    let results = futures::future::try_join_all(callers).await?;
    Ok(results.into_iter().flatten().collect())
}

/// Sends one request after the other until `deadline` and returns their latencies in microseconds.
async fn call_until(
    client: &awc::Client,
    call: &CompletionCall,
    deadline: Instant,
) -> Result<Vec<f64>> {
    let mut latencies = Vec::new();
    while Instant::now() < deadline {
        match stream_completion(client, call).await {
            CallResult::Complete { total, .. } => latencies.push(total.as_secs_f64() * 1_000_000.0),
            other => return Err(eyre!("a request failed under load: {other:?}")),
        }
    }
    Ok(latencies)
}

/// Returns by how much the resident memory of the process grows while all streams are open, in MiB.
/// This includes the memory of callers and engine.
async fn stream_memory(fleet: &Fleet) -> Result<f64> {
    let before = resident_bytes()?;
    let client =
        awc::Client::builder().connector(awc::Connector::new().limit(0)).disable_timeout().finish();
    let call = CompletionCall {
        tokens: STREAM_TOKENS,
        ..short_completion(fleet.entry_url(0), "workspace-1")
    };
    let streams = (0..OPEN_STREAMS).map(|_| stream_completion(&client, &call));
    let mut highest = before;
    let results = {
        let streams = futures::future::join_all(streams);
        futures::pin_mut!(streams);
        loop {
            let tick = tokio::time::sleep(Duration::from_millis(10));
            match futures::future::select(streams.as_mut(), Box::pin(tick)).await {
                futures::future::Either::Left((results, _)) => break results,
                futures::future::Either::Right(_) => highest = highest.max(resident_bytes()?),
            }
        }
    };
    let complete =
        results.iter().filter(|result| matches!(result, CallResult::Complete { .. })).count();
    eyre::ensure!(
        complete == OPEN_STREAMS,
        "only {complete} of {OPEN_STREAMS} streams were complete"
    );
    Ok((highest - before) / MIB_BYTES)
}

/// Returns the resident memory of the process in bytes.
fn resident_bytes() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")
        .wrap_err("failed to read the memory statistics of the process")?;
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .ok_or_else(|| eyre!("unexpected memory statistics: {text:?}"))?;
    Ok(pages * PAGE_BYTES)
}
