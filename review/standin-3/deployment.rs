//! A small deployment: the store, the model servers of one service, and nodes.

use std::{path::Path, sync::Arc, thread, time::Duration};

use crate::{
    node::NodeProcess,
    record::Record,
    server::{ModelServer, Runs, ServerPlan},
    store::Store,
};

pub const SERVICE: &str = "huvo11a";
pub const MODEL: &str = "daka510000";
pub const KEY: &str = "ctnfzs989anu6wsjnban";
/// Time after the start in which nodes find each other and the servers.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// A tenant of the config.
#[derive(Clone, Copy)]
pub struct Tenant {
    pub name: &'static str,
    pub key: &'static str,
    pub is_isolated: bool,
}

pub const TENANT: Tenant = Tenant { name: "sese880", key: KEY, is_isolated: false };

pub fn config(version: u64, tenants: &[Tenant]) -> String {
    let tenants = tenants.iter().map(|Tenant { name, key, is_isolated }| {
        format!("{{\"name\":\"{name}\",\"apiKeys\":[\"{key}\"],\"priority\":1,\"isolated\":{is_isolated}}}")
    });
    let tenants = tenants.collect::<Vec<_>>().join(",");
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"jepu9.example","prefix":"/lepu270/","kind":"streaming",
"timeoutMs":5000,"targetLatencyMs":800,"priority":1,"service":"{SERVICE}","maxAttempts":2,"public":false,"sticky":true,
"resumable":true,"gapTargetMs":400}}],"services":[{{"name":"{SERVICE}","healthPath":"/healthz","maxConnections":370,
"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacity":95724,"kvTokenBytes":163840,"linkMbps":550000.0,"moves":true,
"backups":true,"stride":5,"maxConcurrency":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"{MODEL}"}}]}}}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{tenants}]}}"#
    )
}

pub struct Deployment {
    pub store: Store,
    pub servers: Vec<Arc<ModelServer>>,
    pub nodes: Vec<NodeProcess>,
    pub runs: Runs,
}

impl Deployment {
    /// Starts some servers, of these software versions in turn, and nodes; `None` if a node does not become ready. A stream has `events` events,
    /// `gap` apart.
    pub fn start(
        program: &str,
        folder: &Path,
        ips: &[String],
        (servers, nodes): (usize, usize),
        software: &[&str],
        (events, gap): (u64, Duration),
        tenants: &[Tenant],
        record: &Record,
    ) -> Option<Deployment> {
        let store = Store::start(&ips[0]);
        store.write("op/config", &config(7, tenants));
        store.write(
            &format!("op/version/{MODEL}"),
            &format!("{{\"model\":\"{MODEL}\",\"version\":1}}"),
        );
        let runs = Runs::default();
        let plan = ServerPlan {
            service: SERVICE,
            model: MODEL,
            events,
            gap,
            store: store.clone(),
            record: record.clone(),
            runs: runs.clone(),
        };
        let servers = (0..servers).map(|number| {
            ModelServer::start(
                &ips[0],
                &format!("i-{number:08x}"),
                software[number % software.len()],
                &plan,
            )
        });
        let servers = servers.collect();
        let mut started: Vec<NodeProcess> = Vec::new();
        for number in 1..=nodes {
            let seeds: Vec<_> = started.iter().map(|node| node.control).take(3).collect();
            let name = format!("front-z1-{number}");
            started.push(NodeProcess::start(program, folder, &name, &ips[number], &seeds, &store));
        }
        let nodes = started;
        let deployment = Deployment { store, servers, nodes, runs };
        if !deployment.nodes.iter().all(NodeProcess::wait_ready) {
            record.line("a node did not become ready");
            return None;
        }
        thread::sleep(SETTLE_TIME);
        Some(deployment)
    }

    /// Whether no node has ended.
    pub fn is_whole(&self, record: &Record) -> bool {
        let is_whole = self.nodes.iter().all(NodeProcess::is_running);
        if !is_whole {
            record.line("a node has ended");
        }
        is_whole
    }
}

/// Ends some servers at once, which start again after a time, as another software version.
pub fn restart(servers: &[Arc<ModelServer>], after: Duration, software: &'static str) {
    servers.iter().for_each(|server| server.end());
    let servers = servers.to_vec();
    thread::spawn(move || {
        thread::sleep(after);
        servers.iter().for_each(|server| server.restart(software));
    });
}
