//! The software versions of a service as the platform's store keeps them, for the case that no node
//! remembers them.

use serde::{Deserialize, Serialize};

use super::StreamOrigins;
use crate::clock::ClockTime;

/// The versions of a service at which streams may have begun that can still be taken up.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SoftwareRecord {
    /// Era of the store in which no version was missing. A store that was restored from an older copy has
    /// an older record.
    pub era: u64,
    /// The versions, `None` for servers that name none. Invariant: sorted, none twice.
    pub versions: Vec<Option<String>>,
}

impl SoftwareRecord {
    /// Creates a record of some versions.
    pub fn new(era: u64, versions: impl IntoIterator<Item = Option<String>>) -> SoftwareRecord {
        let mut versions: Vec<Option<String>> = versions.into_iter().collect();
        versions.sort_unstable();
        versions.dedup();
        SoftwareRecord { era, versions }
    }

    /// Whether streams at servers of a version are covered by the record.
    pub fn names(&self, software: Option<&str>) -> bool {
        self.versions.iter().any(|version| version.as_deref() == software)
    }
}

impl StreamOrigins {
    /// Returns the record that the store should have of a service, if it differs from the one that it has.
    /// A node that may not know of all versions creates no record and takes no version out.
    pub fn wanted_record(
        &self,
        now: ClockTime,
        service: &str,
        stored: Option<&SoftwareRecord>,
        era: u64,
    ) -> Option<SoftwareRecord> {
        let listed = self.versions(service);
        let mut versions: Vec<Option<String>> =
            listed.map(|software| software.map(str::to_string)).collect();
        if versions.is_empty() {
            return None;
        }
        if !self.is_complete_for(now, service) {
            let known = stored.filter(|stored| stored.era == era)?;
            versions.extend(known.versions.iter().cloned());
        }
        let wanted = SoftwareRecord::new(era, versions);
        (stored != Some(&wanted)).then_some(wanted)
    }
}
