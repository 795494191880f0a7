//! The configuration in force: routes, services, workspaces and what callers may send.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::rendezvous::rendezvous_score;

/// How a route's requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once.
    NonIdempotent,
    /// A stream of events; may run again only where the route is resumable.
    Streaming,
}

/// A service that a route may send to, with its share of the requests.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share relative to the route's other targets.
    pub weight: f64,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteRule {
    /// Name, unique in a configuration.
    pub name: String,
    /// Host that the caller names.
    pub host: String,
    /// Invariant: begins and ends with a slash.
    pub prefix: String,
    /// Invariant: not empty.
    pub targets: Vec<RouteTarget>,
    /// How requests may be repeated.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of a stream, is wanted.
    pub target_latency: Duration,
    /// Most servers that one request may be sent to.
    pub max_servers: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Whether callers need no key.
    pub public: bool,
    /// Whether a broken stream may continue at another server.
    pub resumable: bool,
    /// Longest pause between the events of a stream for which its answer is on time.
    pub target_event_gap: Option<Duration>,
}

impl RouteRule {
    /// Whether a request that may have run may run again.
    pub fn may_rerun(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service for a request; the same key always gets the same one.
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

/// What a service's model engines share.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine's memory holds.
    pub kv_capacity: u64,
    /// Bytes of one token in that memory.
    pub kv_token_bytes: u64,
    /// Callers that an engine tells of its cache at once.
    pub max_event_subscribers: u32,
    /// Models that the engines serve.
    pub models: Vec<String>,
}

/// A store of KV cache that engines read from and write to.
#[derive(Debug, Clone, PartialEq)]
pub struct CacheStoreSpec {
    /// Address that engines use.
    pub address: SocketAddr,
    /// Tokens that it holds.
    pub kv_capacity: u64,
}

/// What a service's servers do.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceRole {
    /// Model engines.
    Engine(EngineSpec),
    /// A store of KV cache.
    CacheStore(CacheStoreSpec),
    /// Any other service.
    Plain,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// What its servers do.
    pub role: ServiceRole,
}

/// What callers may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request head.
    pub max_header_bytes: usize,
    /// Bytes of a request body.
    pub max_body_bytes: usize,
    /// Time for a request head, from its first byte.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
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

/// A customer.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkspaceSpec {
    /// Name.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Rank that takes the place of the route's.
    pub priority: Option<u8>,
    /// Whether it shares no KV cache with other workspaces.
    pub isolated: bool,
}

/// An accepted configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct TrafficConfig {
    /// Increases with each accepted change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RouteRule>,
    /// Services.
    pub services: Vec<ServiceSpec>,
    /// Bounds on callers.
    pub limits: ClientLimits,
    /// Customers; `None` if callers need no key.
    pub workspaces: Option<Vec<WorkspaceSpec>>,
}

/// Why a request is not allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No configuration is known yet.
    NoConfig,
    /// No route matches host and path.
    NoRoute,
    /// The key is missing or belongs to no workspace.
    UnknownKey,
}

/// A route that a request may take, and whose request it is.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// The route.
    pub rule: &'a RouteRule,
    /// The caller's workspace; `None` on a public route or without workspaces.
    pub workspace: Option<&'a WorkspaceSpec>,
}

/// The configuration in force, indexed for lookups.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    config: Option<TrafficConfig>,
    /// Invariant: positions in `config.routes` by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Invariant: position in `config.workspaces` of each key.
    by_key: HashMap<String, usize>,
    /// Invariant: position in `config.services` of each name.
    by_service: HashMap<String, usize>,
}

impl RouteTable {
    /// Puts a configuration in force unless one as new already is. Returns whether it did.
    pub fn apply(&mut self, config: TrafficConfig) -> bool {
        if self.version().is_some_and(|version| config.version <= version) {
            return false;
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
        self.config = Some(config);
        true
    }

    /// Version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// Bounds on callers.
    pub fn limits(&self) -> ClientLimits {
        self.config.as_ref().map(|config| config.limits).unwrap_or_default()
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        let index = *self.by_service.get(name)?;
        self.config.as_ref()?.services.get(index)
    }

    /// Address of the store of KV cache, if there is one.
    pub fn cache_store(&self) -> Option<SocketAddr> {
        self.services().find_map(|spec| match &spec.role {
            ServiceRole::CacheStore(store) => Some(store.address),
            _ => None,
        })
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.config.iter().flat_map(|config| config.services.iter())
    }

    /// The route for a request, if its caller may use it.
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
