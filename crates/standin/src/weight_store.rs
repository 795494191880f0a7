//! A simulated weight store that slows down beyond a number of concurrent loads.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use actix_web::{App, HttpResponse, web};
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::util::{self, RunningServer, lock, millis};

/// How a simulated weight store behaves.
#[derive(Debug, Clone)]
pub struct WeightStoreSettings {
    /// Where to listen; port 0 lets the system choose.
    pub addr: SocketAddr,
    /// Time of a load in milliseconds.
    pub load_ms: f64,
    /// Loads that run at full speed together; the time grows in proportion beyond.
    pub concurrent_loads: u32,
}

impl Default for WeightStoreSettings {
    fn default() -> WeightStoreSettings {
        WeightStoreSettings { addr: util::ephemeral_addr(), load_ms: 400.0, concurrent_loads: 2 }
    }
}

/// What a weight store did so far (`GET /counters`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStoreCounters {
    /// Loads begun.
    pub loads: u64,
    /// Loads in progress.
    pub running: u32,
    /// Most loads in progress at once.
    pub peak_running: u32,
}

#[derive(Debug)]
struct WeightStoreCore {
    settings: WeightStoreSettings,
    counters: WeightStoreCounters,
}

type Shared = web::Data<Mutex<WeightStoreCore>>;

/// A running weight store.
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
    /// The address on which it listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes the time of a load in milliseconds.
    pub fn set_load_ms(&self, load_ms: f64) {
        lock(&self.core).settings.load_ms = load_ms;
    }

    /// What the store did so far.
    pub fn counters(&self) -> WeightStoreCounters {
        lock(&self.core).counters
    }

    /// Stops the store and breaks its connections.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

/// Counts a load as running until it is dropped, which also happens when the client leaves.
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
