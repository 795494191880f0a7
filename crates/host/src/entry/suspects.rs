//! Hosts the [`SuspectRegistry`] of an entry.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use carobvane_core::{
    clock::ClockTime,
    ids::{NodeId, NodeIncarnation},
    suspects::{
        EndReason, ServerIncarnation, SuspectAdmission, SuspectEffect, SuspectFingerprint,
        SuspectMessage, SuspectRegistry,
    },
};
use carobvane_proto::peer::PeerMessage;
use tokio::sync::oneshot;

use crate::{clock, peer::PeerSender};

/// The suspects that an entry knows, shared by its threads.
pub struct SuspectDesk {
    own: NodeIncarnation,
    sender: PeerSender,
    state: Mutex<DeskState>,
}

#[derive(Default)]
struct DeskState {
    registry: SuspectRegistry,
    /// Incarnation in the last answer, by server name.
    incarnations: HashMap<String, u64>,
    /// Requests that wait for a report, by report.
    waiting: HashMap<u64, Vec<oneshot::Sender<()>>>,
}

impl DeskState {
    fn present_life(&self, server: &str) -> Option<ServerIncarnation> {
        let life = ServerIncarnation::new(server, *self.incarnations.get(server)?);
        self.registry.died_at(life).is_none().then_some(life)
    }
}

/// A run of a request on a server, from its start to its end.
#[derive(Debug, Clone)]
pub struct ServerRun {
    fingerprint: SuspectFingerprint,
    server: String,
    life: ServerIncarnation,
    opened: ClockTime,
}

impl ServerRun {
    /// Whether the run was sent to this life of its server.
    pub fn is_in_life(&self, incarnation: u64) -> bool {
        self.life == ServerIncarnation::new(&self.server, incarnation)
    }
}

impl SuspectDesk {
    /// Creates a desk without suspects.
    pub fn new(own: NodeIncarnation, sender: PeerSender) -> SuspectDesk {
        SuspectDesk { own, sender, state: Mutex::default() }
    }

    /// Whether and how a request may run.
    pub fn admit(&self, fingerprint: SuspectFingerprint) -> SuspectAdmission {
        self.with(|state, _| state.registry.admit(fingerprint))
    }

    /// Whether the server's present life is not known, or is known to have ended.
    pub fn must_ask(&self, server: &str) -> bool {
        self.with(|state, _| state.present_life(server).is_none())
    }

    /// Notes the life in which a server has answered a question of `asked`.
    pub fn learn(&self, server: &str, incarnation: u64, asked: ClockTime) {
        self.with(|state, effects| {
            state.incarnations.insert(server.to_string(), incarnation);
            let life = ServerIncarnation::new(server, incarnation);
            state.registry.record_server_alive(life, asked, clock::now(), effects);
        });
    }

    /// A request that has been admitted so starts on a server. `None` if that has changed.
    pub fn begin(
        &self,
        fingerprint: SuspectFingerprint,
        server: &str,
        admission: SuspectAdmission,
    ) -> Option<ServerRun> {
        let opened = clock::now();
        self.with(|state, _| {
            if state.registry.admit(fingerprint) != admission {
                return None;
            }
            let life = state.present_life(server).unwrap_or_else(|| {
                // The server has not said its present life. A name that no other run has makes a
                // second death count, at the price of counting one death twice when two entries
                // run the same request there.
                let unique = self.own.incarnation.0.wrapping_add(opened.as_micros());
                ServerIncarnation::new(&format!("{server} {}", self.own.node.0), unique)
            });
            state.registry.start_run(fingerprint, life);
            Some(ServerRun { fingerprint, server: server.to_string(), life, opened })
        })
    }

    /// The server has answered the run in this life, so it was alive after the run's start.
    pub fn answered(&self, run: &mut ServerRun, incarnation: u64) {
        self.with(|state, effects| {
            let life = ServerIncarnation::new(&run.server, incarnation);
            if life != run.life {
                state.incarnations.insert(run.server.clone(), incarnation);
                state.registry.end_run(
                    run.fingerprint,
                    run.life,
                    EndReason::Incomplete,
                    run.opened,
                    effects,
                );
                state.registry.start_run(run.fingerprint, life);
                run.life = life;
            }
            state.registry.record_server_alive(life, run.opened, clock::now(), effects);
        });
    }

    /// A run has ended. After a crash, `told` resolves when the caller may be told.
    pub fn end(&self, run: ServerRun, end: EndReason) -> Option<oneshot::Receiver<()>> {
        self.with(|state, effects| {
            let now = clock::now();
            // A server that had died before the run was sent did not die of it.
            let died = state.registry.died_at(run.life);
            let end = match end {
                EndReason::Crashed if died.is_some_and(|died| died < run.opened) => {
                    EndReason::Incomplete
                }
                end => end,
            };
            let report = state.registry.end_run(run.fingerprint, run.life, end, now, effects)?;
            let (sender, told) = oneshot::channel();
            state.waiting.entry(report).or_default().push(sender);
            Some(told)
        })
    }

    /// Handles a message of another entry.
    pub fn receive(&self, from: NodeId, message: SuspectMessage, now: ClockTime) {
        self.with(|state, effects| state.registry.receive(from, message, now, effects));
    }

    /// Sets the other entries that may serve.
    pub fn set_peers(&self, peers: Vec<NodeId>) {
        self.with(|state, effects| state.registry.set_peers(peers, effects));
    }

    /// Tells an entry that has joined what this one knows.
    pub fn peer_joined(&self, node: NodeId) {
        self.with(|state, effects| state.registry.sync_peer(node, effects));
    }

    /// Handles what is due.
    pub fn tick(&self, now: ClockTime) {
        let count = self.with(|state, effects| {
            state.registry.tick(now, effects);
            state.registry.len()
        });
        metrics::gauge!("carobvane_suspects").set(count as f64);
    }

    /// Gives an input to the registry and carries out its effects.
    fn with<T>(&self, input: impl FnOnce(&mut DeskState, &mut Vec<SuspectEffect>) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let mut effects = Vec::new();
        let result = input(&mut state, &mut effects);
        for effect in effects {
            match effect {
                SuspectEffect::Send { to, message } => {
                    self.sender.send(to, PeerMessage::Suspects(message));
                }
                SuspectEffect::ReportClosed { report, acknowledged_by_all } => {
                    if !acknowledged_by_all {
                        log::warn!(report; "an entry has not acknowledged a crash");
                    }
                    for told in state.waiting.remove(&report).into_iter().flatten() {
                        told.send(()).ok();
                    }
                }
            }
        }
        result
    }
}
