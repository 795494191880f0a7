//! Inputs and results of a routing decision.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CandidateList, CostParts};
use crate::{
    ids::{IncarnationId, ModelKey, ServerKey, WeightsVersion},
    prefix::PrefixChain,
};

/// Class of a request by its predicted work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Little predicted work, such as a stock question.
    Short,
    /// Much predicted work, such as drafting a manifest.
    Long,
}

/// A request to be routed.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// The requested model.
    pub model: ModelKey,
    /// The weights version that the chain's salt includes. Only servers with this version are
    /// chosen.
    pub weights: WeightsVersion,
    /// The prompt's piece hashes, salted with workspace, model and weights version.
    pub chain: &'a PrefixChain,
    /// Class by predicted work, which determines the slot limits.
    pub class: RequestClass,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Predicted number of tokens in the answer.
    pub decode_tokens: u32,
    /// Servers that must not be chosen, such as those of earlier attempts.
    pub excluded: &'a [ServerKey],
    /// Whether the request must run without other requests on its server, because it is suspected
    /// of crashing servers.
    pub exclusive: bool,
}

/// Why a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteReason {
    /// The server holds a part of the prefix, and no candidate holds more.
    PrefixHit,
    /// No candidate holds any of the prefix, and the server is one of its homes.
    PrefixHome,
    /// Other candidates cost more. This applies if one of them holds a longer prefix, or if none
    /// holds any of it and the server is not a home.
    LowerCost,
    /// The server is a straggler, usually one that is due for a probe.
    Probe,
    /// A baseline policy chose it.
    Baseline,
}

/// A chosen server and the basis of the choice.
#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub struct RouteDecision {
    /// The chosen server.
    pub server: ServerKey,
    /// The server's incarnation that the decision is based on.
    pub incarnation: IncarnationId,
    /// Why the server was chosen.
    pub reason: RouteReason,
    /// Number of leading pieces that the server is believed to hold.
    pub hit_pieces: u16,
    /// Number of pieces in `hit_pieces` whose records are uncertain.
    pub uncertain_pieces: u16,
    /// Number of pieces after the hit that the KV cache store should send to the server.
    pub transfer_pieces: u16,
    /// Expected cost by component.
    pub cost: CostParts,
    /// All servers that were compared, including the chosen one.
    pub candidates: CandidateList,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum RouteRefusal {
    /// No server holds the model.
    NoServer,
    /// No server with the model can answer: each is draining, unreachable or excluded, or holds
    /// other weights.
    NoneEligible,
    /// Every candidate is at its slot limit.
    Saturated {
        /// Expected time until a slot is free.
        retry_after: Duration,
    },
}
