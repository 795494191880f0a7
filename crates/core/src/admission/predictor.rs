//! Predicted work of a request, learned by workspace and kind.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{ids::WorkspaceKey, routing::RequestClass};

/// Predicted work in ms below which a request is short.
pub const SHORT_WORK_LIMIT_MS: f32 = 5_000.0;
/// Pairs of workspace and kind that are learned. Further pairs use the fleet's values.
const MAX_WORKSPACE_BUCKETS: usize = 8_192;
/// Weight of the newest answer.
const SMOOTHING_FACTOR: f32 = 0.1;
/// Answers before a workspace's own values are used.
const MIN_SAMPLES: u32 = 5;
/// Tokens assumed for an answer before anything was learned.
const DEFAULT_ANSWER_TOKENS: f32 = 200.0;
/// Mean absolute deviations added to the mean, because an underestimate lets a long request into
/// the slots of short ones.
const SAFETY_DEVIATIONS: f32 = 1.0;

/// What is known of a request before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFeatures {
    /// Whose request it is.
    pub workspace: WorkspaceKey,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the prompt that are expected to be cached.
    pub cached_tokens: u32,
    /// The caller's limit of the answer, if any.
    pub max_tokens: Option<u32>,
}

impl RequestFeatures {
    /// Requests of a workspace are kept apart by the magnitude of the caller's limit and of the
    /// prompt: a form letter and a question differ in both.
    fn size_bucket(&self) -> u16 {
        let limit = self.max_tokens.map_or(0, |tokens| 33 - tokens.leading_zeros());
        let prompt = (32 - self.prompt_tokens.leading_zeros()) / 2;
        (limit * 32 + prompt) as u16
    }
}

/// Speeds that turn tokens into time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TokenCosts {
    /// Prefill time in ms a token.
    pub prefill_ms: f32,
    /// Decode time in ms a token.
    pub decode_ms: f32,
}

impl Default for TokenCosts {
    fn default() -> TokenCosts {
        TokenCosts { prefill_ms: 0.05, decode_ms: 20.0 }
    }
}

/// Predicted work of a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WorkPrediction {
    /// Prompt tokens to prefill.
    pub prefill_tokens: u32,
    /// Tokens of the answer.
    pub decode_tokens: u32,
    /// Time in ms that the request occupies a slot.
    pub work_ms: f32,
    /// Short or long.
    pub class: RequestClass,
}

impl WorkPrediction {
    /// Priority for the engine: less predicted work runs first, in steps of a second.
    pub fn engine_priority(&self) -> i32 {
        (self.work_ms / 1_000.0) as i32
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct AnswerStats {
    mean: f32,
    deviation: f32,
    samples: u32,
}

impl AnswerStats {
    fn add(&mut self, tokens: f32) {
        self.samples = self.samples.saturating_add(1);
        // The first answers count evenly, so that the start value does not linger.
        let weight = SMOOTHING_FACTOR.max(1.0 / self.samples as f32);
        let error = tokens - self.mean;
        self.mean += error * weight;
        if self.samples > 1 {
            self.deviation += (error.abs() - self.deviation) * weight;
        }
    }

    fn estimate(&self) -> f32 {
        self.mean + self.deviation * SAFETY_DEVIATIONS
    }
}

/// Predicts the length of answers.
#[derive(Debug, Clone, Default)]
pub struct WorkPredictor {
    costs: TokenCosts,
    workspace_stats: HashMap<(WorkspaceKey, u16), AnswerStats>,
    /// By kind, over all workspaces.
    bucket_stats: HashMap<u16, AnswerStats>,
}

impl WorkPredictor {
    /// Creates a predictor that has learned nothing.
    pub fn new(costs: TokenCosts) -> WorkPredictor {
        WorkPredictor { costs, ..WorkPredictor::default() }
    }

    /// Predicts a request's work.
    pub fn predict(&self, features: &RequestFeatures) -> WorkPrediction {
        let bucket = features.size_bucket();
        let own = self.workspace_stats.get(&(features.workspace, bucket));
        let learned = own.filter(|stats| stats.samples >= MIN_SAMPLES).or_else(|| {
            self.bucket_stats.get(&bucket).filter(|stats| stats.samples >= MIN_SAMPLES)
        });
        let limit = features.max_tokens.map_or(f32::MAX, |tokens| tokens as f32);
        let tokens = match learned {
            Some(stats) => stats.estimate(),
            // A limit set by the caller is the best guess before anything was learned.
            None if features.max_tokens.is_some() => limit,
            None => DEFAULT_ANSWER_TOKENS,
        };
        let decode = tokens.clamp(1.0, limit.max(1.0));
        let prefill = features.prompt_tokens.saturating_sub(features.cached_tokens);
        let work_ms = prefill as f32 * self.costs.prefill_ms + decode * self.costs.decode_ms;
        let class =
            if work_ms < SHORT_WORK_LIMIT_MS { RequestClass::Short } else { RequestClass::Long };
        WorkPrediction { prefill_tokens: prefill, decode_tokens: decode as u32, work_ms, class }
    }

    /// Learns from a complete answer.
    pub fn observe(&mut self, features: &RequestFeatures, decode_tokens: u32) {
        let bucket = features.size_bucket();
        let key = (features.workspace, bucket);
        if self.workspace_stats.len() < MAX_WORKSPACE_BUCKETS
            || self.workspace_stats.contains_key(&key)
        {
            self.workspace_stats.entry(key).or_default().add(decode_tokens as f32);
        }
        self.bucket_stats.entry(bucket).or_default().add(decode_tokens as f32);
    }

    /// Forgets a workspace that no longer exists.
    pub fn forget(&mut self, workspace: WorkspaceKey) {
        self.workspace_stats.retain(|(owner, _), _| *owner != workspace);
    }
}
