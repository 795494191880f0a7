//! The JSON gateway of the key-value service, as etcd v3 publishes it.
//!
//! Keys and values are base64 text; 64-bit numbers are decimal text.

use base64::{Engine, engine::general_purpose::STANDARD};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};

/// Encodes bytes as the gateway wants them.
pub fn encode_base64(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Decodes the gateway's text; `None` if it is not base64.
pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// A header of every answer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// The store's revision.
    #[serde_as(as = "DisplayFromStr")]
    pub revision: i64,
}

/// A stored key.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct KeyValue {
    /// The key in base64.
    pub key: String,
    /// The value in base64.
    pub value: String,
    /// Revision of the key's creation.
    #[serde_as(as = "DisplayFromStr")]
    pub create_revision: i64,
    /// Revision of the key's last change.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: i64,
    /// Changes since creation.
    #[serde_as(as = "DisplayFromStr")]
    pub version: i64,
    /// The lease that holds the key; 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// `POST /v3/kv/range`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// First key in base64.
    pub key: String,
    /// End of the range (exclusive) in base64; empty for one key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    /// Most keys to return; 0 for all.
    #[serde_as(as = "DisplayFromStr")]
    pub limit: i64,
}

/// Answer to a range request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The answer's header.
    pub header: ResponseHeader,
    /// The keys found.
    pub kvs: Vec<KeyValue>,
    /// Whether the limit cut the answer.
    pub more: bool,
    /// Keys in the range.
    #[serde_as(as = "DisplayFromStr")]
    pub count: i64,
}

/// Stores one key.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key in base64.
    pub key: String,
    /// The value in base64.
    pub value: String,
    /// The lease to hold the key; 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

/// Deletes keys.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// First key in base64.
    pub key: String,
    /// End of the range (exclusive) in base64; empty for one key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
}

/// One condition of a transaction: the named field of `key` equals the given number or value.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// `EQUAL`, `GREATER`, `LESS` or `NOT_EQUAL`.
    pub result: String,
    /// `CREATE`, `MOD`, `VERSION` or `VALUE`.
    pub target: String,
    /// The key in base64.
    pub key: String,
    /// Number for target `CREATE`.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub create_revision: Option<i64>,
    /// Number for target `MOD`.
    #[serde_as(as = "Option<DisplayFromStr>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub mod_revision: Option<i64>,
    /// Value in base64 for target `VALUE`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

/// One operation of a transaction; exactly one field is set.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    /// A read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// A write.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// A deletion.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// `POST /v3/kv/txn`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions, all of which must hold.
    pub compare: Vec<Compare>,
    /// Operations when they hold.
    pub success: Vec<RequestOp>,
    /// Operations when they do not.
    pub failure: Vec<RequestOp>,
}

/// Answer of one operation.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseOp {
    /// Answer of a read.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// Answer of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The answer's header.
    pub header: ResponseHeader,
    /// Whether the conditions held.
    pub succeeded: bool,
    /// Answers of the operations that ran.
    pub responses: Vec<ResponseOp>,
}

/// `POST /v3/lease/grant`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// Answer to a lease grant or to one keep-alive (where it stands under `result`).
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseResponse {
    /// The lease.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
    /// Time to live in seconds; 0 if the lease has expired.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl: i64,
}

/// `POST /v3/lease/keepalive` and `POST /v3/lease/revoke`.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseRequest {
    /// The lease.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
}

/// The gateway's wrapping of streamed answers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamResult<T> {
    /// The answer.
    pub result: T,
}

/// `POST /v3/watch`; the answer is a stream of JSON lines of `StreamResult<WatchResponse>`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// What to watch.
    pub create_request: WatchCreateRequest,
}

/// The watched range.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// First key in base64.
    pub key: String,
    /// End of the range (exclusive) in base64; empty for one key.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub range_end: String,
    /// First revision to report; 0 for from now on.
    #[serde_as(as = "DisplayFromStr")]
    pub start_revision: i64,
}

/// Changes in a watched range.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The answer's header.
    pub header: ResponseHeader,
    /// The changes in order.
    pub events: Vec<WatchEvent>,
}

/// One change in a watched range.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchEvent {
    /// `PUT` or `DELETE`; absent means `PUT`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub r#type: Option<String>,
    /// The key after the change.
    pub kv: KeyValue,
}
