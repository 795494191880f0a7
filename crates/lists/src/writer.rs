//! Writes a document as the three files, so that operators can put a past version back into their
//! version control.

use std::{collections::BTreeSet, fmt::Write};

use carobvane_core::{
    lists::{ListDocument, ServerRole},
    plans::LimitKind,
};

use crate::{
    limit::{format_limit, limit_field},
    source::ListFiles,
};

/// Formats a document as files. Checking these gives the same document. Documents do not keep the
/// comments and the `[everyone]` section of the operators' own files, so the result lacks them.
pub fn format_files(document: &ListDocument) -> ListFiles {
    let mut plans = String::new();
    let mut grants = String::new();
    for (name, plan) in &document.plans {
        let _ = writeln!(plans, "[plan.{}]", key(name));
        for kind in LimitKind::ALL {
            let limit = format_limit(kind, plan.limits.amount(kind));
            let _ = writeln!(plans, "{} = \"{limit}\"", limit_field(kind));
        }
        let _ = writeln!(plans, "weight = {}\n", plan.weight);
    }
    for (name, workspace) in &document.workspaces {
        let hashes = workspace.key_hashes.iter().map(|hash| hash.to_string()).collect();
        let _ = writeln!(plans, "[workspace.{}]", key(name));
        let _ = writeln!(plans, "plan = \"{}\"", workspace.plan);
        let _ = writeln!(plans, "key_hashes = {}\n", list(&hashes));
    }
    for (name, grant) in &document.grants {
        let _ = writeln!(grants, "[grant.{}]", key(name));
        let _ = writeln!(grants, "models = {}", list(&grant.models));
        let _ = writeln!(grants, "services = {}", list(&grant.services));
        let _ = writeln!(grants, "adapters = {}\n", list(&grant.adapters));
    }
    let trim = |text: String| Some(format!("{}\n", text.trim_end()));
    ListFiles { plans: trim(plans), grants: trim(grants), fleet: trim(write_fleet(document)) }
}

fn write_fleet(document: &ListDocument) -> String {
    let servers = document.servers.values().map(|server| &server.data_centre);
    let entries = document.entries.values().map(|entry| &entry.data_centre);
    let centres = servers.chain(entries).cloned().collect();
    let mut fleet = format!("data_centres = {}\n\n", list(&centres));
    for (name, weights) in &document.weights {
        let _ = writeln!(fleet, "[weights.{}]", key(name));
        let _ = writeln!(fleet, "version = {}", weights.version);
        let _ = writeln!(fleet, "adapters = {}\n", list(&weights.adapters));
    }
    for (name, server) in &document.servers {
        let (field, target) = match &server.role {
            ServerRole::Engine(model) => ("model", model),
            ServerRole::Service(service) => ("service", service),
        };
        let _ = writeln!(fleet, "[server.{}]", key(name));
        let _ = writeln!(fleet, "{field} = \"{target}\"");
        let _ = writeln!(fleet, "address = \"{}\"", server.address);
        let _ = writeln!(fleet, "data_centre = \"{}\"", server.data_centre);
        let _ = writeln!(fleet, "slots = {}", server.slots);
        let _ = writeln!(fleet, "checks_fencing = {}\n", server.checks_fencing);
    }
    for (name, entry) in &document.entries {
        let _ = writeln!(fleet, "[entry.{}]", key(name));
        let _ = writeln!(fleet, "node = {}", entry.node.0);
        let _ = writeln!(fleet, "http = \"{}\"", entry.http_address);
        let _ = writeln!(fleet, "peer = \"{}\"", entry.peer_address);
        let _ = writeln!(fleet, "data_centre = \"{}\"\n", entry.data_centre);
    }
    fleet
}

/// Formats a name as a TOML key. A name with a dot is quoted, since the dot would otherwise open a
/// nested table.
fn key(name: &str) -> String {
    if name.contains('.') { format!("\"{name}\"") } else { name.to_string() }
}

fn list(names: &BTreeSet<String>) -> String {
    let quoted: Vec<String> = names.iter().map(|name| format!("\"{name}\"")).collect();
    format!("[{}]", quoted.join(", "))
}
