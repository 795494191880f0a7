//! Files of the lists and positions in them.

use std::{fmt, fs, io, ops::Range, path::Path};

use serde::Serialize;

/// File of workspaces and plans.
pub const PLANS_FILE: &str = "plans.toml";
/// File of grants: what the workspaces of each plan may use.
pub const GRANTS_FILE: &str = "grants.toml";
/// File of entry VMs, backend servers and weights.
pub const FLEET_FILE: &str = "fleet.toml";

/// Texts of the three files; `None` if the folder lacks the file.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ListFiles {
    /// Text of [`PLANS_FILE`].
    pub plans: Option<String>,
    /// Text of [`GRANTS_FILE`].
    pub grants: Option<String>,
    /// Text of [`FLEET_FILE`].
    pub fleet: Option<String>,
}

/// Error of reading a folder or file.
#[derive(Debug)]
pub struct ReadError {
    path: String,
    cause: io::Error,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failed to read {}", self.path)
    }
}

impl std::error::Error for ReadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.cause)
    }
}

impl ListFiles {
    /// Reads the three files of `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the folder or an existing file cannot be read.
    pub fn read(folder: &Path) -> Result<ListFiles, ReadError> {
        let failed = |path: &Path, cause| ReadError { path: path.display().to_string(), cause };
        fs::read_dir(folder).map_err(|cause| failed(folder, cause))?;
        let read = |name: &str| {
            let path = folder.join(name);
            match fs::read_to_string(&path) {
                Ok(text) => Ok(Some(text)),
                Err(cause) if cause.kind() == io::ErrorKind::NotFound => Ok(None),
                Err(cause) => Err(failed(&path, cause)),
            }
        };
        Ok(ListFiles {
            plans: read(PLANS_FILE)?,
            grants: read(GRANTS_FILE)?,
            fleet: read(FLEET_FILE)?,
        })
    }
}

/// Position in one of the files.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize)]
pub struct Position {
    /// Name of the file.
    pub file: &'static str,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
}

impl Position {
    /// Returns the start of a file.
    pub(crate) fn start_of(file: &'static str) -> Position {
        Position { file, line: 1, column: 1 }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// Value with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) at: Position,
}

/// Text of one file, with an index of its lines.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SourceFile<'a> {
    pub(crate) name: &'static str,
    pub(crate) text: &'a str,
    /// Byte offsets of the lines, from [`line_starts`]. Without this index, lines had to be counted
    /// for each position, and checking 12,000 servers took 58 s.
    pub(crate) line_starts: &'a [usize],
}

/// Returns the byte offsets at which the lines of a text start.
pub(crate) fn line_starts(text: &str) -> Vec<usize> {
    let newlines = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
    std::iter::once(0).chain(newlines.map(|(offset, _)| offset + 1)).collect()
}

impl SourceFile<'_> {
    /// Returns the position of the start of a byte range.
    pub(crate) fn position(&self, span: &Range<usize>) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= span.start).max(1);
        let before = self.text.get(self.line_starts[line - 1]..span.start).unwrap_or_default();
        Position { file: self.name, line, column: before.chars().count() + 1 }
    }
}
