//! Counts the crashes of servers by request, shares the counts with the other nodes, and logs what
//! changes them.

use std::rc::Rc;

use carobvane_core::{
    ids::ServerKey,
    suspects::SuspectFingerprint,
    traffic::{CrashCount, CrashVerdict},
};

use crate::{
    clock,
    node::{Node, NodeState},
    notices::NodeNotice,
    request::RequestContext,
};

/// Records that a run broke as if the server had crashed, and broadcasts it if it is new. `cause`
/// says how the run ended.
pub fn record_crash(node: &Rc<Node>, context: &RequestContext, server: ServerKey, cause: &str) {
    let state = &mut *node.state.borrow_mut();
    let Some(incarnation) = state.incarnation_id(server) else {
        log::warn!(
            request = context.info.request_id, fingerprint:% = context.fingerprint, cause = cause;
            "failed to count a crash: the server is no longer listed"
        );
        return;
    };
    let count = state.crashes.on_crash(clock::now(), context.fingerprint, incarnation);
    log_count(context.fingerprint, &count);
    if count.is_new {
        log::info!(
            request = context.info.request_id, fingerprint:% = context.fingerprint,
            server = state.instance_name(server).unwrap_or_default(), incarnation,
            crashes = count.crashes, cause = cause;
            "counted a crash"
        );
        metrics::counter!("carobvane_crashes_counted_total", "source" => "own").increment(1);
        node.broadcast(NodeNotice::Crash { fingerprint: context.fingerprint, life: incarnation });
    }
}

/// Returns whether a request may run, and logs a refusal.
pub fn check_verdict(
    state: &NodeState,
    request_id: &str,
    fingerprint: SuspectFingerprint,
) -> CrashVerdict {
    let verdict = state.crashes.verdict(clock::now(), fingerprint);
    if verdict != CrashVerdict::Allow {
        let crashes = state.crashes.crash_count(fingerprint);
        log::info!(request = request_id, fingerprint:% = fingerprint, crashes; "rejecting a request that crashes servers");
    }
    verdict
}

/// Applies a crash that another node has counted.
pub fn apply_notice(state: &mut NodeState, fingerprint: SuspectFingerprint, incarnation: u64) {
    let count = state.crashes.on_crash(clock::now(), fingerprint, incarnation);
    log_count(fingerprint, &count);
    if count.is_new {
        log::info!(
            fingerprint:% = fingerprint, incarnation, crashes = count.crashes;
            "another node counted a crash"
        );
        metrics::counter!("carobvane_crashes_counted_total", "source" => "peer").increment(1);
    }
}

/// Clears the count of a request that got a whole response.
pub fn clear_count(state: &mut NodeState, context: &RequestContext) {
    let crashes = state.crashes.on_completed(context.fingerprint);
    if crashes > 0 {
        log::info!(
            request = context.info.request_id, fingerprint:% = context.fingerprint, crashes;
            "cleared a crash count"
        );
        metrics::counter!("carobvane_crash_counts_cleared_total").increment(1);
    }
}

fn log_count(fingerprint: SuspectFingerprint, count: &CrashCount) {
    if let Some(dropped) = count.dropped {
        log::warn!(dropped:% = dropped, added:% = fingerprint; "dropped a crash count: too many requests");
        metrics::counter!("carobvane_crash_counts_dropped_total").increment(1);
    }
}
