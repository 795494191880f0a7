//! The notices that nodes send to each other.

use std::time::Duration;

use carobvane_core::{
    ids::WeightsVersion,
    traffic::{CrashReport, LimitStatement, PromptPart, ServerLoad, StreamKey},
};
use serde::{Deserialize, Serialize};

use crate::adapter::{StoreEvent, StoreRevision};

/// A notice to all other nodes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum NodeNotice {
    /// A server is about to load weights and takes no requests until it has.
    Loading {
        /// Instance name of the server.
        instance: String,
        /// After this time the server takes requests again even without a further notice.
        longest: Duration,
    },
    /// A server takes requests again.
    Released {
        /// Instance name of the server.
        instance: String,
    },
    /// A server holds new weights.
    Loaded {
        /// Instance name of the server.
        instance: String,
        /// Name of the model.
        model: String,
        /// Version that the server holds.
        version: WeightsVersion,
    },
    /// A request with a prompt was sent to a server.
    Sent {
        /// Instance name of the server.
        instance: String,
        /// Number that identifies the attempt across all nodes.
        request: u64,
        /// Prompt tokens that the server has to process.
        tokens: u32,
        /// Salt under which the server will hold `parts`.
        salt: u64,
        /// Parts of the prompt that other requests may share.
        parts: Vec<PromptPart>,
    },
    /// A server responded to a request, or the request ended without a response.
    Answered {
        /// Instance name of the server.
        instance: String,
        /// Number of the attempt as in [`NodeNotice::Sent`]; 0 if the notice only reports the load.
        request: u64,
        /// Load that the server reported, if any.
        load: Option<ServerLoad>,
        /// Salt under which the server now holds `parts`.
        salt: u64,
        /// Parts of the prompt that other requests may share; empty if the request failed.
        parts: Vec<PromptPart>,
        /// Whether the server saves the parts to the KV cache store.
        saves: bool,
    },
    /// An engine has cached parts, or has dropped them.
    Cached {
        /// Instance name of the engine.
        instance: String,
        /// Identities of the parts, each combined with its salt.
        parts: Vec<u64>,
        /// Whether the parts are cached now.
        held: bool,
    },
    /// Whether the KV cache store can be used.
    CacheStore {
        /// Whether the store responds.
        up: bool,
        /// Epoch of the store; changes when it restarts empty.
        epoch: u64,
    },
    /// A server has said that it leaves.
    Leaving {
        /// Instance name of the server.
        instance: String,
        /// Start of its incarnation in Unix milliseconds; 0 if unknown.
        started_at_ms: u64,
    },
    /// A server did not respond.
    Silent {
        /// Instance name of the server.
        instance: String,
    },
    /// All changes of one revision of the platform's store.
    Changed {
        /// Revision of the preceding change; a receiver that lacks it reads the store.
        after: StoreRevision,
        /// The changes. There are several if a lease ended that several keys were attached to.
        events: Vec<StoreEvent>,
    },
    /// A change of the platform's store was too large for a notice, so receivers have to read it
    /// from the store.
    Behind {
        /// Revision of the change.
        revision: StoreRevision,
    },
    /// All that the sender knows of a request under which servers ended.
    Crashes(CrashReport),
    /// What the sender knows of the limit of a server, and has sent to it.
    Limited {
        /// Instance name of the server.
        instance: String,
        /// Incarnation of the sending node.
        sender: u64,
        /// The limit.
        statement: LimitStatement,
        /// Number of requests that the sender has sent while the server was limited.
        sent: u64,
    },
    /// The sender wants to know at which software version a stream began.
    StreamWanted {
        /// The stream.
        stream: StreamKey,
        /// Service that its client asks for.
        service: String,
    },
    /// The software version at which a stream began; `None` if the sender does not know it.
    StreamOrigin {
        /// The stream.
        stream: StreamKey,
        /// Version of the software.
        software: Option<String>,
    },
    /// The sender wants to know whether the receiver reaches a server.
    LinksWanted,
    /// Whether the sender reaches a server.
    Links {
        /// Whether it does.
        reaches: bool,
    },
    /// The servers of a service fall over if they reject too many requests in a second.
    Brittle {
        /// Name of the service.
        service: String,
        /// Rejections in a second that each server bears from all nodes together.
        limit: u32,
    },
    /// How many requests of the sender at a brittle server have not ended.
    InFlight {
        /// Instance name of the server.
        instance: String,
        /// Incarnation of the sending node.
        sender: u64,
        /// Number of requests.
        count: u32,
    },
    /// A brittle server rejected a request of the sender.
    Rejected {
        /// Instance name of the server.
        instance: String,
        /// Number of requests that waited there, if it reported it.
        waiting: Option<u32>,
    },
    /// A node reaches no server, although others do.
    Unlinked {
        /// Name of the node.
        name: String,
    },
}
