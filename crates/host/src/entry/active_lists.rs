//! The lists in force, in the form that requests need.

use std::collections::BTreeMap;

use carobvane_core::lists::{
    BackendServer, GrantEntry, KeyHash, ListDocument, ListSnapshot, ListVersion, ServerRole,
};

/// A workspace that a key has named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientWorkspace {
    /// The workspace's name.
    pub name: String,
    /// The name of its plan.
    pub plan: String,
}

/// One version of the lists with indexes for lookups.
#[derive(Debug)]
pub struct ActiveLists {
    /// The version.
    pub version: ListVersion,
    /// The document.
    pub document: ListDocument,
    engines: BTreeMap<String, Vec<String>>,
    services: BTreeMap<String, Vec<String>>,
}

impl ActiveLists {
    /// Indexes a snapshot.
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

    /// The workspace of a bearer key.
    pub fn workspace(&self, key: &str) -> Option<ClientWorkspace> {
        let (name, entry) = self.document.workspace_by_key(&KeyHash::of_key(key))?;
        Some(ClientWorkspace { name: name.to_string(), plan: entry.plan.clone() })
    }

    /// What a workspace may use.
    pub fn grant(&self, workspace: &ClientWorkspace) -> Option<&GrantEntry> {
        self.document.grants.get(&workspace.plan)
    }

    /// Names of the engines of a model.
    pub fn engines(&self, model: &str) -> &[String] {
        self.engines.get(model).map_or(&[], Vec::as_slice)
    }

    /// Names of the servers of a plain service.
    pub fn service_servers(&self, service: &str) -> &[String] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// A backend server.
    pub fn server(&self, name: &str) -> Option<&BackendServer> {
        self.document.servers.get(name)
    }

    /// The weights version that answers of a model must come from.
    pub fn weights_version(&self, model: &str) -> u64 {
        self.document.weights.get(model).map_or(0, |weights| weights.version)
    }
}
