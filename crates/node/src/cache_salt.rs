//! Text and number of the identity under which engines keep a prompt's parts.
//!
//! Requests carry the text and cache events return it, so both directions live here.

use carobvane_core::{
    ids::WeightsVersion,
    rendezvous::rendezvous_score,
    traffic::{WorkspaceSpec, cache_salt},
};

/// Separates the version from the workspace.
const SEPARATOR: char = '/';

/// Number of the group of requests that share KV cache: those of an isolated workspace, or all
/// others.
pub fn cache_scope(workspace: Option<&WorkspaceSpec>) -> u64 {
    let isolated = workspace.filter(|workspace| workspace.isolated);
    isolated.map_or(0, |workspace| scope_of(&workspace.name))
}

fn scope_of(workspace: &str) -> u64 {
    rendezvous_score(workspace.as_bytes(), 1)
}

/// The salt as engines are told it.
pub fn format_salt(version: WeightsVersion, workspace: Option<&WorkspaceSpec>) -> String {
    match workspace {
        Some(workspace) if workspace.isolated => {
            format!("{}{SEPARATOR}{}", version.0, workspace.name)
        }
        _ => version.0.to_string(),
    }
}

/// The number that beliefs are kept under; `None` if this system has not written the salt.
pub fn parse_salt(text: &str) -> Option<u64> {
    let (version, scope) = match text.split_once(SEPARATOR) {
        Some((version, workspace)) => (version, scope_of(workspace)),
        None => (text, 0),
    };
    Some(cache_salt(scope, WeightsVersion(version.parse().ok()?)))
}
