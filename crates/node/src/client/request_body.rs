//! Reads the bodies of client requests.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::local_response::LocalResponse;

/// Reads the client's request body. A request whose body did not arrive in full has not run.
pub async fn read_body(
    id: &str,
    body: Incoming,
    max_bytes: usize,
    within: Duration,
) -> Result<Bytes, LocalResponse> {
    match timeout(within, Limited::new(body, max_bytes).collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => {
            Err(LocalResponse::Refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"))
        }
        Ok(Err(cause)) => {
            log::info!(request = id, cause:% = cause; "failed to read a request's body");
            Err(LocalResponse::Refused(StatusCode::BAD_REQUEST, "body_unreadable"))
        }
        Err(_) => Err(LocalResponse::Refused(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    }
}
