//! A simulated list of live and leaving VMs. Readers see each change after a configured delay, as
//! with a list that is refreshed periodically.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use actix_web::{App, HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::util::{self, RunningServer, lock, millis};

/// A VM in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmEntry {
    /// Name of the VM.
    pub name: String,
    /// `live` or `leaving`.
    pub state: VmState,
    /// Address of the VM.
    pub addr: String,
}

/// State of a VM in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be removed.
    Leaving,
}

/// Settings of a simulated VM list.
#[derive(Debug, Clone)]
pub struct VmListSettings {
    /// Address to listen on. Port 0 selects an ephemeral port.
    pub addr: SocketAddr,
    /// Delay until readers see a change, in milliseconds.
    pub lag_ms: f64,
    /// Initial VMs.
    pub vms: Vec<VmEntry>,
}

impl Default for VmListSettings {
    fn default() -> VmListSettings {
        VmListSettings { addr: util::ephemeral_addr(), lag_ms: 500.0, vms: Vec::new() }
    }
}

#[derive(Debug)]
struct VmListCore {
    lag: Duration,
    calls: u64,
    /// Lists with the time at which they were set. Invariant: not empty; the last entry is the
    /// current list.
    snapshots: VecDeque<(Instant, Vec<VmEntry>)>,
}

type Shared = web::Data<Mutex<VmListCore>>;

/// Handle of a running VM list. Clones refer to the same list.
#[derive(Debug, Clone)]
pub struct VmListHandle {
    core: Arc<Mutex<VmListCore>>,
    server: RunningServer,
}

/// Starts a VM list inside the caller's actix system.
pub async fn start(settings: VmListSettings) -> io::Result<VmListHandle> {
    let listener = util::listen(settings.addr)?;
    let core = VmListCore {
        lag: millis(settings.lag_ms),
        calls: 0,
        snapshots: VecDeque::from([(Instant::now(), settings.vms)]),
    };
    let core = Arc::new(Mutex::new(core));
    let data = web::Data::from(core.clone());
    let app = move || {
        App::new()
            .app_data(data.clone())
            .route("/vms", web::get().to(list_vms))
            .route("/vms", web::put().to(replace_vms))
            .route("/counters", web::get().to(counters))
    };
    Ok(VmListHandle { core, server: crate::serve!(listener, app) })
}

impl VmListHandle {
    /// Returns the address on which the list is served.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the VMs. Readers see the change after the delay.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        lock(&self.core).snapshots.push_back((Instant::now(), vms));
    }

    /// Sets the delay until readers see a change, in milliseconds.
    pub fn set_lag_ms(&self, lag_ms: f64) {
        lock(&self.core).lag = millis(lag_ms);
    }

    /// Returns the number of reads since the start.
    pub fn calls(&self) -> u64 {
        lock(&self.core).calls
    }

    /// Stops the server at once and closes its open connections.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

async fn list_vms(shared: Shared) -> HttpResponse {
    let mut core = lock(&shared);
    core.calls += 1;
    let now = Instant::now();
    while core.snapshots.len() > 1 && now.duration_since(core.snapshots[1].0) >= core.lag {
        core.snapshots.pop_front();
    }
    HttpResponse::Ok().json(&core.snapshots[0].1)
}

async fn replace_vms(shared: Shared, vms: web::Json<Vec<VmEntry>>) -> HttpResponse {
    lock(&shared).snapshots.push_back((Instant::now(), vms.into_inner()));
    HttpResponse::Ok().json(json!({}))
}

async fn counters(shared: Shared) -> HttpResponse {
    HttpResponse::Ok().json(json!({"calls": lock(&shared).calls}))
}
