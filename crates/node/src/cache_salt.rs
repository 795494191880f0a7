//! Salt under which engines cache prompt parts, as text and as a number.
//!
//! Requests carry the text and cache events return it, so both directions are in this module.

use carobvane_core::{
    ids::WeightsVersion,
    rendezvous::rendezvous_score,
    traffic::{WorkspaceSpec, cache_salt},
};

/// Separates the weights version from the workspace.
const SEPARATOR: char = '/';

/// Returns the number of the group of requests that share KV cache: the requests of one isolated
/// workspace, or those of all other workspaces.
pub fn cache_scope(workspace: Option<&WorkspaceSpec>) -> u64 {
    let isolated = workspace.filter(|workspace| workspace.isolated);
    isolated.map_or(0, |workspace| scope_of(&workspace.name))
}

fn scope_of(workspace: &str) -> u64 {
    rendezvous_score(workspace.as_bytes(), 1)
}

/// Returns the salt in the form that engines receive it.
pub fn format_salt(version: WeightsVersion, workspace: Option<&WorkspaceSpec>) -> String {
    match workspace {
        Some(workspace) if workspace.isolated => {
            format!("{}{SEPARATOR}{}", version.0, workspace.name)
        }
        _ => version.0.to_string(),
    }
}

/// Returns the salt as the number under which cached parts are recorded; `None` if no node has
/// written this text.
pub fn parse_salt(text: &str) -> Option<u64> {
    let (version, scope) = match text.split_once(SEPARATOR) {
        Some((version, workspace)) => (version, scope_of(workspace)),
        None => (text, 0),
    };
    Some(cache_salt(scope, WeightsVersion(version.parse().ok()?)))
}
