//! Metrics in the Prometheus text format.

use std::{sync::OnceLock, thread, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Time between two folds of histogram values into their summaries.
const FOLD_INTERVAL: Duration = Duration::from_secs(5);

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the metrics recorder. Later calls in the same process have no effect.
pub fn start_metrics() {
    HANDLE.get_or_init(|| {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        // Fails if a test has installed its own recorder, which then stays in use.
        metrics::set_global_recorder(recorder).ok();
        let folded = handle.clone();
        thread::spawn(move || fold_metrics(&folded));
        handle
    });
}

/// Folds histogram values until the process ends. The recorder itself does so only when the metrics are
/// rendered, and keeps each value until then.
fn fold_metrics(handle: &PrometheusHandle) {
    loop {
        thread::sleep(FOLD_INTERVAL);
        handle.run_upkeep();
    }
}

/// Renders all metrics for a scrape; empty before [`start_metrics`].
pub fn render_metrics() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}
