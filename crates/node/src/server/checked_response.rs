//! Checks that a response answers the request that was sent, before anything else is done with it.
//!
//! A faulty server may send a response twice, damaged, or in the place of another one. Responses to
//! clients are made from a [`CheckedHead`] only, whole or streamed, at the first attempt or a later one.

use std::{fmt, time::Duration};

use http::{HeaderMap, Response, StatusCode};
use hyper::body::Incoming;

use crate::{
    adapter::{ResponseInfo, ServerAdapter},
    client::{
        body::ResponseBody,
        headers::{client_headers, has_explicit_end, keep_alive_timeout},
    },
    server::attempt::Attempt,
};

/// Highest status code of HTTP. The parser accepts three digits that do not begin with zero.
const MAX_STATUS: u16 = 599;

/// Why a response does not answer the request. The request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseError {
    /// It carries the id of another request, or none.
    OtherRequest,
    /// It is a success without the server's signature.
    Unsigned,
    /// It is a success that claims not to have run the request.
    Contradictory,
    /// Its status is none of HTTP.
    UnknownStatus,
}

impl fmt::Display for ResponseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ResponseError::OtherRequest => "response to another request",
            ResponseError::Unsigned => "successful response without a signature",
            ResponseError::UnknownStatus => "response with a status outside of HTTP",
            ResponseError::Contradictory => "successful response to a request that did not run",
        })
    }
}

impl std::error::Error for ResponseError {}

/// Head of a response that answers the request that was sent.
#[derive(Debug, Clone)]
pub struct CheckedHead {
    /// Invariant: a status of HTTP, and not a success if the response is unsigned or says that the request
    /// did not run.
    status: StatusCode,
    headers: HeaderMap,
    /// Invariant: a server's response carries the id of the request.
    info: ResponseInfo,
}

/// A streamed response whose head was checked and whose body is still to be forwarded.
#[derive(Debug)]
pub struct ServerStream {
    /// Head of the response. Invariant: a success.
    pub head: CheckedHead,
    /// Body of the response.
    pub body: Incoming,
    /// The attempt that the response belongs to.
    pub attempt: Box<Attempt>,
}

impl CheckedHead {
    /// Checks a server's response to the request `request_id`, and separates its body.
    pub fn of_server<A: ServerAdapter>(
        response: Response<Incoming>,
        request_id: &str,
    ) -> Result<(CheckedHead, Incoming), ResponseError> {
        let (head, body) = CheckedHead::decode::<A>(response);
        if head.info.request_id.as_deref() != Some(request_id) {
            return Err(ResponseError::OtherRequest);
        }
        Ok((head.check_status()?, body))
    }

    /// Checks the response of another node to which the request `request_id` was passed on, and
    /// separates its body. A failure that the node generated itself carries no id.
    pub fn of_node<A: ServerAdapter>(
        response: Response<Incoming>,
        request_id: &str,
    ) -> Result<(CheckedHead, Incoming), ResponseError> {
        let (head, body) = CheckedHead::decode::<A>(response);
        let is_local = head.info.request_id.is_none() && !head.is_success();
        if !is_local && head.info.request_id.as_deref() != Some(request_id) {
            return Err(ResponseError::OtherRequest);
        }
        Ok((head.check_status()?, body))
    }

    fn decode<A: ServerAdapter>(response: Response<Incoming>) -> (CheckedHead, Incoming) {
        let info = A::decode_response(response.status(), response.headers());
        let (parts, body) = response.into_parts();
        (CheckedHead { status: parts.status, headers: parts.headers, info }, body)
    }

    fn check_status(self) -> Result<CheckedHead, ResponseError> {
        if self.status.as_u16() > MAX_STATUS {
            return Err(ResponseError::UnknownStatus);
        }
        match self.is_success() {
            true if self.info.not_run => Err(ResponseError::Contradictory),
            true if !self.info.signed => Err(ResponseError::Unsigned),
            _ => Ok(self),
        }
    }

    /// What the head says.
    pub fn info(&self) -> &ResponseInfo {
        &self.info
    }

    /// Status of the response.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Whether the server has run the request to a good end, or has begun a stream.
    pub fn is_success(&self) -> bool {
        self.status.is_success()
    }

    /// Whether the server states that it did not run the request.
    pub fn is_rejection(&self) -> bool {
        self.info.not_run || self.status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Returns how long the server keeps the idle connection open, if it says so.
    pub fn keep_alive(&self) -> Option<Duration> {
        keep_alive_timeout(&self.headers)
    }

    /// Whether the end of the body can be told from the end of its connection.
    pub fn has_explicit_end(&self) -> bool {
        has_explicit_end(&self.headers)
    }

    /// Builds the response to the client.
    pub fn client_response(&self, body: ResponseBody) -> Response<ResponseBody> {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = client_headers(&self.headers);
        response
    }
}
