//! Signals that ask a process to stop.

use eyre::{Result, WrapErr};
use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers cannot be installed.
pub async fn wait_for_shutdown_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("failed to handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("failed to handle SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
