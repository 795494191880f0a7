//! Calls to plain services under `/v1/services/{service}/{path}`.

use std::{sync::Arc, time::Duration};

use actix_web::{HttpRequest, HttpResponse, http::Method, web};
use bytes::Bytes;
use carobvane_proto::headers;

use super::{
    active::ActiveLists,
    completions::read_body,
    error::{CallerError, ErrorCode},
    shared::EntryShared,
};

/// Longest time for a call to a plain service.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest answer of a plain service, in bytes.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Headers that belong to one connection and are not passed on.
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
    "host",
];

/// Adds the endpoint.
pub fn configure(config: &mut web::ServiceConfig) {
    config.route("/v1/services/{service}/{path:.*}", web::route().to(call_service));
}

async fn call_service(
    request: HttpRequest,
    path: web::Path<(String, String)>,
    body: web::Payload,
    shared: web::Data<EntryShared>,
    client: web::Data<awc::Client>,
) -> Result<HttpResponse, CallerError> {
    let shared = shared.into_inner();
    let (service, path) = path.into_inner();
    let id = shared.request_id(&request);
    let (lists, workspace) = shared.admit(&request)?;
    let granted = lists.grant(&workspace).is_some_and(|grant| grant.services.contains(&service));
    if !granted || lists.services(&service).is_empty() {
        let message = format!("service {service:?} does not exist or the plan may not use it");
        return Err(CallerError::not_run(ErrorCode::ServiceNotFound, message));
    }
    let body = read_body(body, shared.settings.max_body_bytes).await?;
    if !is_idempotent(request.method()) {
        return Err(CallerError::not_run(
            ErrorCode::RecordUnavailable,
            "calls that must not be repeated cannot be recorded",
        ));
    }
    let _ticket = shared.plans.admit(&workspace, 0, false).await?;
    let _guard = shared.begin_request();
    forward(&shared, &lists, &service, &path, &id, &request, body, &client).await
}

fn is_idempotent(method: &Method) -> bool {
    [Method::GET, Method::HEAD, Method::OPTIONS, Method::PUT, Method::DELETE].contains(method)
}

#[allow(clippy::too_many_arguments)]
async fn forward(
    shared: &Arc<EntryShared>,
    lists: &ActiveLists,
    service: &str,
    path: &str,
    id: &str,
    request: &HttpRequest,
    body: Bytes,
    client: &awc::Client,
) -> Result<HttpResponse, CallerError> {
    let server = shared.pool().choose(lists.services(service), &[]).map(str::to_string);
    let target = server.as_deref().and_then(|name| lists.server(name)).ok_or_else(|| {
        CallerError::not_run(ErrorCode::NoServer, "no backend server runs the service")
    })?;
    let query = request.query_string();
    let separator = if query.is_empty() { "" } else { "?" };
    let url = format!("http://{}/{path}{separator}{query}", target.address);
    log::info!(request = id, service, server = server.as_deref().unwrap_or_default(); "routed");
    let mut sending = client.request(request.method().clone(), url).timeout(SERVICE_TIMEOUT);
    for (name, value) in request.headers() {
        let hidden = name == "authorization" || CONNECTION_HEADERS.contains(&name.as_str());
        if !hidden {
            sending = sending.append_header((name.clone(), value.clone()));
        }
    }
    sending = sending.insert_header((headers::REQUEST_ID, id));
    let mut response = sending.send_body(body).await.map_err(|error| match error {
        awc::error::SendRequestError::Connect(error) => {
            CallerError::not_run(ErrorCode::NoServer, format!("failed to connect: {error}"))
        }
        error => CallerError::unknown(ErrorCode::BackendFailed, error.to_string()),
    })?;
    let answer = response
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|error| CallerError::unknown(ErrorCode::BackendFailed, error.to_string()))?;
    let mut reply = HttpResponse::build(response.status());
    for (name, value) in response.headers() {
        if !CONNECTION_HEADERS.contains(&name.as_str()) {
            reply.append_header((name.clone(), value.clone()));
        }
    }
    Ok(reply.insert_header((headers::REQUEST_ID, id)).body(answer))
}
