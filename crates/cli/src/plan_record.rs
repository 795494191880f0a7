//! The record that `plan` writes and `apply` reads.
//!
//! `apply` makes exactly the change that `plan` showed: it compares the accepted version and the
//! lists in the folder with this record. Without it, an operator with an outdated folder could
//! revert another operator's change without noticing.

use std::{fs, path::Path};

use carobvane_core::lists::{ListDigest, ListVersion};
use serde::{Deserialize, Serialize};

use crate::exit::{ExitStatus, Failure};

/// Name of the record's file in the folder with the lists. Not meant for version control.
pub const PLAN_RECORD_FILE: &str = ".carobvane-plan.json";

/// Versions that `plan` compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PlanRecord {
    /// Accepted version at the time of the plan.
    pub(crate) base: ListVersion,
    /// Digest of the lists in the folder.
    pub(crate) planned: ListDigest,
}

impl PlanRecord {
    /// Writes the record to `folder`.
    pub(crate) fn save(&self, folder: &Path) -> Result<(), Failure> {
        let path = folder.join(PLAN_RECORD_FILE);
        let text = serde_json::to_string(self).expect("encoding to memory does not fail");
        fs::write(&path, text + "\n").map_err(|error| {
            let message = format!("failed to write {}: {error}", path.display());
            Failure::new(ExitStatus::Usage, message)
        })
    }

    /// Reads the record in `folder`. Fails if there is none.
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
