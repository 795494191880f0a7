//! The last log line of a request.

use crate::{client::request_context::RequestContext, clock};

/// Logs how a request ended, and counts it.
pub fn log_end(context: &RequestContext, status: u16, outcome: &'static str) {
    let now = clock::now();
    let took_ms = now.since(context.arrived_at).as_millis() as u64;
    let workspace = context.workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
    log::info!(
        request = context.info.request_id, route = context.rule.name, workspace = workspace,
        service = context.service, status, outcome, took_ms, attempts = context.history.attempts,
        arrivals = context.history.deliveries;
        "request ended"
    );
    metrics::counter!("carobvane_requests_total", "outcome" => outcome).increment(1);
    metrics::histogram!("carobvane_request_seconds")
        .record(now.since(context.arrived_at).as_secs_f64());
}
