//! Applies the decisions on admission under overload to the requests of this node.

use std::{collections::HashMap, rc::Rc, time::Duration};

use carobvane_core::{
    clock::ClockTime,
    overload::{
        AdmissionDecision, AdmissionGate, AdmissionRequest, AdmissionVerdict, PressureReport,
        RequestGroups, RequestRank, UsualDeadlines, WaitTicket, is_reporter,
    },
    rendezvous::{node_rank, rendezvous_score},
    traffic::{PlacementChoice, PlacementRefusal, SoftwareRule},
};

use crate::{
    client::request_context::RequestContext,
    clock,
    fleet::node_notice::NodeNotice,
    node::{Node, NodeState},
};

/// Server time of an output token in ms: the time of a decode step, shared by the requests that
/// decode together.
const OUTPUT_TOKEN_MS: f64 = 0.15;
/// Maximum number of services. The configuration names a few; further ones share a state.
const MAX_SERVICES: usize = 256;

/// State of the decisions on admission.
#[derive(Debug, Default)]
pub struct AdmissionState {
    gates: HashMap<String, AdmissionGate>,
    deadlines: UsualDeadlines,
}

impl AdmissionState {
    /// Records that a server of a service rejected a request.
    pub fn on_rejected(&mut self, now: ClockTime, service: &str) {
        self.gate(service).on_rejected(now);
    }

    /// Records what another node sees of the pressure of a service.
    pub fn on_report(&mut self, now: ClockTime, report: PressureReport) {
        if let Some(gate) = self.gates.get_mut(&report.service) {
            gate.on_report(now, report);
        }
    }

    fn gate(&mut self, service: &str) -> &mut AdmissionGate {
        let is_known = self.gates.contains_key(service) || self.gates.len() < MAX_SERVICES;
        self.gates.entry(if is_known { service.to_string() } else { String::new() }).or_default()
    }
}

/// A request that has no room at the servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AdmissionError {
    /// It is refused.
    Refused(PlacementRefusal),
    /// A server is to be chosen again after this time.
    Waits(Duration, WaitTicket),
}

impl From<PlacementRefusal> for AdmissionError {
    fn from(refusal: PlacementRefusal) -> AdmissionError {
        AdmissionError::Refused(refusal)
    }
}

/// A request that waits at this node. Its place in the queue is free when this is dropped, also when
/// its client has left.
pub struct WaitingRequest {
    node: Rc<Node>,
    service: String,
    /// Its ticket.
    pub ticket: WaitTicket,
}

impl WaitingRequest {
    /// Creates the guard of a request that got a ticket.
    pub fn new(node: &Rc<Node>, service: &str, ticket: WaitTicket) -> WaitingRequest {
        WaitingRequest { node: node.clone(), service: service.to_string(), ticket }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.node.state.borrow_mut().admission.gate(&self.service).on_left(self.ticket);
    }
}

/// Decides whether a request is sent to the server chosen for it. `ticket` is the one that it got at
/// its last decision.
pub fn decide(
    node: &Node,
    state: &mut NodeState,
    context: &RequestContext,
    choice: &PlacementChoice,
    ticket: Option<WaitTicket>,
) -> Result<(), AdmissionError> {
    let now = clock::now();
    let request = AdmissionRequest { ticket, ..admission_request(state, context, choice, now) };
    let gate = state.admission.gate(&context.service);
    let verdict = gate.decide(now, &request, &mut state.rng);
    report_pressure(node, state, &context.service, now);
    match verdict.decision {
        AdmissionDecision::Admit => {
            count(context, "admitted");
            Ok(())
        }
        AdmissionDecision::Wait(interval, next) => {
            if ticket.is_none() {
                count(context, "waited");
            }
            Err(AdmissionError::Waits(interval, next))
        }
        AdmissionDecision::Refuse(delay) => {
            count(context, "refused");
            log_refusal(context, &request, &verdict);
            Err(AdmissionError::Refused(PlacementRefusal::Busy(delay)))
        }
    }
}

fn count(context: &RequestContext, outcome: &'static str) {
    let priority = context.priority().min(9).to_string();
    metrics::counter!(
        "carobvane_admission_decisions_total", "priority" => priority, "outcome" => outcome
    )
    .increment(1);
}

/// Tells the other nodes of the pressure of a service, if this node is one of those that do.
fn report_pressure(node: &Node, state: &mut NodeState, service: &str, now: ClockTime) {
    let gate = state.admission.gate(service);
    let Some(report) = gate.take_report(now, service, node.incarnation) else { return };
    metrics::gauge!("carobvane_service_pressure", "service" => service.to_string())
        .set(gate.pressure(now));
    let names = state.members.live().map(|member| member.name.as_str());
    if is_reporter(node_rank(service.as_bytes(), &node.settings.name, names)) {
        node.broadcast(NodeNotice::Pressure(report));
    }
}

fn admission_request(
    state: &mut NodeState,
    context: &RequestContext,
    choice: &PlacementChoice,
    now: ClockTime,
) -> AdmissionRequest {
    let prompt = &context.info.prompt;
    let workspace = context.workspace.as_ref().map_or("", |workspace| workspace.name.as_str());
    let output_ms = f64::from(prompt.max_output_tokens) * OUTPUT_TOKEN_MS;
    let server_ms = choice.idle_latency_ms + output_ms;
    let rank = RequestRank::new(context.priority(), context.rule.priority, server_ms);
    let is_resumed = context.rule.resumable && context.history.may_have_run;
    let deadline = context.deadline.since(context.arrived_at);
    let route = rendezvous_score(context.rule.name.as_bytes(), 0);
    // A request that another node has passed on has less time left, too.
    let is_first = !context.is_forwarded && context.history.attempts == 0;
    let is_return = is_first && state.admission.deadlines.is_return(now, route, deadline);
    AdmissionRequest {
        rank,
        groups: RequestGroups {
            route,
            workspace: rendezvous_score(workspace.as_bytes(), 0),
            session: prompt.prefix_id(),
            prompt_tokens: prompt.prompt_tokens,
        },
        server_ms,
        expected: choice.expected_latency,
        idle: choice.idle_latency,
        target: context.rule.target_latency,
        elapsed: now.since(context.arrived_at),
        time_left: context.time_left(now),
        client_time_left: context.deadline.since(now),
        continues: context.software != SoftwareRule::Any || is_resumed,
        is_return,
        ticket: None,
    }
}

fn log_refusal(context: &RequestContext, request: &AdmissionRequest, verdict: &AdmissionVerdict) {
    log::info!(
        request = context.info.request_id, service = context.service, rank = request.rank.number(),
        pressure = verdict.pressure, position = verdict.position,
        wait_ms = verdict.wait.as_millis() as u64, max_wait_ms = verdict.max_wait.as_millis() as u64,
        idle_ms = request.idle.as_millis() as u64, decision:? = verdict.decision,
        waited = request.ticket.is_some(), is_return = request.is_return, is_starved = verdict.is_starved;
        "no room for a request"
    );
}
