//! Start and end of the process.

use std::{process::ExitCode, rc::Rc, time::Duration};

use eyre::{Result, WrapErr};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{Instant, interval, sleep},
};

use crate::{
    cache_events, cache_store, clock, duty,
    flags::CarobvaneNode,
    fleet::{self, forget_server},
    holding::{self, DutyLease},
    listing::{self, ListingLease},
    logging,
    node::Node,
    notices,
    settings::NodeSettings,
    sockets::NodeSockets,
    store::StoreClient,
    wire::{NodeWire, SettingsWire},
};

/// Exit code for settings that do not check.
const BAD_SETTINGS: u8 = 2;
/// Time after SIGTERM in which callers learn that the node stops.
const LINGER_TIME: Duration = Duration::from_millis(2_500);
/// The process ends this much before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Time between two looks whether the node may end.
const END_CHECK: Duration = Duration::from_millis(50);
/// Time between two rounds of housekeeping.
const HOUSEKEEPING_TIME: Duration = Duration::from_millis(500);
/// Time between two readings of the settings file, which may change without a signal.
const SETTINGS_CHECK: Duration = Duration::from_secs(1);

/// Runs a node until it is told to stop.
pub fn run<W: NodeWire>() -> ExitCode {
    let flags = CarobvaneNode::from_env_or_exit();
    if flags.version {
        println!("carobvane-node {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let (settings, bytes) = match read_settings::<W>() {
        Ok(read) => read,
        Err(cause) => {
            eprintln!("{cause}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if flags.check {
        println!("the settings check");
        return ExitCode::SUCCESS;
    }
    let level = flags.log_level.unwrap_or(log::LevelFilter::Info);
    match actix_rt::System::new().block_on(run_until_stopped::<W>(settings, bytes, level)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause:#}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings<W: SettingsWire>() -> Result<(NodeSettings, Vec<u8>)> {
    let path = W::settings_path()?;
    let bytes =
        std::fs::read(&path).wrap_err_with(|| format!("failed to read {}", path.display()))?;
    Ok((W::read_settings(&bytes)?, bytes))
}

async fn run_until_stopped<W: NodeWire>(
    settings: NodeSettings,
    bytes: Vec<u8>,
    level: log::LevelFilter,
) -> Result<()> {
    logging::start_logging(level)?;
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .wrap_err("failed to start recording metrics")?;
    let node = RunningNode::<W>::start(settings, metrics).await?;
    actix_rt::spawn(watch_settings::<W>(bytes));
    wait_for_stop().await?;
    node.stop().await;
    Ok(())
}

/// A node inside the caller's actix system.
pub struct RunningNode<W> {
    node: Rc<Node>,
    store: Rc<StoreClient<W>>,
    listing_lease: Rc<ListingLease>,
    duty_lease: Rc<DutyLease>,
}

impl<W: NodeWire> RunningNode<W> {
    /// Starts a node; `metrics` is shown on its metrics page.
    ///
    /// # Errors
    ///
    /// Fails if one of its addresses cannot be used.
    pub async fn start(mut settings: NodeSettings, metrics: PrometheusHandle) -> Result<Self> {
        let seed = clock::now().as_micros() ^ (u64::from(std::process::id()) << 40);
        let sockets = NodeSockets::open(&mut settings).await?;
        let node = Rc::new(Node::new(settings, seed));
        let store = Rc::new(StoreClient::<W>::new(node.settings.store));
        let listing_lease = Rc::new(ListingLease::default());
        let duty_lease = Rc::new(DutyLease::default());
        let notices = sockets.notices.clone();
        sockets.serve::<W>(&node, metrics);
        actix_rt::spawn(fleet::follow(node.clone(), store.clone()));
        actix_rt::spawn(fleet::follow_peers::<W>(node.clone()));
        actix_rt::spawn(listing::keep_listed(node.clone(), store.clone(), listing_lease.clone()));
        actix_rt::spawn(holding::hold_duty(node.clone(), store.clone(), duty_lease.clone()));
        actix_rt::spawn(duty::give_orders(node.clone(), store.clone()));
        actix_rt::spawn(notices::send(node.clone(), notices.clone()));
        actix_rt::spawn(notices::receive::<W>(node.clone(), notices));
        actix_rt::spawn(cache_store::watch::<W>(node.clone()));
        actix_rt::spawn(cache_events::follow::<W>(node.clone()));
        actix_rt::spawn(keep_house(node.clone()));
        log::info!(
            name = node.settings.name, data_centre = node.settings.data_centre,
            callers:% = node.settings.callers, incarnation = node.incarnation;
            "node started"
        );
        Ok(RunningNode { node, store, listing_lease, duty_lease })
    }

    /// Settings, with the ports that the system chose where a port was 0.
    pub fn settings(&self) -> &NodeSettings {
        &self.node.settings
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> Option<u64> {
        self.node.state.borrow().routes.version()
    }

    /// Leaves the directory at once, finishes what has begun, and ends.
    pub async fn stop(&self) {
        stop(&self.node, &self.store, &self.listing_lease, &self.duty_lease).await;
    }
}

async fn wait_for_stop() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("failed to handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("failed to handle SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

async fn stop<W: NodeWire>(
    node: &Rc<Node>,
    store: &StoreClient<W>,
    listing_lease: &ListingLease,
    duty_lease: &DutyLease,
) {
    let started = Instant::now();
    log::info!(in_flight = node.in_flight.get(); "node stops");
    node.draining.set(true);
    listing::release(store, listing_lease).await;
    holding::release(node, store, duty_lease).await;
    let linger = started + LINGER_TIME.min(node.settings.bounds.grace / 2);
    let latest = started + node.settings.bounds.grace.saturating_sub(GRACE_MARGIN);
    while Instant::now() < latest {
        if Instant::now() >= linger {
            node.close();
            if node.in_flight.get() == 0 {
                break;
            }
        }
        sleep(END_CHECK).await;
    }
    let left = node.in_flight.get();
    log::info!(left, took_ms = started.elapsed().as_millis() as u64; "node ends");
    // Lets the log thread write the last lines.
    sleep(END_CHECK).await;
}

async fn keep_house(node: Rc<Node>) {
    let mut ticks = interval(HOUSEKEEPING_TIME);
    loop {
        ticks.tick().await;
        let now = clock::now();
        node.pool.sweep(now);
        let state = &mut *node.state.borrow_mut();
        state.members.settle(now);
        for (instance, server) in state.roster.remove_lapsed(now) {
            log::info!(instance = instance; "server is gone: its entry did not come back");
            forget_server(&node, state, server);
        }
    }
}

/// Reports changed settings. Addresses and bounds are fixed for the life of a process, so a change
/// takes effect with its next start.
async fn watch_settings<W: NodeWire>(mut known: Vec<u8>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(cause) => {
            log::error!(cause:% = cause; "failed to handle SIGHUP");
            return;
        }
    };
    let mut ticks = interval(SETTINGS_CHECK);
    loop {
        tokio::select! {
            _ = hangup.recv() => log::info!("SIGHUP: reading the settings again"),
            _ = ticks.tick() => {}
        }
        match read_settings::<W>() {
            Ok((_, bytes)) if bytes != known => {
                log::info!("settings changed; they take effect with the next start");
                known = bytes;
            }
            Ok(_) => {}
            Err(cause) => {
                log::error!(cause:% = cause; "settings do not check; keeping the old ones")
            }
        }
    }
}
