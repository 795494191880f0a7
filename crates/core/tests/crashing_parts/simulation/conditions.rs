//! When a run crashes its server, and what servers run.

use std::time::Duration;

use carobvane_core::{ids::WeightsVersion, suspects::ServerBuild};
use rand::Rng;

use super::{LOAD_TIME, STABLE_TIME, START, Simulation};
use crate::cases::{Condition, FIXED_BY};

impl Simulation {
    /// Whether a run with the crashing part, or of the crashing request, ends this server.
    pub(super) fn is_fatal(&mut self, server: usize) -> bool {
        match self.case.condition {
            Condition::Always => true,
            Condition::NewSoftware => self.servers[server].software > 0,
            Condition::OldSoftware => self.servers[server].software == 0,
            Condition::OddWeights => !self.weights(server).is_multiple_of(2),
            Condition::SomeServers => server.is_multiple_of(2),
            Condition::SomeRuns => self.rng.random_bool(0.5),
        }
    }

    /// Whether the crashing requests complete at all servers, since these have other software now.
    pub(super) fn is_harmless(&self) -> bool {
        let has_new_software = self.servers.iter().all(|server| server.software > 0);
        self.case.condition == Condition::OldSoftware && has_new_software
    }

    /// Whether they have done so long enough for the nodes to know.
    pub(super) fn is_fixed(&self) -> bool {
        self.is_harmless() && self.now.since(START) > FIXED_BY + STABLE_TIME * 2
    }

    /// Returns for how long no server with the software of a build has been there.
    pub(super) fn replaced_for(&self, build: ServerBuild) -> Option<Duration> {
        let has = |software: u64| {
            ServerBuild::new(Some(&software.to_string()), None).has_software_of(build)
        };
        let seen = self.software_seen.iter().find(|(software, _)| has(**software));
        let gone_for = seen.map_or(Duration::ZERO, |(_, at)| self.now.since(*at));
        (!gone_for.is_zero()).then_some(gone_for)
    }

    pub(super) fn server_build(&self, server: usize) -> ServerBuild {
        let software = self.servers[server].software.to_string();
        ServerBuild::new(Some(&software), Some(WeightsVersion(self.weights(server))))
    }

    /// Version of the weights at a server. The servers load new weights one after the other.
    pub(super) fn weights(&self, server: usize) -> u64 {
        let Some(period) = self.case.weights_period else { return 0 };
        let loaded = self.now.since(START).saturating_sub(LOAD_TIME * server as u32);
        (loaded.as_millis() / period.as_millis()) as u64
    }
}
