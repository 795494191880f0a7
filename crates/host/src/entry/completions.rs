//! Serves `POST /v1/completions` and `POST /v1/chat/completions`.

use std::{sync::Arc, time::Duration};

use actix_web::{HttpRequest, HttpResponse, web};
use bytes::{Bytes, BytesMut};
use carobvane_core::{
    admission::RequestFeatures,
    ids::WeightsVersion,
    prefix::{ChainSalt, PrefixChain},
    suspects::{RequestSuspects, SuspectFingerprint},
};
use carobvane_proto::{engine::EngineExtension, headers, openai::CompletionRequest};
use futures::{StreamExt, stream::unfold};
use serde_json::{Map, Value};

use super::{
    active_lists::{ActiveLists, ClientWorkspace},
    error::{ApiError, ErrorCode},
    plans::ReservationGuard,
    relay::{RelayRequest, relay},
    routing::RouteQuery,
    shared::EntryShared,
    sink::{BodySink, StreamSink},
};
use crate::clock;

/// Longest time without data while a request body is read.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Limit on the tokens of an answer if the client sets none. Without a limit, no token units of the
/// plan could be reserved.
const DEFAULT_MAX_TOKENS: u32 = 4_096;

/// Maximum number of prompt parts of a request that are counted when a server crashes.
const MAX_SUSPECT_PARTS: usize = 64;

/// Registers the endpoints.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(text_completion))
        .route("/v1/chat/completions", web::post().to(chat_completion));
}

async fn text_completion(
    request: HttpRequest,
    body: web::Payload,
    shared: web::Data<EntryShared>,
    client: web::Data<awc::Client>,
) -> HttpResponse {
    respond_to_completion("/v1/completions", request, body, shared.into_inner(), &client).await
}

async fn chat_completion(
    request: HttpRequest,
    body: web::Payload,
    shared: web::Data<EntryShared>,
    client: web::Data<awc::Client>,
) -> HttpResponse {
    respond_to_completion("/v1/chat/completions", request, body, shared.into_inner(), &client).await
}

async fn respond_to_completion(
    path: &'static str,
    request: HttpRequest,
    body: web::Payload,
    shared: Arc<EntryShared>,
    client: &awc::Client,
) -> HttpResponse {
    let id = shared.request_id(&request);
    let mut response = match serve_completion(path, &id, request, body, shared, client).await {
        Ok(response) => response,
        Err(error) => {
            log::info!(request = id, code = error.code.as_str(), outcome = error.outcome.as_str();
                "request refused");
            actix_web::ResponseError::error_response(&error)
        }
    };
    if let Ok(value) = id.parse() {
        let name = actix_web::http::header::HeaderName::from_static(headers::REQUEST_ID);
        response.headers_mut().insert(name, value);
    }
    response
}

async fn serve_completion(
    path: &'static str,
    id: &str,
    request: HttpRequest,
    body: web::Payload,
    shared: Arc<EntryShared>,
    client: &awc::Client,
) -> Result<HttpResponse, ApiError> {
    let (lists, workspace) = shared.authenticate(&request)?;
    let body = read_body(body, shared.settings.max_body_bytes).await?;
    let completion: CompletionRequest = parse_body(&body)?;
    check_model(&lists, &workspace, &completion.model)?;
    let is_chat = path == "/v1/chat/completions";
    let include_usage = completion.stream_options.is_some_and(|options| options.include_usage);
    let prompt = prompt_text(&completion)?;
    let tokens = reserved_tokens(&shared, &prompt, completion.max_tokens);
    let reservation = shared.plans.admit(&workspace, tokens, completion.stream).await?;
    let admitted = (workspace, prompt, reservation);
    let relay_request =
        build_relay_request(path, id, &shared, lists, admitted, &completion, &body)?;
    if completion.stream {
        let (sink, head) = StreamSink::new(include_usage);
        actix_rt::spawn(relay(shared, client.clone(), relay_request, sink));
        let receiver = head.await.map_err(|_| relay_ended_error())??;
        let stream = unfold(receiver, |mut receiver| async move {
            receiver.recv().await.map(|data| (Ok::<Bytes, actix_web::Error>(data), receiver))
        });
        return Ok(HttpResponse::Ok()
            .content_type("text/event-stream")
            .insert_header(("cache-control", "no-cache"))
            .streaming(stream));
    }
    let (sink, answer) = BodySink::new(is_chat);
    actix_rt::spawn(relay(shared, client.clone(), relay_request, sink));
    Ok(HttpResponse::Ok().json(answer.await.map_err(|_| relay_ended_error())??))
}

fn relay_ended_error() -> ApiError {
    ApiError::unknown(ErrorCode::BackendFailed, "the request ended without a response")
}

fn build_relay_request(
    path: &'static str,
    id: &str,
    shared: &EntryShared,
    lists: Arc<ActiveLists>,
    (workspace, prompt, reservation): (ClientWorkspace, String, ReservationGuard),
    completion: &CompletionRequest,
    body: &[u8],
) -> Result<RelayRequest, ApiError> {
    let request = SuspectFingerprint::new(&workspace.name, body);
    let parts = prompt_parts(completion, &prompt, shared.settings.piece_bytes);
    let suspects = RequestSuspects::new(request, parts);
    let mut body: Map<String, Value> = parse_body(body)?;
    let weights_version = lists.weights_version(&completion.model);
    let query = route_query(shared, &lists, &workspace, completion, weights_version, &prompt);
    let salt = ChainSalt::new(&workspace.name, &completion.model, WeightsVersion(weights_version));
    let extension = EngineExtension {
        priority: query.work.engine_priority(),
        cache_salt: salt.to_text(),
        piece_hashes: query.chain.pieces().iter().map(|piece| piece.as_raw()).collect(),
        ..Default::default()
    };
    body.insert("stream".to_string(), true.into());
    body.insert("stream_options".to_string(), serde_json::json!({ "include_usage": true }));
    if completion.max_tokens.is_none() {
        body.insert("max_tokens".to_string(), DEFAULT_MAX_TOKENS.into());
    }
    Ok(RelayRequest {
        id: id.to_string(),
        workspace: workspace.name,
        model: completion.model.clone(),
        path,
        body,
        suspects,
        extension,
        weights_version,
        query,
        lists,
        reservation,
    })
}

/// Estimates the tokens of a prompt from its length and the size of a piece in bytes and tokens.
fn prompt_tokens(shared: &EntryShared, prompt: &str) -> u64 {
    let tokens = prompt.len() as u64 * u64::from(shared.settings.piece_tokens);
    tokens.div_ceil(shared.settings.piece_bytes as u64)
}

/// Returns the tokens to reserve for a request. Those it does not use are returned at its end.
fn reserved_tokens(shared: &EntryShared, prompt: &str, max_tokens: Option<u32>) -> u64 {
    prompt_tokens(shared, prompt) + u64::from(max_tokens.unwrap_or(DEFAULT_MAX_TOKENS))
}

fn route_query(
    shared: &EntryShared,
    lists: &ActiveLists,
    workspace: &ClientWorkspace,
    completion: &CompletionRequest,
    weights_version: u64,
    prompt: &str,
) -> RouteQuery {
    let settings = &shared.settings;
    let salt = ChainSalt::new(&workspace.name, &completion.model, WeightsVersion(weights_version));
    let chain = PrefixChain::from_prompt(&salt, prompt.as_bytes(), settings.piece_bytes);
    let plan = lists.document.plans.get(&workspace.plan);
    let mut routing = shared.routing();
    let mut features = RequestFeatures {
        workspace: routing.workspace_key(&workspace.name),
        prompt_tokens: prompt_tokens(shared, prompt).try_into().unwrap_or(u32::MAX),
        cached_tokens: 0,
        max_tokens: completion.max_tokens,
    };
    let work = routing.predict_work(clock::now(), &chain, &mut features);
    RouteQuery {
        model: completion.model.clone(),
        weights_version,
        chain,
        features,
        work,
        weight: plan.map_or(1, |plan| plan.weight.max(1)) as f32,
        exclusive: false,
    }
}

/// Returns the text whose pieces engines cache: the prompt, or all messages with their roles.
fn prompt_text(completion: &CompletionRequest) -> Result<String, ApiError> {
    if let Some(prompt) = &completion.prompt {
        return Ok(prompt.clone());
    }
    let messages = completion.messages.as_ref().ok_or_else(|| {
        ApiError::not_run(ErrorCode::InvalidBody, "prompt or messages is required")
            .with_param("messages")
    })?;
    let mut text = String::new();
    for message in messages {
        text.push_str(&message.role);
        text.push('\n');
        match &message.content {
            Value::String(content) => text.push_str(content),
            other => text.push_str(&other.to_string()),
        }
        text.push('\n');
    }
    Ok(text)
}

/// Returns the parts of a prompt that other requests may share: all messages and all pieces of the
/// text but the last, which belong to the request itself.
fn prompt_parts(
    completion: &CompletionRequest,
    prompt: &str,
    piece_bytes: usize,
) -> Vec<SuspectFingerprint> {
    let pieces: Vec<&[u8]> = prompt.as_bytes().chunks(piece_bytes.max(1)).collect();
    let shared_pieces = pieces.split_last().map_or(&[][..], |(_, shared)| shared);
    let piece_parts = shared_pieces.iter().map(|piece| SuspectFingerprint::of_part_text(piece));
    let messages = completion.messages.as_deref().unwrap_or_default();
    let shared_messages = messages.split_last().map_or(&[][..], |(_, shared)| shared);
    let message_parts = shared_messages
        .iter()
        .map(|message| SuspectFingerprint::of_part_text(message.content.to_string().as_bytes()));
    message_parts.chain(piece_parts).take(MAX_SUSPECT_PARTS).collect()
}

fn check_model(
    lists: &ActiveLists,
    workspace: &ClientWorkspace,
    model: &str,
) -> Result<(), ApiError> {
    let granted = lists.grant(workspace).is_some_and(|grant| grant.models.contains(model));
    if granted && !lists.engines(model).is_empty() {
        return Ok(());
    }
    // The message is the same in both cases, so that a workspace cannot find out which models
    // others use.
    let message = format!("model {model:?} does not exist or the plan may not use it");
    Err(ApiError::not_run(ErrorCode::ModelNotFound, message).with_param("model"))
}

fn parse_body<T: serde::de::DeserializeOwned>(body: &[u8]) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|error| {
        ApiError::not_run(ErrorCode::InvalidBody, format!("failed to read the body: {error}"))
    })
}

/// Reads a request body of up to `limit` bytes.
///
/// # Errors
///
/// Fails if the body is too large, broken or stalled.
pub async fn read_body(mut body: web::Payload, limit: usize) -> Result<Bytes, ApiError> {
    let mut bytes = BytesMut::new();
    loop {
        let part = match tokio::time::timeout(BODY_TIMEOUT, body.next()).await {
            Ok(Some(Ok(part))) => part,
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Err(error))) => {
                let message = format!("failed to read the body: {error}");
                return Err(ApiError::not_run(ErrorCode::InvalidBody, message));
            }
            Err(_) => {
                let message = format!("no data of the body arrived for {BODY_TIMEOUT:?}");
                return Err(ApiError::not_run(ErrorCode::BodyTimeout, message));
            }
        };
        if bytes.len() + part.len() > limit {
            let message = format!("the body is larger than {limit} bytes");
            return Err(ApiError::not_run(ErrorCode::BodyTooLarge, message));
        }
        bytes.extend_from_slice(&part);
    }
}
