//! Validity of names, and suggestions for misspelt ones.

/// Maximum length of a name, in characters.
pub(crate) const MAX_NAME_LENGTH: usize = 64;
/// Minimum Jaro-Winkler similarity (0 to 1) of a name that is suggested for another. With lower
/// values, unrelated short names were suggested for misspelt field names.
const MIN_SIMILARITY: f64 = 0.7;

/// Whether `name` is short enough and consists of lower-case letters, digits and, not at its ends,
/// hyphens or dots.
pub(crate) fn is_valid_name(name: &str) -> bool {
    let inner = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    !name.is_empty()
        && name.len() <= MAX_NAME_LENGTH
        && name.chars().all(inner)
        && !name.starts_with(['-', '.'])
        && !name.ends_with(['-', '.'])
}

/// Returns the candidate that is most similar to `name`, if it is similar enough.
pub(crate) fn most_similar<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let scored = candidates.into_iter().map(|other| (strsim::jaro_winkler(name, other), other));
    let best = scored.max_by(|(one, _), (two, _)| one.total_cmp(two))?;
    (best.0 >= MIN_SIMILARITY).then_some(best.1)
}

/// Suggests the most similar candidate or, if none is similar, lists the first candidates. Returns
/// `None` if there are no candidates.
pub(crate) fn suggest_similar<'a>(
    name: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Option<String> {
    let candidates: Vec<&str> = candidates.into_iter().collect();
    if let Some(best) = most_similar(name, candidates.iter().copied()) {
        return Some(format!("did you mean `{best}`?"));
    }
    if candidates.is_empty() {
        return None;
    }
    let shown: Vec<String> =
        candidates.iter().take(MAX_SHOWN_NAMES).map(|name| format!("`{name}`")).collect();
    let more = if candidates.len() > MAX_SHOWN_NAMES { " and others" } else { "" };
    Some(format!("known: {}{more}", shown.join(", ")))
}

/// Maximum number of names that a suggestion lists.
const MAX_SHOWN_NAMES: usize = 8;
