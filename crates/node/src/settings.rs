//! Settings of a node.

use std::{fmt, net::SocketAddr, time::Duration};

/// Settings of a node, checked as a whole.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Region.
    pub region: String,
    /// Address for callers.
    pub client_address: SocketAddr,
    /// Address of the readiness check.
    pub ready_address: SocketAddr,
    /// Address of the directory.
    pub directory_address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for notices of other nodes, which come as datagrams.
    pub notice_address: SocketAddr,
    /// Address of the metrics page.
    pub metrics_address: SocketAddr,
    /// Addresses of nodes that may be asked first.
    pub seed_addresses: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Bandwidth of this VM's link, in Mbit/s.
    pub link_mbps: u32,
    /// File descriptors that the process may use.
    pub max_descriptors: u32,
    /// Bounds that the deployment sets.
    pub bounds: NodeBounds,
}

/// Bounds that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeBounds {
    /// Time between SIGTERM and SIGKILL.
    pub termination_grace: Duration,
    /// Repeated sends for each request.
    pub retry_ratio: f64,
    /// Repeated sends of the whole fleet in a window beyond the ratio.
    pub retry_slack: f64,
    /// Length of that window.
    pub retry_window: Duration,
    /// Time in which the orders of two holders must not meet.
    pub holder_gap: Duration,
    /// Time after the naming of weights in which requests may begin on older ones.
    pub version_time: Duration,
    /// Longest lifetime of a directory answer.
    pub directory_lifetime: Duration,
    /// Time without trouble after which the deployment holds a node to its bounds.
    pub stable_time: Duration,
    /// Time in which an accepted configuration must be in force.
    pub config_apply_time: Duration,
    /// Shortest lifetime of a lease in the store.
    pub min_lease_lifetime: Duration,
}

/// One mistake in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Where, such as `listen.front`.
    pub path: String,
    /// What is wrong.
    pub message: String,
}

/// All mistakes in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Invariant: not empty.
    pub problems: Vec<SettingsProblem>,
}

impl SettingsError {
    /// An error with one problem.
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
