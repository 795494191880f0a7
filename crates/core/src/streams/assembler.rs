//! Assembles one stream for its caller from the chunks of its attempts.

use smallvec::SmallVec;

use super::{
    AttemptFault, AttemptId, AttemptStart, ChunkAction, DropReason, FailureAction, MAX_ATTEMPTS,
    MAX_CHUNK_BYTES, MAX_CHUNK_TOKENS, MAX_RESUME_TEXT_BYTES, MAX_RUNNING_ATTEMPTS, ResumeLimit,
    ResumeState, StreamChunk, StreamError, StreamSpec,
};
use crate::ids::NodeIncarnation;

/// The attempts at one request and the part of the answer that was delivered to the caller.
///
/// Invariant: delivered chunks are contiguous from offset zero.
#[derive(Debug, Clone)]
pub struct StreamAssembler {
    entry: NodeIncarnation,
    request: u64,
    spec: StreamSpec,
    opened: u16,
    /// Attempts whose chunks may be delivered. Only one remains after the first delivery.
    running: SmallVec<[AttemptId; MAX_RUNNING_ATTEMPTS]>,
    delivered: u32,
    /// The delivered text, or `None` once it has exceeded [`MAX_RESUME_TEXT_BYTES`].
    text: Option<String>,
    finished: bool,
    may_have_run: bool,
}

impl StreamAssembler {
    /// Creates the stream of a request. `request` must be unique among the requests of this
    /// incarnation of the entry.
    pub fn new(entry: NodeIncarnation, request: u64, spec: StreamSpec) -> StreamAssembler {
        StreamAssembler {
            entry,
            request,
            spec,
            opened: 0,
            running: SmallVec::new(),
            delivered: 0,
            text: Some(String::new()),
            finished: false,
            may_have_run: false,
        }
    }

    /// Returns the number of delivered tokens.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Returns whether any attempt may have run on an engine.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns whether the whole answer was delivered.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Returns the attempts whose chunks may still be delivered.
    pub fn running_attempts(&self) -> &[AttemptId] {
        &self.running
    }

    /// Returns whether a hedge may be opened: one attempt is running and nothing was delivered.
    pub fn can_hedge(&self) -> bool {
        self.running.len() == 1 && self.delivered == 0 && self.opened < MAX_ATTEMPTS
    }

    /// Opens the first attempt, a hedge or a resume. Returns `None` if no further attempt is
    /// allowed.
    pub fn open_attempt(&mut self) -> Option<AttemptStart> {
        let hedges = !self.running.is_empty();
        if self.finished || self.opened >= MAX_ATTEMPTS || (hedges && !self.can_hedge()) {
            return None;
        }
        let text = self.text.clone()?;
        let id = AttemptId { entry: self.entry, request: self.request, number: self.opened };
        self.opened += 1;
        self.running.push(id);
        let resume = ResumeState {
            offset: self.delivered,
            text,
            weights_version: self.spec.weights_version,
            cache_salt: self.spec.cache_salt.clone(),
        };
        Some(AttemptStart { id, resume })
    }

    /// Checks a chunk of `attempt` and decides how to handle it.
    pub fn accept_chunk(&mut self, attempt: AttemptId, chunk: StreamChunk<'_>) -> ChunkAction {
        if let Err(cause) = self.check_attempt(attempt) {
            return ChunkAction::Drop(cause);
        }
        let Some(end) = chunk.offset.checked_add(chunk.tokens) else {
            return ChunkAction::Fail(AttemptFault::InvalidChunk);
        };
        if chunk.tokens > MAX_CHUNK_TOKENS
            || chunk.text.len() > MAX_CHUNK_BYTES
            || (chunk.tokens == 0 && !chunk.text.is_empty())
        {
            return ChunkAction::Fail(AttemptFault::InvalidChunk);
        }
        if chunk.offset > self.delivered {
            return ChunkAction::Fail(AttemptFault::MissingTokens);
        }
        if chunk.tokens == 0 && !chunk.has_finish_reason {
            return ChunkAction::Drop(DropReason::Empty);
        }
        if chunk.offset < self.delivered {
            // The text of a chunk cannot be split by tokens, so a chunk that overlaps the delivered
            // tokens is invalid. So is a finish reason before the delivered offset.
            let is_duplicate = end <= self.delivered && !chunk.has_finish_reason;
            return if is_duplicate {
                ChunkAction::Drop(DropReason::Duplicate)
            } else {
                ChunkAction::Fail(AttemptFault::InvalidChunk)
            };
        }
        self.deliver(attempt, chunk, end)
    }

    fn deliver(&mut self, attempt: AttemptId, chunk: StreamChunk<'_>, end: u32) -> ChunkAction {
        let loser = self.running.iter().copied().find(|running| *running != attempt);
        self.running.retain(|running| *running == attempt);
        self.delivered = end;
        self.finished = chunk.has_finish_reason;
        self.may_have_run = true;
        let fits = |text: &String| text.len() + chunk.text.len() <= MAX_RESUME_TEXT_BYTES;
        self.text = self.text.take().filter(fits);
        if let Some(text) = &mut self.text {
            text.push_str(chunk.text);
        }
        ChunkAction::Deliver { cancel: loser }
    }

    /// Handles the end of the attempt's stream. Returns an error if the answer is incomplete; the
    /// caller then calls [`StreamAssembler::fail_attempt`].
    pub fn end_attempt(&self, attempt: AttemptId) -> Result<(), AttemptFault> {
        let complete = self.finished && self.running.contains(&attempt);
        if complete { Ok(()) } else { Err(AttemptFault::Truncated) }
    }

    /// Removes an attempt that is unusable, and returns how to continue.
    pub fn fail_attempt(&mut self, attempt: AttemptId, fault: AttemptFault) -> FailureAction {
        if fault != AttemptFault::NotRun {
            self.may_have_run = true;
        }
        self.running.retain(|running| *running != attempt);
        if self.finished {
            return FailureAction::Complete;
        }
        if !self.running.is_empty() {
            return FailureAction::Wait;
        }
        let limit = if self.text.is_none() {
            ResumeLimit::ResumeText
        } else if self.opened >= MAX_ATTEMPTS {
            ResumeLimit::Attempts
        } else {
            return FailureAction::Resume;
        };
        let (delivered, may_have_run) = (self.delivered, self.may_have_run);
        FailureAction::Stop(StreamError { fault, limit, delivered, may_have_run })
    }

    fn check_attempt(&self, attempt: AttemptId) -> Result<(), DropReason> {
        let own = (attempt.entry, attempt.request) == (self.entry, self.request);
        if !own || attempt.number >= self.opened {
            return Err(DropReason::UnknownAttempt);
        }
        if self.finished || !self.running.contains(&attempt) {
            return Err(DropReason::ClosedAttempt);
        }
        Ok(())
    }
}
