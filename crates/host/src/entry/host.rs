//! What an entry does with what its node learns.

use std::sync::Arc;

use carobvane_core::{clock::ClockTime, ids::NodeLife, lists::ListSnapshot};
use carobvane_proto::peer::{PeerMessage, PeerRole};

use super::shared::EntryShared;
use crate::node::NodeHost;

/// The entry's side of its node.
pub struct EntryHost {
    shared: Arc<EntryShared>,
    /// Other live entries.
    entries: Vec<NodeLife>,
}

impl EntryHost {
    /// Creates the host of an entry.
    pub fn new(shared: Arc<EntryShared>) -> EntryHost {
        EntryHost { shared, entries: Vec::new() }
    }
}

impl EntryHost {
    fn update_entries(&self) {
        self.shared.claims.set_live_entries(self.entries.len() as u32 + 1);
    }
}

impl NodeHost for EntryHost {
    fn activate(&mut self, snapshot: &ListSnapshot) {
        self.shared.activate(snapshot);
        // Entries of the lists, not only linked ones: right after a start no link is up, and a
        // crash that is reported to nobody would count as known everywhere.
        let nodes = snapshot.document.entries.values().map(|entry| entry.node);
        self.shared
            .suspects
            .set_peers(nodes.filter(|node| *node != self.shared.own.node).collect());
        for entry in snapshot.document.entries.values() {
            if entry.node != self.shared.own.node
                && let Ok(address) = entry.peer_address.parse()
            {
                self.shared.sender.dial(address);
            }
        }
    }

    fn peer_joined(&mut self, _now: ClockTime, life: NodeLife, role: PeerRole) {
        if role == PeerRole::Entry {
            self.entries.retain(|entry| entry.node != life.node);
            self.entries.push(life);
            self.update_entries();
            self.shared.suspects.peer_joined(life.node);
        }
    }

    fn peer_left(&mut self, _now: ClockTime, life: NodeLife) {
        self.entries.retain(|entry| *entry != life);
        self.update_entries();
    }

    fn peer_message(&mut self, now: ClockTime, life: NodeLife, message: PeerMessage) {
        match message {
            PeerMessage::Suspects(message) => {
                self.shared.suspects.receive(life.node, message, now);
            }
            _ => log::debug!(node = life.node.0; "message without a receiver"),
        }
    }

    fn tick(&mut self, now: ClockTime) {
        self.shared.claims.tick(now);
        self.shared.suspects.tick(now);
    }
}
