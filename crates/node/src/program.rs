//! Startup and shutdown of the process.

use std::{process::ExitCode, rc::Rc, time::Duration};

use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{Instant, interval, sleep},
};

use crate::{
    adapter::{PlatformAdapter, SettingsAdapter},
    client::stream_origin,
    clock,
    flags::CarobvaneNode,
    fleet::{
        legacy_nodes, notice_transport, peer_knowledge,
        registration::{self, RegistrationLease},
        workspace_limits,
    },
    logging,
    node::Node,
    rollout::{
        rollout_lease::{self, RolloutLease},
        run as rollout,
    },
    server::{
        cache_events, cache_store, crash_store, crashes, links, server_limits, server_signals,
        silent_servers,
    },
    settings::NodeSettings,
    sockets::NodeSockets,
    store::{client::StoreClient, software_store, store_changes::drop_server_state, store_sync},
};
use carobvane_core::{
    rendezvous::rendezvous_score,
    traffic::{BackendServer, ServerAvailability},
};

/// Exit code for invalid settings.
const SETTINGS_EXIT_CODE: u8 = 2;
/// Time after SIGTERM for clients to notice that the node is stopping.
const LINGER_PERIOD: Duration = Duration::from_millis(2_500);
/// The process ends this much before the platform would kill it.
const TERMINATION_MARGIN: Duration = Duration::from_millis(700);
/// Time between two checks whether the node may end.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between two rounds of closing expired connections and dropping vanished nodes and servers.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two folds of histogram values into their summaries.
const METRICS_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two reads of the settings file, which may change without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a node until SIGTERM or SIGINT. Also handles `--version` and `--check`.
pub fn run<A: PlatformAdapter>() -> ExitCode {
    let flags = CarobvaneNode::from_env_or_exit();
    if flags.version {
        println!("carobvane-node {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let (settings, bytes) = match load_settings::<A>() {
        Ok(read) => read,
        Err(cause) => {
            eprintln!("{cause}");
            return ExitCode::from(SETTINGS_EXIT_CODE);
        }
    };
    if flags.check {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    let level = flags.log_level.unwrap_or(log::LevelFilter::Info);
    match actix_rt::System::new().block_on(run_until_stopped::<A>(settings, bytes, level)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause:#}");
            ExitCode::FAILURE
        }
    }
}

fn load_settings<A: SettingsAdapter>() -> Result<(NodeSettings, Vec<u8>)> {
    let path = A::settings_path()?;
    let bytes =
        std::fs::read(&path).wrap_err_with(|| format!("failed to read {}", path.display()))?;
    Ok((A::parse_settings(&bytes)?, bytes))
}

async fn run_until_stopped<A: PlatformAdapter>(
    settings: NodeSettings,
    bytes: Vec<u8>,
    level: log::LevelFilter,
) -> Result<()> {
    logging::start_logging(level)?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .wrap_err("failed to start recording metrics")?;
    let node = RunningNode::<A>::start(settings, metrics).await?;
    actix_rt::spawn(watch_settings::<A>(bytes));
    wait_for_shutdown_signal().await?;
    node.stop().await;
    Ok(())
}

/// A node that runs on the actix system of the calling code.
pub struct RunningNode<A> {
    node: Rc<Node>,
    store: Rc<StoreClient<A>>,
    registration_lease: Rc<RegistrationLease>,
    rollout_lease: Rc<RolloutLease>,
}

impl<A: PlatformAdapter> RunningNode<A> {
    /// Starts a node. `metrics` renders its metrics page.
    ///
    /// # Errors
    ///
    /// Fails if one of its addresses cannot be used.
    pub async fn start(mut settings: NodeSettings, metrics: PrometheusHandle) -> Result<Self> {
        // Nodes that start at the same time may have the same process id.
        let started = clock::now().as_micros() ^ (u64::from(std::process::id()) << 40);
        let seed = rendezvous_score(settings.name.as_bytes(), started);
        let sockets = NodeSockets::open(&mut settings).await?;
        let node = Rc::new(Node::new(settings, sockets.notices.clone(), seed));
        let store = Rc::new(StoreClient::<A>::new(node.settings.store_address));
        let registration_lease = Rc::new(RegistrationLease::default());
        let rollout_lease = Rc::new(RolloutLease::default());
        actix_rt::spawn(fold_metrics(metrics.clone()));
        sockets.serve::<A>(&node, metrics);
        actix_rt::spawn(store_sync::sync_with_store(node.clone(), store.clone()));
        actix_rt::spawn(store_sync::sync_with_peers::<A>(node.clone()));
        actix_rt::spawn(registration::maintain_registration(
            node.clone(),
            store.clone(),
            registration_lease.clone(),
        ));
        actix_rt::spawn(rollout_lease::maintain_lease(
            node.clone(),
            store.clone(),
            rollout_lease.clone(),
        ));
        actix_rt::spawn(rollout::run_rollout(node.clone(), store.clone(), rollout_lease.clone()));
        actix_rt::spawn(notice_transport::send_batches(node.clone()));
        actix_rt::spawn(notice_transport::send_heartbeats(node.clone()));
        actix_rt::spawn(links::watch(node.clone()));
        actix_rt::spawn(notice_transport::receive_batches::<A>(node.clone()));
        actix_rt::spawn(cache_store::monitor::<A>(node.clone()));
        actix_rt::spawn(silent_servers::watch::<A>(node.clone()));
        actix_rt::spawn(cache_events::follow_engines::<A>(node.clone()));
        actix_rt::spawn(crash_store::write_records(node.clone(), store.clone()));
        actix_rt::spawn(software_store::write_records(node.clone(), store.clone()));
        actix_rt::spawn(peer_knowledge::read_peers::<A>(node.clone()));
        actix_rt::spawn(legacy_nodes::find_formats(node.clone()));
        actix_rt::spawn(run_housekeeping(node.clone()));
        actix_rt::spawn(workspace_limits::run(node.clone()));
        log::info!(
            name = node.settings.name, data_centre = node.settings.data_centre,
            callers:% = node.settings.client_address, incarnation = node.incarnation;
            "node started"
        );
        Ok(RunningNode { node, store, registration_lease, rollout_lease })
    }

    /// Returns the settings, with the assigned port wherever a port was 0.
    pub fn settings(&self) -> &NodeSettings {
        &self.node.settings
    }

    /// Returns the version of the configuration in force; `None` before the first one.
    pub fn config_version(&self) -> Option<u64> {
        self.node.state.borrow().routes.version()
    }

    /// Returns the largest number of servers that one request has crashed, as far as this node knows.
    pub fn max_crash_count(&self) -> usize {
        self.node.state.borrow().crashes.max_crash_count()
    }

    /// Returns the number of servers that did not respond to other nodes, as those have told lately.
    pub fn suspected_servers(&self) -> usize {
        let now = clock::now();
        let state = self.node.state.borrow();
        state.registry.iter().filter(|(_, server)| server.health.is_suspected(now)).count()
    }

    /// Returns the number of servers that get no requests because the nodes found them silent.
    pub fn silent_servers(&self) -> usize {
        let state = self.node.state.borrow();
        state.registry.iter().filter(|(_, server)| server.silence.is_silent()).count()
    }

    /// Returns the number of the revision up to which this node's copy of the store is complete.
    pub fn store_revision(&self) -> u64 {
        self.node.state.borrow().mirror.revision.number
    }

    /// Returns the number of servers that get no requests because they leave.
    pub fn leaving_servers(&self) -> usize {
        let state = self.node.state.borrow();
        let servers = state.registry.iter();
        let is_leaving =
            |server: &BackendServer| server.availability == ServerAvailability::Leaving;
        servers.filter(|(_, server)| is_leaving(server)).count()
    }

    /// Returns the number of servers that did not respond to this node's latest requests.
    pub fn unresponsive_servers(&self) -> usize {
        let state = self.node.state.borrow();
        state.registry.iter().filter(|(_, server)| server.health.is_unresponsive()).count()
    }

    /// Leaves the directory at once, finishes the requests in flight, and ends.
    pub async fn stop(&self) {
        stop(&self.node, &self.store, &self.registration_lease, &self.rollout_lease).await;
    }
}

async fn wait_for_shutdown_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("failed to handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("failed to handle SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

async fn stop<A: PlatformAdapter>(
    node: &Rc<Node>,
    store: &StoreClient<A>,
    registration_lease: &RegistrationLease,
    rollout_lease: &RolloutLease,
) {
    let started = Instant::now();
    log::info!(in_flight = node.in_flight.get(); "node is stopping");
    node.draining.set(true);
    workspace_limits::on_stopping(node);
    registration::release(store, registration_lease).await;
    rollout_lease::release(node, store, rollout_lease).await;
    let linger = started + LINGER_PERIOD.min(node.settings.bounds.termination_grace / 2);
    let latest =
        started + node.settings.bounds.termination_grace.saturating_sub(TERMINATION_MARGIN);
    while Instant::now() < latest {
        if Instant::now() >= linger {
            node.close();
            // A connection ends once its response has been written.
            if node.in_flight.get() == 0 && node.connections.get() == 0 {
                break;
            }
        }
        sleep(STOP_CHECK_INTERVAL).await;
    }
    let left = node.in_flight.get();
    log::info!(left, took_ms = started.elapsed().as_millis() as u64; "node exits");
    // Gives the log thread time to write the last lines.
    sleep(STOP_CHECK_INTERVAL).await;
}

/// Folds the values of histograms into their summaries, until the process ends. The recorder itself does so
/// only when the metrics page is read, and keeps each value until then.
async fn fold_metrics(metrics: PrometheusHandle) {
    let mut ticks = interval(METRICS_INTERVAL);
    loop {
        ticks.tick().await;
        metrics.run_upkeep();
    }
}

async fn run_housekeeping(node: Rc<Node>) {
    let mut ticks = interval(HOUSEKEEPING_INTERVAL);
    loop {
        ticks.tick().await;
        let now = clock::now();
        node.state.borrow_mut().on_active(now);
        if let Some(memory) = &node.body_memory {
            metrics::gauge!("carobvane_body_memory_bytes").set(memory.taken() as f64);
        }
        node.pool.close_expired(now);
        node.node_pool.close_expired(now);
        crashes::tick(&node);
        server_limits::tick(&node);
        server_signals::tick(&node);
        let state = &mut *node.state.borrow_mut();
        state.check_store_outage(now);
        state.members.expire(now);
        stream_origin::tick(state, now);
        for (instance, server) in state.registry.remove_lapsed(now) {
            log::info!(instance = instance; "server removed: its entry did not return");
            crashes::record_server_ended(&node, state, server);
            drop_server_state(&node, state, server);
        }
    }
}

/// Logs when the settings file changes. Addresses and bounds are fixed while the process runs, so a
/// change takes effect at the next start.
async fn watch_settings<A: PlatformAdapter>(mut known: Vec<u8>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(cause) => {
            log::error!(cause:% = cause; "failed to handle SIGHUP");
            return;
        }
    };
    let mut ticks = interval(SETTINGS_CHECK_INTERVAL);
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("SIGHUP: reading the settings again"),
            _ = ticks.tick() => {}
        }
        match load_settings::<A>() {
            Ok((_, bytes)) if bytes != known => {
                log::info!("settings changed; they take effect at the next start");
                known = bytes;
            }
            Ok(_) => {}
            Err(cause) => {
                log::error!(cause:% = cause; "settings are invalid; keeping the old ones")
            }
        }
    }
}
