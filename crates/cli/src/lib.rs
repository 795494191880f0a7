//! The `carobvane` command line for operators: checks, plans, applies and shows the operators'
//! lists, and shows the state of the nodes.
//!
//! [`run`] takes its arguments, environment variables and streams from the caller, so that tests
//! run every command in their own process.

pub mod flags;

mod commands;
mod console;
mod exit;
mod fleet;
mod in_force;
mod plan_record;
mod settings;

use std::ffi::OsString;

use crate::{
    commands::Session,
    flags::{Carobvane, CarobvaneCmd},
};

pub use console::Console;
pub use exit::{ExitStatus, Failure};
pub use plan_record::PLAN_RECORD_FILE;

/// Runs one command and returns how it ended. Failures are printed to standard error. `lookup`
/// returns the value of an environment variable.
pub async fn run(
    arguments: Vec<OsString>,
    lookup: impl Fn(&str) -> Option<String>,
    console: &mut Console<'_>,
) -> ExitStatus {
    if arguments.iter().map(OsString::as_os_str).eq(["--version"]) {
        console.print(format_args!("carobvane {}", env!("CARGO_PKG_VERSION")));
        return ExitStatus::Success;
    }
    let flags = match Carobvane::from_vec(arguments) {
        Ok(flags) => flags,
        Err(error) if error.is_help() => {
            console.print(format_args!("{error}"));
            return ExitStatus::Success;
        }
        Err(error) => {
            console.print_diagnostic(format_args!("error: {error}; see `carobvane --help`"));
            return ExitStatus::Usage;
        }
    };
    match dispatch(flags, lookup, console).await {
        Ok(status) => status,
        Err(failure) => {
            for line in failure.lines() {
                console.print_diagnostic(format_args!("{line}"));
            }
            failure.status
        }
    }
}

async fn dispatch(
    flags: Carobvane,
    lookup: impl Fn(&str) -> Option<String>,
    console: &mut Console<'_>,
) -> Result<ExitStatus, Failure> {
    let settings = settings::CliSettings::read(&flags, lookup)?;
    let mut session = Session { settings, console };
    let session = &mut session;
    match flags.subcommand {
        CarobvaneCmd::Check(check) => commands::check::run(session, &check.dir),
        CarobvaneCmd::Plan(plan) => commands::plan::run(session, &plan.dir).await,
        CarobvaneCmd::Apply(apply) => commands::apply::run(session, &apply.dir, apply.base).await,
        CarobvaneCmd::Show(show) => commands::show::run(session, show.version).await,
        CarobvaneCmd::History(history) => commands::history::run(session, history.limit).await,
        CarobvaneCmd::Diff(diff) => commands::diff::run(session, &diff.before, &diff.after).await,
        CarobvaneCmd::Revert(revert) => commands::revert::run(session, revert.version).await,
        CarobvaneCmd::Status(_) => commands::status::run(session).await,
        CarobvaneCmd::Why(why) => commands::why::run(session, &why.request_id).await,
        CarobvaneCmd::Trace(trace) => {
            commands::trace::run(session, &trace.request_id, &trace.files)
        }
        CarobvaneCmd::Drain(drain) => {
            commands::drain::run(session, &drain.entry, !drain.no_wait).await
        }
        CarobvaneCmd::HashKey(_) => commands::hash_key::run(session),
        CarobvaneCmd::Completions(completions) => {
            commands::completions::run(session, &completions.shell)
        }
    }
}
