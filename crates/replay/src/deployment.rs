//! The two deployments that traces are generated for, with the sizes of the design page.

/// A workspace of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceSpec {
    /// The workspace's name.
    pub name: &'static str,
    /// Share of the requests, relative to the other workspaces.
    pub weight: f64,
    /// Sets of files that prompts begin with.
    pub file_sets: usize,
}

/// A deployment's size and load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeploymentSpec {
    /// The deployment's name.
    pub name: &'static str,
    /// Model servers.
    pub engines: usize,
    /// Plain servers.
    pub services: usize,
    /// Weights loads that run at full speed together.
    pub concurrent_loads: u32,
    /// Name of the second prompt level in piece names.
    pub group: &'static str,
    /// Requests a second for each model server outside the crest.
    pub rate_per_engine: f64,
    /// Share of long drafts among completions.
    pub draft_share: f64,
    /// Bookings a second.
    pub booking_rate: f64,
    /// The workspaces.
    pub workspaces: [WorkspaceSpec; 8],
}

const fn workspace(name: &'static str, weight: f64, file_sets: usize) -> WorkspaceSpec {
    WorkspaceSpec { name, weight, file_sets }
}

/// Four data centres, twelve model servers, four booking servers.
pub const IRAZABAL: DeploymentSpec = DeploymentSpec {
    name: "irazabal",
    engines: 12,
    services: 4,
    concurrent_loads: 2,
    group: "float",
    rate_per_engine: 1.5,
    draft_share: 0.12,
    booking_rate: 2.0,
    workspaces: [
        workspace("arrieta", 8.0, 12),
        workspace("belmonte", 6.0, 10),
        workspace("cardozo", 4.0, 8),
        workspace("duarte", 1.0, 3),
        workspace("etcheverry", 1.0, 3),
        workspace("ferrando", 0.7, 3),
        workspace("galvan", 0.5, 2),
        workspace("hidalgo", 0.3, 2),
    ],
};

/// Three data centres, eighteen model servers, three dispatch servers.
pub const KELANI: DeploymentSpec = DeploymentSpec {
    name: "kelani",
    engines: 18,
    services: 3,
    concurrent_loads: 3,
    group: "tenancy",
    rate_per_engine: 1.4,
    draft_share: 0.08,
    booking_rate: 1.5,
    workspaces: [
        workspace("amarasena", 9.0, 14),
        workspace("bandara", 7.0, 12),
        workspace("colombage", 3.0, 8),
        workspace("dias", 1.0, 4),
        workspace("ekanayake", 1.0, 4),
        workspace("fonseka", 0.8, 3),
        workspace("gunaratne", 0.5, 3),
        workspace("herath", 0.3, 2),
    ],
};

/// Finds a deployment by name.
pub fn find(name: &str) -> Option<DeploymentSpec> {
    [IRAZABAL, KELANI].into_iter().find(|spec| spec.name == name)
}
