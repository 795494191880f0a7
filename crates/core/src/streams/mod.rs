//! Complete streams in order, over one or more attempts.
//!
//! An engine may die, send chunks late, twice or of another request, or end early.
//! [`StreamAssembler`] lets exactly the next tokens of one attempt through, and decides whether a
//! broken stream continues on another engine at the delivered offset or ends in an error.

mod assembler;
mod attempt;

pub use assembler::StreamAssembler;
pub use attempt::{AttemptId, AttemptIdError};

use std::fmt;

/// Most attempts at one request, hedges and resumes included.
pub const MAX_ATTEMPTS: u16 = 4;
/// Most attempts that run at once: one and its hedge.
pub const MAX_RUNNING_ATTEMPTS: usize = 2;
/// Most delivered text that is kept for a resume, in bytes. 1,000 open streams stay under 64 MB;
/// a longer stream that breaks ends in an error.
pub const MAX_RESUME_TEXT_BYTES: usize = 48 * 1024;
/// Most tokens in one chunk. A larger number is taken for garbage.
pub const MAX_CHUNK_TOKENS: u32 = 4_096;
/// Most text in one chunk, in bytes. A longer one is taken for garbage.
pub const MAX_CHUNK_BYTES: usize = 256 * 1024;

/// What every attempt at a stream has in common. A resume with other weights or another salt
/// cannot be expressed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamSpec {
    /// The weights version that all tokens come from.
    pub weights_version: u64,
    /// The salt of the workspace and weights version.
    pub cache_salt: String,
}

/// A chunk as an engine positions it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamChunk<'a> {
    /// Tokens of the answer before this chunk.
    pub offset: u32,
    /// Tokens in this chunk.
    pub tokens: u32,
    /// Their text.
    pub text: &'a str,
    /// Whether the chunk says why the answer ended.
    pub has_finish_reason: bool,
}

/// What becomes of a chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChunkAction {
    /// Pass it to the caller. `cancel` names a hedge that has lost.
    Deliver {
        /// The attempt to cancel.
        cancel: Option<AttemptId>,
    },
    /// Ignore it.
    Drop(DropReason),
    /// The attempt is unusable; continue with [`StreamAssembler::fail_attempt`].
    Fail(AttemptFault),
}

/// Why a chunk is ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DropReason {
    /// The attempt belongs to another request or was never opened.
    UnknownAttempt,
    /// The attempt has lost, failed or finished.
    ClosedAttempt,
    /// The caller has these tokens.
    Duplicate,
    /// The chunk has no content.
    Empty,
}

/// Why an attempt is unusable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFault {
    /// Tokens are missing before a chunk.
    MissingTokens,
    /// A chunk contradicts itself or what has been delivered.
    InvalidChunk,
    /// The stream ended without saying why.
    Truncated,
    /// The connection broke or was silent for too long.
    Broken,
    /// The engine refused the request, or no connection was made: it did not run.
    NotRun,
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureAction {
    /// Another attempt still runs.
    Wait,
    /// The caller has the whole answer; the attempt failed after its finish reason.
    Complete,
    /// Open another attempt, if the retry budget allows it.
    Resume,
    /// End the stream with this error.
    Stop(StreamError),
}

/// Why a stream ends without being complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamError {
    /// The fault of the last attempt.
    pub fault: AttemptFault,
    /// Why there is no further attempt.
    pub limit: ResumeLimit,
    /// Tokens that the caller has.
    pub delivered: u32,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
}

/// Why a stream is not resumed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeLimit {
    /// [`MAX_ATTEMPTS`] have been made.
    Attempts,
    /// More than [`MAX_RESUME_TEXT_BYTES`] have been delivered.
    ResumeText,
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fault = match self.fault {
            AttemptFault::MissingTokens => "tokens are missing",
            AttemptFault::InvalidChunk => "an engine sent an invalid chunk",
            AttemptFault::Truncated => "an engine ended its stream early",
            AttemptFault::Broken => "the connection to an engine broke",
            AttemptFault::NotRun => "no engine took the request",
        };
        match self.limit {
            ResumeLimit::Attempts => write!(f, "{fault}; {MAX_ATTEMPTS} attempts failed"),
            ResumeLimit::ResumeText => {
                write!(f, "{fault}; an answer over {MAX_RESUME_TEXT_BYTES} bytes is not resumed")
            }
        }
    }
}

impl std::error::Error for StreamError {}

/// How an attempt begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptStart {
    /// Sent as `x-attempt-id` and returned in each chunk.
    pub id: AttemptId,
    /// Where generation begins.
    pub resume: ResumeState,
}

/// Where an attempt begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumeState {
    /// Tokens that the caller has.
    pub offset: u32,
    /// Their text.
    pub text: String,
    /// The weights version that the attempt must use.
    pub weights_version: u64,
    /// The cache salt that the attempt must use.
    pub cache_salt: String,
}
