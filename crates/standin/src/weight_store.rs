//! A simulated weight store, from which engines load model weights. Loads slow down when more than
//! a set number run at once.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use actix_web::{App, HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::util::{self, RunningServer, lock, millis};

/// Settings of a simulated weight store.
#[derive(Debug, Clone)]
pub struct WeightStoreSettings {
    /// Address to listen on. Port 0 selects an ephemeral port.
    pub addr: SocketAddr,
    /// Duration of a load at full speed, in milliseconds.
    pub load_ms: f64,
    /// Number of concurrent loads that run at full speed. With more, the duration of a new load
    /// grows in proportion to their number.
    pub concurrent_loads: u32,
}

impl Default for WeightStoreSettings {
    fn default() -> WeightStoreSettings {
        WeightStoreSettings { addr: util::ephemeral_addr(), load_ms: 400.0, concurrent_loads: 2 }
    }
}

/// Counters of a weight store since its start (`GET /counters`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightStoreCounters {
    /// Loads started.
    pub loads: u64,
    /// Loads in progress.
    pub running: u32,
    /// Highest number of loads in progress at the same time.
    pub peak_running: u32,
}

#[derive(Debug)]
struct WeightStoreCore {
    settings: WeightStoreSettings,
    counters: WeightStoreCounters,
}

type Shared = web::Data<Mutex<WeightStoreCore>>;

/// Handle of a running weight store. Clones refer to the same store.
#[derive(Debug, Clone)]
pub struct WeightStoreHandle {
    core: Arc<Mutex<WeightStoreCore>>,
    server: RunningServer,
}

/// Starts a weight store inside the caller's actix system.
pub async fn start(settings: WeightStoreSettings) -> io::Result<WeightStoreHandle> {
    let listener = util::listen(settings.addr)?;
    let core = WeightStoreCore { settings, counters: WeightStoreCounters::default() };
    let core = Arc::new(Mutex::new(core));
    let data = web::Data::from(core.clone());
    let app = move || {
        App::new()
            .app_data(data.clone())
            .route("/weights/{model}/{version}", web::get().to(load))
            .route("/counters", web::get().to(counters))
    };
    Ok(WeightStoreHandle { core, server: crate::serve!(listener, app) })
}

impl WeightStoreHandle {
    /// Returns the address on which the store listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the duration of a load at full speed, in milliseconds. Running loads are unaffected.
    pub fn set_load_ms(&self, load_ms: f64) {
        lock(&self.core).settings.load_ms = load_ms;
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> WeightStoreCounters {
        lock(&self.core).counters
    }

    /// Stops the store at once and closes its open connections.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

/// Removes a load from the running count on drop, which also happens when the client disconnects.
struct LoadGuard(Shared);

impl Drop for LoadGuard {
    fn drop(&mut self) {
        lock(&self.0).counters.running -= 1;
    }
}

async fn load(shared: Shared, path: web::Path<(String, u64)>) -> HttpResponse {
    let (model, version) = path.into_inner();
    let wait = {
        let mut core = lock(&shared);
        core.counters.loads += 1;
        core.counters.running += 1;
        core.counters.peak_running = core.counters.peak_running.max(core.counters.running);
        let share = f64::from(core.counters.running) / f64::from(core.settings.concurrent_loads);
        millis(core.settings.load_ms * share.max(1.0))
    };
    let _guard = LoadGuard(shared);
    tokio::time::sleep(wait).await;
    HttpResponse::Ok().json(json!({"model": model, "version": version}))
}

async fn counters(shared: Shared) -> HttpResponse {
    HttpResponse::Ok().json(lock(&shared).counters)
}
