//! Bounds on the connections of clients, for a node whose memory is limited.

use std::{
    cell::Cell,
    collections::hash_map::Entry,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

use tokio::time::Instant;

use crate::node::Node;

/// A connection is closed if its client has taken no byte for this long although bytes wait for it. The
/// system reports progress in steps of about a third of the send buffer, so that a client that reads a
/// few kilobytes a second is never without it.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time in which a client acknowledges no byte. The system cannot tell a client that pauses from one
/// that is gone, so it has to wait for longer than [`UNREAD_TIMEOUT`].
pub const CLIENT_USER_TIMEOUT: Duration = Duration::from_secs(12);
/// Shortest time between two log lines about connections that were refused.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

thread_local! {
    /// When a refused connection was logged last.
    static LOGGED_AT: Cell<Option<Instant>> = const { Cell::new(None) };
}

/// Counts an open connection, for the node and for its client's address.
pub struct ConnectionGuard {
    node: Rc<Node>,
    address: IpAddr,
}

impl ConnectionGuard {
    /// Counts a connection; `None` if its client's address has too many.
    pub fn start(node: &Rc<Node>, peer: SocketAddr) -> Option<ConnectionGuard> {
        let address = peer.ip().to_canonical();
        if let Some(plan) = node.memory_plan {
            let mut counts = node.address_connections.borrow_mut();
            let count = counts.entry(address).or_insert(0);
            if *count >= plan.max_address_connections {
                record_refused(address, *count);
                return None;
            }
            *count += 1;
        }
        node.connections.set(node.connections.get() + 1);
        Some(ConnectionGuard { node: node.clone(), address })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.node.connections.set(self.node.connections.get() - 1);
        if let Entry::Occupied(mut count) =
            self.node.address_connections.borrow_mut().entry(self.address)
        {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }
}

fn record_refused(address: IpAddr, connections: u32) {
    metrics::counter!("carobvane_connections_refused_total").increment(1);
    let now = Instant::now();
    if LOGGED_AT.get().is_none_or(|last| now - last >= LOG_INTERVAL) {
        LOGGED_AT.set(Some(now));
        log::warn!(address:% = address, connections; "refused a connection: its address has too many");
    }
}

/// Tracks whether a client takes the bytes that are sent to it.
#[derive(Debug, Default)]
pub struct WriteProgress {
    /// Since when bytes have waited; `None` if none do.
    blocked_since: Cell<Option<Instant>>,
}

impl WriteProgress {
    /// Records a write; `is_taken` says whether the system has taken bytes.
    pub fn on_write(&self, is_taken: bool) {
        let since = self.blocked_since.get().unwrap_or_else(Instant::now);
        self.blocked_since.set((!is_taken).then_some(since));
    }

    /// Whether the client has stopped reading. Counts and logs it.
    pub fn has_stopped(&self, node: &Node) -> bool {
        let Some(since) = self.blocked_since.get() else { return false };
        if node.memory_plan.is_none() || since.elapsed() < UNREAD_TIMEOUT {
            return false;
        }
        metrics::counter!("carobvane_unread_responses_total").increment(1);
        log::info!(waited_ms = since.elapsed().as_millis() as u64; "client does not read its response");
        true
    }
}
