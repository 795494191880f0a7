//! Plan limits at this entry: every request takes its units before it starts.

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

/// How long a refused request waits for units of other entries: a few round trips inside a
/// region. A request that could only be served later is refused at once with `Retry-After`.
const BORROW_WAIT: Duration = Duration::from_millis(100);
/// How long after its first lists an entry lets requests wait for units. Until its own shares are
/// confirmed it lives on loans, and the first ones take a round of list confirmations.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two tries while units are borrowed.
const BORROW_POLL: Duration = Duration::from_millis(10);

/// The shares and use of all plans at this entry.
pub struct PlanEnforcer {
    limiter: Mutex<PlanLimiter>,
    usage: Mutex<UsageCounters>,
    /// End of [`SETTLE_TIME`] after the first lists.
    settled_at: OnceLock<ClockTime>,
    sender: PeerSender,
}

impl PlanEnforcer {
    /// Creates the gate of a process. `fresh` says that no earlier process of this node can have
    /// spent or lent units that still count.
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

    /// Puts a list version into use.
    pub fn activate(&self, snapshot: &ListSnapshot) {
        let now = clock::now();
        self.settled_at.get_or_init(|| now + SETTLE_TIME);
        self.limiter().apply(now, snapshot.version.number, &snapshot.document);
    }

    /// Handles a message of another entry.
    pub fn on_message(&self, now: ClockTime, from: NodeId, message: LimiterMessage) {
        let effects = self.limiter().on_message(now, from, message);
        self.apply_effects(effects);
    }

    /// Handles that another entry can be reached.
    pub fn on_peer_reachable(&self, node: NodeId) {
        let effects = self.limiter().on_peer_reachable(node);
        self.apply_effects(effects);
    }

    /// Handles due timers.
    pub fn tick(&self, now: ClockTime) {
        let effects = self.limiter().on_timer(now);
        self.apply_effects(effects);
    }

    /// Hands unused units over to other entries.
    pub fn drain(&self) {
        self.limiter().drain(clock::now());
    }

    /// Takes the units of one request.
    ///
    /// # Errors
    ///
    /// A limit of the plan is reached.
    pub async fn admit(
        self: &Arc<Self>,
        workspace: &ClientWorkspace,
        tokens: u64,
        stream: bool,
    ) -> Result<ReservationGuard, ApiError> {
        let plan = PlanId::from_name(&workspace.plan);
        let settled_at = self.settled_at.get().copied().unwrap_or_default();
        let end = settled_at.max(clock::now() + BORROW_WAIT);
        let reservation = loop {
            let now = clock::now();
            let result = self.limiter().try_reserve(now, plan, tokens, stream);
            match result {
                Ok(reservation) => break reservation,
                Err(rejection) if now >= end => return Err(self.reject(workspace, rejection)),
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
            used: tokens,
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

    /// Use of a workspace since the start.
    pub fn workspace_usage(&self, workspace: &str) -> WorkspaceUsage {
        self.usage().get(workspace)
    }

    /// Units and use of a plan here.
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

/// The units of one request; settled when it is dropped.
pub struct ReservationGuard {
    enforcer: Arc<PlanEnforcer>,
    reservation: PlanReservation,
    workspace: String,
    used: u64,
}

impl ReservationGuard {
    /// Sets the tokens that the request used; without a call all reserved ones count.
    pub fn set_used(&mut self, tokens: u64) {
        self.used = tokens;
    }
}

impl Drop for ReservationGuard {
    fn drop(&mut self) {
        let (reservation, used) = (self.reservation, self.used);
        self.enforcer.limiter().settle(clock::now(), reservation, used);
        self.enforcer.usage().record_end(&self.workspace, reservation.stream, used);
    }
}
