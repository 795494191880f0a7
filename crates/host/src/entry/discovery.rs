//! Serves `GET /v1/entries` and `GET /v1/models`, and the health endpoints.

use actix_web::{HttpRequest, HttpResponse, web};
use carobvane_core::membership::EntryDirectory;
use carobvane_proto::openai::{EntryAddress, EntryList};
use serde_json::json;

use super::{
    error::ApiError,
    shared::{DISCOVERY_LIFETIME, EntryShared},
};

/// Registers the endpoints.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v1/entries", web::get().to(list_entries))
        .route("/v1/models", web::get().to(list_models))
        .route("/healthz", web::get().to(healthz))
        .route("/readyz", web::get().to(readyz));
}

async fn list_entries(
    request: HttpRequest,
    shared: web::Data<EntryShared>,
) -> Result<HttpResponse, ApiError> {
    let (lists, workspace) = shared.authenticate(&request)?;
    let members = shared.members();
    let entries = EntryDirectory::new(&lists.document, members.table())
        .rank_entries(&workspace.name)
        .into_iter()
        .map(|entry| EntryAddress {
            url: format!("http://{}", entry.http_address),
            data_centre: entry.data_centre.clone(),
        })
        .collect();
    let lifetime_seconds = DISCOVERY_LIFETIME.as_secs();
    Ok(HttpResponse::Ok()
        .insert_header(("cache-control", format!("max-age={lifetime_seconds}")))
        .json(EntryList { entries, lifetime_seconds }))
}

async fn list_models(
    request: HttpRequest,
    shared: web::Data<EntryShared>,
) -> Result<HttpResponse, ApiError> {
    let (lists, workspace) = shared.authenticate(&request)?;
    let names = lists.grant(&workspace).map(|grant| grant.models.clone()).unwrap_or_default();
    let models: Vec<_> = names
        .iter()
        .filter(|name| !lists.engines(name).is_empty())
        .map(|name| json!({ "id": name, "object": "model", "created": 0, "owned_by": "carobvane" }))
        .collect();
    Ok(HttpResponse::Ok().json(json!({ "object": "list", "data": models })))
}

/// Responds with 200 while the process runs.
pub async fn healthz() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

/// Responds with 200 while new requests can be served.
pub async fn readyz(shared: web::Data<EntryShared>) -> HttpResponse {
    if shared.lists().is_some() && !shared.is_draining() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}
