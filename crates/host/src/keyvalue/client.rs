//! Client for calls with a single response, and for opening watches.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use awc::{
    Client, ClientResponse, Connector,
    error::{ConnectError, SendRequestError},
};
use bytes::Bytes;
use carobvane_core::clock::ClockTime;
use carobvane_proto::keyvalue::{
    KeyValue, LeaseGrantRequest, LeaseRequest, LeaseResponse, RangeRequest, RangeResponse,
    StreamResult, TxnResponse, WatchCreateRequest, WatchRequest, decode_base64, encode_base64,
};
use futures::StreamExt;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use super::{
    CallRateLimiter, KeyvalueError, Transaction, TransactionResult, WatchStream, prefix_end,
};

/// Address, timeout and rate limits of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyvalueSettings {
    /// Base URL of the JSON gateway, such as `http://10.0.0.1:2379`.
    pub url: String,
    /// Timeout of one call, including the time it waits for the rate limit.
    pub timeout: Duration,
    /// Limit on reads per second: range reads and new watches.
    pub reads_per_second: u32,
    /// Limit on writes per second: transactions and lease calls.
    pub writes_per_second: u32,
}

impl KeyvalueSettings {
    /// Default of [`KeyvalueSettings::timeout`]. The service normally responds in milliseconds; one
    /// second is long enough for a change of its leader.
    pub const TIMEOUT: Duration = Duration::from_secs(1);
    /// Default of [`KeyvalueSettings::reads_per_second`]. With it, 18 processes use less than a
    /// fifth of the 2,000 reads per second that the service can handle.
    pub const READS_PER_SECOND: u32 = 20;
    /// Default of [`KeyvalueSettings::writes_per_second`]. With it, 18 processes use less than half
    /// of the several hundred writes per second that the service can handle.
    pub const WRITES_PER_SECOND: u32 = 5;

    /// Creates settings with the default timeout and rates.
    pub fn new(url: impl Into<String>) -> KeyvalueSettings {
        KeyvalueSettings {
            url: url.into(),
            timeout: KeyvalueSettings::TIMEOUT,
            reads_per_second: KeyvalueSettings::READS_PER_SECOND,
            writes_per_second: KeyvalueSettings::WRITES_PER_SECOND,
        }
    }
}

/// A key with its value and metadata, decoded from base64.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Key; the service allows any bytes, but this project writes only UTF-8 text.
    pub key: String,
    /// Value, as the writer encoded it.
    pub value: Vec<u8>,
    /// Store revision at which the key was created.
    pub create_revision: i64,
    /// Store revision of the last write to the key.
    pub mod_revision: i64,
    /// Id of the lease the key is attached to; 0 for none.
    pub lease: i64,
}

/// Response to granting or renewing a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Id of the lease, chosen by the service.
    pub id: i64,
    /// Time to live, counted from the service's response; zero if the lease has expired.
    pub time_to_live: Duration,
}

/// Client of the key-value service. Clones share the connection pool and the rate limits.
#[derive(Clone)]
pub struct KeyvalueClient {
    shared: Rc<ClientState>,
}

struct ClientState {
    settings: KeyvalueSettings,
    client: Client,
    started: Instant,
    reads: RefCell<CallRateLimiter>,
    writes: RefCell<CallRateLimiter>,
}

/// Rate limit that a call counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallClass {
    Read,
    Write,
}

impl KeyvalueClient {
    /// Creates a client, which connects on the first call.
    pub fn new(mut settings: KeyvalueSettings) -> KeyvalueClient {
        let trimmed = settings.url.trim_end_matches('/').len();
        settings.url.truncate(trimmed);
        // Connecting times out before the call does, so that an unreachable service is reported as
        // "not sent" rather than "outcome unknown".
        let connector = Connector::new().timeout(settings.timeout / 2);
        // The timeout of awc also covers the response body and would end idle watches.
        let client = Client::builder().connector(connector).disable_timeout().finish();
        let reads = CallRateLimiter::new(settings.reads_per_second, ClockTime::ZERO);
        let writes = CallRateLimiter::new(settings.writes_per_second, ClockTime::ZERO);
        let shared = ClientState {
            settings,
            client,
            started: Instant::now(),
            reads: RefCell::new(reads),
            writes: RefCell::new(writes),
        };
        KeyvalueClient { shared: Rc::new(shared) }
    }

    /// Reads one key; `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyvalueError> {
        let (values, _) = self.range(key, &[], 1).await?;
        Ok(values.into_iter().next())
    }

    /// Reads all keys that start with `prefix`; also returns the store's revision.
    pub async fn get_prefix(&self, prefix: &str) -> Result<(Vec<StoredValue>, i64), KeyvalueError> {
        self.range(prefix, &prefix_end(prefix.as_bytes()), 0).await
    }

    /// Reads the keys from `key` up to but excluding `end`; also returns the store's revision.
    ///
    /// An empty `end` reads only `key`. Returns at most `limit` keys; 0 means all.
    pub async fn range(
        &self,
        key: &str,
        end: &[u8],
        limit: i64,
    ) -> Result<(Vec<StoredValue>, i64), KeyvalueError> {
        let request = RangeRequest {
            key: encode_base64(key.as_bytes()),
            range_end: encode_base64(end),
            limit,
        };
        let response: RangeResponse =
            self.call("range", CallClass::Read, "/v3/kv/range", &request).await?;
        let values: Result<Vec<StoredValue>, KeyvalueError> = response
            .kvs
            .into_iter()
            .map(|stored| StoredValue::from_wire(stored, decode_base64))
            .collect();
        Ok((values?, response.header.revision))
    }

    /// Reads several keys in one call; also returns the store's revision. Keys that do not exist
    /// are left out.
    pub async fn get_many(
        &self,
        keys: &[String],
    ) -> Result<(Vec<StoredValue>, i64), KeyvalueError> {
        let transaction = keys.iter().fold(Transaction::new(), |reads, key| reads.read(key));
        let response: TxnResponse = self
            .call("get_many", CallClass::Read, "/v3/kv/txn", &transaction.into_request()?)
            .await?;
        let result = TransactionResult::from_response(response)?;
        Ok((result.values, result.revision))
    }

    /// Runs a transaction atomically.
    pub async fn txn(&self, transaction: Transaction) -> Result<TransactionResult, KeyvalueError> {
        let request = transaction.into_request()?;
        let response: TxnResponse =
            self.call("txn", CallClass::Write, "/v3/kv/txn", &request).await?;
        TransactionResult::from_response(response)
    }

    /// Requests a new lease with a time to live of `seconds`.
    pub async fn lease_grant(&self, seconds: u32) -> Result<LeaseGrant, KeyvalueError> {
        let request = LeaseGrantRequest { ttl: i64::from(seconds) };
        let response: LeaseResponse =
            self.call("lease_grant", CallClass::Write, "/v3/lease/grant", &request).await?;
        Ok(LeaseGrant::from_wire(response))
    }

    /// Renews a lease. A `time_to_live` of zero in the response means that it has expired.
    pub async fn lease_keepalive(&self, id: i64) -> Result<LeaseGrant, KeyvalueError> {
        let request = LeaseRequest { id };
        let response: StreamResult<LeaseResponse> =
            self.call("lease_keepalive", CallClass::Write, "/v3/lease/keepalive", &request).await?;
        Ok(LeaseGrant::from_wire(response.result))
    }

    /// Revokes a lease; the service deletes the keys attached to it.
    pub async fn lease_revoke(&self, id: i64) -> Result<(), KeyvalueError> {
        let request = LeaseRequest { id };
        let _: serde_json::Value =
            self.call("lease_revoke", CallClass::Write, "/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Watches all keys that start with `prefix`, from `start_revision` or, if 0, from now on.
    ///
    /// If no event arrives for `idle`, the stream returns an error; the caller then opens a new
    /// watch from the last revision it has seen.
    pub async fn watch_prefix(
        &self,
        prefix: &str,
        start_revision: i64,
        idle: Duration,
    ) -> Result<WatchStream, KeyvalueError> {
        let request = WatchRequest {
            create_request: WatchCreateRequest {
                key: encode_base64(prefix.as_bytes()),
                range_end: encode_base64(&prefix_end(prefix.as_bytes())),
                start_revision,
            },
        };
        let opened = self
            .run_with_timeout("watch", self.send_request(CallClass::Read, "/v3/watch", &request))
            .await?;
        let chunks = opened.map(|chunk| {
            chunk.map_err(|error| unknown_outcome("failed to read the watch", &error))
        });
        Ok(WatchStream::new(chunks.boxed_local(), idle))
    }

    async fn call<Q: Serialize, R: DeserializeOwned>(
        &self,
        operation: &'static str,
        class: CallClass,
        path: &str,
        request: &Q,
    ) -> Result<R, KeyvalueError> {
        let exchange = async {
            let mut response = self.send_request(class, path, request).await?;
            let body: Bytes = response
                .body()
                .limit(MAX_ANSWER_BYTES)
                .await
                .map_err(|error| unknown_outcome("failed to read the response", &error))?;
            serde_json::from_slice(&body)
                .map_err(|error| unknown_outcome("failed to decode the response", &error))
        };
        self.run_with_timeout(operation, exchange).await
    }

    /// Sends a request when the rate limit admits it. Returns the response if its status is a
    /// success, with its body still unread.
    async fn send_request<Q: Serialize>(
        &self,
        class: CallClass,
        path: &str,
        request: &Q,
    ) -> Result<ClientResponse, KeyvalueError> {
        self.wait_for_rate_limit(class).await?;
        let url = format!("{}{path}", self.shared.settings.url);
        let mut response =
            self.shared.client.post(url).send_json(request).await.map_err(classify_send_error)?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status().as_u16();
        let body = response.body().limit(MAX_ERROR_BYTES).await.unwrap_or_default();
        Err(KeyvalueError::from_status(status, String::from_utf8_lossy(&body).into_owned()))
    }

    async fn wait_for_rate_limit(&self, class: CallClass) -> Result<(), KeyvalueError> {
        let limiter = match class {
            CallClass::Read => &self.shared.reads,
            CallClass::Write => &self.shared.writes,
        };
        let started = Instant::now();
        loop {
            let now = ClockTime::from_micros(self.shared.started.elapsed().as_micros() as u64);
            let acquired = limiter.borrow_mut().try_acquire(now);
            let Err(wait) = acquired else { return Ok(()) };
            if started.elapsed() + wait >= self.shared.settings.timeout {
                return Err(KeyvalueError::RateExceeded(wait));
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Runs `exchange` under the timeout of a call and counts its outcome in [`CALLS_METRIC`].
    async fn run_with_timeout<R>(
        &self,
        operation: &'static str,
        exchange: impl Future<Output = Result<R, KeyvalueError>>,
    ) -> Result<R, KeyvalueError> {
        let limit = self.shared.settings.timeout;
        let result = timeout(limit, exchange).await.unwrap_or_else(|_| {
            Err(KeyvalueError::OutcomeUnknown(format!(
                "no response within {} ms",
                limit.as_millis()
            )))
        });
        let outcome = result.as_ref().map_or_else(KeyvalueError::kind, |_| "answered");
        metrics::counter!(CALLS_METRIC, "operation" => operation, "outcome" => outcome)
            .increment(1);
        result
    }
}

/// Counter of calls, labelled by operation and outcome.
pub const CALLS_METRIC: &str = "carobvane_keyvalue_calls_total";
/// Maximum size of a response body, in bytes: fits a full range of change records.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Maximum size of the body of an error response, in bytes; a larger one is discarded.
const MAX_ERROR_BYTES: usize = 4 << 10;

impl StoredValue {
    pub(super) fn from_wire(
        stored: KeyValue,
        decode_base64: fn(&str) -> Option<Vec<u8>>,
    ) -> Result<StoredValue, KeyvalueError> {
        let malformed = || {
            KeyvalueError::OutcomeUnknown(
                "response contains a key or value that is not base64 text".into(),
            )
        };
        let key = decode_base64(&stored.key).and_then(|key| String::from_utf8(key).ok());
        Ok(StoredValue {
            key: key.ok_or_else(malformed)?,
            value: decode_base64(&stored.value).ok_or_else(malformed)?,
            create_revision: stored.create_revision,
            mod_revision: stored.mod_revision,
            lease: stored.lease,
        })
    }
}

impl LeaseGrant {
    fn from_wire(response: LeaseResponse) -> LeaseGrant {
        let seconds = u64::try_from(response.ttl).unwrap_or(0);
        LeaseGrant { id: response.id, time_to_live: Duration::from_secs(seconds) }
    }
}

fn unknown_outcome(action: &str, error: &impl std::fmt::Display) -> KeyvalueError {
    KeyvalueError::OutcomeUnknown(format!("{action}: {error}"))
}

/// Only an invalid URL or a failed connection proves that no byte was sent; after any other failure
/// the outcome is unknown.
fn classify_send_error(error: SendRequestError) -> KeyvalueError {
    match error {
        SendRequestError::Url(cause) => KeyvalueError::NotSent(cause.to_string()),
        SendRequestError::Connect(ConnectError::Disconnected) => {
            KeyvalueError::OutcomeUnknown("connection closed".into())
        }
        SendRequestError::Connect(cause) => KeyvalueError::NotSent(cause.to_string()),
        other => KeyvalueError::OutcomeUnknown(other.to_string()),
    }
}
