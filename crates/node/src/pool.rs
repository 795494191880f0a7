//! Pool of the connections to backend servers, grouped by server incarnation.
//!
//! A restarted server, or another server at the same address, has another key and so never gets a
//! connection that was opened to its predecessor.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{clock::ClockTime, ids::ServerKey};

use crate::{
    clock,
    connection::{ConnectionError, HttpConnection},
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
struct ServerConnections {
    /// Invariant: the most recently used connection is last.
    idle: Vec<IdleConnection>,
    /// Number of open connections, including idle ones.
    open: u32,
}

/// Idle connections and connection counts of all backend servers.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    servers: RefCell<HashMap<ServerKey, ServerConnections>>,
}

/// A connection in use. Dropping it closes the connection; [`PooledConnection::return_to_pool`]
/// keeps it open.
#[derive(Debug)]
pub struct PooledConnection {
    /// The connection itself.
    pub connection: HttpConnection,
    /// Whether it was opened for this use, rather than reused.
    pub newly_opened: bool,
    slot: PoolSlot,
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
struct PoolSlot {
    pool: Rc<ConnectionPool>,
    server: ServerKey,
}

impl Drop for PoolSlot {
    fn drop(&mut self) {
        if let Some(connections) = self.pool.servers.borrow_mut().get_mut(&self.server) {
            connections.open = connections.open.saturating_sub(1);
        }
    }
}

impl ConnectionPool {
    /// Takes an idle connection, or opens one unless `max_open` are open.
    pub async fn take(
        self: &Rc<Self>,
        server: ServerKey,
        address: SocketAddr,
        max_open: u32,
    ) -> Result<PooledConnection, ConnectionError> {
        let slot = PoolSlot { pool: self.clone(), server };
        if let Some(connection) = self.pop_idle(server) {
            return Ok(PooledConnection { connection, newly_opened: false, slot });
        }
        {
            let mut servers = self.servers.borrow_mut();
            let connections = servers.entry(server).or_default();
            // Dropping the slot reverts this on every failure below.
            connections.open += 1;
            if connections.open > max_open {
                drop(servers);
                return Err(ConnectionError::PoolFull);
            }
        }
        metrics::counter!("carobvane_server_connections_opened_total").increment(1);
        let connection = HttpConnection::open(address, CONNECT_TIMEOUT).await?;
        Ok(PooledConnection { connection, newly_opened: true, slot })
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self, now: ClockTime) {
        for connections in self.servers.borrow_mut().values_mut() {
            let before = connections.idle.len();
            connections.idle.retain(|idle| idle.expires_at > now && idle.connection.is_ready());
            connections.open =
                connections.open.saturating_sub((before - connections.idle.len()) as u32);
        }
    }

    /// Closes the idle connections to a server incarnation that has ended.
    pub fn remove_server(&self, server: ServerKey) {
        self.servers.borrow_mut().remove(&server);
    }

    fn pop_idle(&self, server: ServerKey) -> Option<HttpConnection> {
        let now = clock::now();
        let mut servers = self.servers.borrow_mut();
        let connections = servers.get_mut(&server)?;
        while let Some(idle) = connections.idle.pop() {
            if idle.expires_at > now && idle.connection.is_ready() {
                return Some(idle.connection);
            }
            connections.open = connections.open.saturating_sub(1);
        }
        None
    }
}

impl PooledConnection {
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
            if let Some(connections) = pool.servers.borrow_mut().get_mut(&slot.server) {
                connections.idle.push(IdleConnection { connection, expires_at });
                // Dropping the slot takes one off the count, but the connection stays open.
                connections.open += 1;
            }
            drop(slot);
        });
    }
}
