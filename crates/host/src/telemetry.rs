//! Metrics in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder. Later calls in the same process have no effect.
pub fn start_metrics() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails if a test has installed its own recorder, which then stays in use.
        metrics::set_global_recorder(recorder).ok();
        handle
    });
}

/// Renders all metrics for a scrape; empty before [`start_metrics`].
pub fn render_metrics() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}
