//! Error responses to clients: the OpenAI format with a stable code, and whether the request ran.

use std::{fmt, time::Duration};

use actix_web::{
    HttpResponse, ResponseError,
    http::{StatusCode, header},
};
use carobvane_proto::{
    headers,
    openai::{ErrorBody, ErrorDetail, RunOutcome},
};

/// Stable error codes. Clients depend on their texts, which are documented in `docs/protocols.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorCode {
    /// The body is not the JSON that the endpoint expects, or a parameter is invalid.
    InvalidBody,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// No bearer key was sent, or it belongs to no workspace.
    InvalidKey,
    /// The model does not exist, or the plan may not use it.
    ModelNotFound,
    /// The service does not exist, or the plan may not use it.
    ServiceNotFound,
    /// A limit of the plan is reached.
    LimitReached,
    /// The request could not start in time, or too many permits are outstanding.
    Overloaded,
    /// No backend server can accept the request now.
    NoServer,
    /// This entry has not received its lists yet.
    NotReady,
    /// This entry is draining; another one must be used.
    Draining,
    /// The backend server failed after the request may have been sent.
    BackendFailed,
    /// The stream broke after part of the answer was delivered, and could not be resumed.
    StreamBroken,
    /// The idempotency key was used for a call with another body.
    IdempotencyMismatch,
    /// The idempotency key or the permit belongs to a call whose result is unknown.
    ResultUnknown,
    /// A non-idempotent call has neither an idempotency key nor a permit.
    IdempotencyKeyMissing,
    /// The permit was not issued by this fleet to this workspace.
    PermitInvalid,
    /// Claims cannot be written now, so a non-idempotent call is not started.
    RecordUnavailable,
    /// The request has crashed backend servers and is not run again.
    CrashesServers,
}

impl ErrorCode {
    /// Returns the code as it appears in the error body.
    pub fn as_str(self) -> &'static str {
        match self {
            ErrorCode::InvalidBody => "invalid_body",
            ErrorCode::BodyTooLarge => "body_too_large",
            ErrorCode::BodyTimeout => "body_timeout",
            ErrorCode::InvalidKey => "invalid_api_key",
            ErrorCode::ModelNotFound => "model_not_found",
            ErrorCode::ServiceNotFound => "service_not_found",
            ErrorCode::LimitReached => "rate_limit_exceeded",
            ErrorCode::Overloaded => "overloaded",
            ErrorCode::NoServer => "no_server",
            ErrorCode::NotReady => "not_ready",
            ErrorCode::Draining => "draining",
            ErrorCode::BackendFailed => "backend_failed",
            ErrorCode::StreamBroken => "stream_broken",
            ErrorCode::IdempotencyMismatch => "idempotency_mismatch",
            ErrorCode::ResultUnknown => "result_unknown",
            ErrorCode::IdempotencyKeyMissing => "idempotency_key_missing",
            ErrorCode::PermitInvalid => "permit_invalid",
            ErrorCode::RecordUnavailable => "record_unavailable",
            ErrorCode::CrashesServers => "request_crashes_servers",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            ErrorCode::InvalidBody
            | ErrorCode::IdempotencyKeyMissing
            | ErrorCode::PermitInvalid => StatusCode::BAD_REQUEST,
            ErrorCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ErrorCode::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            ErrorCode::InvalidKey => StatusCode::UNAUTHORIZED,
            ErrorCode::ModelNotFound | ErrorCode::ServiceNotFound => StatusCode::NOT_FOUND,
            ErrorCode::LimitReached => StatusCode::TOO_MANY_REQUESTS,
            ErrorCode::Overloaded
            | ErrorCode::NoServer
            | ErrorCode::NotReady
            | ErrorCode::RecordUnavailable => StatusCode::SERVICE_UNAVAILABLE,
            ErrorCode::Draining => StatusCode::TEMPORARY_REDIRECT,
            ErrorCode::BackendFailed | ErrorCode::StreamBroken => StatusCode::BAD_GATEWAY,
            ErrorCode::IdempotencyMismatch | ErrorCode::CrashesServers => {
                StatusCode::UNPROCESSABLE_ENTITY
            }
            ErrorCode::ResultUnknown => StatusCode::CONFLICT,
        }
    }

    fn kind(self) -> &'static str {
        match self.status() {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        }
    }
}

/// An error response to a client.
#[derive(Debug, Clone)]
pub struct ApiError {
    /// Stable code, which also decides the HTTP status.
    pub code: ErrorCode,
    /// Explanation for a person. Never contains a prompt or a key.
    pub message: String,
    /// Name of the invalid parameter or of the limit that was reached.
    pub param: Option<String>,
    /// Whether the request ran, which tells the client whether it is safe to repeat.
    pub outcome: RunOutcome,
    /// Delay before the client should repeat the request, sent as `Retry-After`.
    pub retry_after: Option<Duration>,
    /// URL of another entry to use, sent as `Location`.
    pub location: Option<String>,
}

impl ApiError {
    /// Creates the error of a request that provably did not run.
    pub fn not_run(code: ErrorCode, message: impl Into<String>) -> ApiError {
        ApiError {
            code,
            message: message.into(),
            param: None,
            outcome: RunOutcome::NotRun,
            retry_after: None,
            location: None,
        }
    }

    /// Creates the error of a request that may have run.
    pub fn unknown(code: ErrorCode, message: impl Into<String>) -> ApiError {
        ApiError { outcome: RunOutcome::OutcomeUnknown, ..ApiError::not_run(code, message) }
    }

    /// Sets the invalid parameter or the limit that was reached.
    pub fn with_param(mut self, param: &str) -> ApiError {
        self.param = Some(param.to_string());
        self
    }

    /// Sets the delay before the client should repeat the request.
    pub fn with_retry_after(mut self, delay: Duration) -> ApiError {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the JSON body of the response.
    pub fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                message: self.message.clone(),
                r#type: self.code.kind().to_string(),
                code: self.code.as_str().to_string(),
                param: self.param.clone(),
                outcome: self.outcome,
            },
        }
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code.as_str(), self.message)
    }
}

impl std::error::Error for ApiError {}

impl ResponseError for ApiError {
    fn status_code(&self) -> StatusCode {
        self.code.status()
    }

    fn error_response(&self) -> HttpResponse {
        let mut response = HttpResponse::build(self.status_code());
        response.insert_header((headers::OUTCOME, self.outcome.as_str()));
        if let Some(delay) = self.retry_after {
            // Whole seconds, rounded up: a client that comes back too early would be refused again.
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            response.insert_header((header::RETRY_AFTER, seconds.to_string()));
        }
        if let Some(location) = &self.location {
            response.insert_header((header::LOCATION, location.clone()));
        }
        response.json(self.body())
    }
}
