//! Predicts the work of a request from earlier answers to similar requests of its workspace.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{ids::WorkspaceKey, routing::RequestClass};

/// Requests with less predicted work than this, in milliseconds, are short.
pub const SHORT_WORK_LIMIT_MS: f32 = 5_000.0;
/// Maximum number of pairs of workspace and size bucket with statistics of their own. Further pairs
/// use the statistics over all workspaces.
const MAX_WORKSPACE_BUCKETS: usize = 8_192;
/// Weight of the newest answer in the moving averages.
const SMOOTHING_FACTOR: f32 = 0.1;
/// Number of answers before statistics are used for predictions.
const MIN_SAMPLES: u32 = 5;
/// Predicted answer length in tokens while there are no statistics and the client set no limit.
const DEFAULT_ANSWER_TOKENS: f32 = 200.0;
/// Number of mean absolute deviations added to the mean. The prediction errs on the high side,
/// because an underestimate lets a long request use the slots reserved for short ones.
const SAFETY_DEVIATIONS: f32 = 1.0;

/// Properties of a request that are known before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestFeatures {
    /// Workspace that sent the request.
    pub workspace: WorkspaceKey,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens that are expected to be cached at the engine.
    pub cached_tokens: u32,
    /// Maximum number of answer tokens, if the client set one.
    pub max_tokens: Option<u32>,
}

impl RequestFeatures {
    /// Returns a bucket by the magnitudes of the client's limit and of the prompt, since requests
    /// for different purposes, such as a form letter and a question, differ in both.
    fn size_bucket(&self) -> u16 {
        let limit = self.max_tokens.map_or(0, |tokens| 33 - tokens.leading_zeros());
        let prompt = (32 - self.prompt_tokens.leading_zeros()) / 2;
        (limit * 32 + prompt) as u16
    }
}

/// Time that an engine needs per token.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct TokenCosts {
    /// Prefill time per prompt token, in milliseconds.
    pub prefill_ms: f32,
    /// Decode time per answer token, in milliseconds.
    pub decode_ms: f32,
}

impl Default for TokenCosts {
    fn default() -> TokenCosts {
        TokenCosts { prefill_ms: 0.05, decode_ms: 20.0 }
    }
}

/// Predicted work of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct WorkPrediction {
    /// Number of prompt tokens to prefill, without the cached ones.
    pub prefill_tokens: u32,
    /// Predicted number of answer tokens.
    pub decode_tokens: u32,
    /// Predicted time in milliseconds that the request occupies a slot.
    pub work_ms: f32,
    /// Class that the predicted work falls into.
    pub class: RequestClass,
}

impl WorkPrediction {
    /// Returns the priority for the engine's scheduler: the predicted work in whole seconds, so
    /// that shorter requests run first.
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
        // The first answers have equal weight, so that the initial value of zero has no influence.
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

/// Predicts the length of answers with moving averages of earlier ones.
#[derive(Debug, Clone, Default)]
pub struct WorkPredictor {
    costs: TokenCosts,
    workspace_stats: HashMap<(WorkspaceKey, u16), AnswerStats>,
    /// Statistics by size bucket over all workspaces.
    bucket_stats: HashMap<u16, AnswerStats>,
}

impl WorkPredictor {
    /// Creates a predictor without statistics.
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
            // Without statistics, the client's limit is the best guess.
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

    /// Adds the length of a complete answer to the statistics.
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

    /// Discards the statistics of a workspace that no longer exists.
    pub fn forget(&mut self, workspace: WorkspaceKey) {
        self.workspace_stats.retain(|(owner, _), _| *owner != workspace);
    }
}
