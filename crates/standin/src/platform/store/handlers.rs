//! The HTTP calls of the simulated store.

use std::time::{Duration, Instant};

use actix_web::{
    HttpResponse,
    body::MessageBody,
    dev::{ServiceRequest, ServiceResponse},
    http::{
        StatusCode,
        header::{HeaderName, HeaderValue},
    },
    middleware::Next,
    web,
};
use base64::{Engine, engine::general_purpose::STANDARD};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::timeout_at;

use super::{StoreCore, StoreFault, StoreShared, StoredItem, address::StoreAddress};
use crate::util::{self, lock};

pub(super) type Shared = web::Data<StoreShared>;

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct RangeQuery {
    prefix: String,
    after: Option<String>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct WatchQuery {
    prefix: String,
    after: u64,
    wait_ms: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct ExpectedRow {
    key: String,
    revision: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct WriteRow {
    key: String,
    value: String,
    lease: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(super) struct TransactBody {
    expected: Vec<ExpectedRow>,
    writes: Vec<WriteRow>,
    remove: Vec<String>,
}

impl TransactBody {
    /// Whether the transaction writes a key.
    pub(super) fn writes_key(&self, key: &str) -> bool {
        self.writes.iter().any(|row| row.key == key)
    }
}

impl StoreCore {
    /// Carries out a transaction and returns its revision. The error is the status of the refusal.
    pub(super) fn carry_out(&mut self, body: TransactBody) -> Result<u64, StatusCode> {
        let held = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if body.expected.iter().any(|row| held(&row.key) != row.revision) {
            return Err(StatusCode::PRECONDITION_FAILED);
        }
        let unknown = |row: &&WriteRow| row.lease != 0 && !self.leases.contains_key(&row.lease);
        if body.writes.iter().any(|row| unknown(&row)) {
            return Err(StatusCode::NOT_FOUND);
        }
        let decode = |row: WriteRow| Ok((row.key, STANDARD.decode(row.value)?, row.lease));
        let writes: Result<Vec<_>, base64::DecodeError> =
            body.writes.into_iter().map(decode).collect();
        let writes = writes.map_err(|_| StatusCode::BAD_REQUEST)?;
        Ok(self.write(writes, &body.remove))
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct GrantBody {
    ttl_ms: u64,
}

fn item_json(key: &str, item: &StoredItem, address: &StoreAddress) -> Value {
    let value = address.value(key).unwrap_or(&item.value);
    json!({
        "key": key, "value": STANDARD.encode(value), "revision": item.revision,
        "created": item.created, "lease": item.lease,
    })
}

/// Returns the response of a faulty store, or `None` if the call is to be carried out. Never
/// returns under [`StoreFault::Silent`].
async fn fault_response(fault: StoreFault) -> Option<HttpResponse> {
    match fault {
        StoreFault::Busy => Some(HttpResponse::ServiceUnavailable().finish()),
        StoreFault::Silent => std::future::pending().await,
        StoreFault::None | StoreFault::LoseAcknowledgements => None,
    }
}

/// Adds the era of the store to a response.
pub(super) async fn name_era(
    shared: Shared,
    request: ServiceRequest,
    next: Next<impl MessageBody>,
) -> Result<ServiceResponse<impl MessageBody>, actix_web::Error> {
    let mut response = next.call(request).await?;
    let era = HeaderValue::from(lock(&shared.core).era);
    response.headers_mut().insert(HeaderName::from_static("store-era"), era);
    Ok(response)
}

pub(super) async fn list_range(
    shared: Shared,
    address: web::Data<StoreAddress>,
    query: web::Query<RangeQuery>,
) -> HttpResponse {
    let fault = lock(&shared.core).record_call("range");
    if let Some(refusal) = fault_response(fault).await {
        return refusal;
    }
    let core = lock(&shared.core);
    let items = core.items.iter().filter(|(key, _)| key.starts_with(&query.prefix));
    let items = items.filter(|(key, _)| query.after.as_ref().is_none_or(|after| *key > after));
    let items: Vec<Value> = items.map(|(key, item)| item_json(key, item, &address)).collect();
    HttpResponse::Ok().json(json!({"items": items, "hasMore": false, "asOf": core.revision}))
}

pub(super) async fn watch_prefix(
    shared: Shared,
    address: web::Data<StoreAddress>,
    query: web::Query<WatchQuery>,
) -> HttpResponse {
    address.record_watch();
    let fault = lock(&shared.core).record_call("watch");
    if let Some(refusal) = fault_response(fault).await {
        return refusal;
    }
    let end = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    let mut changed = shared.changed.subscribe();
    let mut is_over = false;
    loop {
        changed.borrow_and_update();
        let result = read_changes(&lock(&shared.core), &query, &address);
        let (events, revision) = match result {
            Ok(changes) => changes,
            Err(status) => return HttpResponse::build(status).finish(),
        };
        if !events.is_empty() {
            address.wait_until_released().await;
        }
        if is_over || !events.is_empty() {
            return HttpResponse::Ok().json(json!({"events": events, "asOf": revision}));
        }
        is_over = timeout_at(end, changed.changed()).await.is_err();
        let fault = lock(&shared.core).fault;
        if let Some(refusal) = fault_response(fault).await {
            return refusal;
        }
    }
}

/// Returns the changes that a watch asks for, and the revision up to which they are complete. The error is
/// the status of a refusal.
fn read_changes(
    core: &StoreCore,
    query: &WatchQuery,
    address: &StoreAddress,
) -> Result<(Vec<Value>, u64), StatusCode> {
    if query.after < core.compacted_revision || query.after > core.revision {
        return Err(StatusCode::GONE);
    }
    let events = core
        .history
        .iter()
        .filter(|(revision, key, _)| *revision > query.after && key.starts_with(&query.prefix));
    let events = events.map(|(revision, key, item)| match item {
        Some(item) => item_json(key, item, address),
        None => json!({"key": key, "revision": revision, "tombstone": true}),
    });
    Ok((events.collect(), core.revision))
}

pub(super) async fn transact(shared: Shared, body: web::Json<TransactBody>) -> HttpResponse {
    let fault = lock(&shared.core).record_call("transact");
    if let Some(refusal) = fault_response(fault).await {
        return refusal;
    }
    let body = shared.change(|core| core.hold_back(body.into_inner()));
    let Some(body) = body else { return std::future::pending().await };
    let outcome = shared.change(|core| core.carry_out(body));
    if fault == StoreFault::LoseAcknowledgements {
        return util::aborted_response();
    }
    match outcome {
        Ok(revision) => HttpResponse::Ok().json(json!({"revision": revision})),
        Err(status) => HttpResponse::build(status).json(json!({"items": []})),
    }
}

pub(super) async fn grant_lease(shared: Shared, body: web::Json<GrantBody>) -> HttpResponse {
    let fault = lock(&shared.core).record_call("grant");
    if let Some(refusal) = fault_response(fault).await {
        return refusal;
    }
    let lifetime = Duration::from_millis(body.ttl_ms);
    let mut core = lock(&shared.core);
    core.revision += 1;
    let lease = core.revision;
    core.leases.insert(lease, (Instant::now() + lifetime, lifetime));
    HttpResponse::Ok().json(json!({"lease": lease, "ttlMs": body.ttl_ms}))
}

pub(super) async fn renew_lease(shared: Shared, lease: web::Path<u64>) -> HttpResponse {
    let fault = lock(&shared.core).record_call("keep");
    if let Some(refusal) = fault_response(fault).await {
        return refusal;
    }
    if lock(&shared.core).loses_renewal() {
        return std::future::pending().await;
    }
    let mut core = lock(&shared.core);
    *core.renewals.entry(*lease).or_default() += 1;
    match core.leases.get_mut(&lease) {
        Some((end, lifetime)) => {
            *end = Instant::now() + *lifetime;
            HttpResponse::Ok().json(json!({"ttlMs": lifetime.as_millis() as u64}))
        }
        None => HttpResponse::NotFound().finish(),
    }
}

pub(super) async fn revoke_lease(shared: Shared, lease: web::Path<u64>) -> HttpResponse {
    let fault = lock(&shared.core).record_call("end");
    if let Some(refusal) = fault_response(fault).await {
        return refusal;
    }
    match shared.change(|core| core.end_lease(*lease)) {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::NotFound().finish(),
    }
}
