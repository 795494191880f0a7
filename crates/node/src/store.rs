//! The client of the platform's store.

use std::{cell::RefCell, fmt, marker::PhantomData, net::SocketAddr, time::Duration};

use http::{HeaderValue, Request, header};
use http_body_util::Full;

use crate::{
    channel::{ChannelError, HttpChannel},
    wire::{StoreCall, StoreError, StoreReply, StoreWire, WireQuery},
};

/// Longest time for opening a connection to the store.
const OPEN_TIME: Duration = Duration::from_millis(500);
/// Longest time for a call that does not wait.
pub const CALL_TIME: Duration = Duration::from_millis(1_000);
/// Most bytes of an answer.
const ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Connections that are kept between calls.
const KEPT_CHANNELS: usize = 2;

/// Why a call to the store brought no answer.
#[derive(Debug)]
pub enum StoreFailure {
    /// The store could not be asked, or did not answer.
    Channel(ChannelError),
    /// It answered with a failure.
    Answer(StoreError),
}

impl fmt::Display for StoreFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreFailure::Channel(cause) => cause.fmt(f),
            StoreFailure::Answer(StoreError::Busy(status)) => {
                write!(f, "turned away with {status}")
            }
            StoreFailure::Answer(StoreError::Unreadable(status)) => {
                write!(f, "failed to read an answer with status {status}")
            }
        }
    }
}

/// Calls the platform's store.
#[derive(Debug)]
pub struct StoreClient<W> {
    address: SocketAddr,
    idle: RefCell<Vec<HttpChannel>>,
    wire: PhantomData<W>,
}

impl<W: StoreWire> StoreClient<W> {
    /// Creates a client; connections are opened with the first call.
    pub fn new(address: SocketAddr) -> StoreClient<W> {
        StoreClient { address, idle: RefCell::default(), wire: PhantomData }
    }

    /// Makes one call and waits for its answer for at most `within`.
    pub async fn call(
        &self,
        call: &StoreCall,
        within: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let result = self.exchange(call, within).await;
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        metrics::counter!("carobvane_store_calls_total", "call" => kind(call), "outcome" => outcome)
            .increment(1);
        result
    }

    async fn exchange(
        &self,
        call: &StoreCall,
        within: Duration,
    ) -> Result<StoreReply, StoreFailure> {
        let request = self.request(W::write_store(call));
        let kept = self.take_idle();
        let mut channel = match kept {
            Some(channel) => channel,
            None => {
                HttpChannel::open(self.address, OPEN_TIME).await.map_err(StoreFailure::Channel)?
            }
        };
        let answer =
            channel.call(request, within, ANSWER_BYTES).await.map_err(StoreFailure::Channel)?;
        if channel.settle().await && self.idle.borrow().len() < KEPT_CHANNELS {
            self.idle.borrow_mut().push(channel);
        }
        W::read_store(call, answer.status(), answer.body()).map_err(StoreFailure::Answer)
    }

    fn take_idle(&self) -> Option<HttpChannel> {
        let mut idle = self.idle.borrow_mut();
        while let Some(channel) = idle.pop() {
            if channel.is_ready() {
                return Some(channel);
            }
        }
        None
    }

    fn request(&self, query: WireQuery) -> Request<Full<bytes::Bytes>> {
        build_request(query, self.address)
    }
}

/// Builds the HTTP request of a query of our own.
pub fn build_request(query: WireQuery, address: SocketAddr) -> Request<Full<bytes::Bytes>> {
    let has_body = !query.body.is_empty();
    let mut request = Request::new(Full::new(query.body));
    *request.method_mut() = query.method;
    *request.uri_mut() = query.target.parse().unwrap_or_default();
    let host = HeaderValue::from_str(&address.to_string());
    request.headers_mut().insert(header::HOST, host.unwrap_or(HeaderValue::from_static("node")));
    if has_body {
        let json = HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
    }
    request
}

fn kind(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Range { .. } => "range",
        StoreCall::Watch { .. } => "watch",
        StoreCall::Transact { .. } => "transact",
        StoreCall::Grant { .. } => "grant",
        StoreCall::Renew { .. } => "renew",
        StoreCall::Release { .. } => "release",
    }
}
