//! Rules about entry VMs, backend servers and weights.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use carobvane_core::lists::ServerRole;

use crate::{
    finding::{FindingCollector, RuleName},
    names::suggest_similar,
    raw::RawLists,
    source::{FLEET_FILE, Located, Position},
};

pub(super) fn check(raw: &RawLists, findings: &mut FindingCollector) {
    check_models(raw, findings);
    check_data_centres(raw, findings);
    check_addresses(raw, findings);
    check_nodes(raw, findings);
}

fn check_models(raw: &RawLists, findings: &mut FindingCollector) {
    let mut served = BTreeSet::new();
    for (name, server) in &raw.servers {
        let Some(role) = &server.value.role else { continue };
        let ServerRole::Engine(model) = &role.value else { continue };
        served.insert(model.as_str());
        if !raw.weights.contains_key(model) {
            findings.add_with_suggestion(
                role.at,
                RuleName::UnknownModel,
                format!("server `{name}`: no model `{model}`"),
                suggest_similar(model, raw.weights.keys().map(String::as_str))
                    .unwrap_or_else(|| format!("add `[weights.{model}]` with a `version`")),
            );
        }
    }
    for (model, weights) in &raw.weights {
        if !served.contains(model.as_str()) {
            findings.add_with_suggestion(
                weights.at,
                RuleName::ModelWithoutServer,
                format!("model `{model}`: no server runs it"),
                "add a server with this `model`, or remove the weights",
            );
        }
    }
}

fn check_data_centres(raw: &RawLists, findings: &mut FindingCollector) {
    let known: BTreeSet<&str> =
        raw.data_centres.iter().map(|centre| centre.value.as_str()).collect();
    if known.is_empty() {
        return;
    }
    let servers = raw.servers.values().filter_map(|server| server.value.data_centre.as_ref());
    let entries = raw.entries.values().filter_map(|entry| entry.value.data_centre.as_ref());
    for used in servers.chain(entries) {
        if !known.contains(used.value.as_str()) {
            findings.add_with_suggestion(
                used.at,
                RuleName::UnknownDataCentre,
                format!("data centre `{}` is not in `data_centres`", used.value),
                suggest_similar(&used.value, known.iter().copied())
                    .unwrap_or_else(|| "add it to `data_centres`".into()),
            );
        }
    }
}

fn check_addresses(raw: &RawLists, findings: &mut FindingCollector) {
    let mut used: Vec<(&Located<String>, String)> = Vec::new();
    for (name, server) in &raw.servers {
        used.extend(server.value.address.iter().map(|at| (at, format!("server `{name}`"))));
    }
    for (name, entry) in &raw.entries {
        let addresses = entry.value.http.iter().chain(&entry.value.peer);
        used.extend(addresses.map(|address| (address, format!("entry `{name}`"))));
    }
    used.sort_by_key(|(address, _)| address.at);
    let mut owners: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for (address, subject) in used {
        let Some(parsed) = parse_address(address, &subject, findings) else { continue };
        if let Some(owner) = owners.get(&parsed) {
            findings.add_with_suggestion(
                address.at,
                RuleName::SharedAddress,
                format!("{subject}: {owner} already has the address {parsed}"),
                "give each its own address and port",
            );
        } else {
            owners.insert(parsed, subject);
        }
    }
}

fn parse_address(
    address: &Located<String>,
    subject: &str,
    findings: &mut FindingCollector,
) -> Option<SocketAddr> {
    let problem = match address.value.parse::<SocketAddr>() {
        Ok(parsed) if parsed.port() == 0 => "has port 0",
        Ok(parsed) if parsed.ip().is_unspecified() => "does not name a host",
        Ok(parsed) => return Some(parsed),
        Err(_) => "is not an IP address with a port",
    };
    findings.add_with_suggestion(
        address.at,
        RuleName::BadAddress,
        format!("{subject}: `{}` {problem}", address.value),
        "write it like `10.0.0.1:8000` or `[fd00::1]:8000`; host names are not resolved",
    );
    None
}

fn check_nodes(raw: &RawLists, findings: &mut FindingCollector) {
    if raw.entries.is_empty() {
        let message = "no `[entry.NAME]`: no entry VM would serve";
        findings.add(Position::start_of(FLEET_FILE), RuleName::NoEntry, message);
    }
    let mut owners = BTreeMap::new();
    let mut entries: Vec<_> = raw.entries.iter().collect();
    entries.sort_by_key(|(_, entry)| entry.at);
    for (name, entry) in entries {
        let Some(node) = entry.value.node else { continue };
        if let Some(owner) = owners.insert(node, name) {
            findings.add_with_suggestion(
                entry.at,
                RuleName::DuplicateNode,
                format!("entry `{name}`: entry `{owner}` already has node {}", node.0),
                "give each entry VM its own node number, and keep it over restarts",
            );
        }
    }
}
