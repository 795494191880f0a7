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
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Address of the directory.
    pub directory: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address for notices of other nodes, which come as datagrams.
    pub notices: SocketAddr,
    /// Address of the metrics page.
    pub metrics: SocketAddr,
    /// Addresses of nodes that may be asked first.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Bandwidth of this VM's link, in Mbit/s.
    pub link_mbps: u32,
    /// File descriptors that the process may use.
    pub descriptors: u32,
    /// Bounds that the deployment sets.
    pub bounds: NodeBounds,
}

/// Bounds that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NodeBounds {
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
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
    pub apply_time: Duration,
    /// Shortest lifetime of a lease in the store.
    pub shortest_lease: Duration,
}

/// One mistake in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFinding {
    /// Where, such as `listen.front`.
    pub place: String,
    /// What is wrong.
    pub problem: String,
}

/// All mistakes in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Invariant: not empty.
    pub findings: Vec<SettingsFinding>,
}

impl SettingsError {
    /// An error with one finding.
    pub fn one(place: &str, problem: impl fmt::Display) -> SettingsError {
        let finding = SettingsFinding { place: place.to_string(), problem: problem.to_string() };
        SettingsError { findings: vec![finding] }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("failed to read the settings")?;
        for finding in &self.findings {
            write!(f, "\n  {}: {}", finding.place, finding.problem)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
