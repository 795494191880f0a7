//! Watches the runs of requests at servers for crashes, shares what it learns with the other nodes,
//! and logs every change.

use std::rc::Rc;

use carobvane_core::{
    ids::ServerKey,
    suspects::{self, RequestSuspects, ServerBuild, SuspectFingerprint, SuspectKind},
    traffic::{
        CrashEvent, CrashReport, CrashRuling, CrashVerdict, LinkFailure, LinkState, PromptPart,
        RunEnd, ServerRun,
    },
};
use smallvec::SmallVec;
use tokio::time::timeout;

use crate::{
    client::request_context::RequestContext,
    clock,
    fleet::node_notice::NodeNotice,
    node::{Node, NodeState},
    server::{links, pool::CONNECT_TIMEOUT},
    tcp,
};

/// A run of a request at a server. Dropping it means that the run ends without a response that
/// this node waits for.
pub struct RunGuard {
    node: Rc<Node>,
    request_id: String,
    instance: String,
    /// Shared parts of the prompt, for the log.
    parts: SmallVec<[PromptPart; 4]>,
    /// `None` once the run has ended.
    run: Option<ServerRun>,
}

impl std::fmt::Debug for RunGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RunGuard").field("instance", &self.instance).finish_non_exhaustive()
    }
}

impl RunGuard {
    /// Records that a request is about to be sent to a server.
    pub fn start(
        node: &Rc<Node>,
        context: &RequestContext,
        server: ServerKey,
        instance: &str,
        build: ServerBuild,
    ) -> RunGuard {
        let suspects = &context.suspects;
        let state = &mut *node.state.borrow_mut();
        // A server that vanished since it was chosen has no incarnation, so its end is not counted.
        let incarnation = state.incarnation_id(server);
        let run = incarnation
            .map(|incarnation| state.crashes.start_run(suspects, server, incarnation, build));
        for fingerprint in suspects.iter() {
            let crashes = state.crashes.crash_count(fingerprint);
            if crashes >= min_logged_crashes(fingerprint) {
                log::info!(
                    request = context.info.request_id, fingerprint:% = fingerprint, crashes,
                    server = instance;
                    "sending a request that crashed servers"
                );
            }
        }
        RunGuard {
            node: node.clone(),
            request_id: context.info.request_id.clone(),
            instance: instance.to_string(),
            parts: context.info.prompt.shared_parts().into(),
            run,
        }
    }

    /// Records how the run ended. `cause` is for the log.
    pub fn finish(&mut self, end: RunEnd, cause: &str) {
        let Some(run) = self.run.take() else { return };
        let state = &mut *self.node.state.borrow_mut();
        let listed = state.registry.get(run.server).is_some();
        let end = attributable_end(state, &run, end);
        metrics::counter!("carobvane_run_ends_total", "end" => end_label(end)).increment(1);
        if matches!(end, RunEnd::Broken | RunEnd::Unanswered) {
            log::info!(
                request = self.request_id, server = self.instance, end = end_label(end), listed,
                build:% = run.build, parts = format_parts(&self.parts), cause = cause;
                "run ended without a response"
            );
        }
        let mut events = Vec::new();
        state.crashes.end_run(clock::now(), run, end, listed, &mut events);
        apply_events(&self.node, state, &events, Some(&self.request_id), cause);
    }
}

/// Returns the end of a run as far as it is known to be due to the server. A connection that broke may be
/// due to this node's links until another server is heard.
fn attributable_end(state: &NodeState, run: &ServerRun, end: RunEnd) -> RunEnd {
    let is_lost = state.links.state() == LinkState::Lost;
    match end {
        RunEnd::Broken | RunEnd::Unanswered if is_lost => RunEnd::Refused,
        RunEnd::Broken if state.registry.has_others(run.server) => RunEnd::Unanswered,
        end => end,
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.finish(RunEnd::Unanswered, "abandoned");
    }
}

/// Returns the ids of prompt parts in hexadecimal, separated by spaces.
fn format_parts(parts: &[PromptPart]) -> String {
    let ids = parts.iter().map(|part| format!("{:x}", part.id));
    ids.collect::<Vec<_>>().join(" ")
}

/// Returns the name of an end in logs and metrics.
fn end_label(end: RunEnd) -> &'static str {
    match end {
        RunEnd::Completed => "completed",
        RunEnd::Refused => "refused",
        RunEnd::Broken => "broken",
        RunEnd::Unanswered => "unanswered",
    }
}

/// Returns whether a request to a service may run, and logs a refusal.
pub fn check_verdict(
    node: &Node,
    state: &NodeState,
    request_id: &str,
    service: &str,
    suspects: &RequestSuspects,
) -> CrashVerdict {
    let rank = |fingerprint| probe_rank(node, state, fingerprint);
    let now = clock::now();
    let replaced_for = |build| {
        let is_gone = !state.registry.may_have_software(service, build);
        is_gone.then(|| state.streams.gone_for(now, service, build))
    };
    let CrashRuling { verdict, suspect, crashes } =
        state.crashes.verdict(now, suspects, rank, replaced_for);
    if verdict != CrashVerdict::Allow {
        log::info!(request = request_id, fingerprint:% = suspect, crashes, verdict:? = verdict; "rejecting a request that crashed servers");
        metrics::counter!("carobvane_suspects_rejected_total", "suspect" => kind_label(suspect))
            .increment(1);
    }
    verdict
}

/// Returns the position of this node in the order in which the live nodes may run a suspect after
/// its quarantine.
fn probe_rank(node: &Node, state: &NodeState, suspect: SuspectFingerprint) -> u32 {
    let names = state.members.live().map(|member| member.name.as_str());
    suspects::probe_rank(suspect, &node.settings.name, names)
}

/// Number of crashes of a suspect from which on they are logged. Many parts are in several requests,
/// so most of them run during some crash.
fn min_logged_crashes(suspect: SuspectFingerprint) -> usize {
    match suspect.kind() {
        SuspectKind::Request => 1,
        SuspectKind::Part => 2,
    }
}

fn kind_label(suspect: SuspectFingerprint) -> &'static str {
    match suspect.kind() {
        SuspectKind::Request => "request",
        SuspectKind::Part => "part",
    }
}

/// Records that connections to a server break or cannot be opened.
pub fn record_server_lost(node: &Node, state: &mut NodeState, server: ServerKey) {
    let mut events = Vec::new();
    state.crashes.on_server_lost(clock::now(), server, &mut events);
    apply_events(node, state, &events, None, "connections to the server break");
}

/// Records that a server incarnation ended without having announced that it leaves.
pub fn record_server_ended(node: &Node, state: &mut NodeState, server: ServerKey) {
    let mut events = Vec::new();
    state.crashes.on_server_ended(clock::now(), server, &mut events);
    apply_events(node, state, &events, None, "the server incarnation ended");
}

/// Applies what another node has reported of a request that changed there.
pub fn apply_notice(node: &Node, state: &mut NodeState, report: &CrashReport) {
    let mut events = Vec::new();
    state.crashes.merge_reported(clock::now(), report, &mut events);
    apply_events(node, state, &events, None, "notice of another node");
}

/// Applies what the store holds of a request.
pub fn apply_stored(node: &Node, state: &mut NodeState, report: &CrashReport) {
    let mut events = Vec::new();
    state.crashes.merge_stored(clock::now(), report, &mut events);
    apply_events(node, state, &events, None, "record in the store");
}

/// Applies all that another node knows.
pub fn apply_copy(node: &Node, reports: &[CrashReport]) {
    let state = &mut *node.state.borrow_mut();
    let mut events = Vec::new();
    for report in reports {
        state.crashes.merge_copied(clock::now(), report, &mut events);
    }
    apply_events(node, state, &events, None, "copy of another node");
}

/// Connects to servers that fell silent, sends changed records once more, and wakes the task that
/// writes records to the store.
pub fn tick(node: &Rc<Node>) {
    let state = &mut *node.state.borrow_mut();
    for server in state.crashes.tick(clock::now()) {
        actix_rt::spawn(check_server(node.clone(), server));
    }
    for report in state.crashes.take_repeats() {
        node.broadcast(NodeNotice::Crashes(report));
    }
    node.crash_store_wake.notify_one();
}

/// Tries to connect to a server after a run that got no response and a time of silence.
async fn check_server(node: Rc<Node>, server: ServerKey) {
    let Some((address, _)) = node.server_endpoint(server) else { return };
    let reachable =
        timeout(CONNECT_TIMEOUT, tcp::connect(address)).await.is_ok_and(|opened| opened.is_ok());
    let instance = node.state.borrow().instance_name(server).unwrap_or_default();
    log::info!(instance = instance, reachable; "connected to a silent server");
    metrics::counter!("carobvane_silent_server_checks_total").increment(1);
    if reachable {
        links::record_connected(&node, server);
    } else {
        links::record_failure(&node, server, LinkFailure::Unreachable);
    }
}

/// Records that no connection to a silent server could be opened.
pub fn record_unreachable(node: &Node, state: &mut NodeState, server: ServerKey) {
    let mut events = Vec::new();
    state.crashes.on_server_checked(clock::now(), server, false, &mut events);
    apply_events(node, state, &events, None, "no connection to the silent server");
}

fn apply_events(
    node: &Node,
    state: &mut NodeState,
    events: &[CrashEvent],
    request: Option<&str>,
    cause: &str,
) {
    let request = request.unwrap_or_default();
    for event in events {
        match *event {
            CrashEvent::Counted { fingerprint, incarnation, build, crashes } => {
                if crashes >= min_logged_crashes(fingerprint) {
                    log::info!(
                        request = request, fingerprint:% = fingerprint, incarnation, build:% = build,
                        crashes, cause = cause;
                        "counted a crash"
                    );
                }
                metrics::counter!(
                    "carobvane_crashes_counted_total",
                    "source" => "own", "suspect" => kind_label(fingerprint)
                )
                .increment(1);
                broadcast_record(node, state, fingerprint);
            }
            CrashEvent::Withdrawn { fingerprint, crashes, build } => {
                if crashes >= min_logged_crashes(fingerprint) {
                    log::info!(request = request, fingerprint:% = fingerprint, crashes, build:% = build; "withdrew the crashes of a suspect");
                }
                metrics::counter!("carobvane_crashes_withdrawn_total").increment(1);
                broadcast_record(node, state, fingerprint);
            }
            CrashEvent::Completed { fingerprint } => {
                metrics::counter!("carobvane_suspects_completed_total", "suspect" => kind_label(fingerprint))
                    .increment(1);
                broadcast_record(node, state, fingerprint);
            }
            CrashEvent::Learned { fingerprint, crashes } => {
                // After a single crash, all requests that ran at the server have one.
                if crashes > 1 {
                    log::info!(fingerprint:% = fingerprint, crashes, cause = cause; "learned of crashes");
                }
                metrics::counter!(
                    "carobvane_crashes_counted_total",
                    "source" => "peer", "suspect" => kind_label(fingerprint)
                )
                .increment(1);
            }
            CrashEvent::Dropped { fingerprint, crashes } => {
                log::warn!(fingerprint:% = fingerprint, crashes; "dropped a crash record: too many suspects");
                metrics::counter!("carobvane_crash_records_dropped_total").increment(1);
            }
        }
    }
    log_blame(state);
}

/// Logs which parts are blamed for crashes, if that has changed.
fn log_blame(state: &mut NodeState) {
    let groups = state.crashes.blamed_groups();
    if groups == state.logged_blame {
        return;
    }
    let blamed: usize = groups.iter().map(|group| group.parts.len()).sum();
    metrics::gauge!("carobvane_blamed_parts").set(blamed as f64);
    for group in groups {
        let parts = group.parts.iter().map(ToString::to_string).collect::<Vec<_>>().join(" ");
        log::warn!(parts = parts, crashes = group.crashes; "blaming prompt parts for crashes");
    }
    if groups.is_empty() {
        log::info!("no prompt part is blamed for crashes any more");
    }
    state.logged_blame = groups.to_vec();
}

/// Sends a changed record to the other nodes and has it written to the store.
fn broadcast_record(node: &Node, state: &NodeState, fingerprint: SuspectFingerprint) {
    if let Some(report) = state.crashes.report(fingerprint) {
        node.broadcast(NodeNotice::Crashes(report));
    }
    node.crash_store_wake.notify_one();
}
