//! JSON log lines on standard error.
//!
//! Call sites pass fields as key-value attributes; prompts and keys are never passed.

use eyre::WrapErr;
use log4rs::{
    append::console::{ConsoleAppender, Target},
    config::{Appender, Config, Logger, Root},
    encode::json::JsonEncoder,
};

/// The HTTP runtime, which logs an error whenever a peer resets a connection. The request's own line
/// says so with its id.
const SILENT_TARGET: &str = "actix_http";

/// Starts logging for this process.
///
/// # Errors
///
/// Fails if a logger has been set already.
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
