//! When each weights version of a model was announced.

use std::collections::HashMap;

use crate::{clock::ClockTime, ids::WeightsVersion};

/// Maximum number of announced versions that are kept for a model.
const MAX_ANNOUNCED: usize = 16;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct AnnouncedVersion {
    version: WeightsVersion,
    announced_at: ClockTime,
}

/// Announced weights versions by model.
#[derive(Debug, Clone, Default)]
pub struct WeightsHistory {
    /// Invariant: the versions of a model in ascending order, at most [`MAX_ANNOUNCED`] of them.
    announced: HashMap<String, Vec<AnnouncedVersion>>,
}

impl WeightsHistory {
    /// Records a version that was announced at `announced_at`, unless a version at least as new is
    /// known. Returns whether it was recorded.
    pub fn announce(
        &mut self,
        announced_at: ClockTime,
        model: &str,
        version: WeightsVersion,
    ) -> bool {
        let announced = self.announced.entry(model.to_string()).or_default();
        if announced.last().is_some_and(|last| last.version >= version) {
            return false;
        }
        if announced.len() >= MAX_ANNOUNCED {
            announced.remove(0);
        }
        announced.push(AnnouncedVersion { version, announced_at });
        true
    }

    /// When the first version newer than `version` was announced; `None` if there is none.
    pub fn replaced_at(&self, model: &str, version: WeightsVersion) -> Option<ClockTime> {
        let mut newer =
            self.announced.get(model)?.iter().filter(|announced| announced.version > version);
        newer.next().map(|announced| announced.announced_at)
    }

    /// The newest version of each model.
    pub fn newest_versions(&self) -> impl Iterator<Item = (&str, WeightsVersion)> {
        let newest = self.announced.iter();
        newest.filter_map(|(model, announced)| Some((model.as_str(), announced.last()?.version)))
    }

    /// The newest version of a model; `None` if none was announced.
    pub fn newest_version(&self, model: &str) -> Option<WeightsVersion> {
        self.announced.get(model)?.last().map(|announced| announced.version)
    }
}
