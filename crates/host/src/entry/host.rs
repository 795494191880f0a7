//! What an entry does with what its node learns.

use std::{collections::BTreeSet, sync::Arc};

use carobvane_core::{
    clock::ClockTime,
    ids::NodeLife,
    lists::{ListSnapshot, ServerRole},
};
use carobvane_proto::peer::{PeerMessage, PeerRole};

use super::{shared::EntryShared, watch::watch_engine};
use crate::node::NodeHost;

/// The entry's side of its node.
pub struct EntryHost {
    shared: Arc<EntryShared>,
    /// Names and addresses of the engines that are followed.
    watched: BTreeSet<(String, String)>,
}

impl EntryHost {
    /// Creates the host of an entry.
    pub fn new(shared: Arc<EntryShared>) -> EntryHost {
        EntryHost { shared, watched: BTreeSet::new() }
    }

    /// Follows each engine of the lists. An engine that has left ends its own task.
    fn watch_engines(&mut self, snapshot: &ListSnapshot) {
        let servers = snapshot.document.servers.iter();
        let engines: BTreeSet<(String, String)> = servers
            .filter(|(_, server)| matches!(server.role, ServerRole::Engine(_)))
            .map(|(name, server)| (name.clone(), server.address.clone()))
            .collect();
        for (name, address) in engines.difference(&self.watched) {
            let shared = Arc::clone(&self.shared);
            actix_rt::spawn(watch_engine(shared, name.clone(), address.clone()));
        }
        self.watched = engines;
    }
}

impl NodeHost for EntryHost {
    fn activate(&mut self, snapshot: &ListSnapshot) {
        self.shared.activate(snapshot);
        self.watch_engines(snapshot);
        for entry in snapshot.document.entries.values() {
            if entry.node != self.shared.own.node
                && let Ok(address) = entry.peer_address.parse()
            {
                self.shared.sender.dial(address);
            }
        }
    }

    fn peer_joined(&mut self, _now: ClockTime, _life: NodeLife, _role: PeerRole) {}

    fn peer_left(&mut self, _now: ClockTime, _life: NodeLife) {}

    fn peer_message(&mut self, _now: ClockTime, life: NodeLife, _message: PeerMessage) {
        log::debug!(node = life.node.0; "message without a receiver");
    }

    fn tick(&mut self, now: ClockTime) {
        self.shared.routes().tick(now);
    }
}
