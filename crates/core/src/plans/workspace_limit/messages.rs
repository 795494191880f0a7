//! Messages about the limits of workspaces. All numbers are integers to keep them small: amounts in
//! thousandths of a unit, times in microseconds.

use std::time::Duration;

use crate::{clock::ClockTime, rendezvous::rendezvous_score};

/// Identifies a workspace in messages: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(minicbor::Encode, minicbor::Decode)]
#[cbor(transparent)]
pub struct WorkspaceId(#[n(0)] pub u64);

/// Identifies a node in messages, over all its incarnations: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(minicbor::Encode, minicbor::Decode)]
#[cbor(transparent)]
pub struct NodeName(#[n(0)] pub u64);

impl WorkspaceId {
    /// Derives the id of a workspace.
    pub fn from_name(name: &str) -> WorkspaceId {
        WorkspaceId(rendezvous_score(name.as_bytes(), 0))
    }
}

impl NodeName {
    /// Derives the id of a node.
    pub fn from_name(name: &str) -> NodeName {
        NodeName(rendezvous_score(name.as_bytes(), 0))
    }
}

/// One slot of a workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct SlotKey {
    /// The workspace.
    #[n(0)]
    pub workspace: WorkspaceId,
    /// Number of the slot, from 0.
    #[n(1)]
    pub slot: u8,
}

impl SlotKey {
    /// Returns the rank of a node for this slot; the highest one is the home.
    pub fn rank(self, node: NodeName) -> (u64, NodeName) {
        let mut key = [0; 9];
        key[..8].copy_from_slice(&self.workspace.0.to_le_bytes());
        key[8] = self.slot;
        (rendezvous_score(&key, node.0), node)
    }
}

/// A limit, with the version of the configuration that it is from.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct NamedLimit {
    /// Units a second.
    #[n(0)]
    pub rate: f64,
    /// Units beyond the rate.
    #[n(1)]
    pub burst: f64,
}

/// Asks the home of a slot for the tokens of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct TokenAsk {
    /// Identifies the ask across all nodes.
    #[n(0)]
    pub id: u64,
    /// The slot.
    #[n(1)]
    pub key: SlotKey,
    /// Thousandths of a unit; 0 only asks how many there are.
    #[n(2)]
    pub amount: u64,
    /// How long the request may wait for the tokens, in microseconds.
    #[n(3)]
    pub max_delay: u64,
    /// Version of the sender's configuration.
    #[n(4)]
    pub version: u64,
    /// The limit by that version; `None` if the home is known to have that version.
    #[n(5)]
    pub limit: Option<NamedLimit>,
}

/// What a home answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub enum AskOutcome {
    /// The tokens are reserved and due after this time, in microseconds.
    #[n(0)]
    Granted(#[n(0)] u64),
    /// Nothing is reserved: the tokens are not there within the time that the request may wait.
    #[n(1)]
    Short {
        /// Time after which they will be there, in microseconds.
        #[n(0)]
        wait: u64,
        /// Tokens that are there, in thousandths; negative if later ones are reserved already.
        #[n(1)]
        level: i64,
    },
    /// The receiver does not grant for the slot now.
    #[n(2)]
    NotHome,
}

/// Answers a [`TokenAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct TokenAnswer {
    /// Id of the ask.
    #[n(0)]
    pub id: u64,
    /// The slot.
    #[n(1)]
    pub key: SlotKey,
    /// What came of it.
    #[n(2)]
    pub outcome: AskOutcome,
    /// Version of the home's configuration.
    #[n(3)]
    pub version: u64,
}

/// Gives back tokens that no server's run has used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct TokenReturn {
    /// Id of the ask.
    #[n(0)]
    pub id: u64,
    /// The slot.
    #[n(1)]
    pub key: SlotKey,
}

/// Asks another node whether it knows the sender, and which nodes it has seen vanish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct HomeCheck {
    /// The sender.
    #[n(0)]
    pub node: NodeName,
    /// Its incarnation.
    #[n(1)]
    pub incarnation: u64,
    /// When it was sent, by the sender's clock.
    #[n(2)]
    pub asked_at: ClockTime,
    /// Whether the sender grants tokens now.
    #[n(3)]
    pub grants: bool,
}

/// State of a slot that its home hands to the node that takes its place, as shares, since the two nodes
/// may have different versions of the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct HandedSlot {
    /// The slot.
    #[n(0)]
    pub key: SlotKey,
    /// Millionths of the bucket's capacity that are there.
    #[n(1)]
    pub level: u64,
    /// Millionths of the window's amount that were granted within it.
    #[n(2)]
    pub used: u64,
    /// Time until the last granted tokens are due, in microseconds.
    #[n(3)]
    pub due: u64,
}

/// Answers a [`HomeCheck`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(minicbor::Encode, minicbor::Decode)]
pub struct HomeAnswer {
    /// The node that answers.
    #[n(0)]
    pub node: NodeName,
    /// Its incarnation.
    #[n(1)]
    pub incarnation: u64,
    /// As in the check.
    #[n(2)]
    pub asked_at: ClockTime,
    /// Whether the answering node has the incarnation that asks among its live nodes.
    #[n(3)]
    pub knows: bool,
    /// Nodes whose records it has seen vanish and that have not come back.
    #[n(4)]
    pub gone: Vec<NodeName>,
    /// Slots of which it was the home until it knew the asking node.
    #[n(5)]
    pub handed: Vec<HandedSlot>,
    /// Whether there may be grants of which `handed` says nothing, as there are more slots than an answer
    /// names, or as a node has vanished.
    #[n(6)]
    pub is_partial: bool,
}

/// A message about limits to one node.
#[derive(Debug, Clone, PartialEq)]
pub enum LimitMessage {
    /// Asks for tokens.
    Ask(TokenAsk),
    /// Answers [`LimitMessage::Ask`].
    Answer(TokenAnswer),
    /// Gives tokens back.
    Return(TokenReturn),
    /// Asks which nodes the receiver knows.
    Check(HomeCheck),
    /// Answers [`LimitMessage::Check`].
    CheckAnswer(HomeAnswer),
}

/// Returns an amount in thousandths, rounded up.
pub(super) fn to_milli(amount: f64) -> u64 {
    (amount * 1_000.0).ceil() as u64
}

/// Returns an amount from thousandths.
pub(super) fn from_milli(amount: u64) -> f64 {
    amount as f64 / 1_000.0
}

/// Returns a signed amount in thousandths, rounded down.
pub(super) fn to_signed_milli(amount: f64) -> i64 {
    (amount * 1_000.0).floor() as i64
}

/// Returns microseconds, at most a day.
pub(super) fn to_micros(time: Duration) -> u64 {
    time.as_micros().min(86_400_000_000) as u64
}
