//! Documents and requests in the platform's formats, for tests that run the node as a process of its
//! own.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Host name of all routes of [`node_config`].
pub const ROUTE_HOST: &str = "host.example";
/// Key of the only workspace of [`node_config`].
const WORKSPACE_KEY: &str = "key1";

/// One route of a configuration.
#[derive(Debug, Clone, Copy)]
pub struct RouteDocument {
    /// Name, and first segment of its paths.
    pub name: &'static str,
    /// Kind in the platform's words: `idempotent`, `non_idempotent`, `streaming`.
    pub kind: &'static str,
    /// Service that runs its requests.
    pub service: &'static str,
    /// Time after which a request of it ends.
    pub timeout_ms: u64,
}

/// Limits on clients, as a configuration names them.
#[derive(Debug, Clone, Copy)]
pub struct ClientLimitsDocument {
    /// Longest head.
    pub max_header_bytes: usize,
    /// Longest body.
    pub max_body_bytes: usize,
    /// Time for a head.
    pub header_timeout_ms: u64,
    /// Time without a request after which a connection is closed.
    pub idle_timeout_ms: u64,
}

/// Returns a settings file of a node on loopback. The system chooses the ports.
pub fn node_settings_file(store: SocketAddr, limits: Value) -> Value {
    let listen = "127.0.0.1:0";
    json!({
        "nodeName": "n1", "role": "entry", "ip": "127.0.0.1", "zone": "z1", "region": "r1",
        "zones": {"z1": "r1"}, "bootstrap": true,
        "listen": {
            "front": listen, "readyAddr": listen, "directory": listen, "control": listen,
        },
        "internalPorts": [0, 0], "seeds": [], "limits": limits,
        "bounds": {
            "stableMs": 3000, "configApplyMs": 2000, "graceS": 8, "retryBudgetRatio": 0.2,
            "budgetWindowS": 10, "retryBudgetSlack": 58, "leaseMs": 3000, "versionMs": 8000,
            "ttl_max_s": 5,
        },
        "platform": {"address": store.to_string(), "ttlMinMs": 1000},
    })
}

/// Returns the `limits` section of a settings file; a node without `memory_mb` knows no memory limit.
pub fn machine_limits(max_descriptors: u32, memory_mb: Option<u32>) -> Value {
    let mut limits = json!({"maxFds": max_descriptors, "linkMbps": 1000.0});
    if let Some(memory_mb) = memory_mb {
        limits["memoryMb"] = memory_mb.into();
    }
    limits
}

/// Returns version 1 of a configuration with these routes, and with one service for each name that
/// they use.
pub fn node_config(routes: &[RouteDocument], limits: ClientLimitsDocument) -> Value {
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.sort_unstable();
    services.dedup();
    let services = services
        .iter()
        .map(|name| json!({"name": name, "healthPath": "/healthz", "maxConnections": 1000}));
    let routes = routes.iter().map(|route| {
        json!({
            "name": route.name, "host": ROUTE_HOST, "prefix": format!("/{}/", route.name),
            "kind": route.kind, "timeoutMs": route.timeout_ms, "targetLatencyMs": route.timeout_ms,
            "priority": 1, "service": route.service, "maxAttempts": 2, "public": false,
            "sticky": false, "resumable": false, "gapTargetMs": 1000,
        })
    });
    json!({
        "version": 1,
        "routes": routes.collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
        "limits": {
            "maxHeaderBytes": limits.max_header_bytes, "maxBodyBytes": limits.max_body_bytes,
            "headerTimeoutMs": limits.header_timeout_ms, "idleTimeoutMs": limits.idle_timeout_ms,
        },
        "tenants": [{"name": "w1", "apiKeys": [WORKSPACE_KEY], "isolated": false}],
    })
}

/// Returns the store entry of a server with many slots.
pub fn server_entry(service: &str, address: SocketAddr) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": "z1", "version": "v1",
        "slots": 1000, "state": "ready", "coldRemainingMs": 0, "born": 1, "seq": 1,
    })
}

/// Returns the head of a client's request without the empty line at its end. `more` are additional
/// header lines, each with its line end.
pub fn request_head(method: &str, route: &str, id: &str, more: &str) -> String {
    format!(
        "{method} /{route}/x HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nRequest-Id: {id}\r\n\
         Authorization: Token {WORKSPACE_KEY}\r\n{more}"
    )
}

/// Returns the head of a server's response with the empty line at its end; `{id}` becomes the id of
/// the request. `more` are additional header lines, each with its line end.
pub fn response_head(more: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {{id}}\r\nResponse-Signature: s\r\n{more}\r\n")
}

/// Returns the key under which the store holds the configuration.
pub fn config_key() -> &'static str {
    "op/config"
}
