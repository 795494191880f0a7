//! Connections to other processes, and the message frames sent over them.
//!
//! Each message uses a QUIC stream of its own, so that a lost packet delays only one message. The
//! receiving state machines tolerate reordered, duplicated and lost messages.

use std::{
    cell::RefCell, collections::HashMap, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use carobvane_core::ids::{NodeId, NodeIncarnation};
use carobvane_proto::peer::{
    MAX_FRAME_BYTES, PeerEnvelope, PeerMessage, PeerRole, decode_frame, encode_frame,
};
use eyre::{Result, WrapErr};
use quinn::{Connection, Endpoint, TransportConfig, VarInt};
use tokio::sync::mpsc;

use super::{FleetKey, tls};

/// Capacity of the queue of events for the node actor; further events are dropped and counted.
const EVENT_CAPACITY: usize = 4_096;
/// Capacity of the queue of commands and messages to send; further ones are dropped and counted.
const COMMAND_CAPACITY: usize = 4_096;
/// Maximum number of streams that a peer may have open to this process at once.
const MAX_STREAMS_PER_PEER: u32 = 256;
/// A connection is closed after this long without a packet.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay between attempts to establish a connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(250);

/// Event that the connections report to the node actor.
#[derive(Debug)]
pub enum PeerEvent {
    /// A process is connected, or a connected node has restarted.
    Joined {
        /// Node and incarnation of the process.
        peer: NodeIncarnation,
        /// Role of the process, as stated in its message.
        role: PeerRole,
    },
    /// The current connection to a process has closed.
    Left {
        /// Node and incarnation of the process.
        peer: NodeIncarnation,
    },
    /// A process has sent a message other than `Hello`.
    Received {
        /// Node and incarnation of the sender.
        peer: NodeIncarnation,
        /// Role of the sender, as stated in the message.
        role: PeerRole,
        /// Decoded message.
        message: PeerMessage,
    },
}

/// Sends messages to other processes. Cheap to clone and usable from any thread.
#[derive(Debug, Clone)]
pub struct PeerSender {
    sender: mpsc::Sender<PeerCommand>,
}

#[derive(Debug)]
enum PeerCommand {
    Send(NodeId, PeerMessage),
    Broadcast(PeerMessage),
    KeepConnected(SocketAddr),
}

impl PeerSender {
    /// Sends a message to a node; without a connection to it, the message is dropped.
    pub fn send(&self, node: NodeId, message: PeerMessage) {
        self.enqueue(PeerCommand::Send(node, message));
    }

    /// Sends a message to every connected process.
    pub fn broadcast(&self, message: PeerMessage) {
        self.enqueue(PeerCommand::Broadcast(message));
    }

    /// Connects to `address` and reconnects whenever the connection closes.
    pub fn keep_connected(&self, address: SocketAddr) {
        self.enqueue(PeerCommand::KeepConnected(address));
    }

    fn enqueue(&self, command: PeerCommand) {
        if self.sender.try_send(command).is_err() {
            metrics::counter!("carobvane_peer_messages_dropped_total", "direction" => "out")
                .increment(1);
        }
    }
}

/// Connections of this process to its peers.
pub struct PeerConnections {
    endpoint: Endpoint,
    own: NodeIncarnation,
    role: PeerRole,
    events: mpsc::Sender<PeerEvent>,
    /// Current connection of each connected node.
    by_node: RefCell<HashMap<NodeId, PeerConnection>>,
    /// Addresses that this process keeps connected. Includes its own address from the start, so
    /// that it never connects to itself.
    maintained_addresses: RefCell<Vec<SocketAddr>>,
}

struct PeerConnection {
    peer: NodeIncarnation,
    connection: Connection,
}

impl PeerConnections {
    /// Listens on `listen` and keeps connections to the addresses in `join`. Returns the bound
    /// address, the sender of messages and the receiver of events.
    ///
    /// Must be called on an actix arbiter, which then runs the connections.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound or TLS cannot be configured.
    pub fn start(
        own: NodeIncarnation,
        role: PeerRole,
        listen: SocketAddr,
        join: &[SocketAddr],
        key: &FleetKey,
    ) -> Result<(SocketAddr, PeerSender, mpsc::Receiver<PeerEvent>)> {
        let endpoint = bind_endpoint(listen, key)?;
        let address = endpoint.local_addr().wrap_err("failed to read the peer address")?;
        let (events, event_receiver) = mpsc::channel(EVENT_CAPACITY);
        let (sender, command_receiver) = mpsc::channel(COMMAND_CAPACITY);
        let connections = Rc::new(PeerConnections {
            endpoint,
            own,
            role,
            events,
            by_node: RefCell::default(),
            maintained_addresses: RefCell::new(vec![address]),
        });
        actix_rt::spawn(accept_connections(Rc::clone(&connections)));
        actix_rt::spawn(run_commands(Rc::clone(&connections), command_receiver));
        for &peer in join {
            maintain_connection(&connections, peer);
        }
        Ok((address, PeerSender { sender }, event_receiver))
    }

    fn send_event(&self, event: PeerEvent) {
        if self.events.try_send(event).is_err() {
            metrics::counter!("carobvane_peer_messages_dropped_total", "direction" => "in")
                .increment(1);
        }
    }

    fn register(&self, envelope: &PeerEnvelope, connection: &Connection) {
        let peer = envelope.from;
        let mut connections = self.by_node.borrow_mut();
        let known = connections.get(&peer.node);
        if known.is_some_and(|existing| {
            existing.peer.incarnation > peer.incarnation
                || existing.connection.stable_id() == connection.stable_id()
        }) {
            return;
        }
        let joined = known.is_none_or(|existing| existing.peer != peer);
        connections.insert(peer.node, PeerConnection { peer, connection: connection.clone() });
        if joined {
            self.send_event(PeerEvent::Joined { peer, role: envelope.role });
        }
    }

    fn remove_connection(&self, connection: &Connection) {
        let mut connections = self.by_node.borrow_mut();
        let closed = connections
            .iter()
            .find(|(_, existing)| existing.connection.stable_id() == connection.stable_id())
            .map(|(&node, existing)| (node, existing.peer));
        if let Some((node, peer)) = closed {
            connections.remove(&node);
            self.send_event(PeerEvent::Left { peer });
        }
    }
}

fn bind_endpoint(listen: SocketAddr, key: &FleetKey) -> Result<Endpoint> {
    let tls = tls::peer_tls(key)?;
    let mut transport = TransportConfig::default();
    transport.max_idle_timeout(Some(CONNECTION_IDLE_TIMEOUT.try_into()?));
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS_PER_PEER));
    transport.max_concurrent_bidi_streams(VarInt::from_u32(0));
    let transport = Arc::new(transport);
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(tls.server));
    server.transport_config(Arc::clone(&transport));
    let mut client = quinn::ClientConfig::new(Arc::new(tls.client));
    client.transport_config(transport);
    let mut endpoint = Endpoint::server(server, listen)
        .wrap_err_with(|| format!("failed to bind the peer address {listen}"))?;
    endpoint.set_default_client_config(client);
    Ok(endpoint)
}

async fn accept_connections(connections: Rc<PeerConnections>) {
    while let Some(incoming) = connections.endpoint.accept().await {
        let connections = Rc::clone(&connections);
        actix_rt::spawn(async move {
            let remote = incoming.remote_address();
            match incoming.await {
                Ok(connection) => serve_connection(connections, connection).await,
                Err(error) => {
                    log::warn!(
                        remote:% = remote, error:% = error; "failed to accept a peer connection"
                    );
                }
            }
        });
    }
}

fn maintain_connection(connections: &Rc<PeerConnections>, address: SocketAddr) {
    if connections.maintained_addresses.borrow().contains(&address) {
        return;
    }
    connections.maintained_addresses.borrow_mut().push(address);
    let connections = Rc::clone(connections);
    actix_rt::spawn(async move {
        loop {
            if let Some(connection) = connect(&connections.endpoint, address).await {
                serve_connection(Rc::clone(&connections), connection).await;
            }
            tokio::time::sleep(RECONNECT_DELAY).await;
        }
    });
}

async fn connect(endpoint: &Endpoint, address: SocketAddr) -> Option<Connection> {
    let connecting = endpoint.connect(address, tls::PEER_NAME).ok()?;
    match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(connection)) => Some(connection),
        Ok(Err(error)) => {
            log::debug!(remote:% = address, error:% = error; "failed to connect to a peer");
            None
        }
        Err(_) => None,
    }
}

async fn serve_connection(connections: Rc<PeerConnections>, connection: Connection) {
    send_message(&connections, connection.clone(), PeerMessage::Hello);
    loop {
        match connection.accept_uni().await {
            Ok(stream) => {
                actix_rt::spawn(receive_message(
                    Rc::clone(&connections),
                    connection.clone(),
                    stream,
                ));
            }
            Err(error) => {
                log::debug!(
                    remote:% = connection.remote_address(), error:% = error;
                    "peer connection closed"
                );
                break;
            }
        }
    }
    connections.remove_connection(&connection);
}

async fn receive_message(
    connections: Rc<PeerConnections>,
    connection: Connection,
    mut stream: quinn::RecvStream,
) {
    let remote = connection.remote_address();
    let frame = match stream.read_to_end(MAX_FRAME_BYTES).await {
        Ok(frame) => frame,
        Err(error) => {
            log::warn!(remote:% = remote, error:% = error; "failed to read a peer frame");
            return;
        }
    };
    metrics::counter!("carobvane_peer_bytes_total", "direction" => "in")
        .increment(frame.len() as u64);
    let envelope: PeerEnvelope = match decode_frame(&frame) {
        Ok(envelope) => envelope,
        Err(error) => {
            log::warn!(remote:% = remote, error:% = error; "rejected a peer frame");
            return;
        }
    };
    if envelope.from.node == connections.own.node {
        log::error!(
            remote:% = remote, node = envelope.from.node.0; "a peer uses the number of this node"
        );
        return;
    }
    connections.register(&envelope, &connection);
    let PeerEnvelope { from: peer, role, message } = envelope;
    if !matches!(message, PeerMessage::Hello) {
        connections.send_event(PeerEvent::Received { peer, role, message });
    }
}

async fn run_commands(connections: Rc<PeerConnections>, mut commands: mpsc::Receiver<PeerCommand>) {
    while let Some(command) = commands.recv().await {
        match command {
            PeerCommand::Send(node, message) => {
                let connection = connections
                    .by_node
                    .borrow()
                    .get(&node)
                    .map(|existing| existing.connection.clone());
                if let Some(connection) = connection {
                    send_message(&connections, connection, message);
                }
            }
            PeerCommand::Broadcast(message) => {
                let open: Vec<Connection> = connections
                    .by_node
                    .borrow()
                    .values()
                    .map(|existing| existing.connection.clone())
                    .collect();
                for connection in open {
                    send_message(&connections, connection, message.clone());
                }
            }
            PeerCommand::KeepConnected(address) => maintain_connection(&connections, address),
        }
    }
}

fn send_message(connections: &PeerConnections, connection: Connection, message: PeerMessage) {
    let envelope = PeerEnvelope { from: connections.own, role: connections.role, message };
    let frame = match encode_frame(&envelope) {
        Ok(frame) => frame,
        Err(error) => {
            log::error!(error:% = error; "failed to encode a peer message");
            return;
        }
    };
    metrics::counter!("carobvane_peer_bytes_total", "direction" => "out")
        .increment(frame.len() as u64);
    actix_rt::spawn(async move {
        if let Ok(mut stream) = connection.open_uni().await
            && stream.write_all(&frame).await.is_ok()
        {
            stream.finish().ok();
        }
    });
}
