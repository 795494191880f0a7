//! Delivers complete streams in order over one or more attempts.
//!
//! An engine may die, end its stream early, or send chunks late, twice or for another request.
//! [`StreamAssembler`] passes on exactly the next tokens of one attempt. If an attempt fails, it
//! decides whether the stream continues on another engine at the delivered offset or ends with an
//! error.

mod assembler;
mod attempt;

pub use assembler::StreamAssembler;
pub use attempt::{AttemptId, AttemptIdError};

use std::fmt;

/// Maximum number of attempts at one request, including hedges and resumes.
pub const MAX_ATTEMPTS: u16 = 4;
/// Maximum number of attempts that run at the same time: one and its hedge.
pub const MAX_RUNNING_ATTEMPTS: usize = 2;
/// Maximum size in bytes of the delivered text that is kept for a resume. It limits 1,000 open
/// streams to less than 64 MB. A longer stream cannot be resumed and ends with an error if its
/// attempt fails.
pub const MAX_RESUME_TEXT_BYTES: usize = 48 * 1024;
/// Maximum number of tokens in one chunk. A chunk with more is invalid.
pub const MAX_CHUNK_TOKENS: u32 = 4_096;
/// Maximum size in bytes of the text of one chunk. A longer chunk is invalid.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// Properties that all attempts at a stream share, so that no attempt can use other weights or
/// another salt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamSpec {
    /// The weights version that all tokens must come from.
    pub weights_version: u64,
    /// The salt of the workspace and weights version, sent to the engine as `cache_salt`.
    pub cache_salt: String,
}

/// A chunk of a stream, with the position that the engine gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamChunk<'a> {
    /// Number of tokens of the answer before this chunk.
    pub offset: u32,
    /// Number of tokens in this chunk.
    pub tokens: u32,
    /// The text of the tokens.
    pub text: &'a str,
    /// Whether the chunk contains a finish reason.
    pub has_finish_reason: bool,
}

/// How a chunk must be handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkAction {
    /// Pass the chunk on to the caller.
    Deliver {
        /// Another attempt that is no longer needed and must be cancelled.
        cancel: Option<AttemptId>,
    },
    /// Ignore the chunk.
    Drop(DropReason),
    /// The attempt is unusable: call [`StreamAssembler::fail_attempt`].
    Fail(AttemptFault),
}

/// Why a chunk is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The chunk names another request, or an attempt that was never opened.
    UnknownAttempt,
    /// The attempt lost against another one, failed or finished.
    ClosedAttempt,
    /// These tokens were already delivered.
    Duplicate,
    /// The chunk has neither tokens nor a finish reason.
    Empty,
}

/// Why an attempt is unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFault {
    /// Tokens before a chunk are missing.
    MissingTokens,
    /// A chunk is inconsistent in itself or with the delivered tokens, or exceeds a limit.
    InvalidChunk,
    /// The stream ended without a finish reason.
    Truncated,
    /// The connection broke, or no data arrived for too long.
    Broken,
    /// The engine refused the request, or no connection was made, so the request did not run.
    NotRun,
}

/// How to continue after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureAction {
    /// Wait for another attempt that is still running.
    Wait,
    /// Nothing to do: the whole answer was delivered before the attempt failed.
    Complete,
    /// Open another attempt, if the retry budget allows it.
    Resume,
    /// End the stream with this error.
    Stop(StreamError),
}

/// Why a stream ended incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamError {
    /// The fault of the last attempt.
    pub fault: AttemptFault,
    /// Why no further attempt is made.
    pub limit: ResumeLimit,
    /// Number of tokens that were delivered.
    pub delivered: u32,
    /// Whether any attempt may have run on an engine.
    pub may_have_run: bool,
}

/// Why a stream cannot be resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeLimit {
    /// [`MAX_ATTEMPTS`] attempts were made.
    Attempts,
    /// More than [`MAX_RESUME_TEXT_BYTES`] bytes of text were delivered.
    ResumeText,
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fault = match self.fault {
            AttemptFault::MissingTokens => "tokens are missing from the stream",
            AttemptFault::InvalidChunk => "an engine sent an invalid chunk",
            AttemptFault::Truncated => "an engine ended its stream early",
            AttemptFault::Broken => "the connection to an engine broke",
            AttemptFault::NotRun => "no engine accepted the request",
        };
        match self.limit {
            ResumeLimit::Attempts => write!(f, "{fault}; {MAX_ATTEMPTS} attempts failed"),
            ResumeLimit::ResumeText => {
                write!(f, "{fault}; an answer over {MAX_RESUME_TEXT_BYTES} bytes cannot be resumed")
            }
        }
    }
}

impl std::error::Error for StreamError {}

/// The data with which an attempt is started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptStart {
    /// The id of the attempt, sent as `x-attempt-id` and returned in each chunk.
    pub id: AttemptId,
    /// The position and properties with which generation must start.
    pub resume: ResumeState,
}

/// The position in the answer where an attempt starts, and the properties that it must use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeState {
    /// Number of tokens that were already delivered.
    pub offset: u32,
    /// The text of the delivered tokens.
    pub text: String,
    /// The weights version that the attempt must use.
    pub weights_version: u64,
    /// The cache salt that the attempt must use.
    pub cache_salt: String,
}
