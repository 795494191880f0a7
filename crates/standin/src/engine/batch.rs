//! The simulated engine's batch: admission, chunked prefill and decode steps.
//!
//! A step computes up to `prefill_chunk_tokens` of one prompt and one token of each running
//! sequence. [`EngineCore::begin_step`] gives the step's cost, the caller lets that time pass, and
//! [`EngineCore::finish_step`] carries out its effects.

use actix_web::web::Bytes;
use tokio::sync::mpsc::UnboundedSender;

use super::{answer::AnswerText, state::EngineCore};

/// What a stream's body receives. A channel that closes without `End` breaks the connection.
#[derive(Debug)]
pub enum StreamItem {
    /// Bytes to send.
    Chunk(Bytes),
    /// The clean end of the body.
    End,
}

/// A completion in the engine.
#[derive(Debug)]
pub struct BatchJob {
    /// Order of arrival.
    pub sequence: u64,
    /// Lower runs first.
    pub priority: i32,
    /// The answer.
    pub text: AnswerText,
    /// Where chunks go.
    pub sender: UnboundedSender<StreamItem>,
    /// Salt of the cache.
    pub salt: u64,
    /// The prompt's pieces.
    pub hashes: Vec<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    pub target: u32,
    /// Tokens computed so far, including those of an earlier attempt.
    pub offset: u32,
    /// Tokens sent so far, including those of an earlier attempt.
    pub sent: u32,
    /// Prompt tokens left to compute; absent until the prefill begins.
    pub missing: Option<u32>,
    /// Pieces found in the cache.
    pub hit_pieces: u32,
    /// Whether a chunk has been sent.
    pub started: bool,
    /// Whether the prompt crashes the engine.
    pub poison: bool,
}

impl BatchJob {
    fn order(&self) -> (i32, u64) {
        (self.priority, self.sequence)
    }

    /// Prompt tokens that are still to be computed, as far as known.
    pub fn waiting_tokens(&self) -> u64 {
        u64::from(self.missing.unwrap_or(self.prompt_tokens))
    }

    fn send(&self, bytes: Bytes) {
        // A failed send means that the client is gone; the next step removes the job.
        let _ = self.sender.send(StreamItem::Chunk(bytes));
    }
}

/// What a step will do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StepPlan {
    /// Nothing to compute.
    Idle,
    /// A poisoned prompt reached the accelerator.
    Crash,
    /// Compute for this many simulated milliseconds.
    Compute(f64),
}

impl EngineCore {
    /// Admits waiting requests and gives the cost of the next step.
    pub fn begin_step(&mut self) -> StepPlan {
        self.remove_abandoned_jobs();
        while self.running.len() + self.prefilling.len() < self.settings.slots {
            let Some(index) = next_by_priority(&self.waiting) else { break };
            let job = self.waiting.swap_remove(index);
            self.prefilling.push(job);
        }
        let mut cost = 0.0;
        let batch = self.running.len();
        let mut decodes = batch > 0;
        if let Some(index) = next_by_priority(&self.prefilling) {
            if self.prefilling[index].poison {
                return StepPlan::Crash;
            }
            self.start_prefill(index);
            let missing = self.prefilling[index].missing.unwrap_or(0);
            let tokens = missing.min(self.settings.prefill_chunk_tokens);
            cost += f64::from(tokens) * self.settings.prefill_ms_per_token;
            // The last part of a prompt yields the first token.
            decodes |= tokens == missing;
        } else if batch == 0 {
            return StepPlan::Idle;
        }
        if decodes {
            cost += self.settings.decode_base_ms;
            cost += self.settings.decode_ms_per_sequence * batch as f64;
        }
        StepPlan::Compute(cost * self.faults.slow_factor)
    }

    fn start_prefill(&mut self, index: usize) {
        let job = &mut self.prefilling[index];
        if job.missing.is_some() {
            return;
        }
        let hits = self.cache.prefix_hit(job.salt, &job.hashes);
        let hit_tokens = (hits as u32 * self.settings.piece_tokens).min(job.prompt_tokens);
        job.hit_pieces = hits as u32;
        job.missing = Some(job.prompt_tokens - hit_tokens);
        self.counters.prompt_tokens += u64::from(job.prompt_tokens);
        self.counters.hit_tokens += u64::from(hit_tokens);
    }

    /// Carries out the effects of the step that `begin_step` planned.
    pub fn finish_step(&mut self) {
        self.decode();
        let Some(index) = next_started_prefill(&self.prefilling) else { return };
        let job = &mut self.prefilling[index];
        let missing = job.missing.unwrap_or(0);
        let tokens = missing.min(self.settings.prefill_chunk_tokens);
        job.missing = Some(missing - tokens);
        self.counters.prefill_tokens += u64::from(tokens);
        if missing > tokens {
            return;
        }
        let job = self.prefilling.swap_remove(index);
        self.store_pieces(job.salt, &job.hashes);
        self.running.push(job);
        // The prefill's last step yields the first token.
        let last = self.running.len() - 1;
        self.decode_token(last);
        self.remove_finished();
    }

    fn decode(&mut self) {
        for index in 0..self.running.len() {
            self.decode_token(index);
        }
        self.remove_finished();
    }

    /// Computes one token of a running sequence and sends what is due.
    fn decode_token(&mut self, index: usize) {
        let faults = &self.faults;
        let job = &mut self.running[index];
        if job.offset < job.target {
            job.offset += 1;
            self.counters.decode_tokens += 1;
        }
        let due = !job.started
            || job.offset - job.sent >= self.settings.chunk_tokens
            || job.offset == job.target;
        if !due || job.offset == job.sent {
            return;
        }
        let hit_pieces = (!job.started).then_some(job.hit_pieces);
        let chunk = job.text.tokens(job.sent, job.offset, hit_pieces);
        if faults.garbage {
            job.send(Bytes::from_static(b"data: {\"id\": garbage\n\n"));
        }
        if faults.mix_up {
            let mut other = job.text.clone();
            other.attempt.push_str("-other");
            other.seed ^= 1;
            job.send(other.tokens(job.sent, job.offset, None));
            job.send(chunk.clone());
        }
        job.send(chunk);
        job.started = true;
        job.sent = job.offset;
    }

    fn remove_finished(&mut self) {
        let short = self.faults.short_stream;
        let mut index = 0;
        while index < self.running.len() {
            let job = &self.running[index];
            let cut = short.is_some_and(|tokens| job.offset >= tokens && job.offset < job.target);
            if job.offset < job.target && !cut {
                index += 1;
                continue;
            }
            let job = self.running.swap_remove(index);
            if !cut {
                let hit_pieces = (!job.started).then_some(job.hit_pieces);
                for bytes in job.text.final_chunks(job.target, job.prompt_tokens, hit_pieces) {
                    job.send(bytes);
                }
                self.counters.completed += 1;
            }
            let _ = job.sender.send(StreamItem::End);
        }
    }

    fn remove_abandoned_jobs(&mut self) {
        let mut dropped = 0;
        for jobs in [&mut self.waiting, &mut self.prefilling, &mut self.running] {
            let before = jobs.len();
            jobs.retain(|job| !job.sender.is_closed());
            dropped += before - jobs.len();
        }
        self.counters.cancelled += dropped as u64;
    }

    /// Removes the job of an attempt and ends its stream. Returns whether it was there.
    pub fn cancel(&mut self, attempt: &str) -> bool {
        let mut cancelled = 0;
        for jobs in [&mut self.waiting, &mut self.prefilling, &mut self.running] {
            jobs.retain(|job| {
                let matches = job.text.attempt == attempt;
                if matches {
                    let _ = job.sender.send(StreamItem::End);
                    cancelled += 1;
                }
                !matches
            });
        }
        self.counters.cancelled += cancelled;
        cancelled > 0
    }
}

fn next_by_priority(jobs: &[BatchJob]) -> Option<usize> {
    (0..jobs.len()).min_by_key(|index| jobs[*index].order())
}

/// The job whose prefill the step computed: the first whose prefill has begun. A job that was
/// cancelled during the step leaves another one, which then gets the step's work.
fn next_started_prefill(jobs: &[BatchJob]) -> Option<usize> {
    (0..jobs.len())
        .filter(|index| jobs[*index].missing.is_some())
        .min_by_key(|index| jobs[*index].order())
}
