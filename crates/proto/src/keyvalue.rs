//! Messages of the key-value service's JSON gateway, in the format of etcd v3.
//!
//! Keys and values are base64 text; 64-bit numbers are decimal text.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// Encodes a key or value for the gateway.
pub fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes a key or value from the gateway; `None` if the text is not base64.
pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// Header of every response.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// Revision of the store when the request was handled.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: i64,
}

/// Stored key with its value and metadata.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// Key in base64.
    pub key: String,
    /// Value in base64.
    pub value: String,
    /// Store revision at which the key was created.
    #[serde_as(as = "DisplayFromStr")]
    pub create_revision: i64,
    /// Store revision of the last write to the key.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: i64,
    /// Number of writes to the key since its creation.
    #[serde_as(as = "DisplayFromStr")]
    pub version: i64,
    /// Id of the lease that the key is attached to; 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// Body of `POST /v3/kv/range`, which reads a range of keys; also a read within a transaction.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key in base64.
    pub key: String,
    /// End of the range (exclusive) in base64; empty for one key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    /// Maximum number of keys to return; 0 for all.
    #[serde_as(as = "DisplayFromStr")]
    pub limit: i64,
}

/// Response to a range request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// Header with the store revision.
    pub header: ResponseHeader,
    /// Keys found, in order.
    pub kvs: Vec<KeyValue>,
    /// Whether the range has more keys than the limit allowed to return.
    pub more: bool,
    /// Number of keys in the range, including those that are not returned.
    #[serde_as(as = "DisplayFromStr")]
    pub count: i64,
}

/// Write of one key within a transaction.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// Key in base64.
    pub key: String,
    /// Value in base64.
    pub value: String,
    /// Id of the lease to attach the key to; 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// Deletion of a range of keys within a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// First key in base64.
    pub key: String,
    /// End of the range (exclusive) in base64; empty for one key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// Condition of a transaction: compares one field of `key`, selected by `target`, with the revision
/// or value given here.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// Required result of the comparison: `EQUAL`, `GREATER`, `LESS` or `NOT_EQUAL`.
    pub result: String,
    /// Field to compare: `CREATE`, `MOD`, `VERSION` or `VALUE`.
    pub target: String,
    /// Key in base64.
    pub key: String,
    /// Revision to compare with for the target `CREATE`.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<i64>,
    /// Revision to compare with for the target `MOD`.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<i64>,
    /// Value in base64 to compare with for the target `VALUE`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// Operation of a transaction; exactly one field is set.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// Read of a range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Write of a key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletion of a range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// Body of `POST /v3/kv/txn`, which runs a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold for `success` to run.
    pub compare: Vec<Compare>,
    /// Operations to run if all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations to run if a condition does not hold.
    pub failure: Vec<RequestOp>,
}

/// Response to one operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Response to a read; absent for writes and deletions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Response to a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header with the store revision.
    pub header: ResponseHeader,
    /// Whether all conditions held.
    pub succeeded: bool,
    /// Responses to the operations that ran, in their order.
    pub responses: Vec<ResponseOp>,
}

/// Body of `POST /v3/lease/grant`, which creates a lease.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// Response to a lease grant or, inside a [`StreamResult`], to a lease keep-alive.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// Id of the lease.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
    /// Time to live in seconds; 0 if the lease has expired.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// Body of `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// Id of the lease.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
}

/// Wrapper in which the gateway sends each message of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct StreamResult<T> {
    /// Message of the stream.
    pub result: T,
}

/// Body of `POST /v3/watch`. The response is a stream of JSON lines, each a
/// `StreamResult<WatchResponse>`.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// Range to watch.
    pub create_request: WatchCreateRequest,
}

/// Range of keys to watch and the revision to start from.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key in base64.
    pub key: String,
    /// End of the range (exclusive) in base64; empty for one key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    /// First store revision to report; 0 reports only changes from now on.
    #[serde_as(as = "DisplayFromStr")]
    pub start_revision: i64,
}

/// Changes in a watched range.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// Header with the store revision.
    pub header: ResponseHeader,
    /// Changes in the order in which they took effect.
    pub events: Vec<WatchEvent>,
}

/// Change of one key in a watched range.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// `PUT` or `DELETE`; absent means `PUT`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub r#type: Option<String>,
    /// Key after the change.
    pub kv: KeyValue,
}
