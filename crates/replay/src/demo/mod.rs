//! `carobvane-demo`: runs a whole fleet in one process and replays a recorded trace through it.

mod faults;
pub(crate) mod run;
mod summary;

use std::{process::ExitCode, time::Duration};

use carobvane_host::{logging, telemetry};
use carobvane_standin::engine::EngineSettings;
use eyre::{Result, WrapErr};

use crate::{
    deployment::{DeploymentSpec, IRAZABAL},
    fleet::{Fleet, FleetSettings, MODEL, SERVICE, workspace_key},
    latency, trace,
};

/// The recorded trace, embedded in the program so that it can run from any folder.
const TRACE: &str = include_str!("../../../../traces/irazabal-small.jsonl");
/// Bytes of prompt text per piece. A small size suffices, because the simulated engines compute by
/// pieces and not by bytes.
const PIECE_BYTES: usize = 64;
/// Number of request pairs that measure the added latency.
const LATENCY_PAIRS: usize = 400;

mod flags {
    // xflags turns the doc comments into help text and generates undocumented items.
    #![allow(missing_docs)]

    use log::LevelFilter;

    xflags::xflags! {
        /// Starts three entries with simulated servers in one process and replays a recorded
        /// trace.
        ///
        /// The exit code is 0 only if every request got exactly one complete response or an error
        /// that states whether it ran, and no booking ran twice.
        cmd demo-flags {
            /// Keeps the fleet running after the trace and prints how to send requests to it.
            optional --keep
            /// Least severe level that is logged: error, warn, info or debug. Default: error.
            optional --log-level level: LevelFilter
            /// Prints the version.
            optional --version
        }
    }
}

/// Runs the program. The exit code is 1 if a response was wrong or missing, or a booking ran twice.
///
/// # Errors
///
/// A component cannot be started, or the latency measurement fails.
pub fn main() -> Result<ExitCode> {
    let flags = flags::DemoFlags::from_env_or_exit();
    if flags.version {
        println!("carobvane-demo {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    logging::start_logging(flags.log_level.unwrap_or(log::LevelFilter::Error))?;
    telemetry::start_metrics();
    actix_rt::System::new().block_on(run_demo(flags.keep))
}

async fn run_demo(keep: bool) -> Result<ExitCode> {
    let requests = trace::parse(TRACE).wrap_err("failed to read the recorded trace")?;
    let fleet = Fleet::start(&settings(&IRAZABAL)).await.wrap_err("failed to start the fleet")?;
    let results = run::send_trace(&fleet, &requests, PIECE_BYTES).await;
    let latencies = latency::measure_latency_pairs(LATENCY_PAIRS).await?;
    let summary = summary::DemoSummary::new(&fleet, &results, &latencies);
    println!("{summary}");
    if keep {
        print_usage(&fleet);
        carobvane_host::signals::wait_for_shutdown_signal().await?;
    }
    fleet.stop().await;
    Ok(if summary.is_success() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn settings(spec: &DeploymentSpec) -> FleetSettings {
    FleetSettings {
        entries: 3,
        engines: vec![EngineSettings::default(); spec.engines],
        services: spec.services,
        workspaces: spec.workspaces.iter().map(|workspace| workspace.name.to_string()).collect(),
        piece_bytes: PIECE_BYTES,
        ..FleetSettings::default()
    }
}

fn print_usage(fleet: &Fleet) {
    let key = workspace_key(IRAZABAL.workspaces[0].name);
    for position in 0..fleet.entries.len() {
        println!("entry {}", fleet.entry_url(position));
    }
    println!("key {key}");
    println!("model {MODEL}");
    println!("service {SERVICE}");
    println!("ready");
    println!(
        "curl -s {}/v1/chat/completions -H 'Authorization: Bearer {key}' \
         -H 'Content-Type: application/json' \
         -d '{{\"model\":\"{MODEL}\",\"messages\":[{{\"role\":\"user\",\"content\":\"is the \
         float ready?\"}}],\"max_tokens\":8}}'",
        fleet.entry_url(0)
    );
}

/// Delay before the counters of the servers are read, so that cancelled requests have ended.
const SETTLE_DELAY: Duration = Duration::from_millis(200);
