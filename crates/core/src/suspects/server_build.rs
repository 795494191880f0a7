//! What servers that run the same program on the same weights have in common.

use std::{fmt, num::NonZeroU32};

use serde::{Deserialize, Serialize};

use crate::{ids::WeightsVersion, rendezvous::rendezvous_score};

/// Identifies the software and the weights of a server, in the same way on all nodes. A request may
/// crash the servers of one build and complete at those of another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct ServerBuild {
    /// Hash of the software version; `None` if it is not known.
    #[n(0)]
    software: Option<NonZeroU32>,
    /// Version of the weights, plus one; 0 without a model.
    #[n(1)]
    weights: u64,
}

impl ServerBuild {
    /// Build of a server whose software is not known.
    pub const UNKNOWN: ServerBuild = ServerBuild { software: None, weights: 0 };

    /// Identifies the build of a server. `weights` is `None` for a server without a model; without
    /// `software` the build is unknown.
    pub fn new(software: Option<&str>, weights: Option<WeightsVersion>) -> ServerBuild {
        let Some(software) = software else { return ServerBuild::UNKNOWN };
        let hash = rendezvous_score(software.as_bytes(), 0) as u32;
        ServerBuild {
            software: Some(NonZeroU32::new(hash).unwrap_or(NonZeroU32::MIN)),
            weights: weights.map_or(0, |version| version.0.wrapping_add(1)),
        }
    }

    /// Whether a run that completed at a server of build `completed` speaks against a crash of a server of
    /// this build. If nothing is known of a server that ended, all runs do.
    pub fn is_refuted_at(self, completed: ServerBuild) -> bool {
        self == completed || !self.is_known()
    }

    /// Whether both are known to have the same software, whatever the weights.
    pub fn has_software_of(self, other: ServerBuild) -> bool {
        self.is_known() && self.software == other.software
    }

    /// Whether the build is known.
    pub fn is_known(self) -> bool {
        self.software.is_some()
    }
}

impl fmt::Display for ServerBuild {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.software {
            Some(software) => write!(f, "{software:08x}-{}", self.weights),
            None => f.write_str("unknown"),
        }
    }
}
