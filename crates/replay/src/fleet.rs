//! Runs simulated servers, entries and a steward in one process, connected over real sockets.
//!
//! The demonstration, the scenarios, the benchmarks and the integration tests use this fleet.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use carobvane_core::{
    ids::NodeId,
    lists::{
        BackendServer, EntryVm, GrantEntry, KeyHash, ListDocument, ListSnapshot, ListVersion,
        ModelWeights, PlanEntry, ServerRole, WorkspaceEntry,
    },
    plans::PlanLimits,
};
use carobvane_host::{
    entry::{self, EntryHandle},
    keyvalue::{KeyvalueClient, KeyvalueSettings},
    node::ListSource,
    peer::FleetKey,
    settings::{EntrySettings, NodeSettings, StewardSettings},
    steward::{self, StewardHandle},
};
use carobvane_standin::{engine, keyvalue, service};
use eyre::{Result, WrapErr, ensure};

/// Name of the model that the engines serve.
pub const MODEL: &str = "carob";
/// Name of the fleet's plain service.
pub const SERVICE: &str = "bookings";
/// Name of the plan that all workspaces have.
pub const PLAN: &str = "standard";
/// Weights version that the first lists name for the model.
const INITIAL_WEIGHTS_VERSION: u64 = 1;
/// Node id of the steward. Entries have the ids from 1.
const STEWARD_NODE: u32 = 100;
/// Timeout for all entries to load their lists.
const READY_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the readiness of the entries is checked.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Plan limits that no run reaches, so that runs measure the engines and not the plan.
const UNREACHABLE_LIMITS: PlanLimits = PlanLimits {
    requests_per_second: 1_000_000,
    tokens_per_minute: 10_000_000_000,
    concurrent_streams: 1_000_000,
};

/// Settings of a [`Fleet`].
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of entries.
    pub entries: usize,
    /// Settings of each engine. The address is ignored; each engine gets a free port.
    pub engines: Vec<engine::EngineSettings>,
    /// Number of plain servers.
    pub services: usize,
    /// Names of the workspaces.
    pub workspaces: Vec<String>,
    /// Limits of the plan that all workspaces have.
    pub limits: PlanLimits,
    /// Size of a prompt piece, in bytes of text.
    pub piece_bytes: usize,
    /// Size of a prompt piece, in tokens.
    pub piece_tokens: u32,
    /// URL of the platform's VM list, from which entries learn which VMs are live or leaving.
    pub vm_list: Option<url::Url>,
    /// Number of worker threads of each entry.
    pub workers: usize,
}

impl Default for FleetSettings {
    fn default() -> FleetSettings {
        FleetSettings {
            entries: 3,
            engines: vec![engine::EngineSettings::default(); 3],
            services: 1,
            workspaces: vec!["workspace-1".to_string()],
            limits: UNREACHABLE_LIMITS,
            piece_bytes: 64,
            piece_tokens: 2_000,
            vm_list: None,
            workers: 1,
        }
    }
}

/// A running fleet. Its members are stopped by [`Fleet::stop`].
pub struct Fleet {
    /// Simulated key-value service.
    pub keyvalue: keyvalue::KeyValueHandle,
    /// Simulated engines, in the order of their settings.
    pub engines: Vec<engine::EngineHandle>,
    /// Simulated plain servers.
    pub services: Vec<service::ServiceHandle>,
    /// Entries, in the order of their node ids.
    pub entries: Vec<EntryHandle>,
    /// The only steward.
    pub steward: StewardHandle,
    /// The lists that were written at the start.
    pub snapshot: ListSnapshot,
}

/// Returns the API key of a workspace.
pub fn workspace_key(workspace: &str) -> String {
    format!("key-{workspace}")
}

impl Fleet {
    /// Starts a fleet on free ports of the loopback interface and waits until all entries are
    /// ready.
    ///
    /// # Errors
    ///
    /// A member cannot be started, or an entry is not ready within `READY_TIMEOUT`.
    pub async fn start(settings: &FleetSettings) -> Result<Fleet> {
        let keyvalue = keyvalue::start(keyvalue::KeyValueSettings::default()).await?;
        let mut engines = Vec::new();
        for engine in &settings.engines {
            let engine = engine::EngineSettings { addr: loopback_any_port(), ..engine.clone() };
            engines.push(engine::start(engine).await.wrap_err("failed to start an engine")?);
        }
        let mut services = Vec::new();
        for _ in 0..settings.services {
            let service = service::start(service::ServiceSettings::default()).await;
            services.push(service.wrap_err("failed to start a plain service")?);
        }
        let keyvalue_url = format!("http://{}", keyvalue.addr());
        let (steward, entries) = start_nodes(settings, &keyvalue_url)?;
        let document = list_document(settings, &engines, &services, &entries);
        let snapshot = write_initial_lists(&keyvalue_url, document).await?;
        wait_until_ready(&entries).await?;
        Ok(Fleet { keyvalue, engines, services, entries, steward, snapshot })
    }

    /// Returns the base URL of an entry. Positions beyond the last entry wrap around.
    pub fn entry_url(&self, position: usize) -> String {
        format!("http://{}", self.entries[position % self.entries.len()].address)
    }

    /// Stops all members at once, without finishing requests.
    pub async fn stop(self) {
        for entry in &self.entries {
            entry.stop().await;
        }
        self.steward.stop().await;
        for engine in &self.engines {
            engine.stop().await;
        }
        for service in &self.services {
            service.stop().await;
        }
        self.keyvalue.stop().await;
    }
}

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn start_nodes(settings: &FleetSettings, url: &str) -> Result<(StewardHandle, Vec<EntryHandle>)> {
    let fleet_key = FleetKey::new([7; 32]);
    let keyvalue: url::Url = url.parse()?;
    let node_settings = |number, join| NodeSettings {
        id: NodeId(number),
        data_centre: "dc-1".to_string(),
        admin: loopback_any_port(),
        peer: loopback_any_port(),
        join,
        fleet_key: fleet_key.clone(),
        keyvalue: keyvalue.clone(),
        log_level: log::LevelFilter::Info,
    };
    let max_loads = 2;
    let steward = steward::start(StewardSettings {
        node: node_settings(STEWARD_NODE, Vec::new()),
        max_loads,
    })?;
    let mut entries = Vec::new();
    for number in 1..=settings.entries {
        entries.push(entry::start(EntrySettings {
            node: node_settings(number as u32, vec![steward.peer]),
            listen: loopback_any_port(),
            vm_list: settings.vm_list.clone(),
            max_body_bytes: 8 << 20,
            piece_bytes: settings.piece_bytes,
            piece_tokens: settings.piece_tokens,
            workers: settings.workers,
            fresh: true,
        })?);
    }
    Ok((steward, entries))
}

fn list_document(
    settings: &FleetSettings,
    engines: &[engine::EngineHandle],
    services: &[service::ServiceHandle],
    entries: &[EntryHandle],
) -> ListDocument {
    let mut servers = BTreeMap::new();
    for (position, engine) in engines.iter().enumerate() {
        let slots = settings.engines[position].slots as u32;
        let role = ServerRole::Engine(MODEL.to_string());
        let name = format!("engine-{:02}", position + 1);
        servers.insert(name, backend_server(engine.addr(), role, slots));
    }
    for (position, service) in services.iter().enumerate() {
        let role = ServerRole::Service(SERVICE.to_string());
        let name = format!("service-{:02}", position + 1);
        servers.insert(name, backend_server(service.addr(), role, 64));
    }
    let workspaces = settings.workspaces.iter().map(|name| {
        let key_hashes = BTreeSet::from([KeyHash::of_key(&workspace_key(name))]);
        (name.clone(), WorkspaceEntry { key_hashes, plan: PLAN.to_string() })
    });
    let grant = GrantEntry {
        models: BTreeSet::from([MODEL.to_string()]),
        services: BTreeSet::from([SERVICE.to_string()]),
        adapters: BTreeSet::new(),
    };
    let weights = ModelWeights { version: INITIAL_WEIGHTS_VERSION, adapters: BTreeSet::new() };
    ListDocument {
        workspaces: workspaces.collect(),
        plans: BTreeMap::from([(
            PLAN.to_string(),
            PlanEntry { limits: settings.limits, weight: 1 },
        )]),
        grants: BTreeMap::from([(PLAN.to_string(), grant)]),
        servers,
        weights: BTreeMap::from([(MODEL.to_string(), weights)]),
        entries: entries.iter().enumerate().map(entry_vm).collect(),
    }
}

fn backend_server(address: SocketAddr, role: ServerRole, slots: u32) -> BackendServer {
    BackendServer {
        address: address.to_string(),
        role,
        data_centre: "dc-1".to_string(),
        checks_fencing: true,
        slots,
    }
}

fn entry_vm((position, entry): (usize, &EntryHandle)) -> (String, EntryVm) {
    let node = NodeId(position as u32 + 1);
    let vm = EntryVm {
        node,
        http_address: entry.address.to_string(),
        peer_address: entry.peer.to_string(),
        data_centre: "dc-1".to_string(),
    };
    (format!("entry-{}", node.0), vm)
}

async fn write_initial_lists(url: &str, document: ListDocument) -> Result<ListSnapshot> {
    let source = ListSource::new(KeyvalueClient::new(KeyvalueSettings::new(url)));
    let version = ListVersion::first(1, &document);
    let snapshot = ListSnapshot { version, document };
    let written = source.write_back(&snapshot, 0).await?;
    ensure!(written, "failed to write the first lists: the key-value service is not empty");
    Ok(snapshot)
}

async fn wait_until_ready(entries: &[EntryHandle]) -> Result<()> {
    let waiting = async {
        while !entries.iter().all(EntryHandle::is_ready) {
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, waiting)
        .await
        .wrap_err("failed to load the lists on every entry")
}
