//! Tests of the operators' command-line tool, one file for each command, and of the clients that it
//! uses. Commands run in the test's own process against stand-ins.

mod apply;
mod check;
mod completions;
mod diff;
mod drain;
mod fleet;
mod hash_key;
mod history;
mod keyvalue;
mod list_store;
mod plan;
mod revert;
mod settings;
mod show;
mod status;
mod support;
mod trace;
mod why;
