//! Assembles one stream.

use smallvec::SmallVec;

use super::{
    AttemptFault, AttemptId, AttemptStart, ChunkVerdict, DropCause, MAX_ATTEMPTS, MAX_CHUNK_BYTES,
    MAX_CHUNK_TOKENS, MAX_RESUME_TEXT_BYTES, MAX_RUNNING_ATTEMPTS, NextStep, ResumeState,
    StreamChunk, StreamError, StreamLimit, StreamSpec,
};
use crate::ids::NodeIncarnation;

/// The state of one stream towards its caller.
///
/// Invariant: delivered chunks are contiguous from offset zero, and each begins where the one
/// before it ended.
#[derive(Debug, Clone)]
pub struct StreamAssembler {
    life: NodeIncarnation,
    request: u64,
    spec: StreamSpec,
    opened: u16,
    /// Attempts that may deliver. Once one has delivered, it is the only one.
    running: SmallVec<[AttemptId; MAX_RUNNING_ATTEMPTS]>,
    delivered: u32,
    /// The delivered text, or `None` when it has grown above [`MAX_RESUME_TEXT_BYTES`].
    text: Option<String>,
    finished: bool,
    may_have_run: bool,
}

impl StreamAssembler {
    /// Creates the stream of a request. `request` is unique in the entry's life.
    pub fn new(life: NodeIncarnation, request: u64, spec: StreamSpec) -> StreamAssembler {
        StreamAssembler {
            life,
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

    /// Tokens that the caller has.
    pub fn delivered(&self) -> u32 {
        self.delivered
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Whether the caller has the whole answer.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    /// Attempts that may still deliver.
    pub fn running(&self) -> &[AttemptId] {
        &self.running
    }

    /// Whether a hedge may be opened: one attempt runs and nothing has been delivered.
    pub fn may_hedge(&self) -> bool {
        self.running.len() == 1 && self.delivered == 0 && self.opened < MAX_ATTEMPTS
    }

    /// Opens the first attempt, a hedge, or a resume. `None` if no further attempt is allowed.
    pub fn open(&mut self) -> Option<AttemptStart> {
        let hedges = !self.running.is_empty();
        if self.finished || self.opened >= MAX_ATTEMPTS || (hedges && !self.may_hedge()) {
            return None;
        }
        let text = self.text.clone()?;
        let id = AttemptId { life: self.life, request: self.request, number: self.opened };
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

    /// Decides about a chunk that names `attempt`.
    pub fn accept(&mut self, attempt: AttemptId, chunk: StreamChunk<'_>) -> ChunkVerdict {
        if let Err(cause) = self.check_running(attempt) {
            return ChunkVerdict::Drop(cause);
        }
        let Some(end) = chunk.offset.checked_add(chunk.tokens) else {
            return ChunkVerdict::Fail(AttemptFault::Garbage);
        };
        if chunk.tokens > MAX_CHUNK_TOKENS
            || chunk.text.len() > MAX_CHUNK_BYTES
            || (chunk.tokens == 0 && !chunk.text.is_empty())
        {
            return ChunkVerdict::Fail(AttemptFault::Garbage);
        }
        if chunk.offset > self.delivered {
            return ChunkVerdict::Fail(AttemptFault::Gap);
        }
        if chunk.tokens == 0 && !chunk.finishes {
            return ChunkVerdict::Drop(DropCause::Empty);
        }
        if chunk.offset < self.delivered {
            // A part of a chunk cannot be delivered: its text is not split by tokens. A finish
            // before the delivered offset contradicts what the caller has.
            let is_duplicate = end <= self.delivered && !chunk.finishes;
            return if is_duplicate {
                ChunkVerdict::Drop(DropCause::Duplicate)
            } else {
                ChunkVerdict::Fail(AttemptFault::Garbage)
            };
        }
        self.deliver(attempt, chunk, end)
    }

    fn deliver(&mut self, attempt: AttemptId, chunk: StreamChunk<'_>, end: u32) -> ChunkVerdict {
        let loser = self.running.iter().copied().find(|running| *running != attempt);
        self.running.retain(|running| *running == attempt);
        self.delivered = end;
        self.finished = chunk.finishes;
        self.may_have_run = true;
        let fits = |text: &String| text.len() + chunk.text.len() <= MAX_RESUME_TEXT_BYTES;
        self.text = self.text.take().filter(fits);
        if let Some(text) = &mut self.text {
            text.push_str(chunk.text);
        }
        ChunkVerdict::Deliver { cancel: loser }
    }

    /// The engine ended the attempt's stream. `Ok` if the answer is complete; after an error,
    /// continue with [`StreamAssembler::fail`].
    pub fn end(&self, attempt: AttemptId) -> Result<(), AttemptFault> {
        let complete = self.finished && self.running.contains(&attempt);
        if complete { Ok(()) } else { Err(AttemptFault::Short) }
    }

    /// An attempt cannot be used any more.
    pub fn fail(&mut self, attempt: AttemptId, fault: AttemptFault) -> NextStep {
        if fault != AttemptFault::NotRun {
            self.may_have_run = true;
        }
        self.running.retain(|running| *running != attempt);
        if self.finished {
            return NextStep::Complete;
        }
        if !self.running.is_empty() {
            return NextStep::Wait;
        }
        let limit = if self.text.is_none() {
            StreamLimit::ResumeText
        } else if self.opened >= MAX_ATTEMPTS {
            StreamLimit::Attempts
        } else {
            return NextStep::Resume;
        };
        let (delivered, may_have_run) = (self.delivered, self.may_have_run);
        NextStep::Stop(StreamError { fault, limit, delivered, may_have_run })
    }

    fn check_running(&self, attempt: AttemptId) -> Result<(), DropCause> {
        let own = (attempt.life, attempt.request) == (self.life, self.request);
        if !own || attempt.number >= self.opened {
            return Err(DropCause::Foreign);
        }
        if self.finished || !self.running.contains(&attempt) {
            return Err(DropCause::Late);
        }
        Ok(())
    }
}
