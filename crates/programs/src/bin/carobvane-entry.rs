//! Serves client requests on an entry VM until a shutdown signal or an operator's drain request
//! arrives, then drains.

use carobvane_host::{entry, logging, settings::EntrySettings, telemetry};
use eyre::{Result, WrapErr};

fn main() -> Result<()> {
    let settings = EntrySettings::from_env_or_exit();
    logging::start_logging(settings.node.log_level)?;
    telemetry::start_metrics();
    actix_rt::System::new().block_on(async {
        let handle = entry::start(settings).wrap_err("failed to start the entry")?;
        tokio::select! {
            stop = carobvane_host::signals::wait_for_shutdown_signal() => stop?,
            () = handle.wait_for_drain_request() => {}
        }
        handle.drain().await;
        log::info!("entry has drained");
        Ok(())
    })
}
