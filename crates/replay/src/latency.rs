//! Measures the latency that an entry adds to a request, by comparing requests through the entry
//! with direct requests to the same engine.

use std::time::Duration;

use carobvane_standin::engine::EngineSettings;
use eyre::Result;

use crate::{
    client::{CallResult, CompletionCall, stream_completion},
    fleet::{Fleet, FleetSettings, MODEL, workspace_key},
};

/// Time scale at which the engine's compute time is negligible compared with the request path.
const INSTANT_TIME_SCALE: f64 = 10_000.0;
/// Pairs of requests sent before the measurement, so that connections are already open.
const WARM_UP_PAIRS: usize = 20;

/// Latencies of pairs of requests, in microseconds.
#[derive(Debug, Clone, Default)]
pub struct PairedLatencies {
    /// Latencies of requests sent directly to the engine.
    pub direct: Vec<f64>,
    /// Latencies of requests sent through the entry.
    pub via_entry: Vec<f64>,
}

impl PairedLatencies {
    /// Latency added by the entry: the difference between the two percentiles at `share` (0 to 1),
    /// in microseconds.
    pub fn added_latency(&self, share: f64) -> f64 {
        let percentile = crate::stats::percentile;
        percentile(&self.via_entry, share) - percentile(&self.direct, share)
    }
}

/// Settings of a fleet with one entry, and one engine that responds almost immediately.
pub fn instant_fleet_settings() -> FleetSettings {
    let engine = EngineSettings {
        time_scale: INSTANT_TIME_SCALE,
        slots: 1_024,
        ..EngineSettings::default()
    };
    FleetSettings { entries: 1, engines: vec![engine], ..FleetSettings::default() }
}

/// A request to `url` for a completion of one token.
pub fn short_completion(url: String, workspace: &str) -> CompletionCall {
    CompletionCall {
        entry: url,
        key: workspace_key(workspace),
        model: MODEL.to_string(),
        weights: 1,
        prompt: "is the float ready?".to_string(),
        tokens: 1,
    }
}

/// Starts a fleet and measures `pairs` pairs of requests, the direct one first.
///
/// # Errors
///
/// The fleet cannot be started, or a request does not get a complete response.
pub async fn measure_latency_pairs(pairs: usize) -> Result<PairedLatencies> {
    let fleet = Fleet::start(&instant_fleet_settings()).await?;
    let client = awc::Client::builder().disable_timeout().finish();
    let workspace = "workspace-1";
    let direct = short_completion(format!("http://{}", fleet.engines[0].addr()), workspace);
    let via_entry = short_completion(fleet.entry_url(0), workspace);
    let mut latencies = PairedLatencies::default();
    for number in 0..pairs + WARM_UP_PAIRS {
        let pair =
            [time_request(&client, &direct).await?, time_request(&client, &via_entry).await?];
        if number >= WARM_UP_PAIRS {
            latencies.direct.push(as_micros(pair[0]));
            latencies.via_entry.push(as_micros(pair[1]));
        }
    }
    fleet.stop().await;
    Ok(latencies)
}

async fn time_request(client: &awc::Client, call: &CompletionCall) -> Result<Duration> {
    match stream_completion(client, call).await {
        CallResult::Complete { total, .. } => Ok(total),
        other => eyre::bail!("failed to measure a request: {other:?}"),
    }
}

fn as_micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000_000.0
}
