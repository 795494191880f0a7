//! Reactions of an entry to lists, peer connections, peer messages and timers.

use std::{collections::BTreeSet, sync::Arc};

use carobvane_core::{
    clock::ClockTime,
    ids::NodeIncarnation,
    lists::{ListSnapshot, ServerRole},
    membership::MemberEffect,
};
use carobvane_proto::peer::{PeerMessage, PeerRole};
use rand::{SeedableRng, rngs::SmallRng};

use super::{engine_watch::watch_engine, shared::EntryShared};
use crate::node::NodeHandler;

/// Implements [`NodeHost`] for an entry.
pub struct EntryHost {
    shared: Arc<EntryShared>,
    rng: SmallRng,
    /// The other entries with a connection. Their number divides the write rate of claims.
    live_entries: Vec<NodeIncarnation>,
    /// Names and addresses of the engines that have a watch task.
    watched: BTreeSet<(String, String)>,
}

impl EntryHost {
    /// Creates the host of an entry that knows no peers and no engines.
    pub fn new(shared: Arc<EntryShared>) -> EntryHost {
        let rng = SmallRng::seed_from_u64(shared.own.incarnation.0);
        EntryHost { shared, rng, live_entries: Vec::new(), watched: BTreeSet::new() }
    }
}

impl EntryHost {
    fn apply_effects(&self, effects: Vec<MemberEffect>) {
        for effect in effects {
            match effect {
                MemberEffect::Send { to, message } => {
                    self.shared.sender.send(to, PeerMessage::Members(message));
                }
                MemberEffect::Changed(change) => {
                    let (node, draining) = (change.node.0, change.draining);
                    log::info!(node, status:? = change.status, draining; "member changed");
                }
                // List summaries are sent in messages of their own, because stewards need them as
                // well.
                MemberEffect::PayloadReceived { .. } | MemberEffect::ServerLeaving(_) => {}
            }
        }
    }

    fn update_live_entries(&self) {
        self.shared.claims.set_live_entries(self.live_entries.len() as u32 + 1);
    }

    /// Starts a watch task for each new engine of the lists. The task of an engine that has left
    /// the lists ends by itself.
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

impl NodeHandler for EntryHost {
    fn activate(&mut self, snapshot: &ListSnapshot) {
        self.shared.activate(snapshot);
        self.watch_engines(snapshot);
        // All listed entries count, not only connected ones. Right after a start there is no
        // connection, and a crash report without recipients would count as acknowledged by all.
        let nodes = snapshot.document.entries.values().map(|entry| entry.node);
        self.shared
            .suspects
            .set_peers(nodes.filter(|node| *node != self.shared.own.node).collect());
        for entry in snapshot.document.entries.values() {
            if entry.node != self.shared.own.node
                && let Ok(address) = entry.peer_address.parse()
            {
                self.shared.sender.keep_connected(address);
            }
        }
    }

    fn peer_joined(&mut self, _now: ClockTime, peer: NodeIncarnation, role: PeerRole) {
        self.shared.plans.on_peer_reachable(peer.node);
        if role == PeerRole::Entry {
            self.live_entries.retain(|entry| entry.node != peer.node);
            self.live_entries.push(peer);
            self.update_live_entries();
            self.shared.suspects.peer_joined(peer.node);
        }
    }

    fn peer_left(&mut self, now: ClockTime, peer: NodeIncarnation) {
        let effects = self.shared.members().on_call_failure(now, peer.node);
        self.apply_effects(effects);
        self.live_entries.retain(|entry| *entry != peer);
        self.update_live_entries();
    }

    fn peer_message(&mut self, now: ClockTime, peer: NodeIncarnation, message: PeerMessage) {
        match message {
            PeerMessage::Shares(message) => self.shared.plans.on_message(now, peer.node, message),
            PeerMessage::Members(message) => {
                let mut members = self.shared.members();
                let effects = members.on_message(now, peer.node, message, &mut self.rng);
                drop(members);
                self.apply_effects(effects);
            }
            PeerMessage::Suspects(message) => {
                self.shared.suspects.on_message(peer.node, message, now);
            }
            PeerMessage::Placed(notice) => {
                self.shared.routing().router.apply_placement_notice(now, &notice);
            }
            _ => log::debug!(node = peer.node.0; "ignored an unexpected message"),
        }
    }

    fn tick(&mut self, now: ClockTime) {
        self.shared.plans.tick(now);
        let effects = self.shared.members().on_timer(now, &mut self.rng);
        self.apply_effects(effects);
        self.shared.claims.tick(now);
        self.shared.suspects.tick(now);
        self.shared.routing().tick(now);
    }
}
