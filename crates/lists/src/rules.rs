//! Rules about references between entries and between the files.

mod fleet;
mod grants;
mod workspaces;

pub(crate) use grants::effective_names;

use crate::{finding::FindingCollector, raw::RawLists};

/// Checks all references. The three files must have been parsed completely.
pub(crate) fn check_references(raw: &RawLists, findings: &mut FindingCollector) {
    workspaces::check(raw, findings);
    grants::check(raw, findings);
    fleet::check(raw, findings);
}
