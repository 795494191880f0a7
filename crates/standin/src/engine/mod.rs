//! A simulated model engine with continuous batching and a bounded prefix cache.

pub mod answer;
pub mod batch;
pub mod cache;
mod http;
pub mod settings;
pub mod state;

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use actix_web::{App, middleware::from_fn, web};
use carobvane_proto::engine::LoadReport;
use tokio::sync::Notify;

pub use self::settings::{EngineCounters, EngineFaults, EngineSettings, FaultUpdate};
use self::{batch::StepPlan, state::EngineCore};
use crate::util::{self, RunningServer, lock};

/// Interval at which a stalled engine checks whether the stall has ended.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// State shared by the HTTP handlers, the compute loop and the crash supervisor.
#[derive(Debug)]
pub(crate) struct EngineShared {
    core: Mutex<EngineCore>,
    /// Wakes the compute loop when a job arrives or the engine stops.
    work: Notify,
    /// Wakes the supervisor when the engine crashes or stops.
    crash: Notify,
    stopped: AtomicBool,
}

/// Handle of a running engine. Clones refer to the same engine.
#[derive(Debug, Clone)]
pub struct EngineHandle {
    addr: SocketAddr,
    shared: Arc<EngineShared>,
    /// HTTP server of the current incarnation; `None` while the engine is down or stopped.
    server: Arc<Mutex<Option<RunningServer>>>,
}

/// Starts an engine inside the caller's actix system. Fails if the address cannot be bound.
pub async fn start(settings: EngineSettings) -> io::Result<EngineHandle> {
    let listener = util::listen(settings.addr)?;
    let addr = listener.local_addr()?;
    let incarnation = settings.incarnation.unwrap_or_else(clock_incarnation);
    let shared = Arc::new(EngineShared {
        core: Mutex::new(EngineCore::new(settings, incarnation)),
        work: Notify::new(),
        crash: Notify::new(),
        stopped: AtomicBool::new(false),
    });
    let server = serve_incarnation(&listener, &shared)?;
    let handle = EngineHandle { addr, shared, server: Arc::new(Mutex::new(Some(server))) };
    actix_rt::spawn(compute(handle.shared.clone()));
    actix_rt::spawn(supervise(handle.clone(), listener));
    Ok(handle)
}

/// Returns the milliseconds since 1970, so that a process that starts later has a higher
/// incarnation.
fn clock_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |age| age.as_millis() as u64)
}

impl EngineHandle {
    /// Returns the address on which the engine listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the faults that `update` names and crashes the engine if it asks for that.
    pub fn update_faults(&self, update: &FaultUpdate) {
        self.shared.change_faults(update);
    }

    /// Returns the counters since the start, over all incarnations.
    pub fn counters(&self) -> EngineCounters {
        lock(&self.shared.core).counters
    }

    /// Returns the current incarnation, which each crash increments.
    pub fn incarnation(&self) -> u64 {
        lock(&self.shared.core).state.incarnation
    }

    /// Returns the load at this moment, without the delay of `GET /load`.
    pub fn current_load(&self) -> LoadReport {
        lock(&self.shared.core).current_load()
    }

    /// Returns how many leading pieces of a prompt are cached at this moment, without the delay and
    /// loss of cache events.
    pub fn cached_prefix_pieces(&self, cache_salt: &str, hashes: &[u64]) -> usize {
        let salt = util::hash_parts(&[cache_salt.as_bytes()]);
        lock(&self.shared.core).cache.prefix_hit(salt, hashes)
    }

    /// Returns the current factor on all compute times.
    pub fn slow_factor(&self) -> f64 {
        lock(&self.shared.core).faults.slow_factor
    }

    /// Stops the engine permanently and closes its open connections.
    pub async fn stop(&self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        self.shared.work.notify_one();
        self.shared.crash.notify_one();
        let server = lock(&self.server).take();
        if let Some(server) = server {
            server.stop().await;
        }
    }
}

impl EngineShared {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn change_faults(&self, update: &FaultUpdate) {
        let mut core = lock(&self.core);
        core.faults.update(update);
        if update.crash == Some(true) && !core.down {
            core.crash();
            self.crash.notify_one();
        }
    }
}

fn serve_incarnation(
    listener: &TcpListener,
    shared: &Arc<EngineShared>,
) -> io::Result<RunningServer> {
    let data = web::Data::from(shared.clone());
    let app = move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(util::MAX_BODY_BYTES))
            .app_data(web::JsonConfig::default().limit(util::MAX_BODY_BYTES))
            .wrap(from_fn(http::reject_across_restart))
            .configure(http::routes)
    };
    Ok(crate::serve!(listener.try_clone()?, app))
}

/// Runs the batch until the engine stops. Each step ends at an absolute time, so that a late
/// wake-up shortens the next wait and delays do not add up.
async fn compute(shared: Arc<EngineShared>) {
    let mut next = Instant::now();
    while !shared.is_stopped() {
        if lock(&shared.core).faults.stall {
            tokio::time::sleep(STALL_POLL_INTERVAL).await;
            next = Instant::now();
            continue;
        }
        let (plan, incarnation) = {
            let mut core = lock(&shared.core);
            core.sample_load();
            (core.begin_step(), core.state.incarnation)
        };
        match plan {
            StepPlan::Idle => {
                shared.work.notified().await;
                next = Instant::now();
            }
            StepPlan::Crash => {
                lock(&shared.core).crash();
                shared.crash.notify_one();
                next = Instant::now();
            }
            StepPlan::Compute(cost) => {
                next += lock(&shared.core).real_duration(cost);
                tokio::time::sleep_until(next.into()).await;
                let mut core = lock(&shared.core);
                if core.state.incarnation == incarnation {
                    core.finish_step();
                }
            }
        }
    }
}

/// Performs crashes: closes all connections, drops new ones during the restart time, and then
/// serves the next incarnation.
async fn supervise(handle: EngineHandle, listener: TcpListener) {
    loop {
        handle.shared.crash.notified().await;
        if handle.shared.is_stopped() {
            return;
        }
        let down = {
            let core = lock(&handle.shared.core);
            core.real_duration(core.faults.restart_ms)
        };
        log::info!("engine {} crashed", handle.addr);
        let server = lock(&handle.server).take();
        if let Some(server) = server {
            server.stop().await;
        }
        if let Err(error) = drop_connections(&listener, down).await {
            log::error!("failed to drop connections of {}: {error}", handle.addr);
        }
        if handle.shared.is_stopped() {
            return;
        }
        lock(&handle.shared.core).down = false;
        match serve_incarnation(&listener, &handle.shared) {
            Ok(server) => *lock(&handle.server) = Some(server),
            Err(error) => log::error!("failed to restart {}: {error}", handle.addr),
        }
    }
}

/// Accepts and closes connections for the duration `down`. The listener stays bound, so that the
/// engine keeps its port; the connections of a crashed process would be refused instead.
async fn drop_connections(listener: &TcpListener, down: Duration) -> io::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener.try_clone()?)?;
    let accept = async {
        loop {
            if listener.accept().await.is_err() {
                tokio::time::sleep(STALL_POLL_INTERVAL).await;
            }
        }
    };
    let _ = tokio::time::timeout(down, accept).await;
    Ok(())
}
