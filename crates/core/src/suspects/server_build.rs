//! What servers that run the same program on the same weights have in common.

use std::{fmt, num::NonZeroU32};

use serde::{Deserialize, Serialize};

use crate::{ids::WeightsVersion, rendezvous::rendezvous_score};

/// Identifies the software and the weights of a server, in the same way on all nodes. A request may
/// crash the servers of one build and complete at those of another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ServerBuild(Option<NonZeroU32>);

impl ServerBuild {
    /// Build of a server whose software is not known.
    pub const UNKNOWN: ServerBuild = ServerBuild(None);

    /// Identifies the build of a server. `weights` is `None` for a server without a model; without
    /// `software` the build is unknown.
    pub fn new(software: Option<&str>, weights: Option<WeightsVersion>) -> ServerBuild {
        let Some(software) = software else { return ServerBuild::UNKNOWN };
        let weights = weights.map_or(0, |version| version.0.wrapping_add(1));
        let score = rendezvous_score(software.as_bytes(), weights);
        // Zero would stand for an unknown build.
        ServerBuild(Some(NonZeroU32::new(score as u32).unwrap_or(NonZeroU32::MIN)))
    }

    /// Whether a run that completed at a server of build `completed` speaks against a crash of a server of
    /// this build. If nothing is known of a server that ended, all runs do.
    pub fn is_refuted_at(self, completed: ServerBuild) -> bool {
        self == completed || !self.is_known()
    }

    /// Whether the build is known.
    pub fn is_known(self) -> bool {
        self.0.is_some()
    }
}

impl fmt::Display for ServerBuild {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(number) => write!(f, "{number:08x}"),
            None => f.write_str("unknown"),
        }
    }
}
