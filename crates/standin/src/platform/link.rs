//! A relay of TCP connections that simulates the link between one node and one server.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::timeout,
};

use crate::util;

/// Connections that may wait to be accepted while the link works.
const BACKLOG: i32 = 128;
/// Size of the buffers, in bytes.
const COPY_BYTES: usize = 16 * 1024;
/// Time after which a connection counts as hanging.
const HANG_TIME: Duration = Duration::from_millis(50);
/// Maximum number of connections that wait to be accepted while the link hangs.
const MAX_WAITING: usize = 8;

/// What happens to the connections over a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LinkFault {
    /// They work.
    #[default]
    None,
    /// Open ones carry no more bytes, new ones are not established.
    Hang,
    /// Open ones are reset, new ones are refused.
    Reset,
    /// Open ones work, new ones are refused.
    RefuseNew,
}

/// Handle of a running link. Clones refer to the same link.
#[derive(Debug, Clone)]
pub struct LinkHandle {
    addr: SocketAddr,
    fault: watch::Sender<LinkFault>,
    /// The fault that has taken effect on new connections.
    applied: watch::Receiver<LinkFault>,
    /// Number of times that the open connections were reset.
    cuts: watch::Sender<u64>,
    requests: watch::Receiver<usize>,
}

/// Starts a link to `target` inside the caller's actix system. Fails if no port can be bound.
pub async fn start_link(target: SocketAddr) -> io::Result<LinkHandle> {
    let listener = TcpListener::from_std(util::listen(util::ephemeral_addr())?)?;
    let addr = listener.local_addr()?;
    let (fault, faults) = watch::channel(LinkFault::None);
    let (applied_sender, applied) = watch::channel(LinkFault::None);
    let (request_sender, requests) = watch::channel(0);
    let (cuts, cut_receiver) = watch::channel(0);
    actix_rt::spawn(async move {
        let (applied, requests) = (applied_sender, request_sender);
        let link = Link { addr, target, faults, cuts: cut_receiver, applied, requests };
        // Ends when all handles are dropped.
        drop(link.run(listener).await);
    });
    Ok(LinkHandle { addr, fault, applied, cuts, requests })
}

impl LinkHandle {
    /// Returns the address at which the server is reached over this link.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault, and waits until it has taken effect on new connections.
    pub async fn set_fault(&self, fault: LinkFault) {
        self.fault.send_replace(fault);
        let mut applied = self.applied.clone();
        // Fails only if the link has ended; then no connection is established.
        drop(applied.wait_for(|applied| *applied == fault).await);
    }

    /// Resets the open connections once. New ones work.
    pub fn cut(&self) {
        self.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Returns the number of times that the node has sent something over the link.
    pub fn requests(&self) -> usize {
        *self.requests.borrow()
    }
}

/// The port at which a link accepts connections.
enum LinkPort {
    Open(TcpListener),
    /// Connections are refused; nobody else gets the port.
    Refusing(Socket),
}

impl LinkPort {
    /// Lets connections be established, of which this many may wait to be accepted.
    fn open(self, backlog: i32) -> io::Result<TcpListener> {
        match self {
            LinkPort::Open(listener) => {
                SockRef::from(&listener).listen(backlog)?;
                Ok(listener)
            }
            LinkPort::Refusing(socket) => {
                socket.listen(backlog)?;
                TcpListener::from_std(socket.into())
            }
        }
    }

    fn refuse(self, addr: SocketAddr) -> io::Result<LinkPort> {
        if let LinkPort::Refusing(_) = self {
            return Ok(self);
        }
        drop(self);
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&addr.into())?;
        Ok(LinkPort::Refusing(socket))
    }
}

struct Link {
    addr: SocketAddr,
    target: SocketAddr,
    faults: watch::Receiver<LinkFault>,
    cuts: watch::Receiver<u64>,
    applied: watch::Sender<LinkFault>,
    requests: watch::Sender<usize>,
}

impl Link {
    async fn run(mut self, listener: TcpListener) -> io::Result<()> {
        let mut port = LinkPort::Open(listener);
        loop {
            let fault = *self.faults.borrow_and_update();
            // Connections that wait to be accepted keep further ones from being established.
            let mut waiting = Vec::new();
            port = match fault {
                LinkFault::None => LinkPort::Open(port.open(BACKLOG)?),
                LinkFault::Hang => {
                    let listener = port.open(0)?;
                    waiting = fill_queue(self.addr).await;
                    LinkPort::Open(listener)
                }
                LinkFault::Reset | LinkFault::RefuseNew => port.refuse(self.addr)?,
            };
            self.applied.send_replace(fault);
            match &port {
                LinkPort::Open(open) if fault == LinkFault::None => self.accept(open).await?,
                _ => self.faults.changed().await.map_err(io::Error::other)?,
            }
            drop(waiting);
        }
    }

    /// Accepts connections until the fault changes.
    async fn accept(&mut self, listener: &TcpListener) -> io::Result<()> {
        loop {
            tokio::select! {
                changed = self.faults.changed() => return changed.map_err(io::Error::other),
                accepted = listener.accept() => {
                    let (stream, _) = accepted?;
                    let (faults, requests) = (self.faults.clone(), self.requests.clone());
                    let mut cuts = self.cuts.clone();
                    cuts.mark_unchanged();
                    actix_rt::spawn(relay(stream, self.target, faults, cuts, requests));
                }
            }
        }
    }
}

/// Opens connections that nobody accepts, until a further one hangs.
async fn fill_queue(addr: SocketAddr) -> Vec<TcpStream> {
    let mut waiting = Vec::new();
    while waiting.len() < MAX_WAITING {
        match timeout(HANG_TIME, TcpStream::connect(addr)).await {
            Ok(Ok(stream)) => waiting.push(stream),
            Ok(Err(_)) | Err(_) => break,
        }
    }
    waiting
}

async fn relay(
    mut client: TcpStream,
    target: SocketAddr,
    mut faults: watch::Receiver<LinkFault>,
    mut cuts: watch::Receiver<u64>,
    requests: watch::Sender<usize>,
) {
    let Ok(mut server) = TcpStream::connect(target).await else { return };
    loop {
        let fault = *faults.borrow_and_update();
        match fault {
            LinkFault::None | LinkFault::RefuseNew => tokio::select! {
                _ended = copy_both(&mut client, &mut server, &requests) => return,
                _cut = cuts.changed() => return reset(&client, &server),
                changed = faults.changed() => if changed.is_err() { return },
            },
            LinkFault::Hang => {
                if faults.changed().await.is_err() {
                    return;
                }
            }
            LinkFault::Reset => return reset(&client, &server),
        }
    }
}

/// Makes both connections end with a reset when they are dropped.
fn reset(client: &TcpStream, server: &TcpStream) {
    drop(client.set_zero_linger());
    drop(server.set_zero_linger());
}

/// Copies bytes both ways until one side ends.
async fn copy_both(
    client: &mut TcpStream,
    server: &mut TcpStream,
    requests: &watch::Sender<usize>,
) -> io::Result<()> {
    let (mut from_client, mut from_server) = ([0; COPY_BYTES], [0; COPY_BYTES]);
    loop {
        tokio::select! {
            read = client.read(&mut from_client) => {
                let count = read?;
                if count == 0 {
                    return Ok(());
                }
                requests.send_modify(|requests| *requests += 1);
                server.write_all(&from_client[..count]).await?;
            }
            read = server.read(&mut from_server) => {
                let count = read?;
                if count == 0 {
                    return Ok(());
                }
                client.write_all(&from_server[..count]).await?;
            }
        }
    }
}
