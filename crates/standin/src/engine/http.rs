//! HTTP endpoints of a simulated engine: completions, cache events, load, orders, KV transfers,
//! fault injection and counters.

use std::{collections::HashMap, io, time::Instant};

use actix_web::{
    HttpRequest, HttpResponse,
    body::{BoxBody, MessageBody},
    dev::{ServiceRequest, ServiceResponse},
    http::{
        StatusCode,
        header::{HeaderName, HeaderValue},
    },
    middleware::Next,
    web,
};
use carobvane_proto::{
    engine::{EngineExtension, EngineOrder, LoadedModel},
    headers,
    openai::{CompletionRequest, ErrorBody, ErrorDetail, RunOutcome},
};
use futures::stream;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use serde_with::{DisplayFromStr, serde_as};
use tokio::sync::mpsc;

use super::{
    EngineShared, FaultUpdate,
    answer::{AnswerFormat, AnswerText, answer_seed},
    batch::{BatchJob, StreamItem},
    state::event_frame,
};
use crate::util::{hash_parts, lock};

/// Bytes of prompt text per token.
const BYTES_PER_TOKEN: usize = 4;
/// Completion tokens if the request has neither `target_tokens` nor `max_tokens`.
const DEFAULT_ANSWER_TOKENS: u32 = 16;

type Shared = web::Data<EngineShared>;

/// Registers the routes of the engine.
pub fn routes(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(complete_text))
        .route("/v1/chat/completions", web::post().to(complete_chat))
        .route("/cache/events", web::get().to(cache_events))
        .route("/load", web::get().to(load))
        .route("/cancel/{attempt}", web::post().to(cancel))
        .route("/state", web::get().to(state))
        .route("/orders", web::post().to(order))
        .route("/kv/export", web::post().to(export))
        .route("/kv/import", web::post().to(import))
        .route("/faults", web::post().to(faults))
        .route("/counters", web::get().to(counters));
}

/// Adds the incarnation header to a response. A response that spans a crash is aborted, because its
/// header and its body could belong to different incarnations.
pub async fn reject_across_restart(
    shared: Shared,
    request: ServiceRequest,
    next: Next<impl MessageBody + 'static>,
) -> Result<ServiceResponse<BoxBody>, actix_web::Error> {
    let current_incarnation = |shared: &Shared| {
        let core = lock(&shared.core);
        (!core.down).then_some(core.state.incarnation)
    };
    let Some(incarnation) = current_incarnation(&shared) else {
        return Ok(request.into_response(crate::util::aborted_response()));
    };
    let mut response = next.call(request).await?.map_into_boxed_body();
    if current_incarnation(&shared) != Some(incarnation) {
        return Ok(response.into_response(crate::util::aborted_response()));
    }
    let value = HeaderValue::from(incarnation);
    response.headers_mut().insert(HeaderName::from_static(headers::INCARNATION), value);
    Ok(response)
}

fn error(status: StatusCode, code: &str, message: String) -> HttpResponse {
    let class = if status.is_server_error() { "server_error" } else { "invalid_request_error" };
    let detail = ErrorDetail {
        message,
        r#type: class.to_string(),
        code: code.to_string(),
        param: None,
        outcome: RunOutcome::NotRun,
    };
    HttpResponse::build(status)
        .insert_header((headers::OUTCOME, RunOutcome::NotRun.as_str()))
        .json(ErrorBody { error: detail })
}

fn header_number(request: &HttpRequest, name: &str) -> Option<u64> {
    request.headers().get(name)?.to_str().ok()?.parse().ok()
}

async fn complete_text(shared: Shared, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    complete(&shared, &request, &body, AnswerFormat::Text).await
}

async fn complete_chat(shared: Shared, request: HttpRequest, body: web::Bytes) -> HttpResponse {
    complete(&shared, &request, &body, AnswerFormat::Chat).await
}

async fn complete(
    shared: &Shared,
    request: &HttpRequest,
    body: &[u8],
    format: AnswerFormat,
) -> HttpResponse {
    let parsed = serde_json::from_slice::<Value>(body).and_then(|value| {
        let extension = serde_json::from_value::<EngineExtension>(value.clone())?;
        Ok((serde_json::from_value::<CompletionRequest>(value)?, extension))
    });
    let (completion, extension) = match parsed {
        Ok(parsed) => parsed,
        Err(cause) => {
            let message = format!("failed to read request body: {cause}");
            return error(StatusCode::BAD_REQUEST, "invalid_body", message);
        }
    };
    let (sender, receiver) = mpsc::unbounded_channel();
    let stream = completion.stream;
    let job = match build_job(shared, request, completion, extension, format, sender) {
        Ok(job) => job,
        Err(response) => return *response,
    };
    let (text, target_tokens, prompt_tokens) =
        (job.text.clone(), job.target_tokens, job.prompt_tokens);
    if !lock(&shared.core).submit(job) {
        return crate::util::aborted_response();
    }
    shared.work.notify_one();
    if stream {
        return HttpResponse::Ok()
            .content_type("text/event-stream")
            .insert_header((headers::ATTEMPT_ID, text.attempt))
            .streaming(body_stream(receiver));
    }
    match wait_for_end(receiver).await {
        true => HttpResponse::Ok()
            .insert_header((headers::ATTEMPT_ID, text.attempt.clone()))
            .json(text.document(target_tokens, prompt_tokens)),
        false => crate::util::aborted_response(),
    }
}

fn build_job(
    shared: &Shared,
    request: &HttpRequest,
    completion: CompletionRequest,
    extension: EngineExtension,
    format: AnswerFormat,
    sender: mpsc::UnboundedSender<StreamItem>,
) -> Result<BatchJob, Box<HttpResponse>> {
    let prompt = match format {
        AnswerFormat::Text => completion.prompt.unwrap_or_default(),
        AnswerFormat::Chat => json!(completion.messages.unwrap_or_default()).to_string(),
    };
    let core = lock(&shared.core);
    let model = completion.model;
    if !core.holds_model(&model) {
        let message = format!("model {model:?} is not loaded");
        return Err(Box::new(error(StatusCode::NOT_FOUND, "model_not_found", message)));
    }
    let wanted = header_number(request, headers::WEIGHTS_VERSION);
    let Some(version) = core.held_version(&model, wanted) else {
        let wanted = wanted.unwrap_or_default();
        let message = format!("weights version {wanted} of model {model:?} is not loaded");
        let response = error(StatusCode::CONFLICT, "weights_version_not_loaded", message);
        return Err(Box::new(response));
    };
    let target_tokens = completion.rest.get("target_tokens").and_then(Value::as_u64);
    let target_tokens = target_tokens.map(|tokens| tokens as u32).or(completion.max_tokens);
    let target_tokens = target_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS);
    let attempt = request.headers().get(headers::ATTEMPT_ID);
    let attempt = attempt.and_then(|value| value.to_str().ok()).unwrap_or("unnamed").to_string();
    let piece_tokens = extension.piece_hashes.len() * core.settings.piece_tokens as usize;
    let poison = core.faults.poison.as_ref();
    let offset = extension.resume_offset.min(target_tokens);
    Ok(BatchJob {
        arrival_number: 0,
        priority: extension.priority,
        crashes_engine: poison.is_some_and(|marker| prompt.contains(marker.as_str())),
        text: AnswerText { format, attempt, seed: answer_seed(&model, version, &prompt), model },
        sender,
        salt: hash_parts(&[extension.cache_salt.as_bytes()]),
        hashes: extension.piece_hashes,
        prompt_tokens: piece_tokens.max(prompt.len() / BYTES_PER_TOKEN) as u32,
        target_tokens,
        offset,
        sent_tokens: offset,
        endless_bytes: 0,
        remaining_prefill: None,
        hit_pieces: 0,
        first_chunk_sent: false,
    })
}

fn body_stream(
    receiver: mpsc::UnboundedReceiver<StreamItem>,
) -> impl futures::Stream<Item = io::Result<web::Bytes>> {
    stream::unfold(Some(receiver), |receiver| async {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(StreamItem::Chunk(bytes)) => Some((Ok(bytes), Some(receiver))),
            Some(StreamItem::End) => None,
            None => Some((Err(io::Error::from(io::ErrorKind::ConnectionReset)), None)),
        }
    })
}

/// Waits for the end of a completion. Returns whether it is complete.
async fn wait_for_end(mut receiver: mpsc::UnboundedReceiver<StreamItem>) -> bool {
    let mut done = false;
    while let Some(item) = receiver.recv().await {
        match item {
            StreamItem::Chunk(bytes) => done = bytes.ends_with(b"[DONE]\n\n"),
            StreamItem::End => return done,
        }
    }
    false
}

async fn cache_events(shared: Shared, query: web::Query<HashMap<String, String>>) -> HttpResponse {
    let after = query.get("after").and_then(|text| text.parse().ok());
    let (sender, receiver) = mpsc::unbounded_channel();
    lock(&shared.core).subscribe(sender, after);
    // The SSE comment makes actix send the response head at once.
    let opening = stream::once(async { Ok(web::Bytes::from_static(b": open\n\n")) });
    let events = stream::unfold(Some(receiver), |receiver| async {
        let mut receiver: mpsc::UnboundedReceiver<(Instant, _)> = receiver?;
        match receiver.recv().await {
            Some((due, event)) => {
                tokio::time::sleep_until(due.into()).await;
                Some((Ok(event_frame(&event)), Some(receiver)))
            }
            None => Some((Err(io::Error::from(io::ErrorKind::ConnectionReset)), None)),
        }
    });
    let body = futures::StreamExt::chain(opening, events);
    HttpResponse::Ok().content_type("text/event-stream").streaming(body)
}

async fn load(shared: Shared) -> HttpResponse {
    let mut core = lock(&shared.core);
    core.sample_load();
    HttpResponse::Ok().json(core.reported_load())
}

async fn cancel(shared: Shared, attempt: web::Path<String>) -> HttpResponse {
    let cancelled = lock(&shared.core).cancel(&attempt);
    HttpResponse::Ok().json(json!({"cancelled": cancelled}))
}

async fn state(shared: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&lock(&shared.core).state)
}

async fn order(
    shared: Shared,
    request: HttpRequest,
    order: web::Json<EngineOrder>,
) -> HttpResponse {
    let fencing = header_number(&request, headers::FENCING_NUMBER);
    let mut core = lock(&shared.core);
    if let Err(highest) = core.check_fencing(fencing) {
        let message = format!("fencing number is lower than {highest}");
        return error(StatusCode::PRECONDITION_FAILED, "stale_fencing_number", message);
    }
    let incarnation = core.state.incarnation;
    if let Some(wanted) = core.apply_order(order.into_inner()) {
        actix_rt::spawn(load_weights(shared.clone(), incarnation, wanted));
    }
    HttpResponse::Ok().json(&core.state)
}

async fn load_weights(shared: Shared, incarnation: u64, wanted: LoadedModel) {
    let (weights, real) = {
        let core = lock(&shared.core);
        (core.settings.weight_store, core.real_duration(core.settings.load_ms))
    };
    match weights {
        None => tokio::time::sleep(real).await,
        Some(addr) => {
            let url = format!("http://{addr}/weights/{}/{}", wanted.model, wanted.version);
            let answer = awc::Client::default().get(url).send().await;
            if !answer.as_ref().is_ok_and(|answer| answer.status().is_success()) {
                log::warn!("failed to load weights {} {}", wanted.model, wanted.version);
                lock(&shared.core).state.loading = false;
                return;
            }
        }
    }
    lock(&shared.core).finish_load(incarnation, wanted);
}

/// Pieces of KV cache that move between engines.
#[serde_as]
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
struct KvTransfer {
    #[serde(default)]
    cache_salt: String,
    #[serde_as(as = "Vec<DisplayFromStr>")]
    hashes: Vec<u64>,
}

/// Sleeps for as long as the transfer of this many pieces takes.
async fn simulate_transfer(shared: &Shared, pieces: usize) {
    let real = {
        let core = lock(&shared.core);
        let tokens = pieces as f64 * f64::from(core.settings.piece_tokens);
        core.real_duration(tokens * core.settings.transfer_ms_per_token)
    };
    tokio::time::sleep(real).await;
}

async fn export(shared: Shared, transfer: web::Json<KvTransfer>) -> HttpResponse {
    let KvTransfer { cache_salt, hashes } = transfer.into_inner();
    let salt = hash_parts(&[cache_salt.as_bytes()]);
    let hashes = lock(&shared.core).export(salt, &hashes);
    simulate_transfer(&shared, hashes.len()).await;
    HttpResponse::Ok().json(KvTransfer { cache_salt, hashes })
}

async fn import(shared: Shared, transfer: web::Json<KvTransfer>) -> HttpResponse {
    let KvTransfer { cache_salt, hashes } = transfer.into_inner();
    simulate_transfer(&shared, hashes.len()).await;
    let salt = hash_parts(&[cache_salt.as_bytes()]);
    lock(&shared.core).store_pieces(salt, &hashes);
    HttpResponse::Ok().json(json!({"imported": hashes.len()}))
}

async fn faults(shared: Shared, update: web::Json<FaultUpdate>) -> HttpResponse {
    shared.change_faults(&update);
    HttpResponse::Ok().json(json!({}))
}

async fn counters(shared: Shared) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared.core).counters)
}
