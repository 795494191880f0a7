//! TCP sockets that detect a peer that has gone silent.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 512;
/// Idle time after which keepalive probes begin.
const KEEPALIVE_IDLE_TIME: Duration = Duration::from_secs(1);
/// Time between keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the connection is broken.
const KEEPALIVE_PROBES: u32 = 2;
/// A connection to a peer that does not pause for long is broken if sent bytes stay unacknowledged, or the
/// peer's buffers stay full, for this long.
pub const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Size of the receive buffer of an outgoing connection. Unread bytes count as memory of the node.
const RECEIVE_BUFFER_BYTES: usize = 256 * 1024;

/// Opens a connection that detects a silent peer.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    detect_dead_peer(&stream, USER_TIMEOUT)?;
    if let Err(cause) = SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER_BYTES) {
        log::debug!(cause:% = cause; "failed to limit the receive buffer of a connection");
    }
    Ok(stream)
}

/// Opens a listener at an address.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Limits the receive and the send buffer of the connections that a listener will accept.
pub fn limit_buffers(listener: &TcpListener, bytes: usize) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(bytes)?;
    socket.set_send_buffer_size(bytes)
}

/// Disables Nagle's algorithm, and breaks the connection when the peer goes silent. `user_timeout` bounds the
/// time in which the peer acknowledges no byte; one that pauses with full buffers acknowledges none.
pub fn detect_dead_peer(stream: &TcpStream, user_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
