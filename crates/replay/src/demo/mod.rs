//! `carobvane-demo`: the whole path in one process, fed with a recorded trace.

mod faults;
pub(crate) mod run;
mod summary;

use std::{process::ExitCode, time::Duration};

use carobvane_host::{logging, telemetry};
use carobvane_standin::engine::EngineSettings;
use eyre::{Result, WrapErr};

use crate::{
    deployment::{DeploymentSpec, IRAZABAL},
    fleet::{Fleet, FleetSettings, MODEL, SERVICE, key_of},
    probe, trace,
};

/// The recorded trace, part of the program so that it runs from any folder.
const TRACE: &str = include_str!("../../../../traces/irazabal-small.jsonl");
/// Bytes of prompt text for a piece; small, since the stand-ins count pieces and not bytes.
const PIECE_BYTES: usize = 64;
/// Pairs of the latency measurement.
const LATENCY_PAIRS: usize = 400;

mod flags {
    // xflags turns the doc comments into help text and generates undocumented items.
    #![allow(missing_docs)]

    use log::LevelFilter;

    xflags::xflags! {
        /// Starts stand-ins and three entries in one process and sends a recorded trace through.
        ///
        /// Exits with 0 only if every request had exactly one whole answer or an honest error,
        /// and no booking ran twice.
        cmd demo-flags {
            /// Leaves everything listening after the trace and prints how to use it.
            optional --keep
            /// Least severe log level: error, warn, info or debug. Default: error.
            optional --log-level level: LevelFilter
            /// Prints the version.
            optional --version
        }
    }
}

/// Runs the program.
///
/// # Errors
///
/// A part cannot be started.
pub fn main() -> Result<ExitCode> {
    let flags = flags::DemoFlags::from_env_or_exit();
    if flags.version {
        println!("carobvane-demo {}", env!("CARGO_PKG_VERSION"));
        return Ok(ExitCode::SUCCESS);
    }
    logging::start_logging(flags.log_level.unwrap_or(log::LevelFilter::Error))?;
    telemetry::start_metrics();
    actix_rt::System::new().block_on(demonstrate(flags.keep))
}

async fn demonstrate(keep: bool) -> Result<ExitCode> {
    let requests = trace::parse(TRACE).wrap_err("failed to read the recorded trace")?;
    let fleet = Fleet::start(&settings(&IRAZABAL)).await.wrap_err("failed to start the fleet")?;
    let results = run::send_trace(&fleet, &requests, PIECE_BYTES).await;
    let latencies = probe::measure_pairs(LATENCY_PAIRS).await?;
    let summary = summary::DemoSummary::new(&fleet, &results, &latencies);
    println!("{summary}");
    if keep {
        print_usage(&fleet);
        carobvane_host::signals::wait_for_shutdown_signal().await?;
    }
    fleet.stop().await;
    Ok(if summary.holds() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
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
    let key = key_of(IRAZABAL.workspaces[0].name);
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

/// A pause long enough for cancelled work to end before counters are read.
const SETTLE_TIME: Duration = Duration::from_millis(200);
