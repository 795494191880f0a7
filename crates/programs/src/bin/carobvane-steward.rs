//! Keeps the accepted lists for the processes of an entry VM and, while it holds the order lease,
//! sends orders to model engines.

use carobvane_host::{logging, settings::StewardSettings, steward, telemetry};
use eyre::{Result, WrapErr};

fn main() -> Result<()> {
    let settings = StewardSettings::from_env_or_exit();
    logging::start_logging(settings.node.log_level)?;
    telemetry::start_metrics();
    actix_rt::System::new().block_on(async {
        let handle = steward::start(settings).wrap_err("failed to start the steward")?;
        carobvane_host::signals::wait_for_shutdown_signal().await?;
        handle.stop().await;
        Ok(())
    })
}
