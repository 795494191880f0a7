//! Writes log records as JSON lines to standard error.
//!
//! Messages are fixed texts; variable data goes into key-value attributes. Prompts and API keys
//! must never be logged.

use eyre::WrapErr;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Logger, Root},
    encode::json::JsonEncoder,
};

/// Log target that is switched off: the HTTP runtime logs an error whenever a peer resets a
/// connection, which the request's own log line reports already, together with the request id.
const SILENT_TARGET: &str = "actix_http";

/// Installs the logger of this process; records less severe than `level` are discarded.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn start_logging(level: log::LevelFilter) -> eyre::Result<()> {
    let console = ConsoleAppender::builder()
        .target(Target::Stderr)
        .encoder(Box::new(JsonEncoder::new()))
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("console", Box::new(console)))
        .logger(Logger::builder().build(SILENT_TARGET, log::LevelFilter::Off))
        .build(Root::builder().appender("console").build(level))
        .wrap_err("failed to build the log configuration")?;
    log4rs::init_config(config).wrap_err("failed to start logging")?;
    Ok(())
}
