//! Reads, checks, compares and writes the operators' lists: three TOML files in a folder that
//! together make one `ListDocument`.
//!
//! Operators configure carobvane only through these files. Every mistake that can be detected in
//! them is reported before a version is accepted: all findings at once, each with its position, its
//! rule and, usually, a suggestion. `docs/lists.md` describes the format and each rule.

mod check;
mod difference;
mod finding;
mod impact;
mod limit;
mod names;
mod raw;
mod reader;
mod rules;
mod source;
mod writer;

#[cfg(test)]
mod tests;

pub use check::{CheckedLists, check_files, check_folder};
pub use difference::{ChangeAction, EntryChange, EntryKind, FieldChange, ListDifference};
pub use finding::{Finding, RuleName};
pub use impact::{ChangePlan, WorkspaceEffect, WorkspaceImpact, WorkspaceUse};
pub use limit::{
    MIN_CONCURRENT_STREAMS, MIN_REQUESTS_PER_SECOND, MIN_TOKENS_PER_MINUTE, format_limit,
};
pub use source::{FLEET_FILE, GRANTS_FILE, ListFiles, PLANS_FILE, Position, ReadError};
pub use writer::format_files;
