//! Continuous batching of a simulated engine: admission, chunked prefill and decode steps.
//!
//! A step computes up to `prefill_chunk_tokens` of one prompt and one token of each running
//! sequence. [`EngineCore::begin_step`] returns the cost of the step, the caller sleeps for that
//! time, and [`EngineCore::finish_step`] applies the results.

use actix_web::web::Bytes;
use tokio::sync::mpsc::UnboundedSender;

use super::{answer::AnswerText, state::EngineCore};

/// Item sent to the body of a response. If the channel closes without `End`, the connection is
/// reset.
#[derive(Debug)]
pub enum StreamItem {
    /// Bytes to send.
    Chunk(Bytes),
    /// Regular end of the body.
    End,
}

/// A completion request in the engine.
#[derive(Debug)]
pub struct BatchJob {
    /// Arrival number, set by [`EngineCore::submit`].
    pub arrival_number: u64,
    /// Scheduling priority. Lower values run first, equal ones in order of arrival.
    pub priority: i32,
    /// Content of the completion.
    pub text: AnswerText,
    /// Channel to the body of the response. It is closed when the client has disconnected.
    pub sender: UnboundedSender<StreamItem>,
    /// Cache salt. Prompts with different salts share no cached pieces.
    pub salt: u64,
    /// Hashes of the prompt's pieces, in order.
    pub hashes: Vec<u64>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the completion, in tokens.
    pub target_tokens: u32,
    /// Completion tokens computed so far, including those of an earlier attempt.
    pub offset: u32,
    /// Completion tokens sent so far, including those of an earlier attempt.
    pub sent_tokens: u32,
    /// Bytes sent under the fault `endless`.
    pub endless_bytes: usize,
    /// Prompt tokens left to compute. `None` until the prefill starts.
    pub remaining_prefill: Option<u32>,
    /// Number of leading pieces found in the cache when the prefill started.
    pub hit_pieces: u32,
    /// Whether the first chunk has been sent.
    pub first_chunk_sent: bool,
    /// Whether the prompt crashes the engine when its prefill starts.
    pub crashes_engine: bool,
}

/// Size of one piece of a stream under the fault `endless`, in bytes.
const ENDLESS_PIECE_BYTES: usize = 256 * 1024;
/// Bytes after which such a stream falls silent, so that a client without a limit fails instead of
/// filling the memory.
const MAX_ENDLESS_BYTES: usize = 16 * 1024 * 1024;

impl BatchJob {
    fn order(&self) -> (i32, u64) {
        (self.priority, self.arrival_number)
    }

    /// Returns the prompt tokens left to compute, or all of them before the prefill has started,
    /// because the cache is looked up only then.
    pub fn waiting_tokens(&self) -> u64 {
        u64::from(self.remaining_prefill.unwrap_or(self.prompt_tokens))
    }

    fn send(&self, bytes: Bytes) {
        // Sending fails if the client has disconnected; the next step removes the job.
        let _ = self.sender.send(StreamItem::Chunk(bytes));
    }

    /// Sends bytes without the end of an event, until there are more than a client may take.
    fn send_endless(&mut self) {
        if self.endless_bytes < MAX_ENDLESS_BYTES {
            self.send(Bytes::from_static(&[b'x'; ENDLESS_PIECE_BYTES]));
            self.endless_bytes += ENDLESS_PIECE_BYTES;
        }
    }
}

/// Work of the next step.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum StepPlan {
    /// There is nothing to compute.
    Idle,
    /// The prompt that is next to be prefilled crashes the engine.
    Crash,
    /// The step takes this many simulated milliseconds.
    Compute(f64),
}

impl EngineCore {
    /// Admits waiting requests to free slots and returns the work of the next step.
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
            if self.prefilling[index].crashes_engine {
                return StepPlan::Crash;
            }
            self.start_prefill(index);
            let missing = self.prefilling[index].remaining_prefill.unwrap_or(0);
            let tokens = missing.min(self.settings.prefill_chunk_tokens);
            cost += f64::from(tokens) * self.settings.prefill_ms_per_token;
            // The last chunk of a prompt also computes the first completion token.
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

    /// Looks up the prompt in the cache when its prefill starts, and does nothing afterwards.
    fn start_prefill(&mut self, index: usize) {
        let job = &mut self.prefilling[index];
        if job.remaining_prefill.is_some() {
            return;
        }
        let hits = self.cache.prefix_hit(job.salt, &job.hashes);
        let hit_tokens = (hits as u32 * self.settings.piece_tokens).min(job.prompt_tokens);
        job.hit_pieces = hits as u32;
        job.remaining_prefill = Some(job.prompt_tokens - hit_tokens);
        self.counters.prompt_tokens += u64::from(job.prompt_tokens);
        self.counters.hit_tokens += u64::from(hit_tokens);
    }

    /// Applies the results of the step that `begin_step` planned: sends tokens and updates the
    /// cache.
    pub fn finish_step(&mut self) {
        self.decode();
        let Some(index) = next_started_prefill(&self.prefilling) else { return };
        let job = &mut self.prefilling[index];
        let missing = job.remaining_prefill.unwrap_or(0);
        let tokens = missing.min(self.settings.prefill_chunk_tokens);
        job.remaining_prefill = Some(missing - tokens);
        self.counters.prefill_tokens += u64::from(tokens);
        if missing > tokens {
            return;
        }
        let job = self.prefilling.swap_remove(index);
        self.store_pieces(job.salt, &job.hashes);
        self.running.push(job);
        // The last prefill chunk also computes the first completion token.
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

    /// Computes one token of a running sequence and sends a chunk if one is due.
    fn decode_token(&mut self, index: usize) {
        let faults = &self.faults;
        let job = &mut self.running[index];
        if faults.endless {
            job.send_endless();
            return;
        }
        if job.offset < job.target_tokens {
            job.offset += 1;
            self.counters.decode_tokens += 1;
        }
        let due = !job.first_chunk_sent
            || job.offset - job.sent_tokens >= self.settings.chunk_tokens
            || job.offset == job.target_tokens;
        if !due || job.offset == job.sent_tokens {
            return;
        }
        let hit_pieces = (!job.first_chunk_sent).then_some(job.hit_pieces);
        let chunk = job.text.tokens(job.sent_tokens, job.offset, hit_pieces);
        if faults.garbage {
            job.send(Bytes::from_static(b"data: {\"id\": garbage\n\n"));
        }
        if faults.mix_up {
            let mut other = job.text.clone();
            other.attempt.push_str("-other");
            other.seed ^= 1;
            job.send(other.tokens(job.sent_tokens, job.offset, None));
            job.send(chunk.clone());
        }
        job.send(chunk);
        job.first_chunk_sent = true;
        job.sent_tokens = job.offset;
    }

    /// Ends the streams of sequences that are complete or cut short by the `short_stream` fault.
    fn remove_finished(&mut self) {
        let short = self.faults.short_stream;
        let mut index = 0;
        while index < self.running.len() {
            let job = &self.running[index];
            let cut =
                short.is_some_and(|tokens| job.offset >= tokens && job.offset < job.target_tokens);
            if job.offset < job.target_tokens && !cut {
                index += 1;
                continue;
            }
            let job = self.running.swap_remove(index);
            if !cut {
                let hit_pieces = (!job.first_chunk_sent).then_some(job.hit_pieces);
                for bytes in job.text.final_chunks(job.target_tokens, job.prompt_tokens, hit_pieces)
                {
                    job.send(bytes);
                }
                self.counters.completed += 1;
            }
            let _ = job.sender.send(StreamItem::End);
        }
    }

    /// Removes the jobs whose client has disconnected.
    fn remove_abandoned_jobs(&mut self) {
        let mut dropped = 0;
        for jobs in [&mut self.waiting, &mut self.prefilling, &mut self.running] {
            let before = jobs.len();
            jobs.retain(|job| !job.sender.is_closed());
            dropped += before - jobs.len();
        }
        self.counters.cancelled += dropped as u64;
    }

    /// Removes the job of an attempt and ends its stream. Returns whether there was one.
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

/// Returns the job whose prefill the step computed: the first one in order whose prefill has
/// started. If that job was cancelled during the step, the next started one gets the step's work.
fn next_started_prefill(jobs: &[BatchJob]) -> Option<usize> {
    (0..jobs.len())
        .filter(|index| jobs[*index].remaining_prefill.is_some())
        .min_by_key(|index| jobs[*index].order())
}
