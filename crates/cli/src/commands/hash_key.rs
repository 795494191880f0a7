//! The `hash-key` command.

use carobvane_core::lists::KeyHash;
use serde::Serialize;

use super::Session;
use crate::exit::{ExitStatus, Failure};

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: u64 = 4_096;
/// Minimum length of a key, in characters: 16 random characters have more than 64 bits of entropy.
const MIN_KEY_LENGTH: usize = 16;

#[derive(Serialize)]
struct HashReport {
    key_hash: String,
}

/// Reads a key from standard input and prints its hash. The key itself is never printed.
pub(crate) fn run(session: &mut Session<'_, '_>) -> Result<ExitStatus, Failure> {
    let text = session.console.read_input(MAX_KEY_BYTES + 1).map_err(|error| {
        Failure::new(ExitStatus::Usage, format!("failed to read standard input: {error}"))
    })?;
    let key = text.trim_end_matches(['\r', '\n']);
    let problem = if key.len() as u64 > MAX_KEY_BYTES {
        Some("is longer than 4096 bytes")
    } else if key.chars().count() < MIN_KEY_LENGTH {
        Some("is shorter than 16 characters")
    } else if key.chars().any(|c| c.is_whitespace() || c.is_control()) {
        Some("contains a space or control character")
    } else {
        None
    };
    if let Some(problem) = problem {
        return Err(Failure::new(ExitStatus::Findings, format!("the key {problem}")));
    }
    let key_hash = KeyHash::of_key(key).to_string();
    if session.settings.json {
        session.console.print_json(&HashReport { key_hash });
    } else {
        session.console.print(format_args!("{key_hash}"));
    }
    Ok(ExitStatus::Success)
}
