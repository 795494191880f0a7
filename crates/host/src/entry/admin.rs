//! HTTP endpoints of an entry for operators: health, metrics, status, routing decisions and drain.

use actix_web::{HttpResponse, web};
use carobvane_core::{
    lists::WorkspaceEntry,
    membership::{self, MemberChange},
    plans::LimitKind,
};
use carobvane_proto::admin::{
    DRAIN_PATH, DrainRequest, HealthState, LimitUsage, MemberStatus, NodeRole, NodeStatus,
    STATUS_PATH, WorkspaceUsage,
};

use super::{
    discovery::{healthz, readyz},
    shared::EntryShared,
};
use crate::telemetry;

/// Registers the endpoints.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics_page))
        .route(STATUS_PATH, web::get().to(status))
        .route("/admin/decisions/{request}", web::get().to(decisions))
        .route(DRAIN_PATH, web::post().to(drain));
}

/// Returns the routing decisions of a request, or 404 if it is unknown or was dropped.
async fn decisions(shared: web::Data<EntryShared>, request: web::Path<String>) -> HttpResponse {
    match shared.decisions().get(&request) {
        Some(report) => HttpResponse::Ok().json(report),
        None => HttpResponse::NotFound().body("unknown request\n"),
    }
}

/// Begins a graceful shutdown, after which the process exits.
async fn drain(shared: web::Data<EntryShared>, body: web::Json<DrainRequest>) -> HttpResponse {
    log::info!(reason = body.reason; "drain requested");
    if shared.drain_report().is_none() {
        shared.begin_drain();
        shared.request_drain();
    }
    HttpResponse::Ok().json(shared.drain_report().unwrap_or_default())
}

async fn metrics_page() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(telemetry::render_metrics())
}

async fn status(shared: web::Data<EntryShared>) -> HttpResponse {
    let lists = shared.lists();
    HttpResponse::Ok().json(NodeStatus {
        node: shared.own.node.0,
        role: NodeRole::Entry,
        incarnation: shared.own.incarnation.0,
        data_centre: shared.settings.node.data_centre.clone(),
        build: env!("CARGO_PKG_VERSION").to_string(),
        list_version: lists.as_ref().map(|lists| lists.version.number),
        list_digest: lists.map(|lists| lists.version.digest.to_string()).unwrap_or_default(),
        drain: shared.drain_report(),
        members: members(&shared),
        usage: usage(&shared),
        ..NodeStatus::default()
    })
}

fn members(shared: &EntryShared) -> Vec<MemberStatus> {
    let Some(lists) = shared.lists() else { return Vec::new() };
    let members = shared.members();
    let member = |change: &MemberChange| {
        let (_, entry) = lists.document.entry_by_node(change.node)?;
        Some(MemberStatus {
            node: change.node.0,
            role: NodeRole::Entry,
            incarnation: change.incarnation.0,
            address: entry.peer_address.clone(),
            data_centre: entry.data_centre.clone(),
            state: match change.status {
                membership::MemberStatus::Dead => HealthState::Dead,
                _ if change.draining => HealthState::Leaving,
                membership::MemberStatus::Suspect => HealthState::Suspect,
                membership::MemberStatus::Live => HealthState::Live,
            },
            list_version: None,
        })
    };
    members.table().others().filter_map(member).collect()
}

fn usage(shared: &EntryShared) -> Vec<WorkspaceUsage> {
    let Some(lists) = shared.lists() else { return Vec::new() };
    let report = |(name, entry): (&String, &WorkspaceEntry)| {
        let plan = lists.document.plans.get(&entry.plan)?;
        let units = shared.plans.plan_usage(&entry.plan);
        let limit = |kind: LimitKind| LimitUsage {
            limit: kind.as_str().to_string(),
            amount: plan.limits.amount(kind),
            window_ms: match kind {
                LimitKind::Streams => 0,
                kind => kind.window().as_millis() as u64,
            },
            cap: units.cap[kind.index()],
            used: units.used[kind.index()],
        };
        Some(WorkspaceUsage {
            workspace: name.clone(),
            plan: entry.plan.clone(),
            in_progress: shared.plans.workspace_usage(name).open_streams as u32,
            limits: LimitKind::ALL.map(limit).to_vec(),
            ..WorkspaceUsage::default()
        })
    };
    lists.document.workspaces.iter().filter_map(report).collect()
}
