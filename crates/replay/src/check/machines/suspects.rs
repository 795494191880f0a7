//! Checks how many servers a request can crash that crashes every server that runs it.
//!
//! The caller sends the request again, to a random entry, as soon as an entry reports the failure
//! and not before. A request may crash at most [`MAX_CRASHES`] servers. One more is allowed for
//! each crash report that not every entry acknowledged and for each restart of an entry, because
//! that entry does not know of earlier crashes.

use std::collections::{HashMap, HashSet};

use carobvane_core::{
    clock::ClockTime,
    ids::{NodeId, NodeIncarnation},
    suspects::{
        EndReason, MAX_CRASHES, ServerIncarnation, SuspectAdmission, SuspectEffect,
        SuspectFingerprint, SuspectMessage, SuspectRegistry,
    },
};
use rand::Rng;

use crate::check::{CheckedMachine, StepContext};

/// Node of the caller.
const CALLER: usize = 0;
const FIRST_ENTRY: usize = 1;
const ENTRIES: usize = 3;
const FIRST_SERVER: usize = FIRST_ENTRY + ENTRIES;
const SERVERS: usize = 4;

/// Counts the server crashes that each request caused.
#[derive(Default)]
pub struct SuspectMachine {
    bug: Option<SuspectBug>,
    /// Number of servers that each request crashed.
    crashes: HashMap<u32, u32>,
    /// Numbers of failures and attempts that have been handled, so that duplicates of a message
    /// have no effect.
    seen_attempts: HashSet<u64>,
    next_attempt: u64,
    /// Crashes allowed beyond [`MAX_CRASHES`]: reports that not every entry acknowledged, and
    /// restarts of entries.
    allowed_extra_crashes: u32,
}

/// Bugs that can be planted in an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectBug {
    /// The entry reports the failure to the caller before the other entries know of the crash.
    TellAtOnce,
    /// The entry acknowledges the crash reports of other entries without counting them.
    IgnoreReports,
}

/// The state of one node.
pub enum SuspectNode {
    /// The caller, which never crashes.
    Caller {
        /// Number of different requests sent so far.
        requests: u32,
    },
    /// An entry, which loses its state in a crash.
    Entry {
        /// Counts the crashes that the entry knows of.
        registry: Box<SuspectRegistry>,
        /// The request of each open crash report. Its caller is told of the failure when the report
        /// is closed.
        waiting: HashMap<u64, u32>,
    },
    /// A backend server.
    Server {
        /// Incarnation of the server, which also grows with each request that crashes it.
        server_incarnation: u64,
    },
}

/// A message between nodes.
#[derive(Debug, Clone)]
pub enum SuspectNodeMessage {
    /// Caller to entry: sends a request, with the number of the attempt.
    Submit(u64, u32),
    /// Entry to caller: the request failed. Carries the number of the failure and the request.
    Failed(u64, u32),
    /// Entry to server: runs a request. Carries the entry incarnation, the number of the attempt
    /// and the request.
    Run(NodeIncarnation, u64, u32),
    /// Server to entry: the connection broke because the server crashed. Carries the fields of
    /// `Run` and the server incarnation that died.
    ConnectionBroke(NodeIncarnation, u64, u32, u64),
    /// Entry to entry: the sender has started and needs the known crashes.
    Hello,
    /// Entry to entry: a message of the registry.
    Peer(SuspectMessage),
}

type Context<'a> = StepContext<'a, SuspectNodeMessage>;

fn fingerprint(request: u32) -> SuspectFingerprint {
    SuspectFingerprint::new("kelani", &request.to_le_bytes())
}

fn other_entries(index: usize) -> impl Iterator<Item = usize> {
    (FIRST_ENTRY..FIRST_SERVER).filter(move |&other| other != index)
}

impl CheckedMachine for SuspectMachine {
    type Node = SuspectNode;
    type Message = SuspectNodeMessage;
    type Bug = SuspectBug;

    const NAME: &'static str = "suspects";
    const BUGS: &'static [(&'static str, SuspectBug)] = &[
        ("suspect-tell-at-once", SuspectBug::TellAtOnce),
        ("suspect-ignore-reports", SuspectBug::IgnoreReports),
    ];
    const NODES: usize = FIRST_SERVER + SERVERS;
    const FAULT_FREE_NODES: usize = 1;
    const ACTING_NODES: std::ops::Range<usize> = CALLER..CALLER + 1;
    const MAX_ADVANCE_MICROS: u64 = 100_000;

    fn create(bug: Option<SuspectBug>) -> SuspectMachine {
        SuspectMachine { bug, ..SuspectMachine::default() }
    }

    fn start(&mut self, context: &mut Context<'_>, previous: Option<SuspectNode>) -> SuspectNode {
        match context.index {
            CALLER => SuspectNode::Caller { requests: 0 },
            index if index < FIRST_SERVER => {
                self.allowed_extra_crashes += u32::from(context.incarnation.incarnation.0 > 1);
                let mut registry = Box::new(SuspectRegistry::new());
                let peers = other_entries(index).map(|node| NodeId(node as u32)).collect();
                registry.set_peers(peers, &mut Vec::new());
                for other in other_entries(index) {
                    context.send(other, SuspectNodeMessage::Hello);
                }
                SuspectNode::Entry { registry, waiting: HashMap::new() }
            }
            _ => match previous {
                Some(SuspectNode::Server { server_incarnation }) => {
                    SuspectNode::Server { server_incarnation: server_incarnation + 1 }
                }
                _ => SuspectNode::Server { server_incarnation: 1 },
            },
        }
    }

    fn receive(
        &mut self,
        node: &mut SuspectNode,
        from: usize,
        message: SuspectNodeMessage,
        context: &mut Context<'_>,
    ) {
        match (node, message) {
            (SuspectNode::Caller { .. }, SuspectNodeMessage::Failed(attempt, request)) => {
                let is_new = self.seen_attempts.insert(attempt);
                if is_new {
                    self.submit(request, context);
                }
            }
            (
                SuspectNode::Server { server_incarnation },
                SuspectNodeMessage::Run(incarnation, attempt, request),
            ) => {
                let is_new = self.seen_attempts.insert(attempt);
                if is_new {
                    *self.crashes.entry(request).or_default() += 1;
                    let broke = SuspectNodeMessage::ConnectionBroke(
                        incarnation,
                        attempt,
                        request,
                        *server_incarnation,
                    );
                    *server_incarnation += 1;
                    context.send(from, broke);
                }
            }
            (SuspectNode::Entry { registry, waiting }, message) => {
                self.receive_at_entry(registry, waiting, from, message, context);
            }
            _ => {}
        }
    }

    fn tick(&mut self, node: &mut SuspectNode, context: &mut Context<'_>) {
        if let SuspectNode::Entry { registry, waiting } = node {
            let mut effects = Vec::new();
            registry.tick(context.now, &mut effects);
            self.apply_effects(waiting, effects, context);
        }
    }

    fn perform_action(&mut self, node: &mut SuspectNode, context: &mut Context<'_>) {
        if let SuspectNode::Caller { requests } = node
            && *requests < 3
        {
            *requests += 1;
            self.submit(*requests, context);
        }
    }

    fn check_invariant(&self, _: &[Option<SuspectNode>], _: ClockTime) -> Result<(), String> {
        let max_crashes = MAX_CRASHES as u32 + self.allowed_extra_crashes;
        match self.crashes.iter().find(|(_, crashes)| **crashes > max_crashes) {
            Some((request, crashes)) => Err(format!(
                "request {request} crashed {crashes} servers, at most {max_crashes} expected"
            )),
            None => Ok(()),
        }
    }
}

impl SuspectMachine {
    /// Sends a request to a random entry. An attempt has three numbers in a row: for the message to
    /// the entry, to the server and back to the entry. Duplicates of each are recognised apart.
    fn submit(&mut self, request: u32, context: &mut Context<'_>) {
        let entry = context.rng.random_range(FIRST_ENTRY..FIRST_SERVER);
        self.next_attempt += 3;
        context.send(entry, SuspectNodeMessage::Submit(self.next_attempt, request));
    }

    fn receive_at_entry(
        &mut self,
        registry: &mut SuspectRegistry,
        waiting: &mut HashMap<u64, u32>,
        from: usize,
        message: SuspectNodeMessage,
        context: &mut Context<'_>,
    ) {
        let mut effects = Vec::new();
        match message {
            SuspectNodeMessage::Submit(attempt, request) => {
                let is_new = self.seen_attempts.insert(attempt);
                let suspects = fingerprint(request).into();
                let admission = registry.admit(context.now, &suspects, |_| 0);
                let runs = matches!(admission, SuspectAdmission::Run | SuspectAdmission::RunAlone);
                if is_new && runs {
                    let server = context.rng.random_range(FIRST_SERVER..Self::NODES);
                    context.send(
                        server,
                        SuspectNodeMessage::Run(context.incarnation, attempt + 1, request),
                    );
                }
            }
            SuspectNodeMessage::ConnectionBroke(
                incarnation,
                attempt,
                request,
                server_incarnation,
            ) if incarnation == context.incarnation => {
                let is_new = self.seen_attempts.insert(attempt + 1);
                if !is_new {
                    return;
                }
                let server = ServerIncarnation::new(&from.to_string(), server_incarnation);
                let (suspects, now) = (fingerprint(request).into(), context.now);
                registry.start_run(&suspects, server);
                let report =
                    registry.end_run(&suspects, server, EndReason::Crashed, now, &mut effects);
                if let Some(report) = report {
                    waiting.insert(report, request);
                }
                if self.bug == Some(SuspectBug::TellAtOnce) {
                    self.report_failure(request, context);
                }
            }
            SuspectNodeMessage::Hello => {
                registry.sync_peer(NodeId(from as u32), &mut effects);
            }
            SuspectNodeMessage::Peer(SuspectMessage::Report { id, .. })
                if self.bug == Some(SuspectBug::IgnoreReports) =>
            {
                let reply = SuspectMessage::Acknowledge { id, crashes: Vec::new() };
                context.send(from, SuspectNodeMessage::Peer(reply));
            }
            SuspectNodeMessage::Peer(message) => {
                registry.receive(NodeId(from as u32), message, context.now, &mut effects);
            }
            _ => {}
        }
        self.apply_effects(waiting, effects, context);
    }

    fn apply_effects(
        &mut self,
        waiting: &mut HashMap<u64, u32>,
        effects: Vec<SuspectEffect>,
        context: &mut Context<'_>,
    ) {
        for effect in effects {
            match effect {
                SuspectEffect::Send { to, message } => {
                    context.send(to.0 as usize, SuspectNodeMessage::Peer(message));
                }
                SuspectEffect::ReportClosed { report, acknowledged_by_all } => {
                    self.allowed_extra_crashes += u32::from(!acknowledged_by_all);
                    if let Some(request) = waiting.remove(&report) {
                        self.report_failure(request, context);
                    }
                }
            }
        }
    }

    /// Reports a failure to the caller. Each failure has its own number, so that the caller ignores
    /// a duplicate of the message.
    fn report_failure(&mut self, request: u32, context: &mut Context<'_>) {
        self.next_attempt += 3;
        context.send(CALLER, SuspectNodeMessage::Failed(self.next_attempt, request));
    }
}
