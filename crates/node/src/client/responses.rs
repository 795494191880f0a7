//! Responses that the node generates itself.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};

use crate::client::body::ResponseBody;

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> Response<ResponseBody> {
    with_body(status, ResponseBody::whole(""))
}

/// Returns an error response that names its cause by a code. `retry_after` says after what time the
/// client may retry.
pub fn failure(
    status: StatusCode,
    code: &'static str,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let body = serde_json::json!({ "error": { "code": code } }).to_string();
    let mut response = with_body(status, ResponseBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(wait) = retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            response.headers_mut().insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// Returns a response with a JSON document.
pub fn json(body: impl Into<bytes::Bytes>) -> Response<ResponseBody> {
    let mut response = with_body(StatusCode::OK, ResponseBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn with_body(status: StatusCode, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}
