//! Settings of a node, independent of the file format of the platform.

use std::{fmt, net::SocketAddr, time::Duration};

/// Settings of a node. Created only if all of them are valid.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM; identifies the node in the fleet.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Region of the VM; empty if the platform gives none.
    pub region: String,
    /// Address that clients connect to.
    pub client_address: SocketAddr,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address of the directory.
    pub directory_address: SocketAddr,
    /// Address that other nodes read the store copy from.
    pub peer_address: SocketAddr,
    /// UDP address for notices from other nodes.
    pub notice_address: SocketAddr,
    /// Address of the metrics page.
    pub metrics_address: SocketAddr,
    /// Peer addresses of nodes to ask while no other node is known.
    pub seed_addresses: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Bandwidth of this VM's link, in Mbit/s.
    pub link_mbps: u32,
    /// Maximum number of file descriptors of the process.
    pub max_descriptors: u32,
    /// Memory that the process may take, in bytes; `None` if the platform names no limit.
    pub memory_bytes: Option<usize>,
    /// Bounds that the deployment sets.
    pub bounds: NodeBounds,
}

/// Bounds that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeBounds {
    /// Time between SIGTERM and SIGKILL.
    pub termination_grace: Duration,
    /// Retries that each client request adds to the budget.
    pub retry_ratio: f64,
    /// Retries that the whole fleet may make per window beyond the ratio.
    pub retry_slack: f64,
    /// Length of the window of the retry budget.
    pub retry_window: Duration,
    /// Time that must separate the orders of two successive lease holders.
    pub holder_gap: Duration,
    /// For this long after the platform announces new weights, requests may still start on older
    /// ones.
    pub version_time: Duration,
    /// Longest lifetime of a directory response.
    pub directory_lifetime: Duration,
    /// The deployment holds a node to its bounds only after this time without faults.
    pub stable_time: Duration,
    /// Time within which an accepted configuration must be in force.
    pub config_apply_time: Duration,
    /// Length of the window in which the limits of workspaces hold.
    pub limit_window: Duration,
    /// Time between two writes of a server's entry in the store.
    pub server_heartbeat: Duration,
    /// Shortest lifetime of a lease that the store grants.
    pub min_lease_lifetime: Duration,
}

/// One error in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Path of the field, such as `listen.front`.
    pub path: String,
    /// What is wrong with the field.
    pub message: String,
}

/// All errors in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Invariant: not empty.
    pub problems: Vec<SettingsProblem>,
}

impl SettingsError {
    /// Creates an error with one problem.
    pub fn one(path: &str, message: impl fmt::Display) -> SettingsError {
        let problem = SettingsProblem { path: path.to_string(), message: message.to_string() };
        SettingsError { problems: vec![problem] }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("failed to read the settings")?;
        for problem in &self.problems {
            write!(f, "\n  {}: {}", problem.path, problem.message)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
