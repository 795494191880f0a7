//! Rules over references between the files.

mod fleet;
mod grants;
mod workspaces;

pub(crate) use grants::effective_names;

use crate::{finding::FindingCollector, raw::RawLists};

/// Checks every reference.
pub(crate) fn check_references(raw: &RawLists, findings: &mut FindingCollector) {
    workspaces::check(raw, findings);
    grants::check(raw, findings);
    fleet::check(raw, findings);
}
