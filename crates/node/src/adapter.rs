//! Traits that an adapter to an external platform implements.
//!
//! The node speaks HTTP but knows no header, field, key or path of the platform. The adapter
//! decodes each message once into the types below and makes no decisions.

mod store;

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use bytes::Bytes;
use carobvane_core::{
    ids::WeightsVersion,
    traffic::{
        DirectoryResponse, OrderReply, PromptShape, ServerListing, ServerLoad, TrafficConfig,
    },
};
use http::{HeaderMap, Method, StatusCode, Uri, request::Parts};

pub use self::store::{
    NamedEra, StoreAdapter, StoreCall, StoreError, StoreEvent, StoreItem, StoreReply,
    StoreRevision, StoreWrite,
};
use crate::settings::{NodeSettings, SettingsError};

/// Everything that an adapter to a platform provides.
pub trait PlatformAdapter:
    SettingsAdapter + ClientAdapter + ServerAdapter + StoreAdapter + FleetAdapter + 'static
{
}

/// Decodes the settings of the process.
pub trait SettingsAdapter {
    /// Returns the path of the settings file.
    fn settings_path() -> Result<PathBuf, SettingsError>;
    /// Parses the settings file and reports all of its errors together.
    fn parse_settings(bytes: &[u8]) -> Result<NodeSettings, SettingsError>;
}

/// Decoded head of a client request.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Identifies this attempt of the client; the server's response must carry it.
    pub request_id: String,
    /// Host that the client addressed.
    pub host: String,
    /// How long the client waits, counted from when it sent the request.
    pub deadline: Option<Duration>,
    /// API key of the client.
    pub key: Option<String>,
    /// Model name; set on requests to model engines.
    pub model: Option<String>,
    /// Size of the prompt and the prompt parts that other requests may share.
    pub prompt: PromptShape,
    /// Id of the last event that the client has received, if it continues a stream.
    pub last_event: Option<u64>,
    /// If it continues a stream: id of the attempt that brought the first event.
    pub first_attempt: Option<String>,
}

/// Why the head of a client request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// This header is missing, repeated or malformed.
    BadHeader(&'static str),
}

/// A client's query which nodes to connect to.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// Region of the client; empty if it is not given.
    pub region: String,
    /// Data centre of the client; empty if it is not given.
    pub data_centre: String,
}

/// Decodes what clients send and encodes the responses to them.
pub trait ClientAdapter {
    /// Path of the readiness check.
    const READY_PATH: &'static str;
    /// Path of the directory.
    const DIRECTORY_PATH: &'static str;
    /// Decodes the head of a client request.
    fn decode_request(head: &Parts) -> Result<RequestInfo, RequestError>;
    /// Decodes a query to the directory.
    fn decode_directory_query(uri: &Uri) -> DirectoryQuery;
    /// Encodes the response of the directory.
    fn encode_directory(response: &DirectoryResponse) -> Bytes;
}

/// What the node adds to a client request, or replaces in it, when it sends it to a backend server.
#[derive(Debug, Clone)]
pub struct ServerRequest<'a> {
    /// Headers that the client sent.
    pub headers: &'a HeaderMap,
    /// Request id that the client sent; the server repeats it in its response.
    pub request_id: &'a str,
    /// Instance that the request is meant for, so that another server at the same address can
    /// refuse it.
    pub instance: &'a str,
    /// Time until the response is due.
    pub deadline: Duration,
    /// Workspace of the client.
    pub workspace: Option<&'a str>,
    /// Priority; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Weights that the request must run on.
    pub weights: Option<WeightsVersion>,
    /// Salt of the KV cache; requests share cached parts only under the same salt.
    pub cache_salt: Option<&'a str>,
    /// Server or KV cache store from which missing KV cache may be fetched.
    pub fetch_from: Option<SocketAddr>,
    /// KV cache store to which the server should save the prompt's KV cache.
    pub save_to: Option<SocketAddr>,
    /// Id of the last event that the client has received.
    pub last_event: Option<u64>,
}

/// What a response says about the rate of requests that the server takes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedLimit {
    /// The server names no limit.
    #[default]
    None,
    /// The server takes this many requests a second from all nodes together. Invariant: finite and
    /// not negative.
    PerSecond(f64),
    /// The server names a limit that cannot be read.
    Unreadable,
}

/// For how long a server wants no requests from this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RequestedRest {
    /// It does not say.
    #[default]
    None,
    /// For this long.
    For(Duration),
    /// It says so in a form that cannot be read.
    Unreadable,
}

/// What the head of a server's response says.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the server has signed the response; a success without a signature is not passed on.
    pub signed: bool,
    /// Load of the server.
    pub load: Option<ServerLoad>,
    /// Weights that the response was computed with.
    pub weights: Option<WeightsVersion>,
    /// Limit on the rate of requests to the server.
    pub limit: NamedLimit,
    /// Number of rejections in a second, counted over all nodes, after which the server falls over; `None`
    /// if it does not.
    pub max_rejections: Option<u32>,
    /// Whether the server is about to leave.
    pub leaving: bool,
    /// For how long the server wants no requests from this node.
    pub rest: RequestedRest,
}

/// An order to a server to load weights.
#[derive(Debug, Clone)]
pub struct WeightsOrder<'a> {
    /// Model whose weights are loaded.
    pub model: &'a str,
    /// Version to load.
    pub version: WeightsVersion,
    /// Name of the node that sends the order.
    pub holder: &'a str,
    /// Fencing token of the rollout lease under which the order is sent.
    pub fencing: u64,
    /// Number of orders that the server must have accepted so far; `None` omits the condition.
    pub expected: Option<u64>,
}

/// A request that the node itself sends to a server, the store or another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutboundRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Body; empty for none.
    pub body: Bytes,
}

/// A part of a prompt was added to or dropped from the KV cache of an engine or of the KV cache
/// store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEvent {
    /// Salt under which the part is cached, as requests carry it.
    pub salt: String,
    /// Identity of the part, without the salt.
    pub part: u64,
    /// Whether the part is cached now.
    pub held: bool,
}

/// Events of one engine or of the KV cache store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CacheEventBatch {
    /// Changes when the sender restarts with an empty cache.
    pub epoch: u64,
    /// Number from which the next batch is to be requested.
    pub next: u64,
    /// Whether the sender has dropped events before delivering them.
    pub lost: bool,
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}

/// Encodes the requests to backend servers and decodes their responses.
pub trait ServerAdapter {
    /// Builds the headers of a request to a server.
    fn encode_request_headers(request: &ServerRequest<'_>) -> HeaderMap;
    /// Decodes the head of a server's response to any kind of request.
    fn decode_response(status: StatusCode, headers: &HeaderMap) -> ResponseInfo;
    /// Adds the header that names the server for which a request of the node is meant.
    fn set_target_instance(headers: &mut HeaderMap, instance: &str);
    /// Encodes an order to load weights.
    fn encode_weights_order(order: &WeightsOrder<'_>) -> OutboundRequest;
    /// Decodes the reply to an order.
    fn decode_order_reply(status: StatusCode) -> OrderReply;
    /// Encodes a query for a server's state.
    fn encode_state_query() -> OutboundRequest;
    /// Encodes a query for the cache events after `since`, which is the `next` of the previous
    /// batch or 0.
    fn encode_cache_events_query(since: u64) -> OutboundRequest;
    /// Asks the server to hold the response back for up to `hold` while there are no events.
    fn set_long_poll(headers: &mut HeaderMap, hold: Duration);
    /// Decodes cache events; `None` if the response is an error or malformed.
    fn decode_cache_events(status: StatusCode, body: &[u8]) -> Option<CacheEventBatch>;
    /// Decodes a server's state with regard to one model.
    fn decode_state(status: StatusCode, body: &[u8], model: &str) -> OrderReply;
}

/// What an item of the store says about the fleet.
#[derive(Debug, Clone, PartialEq)]
pub enum FleetEntry {
    /// The traffic configuration.
    Config(Box<TrafficConfig>),
    /// A traffic configuration that can't be read; the text says why.
    BadConfig(String),
    /// Weights version that a model should have.
    Weights {
        /// Name of the model.
        model: String,
        /// Wanted version.
        version: WeightsVersion,
    },
    /// A backend server.
    Server {
        /// Instance name of the server.
        instance: String,
        /// Decoded entry; `None` if it can't be read.
        listing: Option<Box<ServerListing>>,
        /// Why the entry can't be read.
        problem: String,
    },
    /// Any other item.
    Other,
}

/// Decodes the items that the platform keeps in its store.
pub trait FleetAdapter {
    /// Decodes an item.
    fn decode_entry(key: &str, value: &[u8]) -> FleetEntry;
    /// Returns the instance whose entry is stored under a key; `None` if the key belongs to no
    /// backend server.
    fn instance_of_key(key: &str) -> Option<&str>;
}
