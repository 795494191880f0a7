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
pub struct SharedSuspects {
    own: NodeIncarnation,
    sender: PeerSender,
    state: Mutex<SuspectsState>,
}

#[derive(Default)]
struct SuspectsState {
    registry: SuspectRegistry,
    /// Incarnation in the last answer, by server name.
    incarnations: HashMap<String, u64>,
    /// Requests that wait for a report, by report.
    waiting: HashMap<u64, Vec<oneshot::Sender<()>>>,
}

impl SuspectsState {
    fn current_incarnation(&self, server: &str) -> Option<ServerIncarnation> {
        let server_incarnation = ServerIncarnation::new(server, *self.incarnations.get(server)?);
        self.registry.died_at(server_incarnation).is_none().then_some(server_incarnation)
    }
}

/// A run of a request on a server, from its start to its end.
#[derive(Debug, Clone)]
pub struct ServerRun {
    fingerprint: SuspectFingerprint,
    server: String,
    server_incarnation: ServerIncarnation,
    started: ClockTime,
}

impl ServerRun {
    /// Whether the run was sent to this life of its server.
    pub fn matches_incarnation(&self, incarnation: u64) -> bool {
        self.server_incarnation == ServerIncarnation::new(&self.server, incarnation)
    }
}

impl SharedSuspects {
    /// Creates a desk without suspects.
    pub fn new(own: NodeIncarnation, sender: PeerSender) -> SharedSuspects {
        SharedSuspects { own, sender, state: Mutex::default() }
    }

    /// Whether and how a request may run.
    pub fn admit(&self, fingerprint: SuspectFingerprint) -> SuspectAdmission {
        self.update(|state, _| state.registry.admit(fingerprint))
    }

    /// Whether the server's present life is not known, or is known to have ended.
    pub fn needs_probe(&self, server: &str) -> bool {
        self.update(|state, _| state.current_incarnation(server).is_none())
    }

    /// Notes the life in which a server has answered a question of `asked`.
    pub fn record_incarnation(&self, server: &str, incarnation: u64, asked_at: ClockTime) {
        self.update(|state, effects| {
            state.incarnations.insert(server.to_string(), incarnation);
            let server_incarnation = ServerIncarnation::new(server, incarnation);
            state.registry.record_server_alive(server_incarnation, asked_at, clock::now(), effects);
        });
    }

    /// A request that has been admitted so starts on a server. `None` if that has changed.
    pub fn begin_run(
        &self,
        fingerprint: SuspectFingerprint,
        server: &str,
        admission: SuspectAdmission,
    ) -> Option<ServerRun> {
        let started = clock::now();
        self.update(|state, _| {
            if state.registry.admit(fingerprint) != admission {
                return None;
            }
            let server_incarnation = state.current_incarnation(server).unwrap_or_else(|| {
                // The server has not said its present life. A name that no other run has makes a
                // second death count, at the price of counting one death twice when two entries
                // run the same request there.
                let unique = self.own.incarnation.0.wrapping_add(started.as_micros());
                ServerIncarnation::new(&format!("{server} {}", self.own.node.0), unique)
            });
            state.registry.start_run(fingerprint, server_incarnation);
            Some(ServerRun { fingerprint, server: server.to_string(), server_incarnation, started })
        })
    }

    /// The server has answered the run in this life, so it was alive after the run's start.
    pub fn record_answer(&self, run: &mut ServerRun, incarnation: u64) {
        self.update(|state, effects| {
            let server_incarnation = ServerIncarnation::new(&run.server, incarnation);
            if server_incarnation != run.server_incarnation {
                state.incarnations.insert(run.server.clone(), incarnation);
                state.registry.end_run(
                    run.fingerprint,
                    run.server_incarnation,
                    EndReason::Incomplete,
                    run.started,
                    effects,
                );
                state.registry.start_run(run.fingerprint, server_incarnation);
                run.server_incarnation = server_incarnation;
            }
            state.registry.record_server_alive(
                server_incarnation,
                run.started,
                clock::now(),
                effects,
            );
        });
    }

    /// A run has ended. After a crash, `told` resolves when the caller may be told.
    pub fn end_run(&self, run: ServerRun, end: EndReason) -> Option<oneshot::Receiver<()>> {
        self.update(|state, effects| {
            let now = clock::now();
            // A server that had died before the run was sent did not die of it.
            let died = state.registry.died_at(run.server_incarnation);
            let end = match end {
                EndReason::Crashed if died.is_some_and(|died| died < run.started) => {
                    EndReason::Incomplete
                }
                end => end,
            };
            let report = state.registry.end_run(
                run.fingerprint,
                run.server_incarnation,
                end,
                now,
                effects,
            )?;
            let (sender, acknowledged) = oneshot::channel();
            state.waiting.entry(report).or_default().push(sender);
            Some(acknowledged)
        })
    }

    /// Handles a message of another entry.
    pub fn on_message(&self, from: NodeId, message: SuspectMessage, now: ClockTime) {
        self.update(|state, effects| state.registry.receive(from, message, now, effects));
    }

    /// Sets the other entries that may serve.
    pub fn set_peers(&self, peers: Vec<NodeId>) {
        self.update(|state, effects| state.registry.set_peers(peers, effects));
    }

    /// Tells an entry that has joined what this one knows.
    pub fn peer_joined(&self, node: NodeId) {
        self.update(|state, effects| state.registry.sync_peer(node, effects));
    }

    /// Handles what is due.
    pub fn tick(&self, now: ClockTime) {
        let count = self.update(|state, effects| {
            state.registry.tick(now, effects);
            state.registry.len()
        });
        metrics::gauge!("carobvane_suspects").set(count as f64);
    }

    /// Gives an input to the registry and carries out its effects.
    fn update<T>(&self, input: impl FnOnce(&mut SuspectsState, &mut Vec<SuspectEffect>) -> T) -> T {
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
                    for acknowledged in state.waiting.remove(&report).into_iter().flatten() {
                        acknowledged.send(()).ok();
                    }
                }
            }
        }
        result
    }
}
