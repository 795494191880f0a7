//! Reads and formats the limits of plans with their units.

use carobvane_core::plans::LimitKind;

use crate::{
    finding::{FindingCollector, RuleName},
    source::Located,
};

/// Minimum of a plan's limit on requests per second.
pub const MIN_REQUESTS_PER_SECOND: u64 = 1;
/// Minimum of a plan's limit on tokens per minute: one piece of 2,000 tokens for each of the nine
/// home entries that share a plan's limit. With less, no entry's share would admit a whole piece.
pub const MIN_TOKENS_PER_MINUTE: u64 = 9 * 2_000;
/// Minimum of a plan's limit on concurrent streams.
pub const MIN_CONCURRENT_STREAMS: u64 = 1;

/// Returns the name of a limit's field in `plans.toml`.
pub(crate) fn limit_field(kind: LimitKind) -> &'static str {
    match kind {
        LimitKind::Requests => "requests",
        LimitKind::Tokens => "tokens",
        LimitKind::Streams => "streams",
    }
}

/// Returns the unit of a limit, as written after its amount.
fn limit_unit(kind: LimitKind) -> &'static str {
    match kind {
        LimitKind::Requests => "/s",
        LimitKind::Tokens => "/min",
        LimitKind::Streams => " streams",
    }
}

fn limit_minimum(kind: LimitKind) -> u64 {
    match kind {
        LimitKind::Requests => MIN_REQUESTS_PER_SECOND,
        LimitKind::Tokens => MIN_TOKENS_PER_MINUTE,
        LimitKind::Streams => MIN_CONCURRENT_STREAMS,
    }
}

/// Formats a limit as in `plans.toml`, such as `20/s`.
pub fn format_limit(kind: LimitKind, amount: u64) -> String {
    format!("{amount}{}", limit_unit(kind))
}

/// Parses a limit such as `20/s`, `60000/min` or `8 streams`; `_` may group digits. Adds a finding
/// and returns `None` if the text is not a limit of this kind; a limit below the minimum is
/// returned, with a finding.
pub(crate) fn parse_limit(
    kind: LimitKind,
    text: &Located<String>,
    subject: &str,
    findings: &mut FindingCollector,
) -> Option<u64> {
    let trimmed = text.value.trim();
    let end = trimmed.find(|c: char| !c.is_ascii_digit() && c != '_').unwrap_or(trimmed.len());
    let (digits, unit) = trimmed.split_at(end);
    let field = limit_field(kind);
    let Ok(amount) = digits.replace('_', "").parse::<u64>() else {
        let example = format_limit(kind, limit_minimum(kind));
        findings.add_with_suggestion(
            text.at,
            RuleName::WrongType,
            format!("{subject}: `{field}` is `{}`, not an amount with a unit", text.value),
            format!("write it like `{field} = \"{example}\"`"),
        );
        return None;
    };
    let suggestion = format!("write `{field} = \"{}\"`", format_limit(kind, amount));
    let unit = unit.trim();
    if unit.is_empty() {
        let message = format!("{subject}: `{field}` has no unit");
        findings.add_with_suggestion(text.at, RuleName::LimitWithoutUnit, message, suggestion);
        return None;
    }
    let singular = kind == LimitKind::Streams && unit == "stream";
    if unit != limit_unit(kind).trim() && !singular {
        let message = format!("{subject}: `{field}` has the unit `{unit}`");
        let wanted = limit_unit(kind).trim();
        findings.add_with_suggestion(
            text.at,
            RuleName::LimitWithWrongUnit,
            message,
            format!("convert the amount to `{wanted}`, the only unit of `{field}`"),
        );
        return None;
    }
    let minimum = limit_minimum(kind);
    if amount < minimum {
        findings.add_with_suggestion(
            text.at,
            RuleName::LimitBelowMinimum,
            format!("{subject}: `{field}` is below the reserved minimum"),
            format!("raise it to at least `{}`", format_limit(kind, minimum)),
        );
    }
    Some(amount)
}
