//! Salt under which engines cache prompt parts, as text and as a number.
//!
//! Requests carry the text and cache events return it, so both directions are in this module. The text
//! begins with the version of the weights. The name of an isolated workspace follows after `/`, and the
//! number of the set of isolated workspaces after `+`, where it is not empty. Earlier builds read the
//! latter as no salt of theirs.

use carobvane_core::{
    ids::WeightsVersion,
    traffic::{CacheScope, cache_salt},
};

/// Separates the weights version from an isolated workspace, whose name may hold any character.
const WORKSPACE_SEPARATOR: char = '/';
/// Separates the weights version from the number of a set, in hexadecimal digits.
const SET_SEPARATOR: char = '+';

/// Returns the salt in the form that engines receive it.
pub fn format_salt(version: WeightsVersion, scope: &CacheScope) -> String {
    match scope {
        CacheScope::Shared(0) => version.0.to_string(),
        CacheScope::Shared(number) => format!("{}{SET_SEPARATOR}{number:016x}", version.0),
        CacheScope::Isolated(workspace) => format!("{}{WORKSPACE_SEPARATOR}{workspace}", version.0),
    }
}

/// Returns the salt as the number under which cached parts are recorded; `None` if no node has
/// written this text.
pub fn parse_salt(text: &str) -> Option<u64> {
    let (version, scope) = if let Some((version, name)) = text.split_once(WORKSPACE_SEPARATOR) {
        (version, CacheScope::Isolated(name.to_string()))
    } else if let Some((version, number)) = text.split_once(SET_SEPARATOR) {
        (version, CacheScope::Shared(u64::from_str_radix(number, 16).ok()?))
    } else {
        (text, CacheScope::Shared(0))
    };
    let version = WeightsVersion(version.parse().ok()?);
    // Nodes write each number in one way only.
    (format_salt(version, &scope) == text).then(|| cache_salt(scope.number(), version))
}

#[cfg(test)]
mod tests;
