//! Starts a small fleet: stand-ins, a steward and entries, each program in a process of its own.

use std::collections::{BTreeMap, BTreeSet};

use carobvane_core::{
    ids::NodeId,
    lists::{
        BackendServer, EntryVm, GrantEntry, KeyHash, ListDocument, ListSnapshot, ListVersion,
        ModelWeights, PlanEntry, ServerRole, WorkspaceEntry,
    },
    plans::PlanLimits,
};
use carobvane_host::{
    keyvalue::{KeyvalueClient, KeyvalueSettings},
    node::ListSource,
};
use serde_json::Value;

use super::program::RunningProgram;

/// Secret key that all nodes share, given with `--fleet-key`.
const FLEET_KEY: &str = "1111111111111111111111111111111111111111111111111111111111111111";
/// Bearer key with which clients authenticate; it belongs to the only workspace.
pub const API_KEY: &str = "key-of-the-test";
/// Name of the model that every engine serves.
pub const MODEL_NAME: &str = "carob";
/// Number of entries in the fleet.
pub const ENTRY_COUNT: usize = 3;

/// The running processes of the fleet. All of them are killed when the value is dropped.
pub struct ProcessFleet {
    /// All stand-ins, in one process; held so that it runs as long as the fleet.
    _standin: RunningProgram,
    /// The steward; its node id is 100.
    pub steward: RunningProgram,
    /// The entries; the entry at position `n` has node id `n + 1`.
    pub entries: Vec<RunningProgram>,
    /// Address at which each entry serves clients, as `host:port`.
    pub addresses: Vec<String>,
    /// Address of the key-value service, as `host:port`.
    keyvalue: String,
    /// Peer addresses of the steward and then of each entry.
    peers: Vec<String>,
}

impl ProcessFleet {
    /// Starts all programs, writes the lists, and waits until they are active on every entry.
    pub async fn start() -> ProcessFleet {
        let flags = ["--engines", "3", "--keyvalue", "--services", "1", "--time-scale", "5"];
        let flags: Vec<String> = flags.iter().map(|flag| flag.to_string()).collect();
        let mut standin =
            RunningProgram::start(env!("CARGO_BIN_EXE_carobvane-standin"), &flags, true);
        let mut engines = Vec::new();
        for _ in 0..3 {
            engines.push(read_standin_address(&mut standin, "engine").await);
        }
        let keyvalue = read_standin_address(&mut standin, "keyvalue").await;
        let service = read_standin_address(&mut standin, "service").await;
        let arguments = node_arguments(100, &keyvalue, &[], "127.0.0.1:0");
        let mut steward =
            RunningProgram::start(env!("CARGO_BIN_EXE_carobvane-steward"), &arguments, false);
        let peer = address_text(&steward.wait_for_message("steward started").await["peer"]);
        let mut fleet = ProcessFleet {
            _standin: standin,
            steward,
            entries: Vec::new(),
            addresses: Vec::new(),
            keyvalue,
            peers: vec![peer],
        };
        for number in 0..ENTRY_COUNT {
            let any_port = "127.0.0.1:0";
            let (entry, started) = fleet.start_entry(number, any_port, any_port, true).await;
            fleet.entries.push(entry);
            fleet.addresses.push(address_text(&started["address"]));
            fleet.peers.push(address_text(&started["peer"]));
        }
        fleet.write_lists(&engines, &service).await;
        for entry in &mut fleet.entries {
            entry.wait_for_message("lists active").await;
        }
        fleet
    }

    /// Starts an entry with the listening addresses `listen` (for clients) and `peer`, and returns
    /// it with the attributes of its start message. `is_fresh` is the value of `--fresh`: true if
    /// no earlier process of this node ran in the last two minutes.
    async fn start_entry(
        &self,
        number: usize,
        listen: &str,
        peer: &str,
        is_fresh: bool,
    ) -> (RunningProgram, Value) {
        let mut arguments = node_arguments(number + 1, &self.keyvalue, &self.peers, peer);
        arguments.extend(["--listen".to_string(), listen.to_string()]);
        arguments.extend(["--piece-bytes".to_string(), "64".to_string()]);
        arguments.extend(["--fresh".to_string(), is_fresh.to_string()]);
        let mut entry =
            RunningProgram::start(env!("CARGO_BIN_EXE_carobvane-entry"), &arguments, false);
        let started = entry.wait_for_message("entry started").await;
        (entry, started)
    }

    /// Starts an entry again at the same addresses and waits until its lists are active.
    pub async fn restart_entry(&mut self, number: usize) {
        let listen = self.addresses[number].clone();
        let peer = self.peers[number + 1].clone();
        let (mut entry, _) = self.start_entry(number, &listen, &peer, false).await;
        entry.wait_for_message("lists active").await;
        self.entries[number] = entry;
    }

    /// Base URL at which the entry at position `number` serves clients.
    pub fn url(&self, number: usize) -> String {
        format!("http://{}", self.addresses[number])
    }

    /// Base URL of the key-value service.
    pub fn keyvalue_url(&self) -> String {
        format!("http://{}", self.keyvalue)
    }

    /// Writes version 1 of the lists into the key-value service.
    async fn write_lists(&self, engines: &[String], service: &str) {
        let document = self.document(engines, service);
        let version = ListVersion::first(1, &document);
        let source =
            ListSource::new(KeyvalueClient::new(KeyvalueSettings::new(self.keyvalue_url())));
        let written = source.write_back(&ListSnapshot { version, document }, 0).await;
        assert!(written.expect("the key-value service answers"));
    }

    fn document(&self, engines: &[String], service: &str) -> ListDocument {
        let engine_role = ServerRole::Engine(MODEL_NAME.to_string());
        let mut servers: BTreeMap<String, BackendServer> = engines
            .iter()
            .enumerate()
            .map(|(number, address)| {
                (format!("engine-{number}"), backend_server(address, engine_role.clone()))
            })
            .collect();
        let service_role = ServerRole::Service("bookings".to_string());
        servers.insert("service-0".to_string(), backend_server(service, service_role));
        let workspace = WorkspaceEntry {
            key_hashes: BTreeSet::from([KeyHash::of_key(API_KEY)]),
            plan: "standard".to_string(),
        };
        let limits = PlanLimits {
            requests_per_second: 100_000,
            tokens_per_minute: 1_000_000_000,
            concurrent_streams: 10_000,
        };
        let grant = GrantEntry {
            models: BTreeSet::from([MODEL_NAME.to_string()]),
            services: BTreeSet::from(["bookings".to_string()]),
            adapters: BTreeSet::new(),
        };
        let weights = ModelWeights { version: 1, adapters: BTreeSet::new() };
        ListDocument {
            workspaces: BTreeMap::from([("depot".to_string(), workspace)]),
            plans: BTreeMap::from([("standard".to_string(), PlanEntry { limits, weight: 1 })]),
            grants: BTreeMap::from([("standard".to_string(), grant)]),
            servers,
            weights: BTreeMap::from([(MODEL_NAME.to_string(), weights)]),
            entries: (0..ENTRY_COUNT).map(|number| self.entry_vm(number)).collect(),
        }
    }

    fn entry_vm(&self, number: usize) -> (String, EntryVm) {
        let vm = EntryVm {
            node: NodeId(number as u32 + 1),
            http_address: self.addresses[number].clone(),
            peer_address: self.peers[number + 1].clone(),
            data_centre: "dc-1".to_string(),
        };
        (format!("entry-{}", number + 1), vm)
    }
}

fn backend_server(address: &str, role: ServerRole) -> BackendServer {
    BackendServer {
        address: address.to_string(),
        role,
        data_centre: "dc-1".to_string(),
        checks_fencing: true,
        slots: 16,
    }
}

/// Flags that entries and stewards have in common. `join` holds the peer addresses of running
/// nodes.
fn node_arguments(node: usize, keyvalue: &str, join: &[String], peer: &str) -> Vec<String> {
    let pairs = [
        ("--node", node.to_string()),
        ("--data-centre", "dc-1".to_string()),
        ("--admin", "127.0.0.1:0".to_string()),
        ("--peer", peer.to_string()),
        ("--join", join.join(",")),
        ("--fleet-key", FLEET_KEY.to_string()),
        ("--keyvalue", format!("http://{keyvalue}")),
    ];
    pairs.into_iter().flat_map(|(flag, value)| [flag.to_string(), value]).collect()
}

/// Reads the address of the next stand-in of this kind from the lines of the stand-in program.
async fn read_standin_address(standin: &mut RunningProgram, kind: &str) -> String {
    address_text(&standin.wait_for_line(|line| line["kind"] == kind).await["addr"])
}

fn address_text(value: &Value) -> String {
    value.as_str().expect("the address is a string").to_string()
}
