//! The record that `plan` leaves for `apply`.
//!
//! `apply` changes exactly what `plan` showed: it compares the accepted version and the lists in
//! the folder with this record. Without it, an operator whose folder is behind would revert
//! another operator's change without seeing it.

use std::{fs, path::Path};

use carobvane_core::lists::{ListDigest, ListVersion};
use serde::{Deserialize, Serialize};

use crate::exit::{ExitStatus, Failure};

/// Name of the record's file in the folder; not kept under version control.
pub const PLAN_RECORD_FILE: &str = ".carobvane-plan.json";

/// What `plan` compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlanRecord {
    /// The accepted version.
    pub(crate) base: ListVersion,
    /// Digest of the folder's lists.
    pub(crate) planned: ListDigest,
}

impl PlanRecord {
    /// Leaves the record in `folder`.
    pub(crate) fn save(&self, folder: &Path) -> Result<(), Failure> {
        let path = folder.join(PLAN_RECORD_FILE);
        let text = serde_json::to_string(self).expect("encoding to memory does not fail");
        fs::write(&path, text + "\n").map_err(|error| {
            let message = format!("failed to write {}: {error}", path.display());
            Failure::new(ExitStatus::Usage, message)
        })
    }

    /// Reads the record of `folder`.
    pub(crate) fn load(folder: &Path) -> Result<PlanRecord, Failure> {
        let path = folder.join(PLAN_RECORD_FILE);
        let text = fs::read_to_string(&path).map_err(|_| {
            let message = format!(
                "no plan is recorded in {}: run `carobvane plan {}` first, or name the version \
                 with --base",
                path.display(),
                folder.display()
            );
            Failure::new(ExitStatus::Usage, message)
        })?;
        serde_json::from_str(&text).map_err(|error| {
            let message = format!("failed to read {}: {error}", path.display());
            Failure::new(ExitStatus::Usage, message)
        })
    }
}
