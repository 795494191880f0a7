//! The trace format: one request a line, as JSON, ordered by arrival.
//!
//! A prompt stands as the names of its pieces. Requests with a common beginning share the leading
//! names, which is all that routing depends on; the text of a piece follows from its name.

use std::{fs, path::Path};

use eyre::{Result, WrapErr, bail};
use serde::{Deserialize, Serialize};

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// Milliseconds from the start of the trace.
    pub arrival_ms: u64,
    /// The workspace that asks.
    pub workspace: String,
    /// What kind of work it is.
    pub class: TraceClass,
    /// Names of the prompt's pieces, root first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pieces: Vec<String>,
    /// Tokens of the answer.
    #[serde(default)]
    pub output_tokens: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the answer must be complete, in milliseconds after the arrival.
    pub deadline_ms: u64,
}

/// Kinds of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceClass {
    /// A short answer, such as to a stock question.
    Short,
    /// A long answer, such as a manifest draft.
    Draft,
    /// A call of a plain service that must run at most once.
    Booking,
}

/// Reads a trace from text. Errors name the line.
pub fn parse(text: &str) -> Result<Vec<TraceRequest>> {
    let mut requests: Vec<TraceRequest> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let number = index + 1;
        let request: TraceRequest = serde_json::from_str(line)
            .wrap_err_with(|| format!("failed to read trace line {number}"))?;
        let earlier = requests.last().map_or(0, |request| request.arrival_ms);
        if request.arrival_ms < earlier {
            bail!(
                "trace line {number} arrives at {} ms, before its predecessor",
                request.arrival_ms
            );
        }
        requests.push(request);
    }
    Ok(requests)
}

/// Reads a trace file.
pub fn read(path: &Path) -> Result<Vec<TraceRequest>> {
    let text = fs::read_to_string(path)
        .wrap_err_with(|| format!("failed to read trace {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("failed to parse trace {}", path.display()))
}

/// Writes a trace as text.
pub fn format(requests: &[TraceRequest]) -> Result<String> {
    let mut text = String::new();
    for request in requests {
        text.push_str(&serde_json::to_string(request)?);
        text.push('\n');
    }
    Ok(text)
}

/// Text of a prompt, `piece_bytes` for each piece.
///
/// The bytes follow from the piece's name, so equal names give equal text in every process.
pub fn prompt_text(pieces: &[String], piece_bytes: usize) -> String {
    let mut text = String::with_capacity(pieces.len() * piece_bytes);
    for piece in pieces {
        let end = text.len() + piece_bytes;
        while text.len() < end {
            let left = end - text.len();
            // Piece names are ASCII by construction of the generator; others are cut at a border.
            let part = piece.get(..left.min(piece.len())).unwrap_or("?");
            text.push_str(part);
            if text.len() < end {
                text.push(' ');
            }
        }
    }
    text
}
