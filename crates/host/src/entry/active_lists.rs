//! The lists in force, indexed for requests.

use std::collections::BTreeMap;

use carobvane_core::lists::{
    BackendServer, GrantEntry, KeyHash, ListDocument, ListSnapshot, ListVersion, ServerRole,
};

/// The workspace of a client, found by its bearer key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientWorkspace {
    /// Name of the workspace.
    pub name: String,
    /// Name of its plan.
    pub plan: String,
}

/// One version of the lists with indexes for lookups.
#[derive(Debug)]
pub struct ActiveLists {
    /// Number and digest of the version.
    pub version: ListVersion,
    /// Content of the lists.
    pub document: ListDocument,
    engines: BTreeMap<String, Vec<String>>,
    services: BTreeMap<String, Vec<String>>,
}

impl ActiveLists {
    /// Indexes a version of the lists.
    pub fn new(snapshot: &ListSnapshot) -> ActiveLists {
        let mut engines: BTreeMap<String, Vec<String>> = BTreeMap::new();
        let mut services: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, server) in &snapshot.document.servers {
            let (index, target) = match &server.role {
                ServerRole::Engine(model) => (&mut engines, model),
                ServerRole::Service(service) => (&mut services, service),
            };
            index.entry(target.clone()).or_default().push(name.clone());
        }
        ActiveLists {
            version: snapshot.version,
            document: snapshot.document.clone(),
            engines,
            services,
        }
    }

    /// Returns the workspace of a bearer key.
    pub fn workspace(&self, key: &str) -> Option<ClientWorkspace> {
        let (name, entry) = self.document.workspace_by_key(&KeyHash::of_key(key))?;
        Some(ClientWorkspace { name: name.to_string(), plan: entry.plan.clone() })
    }

    /// Returns the models and services that the plan of a workspace may use.
    pub fn grant(&self, workspace: &ClientWorkspace) -> Option<&GrantEntry> {
        self.document.grants.get(&workspace.plan)
    }

    /// Returns the names of the engines of a model.
    pub fn engines(&self, model: &str) -> &[String] {
        self.engines.get(model).map_or(&[], Vec::as_slice)
    }

    /// Returns the names of the servers of a plain service.
    pub fn service_servers(&self, service: &str) -> &[String] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns a backend server by name.
    pub fn server(&self, name: &str) -> Option<&BackendServer> {
        self.document.servers.get(name)
    }

    /// Returns the version of the weights that answers of a model must come from, or 0 if the lists
    /// set none.
    pub fn weights_version(&self, model: &str) -> u64 {
        self.document.weights.get(model).map_or(0, |weights| weights.version)
    }
}
