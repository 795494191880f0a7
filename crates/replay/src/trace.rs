//! The trace format: one JSON object per line for each request, in the order of arrival.
//!
//! A prompt is recorded as the names of its pieces. Prompts with a common prefix have the same
//! leading names, and routing depends on nothing else. The text of a piece is derived from its name.

use std::{fs, path::Path};

use eyre::{Result, WrapErr, bail};
use serde::{Deserialize, Serialize};

/// One request of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceRequest {
    /// Arrival time, in milliseconds from the start of the trace.
    pub arrival_ms: u64,
    /// Name of the workspace that sends the request.
    pub workspace: String,
    /// Kind of request.
    pub class: TraceClass,
    /// Names of the prompt's pieces, in the order of the prompt; empty for bookings.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pieces: Vec<String>,
    /// Number of tokens in the response; 0 for bookings.
    #[serde(default)]
    pub output_tokens: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Deadline for the complete response, in milliseconds after the arrival.
    pub deadline_ms: u64,
}

/// The kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceClass {
    /// A completion with a short response, such as the answer to a question about stock.
    Short,
    /// A completion with a long response, such as the draft of a manifest.
    Draft,
    /// A booking at a plain service, which must run at most once.
    Booking,
}

/// Parses the text of a trace.
///
/// # Errors
///
/// A line is invalid or arrives before its predecessor. The error gives the line number.
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

/// Reads and parses a trace file.
///
/// # Errors
///
/// The file cannot be read, or its text is not a valid trace.
pub fn read(path: &Path) -> Result<Vec<TraceRequest>> {
    let text = fs::read_to_string(path)
        .wrap_err_with(|| format!("failed to read trace {}", path.display()))?;
    parse(&text).wrap_err_with(|| format!("failed to parse trace {}", path.display()))
}

/// Formats a trace as text, one line per request.
pub fn format(requests: &[TraceRequest]) -> Result<String> {
    let mut text = String::new();
    for request in requests {
        text.push_str(&serde_json::to_string(request)?);
        text.push('\n');
    }
    Ok(text)
}

/// Returns the text of a prompt, with `piece_bytes` bytes for each piece.
///
/// The text of a piece repeats its name, so equal names give equal text in every process.
pub fn prompt_text(pieces: &[String], piece_bytes: usize) -> String {
    let mut text = String::with_capacity(pieces.len() * piece_bytes);
    for piece in pieces {
        let end = text.len() + piece_bytes;
        while text.len() < end {
            let remaining = end - text.len();
            // Generated piece names are ASCII. In other names the cut may split a character, and
            // `?` is inserted instead.
            let part = piece.get(..remaining.min(piece.len())).unwrap_or("?");
            text.push_str(part);
            if text.len() < end {
                text.push(' ');
            }
        }
    }
    text
}
