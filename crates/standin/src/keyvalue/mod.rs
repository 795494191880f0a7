//! A simulated key-value service that speaks the JSON gateway protocol of etcd v3.

mod http;
pub mod store;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use actix_web::{App, web};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use self::store::KeyStore;
use crate::util::{self, RunningServer, lock};

/// Interval between two checks for expired leases.
const LEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of a simulated key-value service.
#[derive(Debug, Clone)]
pub struct KeyValueSettings {
    /// Address to listen on. Port 0 selects an ephemeral port.
    pub addr: SocketAddr,
    /// Writes and lease calls allowed per second; further ones get status 429.
    pub writes_per_second: u32,
    /// Reads and new watches allowed per second; further ones get status 429.
    pub reads_per_second: u32,
    /// Delay of each response, in milliseconds.
    pub answer_ms: f64,
}

impl Default for KeyValueSettings {
    fn default() -> KeyValueSettings {
        KeyValueSettings {
            addr: util::ephemeral_addr(),
            writes_per_second: 400,
            reads_per_second: 2_000,
            answer_ms: 2.0,
        }
    }
}

/// How the service fails during an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageKind {
    /// Responds to every call with status 503.
    Refuse,
    /// Sends no response until the outage ends, then closes the connection.
    Silent,
}

/// A change of faults (`POST /faults`); absent fields stay as they are.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KeyValueFaults {
    /// Starts an outage, which also ends the open watches.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub outage: Option<OutageKind>,
    /// Ends the current outage.
    pub recover: bool,
    /// Additional delay of each response, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<f64>,
    /// Number of upcoming writes that take effect and whose response is lost.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lose_acknowledgements: Option<u32>,
    /// Copies the data for a later `restore`.
    pub snapshot: bool,
    /// Replaces the data with the last copy, as when an operator restores an old backup. Ends the
    /// open watches.
    pub restore: bool,
}

/// Calls by kind since the start (`GET /counters`).
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyValueCounters {
    /// Range reads and transactions without writes.
    pub reads: u64,
    /// Transactions with writes.
    pub writes: u64,
    /// Lease grants, keep-alives and revocations.
    pub leases: u64,
    /// Watches opened. A watch counts once, however many events it delivers.
    pub watches: u64,
    /// Calls that exceeded a rate limit.
    pub limited: u64,
    /// Calls refused or left unanswered during an outage.
    pub refused: u64,
    /// Writes that took effect and whose response was lost.
    pub lost_acknowledgements: u64,
    /// Highest number of writes and lease calls in one second.
    pub peak_writes_per_second: u64,
    /// Highest number of reads and new watches in one second.
    pub peak_reads_per_second: u64,
}

/// Counts the calls of one kind in windows of one second.
#[derive(Debug, Clone, Copy)]
struct RateWindow {
    start: Instant,
    calls: u64,
}

impl RateWindow {
    /// Counts a call and returns the number of calls in the current window.
    fn count(&mut self, now: Instant) -> u64 {
        if now.duration_since(self.start) >= Duration::from_secs(1) {
            *self = RateWindow { start: now, calls: 0 };
        }
        self.calls += 1;
        self.calls
    }
}

#[derive(Debug)]
struct KeyValueCore {
    settings: KeyValueSettings,
    store: KeyStore,
    snapshot: KeyStore,
    counters: KeyValueCounters,
    outage: Option<OutageKind>,
    slow_ms: f64,
    lose_acknowledgements: u32,
    reads: RateWindow,
    writes: RateWindow,
}

/// Signal that wakes watches, and calls that wait for the end of an outage.
#[derive(Debug, Clone, Copy, Default)]
struct ChangeSignal {
    /// Revision of the data. Sent after each call, so that watches look for new events.
    revision: i64,
    /// Incremented by each outage and restore. Watches opened in an earlier generation end with a
    /// connection reset.
    generation: u64,
    /// Whether an [`OutageKind::Silent`] outage is in progress.
    silent: bool,
}

#[derive(Debug)]
struct KeyValueShared {
    core: Mutex<KeyValueCore>,
    signal: watch::Sender<ChangeSignal>,
}

/// Handle of a running key-value service. Clones refer to the same service.
#[derive(Debug, Clone)]
pub struct KeyValueHandle {
    shared: Arc<KeyValueShared>,
    server: RunningServer,
}

/// Starts an empty key-value service inside the caller's actix system. Fails if the address cannot
/// be bound.
pub async fn start(settings: KeyValueSettings) -> io::Result<KeyValueHandle> {
    let listener = util::listen(settings.addr)?;
    let window = RateWindow { start: Instant::now(), calls: 0 };
    let core = KeyValueCore {
        settings,
        store: KeyStore::default(),
        snapshot: KeyStore::default(),
        counters: KeyValueCounters::default(),
        outage: None,
        slow_ms: 0.0,
        lose_acknowledgements: 0,
        reads: window,
        writes: window,
    };
    let signal = watch::Sender::new(ChangeSignal::default());
    let shared = Arc::new(KeyValueShared { core: Mutex::new(core), signal });
    let data = web::Data::from(shared.clone());
    let app = move || {
        App::new()
            .app_data(data.clone())
            .app_data(web::PayloadConfig::new(util::MAX_BODY_BYTES))
            .configure(http::routes)
    };
    let server = crate::serve!(listener, app);
    let weak = Arc::downgrade(&shared);
    actix_rt::spawn(async move {
        loop {
            tokio::time::sleep(LEASE_POLL_INTERVAL).await;
            let Some(shared) = weak.upgrade() else { return };
            shared.expire_leases();
        }
    });
    Ok(KeyValueHandle { shared, server })
}

impl KeyValueHandle {
    /// Returns the address on which the service listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the faults that `update` names.
    pub fn update_faults(&self, update: &KeyValueFaults) {
        self.shared.change_faults(update);
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> KeyValueCounters {
        lock(&self.shared.core).counters
    }

    /// Stops the service at once and closes its open connections.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}

impl KeyValueShared {
    fn expire_leases(&self) {
        let mut core = lock(&self.core);
        // During an outage no leases expire; those that are due expire right after it.
        if core.outage.is_none() && core.store.expire_leases(Instant::now()) > 0 {
            self.notify_watches(&core);
        }
    }

    /// Wakes watches so that they read the changes up to the current revision.
    fn notify_watches(&self, core: &KeyValueCore) {
        let revision = core.store.revision();
        self.signal.send_modify(|signal| signal.revision = revision);
    }

    fn change_faults(&self, update: &KeyValueFaults) {
        let mut core = lock(&self.core);
        core.slow_ms = update.slow_ms.unwrap_or(core.slow_ms);
        core.lose_acknowledgements =
            update.lose_acknowledgements.unwrap_or(core.lose_acknowledgements);
        if update.snapshot {
            core.snapshot = core.store.clone();
        }
        if update.restore {
            core.store = core.snapshot.clone();
        }
        if update.recover {
            core.outage = None;
        }
        core.outage = update.outage.or(core.outage);
        let breaks_watches = update.restore || update.outage.is_some();
        let silent = core.outage == Some(OutageKind::Silent);
        self.signal.send_modify(|signal| {
            signal.silent = silent;
            signal.generation += u64::from(breaks_watches);
        });
    }
}

/// Kind of a call, which decides its counter and rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
    Lease,
    Watch,
}

impl KeyValueCore {
    /// Counts a call. Returns `false` if it exceeds the rate limit.
    fn admit(&mut self, kind: CallKind) -> bool {
        let now = Instant::now();
        let counters = &mut self.counters;
        let counter = match kind {
            CallKind::Read => &mut counters.reads,
            CallKind::Write => &mut counters.writes,
            CallKind::Lease => &mut counters.leases,
            CallKind::Watch => &mut counters.watches,
        };
        *counter += 1;
        let (calls, peak, limit) = match kind {
            CallKind::Read | CallKind::Watch => (
                self.reads.count(now),
                &mut counters.peak_reads_per_second,
                self.settings.reads_per_second,
            ),
            CallKind::Write | CallKind::Lease => (
                self.writes.count(now),
                &mut counters.peak_writes_per_second,
                self.settings.writes_per_second,
            ),
        };
        *peak = calls.max(*peak);
        let admitted = calls <= u64::from(limit);
        counters.limited += u64::from(!admitted);
        admitted
    }
}
