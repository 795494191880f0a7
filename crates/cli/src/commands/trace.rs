//! The `trace` command. It reads log lines from files, so that it works also when the nodes that
//! wrote them are gone.

use std::{collections::BTreeMap, fs, path::PathBuf};

use serde::Deserialize;
use serde_json::Value;

use super::Session;
use crate::exit::{ExitStatus, Failure};

/// A parsed line of a node's log.
#[derive(Debug)]
#[derive(Deserialize)]
struct LogLine {
    #[serde(skip)]
    node: Option<String>,
    time: String,
    message: String,
    #[serde(default)]
    attributes: BTreeMap<String, Value>,
}

/// Prints the log lines of a request, earliest first. Lines that are not JSON are skipped.
pub(crate) fn run(
    session: &mut Session<'_, '_>,
    request_id: &str,
    files: &[PathBuf],
) -> Result<ExitStatus, Failure> {
    let mut lines = Vec::new();
    for path in files {
        let text = fs::read_to_string(path).map_err(|cause| {
            let message = format!("failed to read {}: {cause}", path.display());
            Failure::new(ExitStatus::Usage, message)
        })?;
        let read = text.lines().filter_map(read_line);
        lines.extend(read.filter(|line| matches_request(line, request_id)));
    }
    lines.sort_by(|a, b| a.time.cmp(&b.time));
    if lines.is_empty() {
        session.console.print_diagnostic(format_args!("no line of request {request_id}"));
        return Ok(ExitStatus::Findings);
    }
    for line in &lines {
        let attributes: Vec<String> = line
            .attributes
            .iter()
            .filter(|(name, _)| *name != "request")
            .map(|(name, value)| format!("{name}={}", attribute_text(value)))
            .collect();
        let time = line.time.get(11..23).unwrap_or(&line.time);
        session.console.print(format_args!(
            "{time} {}{}: {}",
            line.node.as_ref().map(|node| format!("{node} ")).unwrap_or_default(),
            line.message,
            attributes.join(" ")
        ));
    }
    Ok(ExitStatus::Success)
}

/// Parses a log line. The last word before the JSON, if any, is the name of the node. Returns
/// `None` if the line has no valid JSON.
fn read_line(text: &str) -> Option<LogLine> {
    let (before, json) = text.split_at(text.find('{')?);
    let line: LogLine = serde_json::from_str(json).ok()?;
    Some(LogLine { node: before.split_whitespace().last().map(str::to_string), ..line })
}

fn matches_request(line: &LogLine, request_id: &str) -> bool {
    line.attributes.get("request").and_then(Value::as_str) == Some(request_id)
}

fn attribute_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
