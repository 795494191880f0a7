//! A simulated list of live and leaving VMs that lags behind the truth.

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

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// The VM's name.
    pub name: String,
    /// `live` or `leaving`.
    pub state: VmState,
    /// The VM's address.
    pub addr: String,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// How a simulated VM list behaves.
#[derive(Debug, Clone)]
pub struct VmListSettings {
    /// Where to listen; port 0 lets the system choose.
    pub addr: SocketAddr,
    /// Age of the list in milliseconds.
    pub lag_ms: f64,
    /// The VMs at the start.
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
    /// Invariant: not empty; the last entry is the truth.
    snapshots: VecDeque<(Instant, Vec<VmEntry>)>,
}

type Shared = web::Data<Mutex<VmListCore>>;

/// A running VM list.
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
    /// The address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the VMs; readers see the change after the lag.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        lock(&self.core).snapshots.push_back((Instant::now(), vms));
    }

    /// Changes the age of the list in milliseconds.
    pub fn set_lag_ms(&self, lag_ms: f64) {
        lock(&self.core).lag = millis(lag_ms);
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        lock(&self.core).calls
    }

    /// Stops the list and breaks its connections.
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
