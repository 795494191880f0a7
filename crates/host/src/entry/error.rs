//! Errors towards callers: the OpenAI shape, a stable code, and whether the request ran.

use std::{fmt, time::Duration};

use actix_web::{
    HttpResponse, ResponseError,
    http::{StatusCode, header},
};
use carobvane_proto::{
    headers,
    openai::{ErrorBody, ErrorDetail, RunOutcome},
};

/// Stable codes of errors; the names stand in `docs/protocols.md`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorCode {
    /// The body is not the JSON that the endpoint takes.
    InvalidBody,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// No bearer key was sent, or no workspace has it.
    InvalidKey,
    /// The model does not exist or the plan may not use it.
    ModelNotFound,
    /// The service does not exist or the plan may not use it.
    ServiceNotFound,
    /// A limit of the plan is used up.
    LimitReached,
    /// The request could not start in time.
    Overloaded,
    /// No backend server can take the request now.
    NoServer,
    /// This entry holds no lists yet.
    NotReady,
    /// This entry is draining; use another.
    Draining,
    /// The backend server failed after the request had been sent.
    BackendFailed,
    /// The answer broke off and could not be resumed.
    StreamBroken,
    /// The idempotency key was used with another body.
    IdempotencyMismatch,
    /// The idempotency key names a call whose result is not known.
    ResultUnknown,
    /// A non-idempotent call needs an idempotency key or a permit.
    IdempotencyKeyMissing,
    /// The permit was not issued by this fleet for this workspace.
    PermitInvalid,
    /// Calls cannot be recorded now, so a non-idempotent call is not started.
    RecordUnavailable,
    /// The request has crashed backend servers.
    CrashesServers,
}

impl ErrorCode {
    /// The code in the error body.
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

/// An error answer to a caller.
#[derive(Debug, Clone)]
pub struct ApiError {
    /// The stable code.
    pub code: ErrorCode,
    /// What went wrong, for a person. Never contains a prompt or a key.
    pub message: String,
    /// The parameter at fault.
    pub param: Option<String>,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// When to ask again.
    pub retry_after: Option<Duration>,
    /// Another entry to use.
    pub location: Option<String>,
}

impl ApiError {
    /// An error of a request of which no byte has left this entry.
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

    /// An error of a request that may have run.
    pub fn unknown(code: ErrorCode, message: impl Into<String>) -> ApiError {
        ApiError { outcome: RunOutcome::OutcomeUnknown, ..ApiError::not_run(code, message) }
    }

    /// Names the parameter at fault.
    pub fn with_param(mut self, param: &str) -> ApiError {
        self.param = Some(param.to_string());
        self
    }

    /// Says when to ask again.
    pub fn with_retry_after(mut self, delay: Duration) -> ApiError {
        self.retry_after = Some(delay);
        self
    }

    /// The body of the answer.
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
            // Whole seconds, rounded up: a caller that comes back early would be refused again.
            let seconds = delay.as_millis().div_ceil(1_000).max(1);
            response.insert_header((header::RETRY_AFTER, seconds.to_string()));
        }
        if let Some(location) = &self.location {
            response.insert_header((header::LOCATION, location.clone()));
        }
        response.json(self.body())
    }
}
