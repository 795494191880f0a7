//! A relay of datagrams that loses some of them.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::net::UdpSocket;

use crate::util::{self, lock};

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Which datagrams a relay loses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramLoss {
    /// None.
    None,
    /// All.
    All,
    /// The next ones, this many.
    Next(usize),
    /// The first of this many, again and again.
    OneOf(usize),
}

#[derive(Debug)]
struct RelayState {
    loss: DatagramLoss,
    /// Number of datagrams received since the loss was set.
    received: usize,
}

impl RelayState {
    fn loses_next(&mut self) -> bool {
        let number = self.received;
        self.received += 1;
        match self.loss {
            DatagramLoss::None => false,
            DatagramLoss::All => true,
            DatagramLoss::Next(count) => number < count,
            DatagramLoss::OneOf(count) => number.is_multiple_of(count.max(1)),
        }
    }
}

/// Handle of a running relay. Clones refer to the same relay.
#[derive(Debug, Clone)]
pub struct DatagramRelay {
    addr: SocketAddr,
    state: Arc<Mutex<RelayState>>,
}

/// Starts a relay to `target` inside the caller's actix system. Fails if no port can be bound.
pub async fn start_datagram_relay(target: SocketAddr) -> io::Result<DatagramRelay> {
    let socket = UdpSocket::bind(util::ephemeral_addr()).await?;
    let addr = socket.local_addr()?;
    let state = Arc::new(Mutex::new(RelayState { loss: DatagramLoss::None, received: 0 }));
    let relayed = state.clone();
    actix_rt::spawn(async move {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        while let Ok((length, _)) = socket.recv_from(&mut buffer).await {
            let is_lost = lock(&relayed).loses_next();
            // A receiver that has stopped loses its datagrams like any other.
            if !is_lost && socket.send_to(&buffer[..length], target).await.is_err() {
                continue;
            }
        }
    });
    Ok(DatagramRelay { addr, state })
}

impl DatagramRelay {
    /// Returns the address on which the relay receives.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets which datagrams are lost from now on.
    pub fn set_loss(&self, loss: DatagramLoss) {
        *lock(&self.state) = RelayState { loss, received: 0 };
    }
}
