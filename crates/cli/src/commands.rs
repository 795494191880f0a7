//! The commands, one module each.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod completions;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod hash_key;
pub(crate) mod history;
pub(crate) mod plan;
pub(crate) mod revert;
pub(crate) mod show;
pub(crate) mod status;
pub(crate) mod trace;
pub(crate) mod why;

use crate::{console::Console, settings::CliSettings};

/// Settings and streams of the running command.
pub(crate) struct Session<'a, 'c> {
    pub(crate) settings: CliSettings,
    pub(crate) console: &'a mut Console<'c>,
}
