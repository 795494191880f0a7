//! Runs the [`SuspectRegistry`] of an entry, which restricts requests that crash servers.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use carobvane_core::{
    clock::ClockTime,
    ids::{NodeId, NodeIncarnation},
    suspects::{
        self, EndReason, RequestSuspects, ServerIncarnation, SuspectAdmission, SuspectEffect,
        SuspectFingerprint, SuspectMessage, SuspectRegistry,
    },
};
use carobvane_proto::peer::PeerMessage;
use tokio::sync::oneshot;

use crate::{clock, peer::PeerSender};

/// The suspect registry of an entry, shared by its threads.
pub struct SharedSuspects {
    own: NodeIncarnation,
    sender: PeerSender,
    state: Mutex<SuspectsState>,
}

#[derive(Default)]
struct SuspectsState {
    registry: SuspectRegistry,
    /// The other entries, which may run a suspect after its quarantine as well.
    peers: Vec<NodeId>,
    /// Last known incarnation of each server, by server name.
    incarnations: HashMap<String, u64>,
    /// Requests whose client must not be told of a crash before the report is closed, by report id.
    waiting: HashMap<u64, Vec<oneshot::Sender<()>>>,
}

impl SuspectsState {
    fn admit(&self, own: NodeId, suspects: &RequestSuspects) -> SuspectAdmission {
        self.registry.admit(clock::now(), suspects, |suspect| self.probe_rank(own, suspect))
    }

    /// Returns the position of this entry in the order in which the entries may run a suspect after
    /// its quarantine.
    fn probe_rank(&self, own: NodeId, suspect: SuspectFingerprint) -> u32 {
        let names: Vec<String> = self.peers.iter().map(|peer| peer.0.to_string()).collect();
        suspects::probe_rank(suspect, &own.0.to_string(), names.iter().map(String::as_str))
    }

    fn current_incarnation(&self, server: &str) -> Option<ServerIncarnation> {
        let server_incarnation = ServerIncarnation::new(server, *self.incarnations.get(server)?);
        self.registry.died_at(server_incarnation).is_none().then_some(server_incarnation)
    }
}

/// A run of a request on one incarnation of a server.
#[derive(Debug, Clone)]
pub struct ServerRun {
    suspects: RequestSuspects,
    server: String,
    server_incarnation: ServerIncarnation,
    /// Time before the run was sent.
    started: ClockTime,
}

impl ServerRun {
    /// Returns whether the run was sent to this incarnation of its server.
    pub fn matches_incarnation(&self, incarnation: u64) -> bool {
        self.server_incarnation == ServerIncarnation::new(&self.server, incarnation)
    }
}

impl SharedSuspects {
    /// Creates a registry without suspects. `sender` carries its messages to other entries.
    pub fn new(own: NodeIncarnation, sender: PeerSender) -> SharedSuspects {
        SharedSuspects { own, sender, state: Mutex::default() }
    }

    /// Returns whether and under which restrictions a request may run.
    pub fn admit(&self, suspects: &RequestSuspects) -> SuspectAdmission {
        self.apply_input(|state, _| state.admit(self.own.node, suspects))
    }

    /// Returns whether the server's current incarnation is unknown or known to have died.
    pub fn needs_probe(&self, server: &str) -> bool {
        self.apply_input(|state, _| state.current_incarnation(server).is_none())
    }

    /// Records the incarnation in which a server answered a request sent at `asked_at`.
    pub fn record_incarnation(&self, server: &str, incarnation: u64, asked_at: ClockTime) {
        self.apply_input(|state, effects| {
            state.incarnations.insert(server.to_string(), incarnation);
            let server_incarnation = ServerIncarnation::new(server, incarnation);
            state.registry.record_server_alive(server_incarnation, asked_at, clock::now(), effects);
        });
    }

    /// Registers the start of a run on a server. Returns `None` if the registry no longer answers
    /// with `admission`, because another run has changed the state.
    pub fn begin_run(
        &self,
        suspects: &RequestSuspects,
        server: &str,
        admission: SuspectAdmission,
    ) -> Option<ServerRun> {
        let started = clock::now();
        self.apply_input(|state, _| {
            if state.admit(self.own.node, suspects) != admission {
                return None;
            }
            let server_incarnation = state.current_incarnation(server).unwrap_or_else(|| {
                // The server has not reported its current incarnation. A name that no other run
                // uses makes sure that a second death is counted. In return, one death counts twice
                // if two entries run the same request on that server.
                let unique = self.own.incarnation.0.wrapping_add(started.as_micros());
                ServerIncarnation::new(&format!("{server} {}", self.own.node.0), unique)
            });
            state.registry.start_run(suspects, server_incarnation);
            let suspects = suspects.clone();
            Some(ServerRun { suspects, server: server.to_string(), server_incarnation, started })
        })
    }

    /// Records that the server answered a run in this incarnation, so it was alive after the run
    /// was sent.
    pub fn record_answer(&self, run: &mut ServerRun, incarnation: u64) {
        self.apply_input(|state, effects| {
            let server_incarnation = ServerIncarnation::new(&run.server, incarnation);
            if server_incarnation != run.server_incarnation {
                state.incarnations.insert(run.server.clone(), incarnation);
                state.registry.end_run(
                    &run.suspects,
                    run.server_incarnation,
                    EndReason::Incomplete,
                    run.started,
                    effects,
                );
                state.registry.start_run(&run.suspects, server_incarnation);
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

    /// Registers the end of a run. After a crash, returns a receiver that resolves once the client
    /// may be told of the failure.
    pub fn end_run(&self, run: ServerRun, end: EndReason) -> Option<oneshot::Receiver<()>> {
        self.apply_input(|state, effects| {
            let now = clock::now();
            // A server that had died before the run was sent did not crash because of it.
            let died = state.registry.died_at(run.server_incarnation);
            let end = match end {
                EndReason::Crashed if died.is_some_and(|died| died < run.started) => {
                    EndReason::Incomplete
                }
                end => end,
            };
            let report =
                state.registry.end_run(&run.suspects, run.server_incarnation, end, now, effects)?;
            let (sender, acknowledged) = oneshot::channel();
            state.waiting.entry(report).or_default().push(sender);
            Some(acknowledged)
        })
    }

    /// Handles a message from another entry.
    pub fn on_message(&self, from: NodeId, message: SuspectMessage, now: ClockTime) {
        self.apply_input(|state, effects| state.registry.receive(from, message, now, effects));
    }

    /// Sets the other entries, each of which must acknowledge crash reports.
    pub fn set_peers(&self, peers: Vec<NodeId>) {
        self.apply_input(|state, effects| {
            state.peers.clone_from(&peers);
            state.registry.set_peers(peers, effects);
        });
    }

    /// Sends the known crashes to an entry that has joined.
    pub fn peer_joined(&self, node: NodeId) {
        self.apply_input(|state, effects| state.registry.sync_peer(node, effects));
    }

    /// Runs due timeouts of the registry and updates the metric.
    pub fn tick(&self, now: ClockTime) {
        let count = self.apply_input(|state, effects| {
            state.registry.tick(now, effects);
            state.registry.len()
        });
        metrics::gauge!("carobvane_suspects").set(count as f64);
    }

    /// Passes an input to the registry and applies its effects.
    fn apply_input<T>(
        &self,
        input: impl FnOnce(&mut SuspectsState, &mut Vec<SuspectEffect>) -> T,
    ) -> T {
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
                        log::warn!(report; "crash report not acknowledged by all entries");
                    }
                    for sender in state.waiting.remove(&report).into_iter().flatten() {
                        sender.send(()).ok();
                    }
                }
            }
        }
        result
    }
}
