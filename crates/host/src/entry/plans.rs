//! Enforces plan limits at this entry: every request reserves its units before it starts.

use std::{
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use carobvane_core::{
    clock::ClockTime,
    ids::{NodeId, NodeIncarnation},
    lists::ListSnapshot,
    plans::{
        LimiterEffect, LimiterMessage, PlanId, PlanLimiter, PlanRejection, PlanReservation,
        PlanUsage, UsageCounters, WorkspaceUsage,
    },
};
use carobvane_proto::peer::PeerMessage;

use super::{
    active_lists::ClientWorkspace,
    error::{ApiError, ErrorCode},
};
use crate::{clock, peer::PeerSender};

/// How long a request waits for units that other entries lend, which takes a few round trips inside
/// a region. If they could only come later, the request is refused with `Retry-After` instead of
/// waiting longer.
const BORROW_WAIT: Duration = Duration::from_millis(100);
/// How long after its first lists an entry lets requests wait for units. Until its own shares are
/// confirmed it depends on loans, and the first loans take a round of list confirmations.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Interval between two attempts while units are being borrowed.
const BORROW_POLL: Duration = Duration::from_millis(10);

/// The plan limiter and the usage counters of an entry, shared by its threads.
pub struct PlanEnforcer {
    limiter: Mutex<PlanLimiter>,
    usage: Mutex<UsageCounters>,
    /// End of [`SETTLE_TIME`] after the first lists; unset before them.
    settled_at: OnceLock<ClockTime>,
    sender: PeerSender,
}

impl PlanEnforcer {
    /// Creates the limiter of a process. `fresh` asserts that no earlier process of this node has
    /// spent or lent units that still count, so that no quarantine is needed.
    pub fn new(own: NodeIncarnation, fresh: bool, sender: PeerSender) -> PlanEnforcer {
        let limiter = match fresh {
            true => PlanLimiter::start_without_quarantine(own),
            false => PlanLimiter::start(clock::now(), own),
        };
        PlanEnforcer {
            limiter: Mutex::new(limiter),
            usage: Mutex::new(UsageCounters::new()),
            settled_at: OnceLock::new(),
            sender,
        }
    }

    /// Applies the limits of a version of the lists.
    pub fn activate(&self, snapshot: &ListSnapshot) {
        let now = clock::now();
        self.settled_at.get_or_init(|| now + SETTLE_TIME);
        self.limiter().apply(now, snapshot.version.number, &snapshot.document);
    }

    /// Handles a message from another entry.
    pub fn on_message(&self, now: ClockTime, from: NodeId, message: LimiterMessage) {
        let effects = self.limiter().on_message(now, from, message);
        self.apply_effects(effects);
    }

    /// Handles a new connection to another entry.
    pub fn on_peer_reachable(&self, node: NodeId) {
        let effects = self.limiter().on_peer_reachable(node);
        self.apply_effects(effects);
    }

    /// Runs due timers of the limiter.
    pub fn tick(&self, now: ClockTime) {
        let effects = self.limiter().on_timer(now);
        self.apply_effects(effects);
    }

    /// Hands unused units over to other entries before this one stops.
    pub fn drain(&self) {
        self.limiter().drain(clock::now());
    }

    /// Reserves the units of one request, and waits briefly if other entries may lend them.
    /// `stream` says whether the request counts against the limit of open streams.
    ///
    /// # Errors
    ///
    /// Fails if a limit of the plan is reached.
    pub async fn admit(
        self: &Arc<Self>,
        workspace: &ClientWorkspace,
        tokens: u64,
        stream: bool,
    ) -> Result<ReservationGuard, ApiError> {
        let plan = PlanId::from_name(&workspace.plan);
        let settled_at = self.settled_at.get().copied().unwrap_or_default();
        let deadline = settled_at.max(clock::now() + BORROW_WAIT);
        let reservation = loop {
            let now = clock::now();
            let result = self.limiter().try_reserve(now, plan, tokens, stream);
            match result {
                Ok(reservation) => break reservation,
                Err(rejection) if now >= deadline => return Err(self.reject(workspace, rejection)),
                Err(_) => {}
            }
            self.tick(now);
            tokio::time::sleep(BORROW_POLL).await;
        };
        self.usage().record_admission(&workspace.name, stream);
        Ok(ReservationGuard {
            enforcer: Arc::clone(self),
            reservation,
            workspace: workspace.name.clone(),
            used_tokens: tokens,
        })
    }

    fn reject(&self, workspace: &ClientWorkspace, rejection: PlanRejection) -> ApiError {
        let PlanRejection { limit, retry_after } = rejection;
        self.usage().record_rejection(&workspace.name, limit);
        metrics::counter!("carobvane_plan_rejections_total", "limit" => limit.as_str())
            .increment(1);
        let message = format!("limit {limit} of plan {:?} is reached", workspace.plan);
        ApiError::not_run(ErrorCode::LimitReached, message)
            .with_param(limit.as_str())
            .with_retry_after(retry_after)
    }

    /// Returns the usage of a workspace since the start of the process.
    pub fn workspace_usage(&self, workspace: &str) -> WorkspaceUsage {
        self.usage().get(workspace)
    }

    /// Returns the units that this entry holds of a plan, and their usage.
    pub fn plan_usage(&self, plan: &str) -> PlanUsage {
        self.limiter().usage(clock::now(), PlanId::from_name(plan))
    }

    fn apply_effects(&self, effects: Vec<LimiterEffect>) {
        for effect in effects {
            if let LimiterEffect::Send { to, message } = effect {
                self.sender.send(to, PeerMessage::Shares(message));
            }
        }
    }

    fn limiter(&self) -> MutexGuard<'_, PlanLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn usage(&self) -> MutexGuard<'_, UsageCounters> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reserved units of one request, settled when the guard is dropped.
pub struct ReservationGuard {
    enforcer: Arc<PlanEnforcer>,
    reservation: PlanReservation,
    workspace: String,
    used_tokens: u64,
}

impl ReservationGuard {
    /// Sets the number of tokens that the request used. Without a call all reserved tokens are
    /// charged.
    pub fn set_used_tokens(&mut self, tokens: u64) {
        self.used_tokens = tokens;
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        let (reservation, used) = (self.reservation, self.used_tokens);
        self.enforcer.limiter().settle(clock::now(), reservation, used);
        self.enforcer.usage().record_end(&self.workspace, reservation.stream, used);
    }
}
