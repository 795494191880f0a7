//! Generates traces with the traffic properties of a deployment from a seed.
//!
//! A prompt has three levels: a set of files of the workspace, a group (a float or a tenancy), and
//! the question. File sets and groups follow a Zipf distribution. In addition, a few prompt
//! prefixes receive a large share of the requests, and are replaced after half of the trace.
//! Arrivals are a Poisson process whose rate is multiplied by `peak_factor` during the load peak.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};

use crate::{
    deployment::{DeploymentSpec, WorkspaceSpec},
    trace::{TraceClass, TraceRequest},
};

/// Number of pieces in a set of files.
const PIECES_PER_FILE_SET: usize = 8;
/// Number of pieces in a group.
const PIECES_PER_GROUP: usize = 3;
/// Number of groups for each set of files.
const GROUPS_PER_FILE_SET: usize = 10;
/// Exponent of the Zipf distribution of file sets and groups.
const ZIPF_EXPONENT: f64 = 1.1;
/// Number of prompt prefixes that are hot at the same time.
const HOT_PREFIX_COUNT: usize = 3;
/// Share of the completion requests that use a hot prefix.
const HOT_PREFIX_SHARE: f64 = 0.25;
/// Range of the response length of short requests, in tokens.
const SHORT_TOKENS: std::ops::Range<u32> = 20..60;
/// Range of the response length of drafts, in tokens.
const DRAFT_TOKENS: std::ops::Range<u32> = 500..1_100;
/// Deadline of short requests, in milliseconds after the arrival.
const SHORT_DEADLINE_MS: u64 = 4_000;
/// Deadline of drafts, in milliseconds after the arrival.
const DRAFT_DEADLINE_MS: u64 = 40_000;
/// Deadline of bookings, in milliseconds after the arrival.
const BOOKING_DEADLINE_MS: u64 = 2_000;

/// Settings of a generated trace.
#[derive(Debug, Clone, Copy)]
pub struct GenerateSettings {
    /// Deployment whose workspaces and request rates are used.
    pub deployment: DeploymentSpec,
    /// Seed of all random choices.
    pub seed: u64,
    /// Length of the trace, in milliseconds.
    pub duration_ms: u64,
    /// Factor on the rate of completion requests during the load peak.
    pub peak_factor: f64,
    /// Factor on the deployment's request rates, for example to generate smaller traces.
    pub rate_factor: f64,
}

impl GenerateSettings {
    /// Time range of the load peak in milliseconds: a fifth of the trace, right after its first
    /// half.
    pub fn peak_window(&self) -> std::ops::Range<u64> {
        self.duration_ms / 2..self.duration_ms * 7 / 10
    }
}

/// The prefix of a prompt, up to the question: indices of the workspace, its file set and the group.
#[derive(Debug, Clone, Copy)]
struct PromptPrefix {
    workspace: usize,
    file_set: usize,
    group: usize,
}

/// State of the generation of one trace.
struct Generator {
    settings: GenerateSettings,
    rng: SmallRng,
    hot_prefixes: Vec<PromptPrefix>,
    /// Number of questions so far; it makes each question unique.
    question_count: u64,
}

/// Generates a trace. Equal settings give equal traces.
pub fn generate_trace(settings: GenerateSettings) -> Vec<TraceRequest> {
    let rng = SmallRng::seed_from_u64(settings.seed);
    let mut generator = Generator { settings, rng, hot_prefixes: Vec::new(), question_count: 0 };
    generator.replace_hot_prefixes();
    let mut requests = generator.generate_completions();
    requests.extend(generator.generate_bookings());
    requests.sort_by_key(|request| request.arrival_ms);
    requests
}

/// Generates a warm-up: one request with one response token for every prompt prefix, in random
/// order.
///
/// Without a warm-up, a short trace would mostly measure empty caches, which a real deployment has
/// only once.
pub fn generate_warm_up(
    deployment: DeploymentSpec,
    seed: u64,
    duration_ms: u64,
) -> Vec<TraceRequest> {
    let settings =
        GenerateSettings { deployment, seed, duration_ms, peak_factor: 1.0, rate_factor: 1.0 };
    let rng = SmallRng::seed_from_u64(seed);
    let mut generator = Generator { settings, rng, hot_prefixes: Vec::new(), question_count: 0 };
    let mut prefixes: Vec<PromptPrefix> = Vec::new();
    for (workspace, spec) in deployment.workspaces.iter().enumerate() {
        for file_set in 0..spec.file_sets {
            prefixes.extend((0..GROUPS_PER_FILE_SET).map(|group| PromptPrefix {
                workspace,
                file_set,
                group,
            }));
        }
    }
    prefixes.shuffle(&mut generator.rng);
    let count = prefixes.len() as u64;
    let requests = prefixes.into_iter().enumerate().map(|(index, prefix)| {
        let mut pieces = generator.piece_names(prefix);
        // Later requests share only the prefix, and not the question.
        pieces.pop();
        TraceRequest {
            arrival_ms: index as u64 * duration_ms / count,
            workspace: deployment.workspaces[prefix.workspace].name.to_string(),
            class: TraceClass::Short,
            pieces,
            output_tokens: 1,
            idempotent: true,
            deadline_ms: DRAFT_DEADLINE_MS,
        }
    });
    requests.collect()
}

impl Generator {
    fn generate_completions(&mut self) -> Vec<TraceRequest> {
        let spec = self.settings.deployment;
        let base_rate = spec.rate_per_engine * spec.engines as f64 * self.settings.rate_factor;
        let peak = self.settings.peak_window();
        let mut requests = Vec::new();
        let mut at_ms = 0.0;
        let mut hot_prefixes_replaced = false;
        loop {
            let factor =
                if peak.contains(&(at_ms as u64)) { self.settings.peak_factor } else { 1.0 };
            at_ms += self.sample_interval_ms(base_rate * factor);
            if at_ms >= self.settings.duration_ms as f64 {
                return requests;
            }
            if !hot_prefixes_replaced && at_ms >= self.settings.duration_ms as f64 / 2.0 {
                self.replace_hot_prefixes();
                hot_prefixes_replaced = true;
            }
            requests.push(self.generate_completion(at_ms as u64));
        }
    }

    fn generate_bookings(&mut self) -> Vec<TraceRequest> {
        let rate = self.settings.deployment.booking_rate * self.settings.rate_factor;
        let mut requests = Vec::new();
        let mut at_ms = self.sample_interval_ms(rate);
        while at_ms < self.settings.duration_ms as f64 {
            let workspace = self.sample_workspace();
            requests.push(TraceRequest {
                arrival_ms: at_ms as u64,
                workspace: self.settings.deployment.workspaces[workspace].name.to_string(),
                class: TraceClass::Booking,
                pieces: Vec::new(),
                output_tokens: 0,
                idempotent: false,
                deadline_ms: BOOKING_DEADLINE_MS,
            });
            at_ms += self.sample_interval_ms(rate);
        }
        requests
    }

    /// Samples the time until the next arrival of a Poisson process, in milliseconds.
    fn sample_interval_ms(&mut self, rate_per_second: f64) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        -uniform.ln() * 1_000.0 / rate_per_second.max(f64::EPSILON)
    }

    fn replace_hot_prefixes(&mut self) {
        self.hot_prefixes = (0..HOT_PREFIX_COUNT).map(|_| self.sample_prefix()).collect();
    }

    fn sample_workspace(&mut self) -> usize {
        let workspaces = self.settings.deployment.workspaces;
        let total: f64 = workspaces.iter().map(|workspace| workspace.weight).sum();
        let mut remaining = self.rng.random_range(0.0..total);
        for (index, workspace) in workspaces.iter().enumerate() {
            remaining -= workspace.weight;
            if remaining <= 0.0 {
                return index;
            }
        }
        0
    }

    /// Samples a number below `count` from a Zipf distribution; lower numbers are more frequent.
    fn sample_zipf(&mut self, count: usize) -> usize {
        let weight = |rank: usize| 1.0 / ((rank + 1) as f64).powf(ZIPF_EXPONENT);
        let total: f64 = (0..count).map(weight).sum();
        let mut remaining = self.rng.random_range(0.0..total);
        for rank in 0..count {
            remaining -= weight(rank);
            if remaining <= 0.0 {
                return rank;
            }
        }
        0
    }

    fn sample_prefix(&mut self) -> PromptPrefix {
        let workspace = self.sample_workspace();
        let WorkspaceSpec { file_sets, .. } = self.settings.deployment.workspaces[workspace];
        PromptPrefix {
            workspace,
            file_set: self.sample_zipf(file_sets),
            group: self.sample_zipf(GROUPS_PER_FILE_SET),
        }
    }

    fn generate_completion(&mut self, arrival_ms: u64) -> TraceRequest {
        let prefix = match self.rng.random_bool(HOT_PREFIX_SHARE) {
            true => self.hot_prefixes[self.rng.random_range(0..HOT_PREFIX_COUNT)],
            false => self.sample_prefix(),
        };
        let is_draft = self.rng.random_bool(self.settings.deployment.draft_share);
        let (class, tokens, deadline_ms) = match is_draft {
            true => (TraceClass::Draft, DRAFT_TOKENS, DRAFT_DEADLINE_MS),
            false => (TraceClass::Short, SHORT_TOKENS, SHORT_DEADLINE_MS),
        };
        self.question_count += 1;
        TraceRequest {
            arrival_ms,
            workspace: self.settings.deployment.workspaces[prefix.workspace].name.to_string(),
            class,
            pieces: self.piece_names(prefix),
            output_tokens: self.rng.random_range(tokens),
            idempotent: true,
            deadline_ms,
        }
    }

    fn piece_names(&self, prefix: PromptPrefix) -> Vec<String> {
        let PromptPrefix { workspace, file_set, group } = prefix;
        let name = self.settings.deployment.workspaces[workspace].name;
        let group_name = self.settings.deployment.group_name;
        let files = (0..PIECES_PER_FILE_SET).map(|piece| format!("{name}/files{file_set}/{piece}"));
        let groups = (0..PIECES_PER_GROUP)
            .map(|piece| format!("{name}/files{file_set}/{group_name}{group}/{piece}"));
        let question = format!("{name}/question{}", self.question_count);
        files.chain(groups).chain([question]).collect()
    }
}
