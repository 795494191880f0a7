//! The `why` command.

use carobvane_proto::admin::{AttemptReport, DecisionReport};

use super::{Session, apply::fleet_client};
use crate::exit::{ExitStatus, Failure};

/// Maximum length of a request id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Prints the decisions of the entries on a request: each attempt, its server and the costs of the
/// candidates.
pub(crate) async fn run(
    session: &mut Session<'_, '_>,
    request_id: &str,
) -> Result<ExitStatus, Failure> {
    let is_id_character = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | ':');
    if request_id.is_empty()
        || request_id.len() > MAX_ID_BYTES
        || !request_id.chars().all(is_id_character)
    {
        let message = "a request id consists of letters, digits and `-_.:`";
        return Err(Failure::new(ExitStatus::Usage, message));
    }
    let (mut reports, silent) = fleet_client(session)?.decisions(request_id).await;
    reports.sort_by_key(|report| report.unix_ms);
    for node in &silent {
        session
            .console
            .print_diagnostic(format_args!("{} does not answer: {}", node.url, node.cause));
    }
    if reports.is_empty() {
        let status = if silent.is_empty() { ExitStatus::Findings } else { ExitStatus::Unreachable };
        let message = format!("no answering entry knows request {request_id}");
        return Err(Failure::new(status, message));
    }
    if session.settings.json {
        session.console.print_json(&reports);
        return Ok(ExitStatus::Success);
    }
    for report in &reports {
        print_report(session, report);
    }
    Ok(ExitStatus::Success)
}

fn print_report(session: &mut Session<'_, '_>, report: &DecisionReport) {
    let code = report.code.as_ref().map(|code| format!(" ({code})")).unwrap_or_default();
    session.console.print(format_args!("request {}: {}{code}", report.request_id, report.outcome));
    session.console.print(format_args!(
        "  entry {}, workspace {}, {}, lists {}",
        report.node, report.workspace, report.target, report.list_version
    ));
    for attempt in &report.attempts {
        print_attempt(session, attempt);
    }
}

fn print_attempt(session: &mut Session<'_, '_>, attempt: &AttemptReport) {
    let end = attempt.end.as_deref().unwrap_or("runs");
    session.console.print(format_args!(
        "  attempt {} ({}) on {}: {end}; {} of {} pieces expected in cache",
        attempt.attempt, attempt.reason, attempt.server, attempt.expected_hits, attempt.pieces
    ));
    for candidate in &attempt.candidates {
        session.console.print(format_args!(
            "    {}: {:.1} ms = prefill {:.1} + queue {:.1} + transfer {:.1} + load {:.1}, times \
             slowdown",
            candidate.server,
            candidate.total_ms,
            candidate.prefill_ms,
            candidate.queue_ms,
            candidate.transfer_ms,
            candidate.load_ms
        ));
    }
}
