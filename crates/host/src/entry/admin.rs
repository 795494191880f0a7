//! The operators' HTTP of an entry: health, metrics and status.

use actix_web::{HttpResponse, web};
use carobvane_proto::admin::{NodeRole, NodeStatus};

use super::{
    discovery::{healthz, readyz},
    shared::EntryShared,
};
use crate::telemetry;

/// Adds the endpoints.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz))
        .route("/metrics", web::get().to(metrics_page))
        .route("/admin/status", web::get().to(status));
}

async fn metrics_page() -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(telemetry::render())
}

async fn status(shared: web::Data<EntryShared>) -> HttpResponse {
    let lists = shared.lists();
    HttpResponse::Ok().json(NodeStatus {
        node: shared.own.node.0,
        role: NodeRole::Entry,
        incarnation: shared.own.incarnation.0,
        data_centre: shared.settings.data_centre.clone(),
        build: env!("CARGO_PKG_VERSION").to_string(),
        list_version: lists.as_ref().map(|lists| lists.version.number),
        list_digest: lists.map(|lists| lists.version.digest.to_string()).unwrap_or_default(),
        ..NodeStatus::default()
    })
}
