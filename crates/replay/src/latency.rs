//! Measures what an entry adds to a request, paired with direct calls to the same engine.

use std::time::Duration;

use carobvane_standin::engine::EngineSettings;
use eyre::Result;

use crate::{
    client::{CallResult, CompletionCall, stream_completion},
    fleet::{Fleet, FleetSettings, MODEL, workspace_key},
};

/// An engine that computes almost nothing, so that the path dominates.
const INSTANT_TIME_SCALE: f64 = 10_000.0;
/// Requests before the measurement, so that connections are open.
const WARM_UP_PAIRS: usize = 20;

/// Latencies of paired requests, in microseconds.
#[derive(Debug, Clone, Default)]
pub struct PairedLatencies {
    /// Sent to the engine.
    pub direct: Vec<f64>,
    /// Sent through an entry.
    pub via_entry: Vec<f64>,
}

impl PairedLatencies {
    /// Difference of the percentiles at `share`, in microseconds.
    pub fn added_latency(&self, share: f64) -> f64 {
        let percentile = crate::stats::percentile;
        percentile(&self.via_entry, share) - percentile(&self.direct, share)
    }
}

/// A fleet of one entry and one engine that answers at once.
pub fn instant_fleet_settings() -> FleetSettings {
    let engine = EngineSettings {
        time_scale: INSTANT_TIME_SCALE,
        slots: 1_024,
        ..EngineSettings::default()
    };
    FleetSettings { entries: 1, engines: vec![engine], ..FleetSettings::default() }
}

/// A short request to `url`.
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

/// Sends `pairs` requests in turn to the engine and through an entry.
///
/// # Errors
///
/// The fleet cannot be started, or a request is not answered whole.
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
            latencies.direct.push(micros(pair[0]));
            latencies.via_entry.push(micros(pair[1]));
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

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000_000.0
}
