//! Metrics in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts recording. Later calls in the same process have no effect.
pub fn start_metrics() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Another recorder stays if a test has set one.
        metrics::set_global_recorder(recorder).ok();
        handle
    });
}

/// The metrics page; empty before [`start_metrics`].
pub fn render_metrics() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}
