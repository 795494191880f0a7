//! What a routing decision takes and returns.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CandidateList, CostParts};
use crate::{
    ids::{IncarnationId, ModelKey, ServerKey, WeightsVersion},
    prefix::PrefixChain,
};

/// Whether a request runs briefly or for long, by its predicted work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestClass {
    /// Such as a stock question.
    Short,
    /// Such as a manifest draft.
    Long,
}

/// A request for a server.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// The model that answers.
    pub model: ModelKey,
    /// The weights version that the chain was salted with.
    pub weights: WeightsVersion,
    /// The prompt's chain, salted with workspace, model and weights version.
    pub chain: &'a PrefixChain,
    /// Short or long.
    pub class: RequestClass,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Predicted tokens of the answer.
    pub decode_tokens: u32,
    /// Servers that must not be chosen, such as those of earlier attempts.
    pub excluded: &'a [ServerKey],
    /// Whether the request may only run alone on a server, because it may crash servers.
    pub exclusive: bool,
}

/// Why a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteReason {
    /// It holds the longest useful prefix.
    PrefixHit,
    /// No server holds more; it is the home of the prefix.
    PrefixHome,
    /// A server with a longer prefix exists but costs more, because of its load or slowness.
    LowerCost,
    /// It is a straggler that is due for a probe.
    Probe,
    /// A baseline policy chose it.
    Baseline,
}

/// A chosen server.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct RouteDecision {
    /// The server.
    pub server: ServerKey,
    /// The life of the server that the decision is based on.
    pub incarnation: IncarnationId,
    /// Why it was chosen.
    pub reason: RouteReason,
    /// Leading pieces that the server is believed to hold.
    pub hit_pieces: u16,
    /// Those of `hit_pieces` whose records are uncertain.
    pub uncertain_pieces: u16,
    /// Pieces after the hit that the KV cache store should send to the server.
    pub transfer_pieces: u16,
    /// Expected time to the first token, by part.
    pub cost: CostParts,
    /// All servers that were compared.
    pub candidates: CandidateList,
}

/// Why no server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum RouteRefusal {
    /// No server of the model is known.
    NoServer,
    /// Every server of the model leaves, is unreachable or excluded, or holds other weights.
    NoneEligible,
    /// Every candidate is at its slot limit.
    Saturated {
        /// When a slot is expected to be free.
        retry_after: Duration,
    },
}
