//! The requests that an entry has sent to servers and that have not ended.

use std::collections::HashMap;

use super::{RunSuspects, ServerIncarnation, SuspectFingerprint};

/// The suspects of the running requests of each server.
#[derive(Debug, Clone, Default)]
pub(super) struct RunningRequests {
    /// Invariant: no list is empty.
    by_server: HashMap<ServerIncarnation, Vec<RunSuspects>>,
}

impl RunningRequests {
    /// Adds a run.
    pub fn start(&mut self, server: ServerIncarnation, run_suspects: RunSuspects) {
        self.by_server.entry(server).or_default().push(run_suspects);
    }

    /// Removes a run of a request and returns its suspects; `None` if there is none.
    pub fn end(
        &mut self,
        server: ServerIncarnation,
        request: SuspectFingerprint,
    ) -> Option<RunSuspects> {
        let running = self.by_server.get_mut(&server)?;
        let is_run = |run: &RunSuspects| run.iter().any(|known| known.fingerprint == request);
        let position = running.iter().position(is_run)?;
        let run_suspects = running.swap_remove(position);
        if running.is_empty() {
            self.by_server.remove(&server);
        }
        Some(run_suspects)
    }

    /// Removes all runs of a server.
    pub fn remove_server(&mut self, server: ServerIncarnation) -> Option<Vec<RunSuspects>> {
        self.by_server.remove(&server)
    }

    /// Whether a run is in progress of a request, or of a part that could be blamed when it began.
    pub fn has_counted(&self, suspect: SuspectFingerprint) -> bool {
        let mut known = self.by_server.values().flatten().flatten();
        known.any(|known| known.is_counted && known.fingerprint == suspect)
    }
}
