//! Client of the platform's store.

use std::{
    cell::{Cell, RefCell},
    fmt,
    marker::PhantomData,
    net::SocketAddr,
    time::Duration,
};

use http::{HeaderValue, Request, header};
use http_body_util::Full;

use crate::{
    adapter::{NamedEra, OutboundRequest, StoreAdapter, StoreCall, StoreError, StoreReply},
    server::connection::{ConnectionError, HttpConnection},
};

/// Timeout of opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of a call that does not wait for changes.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Maximum number of idle connections that are kept between calls.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Why a call to the store got no usable reply.
#[derive(Debug)]
pub enum StoreCallError {
    /// The store could not be reached, or did not respond.
    Connection(ConnectionError),
    /// The store responded with an error.
    Store(StoreError),
    /// The response is from before the store was restored from an older copy.
    EarlierEra {
        /// Era of the response.
        era: u64,
        /// Era that is known.
        known: u64,
    },
}

impl fmt::Display for StoreCallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreCallError::Connection(cause) => cause.fmt(f),
            StoreCallError::EarlierEra { era, known } => {
                write!(f, "response of era {era} of the store, era {known} is known")
            }
            StoreCallError::Store(StoreError::Busy(status)) => {
                write!(f, "store rejected the call with status {status}")
            }
            StoreCallError::Store(StoreError::Unreadable(status)) => {
                write!(f, "failed to read a reply with status {status}")
            }
        }
    }
}

/// Calls the platform's store over a few kept connections.
#[derive(Debug)]
pub struct StoreClient<A> {
    address: SocketAddr,
    idle: RefCell<Vec<HttpConnection>>,
    /// Highest era that the store has named; 0 before it named one.
    era: Cell<u64>,
    /// Whether a response without a readable era was logged.
    unknown_era_logged: Cell<bool>,
    adapter: PhantomData<A>,
}

impl<A: StoreAdapter> StoreClient<A> {
    /// Creates a client. Connections are opened by the first calls.
    pub fn new(address: SocketAddr) -> StoreClient<A> {
        StoreClient {
            address,
            idle: RefCell::default(),
            era: Cell::new(0),
            unknown_era_logged: Cell::new(false),
            adapter: PhantomData,
        }
    }

    /// Returns the era of the last reply. A reply of an earlier era is never returned.
    pub fn era(&self) -> u64 {
        self.era.get()
    }

    /// Makes one call and waits at most `time_limit` for the reply, not counting the time to
    /// connect.
    pub async fn call(
        &self,
        call: &StoreCall,
        time_limit: Duration,
    ) -> Result<StoreReply, StoreCallError> {
        let result = self.exchange(call, time_limit).await;
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        metrics::counter!("carobvane_store_calls_total", "call" => call_label(call), "outcome" => outcome)
            .increment(1);
        result
    }

    async fn exchange(
        &self,
        call: &StoreCall,
        time_limit: Duration,
    ) -> Result<StoreReply, StoreCallError> {
        let request = self.build_request(A::encode_store_call(call));
        let idle = self.take_idle();
        let mut connection = match idle {
            Some(connection) => connection,
            None => HttpConnection::open(self.address, CONNECT_TIMEOUT)
                .await
                .map_err(StoreCallError::Connection)?,
        };
        let response = connection
            .call(request, time_limit, MAX_RESPONSE_BYTES)
            .await
            .map_err(StoreCallError::Connection)?;
        if connection.wait_until_ready().await && self.idle.borrow().len() < MAX_IDLE_CONNECTIONS {
            self.idle.borrow_mut().push(connection);
        }
        self.check_era(A::decode_store_era(response.headers()))?;
        A::decode_store_reply(call, response.status(), response.body())
            .map_err(StoreCallError::Store)
    }

    /// Records the era of a response. Fails if it is an earlier one: the response was sent before
    /// the store was restored.
    fn check_era(&self, named: NamedEra) -> Result<(), StoreCallError> {
        let known = self.era.get();
        match named {
            NamedEra::Known(era) if era < known => Err(StoreCallError::EarlierEra { era, known }),
            NamedEra::Known(era) => {
                self.era.set(era);
                Ok(())
            }
            // The store names its era in all responses, so this one tells nothing new about it.
            NamedEra::Unknown => {
                if !self.unknown_era_logged.replace(true) {
                    log::warn!(known; "the store's response names no era");
                }
                Ok(())
            }
        }
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    fn build_request(&self, query: OutboundRequest) -> Request<Full<bytes::Bytes>> {
        build_request(query, self.address)
    }
}

/// Builds the HTTP request of a query that the node itself sends.
pub fn build_request(query: OutboundRequest, address: SocketAddr) -> Request<Full<bytes::Bytes>> {
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

fn call_label(call: &StoreCall) -> &'static str {
    match call {
        StoreCall::Range { .. } => "range",
        StoreCall::Watch { .. } => "watch",
        StoreCall::Transact { .. } => "transact",
        StoreCall::Grant { .. } => "grant",
        StoreCall::Renew { .. } => "renew",
        StoreCall::Release { .. } => "release",
    }
}
