//! State that all threads of an entry share.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use actix_web::{HttpRequest, http::header};
use carobvane_core::{ids::NodeIncarnation, lists::ListSnapshot, membership::FailureDetector};
use carobvane_proto::{
    admin::{DrainPhase, DrainReport},
    headers,
};
use rand::{SeedableRng, rngs::SmallRng};
use tokio::sync::{Notify, mpsc};

use super::{
    active_lists::{ActiveLists, ClientWorkspace},
    claims::{SharedClaims, StoreCall},
    decisions::DecisionLog,
    error::{ApiError, ErrorCode},
    permits::SharedPermits,
    plans::PlanEnforcer,
    routing::RoutingState,
    servers::ServerPool,
    suspects::SharedSuspects,
};
use crate::{clock, peer::PeerSender, settings::EntrySettings};

/// How long clients may cache a discovery response. A draining entry keeps serving for this time.
pub const DISCOVERY_LIFETIME: Duration = Duration::from_secs(5);
/// Interval at which a drain checks whether requests are still in progress.
pub const DRAIN_POLL: Duration = Duration::from_millis(20);
/// Longest request id accepted from a client, in bytes. A longer one is replaced.
const MAX_REQUEST_ID_BYTES: usize = 128;
/// `Retry-After` of responses while this entry has no lists.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// State of an entry, shared by its worker threads and its background tasks.
pub struct EntryShared {
    /// Settings of the process, validated at its start.
    pub settings: EntrySettings,
    /// Node and incarnation of this process.
    pub own: NodeIncarnation,
    /// Sends messages to other entries and to stewards.
    pub sender: PeerSender,
    /// Enforces the limits of the plans.
    pub plans: Arc<PlanEnforcer>,
    members: Mutex<FailureDetector>,
    /// Claims, which keep a non-idempotent call from running twice under one idempotency key.
    pub claims: SharedClaims,
    /// Permits, each of which allows one non-idempotent call without a claim.
    pub permits: SharedPermits,
    /// Crash counts of requests, which restrict or reject requests that crash servers.
    pub suspects: SharedSuspects,
    lists: RwLock<Option<Arc<ActiveLists>>>,
    pool: Mutex<ServerPool>,
    routing: Mutex<RoutingState>,
    /// The latest requests with their routing decisions, for the admin endpoint.
    decisions: Mutex<DecisionLog>,
    /// Addresses of servers that get no new requests because their VM is about to stop. Kept here
    /// so that they also apply to lists that are activated later.
    leaving: Mutex<BTreeSet<String>>,
    /// Wakes the program when an operator requests a drain.
    drain_request: Notify,
    /// Set once a drain has begun.
    draining: AtomicBool,
    /// Set once a drain redirects new requests.
    redirecting: AtomicBool,
    /// Number of requests in progress.
    in_progress: AtomicUsize,
    /// Number for the next stream or generated request id.
    next_number: AtomicU64,
}

impl EntryShared {
    /// Creates the state of an entry without lists. Also returns the receiver of the calls to the
    /// key-value service that its claims need.
    pub fn new(
        settings: EntrySettings,
        own: NodeIncarnation,
        sender: PeerSender,
    ) -> (EntryShared, mpsc::UnboundedReceiver<StoreCall>) {
        let routing = RoutingState::new(own.incarnation.0, settings.piece_tokens);
        let mut rng = SmallRng::seed_from_u64(own.incarnation.0);
        let plans = Arc::new(PlanEnforcer::new(own, settings.fresh, sender.clone()));
        let (claims, calls) = SharedClaims::new(own);
        let permits = SharedPermits::new(own, &settings.node.fleet_key);
        let suspects = SharedSuspects::new(own, sender.clone());
        let shared = EntryShared {
            claims,
            permits,
            suspects,
            settings,
            own,
            sender,
            plans,
            members: Mutex::new(FailureDetector::start(clock::now(), own, &mut rng)),
            lists: RwLock::new(None),
            pool: Mutex::new(ServerPool::new(own.incarnation.0)),
            routing: Mutex::new(routing),
            decisions: Mutex::default(),
            leaving: Mutex::default(),
            drain_request: Notify::new(),
            draining: AtomicBool::new(false),
            redirecting: AtomicBool::new(false),
            in_progress: AtomicUsize::new(0),
            next_number: AtomicU64::new(0),
        };
        (shared, calls)
    }

    /// Returns the lists in force, or `None` before the first version has arrived.
    pub fn lists(&self) -> Option<Arc<ActiveLists>> {
        self.lists.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a version of the lists into force. Requests already admitted keep theirs.
    pub fn activate(&self, snapshot: &ListSnapshot) {
        let lists = Arc::new(ActiveLists::new(snapshot));
        self.plans.activate(snapshot);
        let nodes: Vec<_> = snapshot.document.entries.values().map(|entry| entry.node).collect();
        self.members().set_listed_nodes(&nodes);
        self.pool().set_servers(&lists, self.own.node);
        self.routing().set_servers(&lists);
        let leaving = lock(&self.leaving).clone();
        self.routing().set_leaving(&lists, &leaving);
        *self.lists.write().unwrap_or_else(PoisonError::into_inner) = Some(lists);
        metrics::gauge!("carobvane_list_version").set(snapshot.version.number as f64);
    }

    /// Locks the failure detector, which tracks the other entries.
    pub fn members(&self) -> MutexGuard<'_, FailureDetector> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the latest requests with their routing decisions.
    pub fn decisions(&self) -> MutexGuard<'_, DecisionLog> {
        lock(&self.decisions)
    }

    /// Sets the addresses of servers that get no new requests, under these lists and all later
    /// ones.
    pub fn set_leaving(&self, leaving: BTreeSet<String>) {
        self.pool().set_leaving(leaving.clone());
        if let Some(lists) = self.lists() {
            self.routing().set_leaving(&lists, &leaving);
        }
        *lock(&self.leaving) = leaving;
    }

    /// Makes [`EntryShared::wait_for_drain_request`] return, so that the program drains and exits.
    pub fn request_drain(&self) {
        self.drain_request.notify_one();
    }

    /// Waits until [`EntryShared::request_drain`] is called.
    pub async fn wait_for_drain_request(&self) {
        self.drain_request.notified().await;
    }

    /// Returns the progress of the drain, or `None` if none has begun.
    pub fn drain_report(&self) -> Option<DrainReport> {
        let in_progress = self.in_progress() as u32;
        let phase = match (self.is_draining(), self.redirecting.load(Ordering::SeqCst)) {
            (false, _) => return None,
            (true, false) => DrainPhase::Announced,
            (true, true) if in_progress > 0 => DrainPhase::Redirecting,
            (true, true) => DrainPhase::Finished,
        };
        Some(DrainReport { node: self.own.node.0, phase, in_progress })
    }

    /// Locks the request counts of the backend servers.
    pub fn pool(&self) -> MutexGuard<'_, ServerPool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the routing state of the engines.
    pub fn routing(&self) -> MutexGuard<'_, RoutingState> {
        self.routing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the id of a request: the client's if it is short, printable ASCII, or else a new
    /// one.
    pub fn request_id(&self, request: &HttpRequest) -> String {
        let given = request.headers().get(headers::REQUEST_ID).and_then(|id| id.to_str().ok());
        let usable = |id: &&str| {
            !id.is_empty()
                && id.len() <= MAX_REQUEST_ID_BYTES
                && id.bytes().all(|byte| byte.is_ascii_graphic())
        };
        match given.filter(usable) {
            Some(id) => id.to_string(),
            None => {
                let number = self.next_number.fetch_add(1, Ordering::Relaxed);
                format!("{}-{:x}-{number}", self.own.node.0, self.own.incarnation.0)
            }
        }
    }

    /// Finds the workspace of the bearer key of a request, and the lists that apply to the request.
    ///
    /// # Errors
    ///
    /// Fails if this entry is draining or has no lists, or if no workspace has the key.
    pub fn authenticate(
        &self,
        request: &HttpRequest,
    ) -> Result<(Arc<ActiveLists>, ClientWorkspace), ApiError> {
        if self.redirecting.load(Ordering::Relaxed) {
            return Err(self.draining_error());
        }
        let Some(lists) = self.lists() else {
            let message = "this entry has not received its lists yet";
            return Err(
                ApiError::not_run(ErrorCode::NotReady, message).with_retry_after(NOT_READY_RETRY)
            );
        };
        let key = bearer_key(request).ok_or_else(|| {
            ApiError::not_run(ErrorCode::InvalidKey, "an Authorization: Bearer key is required")
        })?;
        let workspace = lists.workspace(key).ok_or_else(|| {
            ApiError::not_run(ErrorCode::InvalidKey, "the key belongs to no workspace")
        })?;
        Ok((lists, workspace))
    }

    /// Returns the error for new requests during a drain. It redirects to another entry if one is
    /// known.
    pub fn draining_error(&self) -> ApiError {
        let mut error = ApiError::not_run(ErrorCode::Draining, "this entry is draining")
            .with_retry_after(Duration::from_secs(1));
        error.location = self.pool().other_entry_url();
        error
    }

    /// Returns a number that identifies a stream within this process.
    pub fn next_stream_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        metrics::gauge!("carobvane_requests_in_progress").increment(1.0);
        RequestGuard { shared: Arc::clone(self) }
    }

    /// Returns the number of requests in progress, for which a drain waits.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Takes this entry out of discovery. It still serves requests.
    pub fn begin_drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.members().drain();
        log::info!(in_progress = self.in_progress(); "drain begun");
    }

    /// Redirects new requests from now on, and hands unused plan units to other entries.
    pub fn refuse_new_requests(&self) {
        self.redirecting.store(true, Ordering::SeqCst);
        self.plans.drain();
    }

    /// Returns whether a drain has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn bearer_key(request: &HttpRequest) -> Option<&str> {
    let value = request.headers().get(header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim).filter(|key| !key.is_empty())
}

/// Counts a request as in progress until it is dropped.
pub struct RequestGuard {
    shared: Arc<EntryShared>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.in_progress.fetch_sub(1, Ordering::SeqCst);
        metrics::gauge!("carobvane_requests_in_progress").decrement(1.0);
    }
}
