//! Exit statuses and failures of commands.

use carobvane_host::list_store::ListStoreError;
use carobvane_lists::ReadError;
use eyre::Report;

/// How a command ended. Scripts depend on the codes, so a code never changes its meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did what it was asked to do.
    Success = 0,
    /// The lists have findings, or the requested item does not exist.
    Findings = 1,
    /// The arguments, settings or files are invalid.
    Usage = 2,
    /// The change conflicts with another accepted one, with the recorded plan, or with a later
    /// version that a node holds.
    Conflict = 3,
    /// The accepted lists are not in force on all nodes, or a drain did not end in time.
    NotInForce = 4,
    /// The key-value service or the nodes do not respond.
    Unreachable = 5,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        self as u8
    }
}

/// A failed command: its exit status and the error to print.
#[derive(Debug)]
pub struct Failure {
    /// Exit status of the process.
    pub status: ExitStatus,
    /// Error with its causes.
    pub report: Report,
}

impl Failure {
    /// Creates a failure with a message and no further cause.
    pub(crate) fn new(status: ExitStatus, message: impl Into<String>) -> Failure {
        Failure { status, report: Report::msg(message.into()) }
    }

    /// Adds a message that says what failed; the present message becomes its cause.
    pub(crate) fn context(self, action: &'static str) -> Failure {
        Failure { status: self.status, report: self.report.wrap_err(action) }
    }

    /// Returns the lines to print: the message, then one line for each cause.
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
