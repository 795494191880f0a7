//! Exit codes and failures.

use carobvane_host::list_store::ListStoreError;
use carobvane_lists::ReadError;
use eyre::Report;

/// How a command ended. The codes are stable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// The lists have findings, or what was asked for does not exist.
    Findings = 1,
    /// The arguments or settings are not usable.
    Usage = 2,
    /// Another change came first.
    Conflict = 3,
    /// Accepted, but not in force everywhere in time.
    NotInForce = 4,
    /// The key-value service or the nodes do not answer.
    Unreachable = 5,
}

impl ExitStatus {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// Why a command failed.
#[derive(Debug)]
pub struct Failure {
    /// The exit status.
    pub status: ExitStatus,
    /// The cause.
    pub report: Report,
}

impl Failure {
    /// A failure with a message.
    pub(crate) fn new(status: ExitStatus, message: impl Into<String>) -> Failure {
        Failure { status, report: Report::msg(message.into()) }
    }

    /// Adds what failed before the cause.
    pub(crate) fn context(self, action: &'static str) -> Failure {
        Failure { status: self.status, report: self.report.wrap_err(action) }
    }

    /// The message in lines; causes follow in one line each.
    pub(crate) fn lines(&self) -> Vec<String> {
        let mut lines = Vec::new();
        for (index, cause) in self.report.chain().enumerate() {
            let prefix = if index == 0 { "error: " } else { "  cause: " };
            lines.push(format!("{prefix}{cause}"));
        }
        lines
    }
}

impl From<ListStoreError> for Failure {
    fn from(error: ListStoreError) -> Failure {
        let status = match error {
            ListStoreError::Keyvalue(_) | ListStoreError::Malformed { .. } => {
                ExitStatus::Unreachable
            }
            ListStoreError::MissingVersion(_) => ExitStatus::Findings,
        };
        Failure { status, report: error.into() }
    }
}

impl From<ReadError> for Failure {
    fn from(error: ReadError) -> Failure {
        Failure { status: ExitStatus::Usage, report: error.into() }
    }
}
