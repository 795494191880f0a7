//! The lease as its holder sees it: until when it may act, and from when it may send orders.

use std::time::Duration;

use super::LeaseEvent;
use crate::clock::ClockTime;

/// Lifetime of the lease at the key-value service.
pub const LEASE_LIFETIME: Duration = Duration::from_secs(5);
/// Time after which the sender of an order gives it up and closes the connection.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long before the earliest end of its lease the holder stops acting, to allow for clock drift.
const LEASE_SAFETY_MARGIN: Duration = Duration::from_millis(250);
/// How long a new holder waits before its first order. The previous holder may have sent its last
/// order at the end of its lease, and that order can arrive until [`ORDER_TIMEOUT`] has passed.
pub const PREDECESSOR_WAIT: Duration = Duration::from_millis(7_250);

/// Durations of a lease that a deployment may set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimes {
    /// Lifetime of the lease at the key-value service.
    pub lifetime: Duration,
    /// How long before the earliest end of its lease the holder stops acting, to allow for clock
    /// drift.
    pub margin: Duration,
    /// How long a new holder waits before its first order.
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

/// The state of the lease on which its holder may rely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LeaseState {
    times: LeaseTimes,
    fencing: Option<u64>,
    /// Invariant: earlier than the end of the lease at the key-value service, because it is counted
    /// from when the request was sent.
    valid_until: ClockTime,
    /// Orders may be sent from this time on.
    orders_allowed_from: ClockTime,
}

impl LeaseState {
    /// Creates the state of a lease that this node does not hold.
    pub fn new(times: LeaseTimes) -> LeaseState {
        LeaseState { times, ..LeaseState::default() }
    }

    /// Returns the fencing token while this node holds a valid lease.
    pub fn fencing(&self, now: ClockTime) -> Option<u64> {
        self.fencing.filter(|_| now < self.valid_until)
    }

    /// Whether the lease has ended by this node's clock although it may still exist at the
    /// key-value service. The host must then revoke it: a renewal does not make it valid here
    /// again, and no other node can acquire it while it exists.
    pub fn has_expired(&self, now: ClockTime) -> bool {
        self.fencing.is_some() && now >= self.valid_until
    }

    /// Returns the fencing token if this node holds a valid lease and may already send orders.
    pub fn order_fencing(&self, now: ClockTime) -> Option<u64> {
        self.fencing(now).filter(|_| now >= self.orders_allowed_from)
    }

    /// Returns the time from which orders may be sent.
    pub fn orders_allowed_from(&self) -> ClockTime {
        self.orders_allowed_from
    }

    /// Applies an event. A renewal does not make a lease valid again that has ended by this node's
    /// clock, because another node may have held the lease in between.
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

    /// Allows orders from `now` on. For callers that know that the previous holder has ended and
    /// that none of its orders can still arrive.
    pub fn skip_predecessor_wait(&mut self, now: ClockTime) {
        self.orders_allowed_from = self.orders_allowed_from.min(now);
    }

    /// Stops using the lease, such as after a server has refused its fencing token as stale.
    pub fn step_down(&mut self) {
        self.fencing = None;
    }

    /// Returns when the holder must stop acting under a lease requested at `sent_at`.
    fn safe_end(&self, sent_at: ClockTime) -> ClockTime {
        sent_at + self.times.lifetime - self.times.margin
    }
}
