//! Calls with one answer.

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

/// Where the service is and how much this process may ask of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyvalueSettings {
    /// Base URL of the JSON gateway, such as `http://10.0.0.1:2379`.
    pub url: String,
    /// Longest time for one call, including its wait under the rate.
    pub timeout: Duration,
    /// Most reads a second: ranges and watches.
    pub reads_per_second: u32,
    /// Most writes a second: transactions and lease calls.
    pub writes_per_second: u32,
}

impl KeyvalueSettings {
    /// Default of [`KeyvalueSettings::timeout`]. The service answers in milliseconds; a second
    /// covers a leader change.
    pub const TIMEOUT: Duration = Duration::from_secs(1);
    /// Default of [`KeyvalueSettings::reads_per_second`]. Eighteen processes stay under a fifth of
    /// the service's 2,000 reads a second.
    pub const READS_PER_SECOND: u32 = 20;
    /// Default of [`KeyvalueSettings::writes_per_second`]. Eighteen processes stay under half of
    /// the service's several hundred writes a second.
    pub const WRITES_PER_SECOND: u32 = 5;

    /// Settings with the default timeout and rates.
    pub fn new(url: impl Into<String>) -> KeyvalueSettings {
        KeyvalueSettings {
            url: url.into(),
            timeout: KeyvalueSettings::TIMEOUT,
            reads_per_second: KeyvalueSettings::READS_PER_SECOND,
            writes_per_second: KeyvalueSettings::WRITES_PER_SECOND,
        }
    }
}

/// A key with its value and revisions, decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision of the key's creation.
    pub create_revision: i64,
    /// Revision of the key's last change.
    pub mod_revision: i64,
    /// The lease that holds the key; 0 for none.
    pub lease: i64,
}

/// A granted or renewed lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The lease.
    pub id: i64,
    /// Time to live from the moment the service answered; zero if the lease has expired.
    pub time_to_live: Duration,
}

/// A client of the service. Clones share one connection pool and one rate.
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

/// Which rate a call counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallClass {
    Read,
    Write,
}

impl KeyvalueClient {
    /// Creates a client; connects on the first call.
    pub fn new(mut settings: KeyvalueSettings) -> KeyvalueClient {
        let trimmed = settings.url.trim_end_matches('/').len();
        settings.url.truncate(trimmed);
        // A connection attempt ends before the call does, so that an unreachable service is
        // reported as "not sent" rather than "outcome unknown".
        let connector = Connector::new().timeout(settings.timeout / 2);
        // awc's own timeout also ends response bodies, which would cut idle watches.
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

    /// Reads one key.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyvalueError> {
        let (values, _) = self.range(key, &[], 1).await?;
        Ok(values.into_iter().next())
    }

    /// Reads all keys that start with `prefix`, with the store's revision.
    pub async fn get_prefix(&self, prefix: &str) -> Result<(Vec<StoredValue>, i64), KeyvalueError> {
        self.range(prefix, &prefix_end(prefix.as_bytes()), 0).await
    }

    /// Reads the keys from `key` to before `end` (only `key` if empty), at most `limit` of them
    /// (all if 0), with the store's revision.
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

    /// Reads several keys in one call, with the store's revision.
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

    /// Runs a transaction.
    pub async fn txn(&self, transaction: Transaction) -> Result<TransactionResult, KeyvalueError> {
        let request = transaction.into_request()?;
        let response: TxnResponse =
            self.call("txn", CallClass::Write, "/v3/kv/txn", &request).await?;
        TransactionResult::from_response(response)
    }

    /// Asks for a lease of `seconds`.
    pub async fn lease_grant(&self, seconds: u32) -> Result<LeaseGrant, KeyvalueError> {
        let request = LeaseGrantRequest { ttl: i64::from(seconds) };
        let response: LeaseResponse =
            self.call("lease_grant", CallClass::Write, "/v3/lease/grant", &request).await?;
        Ok(LeaseGrant::from_wire(response))
    }

    /// Renews a lease. A `time_to_live` of zero means that it has expired.
    pub async fn lease_keepalive(&self, id: i64) -> Result<LeaseGrant, KeyvalueError> {
        let request = LeaseRequest { id };
        let response: StreamResult<LeaseResponse> =
            self.call("lease_keepalive", CallClass::Write, "/v3/lease/keepalive", &request).await?;
        Ok(LeaseGrant::from_wire(response.result))
    }

    /// Gives a lease up; its keys are deleted.
    pub async fn lease_revoke(&self, id: i64) -> Result<(), KeyvalueError> {
        let request = LeaseRequest { id };
        let _: serde_json::Value =
            self.call("lease_revoke", CallClass::Write, "/v3/lease/revoke", &request).await?;
        Ok(())
    }

    /// Watches all keys that start with `prefix` from `start_revision` (0 for from now on). Each
    /// wait for events ends with an error after `idle`; reopen from the last revision then.
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
        let chunks = opened
            .map(|chunk| chunk.map_err(|error| unknown_outcome("failed to read watch", &error)));
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
                .map_err(|error| unknown_outcome("failed to read answer", &error))?;
            serde_json::from_slice(&body)
                .map_err(|error| unknown_outcome("failed to decode answer", &error))
        };
        self.run_with_timeout(operation, exchange).await
    }

    /// Sends a request and returns its answer if that is a success.
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

    /// Bounds a call in time and counts it.
    async fn run_with_timeout<R>(
        &self,
        operation: &'static str,
        exchange: impl Future<Output = Result<R, KeyvalueError>>,
    ) -> Result<R, KeyvalueError> {
        let limit = self.shared.settings.timeout;
        let result = timeout(limit, exchange).await.unwrap_or_else(|_| {
            Err(KeyvalueError::OutcomeUnknown(format!("no answer in {} ms", limit.as_millis())))
        });
        let outcome = result.as_ref().map_or_else(KeyvalueError::kind, |_| "answered");
        metrics::counter!(CALLS_METRIC, "operation" => operation, "outcome" => outcome)
            .increment(1);
        result
    }
}

/// Counts the calls by operation and outcome.
pub const CALLS_METRIC: &str = "carobvane_keyvalue_calls_total";
/// Largest answer that is read, in bytes: a full range of change records.
const MAX_ANSWER_BYTES: usize = 32 << 20;
/// Largest part of an error answer that is read, in bytes.
const MAX_ERROR_BYTES: usize = 4 << 10;

impl StoredValue {
    pub(super) fn from_wire(
        stored: KeyValue,
        decode_base64: fn(&str) -> Option<Vec<u8>>,
    ) -> Result<StoredValue, KeyvalueError> {
        let malformed = || KeyvalueError::OutcomeUnknown("answer is not base64 text".into());
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

/// Only a failed connection proves that no byte left this process.
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
