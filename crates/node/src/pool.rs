//! Connections to backend servers, kept by server life.
//!
//! A new life of a server, or another server at the same address, has another key and so never
//! gets a connection that was opened to its predecessor.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, time::Duration};

use carobvane_core::{clock::ClockTime, ids::ServerKey};

use crate::{
    channel::{ChannelError, HttpChannel},
    clock,
};

/// Time for which a connection is kept whose server does not say how long it keeps it.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// A connection is given up this much before its server would close it.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
/// Longest time for opening a connection.
pub const OPEN_TIME: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct IdleChannel {
    channel: HttpChannel,
    until: ClockTime,
}

#[derive(Debug, Default)]
struct ServerChannels {
    /// Invariant: the channel that was used last stands last.
    idle: Vec<IdleChannel>,
    /// Open channels, idle ones included.
    open: u32,
}

/// Connections to all backend servers.
#[derive(Debug, Default)]
pub struct ChannelPool {
    servers: RefCell<HashMap<ServerKey, ServerChannels>>,
}

/// A connection in use. Dropping it closes the connection; [`PooledChannel::keep`] does not.
#[derive(Debug)]
pub struct PooledChannel {
    /// The connection.
    pub channel: HttpChannel,
    /// Whether it was opened for this use.
    pub fresh: bool,
    slot: PoolSlot,
}

/// Counts an open connection.
#[derive(Debug)]
struct PoolSlot {
    pool: Rc<ChannelPool>,
    server: ServerKey,
}

impl Drop for PoolSlot {
    fn drop(&mut self) {
        if let Some(channels) = self.pool.servers.borrow_mut().get_mut(&self.server) {
            channels.open = channels.open.saturating_sub(1);
        }
    }
}

impl ChannelPool {
    /// Takes an idle connection, or opens one unless `most` are open.
    pub async fn take(
        self: &Rc<Self>,
        server: ServerKey,
        address: SocketAddr,
        most: u32,
    ) -> Result<PooledChannel, ChannelError> {
        let slot = PoolSlot { pool: self.clone(), server };
        if let Some(channel) = self.pop_idle(server) {
            return Ok(PooledChannel { channel, fresh: false, slot });
        }
        {
            let mut servers = self.servers.borrow_mut();
            let channels = servers.entry(server).or_default();
            // The slot's own drop takes this back on each failure.
            channels.open += 1;
            if channels.open > most {
                drop(servers);
                return Err(ChannelError::NotSent(
                    "too many connections to the server".to_string(),
                ));
            }
        }
        metrics::counter!("carobvane_server_connections_opened_total").increment(1);
        let channel = HttpChannel::open(address, OPEN_TIME).await?;
        Ok(PooledChannel { channel, fresh: true, slot })
    }

    /// Closes idle connections whose time is over.
    pub fn sweep(&self, now: ClockTime) {
        for channels in self.servers.borrow_mut().values_mut() {
            let before = channels.idle.len();
            channels.idle.retain(|idle| idle.until > now && idle.channel.is_ready());
            channels.open = channels.open.saturating_sub((before - channels.idle.len()) as u32);
        }
    }

    /// Closes the idle connections to a server life that has ended.
    pub fn forget(&self, server: ServerKey) {
        self.servers.borrow_mut().remove(&server);
    }

    fn pop_idle(&self, server: ServerKey) -> Option<HttpChannel> {
        let now = clock::now();
        let mut servers = self.servers.borrow_mut();
        let channels = servers.get_mut(&server)?;
        while let Some(idle) = channels.idle.pop() {
            if idle.until > now && idle.channel.is_ready() {
                return Some(idle.channel);
            }
            channels.open = channels.open.saturating_sub(1);
        }
        None
    }
}

impl PooledChannel {
    /// Puts the connection back once its last answer is read, unless the server closes it.
    /// `keep` is how long the server says that it keeps it.
    pub fn keep(mut self, keep: Option<Duration>) {
        actix_rt::spawn(async move {
            if !self.channel.settle().await {
                return;
            }
            let until = clock::now() + keep.unwrap_or(DEFAULT_KEEP).saturating_sub(KEEP_MARGIN);
            let PooledChannel { channel, slot, .. } = self;
            let pool = slot.pool.clone();
            if let Some(channels) = pool.servers.borrow_mut().get_mut(&slot.server) {
                channels.idle.push(IdleChannel { channel, until });
                // The connection stays open, and so stays counted.
                channels.open += 1;
            }
            drop(slot);
        });
    }
}
