//! Sizes and request rates of the two deployments for which traces are generated. The values come
//! from the design page.

/// A workspace of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkspaceSpec {
    /// Name of the workspace.
    pub name: &'static str,
    /// Relative share of the requests; the weights need not add up to 1.
    pub weight: f64,
    /// Number of different file sets with which prompts start.
    pub file_sets: usize,
}

/// Size and load of a deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DeploymentSpec {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of engines (model servers).
    pub engines: usize,
    /// Number of plain servers.
    pub services: usize,
    /// Number of weights loads that can run at the same time without slowing each other down.
    pub concurrent_loads: u32,
    /// Name of a group, the second level of a prompt, in piece names.
    pub group_name: &'static str,
    /// Completion requests per second for each engine, outside the load peak.
    pub rate_per_engine: f64,
    /// Share of drafts among the completion requests.
    pub draft_share: f64,
    /// Bookings per second.
    pub booking_rate: f64,
    /// Workspaces that send the requests.
    pub workspaces: [WorkspaceSpec; 8],
}

const fn workspace(name: &'static str, weight: f64, file_sets: usize) -> WorkspaceSpec {
    WorkspaceSpec { name, weight, file_sets }
}

/// Four data centres with twelve engines and four booking servers.
pub const IRAZABAL: DeploymentSpec = DeploymentSpec {
    name: "irazabal",
    engines: 12,
    services: 4,
    concurrent_loads: 2,
    group_name: "float",
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

/// Three data centres with eighteen engines and three dispatch servers.
pub const KELANI: DeploymentSpec = DeploymentSpec {
    name: "kelani",
    engines: 18,
    services: 3,
    concurrent_loads: 3,
    group_name: "tenancy",
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

/// Returns the deployment with the given name, if there is one.
pub fn find(name: &str) -> Option<DeploymentSpec> {
    [IRAZABAL, KELANI].into_iter().find(|spec| spec.name == name)
}
