//! Pool of the connections to backend servers, grouped by server incarnation, or to other nodes.
//!
//! A restarted server, or another server at the same address, has another key and so never gets a
//! connection that was opened to its predecessor.

use std::{
    cell::RefCell, collections::HashMap, fmt::Debug, hash::Hash, net::SocketAddr, rc::Rc,
    time::Duration,
};

use carobvane_core::clock::ClockTime;

use crate::{
    clock,
    server::connection::{ConnectionError, HttpConnection},
};

/// How long an idle connection is kept if its server does not say how long it keeps it.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// An idle connection is closed this much before its server would close it.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Timeout of opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    expires_at: ClockTime,
}

#[derive(Debug, Default)]
struct PeerConnections {
    /// Invariant: the most recently used connection is last.
    idle: Vec<IdleConnection>,
    /// Number of open connections, including idle ones.
    open: u32,
}

/// Identifies the peer of connections.
pub trait PeerKey: Copy + Eq + Hash + Debug + 'static {}

impl<K: Copy + Eq + Hash + Debug + 'static> PeerKey for K {}

/// Idle connections and connection counts of all peers.
#[derive(Debug)]
pub struct ConnectionPool<K> {
    peers: RefCell<HashMap<K, PeerConnections>>,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> ConnectionPool<K> {
        ConnectionPool { peers: RefCell::default() }
    }
}

/// A connection in use. Dropping it closes the connection; [`PooledConnection::return_to_pool`]
/// keeps it open.
#[derive(Debug)]
pub struct PooledConnection<K: PeerKey> {
    /// The connection itself.
    pub connection: HttpConnection,
    /// Whether it was opened for this use, rather than reused.
    pub newly_opened: bool,
    slot: PoolSlot<K>,
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
struct PoolSlot<K: PeerKey> {
    pool: Rc<ConnectionPool<K>>,
    peer: K,
}

impl<K: PeerKey> Drop for PoolSlot<K> {
    fn drop(&mut self) {
        if let Some(connections) = self.pool.peers.borrow_mut().get_mut(&self.peer) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}

impl<K: PeerKey> ConnectionPool<K> {
    /// Takes an idle connection, or opens one unless `max_open` are open.
    pub async fn take(
        self: &Rc<Self>,
        peer: K,
        address: SocketAddr,
        max_open: u32,
    ) -> Result<PooledConnection<K>, ConnectionError> {
        let slot = PoolSlot { pool: self.clone(), peer };
        if let Some(connection) = self.pop_idle(peer) {
            return Ok(PooledConnection { connection, newly_opened: false, slot });
        }
        {
            let mut peers = self.peers.borrow_mut();
            let connections = peers.entry(peer).or_default();
            // Dropping the slot reverts this on every failure below.
            connections.open += 1;
            if connections.open > max_open {
                drop(peers);
                return Err(ConnectionError::PoolFull);
            }
        }
        metrics::counter!("carobvane_server_connections_opened_total").increment(1);
        let connection = HttpConnection::open(address, CONNECT_TIMEOUT).await?;
        Ok(PooledConnection { connection, newly_opened: true, slot })
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self, now: ClockTime) {
        for connections in self.peers.borrow_mut().values_mut() {
            let before = connections.idle.len();
            connections.idle.retain(|idle| idle.expires_at > now && idle.connection.is_ready());
            connections.open =
                connections.open.saturating_sub((before - connections.idle.len()) as u32);
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        for connections in self.peers.borrow_mut().values_mut() {
            connections.open = connections.open.saturating_sub(connections.idle.len() as u32);
            connections.idle.clear();
        }
    }

    /// Closes the idle connections to a peer that has ended.
    pub fn remove(&self, peer: K) {
        self.peers.borrow_mut().remove(&peer);
    }

    fn pop_idle(&self, peer: K) -> Option<HttpConnection> {
        let now = clock::now();
        let mut peers = self.peers.borrow_mut();
        let connections = peers.get_mut(&peer)?;
        while let Some(idle) = connections.idle.pop() {
            if idle.expires_at > now && idle.connection.is_ready() {
                return Some(idle.connection);
            }
            connections.open = connections.open.saturating_sub(1);
        }
        None
    }
}

impl<K: PeerKey> PooledConnection<K> {
    /// Returns the connection to the pool once its last response is read, unless the server closes
    /// it. `keep_alive` is how long the server says that it keeps an idle connection.
    pub fn return_to_pool(mut self, keep_alive: Option<Duration>) {
        actix_rt::spawn(async move {
            if !self.connection.wait_until_ready().await {
                return;
            }
            let expires_at = clock::now()
                + keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(KEEP_ALIVE_MARGIN);
            let PooledConnection { connection, slot, .. } = self;
            let pool = slot.pool.clone();
            if let Some(connections) = pool.peers.borrow_mut().get_mut(&slot.peer) {
                connections.idle.push(IdleConnection { connection, expires_at });
                // Dropping the slot takes one off the count, but the connection stays open.
                connections.open += 1;
            }
            drop(slot);
        });
    }
}
