//! One call to a plain service, with its response.

use std::{sync::Arc, time::Duration};

use actix_web::{
    HttpRequest, HttpResponse,
    http::{
        Method, StatusCode,
        header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue},
    },
};
use bytes::Bytes;
use carobvane_core::claims::StoredResponse;
use carobvane_proto::{headers, openai::RunOutcome};

use super::{active_lists::ActiveLists, send_error::is_not_sent, shared::EntryShared};

/// Timeout for a call to a plain service.
pub const SERVICE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest response body of a plain service, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Most servers that are tried for a call, as long as none has accepted it.
const MAX_SERVERS_TRIED: usize = 3;
/// Headers that are not forwarded, because they belong to one connection or to the router.
const UNFORWARDED_HEADERS: [&str; 10] = [
    "authorization",
    "connection",
    "keep-alive",
    "transfer-encoding",
    "te",
    "trailer",
    "upgrade",
    "content-length",
    "host",
    headers::PERMIT,
];

/// A call with everything it needs from the client's request, so that it can outlive the
/// connection.
pub struct ServiceCall {
    /// Id of the request.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Path and query string at the service.
    pub path: String,
    /// HTTP method.
    pub method: Method,
    /// Complete request body.
    pub body: Bytes,
    headers: Vec<(HeaderName, HeaderValue)>,
    lists: Arc<ActiveLists>,
}

/// The response of a service.
pub struct ServiceResponse {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

/// Why a call has no response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallFailure {
    /// No byte of the call was sent, or the server reported that it did not run. Contains the
    /// reason.
    NotRun(String),
    /// The call may have run. Contains the error.
    Unknown(String),
}

impl ServiceCall {
    /// Creates a call from a client's request, without the headers that are not forwarded.
    pub fn new(
        id: String,
        service: String,
        path: &str,
        request: &HttpRequest,
        body: Bytes,
        lists: Arc<ActiveLists>,
    ) -> ServiceCall {
        let query = request.query_string();
        let separator = if query.is_empty() { "" } else { "?" };
        let headers = request.headers().iter().filter(|(name, _)| is_forwarded(name));
        ServiceCall {
            id,
            service,
            path: format!("/{path}{separator}{query}"),
            method: request.method().clone(),
            body,
            headers: headers.map(|(name, value)| (name.clone(), value.clone())).collect(),
            lists,
        }
    }

    /// Sends the call to the least loaded server, and to another one as long as none has accepted
    /// it.
    ///
    /// # Errors
    ///
    /// Distinguishes a call that did not run from one that may have run.
    pub async fn run(
        &self,
        shared: &EntryShared,
        client: &awc::Client,
    ) -> Result<ServiceResponse, CallFailure> {
        let mut excluded = Vec::new();
        let mut refusal = "no backend server runs the service".to_string();
        for _ in 0..MAX_SERVERS_TRIED {
            let chosen = shared.pool().choose_least_loaded(&self.lists, &self.service, &excluded);
            let Some(server) = chosen.map(str::to_string) else { break };
            log::info!(request = self.id, service = self.service, server = server; "routed");
            shared.pool().begin_request(&server);
            let result = self.send(client, &server).await;
            shared.pool().end_request(&server);
            match result {
                Err(CallFailure::NotRun(message)) => refusal = message,
                result => return result,
            }
            excluded.push(server);
        }
        Err(CallFailure::NotRun(refusal))
    }

    async fn send(
        &self,
        client: &awc::Client,
        server: &str,
    ) -> Result<ServiceResponse, CallFailure> {
        let target = self.lists.server(server).ok_or_else(|| {
            CallFailure::NotRun("the server is no longer in the lists".to_string())
        })?;
        let url = format!("http://{}{}", target.address, self.path);
        let mut sending = client.request(self.method.clone(), url).timeout(SERVICE_TIMEOUT);
        for (name, value) in &self.headers {
            sending = sending.append_header((name.clone(), value.clone()));
        }
        sending = sending.insert_header((headers::REQUEST_ID, self.id.as_str()));
        let sent = sending.send_body(self.body.clone()).await;
        let mut response = sent.map_err(|error| {
            if is_not_sent(&error) {
                CallFailure::NotRun(format!("failed to connect: {error}"))
            } else {
                CallFailure::Unknown(error.to_string())
            }
        })?;
        let unknown = |error: awc::error::PayloadError| CallFailure::Unknown(error.to_string());
        let body = response.body().limit(MAX_RESPONSE_BYTES).await.map_err(unknown)?;
        // awc takes a connection that closes in the middle of a body for the end of the body, so
        // the length is compared.
        let length = response.headers().get(CONTENT_LENGTH).and_then(|text| text.to_str().ok());
        let has_body = self.method != Method::HEAD;
        if has_body && length.is_some_and(|length| length.parse() != Ok(body.len())) {
            return Err(CallFailure::Unknown(
                "the response ended before its content length".to_string(),
            ));
        }
        let outcome = response.headers().get(headers::OUTCOME).and_then(|text| text.to_str().ok());
        if outcome == Some(RunOutcome::NotRun.as_str()) {
            return Err(CallFailure::NotRun(format!(
                "the server refused with status {}",
                response.status()
            )));
        }
        let headers = response.headers().iter().filter(|(name, _)| is_forwarded(name));
        let headers = headers.map(|(name, value)| (name.clone(), value.clone())).collect();
        Ok(ServiceResponse { status: response.status(), headers, body })
    }
}

fn is_forwarded(name: &HeaderName) -> bool {
    !UNFORWARDED_HEADERS.contains(&name.as_str())
}

impl ServiceResponse {
    /// Converts the response for the client.
    pub fn into_response(self) -> HttpResponse {
        let mut reply = HttpResponse::build(self.status);
        for header in self.headers {
            reply.append_header(header);
        }
        reply.body(self.body)
    }

    /// Converts the response for storage. Of the headers only the content type is stored.
    pub fn to_stored(&self) -> StoredResponse {
        let is_type = |(name, _): &&(HeaderName, HeaderValue)| name == CONTENT_TYPE;
        let content_type =
            self.headers.iter().find(is_type).and_then(|(_, value)| value.to_str().ok());
        StoredResponse {
            status: self.status.as_u16(),
            content_type: content_type.unwrap_or_default().to_string(),
            body: self.body.to_vec(),
        }
    }

    /// Restores a stored response.
    pub fn from_stored(stored: StoredResponse) -> ServiceResponse {
        let content_type = HeaderValue::from_str(&stored.content_type).ok();
        ServiceResponse {
            status: StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK),
            headers: content_type
                .filter(|value| !value.is_empty())
                .map(|value| (CONTENT_TYPE, value))
                .into_iter()
                .collect(),
            body: stored.body.into(),
        }
    }
}
