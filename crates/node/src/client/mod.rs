//! What clients send and receive: connections, requests, streams and responses.

pub(crate) mod body;
pub(crate) mod body_budget;
pub(crate) mod body_memory;
pub(crate) mod connection_bounds;
pub(crate) mod forward;
pub(crate) mod handlers;
pub mod headers;
pub(crate) mod ingress;
pub(crate) mod local_response;
pub(crate) mod relay;
pub(crate) mod request;
pub(crate) mod request_body;
pub(crate) mod request_context;
pub(crate) mod request_log;
pub(crate) mod responses;
pub(crate) mod stream_origin;
pub(crate) mod stream_query;
