//! The holder's own view of its lease.

use std::time::Duration;

use super::LeaseEvent;
use crate::clock::ClockTime;

/// Lifetime of the lease at the key-value service.
pub const LEASE_LIFETIME: Duration = Duration::from_secs(5);
/// Time after which an order that was sent is given up.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// The holder stops this much before its lease can end, against clock drift.
const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(250);
/// Time that a new holder waits before its first order: the predecessor's last order was sent
/// within its lease and is given up after the request timeout.
pub const PREDECESSOR_WAIT: Duration = Duration::from_millis(7_250);

/// Times of a lease that a deployment may set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Lifetime at the service.
    pub lifetime: Duration,
    /// The holder stops this much before its lease can end, against clock drift.
    pub margin: Duration,
    /// Time that a new holder waits before its first order.
    pub predecessor_wait: Duration,
}

impl Default for LeaseTimes {
    fn default() -> LeaseTimes {
        LeaseTimes {
            lifetime: LEASE_LIFETIME,
            margin: LEASE_SAFETY_MARGIN,
            predecessor_wait: PREDECESSOR_WAIT,
        }
    }
}

/// The lease as its holder may rely on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaseState {
    times: LeaseTimes,
    fencing: Option<u64>,
    /// Invariant: earlier than the end of the lease at the service, since it counts from when
    /// the request was sent.
    valid_until: ClockTime,
    /// No order before this time.
    orders_allowed_from: ClockTime,
}

impl LeaseState {
    /// Creates the state of a lease that is not held.
    pub fn new(times: LeaseTimes) -> LeaseState {
        LeaseState { times, ..LeaseState::default() }
    }

    /// The fencing token while the lease is valid.
    pub fn fencing(&self, now: ClockTime) -> Option<u64> {
        self.fencing.filter(|_| now < self.valid_until)
    }

    /// Whether this node has counted its lease as ended although it may still run at the service. It
    /// has to be given back, since a renewal does not revive it here and nobody else can take it.
    pub fn has_expired(&self, now: ClockTime) -> bool {
        self.fencing.is_some() && now >= self.valid_until
    }

    /// The fencing token once orders may be sent.
    pub fn order_fencing(&self, now: ClockTime) -> Option<u64> {
        self.fencing(now).filter(|_| now >= self.orders_allowed_from)
    }

    /// When orders may be sent.
    pub fn orders_allowed_from(&self) -> ClockTime {
        self.orders_allowed_from
    }

    /// Takes an event. A renewal does not revive a lease that this node has counted as ended:
    /// another node may have held it in between.
    pub fn on_event(&mut self, now: ClockTime, event: LeaseEvent) {
        match event {
            LeaseEvent::Acquired { fencing, sent_at } => {
                self.fencing = Some(fencing);
                self.valid_until = self.safe_end(sent_at);
                self.orders_allowed_from = now + self.times.predecessor_wait;
            }
            LeaseEvent::Renewed { sent_at } => {
                if self.fencing(now).is_some() {
                    self.valid_until = self.valid_until.max(self.safe_end(sent_at));
                }
            }
            LeaseEvent::HeldByOther | LeaseEvent::Free | LeaseEvent::Lost => self.step_down(),
        }
    }

    /// Allows orders at once: the predecessor is known to have ended, with its orders.
    pub fn skip_predecessor_wait(&mut self, now: ClockTime) {
        self.orders_allowed_from = self.orders_allowed_from.min(now);
    }

    /// Ends the lease here, such as after a server has seen a higher token.
    pub fn step_down(&mut self) {
        self.fencing = None;
    }

    fn safe_end(&self, sent_at: ClockTime) -> ClockTime {
        sent_at + self.times.lifetime - self.times.margin
    }
}
