//! Clients that send what a [`ClientScript`] says and keep their connections open.

use std::{cell::Cell, rc::Rc};

use futures::future::join_all;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpSocket, TcpStream},
    time::timeout,
};

use crate::node_process::{NodeProcess, TEST_TIMEOUT};

/// Send buffer of a client, in bytes. Without a limit, the system would take most of a body from the
/// client before the node reads it.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;
/// Receive buffer of a client, in bytes, so that a response that is not read stays at the node.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;
/// Number of writes of the crowd between two measurements.
const WRITES_PER_MEASUREMENT: u64 = 64;

/// What one client sends before it falls silent.
#[derive(Debug, Clone)]
pub struct ClientScript {
    /// Sent first, in one write.
    pub head: String,
    /// Sent again and again, one write each.
    pub piece: Vec<u8>,
    /// Number of times.
    pub count: usize,
    /// Sent last.
    pub rest: Vec<u8>,
}

/// Runs `clients` clients at once. Each sends its script, then waits until the node responds or closes
/// the connection, and does not read the response. Returns the connections, which are still open.
pub async fn run_crowd(
    node: &NodeProcess,
    clients: usize,
    script: impl Fn(usize) -> ClientScript,
) -> Vec<TcpStream> {
    let writes = Rc::new(Cell::new(0));
    let crowd = (0..clients).map(|number| run_client(node, script(number), writes.clone()));
    timeout(TEST_TIMEOUT, join_all(crowd))
        .await
        .expect("the node responds to each client or closes")
}

async fn run_client(node: &NodeProcess, script: ClientScript, writes: Rc<Cell<u64>>) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket opens");
    socket.set_send_buffer_size(SEND_BUFFER_BYTES).expect("the send buffer is limited");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("the receive buffer is limited");
    let mut stream = socket.connect(node.address).await.expect("the node listens");
    let pieces = std::iter::repeat_n(&script.piece[..], script.count);
    let parts = [script.head.as_bytes()].into_iter().chain(pieces).chain([&script.rest[..]]);
    for part in parts {
        // The node may have refused the request or closed the connection.
        if stream.write_all(part).await.is_err() {
            break;
        }
        writes.set(writes.get() + 1);
        if writes.get().is_multiple_of(WRITES_PER_MEASUREMENT) {
            node.measure();
        }
        // The other clients take their turns, so that all bodies grow side by side.
        tokio::task::yield_now().await;
    }
    node.measure();
    drop(stream.peek(&mut [0]).await);
    node.measure();
    stream
}
