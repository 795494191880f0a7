//! The notices that nodes send to each other.

use std::time::Duration;

use carobvane_core::{
    clock::ClockTime,
    ids::WeightsVersion,
    overload::PressureReport,
    plans::workspace_limit::{HomeAnswer, HomeCheck, TokenAnswer, TokenAsk, TokenReturn},
    traffic::{CrashReport, LimitStatement, PromptPart, ServerLoad, SpeedSample, StreamKey},
};
use serde::{Deserialize, Serialize};

use crate::adapter::{StoreEvent, StoreRevision};

/// A notice to all other nodes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub enum NodeNotice {
    /// A server is about to load weights and takes no requests until it has.
    #[n(0)]
    Loading {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
        /// After this time the server takes requests again even without a further notice.
        #[n(1)]
        longest: Duration,
    },
    /// A server takes requests again.
    #[n(1)]
    Released {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
    },
    /// A server holds new weights.
    #[n(2)]
    Loaded {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
        /// Name of the model.
        #[n(1)]
        model: String,
        /// Version that the server holds.
        #[n(2)]
        version: WeightsVersion,
    },
    /// A request with a prompt was sent to a server.
    #[n(3)]
    Sent {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
        /// Number that identifies the attempt across all nodes.
        #[n(1)]
        request: u64,
        /// Prompt tokens that the server has to process.
        #[n(2)]
        tokens: u32,
        /// Salt under which the server will hold `parts`.
        #[n(3)]
        salt: u64,
        /// Parts of the prompt that other requests may share.
        #[n(4)]
        parts: Vec<PromptPart>,
        /// Priority of the request, 0 first; older nodes don't tell it.
        #[n(5)]
        #[serde(skip)]
        priority: Option<u8>,
        /// Tokens that the request holds at the server at most; older nodes don't tell it.
        #[n(6)]
        #[serde(skip)]
        kv_tokens: Option<u64>,
    },
    /// A server responded to a request, or the request ended without a response.
    #[n(4)]
    Answered {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
        /// Number of the attempt as in [`NodeNotice::Sent`]; 0 if the notice only reports the load.
        #[n(1)]
        request: u64,
        /// Load that the server reported, if any.
        #[n(2)]
        load: Option<ServerLoad>,
        /// Salt under which the server now holds `parts`.
        #[n(3)]
        salt: u64,
        /// Parts of the prompt that other requests may share; empty if the request failed.
        #[n(4)]
        parts: Vec<PromptPart>,
        /// Whether the server saves the parts to the first KV cache store.
        #[n(5)]
        saves: bool,
        /// Number of another KV cache store to which the server saves the parts.
        #[n(6)]
        #[serde(skip)]
        saved_to: Option<u64>,
        /// What the response showed of the server's speed; older nodes don't tell it.
        #[n(7)]
        #[serde(skip)]
        speed: Option<SpeedSample>,
    },
    /// An engine has cached parts, or has dropped them.
    #[n(5)]
    Cached {
        /// Instance name of the engine.
        #[n(0)]
        instance: String,
        /// Identities of the parts, each combined with its salt.
        #[n(1)]
        parts: Vec<u64>,
        /// Whether the parts are cached now.
        #[n(2)]
        held: bool,
    },
    /// Whether the first KV cache store can be used.
    #[n(6)]
    CacheStore {
        /// Whether the store responds.
        #[n(0)]
        up: bool,
        /// Epoch of the store; changes when it restarts empty.
        #[n(1)]
        epoch: u64,
    },
    /// A server has said that it leaves.
    #[n(7)]
    Leaving {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
        /// Start of its incarnation in Unix milliseconds; 0 if unknown.
        #[n(1)]
        started_at_ms: u64,
    },
    /// A server did not respond.
    #[n(8)]
    Silent {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
    },
    /// All changes of one revision of the platform's store.
    #[n(9)]
    Changed {
        /// Revision of the preceding change; a receiver that lacks it reads the store.
        #[n(0)]
        after: StoreRevision,
        /// The changes. There are several if a lease ended that several keys were attached to.
        #[n(1)]
        events: Vec<StoreEvent>,
    },
    /// A change of the platform's store was too large for a notice, so receivers have to read it
    /// from the store.
    #[n(10)]
    Behind {
        /// Revision of the change.
        #[n(0)]
        revision: StoreRevision,
    },
    /// All that the sender knows of a request under which servers ended.
    #[n(11)]
    Crashes(#[n(0)] CrashReport),
    /// What the sender knows of the limit of a server, and has sent to it.
    #[n(12)]
    Limited {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
        /// Incarnation of the sending node.
        #[n(1)]
        sender: u64,
        /// The limit.
        #[n(2)]
        statement: LimitStatement,
        /// Number of requests that the sender has sent while the server was limited.
        #[n(3)]
        sent: u64,
    },
    /// The sender wants to know at which software version a stream began.
    #[n(13)]
    StreamWanted {
        /// The stream.
        #[n(0)]
        stream: StreamKey,
        /// Service that its client asks for.
        #[n(1)]
        service: String,
    },
    /// The software version at which a stream began; `None` if the sender does not know it.
    #[n(14)]
    StreamOrigin {
        /// The stream.
        #[n(0)]
        stream: StreamKey,
        /// Version of the software.
        #[n(1)]
        software: Option<String>,
    },
    /// The sender wants to know whether the receiver reaches a server.
    #[n(15)]
    LinksWanted,
    /// Whether the sender reaches a server.
    #[n(16)]
    Links {
        /// Whether it does.
        #[n(0)]
        reaches: bool,
    },
    /// The servers of a service fall over if they reject too many requests in a second.
    #[n(17)]
    Brittle {
        /// Name of the service.
        #[n(0)]
        service: String,
        /// Rejections in a second that each server bears from all nodes together.
        #[n(1)]
        limit: u32,
    },
    /// How many requests of the sender at a brittle server have not ended.
    #[n(18)]
    InFlight {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
        /// Incarnation of the sending node.
        #[n(1)]
        sender: u64,
        /// Number of requests.
        #[n(2)]
        count: u32,
    },
    /// A brittle server rejected a request of the sender.
    #[n(19)]
    Rejected {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
        /// Number of requests that waited there, if it reported it.
        #[n(1)]
        waiting: Option<u32>,
    },
    /// A node reaches no server, although others do.
    #[n(20)]
    Unlinked {
        /// Name of the node.
        #[n(0)]
        name: String,
    },
    /// A watcher has found nothing newer than a revision in the platform's store.
    #[n(21)]
    #[serde(skip)]
    UpToDate {
        /// Incarnation of the watcher.
        #[n(0)]
        watcher: u64,
        /// The revision.
        #[n(1)]
        revision: StoreRevision,
        /// When the watcher sent the call that has shown it, by its clock.
        #[n(2)]
        checked_at: ClockTime,
        /// When it sent this notice, by its clock.
        #[n(3)]
        told_at: ClockTime,
    },
    /// Whether a server responds, as the sender has found out. Nodes of earlier builds learn of a server
    /// that cannot be connected to by [`NodeNotice::Silent`].
    #[n(28)]
    #[serde(skip)]
    Reachability {
        /// Instance name of the server.
        #[n(0)]
        instance: String,
        /// How long ago the first request or probe without a response was sent; `None` if the server has
        /// responded to the sender.
        #[n(1)]
        unheard: Option<Duration>,
    },
    /// Whether a KV cache store other than the first can be used.
    #[n(27)]
    #[serde(skip)]
    FurtherStore {
        /// Number of the store.
        #[n(0)]
        store: u64,
        /// Whether it responds.
        #[n(1)]
        up: bool,
        /// Epoch of the store; changes when it restarts empty.
        #[n(2)]
        epoch: u64,
    },
    /// Asks the home of a slot for tokens of a workspace's limit.
    #[n(22)]
    #[serde(skip)]
    TokensWanted(#[n(0)] TokenAsk),
    /// Answers [`NodeNotice::TokensWanted`].
    #[n(23)]
    #[serde(skip)]
    TokensAnswered(#[n(0)] TokenAnswer),
    /// Gives granted tokens back to the home of a slot, since no server ran the request.
    #[n(24)]
    #[serde(skip)]
    TokensUnused(#[n(0)] TokenReturn),
    /// Asks which nodes the receiver knows, or answers that.
    #[n(25)]
    #[serde(skip)]
    HomeCheck(#[n(0)] HomeMessage),
    /// What the sender sees of the pressure of a service.
    #[n(26)]
    #[serde(skip)]
    Pressure(#[n(0)] PressureReport),
}

/// What nodes that grant tokens tell each other of the nodes that they know.
#[derive(Debug, Clone, PartialEq)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub enum HomeMessage {
    /// Asks whether the receiver knows the sender.
    #[n(0)]
    Asked(#[n(0)] HomeCheck),
    /// Answers [`HomeMessage::Asked`].
    #[n(1)]
    Answered(#[n(0)] HomeAnswer),
}

impl NodeNotice {
    /// Whether a later arrival, or none, at some node costs more than a worse choice of a server.
    pub fn is_urgent(&self) -> bool {
        match self {
            NodeNotice::Loading { .. }
            | NodeNotice::Released { .. }
            | NodeNotice::Loaded { .. }
            | NodeNotice::Leaving { .. }
            | NodeNotice::Changed { .. }
            | NodeNotice::Behind { .. }
            | NodeNotice::Crashes(_)
            | NodeNotice::Limited { .. }
            | NodeNotice::StreamWanted { .. }
            | NodeNotice::StreamOrigin { .. }
            | NodeNotice::LinksWanted
            | NodeNotice::Links { .. }
            | NodeNotice::Brittle { .. }
            | NodeNotice::Rejected { .. }
            | NodeNotice::Unlinked { .. }
            | NodeNotice::Reachability { .. }
            | NodeNotice::UpToDate { .. }
            | NodeNotice::TokensWanted(_)
            | NodeNotice::TokensAnswered(_)
            | NodeNotice::TokensUnused(_)
            | NodeNotice::HomeCheck(_) => true,
            NodeNotice::Sent { .. }
            | NodeNotice::Answered { .. }
            | NodeNotice::Cached { .. }
            | NodeNotice::CacheStore { .. }
            | NodeNotice::FurtherStore { .. }
            | NodeNotice::Silent { .. }
            | NodeNotice::InFlight { .. }
            | NodeNotice::Pressure(_) => false,
        }
    }
}
