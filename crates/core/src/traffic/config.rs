//! The current configuration: routes, services, workspaces and limits on clients.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{CacheScope, EngineLinks, IsolatedSet, StoreId, StoreSite};
use crate::{plans::workspace_limit::LimitSetting, rendezvous::rendezvous_score};

/// Whether a route's requests may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// Responds with a stream of events. May run more than once only if the route is resumable.
    Streaming,
}

/// A service that gets a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the route's other targets.
    pub weight: f64,
}

/// A route: which requests it matches and how they are handled.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name, unique within a configuration.
    pub name: String,
    /// Host that requests name, without a port.
    pub host: String,
    /// Prefix of the request path. Invariant: begins and ends with a slash.
    pub prefix: String,
    /// Services among which requests are split. Invariant: not empty.
    pub targets: Vec<RouteTarget>,
    /// Whether requests may run more than once.
    pub kind: RouteKind,
    /// Maximum time until a client gets its final response.
    pub timeout: Duration,
    /// Time within which the response, or the first event of a stream, should arrive.
    pub target_latency: Duration,
    /// Maximum number of servers that may run one request.
    pub max_servers: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether clients need no API key.
    pub public: bool,
    /// Whether a broken stream may resume at another server.
    pub resumable: bool,
    /// Longest gap between events with which a stream is on time; `None` for no such target.
    pub target_event_gap: Option<Duration>,
}

impl RouteRule {
    /// Whether a request that may already have run may run again.
    pub fn may_rerun(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Picks a service by weight. The same key always gets the same service.
    pub fn pick_service(&self, key: u64) -> &str {
        let total: f64 = self.targets.iter().map(|target| target.weight.max(0.0)).sum();
        let point = rendezvous_score(&key.to_le_bytes(), 0) as f64 / u64::MAX as f64 * total;
        let mut passed = 0.0;
        for target in &self.targets {
            passed += target.weight.max(0.0);
            if point < passed {
                return &target.service;
            }
        }
        self.targets.last().map_or("", |target| &target.service)
    }
}

/// Settings that all model engines of a service share.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that an engine runs at the same time.
    pub slots: u32,
    /// Capacity of an engine's KV cache in tokens.
    pub kv_capacity: u64,
    /// Size of one token in the KV cache in bytes.
    pub kv_token_bytes: f64,
    /// Speed of an engine's link in Mbit/s; `None` if the configuration does not tell it.
    pub link_mbps: Option<f64>,
    /// Maximum number of subscribers to an engine's cache events.
    pub max_event_subscribers: u32,
    /// Names of the models that the engines serve.
    pub models: Vec<String>,
}

/// A store from which engines fetch KV cache and to which they save it.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheStoreSpec {
    /// Address at which engines reach the store.
    pub address: SocketAddr,
    /// Capacity of the store in tokens.
    pub kv_capacity: u64,
    /// Data centre that the store is in; empty if the configuration names none.
    pub data_centre: String,
    /// Speed of its link in Mbit/s; `None` if the configuration does not tell it.
    pub link_mbps: Option<f64>,
}

/// What the servers of a service do.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceRole {
    /// Run models and keep KV cache.
    Engine(EngineSpec),
    /// Store KV cache for the engines.
    CacheStore(CacheStoreSpec),
    /// Serve any other requests; these have no model and no prompt.
    Plain,
}

/// A service: a group of backend servers with the same role.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name, by which routes refer to the service.
    pub name: String,
    /// Number of connections that one server accepts from all nodes together.
    pub max_connections: u32,
    /// What the servers do.
    pub role: ServiceRole,
}

/// Limits on the size and duration of what clients send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time for a request head, from its first byte.
    pub header_timeout: Duration,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> ClientLimits {
        ClientLimits {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A workspace: a customer whose clients share API keys.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: String,
    /// API keys of its clients.
    pub keys: Vec<String>,
    /// Priority that replaces the one of the route; `None` to keep that.
    pub priority: Option<u8>,
    /// Whether the workspace shares no KV cache with others.
    pub isolated: bool,
    /// Limit of the workspace over all nodes together.
    pub limit: LimitSetting,
}

/// A configuration that the platform has accepted.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficConfig {
    /// Version; increases with each accepted change.
    pub version: u64,
    /// Routes by which requests are matched.
    pub routes: Vec<RouteRule>,
    /// Services that routes refer to.
    pub services: Vec<ServiceSpec>,
    /// Limits on clients.
    pub limits: ClientLimits,
    /// Workspaces; `None` if clients need no API key.
    pub workspaces: Option<Vec<WorkspaceSpec>>,
}

/// Why no route accepts a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No configuration has been received yet.
    NoConfig,
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or belongs to no workspace.
    UnknownKey,
}

/// The route of a request, and the workspace that sent it.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// Route that matches the request.
    pub rule: &'a RouteRule,
    /// Workspace of the client; `None` if there are none, or on a public route without a known key.
    pub workspace: Option<&'a WorkspaceSpec>,
}

/// The current configuration, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    config: Option<TrafficConfig>,
    /// Invariant: positions in `config.routes` by lower-case host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Invariant: position in `config.workspaces` by API key.
    by_key: HashMap<String, usize>,
    /// Invariant: position in `config.services` by name.
    by_service: HashMap<String, usize>,
    /// Invariant: the isolated ones of `config.workspaces`.
    isolated: IsolatedSet,
}

impl RouteTable {
    /// Replaces the current configuration if `config` has a higher version. Returns whether it did.
    pub fn apply(&mut self, mut config: TrafficConfig) -> bool {
        if self.version().is_some_and(|version| config.version <= version) {
            return false;
        }
        for workspace in config.workspaces.iter_mut().flatten() {
            if let LimitSetting::Invalid(_) = workspace.limit {
                workspace.limit = self.limit_of(&workspace.name);
            }
        }
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, rule) in config.routes.iter().enumerate() {
            by_host.entry(rule.host.to_ascii_lowercase()).or_default().push(index);
        }
        for rules in by_host.values_mut() {
            rules.sort_by_key(|&index| std::cmp::Reverse(config.routes[index].prefix.len()));
        }
        let workspaces = config.workspaces.iter().flatten().enumerate();
        self.by_key = workspaces
            .flat_map(|(index, workspace)| {
                workspace.keys.iter().map(move |key| (key.clone(), index))
            })
            .collect();
        let services = config.services.iter().enumerate();
        self.by_service = services.map(|(index, spec)| (spec.name.clone(), index)).collect();
        self.by_host = by_host;
        self.isolated = IsolatedSet::of(config.workspaces.iter().flatten());
        self.config = Some(config);
        true
    }

    /// Version of the current configuration; `None` if there is none yet.
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Limits on clients; the defaults before there is a configuration.
    pub fn limits(&self) -> ClientLimits {
        self.config.as_ref().map(|config| config.limits).unwrap_or_default()
    }

    /// All workspaces of the current configuration.
    pub fn workspaces(&self) -> impl Iterator<Item = &WorkspaceSpec> {
        self.config.iter().flat_map(|config| config.workspaces.iter().flatten())
    }

    fn limit_of(&self, name: &str) -> LimitSetting {
        let known = self.workspaces().find(|workspace| workspace.name == name);
        known.map_or(LimitSetting::Unlimited, |workspace| workspace.limit)
    }

    /// The service with a given name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        let index = *self.by_service.get(name)?;
        self.config.as_ref()?.services.get(index)
    }

    /// Returns which other requests may share KV cache with one of a workspace.
    pub fn cache_scope(&self, workspace: Option<&WorkspaceSpec>) -> CacheScope {
        self.isolated.scope_of(workspace)
    }

    /// The stores of KV cache, in the order of the configuration.
    pub fn cache_stores(&self) -> Vec<StoreSite> {
        let stores = self.services().filter_map(|spec| match &spec.role {
            ServiceRole::CacheStore(store) => {
                Some(StoreSite::new(&spec.name, store.address, &store.data_centre))
            }
            _ => None,
        });
        stores.collect()
    }

    /// Links of the engines, by the names of their services.
    pub fn engine_links(&self) -> HashMap<String, EngineLinks> {
        let engines = self.services().filter_map(|spec| match &spec.role {
            ServiceRole::Engine(engine) => {
                let (token_bytes, mbps) = (engine.kv_token_bytes, engine.link_mbps);
                Some((spec.name.clone(), EngineLinks { token_bytes, mbps }))
            }
            _ => None,
        });
        engines.collect()
    }

    /// Speeds of the links of the stores of KV cache, in Mbit/s.
    pub fn store_links(&self) -> HashMap<StoreId, f64> {
        let stores = self.services().filter_map(|spec| match &spec.role {
            ServiceRole::CacheStore(store) => {
                let site = StoreSite::new(&spec.name, store.address, &store.data_centre);
                Some((site.id, store.link_mbps?))
            }
            _ => None,
        });
        stores.collect()
    }

    /// KV memory of each engine of a service in tokens; 0 if it is not known.
    pub fn kv_capacity(&self, service: &str) -> u64 {
        match self.service(service).map(|spec| &spec.role) {
            Some(ServiceRole::Engine(engine)) => engine.kv_capacity,
            _ => 0,
        }
    }

    /// All services of the current configuration.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.config.iter().flat_map(|config| config.services.iter())
    }

    /// Finds the route for a request and checks its API key.
    pub fn find(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<RouteMatch<'_>, RouteError> {
        let config = self.config.as_ref().ok_or(RouteError::NoConfig)?;
        let rule = self.rule(config, host, path).ok_or(RouteError::NoRoute)?;
        let Some(workspaces) = &config.workspaces else {
            return Ok(RouteMatch { rule, workspace: None });
        };
        let workspace = key.and_then(|key| self.by_key.get(key)).map(|&index| &workspaces[index]);
        if workspace.is_none() && !rule.public {
            return Err(RouteError::UnknownKey);
        }
        Ok(RouteMatch { rule, workspace })
    }

    fn rule<'a>(&self, config: &'a TrafficConfig, host: &str, path: &str) -> Option<&'a RouteRule> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = self.by_host.get(&name.to_ascii_lowercase())?;
        let path = path.split('?').next().unwrap_or(path);
        let matching = rules.iter().find(|&&index| path.starts_with(&config.routes[index].prefix));
        matching.map(|&index| &config.routes[index])
    }
}
