//! Suspects: a caller that resends a request that crashes every server which runs it.
//!
//! The caller resends at a random entry as soon as it is told of the failure, and not before. At
//! most two servers die of a request; each report that was not acknowledged by every entry and
//! each restart of an entry may cost one more, because that entry's knowledge is missing.

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

const CALLER: usize = 0;
const FIRST_ENTRY: usize = 1;
const ENTRIES: usize = 3;
const FIRST_SERVER: usize = FIRST_ENTRY + ENTRIES;
const SERVERS: usize = 4;

/// The observer of the machine.
#[derive(Default)]
pub struct SuspectMachine {
    bug: Option<SuspectBug>,
    /// Servers that died, by request.
    deaths: HashMap<u32, u32>,
    attempts: HashSet<u64>,
    next_attempt: u64,
    /// Reports without every acknowledgement, and restarts.
    unsettled: u32,
}

/// A planted bug.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectBug {
    /// The caller is told before the other entries know.
    TellAtOnce,
    /// The entry ignores what other entries report.
    IgnoreReports,
}

/// The state of one node.
pub enum SuspectNode {
    /// The caller; survives crashes.
    Caller {
        /// Number of requests.
        requests: u32,
    },
    /// An entry.
    Entry {
        /// Its registry.
        registry: Box<SuspectRegistry>,
        /// Requests whose caller waits for a report.
        waiting: HashMap<u64, u32>,
    },
    /// A backend server.
    Server {
        /// Its life.
        incarnation: u64,
    },
}

/// A message between nodes.
#[derive(Debug, Clone)]
pub enum SuspectWire {
    /// Caller to entry: attempt and request.
    Submit(u64, u32),
    /// Entry to caller: the request failed, not after all crashes.
    Failed(u64, u32),
    /// Entry to server: request and attempt.
    Run(NodeIncarnation, u64, u32),
    /// Server to entry: the connection broke in this life.
    Broke(NodeIncarnation, u64, u32, u64),
    /// An entry has started.
    Hello,
    /// Entry to entry.
    Peer(SuspectMessage),
}

type Context<'a> = StepContext<'a, SuspectWire>;

fn fingerprint(request: u32) -> SuspectFingerprint {
    SuspectFingerprint::new("kelani", &request.to_le_bytes())
}

fn other_entries(index: usize) -> impl Iterator<Item = usize> {
    (FIRST_ENTRY..FIRST_SERVER).filter(move |&other| other != index)
}

impl CheckedMachine for SuspectMachine {
    type Node = SuspectNode;
    type Message = SuspectWire;
    type Bug = SuspectBug;

    const NAME: &'static str = "suspects";
    const BUGS: &'static [(&'static str, SuspectBug)] = &[
        ("suspect-tell-at-once", SuspectBug::TellAtOnce),
        ("suspect-ignore-reports", SuspectBug::IgnoreReports),
    ];
    const NODES: usize = FIRST_SERVER + SERVERS;
    const STEADY_NODES: usize = 1;
    const ACTORS: std::ops::Range<usize> = CALLER..CALLER + 1;
    const MAX_ADVANCE_MICROS: u64 = 100_000;

    fn create(bug: Option<SuspectBug>) -> SuspectMachine {
        SuspectMachine { bug, ..SuspectMachine::default() }
    }

    fn start(&mut self, context: &mut Context<'_>, previous: Option<SuspectNode>) -> SuspectNode {
        match context.index {
            CALLER => SuspectNode::Caller { requests: 0 },
            index if index < FIRST_SERVER => {
                self.unsettled += u32::from(context.life.incarnation.0 > 1);
                let mut registry = Box::new(SuspectRegistry::new());
                let peers = other_entries(index).map(|node| NodeId(node as u32)).collect();
                registry.set_peers(peers, &mut Vec::new());
                for other in other_entries(index) {
                    context.send(other, SuspectWire::Hello);
                }
                SuspectNode::Entry { registry, waiting: HashMap::new() }
            }
            _ => match previous {
                Some(SuspectNode::Server { incarnation }) => {
                    SuspectNode::Server { incarnation: incarnation + 1 }
                }
                _ => SuspectNode::Server { incarnation: 1 },
            },
        }
    }

    fn receive(
        &mut self,
        node: &mut SuspectNode,
        from: usize,
        message: SuspectWire,
        context: &mut Context<'_>,
    ) {
        match (node, message) {
            (SuspectNode::Caller { .. }, SuspectWire::Failed(attempt, request)) => {
                let is_new = self.attempts.insert(attempt);
                if is_new {
                    self.submit(request, context);
                }
            }
            (SuspectNode::Server { incarnation }, SuspectWire::Run(life, attempt, request)) => {
                let is_new = self.attempts.insert(attempt);
                if is_new {
                    *self.deaths.entry(request).or_default() += 1;
                    let broke = SuspectWire::Broke(life, attempt, request, *incarnation);
                    *incarnation += 1;
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
            self.carry_out(waiting, effects, context);
        }
    }

    fn act(&mut self, node: &mut SuspectNode, context: &mut Context<'_>) {
        if let SuspectNode::Caller { requests } = node
            && *requests < 3
        {
            *requests += 1;
            self.submit(*requests, context);
        }
    }

    fn check(&self, _: &[Option<SuspectNode>], _: ClockTime) -> Result<(), String> {
        let most = MAX_CRASHES as u32 + self.unsettled;
        match self.deaths.iter().find(|(_, deaths)| **deaths > most) {
            Some((request, deaths)) => {
                Err(format!("request {request} crashed {deaths} servers, at most {most} expected"))
            }
            None => Ok(()),
        }
    }
}

impl SuspectMachine {
    /// Sends a request to a random entry. Attempts are numbered twice: once for the caller, once
    /// for the server.
    fn submit(&mut self, request: u32, context: &mut Context<'_>) {
        let entry = context.rng.random_range(FIRST_ENTRY..FIRST_SERVER);
        self.next_attempt += 3;
        context.send(entry, SuspectWire::Submit(self.next_attempt, request));
    }

    fn receive_at_entry(
        &mut self,
        registry: &mut SuspectRegistry,
        waiting: &mut HashMap<u64, u32>,
        from: usize,
        message: SuspectWire,
        context: &mut Context<'_>,
    ) {
        let mut effects = Vec::new();
        match message {
            SuspectWire::Submit(attempt, request) => {
                let is_new = self.attempts.insert(attempt);
                let admission = registry.admit(fingerprint(request));
                let runs = matches!(admission, SuspectAdmission::Run | SuspectAdmission::RunAlone);
                if is_new && runs {
                    let server = context.rng.random_range(FIRST_SERVER..Self::NODES);
                    context.send(server, SuspectWire::Run(context.life, attempt + 1, request));
                }
            }
            SuspectWire::Broke(life, attempt, request, incarnation) if life == context.life => {
                let is_new = self.attempts.insert(attempt + 1);
                if !is_new {
                    return;
                }
                let server = ServerIncarnation::new(&from.to_string(), incarnation);
                let (suspect, now) = (fingerprint(request), context.now);
                registry.start_run(suspect, server);
                let report =
                    registry.end_run(suspect, server, EndReason::Crashed, now, &mut effects);
                if let Some(report) = report {
                    waiting.insert(report, request);
                }
                if self.bug == Some(SuspectBug::TellAtOnce) {
                    self.tell(request, context);
                }
            }
            SuspectWire::Hello => {
                registry.sync_peer(NodeId(from as u32), &mut effects);
            }
            SuspectWire::Peer(SuspectMessage::Report { id, .. })
                if self.bug == Some(SuspectBug::IgnoreReports) =>
            {
                let reply = SuspectMessage::Acknowledge { id, crashes: Vec::new() };
                context.send(from, SuspectWire::Peer(reply));
            }
            SuspectWire::Peer(message) => {
                registry.receive(NodeId(from as u32), message, context.now, &mut effects);
            }
            _ => {}
        }
        self.carry_out(waiting, effects, context);
    }

    fn carry_out(
        &mut self,
        waiting: &mut HashMap<u64, u32>,
        effects: Vec<SuspectEffect>,
        context: &mut Context<'_>,
    ) {
        for effect in effects {
            match effect {
                SuspectEffect::Send { to, message } => {
                    context.send(to.0 as usize, SuspectWire::Peer(message));
                }
                SuspectEffect::ReportClosed { report, acknowledged_by_all } => {
                    self.unsettled += u32::from(!acknowledged_by_all);
                    if let Some(request) = waiting.remove(&report) {
                        self.tell(request, context);
                    }
                }
            }
        }
    }

    /// Tells the caller of a failure. Every failure has its own number, so that a duplicate of the
    /// message is no second failure.
    fn tell(&mut self, request: u32, context: &mut Context<'_>) {
        self.next_attempt += 3;
        context.send(CALLER, SuspectWire::Failed(self.next_attempt, request));
    }
}
