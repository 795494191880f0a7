//! What an external platform has to translate for this product.
//!
//! The node speaks HTTP but knows no header, field, key or path of the platform. An adapter
//! implements these traits; it decodes each message once into the types below and decides nothing.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bytes::Bytes;
use carobvane_core::{
    ids::WeightsVersion,
    traffic::{
        DirectoryResponse, OrderReply, PromptShape, ServerListing, ServerLoad, TrafficConfig,
    },
};
use http::{HeaderMap, Method, StatusCode, Uri, request::Parts};

use crate::settings::{NodeSettings, SettingsError};

/// All that an adapter translates.
pub trait NodeWire:
    SettingsWire + CallerWire + ServerWire + StoreWire + FleetWire + 'static
{
}

/// Settings of the process.
pub trait SettingsWire {
    /// Path of the settings file.
    fn settings_path() -> Result<PathBuf, SettingsError>;
    /// Reads the settings and reports all mistakes together.
    fn read_settings(bytes: &[u8]) -> Result<NodeSettings, SettingsError>;
}

/// A caller's request, without its body.
#[derive(Debug, Clone)]
pub struct CallerCall {
    /// Identity of this attempt of the caller.
    pub request_id: String,
    /// Host that the caller asked for.
    pub host: String,
    /// Time that the caller waits, from its sending.
    pub deadline: Option<Duration>,
    /// Key of the caller.
    pub key: Option<String>,
    /// Model, on requests to model engines.
    pub model: Option<String>,
    /// Shape of the prompt.
    pub prompt: PromptShape,
    /// Last event that the caller has, if it continues a stream.
    pub last_event: Option<u64>,
}

/// Why a caller's message is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// A header is missing, repeated or malformed.
    BadHeader(&'static str),
}

/// A question where to connect.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryQuestion {
    /// The caller's region.
    pub region: String,
    /// The caller's data centre.
    pub data_centre: String,
}

/// The side of the callers.
pub trait CallerWire {
    /// Path of the readiness check.
    const READY_PATH: &'static str;
    /// Path of the directory.
    const DIRECTORY_PATH: &'static str;
    /// Decodes a request's head.
    fn read_call(head: &Parts) -> Result<CallerCall, CallError>;
    /// Decodes a question to the directory.
    fn read_question(uri: &Uri) -> DirectoryQuestion;
    /// Encodes the directory's answer.
    fn write_directory(answer: &DirectoryResponse) -> Bytes;
}

/// What a request tells a backend server beside the caller's own headers.
#[derive(Debug, Clone)]
pub struct ServerCall<'a> {
    /// The caller's headers.
    pub headers: &'a HeaderMap,
    /// The caller's request id.
    pub request_id: &'a str,
    /// The server that is meant.
    pub instance: &'a str,
    /// Time that is left.
    pub deadline: Duration,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Rank; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Weights that the request must run on.
    pub weights: Option<WeightsVersion>,
    /// Scope of the KV cache.
    pub cache_salt: Option<&'a str>,
    /// Server or store from which missing KV cache may be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// Store to which the server should save the prompt's KV cache.
    pub save_to: Option<SocketAddr>,
    /// Last event that the caller has.
    pub last_event: Option<u64>,
}

/// What a server's answer says beside its body.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Request that it answers.
    pub request_id: Option<String>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the server has vouched for the answer.
    pub signed: bool,
    /// Load of the server.
    pub load: Option<ServerLoad>,
    /// Weights that the answer is made on.
    pub weights: Option<WeightsVersion>,
}

/// An order to load weights.
#[derive(Debug, Clone)]
pub struct WeightsOrder<'a> {
    /// Model.
    pub model: &'a str,
    /// Version to load.
    pub version: WeightsVersion,
    /// Name of the node that orders.
    pub holder: &'a str,
    /// Fencing token.
    pub fencing: u64,
    /// Orders that the server must have accepted so far.
    pub expected: Option<u64>,
}

/// A request of our own to a server or the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireQuery {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Body; empty for none.
    pub body: Bytes,
}

/// A change of what an engine or a store of KV cache keeps.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Salt under which the part is kept, as requests carry it.
    pub salt: String,
    /// Identity of the part.
    pub part: u64,
    /// Whether it is kept now.
    pub held: bool,
}

/// Events of an engine or a store of KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheFeed {
    /// Changes when it restarts empty.
    pub epoch: u64,
    /// Number of its next event.
    pub next: u64,
    /// Whether older events are gone that were not sent.
    pub lost: bool,
    /// The events in order.
    pub events: Vec<CacheEvent>,
}

/// The side of the backend servers.
pub trait ServerWire {
    /// Writes the headers of a request to a server.
    fn write_call(call: &ServerCall<'_>) -> HeaderMap;
    /// Reads what a server's answer says.
    fn read_answer(headers: &HeaderMap) -> AnswerHead;
    /// Adds what names the server that a query of our own is for.
    fn name_instance(headers: &mut HeaderMap, instance: &str);
    /// Writes an order.
    fn write_order(order: &WeightsOrder<'_>) -> WireQuery;
    /// Reads the answer to an order.
    fn read_order(status: StatusCode) -> OrderReply;
    /// Writes a query for a server's state.
    fn write_report() -> WireQuery;
    /// Writes a query for the events of a store of KV cache after `since`.
    fn write_cache_events(since: u64) -> WireQuery;
    /// Asks for an answer that is held back while there are no events.
    fn hold_events(headers: &mut HeaderMap, hold: Duration);
    /// Reads the events.
    fn read_cache_events(status: StatusCode, body: &[u8]) -> Option<CacheFeed>;
    /// Reads a server's state.
    fn read_report(status: StatusCode, body: &[u8], model: &str) -> OrderReply;
}

/// An item of the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoreItem {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision of its creation.
    pub created: u64,
}

/// A change in the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum StoreEvent {
    /// An item was written.
    Put(StoreItem),
    /// A key was removed.
    Removed {
        /// The key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

impl StoreEvent {
    /// Revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            StoreEvent::Put(item) => item.revision,
            StoreEvent::Removed { revision, .. } => *revision,
        }
    }
}

/// A write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreWrite {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Lease with whose end the key is removed.
    pub lease: Option<u64>,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreCall {
    /// Read a page of items.
    Range {
        /// Beginning of their keys.
        prefix: String,
        /// Last key of the page before.
        after: Option<String>,
    },
    /// Wait for changes.
    Watch {
        /// Beginning of the keys.
        prefix: String,
        /// Revision after which changes are wanted.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Write under conditions, all or nothing.
    Transact {
        /// Keys with the revisions that they must have; 0 if they must not exist.
        expected: Vec<(String, u64)>,
        /// Writes.
        writes: Vec<StoreWrite>,
    },
    /// Open a lease.
    Grant {
        /// Lifetime.
        lifetime: Duration,
    },
    /// Renew a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// End a lease.
    Release {
        /// The lease.
        lease: u64,
    },
}

/// The store's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreReply {
    /// Items of a page.
    Page {
        /// Items.
        items: Vec<StoreItem>,
        /// Whether more pages follow.
        more: bool,
        /// Revision of the store.
        revision: u64,
    },
    /// Changes.
    Events {
        /// Changes in their order.
        events: Vec<StoreEvent>,
        /// Revision up to which these are all.
        revision: u64,
    },
    /// The wanted history is no longer there.
    HistoryLost,
    /// Written at this revision.
    Written {
        /// Revision.
        revision: u64,
    },
    /// A condition does not hold.
    Conflict,
    /// A lease was opened or renewed.
    Leased {
        /// The lease; 0 in the answer to a renewal.
        lease: u64,
        /// Its lifetime.
        lifetime: Duration,
    },
    /// The lease has ended.
    NoLease,
    /// Done.
    Done,
}

/// Why the store did not answer a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// It turned the call away; nothing was done.
    Busy(u16),
    /// The answer can't be read; the call may have been carried out.
    Unreadable(u16),
}

/// The store's calls.
pub trait StoreWire {
    /// Writes a call.
    fn write_store(call: &StoreCall) -> WireQuery;
    /// Reads the answer to a call.
    fn read_store(
        call: &StoreCall,
        status: StatusCode,
        body: &[u8],
    ) -> Result<StoreReply, StoreError>;
}

/// What an item of the store says about the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetFact {
    /// The configuration.
    Config(Box<TrafficConfig>),
    /// A configuration that can't be read.
    BadConfig(String),
    /// Weights that a model should have.
    Weights {
        /// Model.
        model: String,
        /// Version.
        version: WeightsVersion,
    },
    /// A backend server; without a listing if its entry can't be read.
    Server {
        /// Instance.
        instance: String,
        /// Its entry.
        listing: Option<Box<ServerListing>>,
        /// Why there is none.
        problem: String,
    },
    /// Nothing that the platform says of the fleet.
    Other,
}

/// The platform's keys in the store.
pub trait FleetWire {
    /// Decodes an item.
    fn read_fact(key: &str, value: &[u8]) -> FleetFact;
    /// The instance that a key is for, if it is that of a backend server.
    fn server_key(key: &str) -> Option<&str>;
}
