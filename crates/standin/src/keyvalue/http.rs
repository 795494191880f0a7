//! HTTP endpoints of the simulated key-value service: the etcd v3 JSON gateway, fault injection and
//! counters.

use std::{io, time::Instant};

use actix_web::{HttpResponse, http::StatusCode, web};
use carobvane_proto::keyvalue::{
    LeaseGrantRequest, LeaseRequest, RangeRequest, StreamResult, TxnRequest, WatchRequest,
    WatchResponse,
};
use futures::stream;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::json;
use tokio::sync::watch;

use super::{
    CallKind, ChangeSignal, KeyValueCore, KeyValueFaults, KeyValueShared, OutageKind,
    store::KeyRange,
};
use crate::util::{aborted_response, lock, millis};

type Shared = web::Data<KeyValueShared>;

/// Registers the routes of the service.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v3/kv/range", web::post().to(range))
        .route("/v3/kv/txn", web::post().to(txn))
        .route("/v3/lease/grant", web::post().to(grant))
        .route("/v3/lease/keepalive", web::post().to(keep_alive))
        .route("/v3/lease/revoke", web::post().to(revoke))
        .route("/v3/watch", web::post().to(watch))
        .route("/faults", web::post().to(faults))
        .route("/counters", web::get().to(counters));
}

fn error(status: StatusCode, message: &str) -> HttpResponse {
    HttpResponse::build(status).json(json!({"error": message, "message": message}))
}

/// Handles one call: parses the body, applies outage, rate limit and delay, then calls `run`. If
/// the response of a write is to be lost, the write has taken effect before.
async fn handle_call<B: DeserializeOwned, R: Serialize>(
    shared: &Shared,
    body: &[u8],
    kind: impl Fn(&B) -> CallKind,
    run: impl FnOnce(&mut KeyValueCore, &B) -> Result<R, String>,
) -> HttpResponse {
    let request = match serde_json::from_slice::<B>(body) {
        Ok(request) => request,
        Err(cause) => {
            let message = format!("failed to read request body: {cause}");
            return error(StatusCode::BAD_REQUEST, &message);
        }
    };
    let kind = kind(&request);
    if let Err(response) = apply_faults_and_limits(shared, kind).await {
        return *response;
    }
    let (outcome, lost) = {
        let mut core = lock(&shared.core);
        let outcome = run(&mut core, &request);
        shared.notify_watches(&core);
        let lost = outcome.is_ok() && kind == CallKind::Write && core.lose_acknowledgements > 0;
        if lost {
            core.lose_acknowledgements -= 1;
            core.counters.lost_acknowledgements += 1;
        }
        (outcome, lost)
    };
    match outcome {
        _ if lost => aborted_response(),
        Ok(answer) => HttpResponse::Ok().json(answer),
        Err(message) => error(StatusCode::BAD_REQUEST, &message),
    }
}

/// Counts a call and waits for its delay. Returns the response to send instead if an outage or the
/// rate limit rejects the call.
async fn apply_faults_and_limits(shared: &Shared, kind: CallKind) -> Result<(), Box<HttpResponse>> {
    let (admitted, outage, delay) = {
        let mut core = lock(&shared.core);
        let admitted = core.admit(kind);
        core.counters.refused += u64::from(core.outage.is_some());
        (admitted, core.outage, millis(core.settings.answer_ms + core.slow_ms))
    };
    match outage {
        Some(OutageKind::Refuse) => {
            let response = error(StatusCode::SERVICE_UNAVAILABLE, "service is unavailable");
            return Err(Box::new(response));
        }
        Some(OutageKind::Silent) => {
            let mut signal = shared.signal.subscribe();
            // An error means that the service was stopped, which ends the outage as well.
            let _ = signal.wait_for(|signal| !signal.silent).await;
            return Err(Box::new(aborted_response()));
        }
        None => {}
    }
    if !admitted {
        let response = error(StatusCode::TOO_MANY_REQUESTS, "too many requests");
        return Err(Box::new(response));
    }
    tokio::time::sleep(delay).await;
    Ok(())
}

async fn range(shared: Shared, body: web::Bytes) -> HttpResponse {
    let run = |core: &mut KeyValueCore, request: &RangeRequest| core.store.range(request);
    handle_call(&shared, &body, |_| CallKind::Read, run).await
}

async fn txn(shared: Shared, body: web::Bytes) -> HttpResponse {
    let kind = |request: &TxnRequest| {
        let mut ops = request.success.iter().chain(&request.failure);
        match ops.any(|op| op.request_put.is_some() || op.request_delete_range.is_some()) {
            true => CallKind::Write,
            false => CallKind::Read,
        }
    };
    let run = |core: &mut KeyValueCore, request: &TxnRequest| core.store.txn(request);
    handle_call(&shared, &body, kind, run).await
}

async fn grant(shared: Shared, body: web::Bytes) -> HttpResponse {
    let run = |core: &mut KeyValueCore, request: &LeaseGrantRequest| {
        Ok(core.store.grant(request.ttl, Instant::now()))
    };
    handle_call(&shared, &body, |_| CallKind::Lease, run).await
}

async fn keep_alive(shared: Shared, body: web::Bytes) -> HttpResponse {
    let run = |core: &mut KeyValueCore, request: &LeaseRequest| {
        Ok(StreamResult { result: core.store.keep_alive(request.id, Instant::now()) })
    };
    handle_call(&shared, &body, |_| CallKind::Lease, run).await
}

async fn revoke(shared: Shared, body: web::Bytes) -> HttpResponse {
    let run = |core: &mut KeyValueCore, request: &LeaseRequest| {
        let known = core.store.revoke(request.id);
        let header = core.store.header();
        known
            .then(|| json!({"header": header}))
            .ok_or_else(|| "etcdserver: requested lease not found".to_string())
    };
    handle_call(&shared, &body, |_| CallKind::Lease, run).await
}

/// State of an open watch stream.
struct WatchState {
    shared: Shared,
    signal: watch::Receiver<ChangeSignal>,
    generation: u64,
    range: KeyRange,
    next_revision: i64,
    /// Whether the first line, which confirms the watch and may have no events, has been sent.
    opened: bool,
}

impl WatchState {
    /// Waits for the next line of the stream. Fails if an outage, a restore or a stop of the
    /// service ends the watch.
    async fn next_line(&mut self) -> io::Result<web::Bytes> {
        loop {
            if self.signal.borrow_and_update().generation != self.generation {
                return Err(io::Error::from(io::ErrorKind::ConnectionReset));
            }
            let response = {
                let core = lock(&self.shared.core);
                let events = core.store.changes_since(&self.range, self.next_revision);
                self.next_revision = core.store.revision() + 1;
                WatchResponse { header: core.store.header(), events }
            };
            if !response.events.is_empty() || !self.opened {
                self.opened = true;
                let mut line = serde_json::to_vec(&StreamResult { result: response })?;
                line.push(b'\n');
                return Ok(web::Bytes::from(line));
            }
            if self.signal.changed().await.is_err() {
                return Err(io::Error::from(io::ErrorKind::ConnectionReset));
            }
        }
    }
}

async fn watch(shared: Shared, body: web::Bytes) -> HttpResponse {
    let request = match serde_json::from_slice::<WatchRequest>(&body) {
        Ok(request) => request.create_request,
        Err(cause) => {
            let message = format!("failed to read request body: {cause}");
            return error(StatusCode::BAD_REQUEST, &message);
        }
    };
    if let Err(response) = apply_faults_and_limits(&shared, CallKind::Watch).await {
        return *response;
    }
    let range = match KeyRange::decode(&request.key, &request.range_end) {
        Ok(range) => range,
        Err(message) => return error(StatusCode::BAD_REQUEST, &message),
    };
    let signal = shared.signal.subscribe();
    let generation = signal.borrow().generation;
    let next_revision = match request.start_revision {
        0 => lock(&shared.core).store.revision() + 1,
        revision => revision,
    };
    let state = WatchState { shared, signal, generation, range, next_revision, opened: false };
    let lines = stream::unfold(Some(state), |state| async {
        let mut state = state?;
        match state.next_line().await {
            Ok(line) => Some((Ok(line), Some(state))),
            Err(cause) => Some((Err(cause), None)),
        }
    });
    HttpResponse::Ok().content_type("application/json").streaming(lines)
}

async fn faults(shared: Shared, update: web::Json<KeyValueFaults>) -> HttpResponse {
    shared.change_faults(&update);
    HttpResponse::Ok().json(json!({}))
}

async fn counters(shared: Shared) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared.core).counters)
}
